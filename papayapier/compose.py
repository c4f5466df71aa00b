"""Wire the components of one instance together; only this module knows all of them.

Components receive their dependencies as functions, so that none imports another only to call
it. The steps below follow the order of dependence: the base and the platform first, then the
state of the fleet, then the services, then the ports through which requests arrive.
"""

import random
from typing import Any, Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.batch.api import BatchDeps, BatchDispatch
from papayapier.batch.start import Batch, start_batch
from papayapier.claims.service import ClaimDeps, Claims
from papayapier.clock import Clock
from papayapier.components import Base, Fleet, Services
from papayapier.config.start import ConfigDeps, ConfigService, start_config
from papayapier.dispatch.api import DispatchDeps
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.item_dispatch import ItemDispatch
from papayapier.dispatch.online import OnlineDispatch
from papayapier.fleet_view import (
    FleetListeners,
    FleetView,
    OwnInstance,
    ReplicaPolicies,
    make_peer_calls_handler,
)
from papayapier.http_apis import OpenPorts, make_apps, open_ports
from papayapier.instance import Components, Instance, Readiness
from papayapier.listen import next_reactor_iteration
from papayapier.membership import MembershipDeps, make_membership, reach_platform
from papayapier.metrics import make_metrics
from papayapier.orders.controller import (
    OrderController,
    OrderControllerDeps,
    start_order_controller,
)
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.loss_exchange import LossExchange, LossExchangeDeps
from papayapier.peer.messages import (
    ClaimAsk,
    ClaimTell,
    ConfigAsk,
    ConfigPush,
    ConfigTell,
    Heartbeat,
    JobChanged,
    Message,
    ShardsReleased,
)
from papayapier.peer.permit_exchange import PermitExchange, PermitExchangeDeps
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.retries import RetryBudget
from papayapier.settings import Settings
from papayapier.sources import sources_id
from papayapier.store.budget import Priority, make_budget
from papayapier.store.http import http_store
from papayapier.upstream.client import make_upstream_client
from papayapier.upstream.engine_control import make_engine_control
from papayapier.upstream.load_polls import LoadPollHandlers, make_load_polls

BOOT_BITS: Final = 48
CLAIM_WRITER_TIMEOUT_MS: Final = 500


async def start_instance(
    reactor: Any, clock: Clock, cfg: Settings, rand: random.Random
) -> Result[Instance, str]:
    """Start one instance, or return in one line why it cannot start."""
    base = _make_base(reactor, clock, cfg, rand)
    reached = await reach_platform(base.store, base.clock, base.cfg)
    if isinstance(reached, Err):
        await base.store.close()
        return reached
    fleet = _make_fleet(base)
    services = _make_services(base, fleet)
    readiness = Readiness(clock, base.drain, services.config, fleet.view)
    await next_reactor_iteration(clock)
    opened = open_ports(base, services, make_apps(base, fleet, services, readiness))
    if isinstance(opened, Err):
        await _close_after_failed_start(base, fleet, services)
        return opened
    return Ok(_make_instance(base, fleet, services, opened.ok_value))


def _make_base(reactor: Any, clock: Clock, cfg: Settings, rand: random.Random) -> Base:
    metrics = make_metrics()
    store = http_store(reactor, clock, cfg.platform, metrics)
    return Base(
        reactor=reactor,
        clock=clock,
        rand=rand,
        cfg=cfg,
        metrics=metrics,
        store=store,
        budget=make_budget(store, clock, rand, cfg.platform),
        drain=Drain(DrainPlan(cfg.drain.balancer_lag_ms, cfg.drain.limit_ms)),
        boot=rand.getrandbits(BOOT_BITS),
    )


def _make_fleet(base: Base) -> Fleet:
    cfg = base.cfg
    policies = ReplicaPolicies(LoadTracker(), OutlierDetector(), BatchShare(cfg.instance.id))
    own_instance = OwnInstance(cfg.instance.id, cfg.instance.region, cfg.upstream.subset)
    view = FleetView(own_instance, policies, base.metrics)
    crash_watch = CrashWatch(base.clock, base.metrics, lambda: base.budget.down_since() is None)
    upstreams = make_upstream_client(base.reactor, base.clock, cfg.upstream, base.metrics)
    load_polls = make_load_polls(
        base.clock,
        base.rand,
        cfg.upstream.load_poll_ms,
        upstreams.load,
        LoadPollHandlers(view.on_load, crash_watch.on_poll_failed),
        lambda replica: policies.load_tracker.reported_ms(replica.id),
    )
    return Fleet(policies, view, crash_watch, upstreams, load_polls)


