"""Build the HTTP APIs of an instance and open its ports."""

from typing import NamedTuple

from klein import Klein
from result import Err, Ok, Result

from papayapier.components import Base, Fleet, Services
from papayapier.dispatch.claimed import make_claimed_runner
from papayapier.entry.batch_routes import add_batch_routes
from papayapier.entry.callers import caller_auth
from papayapier.entry.health_routes import add_health_routes
from papayapier.entry.online_routes import OnlineDeps, add_online_routes
from papayapier.entry.operator_auth import job_auth, refuse_new_work
from papayapier.entry.operator_routes import OperatorDeps, add_operator_routes
from papayapier.instance import Ports, Readiness
from papayapier.listen import ListeningPort, make_body_limit
from papayapier.listen_app import listen
from papayapier.status import FleetStatus


class Apps(NamedTuple):
    """Hold the HTTP APIs for callers (entry) and operators."""

    entry: Klein
    operator: Klein


class OpenPorts(NamedTuple):
    """Hold the open ports."""

    ports: Ports
    handles: tuple[ListeningPort, ListeningPort]


def make_apps(base: Base, fleet: Fleet, services: Services, readiness: Readiness) -> Apps:
    """Build the routes for callers and operators."""
    cfg = base.cfg
    auth = caller_auth(cfg.entry.callers)
    entry = Klein()
    add_health_routes(entry, readiness.not_ready_reason, base.metrics)
    add_online_routes(
        entry,
        OnlineDeps(
            clock=base.clock,
            metrics=base.metrics,
            auth=auth,
            max_body_bytes=cfg.entry.max_body_bytes,
            profile=services.config.registry.profile,
            upstream_names=fleet.view.upstream_names,
            run=make_claimed_runner(services.online, services.claims),
            get_refusal=readiness.get_refusal,
        ),
    )
    add_batch_routes(entry, services.batch, auth, readiness.get_refusal)
    operator = Klein()
    add_health_routes(operator, readiness.not_ready_reason, base.metrics)
    add_batch_routes(operator, services.batch, job_auth(cfg.operator.operators), refuse_new_work)
    status = FleetStatus(cfg.instance, services.config.registry, services.hub, readiness)
    add_operator_routes(
        operator,
        OperatorDeps(services.config, cfg.operator.operators, status.current, services.orders.show),
    )
    return Apps(entry, operator)


def open_ports(base: Base, services: Services, apps: Apps) -> Result[OpenPorts, str]:
    """Listen for callers, operators and peers; the error names the settings field."""
    cfg = base.cfg
    host = cfg.instance.host
    limit = make_body_limit(cfg.entry.max_body_bytes, cfg.batch.max_file_bytes)
    entry = listen(base.reactor, apps.entry, "entry.port", host, cfg.entry.port, limit)
    if isinstance(entry, Err):
        return entry
    operator = listen(base.reactor, apps.operator, "operator.port", host, cfg.operator.port)
    if isinstance(operator, Err):
        entry.ok_value.handle.stopListening()
        return operator
    handles = (entry.ok_value, operator.ok_value)
    peer = services.hub.start()
    if isinstance(peer, Err):
        for handle in handles:
            handle.handle.stopListening()
        return Err(f"peer: {peer.err_value}")
    return Ok(OpenPorts(Ports(handles[0].port, handles[1].port, peer.ok_value), handles))
