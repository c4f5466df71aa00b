"""Build the parts that every process on the platform has: the store, its followers, the peers."""

import random
from collections.abc import Callable, Collection
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.config.routing_book import RoutingBook
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.jobs.news import GroupsTold
from papayapier.metrics import Metrics, make_metrics
from papayapier.node.large_fleet import LargeFleet
from papayapier.node.mirrors import MirrorDeps, Way, answer_from, through_hubs
from papayapier.node.outage_tracker import StoreReturn
from papayapier.node.peer_calls import follow_calls, follow_totals
from papayapier.node.placement import PlacingDeps
from papayapier.node.placer import Placer, PlacerDeps
from papayapier.node.processes import (
    NODES,
    NodeList,
    NodeRecord,
    Role,
    is_written,
    write_down,
)
from papayapier.node.replica_list import (
    ListedReplica,
    ReplicaList,
    ReplicaListDeps,
    list_is_sure,
)
from papayapier.node.settings import NodeSettings
from papayapier.node.store_relay import RelayDeps, answer_peers, relayed
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.loss_news import LossNews, LossNewsDeps
from papayapier.peer.messages import CallsTold, ConfigPush, Heartbeat, Message
from papayapier.platform.configuration import CONFIG_KEY, CONFIG_PREFIX, read_configuration
from papayapier.platform.headers import read_facts
from papayapier.platform.replicas import REPLICAS_PREFIX, read_replica, says_other
from papayapier.platform.store import platform_store
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.totals import totals_of
from papayapier.store.api import Change, Store
from papayapier.store.budget import Budget, Priority, make_budget
from papayapier.store.mirror import Matters, Mirror, always
from papayapier.store.watch import Follower, FollowPace, report_failure
from papayapier.upstream.links import Links
from papayapier.upstream.raw import RawDeps, SendRaw, make_raw_send

BOOT_BITS: Final = 48
# Time from the notification that a call has ended until the next call starts in its slot: receive,
# choose, reply and send on a new connection, in processes that have half a core each.
TURN_ROUND_MS: Final = 80
# The store may take this much longer to answer than the requested wait.
MIRROR_MARGIN_MS: Final = 1_000


class NodeBase(NamedTuple):
    """Hold the parts that entries and keepers share."""

    reactor: Any
    clock: Clock
    rand: random.Random
    cfg: NodeSettings
    role: Role
    metrics: Metrics
    raw_store: Store
    budget: Budget
    drain: Drain
    book: LoadBook
    outliers: Outliers
    crashes: CrashWatch
    routing: RoutingBook
    replicas: ReplicaList
    news: GroupsTold
    store_return: StoreReturn
    nodes: NodeList
    hub: PeerHub
    links: Links
    send: SendRaw
    # Returns the store, called directly or relayed through a peer.
    view: Callable[[Priority], Store]
    loss_news: LossNews
    through: MirrorDeps
    placing: PlacingDeps
    placer: Placer
    # Whether batch may run here at a replica for which only totals of calls are received.
    uses_by_totals: Callable[[str], bool]
    # The copies of the store that a hub serves to others, by prefix; empty on other processes.
    mirrors: dict[str, Mirror]
    followers: list[Follower]
    # Background tasks that are cancelled when the process stops.
    tasks: list[Deferred[None]]


