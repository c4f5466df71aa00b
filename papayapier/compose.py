"""Wire the parts of one instance together: the one place that knows all of them.

Parts are given what they need as functions, so that none imports another only to call it.
The steps below follow the order of dependence: the base and the platform first, then what is
known of the fleet, then the work, then the addresses that let work in.
"""

import random
from typing import Any, Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.batch.api import BatchDeps, BatchDispatch
from papayapier.batch.start import Batch, start_batch
from papayapier.claims.service import ClaimDeps, Claims
from papayapier.clock import Clock
from papayapier.config.start import Config, ConfigDeps, start_config
from papayapier.dispatch.api import DispatchDeps
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.lanes import BatchLanes
from papayapier.dispatch.online import OnlineDispatch
from papayapier.fleet_view import FleetListeners, FleetView, Place, Policies, peer_uses_reader
from papayapier.instance import Instance, Parts, Readiness
from papayapier.listen import next_turn
from papayapier.membership import MembershipDeps, make_membership, reach_platform
from papayapier.metrics import make_metrics
from papayapier.orders.controller import OrderControl, OrdersDeps, start_orders
from papayapier.parts import Base, Fleet, Work
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.loss_news import LossNews, LossNewsDeps
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
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.retries import RetryBudget
from papayapier.settings import Settings
from papayapier.store.budget import Priority, make_budget
from papayapier.store.http import http_store
from papayapier.surfaces import Open, make_apps, open_surfaces
from papayapier.upstream.client import make_upstreams
from papayapier.upstream.orders import make_orders
from papayapier.upstream.reports import OnReport, make_reports

BOOT_BITS: Final = 48
ASK_WRITER_MS: Final = 500


async def start_instance(
    reactor: Any, clock: Clock, cfg: Settings, rand: random.Random
) -> Result[Instance, str]:
    """Start one instance, or say in one line why it cannot start."""
    base = _make_base(reactor, clock, cfg, rand)
    reached = await reach_platform(base.store, base.clock, base.cfg)
    if isinstance(reached, Err):
        await base.store.close()
        return reached
    fleet = _make_fleet(base)
    work = _make_work(base, fleet)
    readiness = Readiness(clock, base.drain, work.config, fleet.view)
    await next_turn(clock)
    listening = open_surfaces(base, work, make_apps(base, fleet, work, readiness))
    if isinstance(listening, Err):
        await _give_up(base, fleet, work)
        return listening
    return Ok(_make_instance(base, fleet, work, listening.ok_value))


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
    policies = Policies(LoadBook(), Outliers(), BatchShare(cfg.instance.id))
    place = Place(cfg.instance.id, cfg.instance.region, cfg.upstream.subset)
    view = FleetView(place, policies, base.metrics)
    crashes = CrashWatch(base.clock, base.metrics, lambda: base.budget.down_since() is None)
    upstreams = make_upstreams(base.reactor, base.clock, cfg.upstream, base.metrics)
    reports = make_reports(
        base.clock,
        base.rand,
        cfg.upstream.load_poll_ms,
        upstreams.load,
        OnReport(view.on_load, crashes.on_poll_failed),
        lambda replica: policies.book.reported_at(replica.id),
    )
    return Fleet(policies, view, crashes, upstreams, reports)


def _make_work(base: Base, fleet: Fleet) -> Work:
    cfg = base.cfg

    def heartbeat() -> Heartbeat:
        book = config.book
        uses = tuple(fleet.policies.book.uses())
        return Heartbeat(
            cfg.instance.id, base.boot, base.drain.state(), book.version(), uses, book.digest()
        )

    hub = _make_hub(base, heartbeat)
    loss_news = LossNews(
        LossNewsDeps(base.clock, hub, fleet.crashes, cfg.instance.id, lambda: hub.plan().hubs)
    )
    dispatch = _make_dispatch(base, fleet, hub)
    lanes = BatchLanes(dispatch)
    online = OnlineDispatch(dispatch, lanes.before_online_send)
    config = _start_config(base, fleet, hub, online)
    batch = _start_batch(base, fleet, hub, lanes, config)
    claims = _make_claims(base, hub)
    orders = _start_orders(base, fleet, config)
    work = Work(hub, loss_news, config, online, lanes, batch, claims, orders)
    _subscribe(base, fleet, work)
    return work


def _make_hub(base: Base, heartbeat: Any) -> PeerHub:
    own = base.cfg.instance
    me = Identity(own.id, base.boot, own.host, own.data_centre, own.region)
    return PeerHub(base.reactor, base.clock, base.cfg.peer, me, heartbeat, base.metrics, base.rand)


def _make_dispatch(base: Base, fleet: Fleet, hub: PeerHub) -> DispatchDeps:
    return DispatchDeps(
        clock=base.clock,
        rand=base.rand,
        data_centre=base.cfg.instance.data_centre,
        book=fleet.policies.book,
        outliers=fleet.policies.outliers,
        crashes=fleet.crashes,
        queue=AdmissionQueue(base.cfg.entry.max_queued),
        budget=RetryBudget(),
        first_bytes=FirstByteTimes(),
        share=fleet.policies.share,
        upstreams=fleet.upstreams,
        metrics=base.metrics,
        uses_changed=hub.uses_changed,
    )


