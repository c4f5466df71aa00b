"""Wire the parts of one instance together: the one place that knows all of them.

Parts are given what they need as functions, so that none imports another only to call it.
The order below is the order of dependence: the platform first, then what is known of the
fleet, then the work, then the addresses that let work in.
"""

import random
from typing import Any, Final, NamedTuple

from klein import Klein
from result import Err, Ok, Result

from papayapier import events
from papayapier.batch.api import BatchDeps, BatchDispatch
from papayapier.batch.start import Batch, start_batch
from papayapier.clock import Clock
from papayapier.config.profiles import Profile
from papayapier.config.start import Config, ConfigDeps, start_config
from papayapier.dispatch.api import DispatchDeps
from papayapier.dispatch.lanes import BatchLanes
from papayapier.dispatch.online import OnlineDispatch
from papayapier.entry.batch_routes import add_batch_routes
from papayapier.entry.callers import caller_auth
from papayapier.entry.health_routes import add_health_routes
from papayapier.entry.online_routes import OnlineDeps, add_online_routes
from papayapier.entry.operator_routes import OperatorDeps, add_operator_routes
from papayapier.fleet_view import FleetListeners, FleetView, Policies, peer_uses_reader
from papayapier.instance import Instance, Parts, Ports, Readiness
from papayapier.listen import Listening, listen
from papayapier.metrics import make_metrics
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.messages import (
    ConfigAsk,
    ConfigPush,
    ConfigTell,
    Heartbeat,
    JobChanged,
    Message,
    ShardsReleased,
)
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.retries import RetryBudget
from papayapier.settings import Settings
from papayapier.status import FleetStatus
from papayapier.store.api import ENTRY, LIVE, Member, Store
from papayapier.store.budget import Priority, make_budget
from papayapier.store.http import http_store
from papayapier.store.members import MemberFollower, Reporter
from papayapier.upstream.client import make_upstreams
from papayapier.upstream.reports import OnReport, make_reports

START_TRIES: Final = 5
START_PAUSE_MS: Final = 300
BOOT_BITS: Final = 48


async def start_instance(
    reactor: Any, clock: Clock, cfg: Settings, rand: random.Random
) -> Result[Instance, str]:
    """Start one instance, or say in one line why it cannot start."""
    metrics = make_metrics()
    plain_store = http_store(reactor, clock, cfg.platform, metrics)
    reached = await _reach_platform(plain_store, clock, cfg)
    if isinstance(reached, Err):
        await plain_store.close()
        return reached
    budget = make_budget(plain_store, clock, rand, cfg.platform)

    policies = Policies(LoadBook(), Outliers(), BatchShare(cfg.instance.id))
    fleet = FleetView(cfg.instance.id, policies, metrics)
    upstreams = make_upstreams(reactor, clock, cfg.upstream, metrics)
    reports = make_reports(
        clock,
        rand,
        cfg.upstream.load_poll_ms,
        upstreams.load,
        OnReport(fleet.on_load, lambda _replica, _failure: None),
    )

    drain = Drain(DrainPlan(cfg.drain.balancer_lag_ms, cfg.drain.limit_ms))
    boot = rand.getrandbits(BOOT_BITS)

    def heartbeat() -> Heartbeat:
        book = config.book
        uses = tuple(policies.book.uses())
        state = drain.state()
        return Heartbeat(cfg.instance.id, boot, state, book.version(), uses, book.digest())

    me = Identity(
        cfg.instance.id, boot, cfg.instance.host, cfg.instance.data_centre, cfg.instance.region
    )
    hub = PeerHub(reactor, clock, cfg.peer, me, heartbeat, metrics, rand)
    dispatch = DispatchDeps(
        clock,
        rand,
        cfg.instance.data_centre,
        policies.book,
        policies.outliers,
        AdmissionQueue(cfg.entry.max_queued),
        RetryBudget(),
        policies.share,
        upstreams,
        metrics,
        hub.uses_changed,
    )
    lanes = BatchLanes(dispatch)
    online = OnlineDispatch(dispatch, lanes.before_online_send)

    def tell_peer(peer_id: str, message: Message) -> None:
        hub.tell(peer_id, message)

    config = start_config(
        ConfigDeps(
            clock,
            rand,
            budget.view(Priority.CONFIG),
            cfg.config,
            metrics,
            tell_peer,
            hub.tell_all,
            lambda: [view.id for view in hub.views() if view.up],
            online.queued_under,
            lambda: set(fleet.upstream_names()),
        )
    )
    batch = start_batch(
        BatchDeps(
            clock,
            rand,
            budget.view(Priority.BULK),
            BatchDispatch(lanes.room, lanes.run, lanes.watch_room),
            cfg.batch,
            cfg.instance.id,
            boot,
            config.book.profile,
            lambda: fleet.live_entries(),
            hub.tell_all,
            metrics,
        )
    )
    _subscribe(hub, config, batch, fleet, policies, clock)
    config.book.watch(lambda _key, _version: fleet.on_profiles(_profiles(config)))

    readiness = Readiness(clock, drain, config, fleet)
    listening = _listen_all(
        reactor, cfg, hub, _apps(cfg, clock, metrics, config, fleet, online, batch, readiness, hub)
    )
    if isinstance(listening, Err):
        await batch.stop()
        await config.stop()
        hub.close()
        await plain_store.close()
        return listening
    open_ports = listening.ok_value

    follower = MemberFollower(budget.view(Priority.CONFIG), clock, rand, fleet.on_members)
    reporter = Reporter(budget.view(Priority.LEASE), clock, rand, _member(cfg, open_ports.ports))
    fleet.connect(FleetListeners(reports.poll, hub.set_members, batch.on_members_changed))
    parts = Parts(
        clock,
        drain,
        hub,
        config,
        online,
        lanes,
        batch,
        reports,
        upstreams,
        follower,
        reporter,
        plain_store,
    )
    instance = Instance(parts, open_ports.ports, open_ports.handles, metrics)
    follower.start()
    reporter.start()
    instance.start()
    events.emit(
        events.PROCESS_STARTED,
        instance=cfg.instance.id,
        entry_port=open_ports.ports.entry,
        operator_port=open_ports.ports.operator,
        peer_port=open_ports.ports.peer,
    )
    return Ok(instance)