def make_base(
    reactor: Any, clock: Clock, cfg: NodeSettings, rand: random.Random, role: Role
) -> Result[NodeBase, str]:
    """Build the shared parts and start to listen for peers."""
    metrics = make_metrics()
    platform = cfg.store.platform()
    raw_store = platform_store(reactor, clock, platform, metrics)
    budget = make_budget(raw_store, clock, rand, platform)
    drain = Drain(DrainPlan(cfg.stop.balancer_lag_ms, cfg.stop.limit_ms()))
    book = LoadBook()
    outliers = Outliers()
    routing = RoutingBook(CONFIG_KEY, read_configuration)
    news = GroupsTold()
    boot = rand.getrandbits(BOOT_BITS)

    def heartbeat() -> Heartbeat:
        uses = tuple(book.uses())
        beat = Heartbeat(cfg.instance.id, boot, drain.state(), routing.version(), uses)
        if role is Role.ENTRY:
            return beat
        now = clock.now()
        beat = beat._replace(groups_told=news.count(now))
        if hub.plan().full_mesh:
            return beat
        if cfg.instance.id not in hub.plan().hubs:
            return beat._replace(words=news.last(now))
        totals = totals_of(book, fleet.hubs(), cfg.instance.id)
        return beat._replace(totals=totals, words=news.last(now))

    def on_replicas(listed: list[ListedReplica]) -> None:
        replicas = [one.replica for one in listed]
        slots = {one.replica.id: one.slots for one in listed if one.slots}
        book.on_listed(replicas, {one.replica.id for one in listed if one.leaving}, slots)
        outliers.on_listed(replicas)
        crashes.on_listed(
            [one.id for one in replicas], [one.replica.id for one in listed if one.leaving]
        )
        fleet.on_replicas(replicas)
        placer.on_listed(frozenset(one.id for one in replicas))

    def concerned(changed: Collection[str]) -> Collection[str]:
        return fleet.concerned(changed)

    def soon(call: Callable[[], None]) -> object:
        return clock.call_later(0, call)

    own = cfg.instance
    me = Identity(own.id, boot, own.host, own.data_centre, own.region, role is Role.KEEPER)
    hub = PeerHub(reactor, clock, cfg.peer, me, heartbeat, metrics, rand, concerned)
    nodes = NodeList(hub.set_members, soon, own.id, lambda: _write_down(base))
    fleet = LargeFleet(nodes, hub.live, lambda: hub.plan().hubs, hub.vouched, routing.table)
    listening = hub.start()
    if isinstance(listening, Err):
        return listening
    links = Links(reactor, clock, cfg.upstream)
    store_return = StoreReturn(clock, budget)
    crashes = CrashWatch(clock, metrics, lambda: list_is_sure(store_return.back_ms(), clock.now()))
    replicas = ReplicaList(
        ReplicaListDeps(
            clock, REPLICAS_PREFIX, read_replica, store_return.back_ms, on_replicas, soon
        )
    )
    send = RawDeps(links, read_facts, book.on_report, replicas.on_moved, metrics)
    relay = RelayDeps(clock, rand, hub, lambda: budget.down_since() is not None)
    placing = PlacingDeps(
        clock, rand, hub, book, outliers, fleet.hubs, lambda: fleet.parts, cfg.placing.queue
    )
    empty_ms = cfg.peer.early_ms + TURN_ROUND_MS
    placer = Placer(
        PlacerDeps(clock, rand, hub, book, outliers, lambda: fleet.parts, metrics, empty_ms)
    )
    loss_news = LossNews(LossNewsDeps(clock, hub, crashes, own.id, fleet.hubs))
    mirrors: dict[str, Mirror] = {}
    base = NodeBase(
        reactor=reactor,
        clock=clock,
        rand=rand,
        cfg=cfg,
        role=role,
        metrics=metrics,
        raw_store=raw_store,
        budget=budget,
        drain=drain,
        book=book,
        outliers=outliers,
        crashes=crashes,
        routing=routing,
        replicas=replicas,
        news=news,
        store_return=store_return,
        nodes=nodes,
        hub=hub,
        links=links,
        send=make_raw_send(send),
        view=lambda priority: relayed(budget.view(priority), relay),
        loss_news=loss_news,
        through=MirrorDeps(hub, own.id, fleet.hubs, store_return.on_told, clock, nodes.count),
        placing=placing,
        placer=placer,
        uses_by_totals=lambda replica: fleet.uses_by_totals(replica, own.id),
        mirrors=mirrors,
        followers=[],
        tasks=[],
    )
    placer.start()
    answer_from(hub, mirrors, store_return.ms_ago)
    _subscribe(base, role)
    return Ok(base)


class Haste(NamedTuple):
    """Set how soon changes under a prefix must be known.

    slowness multiplies the wait of a watch and the poll interval; gather_ms is the pause after each
    change, in which further changes are collected.
    """

    slowness: int
    gather_ms: int


# Configuration: few changes, in force everywhere within two seconds.
AT_ONCE: Final = Haste(1, 0)
# Replicas: a leaving replica must get no new calls after two seconds. Replicas that have just
# started change their entries with each heartbeat, about once a second each.
IN_A_SECOND: Final = Haste(1, 800)
# Jobs: a few arrive per second, and the delay counts towards their due time.
SOON: Final = Haste(1, 300)
# Processes and retirements: hundreds may change at once after a power loss, and no work waits for
# a single change.
SLOWLY: Final = Haste(3, 1_500)


def follow(
    base: NodeBase,
    prefix: str,
    on_change: Callable[[Change], None],
    haste: Haste,
    matters: Matters = always,
) -> Follower:
    """Start to follow the objects under a prefix.

    On a keeper a mirror serves them to other processes; is_relevant selects what it passes on.
    """
    cfg = base.cfg
    pace = FollowPace(
        cfg.follow.watch_ms * haste.slowness,
        cfg.follow.poll_ms * haste.slowness,
        cfg.store.longest_pause_ms,
        haste.gather_ms,
    )
    way = Way()
    patient = prefix == REPLICAS_PREFIX
    store = through_hubs(base.view(Priority.CONFIG), base.through, way, patient)
    if base.role is Role.KEEPER:
        lasting_ms = pace.watch_ms + pace.gather_ms + MIRROR_MARGIN_MS
        mirror = Mirror(base.clock, lasting_ms, matters)
        base.mirrors[prefix] = mirror
        tell_both = _both(on_change, mirror.on_change)
        follower = Follower(
            store,
            base.clock,
            base.rand,
            prefix,
            tell_both,
            pace,
            lambda reached: mirror.on_reached(reached, way.direct),
        )
    else:
        follower = Follower(store, base.clock, base.rand, prefix, on_change, pace)
    base.followers.append(follower)
    follower.start()
    return follower