def _make_services(base: Base, fleet: Fleet) -> Services:
    cfg = base.cfg

    def make_heartbeat() -> Heartbeat:
        profiles = config.registry
        uses = tuple(fleet.policies.load_tracker.own_uses())
        return Heartbeat(
            cfg.instance.id,
            base.boot,
            base.drain.state(),
            profiles.version(),
            uses,
            profiles.digest(),
        )

    hub = _make_hub(base, make_heartbeat)
    loss_exchange = LossExchange(
        LossExchangeDeps(
            base.clock, hub, fleet.crash_watch, cfg.instance.id, lambda: hub.plan().hubs
        )
    )
    PermitExchange(
        PermitExchangeDeps(
            base.clock, hub, fleet.crash_watch, cfg.instance.id, lambda: hub.plan().hubs
        )
    )
    dispatch = _make_dispatch(base, fleet, hub)
    item_dispatch = ItemDispatch(dispatch)
    online = OnlineDispatch(dispatch, item_dispatch.preempt_for_online)
    config = _start_config(base, fleet, hub, online)
    batch = _start_batch(base, fleet, hub, item_dispatch, config)
    claims = _make_claims(base, hub)
    orders = _start_orders(base, fleet, config)
    services = Services(hub, loss_exchange, config, online, item_dispatch, batch, claims, orders)
    _subscribe(base, fleet, services)
    return services


def _make_hub(base: Base, make_heartbeat: Any) -> PeerHub:
    own = base.cfg.instance
    identity = Identity(own.id, base.boot, own.host, own.data_centre, own.region)
    return PeerHub(
        base.reactor,
        base.clock,
        base.cfg.peer,
        identity,
        make_heartbeat,
        base.metrics,
        base.rand,
    )


def _make_dispatch(base: Base, fleet: Fleet, hub: PeerHub) -> DispatchDeps:
    return DispatchDeps(
        clock=base.clock,
        rand=base.rand,
        data_centre=base.cfg.instance.data_centre,
        load_tracker=fleet.policies.load_tracker,
        outliers=fleet.policies.outliers,
        crashes=fleet.crash_watch,
        queue=AdmissionQueue(base.cfg.entry.max_queued),
        budget=RetryBudget(),
        first_bytes=FirstByteTimes(),
        share=fleet.policies.share,
        upstreams=fleet.upstreams,
        metrics=base.metrics,
        on_uses_changed=hub.on_uses_changed,
    )


def _start_config(base: Base, fleet: Fleet, hub: PeerHub, online: OnlineDispatch) -> ConfigService:
    def send_to_peer(peer_id: str, message: Message) -> None:
        hub.send(peer_id, message)

    return start_config(
        ConfigDeps(
            clock=base.clock,
            rand=base.rand,
            store=base.budget.view(Priority.CONFIG),
            settings=base.cfg.config,
            metrics=base.metrics,
            send=send_to_peer,
            broadcast=hub.broadcast,
            peers=lambda: [view.id for view in hub.views() if view.up],
            queued_under=online.queued_for_profile,
            upstream_names=lambda: set(fleet.view.upstream_names()),
            plan=hub.plan,
        )
    )


def _start_batch(
    base: Base, fleet: Fleet, hub: PeerHub, item_dispatch: ItemDispatch, config: ConfigService
) -> Batch:
    return start_batch(
        BatchDeps(
            clock=base.clock,
            rand=base.rand,
            store=base.budget.view(Priority.BULK),
            lease_store=base.budget.view(Priority.LEASE),
            dispatch=BatchDispatch(
                item_dispatch.free_slots, item_dispatch.run, item_dispatch.watch_capacity
            ),
            cfg=base.cfg.batch,
            instance=base.cfg.instance.id,
            boot=base.boot,
            find_profile=config.registry.profile,
            live_instances=fleet.view.live_entries,
            broadcast=hub.broadcast,
            metrics=base.metrics,
        )
    )