async def _reach_platform(store: Store, clock: Clock, cfg: Settings) -> Result[None, str]:
    """Try the platform for a moment, unless a data folder can stand in for it.

    Without either, an instance knows no profile, no peer and no upstream. Saying so at once
    is worth more than an instance that never becomes ready.
    """
    for attempt in range(START_TRIES):
        if isinstance(await store.members(0, 0), Ok) or cfg.config.data_folder:
            return Ok(None)
        if attempt + 1 < START_TRIES:
            await clock.sleep(START_PAUSE_MS)
    where = f"{cfg.platform.host}:{cfg.platform.port}"
    return Err(f"platform: {where} does not answer, and config.data_folder is not set")


def _subscribe(
    hub: PeerHub,
    config: Config,
    batch: Batch,
    fleet: FleetView,
    policies: Policies,
    clock: Clock,
) -> None:
    for kind in (Heartbeat, ConfigPush, ConfigAsk, ConfigTell):
        hub.subscribe(kind, config.on_peer)
    hub.subscribe(JobChanged, lambda _peer_id, message: batch.on_peer(message))
    hub.subscribe(ShardsReleased, lambda _peer_id, message: batch.on_peer(message))
    hub.subscribe(Heartbeat, peer_uses_reader(policies.book, clock.now))
    hub.on_change(lambda: fleet.on_peers(hub.live(), [v.id for v in hub.views() if not v.up]))


def _profiles(config: Config) -> list[Profile]:
    return list(config.book.profiles().values())


class _Apps(NamedTuple):
    entry: Klein
    operator: Klein


def _apps(
    cfg: Settings,
    clock: Clock,
    metrics: Any,
    config: Config,
    fleet: FleetView,
    online: OnlineDispatch,
    batch: Batch,
    readiness: Readiness,
    hub: PeerHub,
) -> _Apps:
    """Make the two HTTP surfaces."""
    entry = Klein()
    add_health_routes(entry, readiness.why_not, metrics)
    add_online_routes(
        entry,
        OnlineDeps(
            clock,
            metrics,
            caller_auth(cfg.entry.callers),
            cfg.entry.max_body_bytes,
            config.book.profile,
            fleet.upstream_names,
            lambda req, _key, on_token: online.run(req, on_token),
            readiness.refusing,
        ),
    )
    add_batch_routes(entry, batch, caller_auth(cfg.entry.callers), readiness.refusing)
    operator = Klein()
    add_health_routes(operator, readiness.why_not, metrics)
    status = FleetStatus(cfg.instance, config.book, hub, readiness)
    add_operator_routes(operator, OperatorDeps(config, cfg.operator.operators, status.show))
    return _Apps(entry, operator)


class _Open(NamedTuple):
    ports: Ports
    handles: tuple[Listening, Listening]


def _listen_all(reactor: Any, cfg: Settings, hub: PeerHub, apps: _Apps) -> Result[_Open, str]:
    host = cfg.instance.host
    entry = listen(reactor, apps.entry, "entry.port", host, cfg.entry.port)
    if isinstance(entry, Err):
        return entry
    operator = listen(reactor, apps.operator, "operator.port", host, cfg.operator.port)
    if isinstance(operator, Err):
        entry.ok_value.handle.stopListening()
        return operator
    handles = (entry.ok_value, operator.ok_value)
    peer = hub.start()
    if isinstance(peer, Err):
        for handle in handles:
            handle.handle.stopListening()
        return Err(f"peer.port: {peer.err_value}")
    ports = Ports(handles[0].port, handles[1].port, peer.ok_value)
    return Ok(_Open(ports, handles))


def _member(cfg: Settings, ports: Ports) -> Member:
    own = cfg.instance
    return Member(
        own.id, ENTRY, "", own.host, ports.entry, ports.peer, own.data_centre, own.region, LIVE
    )