def _start_config(base: Base, fleet: Fleet, hub: PeerHub, online: OnlineDispatch) -> Config:
    def tell_peer(peer_id: str, message: Message) -> None:
        hub.tell(peer_id, message)

    return start_config(
        ConfigDeps(
            clock=base.clock,
            rand=base.rand,
            store=base.budget.view(Priority.CONFIG),
            settings=base.cfg.config,
            metrics=base.metrics,
            tell=tell_peer,
            broadcast=hub.tell_all,
            peers=lambda: [view.id for view in hub.views() if view.up],
            queued_under=online.queued_under,
            upstream_names=lambda: set(fleet.view.upstream_names()),
            plan=hub.plan,
        )
    )


def _start_batch(
    base: Base, fleet: Fleet, hub: PeerHub, lanes: BatchLanes, config: Config
) -> Batch:
    return start_batch(
        BatchDeps(
            clock=base.clock,
            rand=base.rand,
            store=base.budget.view(Priority.BULK),
            lease_store=base.budget.view(Priority.LEASE),
            dispatch=BatchDispatch(lanes.room, lanes.run, lanes.watch_room),
            cfg=base.cfg.batch,
            instance=base.cfg.instance.id,
            boot=base.boot,
            profile=config.book.profile,
            live_instances=fleet.view.live_entries,
            tell_peers=hub.tell_all,
            metrics=base.metrics,
        )
    )


def _make_claims(base: Base, hub: PeerHub) -> Claims:
    async def ask_writer(writer: str, reference: str) -> str:
        told = await hub.ask(writer, lambda ask_id: ClaimAsk(ask_id, reference), ASK_WRITER_MS)
        if isinstance(told, Ok) and isinstance(told.ok_value, ClaimTell):
            return told.ok_value.state
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
            ask_writer=ask_writer,
        )
    )


def _start_orders(base: Base, fleet: Fleet, config: Config) -> OrderControl:
    return start_orders(
        OrdersDeps(
            clock=base.clock,
            rand=base.rand,
            store=base.budget.view(Priority.LEASE),
            cfg=base.cfg.orders,
            instance=base.cfg.instance.id,
            orders=make_orders(base.reactor, base.clock, base.cfg.upstream),
            wanted=lambda: list(config.book.upstreams().values()),
            replicas=lambda: fleet.view.listed_replicas(base.clock.now()),
            instances=fleet.view.live_entries,
            need=lambda upstream: fleet.view.replicas_needed(upstream, base.clock.now()),
        )
    )


def _subscribe(base: Base, fleet: Fleet, work: Work) -> None:
    """Pass peers' messages to the parts that they concern."""
    hub = work.hub
    for kind in (Heartbeat, ConfigPush, ConfigAsk, ConfigTell):
        hub.subscribe(kind, work.config.on_peer)
    hub.subscribe(JobChanged, lambda _peer_id, message: work.batch.on_peer(message))
    hub.subscribe(ShardsReleased, lambda _peer_id, message: work.batch.on_peer(message))
    hub.subscribe(Heartbeat, peer_uses_reader(fleet.policies.book, base.clock.now))

    def tell_claim(peer_id: str, message: Message) -> None:
        assert isinstance(message, ClaimAsk)
        state = work.claims.state(message.key)
        hub.tell(peer_id, ClaimTell(message.ask_id, message.key, state))

    def tell_peers_changed() -> None:
        silent = [view.id for view in hub.views() if not view.up]
        fleet.view.on_peers(hub.live(), silent)

    def tell_profiles(_key: str, _version: int) -> None:
        fleet.view.on_profiles(work.config.book.profiles().values())

    hub.subscribe(ClaimAsk, tell_claim)
    hub.on_change(tell_peers_changed)
    work.config.book.watch(tell_profiles)


async def _give_up(base: Base, fleet: Fleet, work: Work) -> None:
    """Close what was started, when an address cannot be had."""
    work.claims.stop()
    await work.orders.stop()
    await work.batch.stop()
    await work.config.stop()
    work.loss_news.close()
    work.hub.close()
    await fleet.upstreams.close()
    await base.store.close()


def _make_instance(base: Base, fleet: Fleet, work: Work, opened: Open) -> Instance:
    view = base.budget.view
    members = make_membership(
        MembershipDeps(
            base.clock,
            base.rand,
            base.cfg,
            work.hub,
            view(Priority.CONFIG),
            view(Priority.LEASE),
            fleet.view.on_members,
        ),
        opened.ports,
    )
    fleet.view.connect(
        FleetListeners(
            fleet.reports.poll,
            work.hub.set_members,
            work.batch.on_members_changed,
            fleet.crashes.on_listed,
        )
    )
    parts = Parts(
        clock=base.clock,
        drain=base.drain,
        hub=work.hub,
        loss_news=work.loss_news,
        config=work.config,
        online=work.online,
        lanes=work.lanes,
        batch=work.batch,
        claims=work.claims,
        orders=work.orders,
        reports=fleet.reports,
        upstreams=fleet.upstreams,
        follower=members.follower,
        reporter=members.reporter,
        store=base.store,
        publish=fleet.view.publish,
        members_folder=members.folder,
    )
    instance = Instance(parts, opened.ports, opened.handles, base.metrics)
    work.claims.start()
    members.follower.start()
    members.reporter.start()
    instance.start()
    events.emit(
        events.PROCESS_STARTED,
        instance=base.cfg.instance.id,
        entry_port=opened.ports.entry,
        operator_port=opened.ports.operator,
        peer_port=opened.ports.peer,
    )
    return instance