def _make_claims(base: Base, hub: PeerHub) -> Claims:
    async def query_writer(writer: str, reference: str) -> str:
        reply = await hub.send_request(
            writer,
            lambda correlation_id: ClaimAsk(correlation_id, reference),
            CLAIM_WRITER_TIMEOUT_MS,
        )
        if isinstance(reply, Ok) and isinstance(reply.ok_value, ClaimTell):
            return reply.ok_value.state
        return ""

    return Claims(
        ClaimDeps(
            store=base.budget.view(Priority.CLAIM),
            clock=base.clock,
            rng=base.rand,
            cfg=base.cfg.claims,
            metrics=base.metrics,
            instance=base.cfg.instance.id,
            boot=base.boot,
            query_writer=query_writer,
        )
    )


def _start_orders(base: Base, fleet: Fleet, config: ConfigService) -> OrderController:
    return start_order_controller(
        OrderControllerDeps(
            clock=base.clock,
            rand=base.rand,
            store=base.budget.view(Priority.LEASE),
            cfg=base.cfg.orders,
            instance=base.cfg.instance.id,
            engine_control=make_engine_control(base.reactor, base.clock, base.cfg.upstream),
            wanted_upstreams=lambda: list(config.registry.upstreams().values()),
            replicas=lambda: fleet.view.listed_replicas(base.clock.now()),
            instances=fleet.view.live_entries,
            required_serving=lambda upstream: fleet.view.replicas_needed(
                upstream, base.clock.now()
            ),
        )
    )


def _subscribe(base: Base, fleet: Fleet, services: Services) -> None:
    """Route messages from peers to the components that handle them."""
    hub = services.hub
    for kind in (Heartbeat, ConfigPush, ConfigAsk, ConfigTell):
        hub.subscribe(kind, services.config.on_peer_message)
    hub.subscribe(JobChanged, lambda _peer_id, message: services.batch.on_peer(message))
    hub.subscribe(ShardsReleased, lambda _peer_id, message: services.batch.on_peer(message))
    hub.subscribe(Heartbeat, make_peer_calls_handler(fleet.policies.load_tracker, base.clock.now))

    def on_claim_request(peer_id: str, message: Message) -> None:
        assert isinstance(message, ClaimAsk)
        state = services.claims.state(message.key)
        hub.send(peer_id, ClaimTell(message.correlation_id, message.key, state))

    def on_peers_changed() -> None:
        silent = [view.id for view in hub.views() if not view.up]
        fleet.view.on_peers_changed(hub.live(), silent)

    def on_profiles_changed(_key: str, _version: int) -> None:
        fleet.view.on_profiles(services.config.registry.profiles().values())

    hub.subscribe(ClaimAsk, on_claim_request)
    hub.on_change(on_peers_changed)
    services.config.registry.watch(on_profiles_changed)


async def _close_after_failed_start(base: Base, fleet: Fleet, services: Services) -> None:
    """Close what was started when a port cannot be opened."""
    services.claims.stop()
    await services.orders.stop()
    await services.batch.stop()
    await services.config.stop()
    services.loss_exchange.close()
    services.hub.close()
    await fleet.upstreams.close()
    await base.store.close()


def _make_instance(base: Base, fleet: Fleet, services: Services, opened: OpenPorts) -> Instance:
    view = base.budget.view
    members = make_membership(
        MembershipDeps(
            base.clock,
            base.rand,
            base.cfg,
            services.hub,
            view(Priority.CONFIG),
            view(Priority.LEASE),
            fleet.view.on_members_changed,
        ),
        opened.ports,
    )
    fleet.view.set_listeners(
        FleetListeners(
            fleet.load_polls.poll,
            services.hub.set_members,
            services.batch.on_members_changed,
            fleet.crash_watch.on_listed,
        )
    )
    components = Components(
        clock=base.clock,
        drain=base.drain,
        hub=services.hub,
        loss_exchange=services.loss_exchange,
        config=services.config,
        online=services.online,
        item_dispatch=services.item_dispatch,
        batch=services.batch,
        claims=services.claims,
        orders=services.orders,
        load_polls=fleet.load_polls,
        upstreams=fleet.upstreams,
        follower=members.follower,
        reporter=members.reporter,
        store=base.store,
        publish=fleet.view.publish,
        members_file=members.file,
    )
    instance = Instance(components, opened.ports, opened.handles, base.metrics)
    services.claims.start()
    members.follower.start()
    members.reporter.start()
    instance.start()
    events.emit(
        events.PROCESS_STARTED,
        instance=base.cfg.instance.id,
        sources=sources_id(),
        entry_port=opened.ports.entry,
        operator_port=opened.ports.operator,
        peer_port=opened.ports.peer,
    )
    return instance