def _both(
    first: Callable[[Change], None], second: Callable[[Change], None]
) -> Callable[[Change], None]:
    def tell(change: Change) -> None:
        first(change)
        second(change)

    return tell


class Followed(NamedTuple):
    """Hold the followers that must have read the store before the process is ready."""

    config: Follower
    replicas: Follower


def follow_common(base: NodeBase, role: Role) -> Followed:
    """Follow configuration, replicas and processes, and register this process in the store."""
    followed = Followed(
        follow(base, CONFIG_PREFIX, base.routing.on_change, AT_ONCE),
        follow(base, REPLICAS_PREFIX, base.replicas.on_change, IN_A_SECOND, says_other),
    )
    listed = follow(base, NODES, base.nodes.on_change, SLOWLY)
    _write_down(base, lambda: listed.listed_ms is not None)
    probe = Deferred.fromCoroutine(_probe_store(base))
    probe.addErrback(report_failure, "probe")
    base.tasks.append(probe)
    return followed


def _write_down(base: NodeBase, listed: Callable[[], bool] = lambda: True) -> None:
    """Register this process in the store, at its start and after others have marked it lost."""
    own = base.cfg.instance
    record = NodeRecord(base.role, own.host, base.cfg.peer.port, own.data_centre, own.region)
    store = base.view(Priority.LEASE)

    async def write() -> None:
        if not await is_written(base.clock, base.nodes, own.id, record, listed):
            await write_down(store, base.clock, base.rand, own.id, record)

    task = Deferred.fromCoroutine(write())
    task.addErrback(report_failure, "write down")
    base.tasks.append(task)


async def _probe_store(base: NodeBase) -> None:
    """Detect the return of the store even when every other call goes through a peer."""
    store = base.budget.view(Priority.CONFIG)
    while True:
        await base.clock.sleep(base.cfg.store.longest_pause_ms)
        if base.budget.down_since() is not None:
            await store.get(CONFIG_KEY)


async def close_base(base: NodeBase) -> None:
    """Stop the tasks and followers, and close all connections."""
    for task in base.tasks:
        task.cancel()
    for follower in base.followers:
        follower.stop()
    base.loss_news.close()
    base.placer.close()
    base.hub.close()
    await base.links.close()
    await base.raw_store.close()


def _subscribe(base: NodeBase, role: Role) -> None:
    """Subscribe to peers' messages, and broadcast each new configuration."""
    hub = base.hub

    def on_uses(peer_id: str, beat: Heartbeat) -> None:
        # In a large fleet an entry uses the totals that hubs send, which include the hubs' own
        # calls. Processing both from 15 hubs took a tenth of an idle entry's processor time.
        by_totals = role is Role.ENTRY and not hub.plan().full_mesh
        if not (by_totals and peer_id in base.nodes.with_role(Role.KEEPER)):
            base.book.on_peer_uses(peer_id, beat.uses, base.clock.now())

    hub.subscribe(Heartbeat, on_uses)
    if role is Role.ENTRY:
        follow_totals(hub, base.book)
    else:
        follow_totals(hub, base.book, base.uses_by_totals)
    base.tasks.append(follow_calls(hub, base.book, base.clock))
    hub.subscribe(Heartbeat, lambda _peer, _beat: base.placer.on_calls())
    hub.subscribe(CallsTold, lambda _peer, _told: base.placer.on_calls())
    answer_peers(hub, base.budget.view(Priority.BULK))
    live = set(hub.live())

    def on_peers() -> None:
        nonlocal live
        now_live = set(hub.live())
        for gone in live - now_live:
            base.book.on_peer_gone(gone)
        live = now_live

    def on_push(peer_id: str, message: Message) -> None:
        assert isinstance(message, ConfigPush)
        if message.key == base.routing.key:
            base.routing.offer(message.version, message.value, peer_id)

    hub.on_change(on_peers)
    hub.subscribe(ConfigPush, on_push)
    base.routing.watch(
        lambda _table: hub.tell_all(
            ConfigPush(base.routing.key, base.routing.revision, base.routing.value)
        )
    )
