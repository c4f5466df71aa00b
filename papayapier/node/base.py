"""Build the parts that every process on the platform has: the store, its followers, the peers."""

import random
from collections.abc import Callable, Collection
from functools import partial
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.config.routing_registry import RoutingRegistry
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.jobs.notifications import SentNotifications
from papayapier.lasting_tasks import run_always
from papayapier.metrics import Metrics, make_metrics
from papayapier.node.large_fleet import LargeFleet
from papayapier.node.list_catch_up import ListCatchUp
from papayapier.node.mirrors import MirrorDeps, StoreSource, serve_mirrors, with_hub_mirrors
from papayapier.node.outage_tracker import OutageTracker
from papayapier.node.peer_calls import track_peer_calls, track_totals
from papayapier.node.placement import PlacementDeps
from papayapier.node.placer import Placer, PlacerDeps
from papayapier.node.processes import (
    NODES_PREFIX,
    NodeList,
    NodeRecord,
    Role,
    is_registered,
    register_node,
)
from papayapier.node.replica_list import (
    ListedReplica,
    ReplicaList,
    ReplicaListDeps,
    is_list_current,
)
from papayapier.node.settings import NodeSettings
from papayapier.node.store_relay import RelayDeps, serve_store_calls, with_relay
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.loss_exchange import LossExchange, LossExchangeDeps
from papayapier.peer.messages import CallsTold, ConfigPush, Heartbeat, Message
from papayapier.peer.permit_exchange import PermitExchange, PermitExchangeDeps
from papayapier.peer.version_exchange import VersionExchange, VersionExchangeDeps
from papayapier.platform.configuration import CONFIG_KEY, CONFIG_PREFIX, read_configuration
from papayapier.platform.headers import decode_facts
from papayapier.platform.replicas import REPLICAS_PREFIX, decodes_differently, read_replica
from papayapier.platform.store import platform_store, value_bound
from papayapier.policy.batch_sharers import totals_to_report
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.stream_versions import stream_life_ms
from papayapier.store.api import Change, Store, ValueBound
from papayapier.store.budget import Budget, Priority, make_budget
from papayapier.store.mirror import IsRelevant, Mirror, always_relevant
from papayapier.store.watch import Follower, FollowIntervals
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.forward_call import (
    ForwardCallDeps,
    ForwardCallSender,
    make_forward_call_sender,
)

BOOT_BITS: Final = 48
# Time from the notification that a call has ended until the next call starts in its slot: receive,
# choose, reply and send on a new connection, in processes that have half a core each.
CALL_TURNAROUND_MS: Final = 80
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
    direct_store: Store
    # Bound of the store's values.
    value_bound: ValueBound
    budget: Budget
    drain: Drain
    load_tracker: LoadTracker
    outliers: OutlierDetector
    crashes: CrashWatch
    routing: RoutingRegistry
    replicas: ReplicaList
    group_notifications: SentNotifications
    outage_tracker: OutageTracker
    nodes: NodeList
    hub: PeerHub
    pools: ConnectionPools
    send: ForwardCallSender
    # Returns the store, called directly or relayed through a peer.
    view: Callable[[Priority], Store]
    loss_exchange: LossExchange
    stream_versions: VersionExchange
    list_catch_up: ListCatchUp
    mirror_deps: MirrorDeps
    placement_deps: PlacementDeps
    placer: Placer
    # Whether batch may run here at a replica for which only totals of calls are received.
    may_batch_by_totals: Callable[[str], bool]
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
    direct_store = platform_store(reactor, clock, platform, metrics)
    budget = make_budget(direct_store, clock, rand, platform)
    drain = Drain(DrainPlan(cfg.stop.balancer_lag_ms, cfg.stop.limit_ms()))
    load_tracker = LoadTracker()
    outliers = OutlierDetector()
    routing = RoutingRegistry(CONFIG_KEY, read_configuration)
    group_notifications = SentNotifications()
    boot = rand.getrandbits(BOOT_BITS)

    def make_heartbeat() -> Heartbeat:
        uses = tuple(load_tracker.own_uses())
        message = Heartbeat(cfg.instance.id, boot, drain.state(), routing.version(), uses)
        if role is Role.ENTRY:
            return message
        now = clock.now()
        message = message._replace(notification_count=group_notifications.count(now))
        if hub.plan().full_mesh:
            return message
        if cfg.instance.id not in hub.plan().hubs:
            return message._replace(notifications=group_notifications.recent(now))
        totals = totals_to_report(load_tracker, fleet.hubs(), cfg.instance.id)
        return message._replace(totals=totals, notifications=group_notifications.recent(now))

    def on_replicas(listed: list[ListedReplica]) -> None:
        replicas = [entry.replica for entry in listed]
        slots = {entry.replica.id: entry.slots for entry in listed if entry.slots}
        load_tracker.on_listed(
            replicas, {entry.replica.id for entry in listed if entry.leaving}, slots
        )
        outliers.on_listed(replicas)
        crashes.on_listed(
            [replica.id for replica in replicas],
            [entry.replica.id for entry in listed if entry.leaving],
        )
        fleet.on_replicas(replicas)
        stream_versions.on_listed(replicas)
        placer.on_listed(frozenset(replica.id for replica in replicas))

    def longest_stream_ms() -> int:
        table = routing.table()
        return stream_life_ms(0 if table is None else table.longest_stream_ms)

    def concerned_keepers(changed: Collection[str]) -> Collection[str]:
        return fleet.concerned_keepers(changed)

    def defer(call: Callable[[], None]) -> object:
        return clock.call_later(0, call)

    own = cfg.instance
    me = Identity(own.id, boot, own.host, own.data_centre, own.region, role is Role.KEEPER)
    hub = PeerHub(reactor, clock, cfg.peer, me, make_heartbeat, metrics, rand, concerned_keepers)
    nodes = NodeList(hub.set_members, defer, own.id, lambda: _register(base))
    fleet = LargeFleet(nodes, hub.live, lambda: hub.plan().hubs, hub.agreed_live, routing.table)
    listening = hub.start()
    if isinstance(listening, Err):
        return listening
    pools = ConnectionPools(reactor, clock, cfg.upstream)
    outage_tracker = OutageTracker(clock, budget)
    crashes = CrashWatch(
        clock, metrics, lambda: is_list_current(outage_tracker.last_return_ms(), clock.now())
    )
    replicas = ReplicaList(
        ReplicaListDeps(
            clock, REPLICAS_PREFIX, read_replica, outage_tracker.last_return_ms, on_replicas, defer
        )
    )

    def on_address_reassigned(replica_id: str) -> None:
        crashes.on_replica_ended(replica_id)
        replicas.on_moved(replica_id)

    send = ForwardCallDeps(
        pools, decode_facts, load_tracker.on_report, on_address_reassigned, metrics
    )
    relay = RelayDeps(clock, rand, hub, lambda: budget.down_since() is not None)
    placement_deps = PlacementDeps(
        clock,
        rand,
        hub,
        load_tracker,
        outliers,
        fleet.hubs,
        lambda: fleet.partitions,
        cfg.placing.queue,
    )
    turnaround_ms = cfg.peer.early_ms + CALL_TURNAROUND_MS
    placer = Placer(
        PlacerDeps(
            clock,
            rand,
            hub,
            load_tracker,
            outliers,
            lambda: fleet.partitions,
            metrics,
            turnaround_ms,
        )
    )
    loss_exchange = LossExchange(LossExchangeDeps(clock, hub, crashes, own.id, fleet.hubs))
    PermitExchange(PermitExchangeDeps(clock, hub, crashes, own.id, fleet.hubs))
    list_catch_up = ListCatchUp(clock)
    stream_versions = VersionExchange(
        VersionExchangeDeps(
            clock,
            hub,
            own.id,
            lambda: nodes.with_role(Role.KEEPER) & hub.agreed_live(),
            list_catch_up.run,
            list_catch_up.complete_since_ms,
        ),
        longest_stream_ms,
    )
    mirrors: dict[str, Mirror] = {}
    base = NodeBase(
        reactor=reactor,
        clock=clock,
        rand=rand,
        cfg=cfg,
        role=role,
        metrics=metrics,
        direct_store=direct_store,
        value_bound=value_bound(cfg.store.value_bytes),
        budget=budget,
        drain=drain,
        load_tracker=load_tracker,
        outliers=outliers,
        crashes=crashes,
        routing=routing,
        replicas=replicas,
        group_notifications=group_notifications,
        outage_tracker=outage_tracker,
        nodes=nodes,
        hub=hub,
        pools=pools,
        send=make_forward_call_sender(send),
        view=lambda priority: with_relay(budget.view(priority), relay),
        loss_exchange=loss_exchange,
        stream_versions=stream_versions,
        list_catch_up=list_catch_up,
        mirror_deps=MirrorDeps(
            hub, own.id, fleet.hubs, outage_tracker.on_reported, clock, nodes.count
        ),
        placement_deps=placement_deps,
        placer=placer,
        may_batch_by_totals=lambda replica: fleet.may_batch_by_totals(replica, own.id),
        mirrors=mirrors,
        followers=[],
        tasks=[],
    )
    placer.start()
    serve_mirrors(hub, mirrors, outage_tracker.ms_since_return)
    _subscribe(base, role)
    return Ok(base)


class FollowUrgency(NamedTuple):
    """Set how soon changes under a prefix must be known.

    slowness multiplies the wait of a watch and the poll interval; collect_ms is the pause after
    each change, in which further changes are collected.
    """

    slowness: int
    collect_ms: int


# Configuration: few changes, in force everywhere within two seconds.
FOLLOW_IMMEDIATELY: Final = FollowUrgency(1, 0)
# Replicas: a leaving replica must get no new calls after two seconds. Replicas that have just
# started change their entries with each heartbeat, about once a second each.
FOLLOW_WITHIN_A_SECOND: Final = FollowUrgency(1, 800)
# Jobs: a few arrive per second, and the delay counts towards their due time.
FOLLOW_SOON: Final = FollowUrgency(1, 300)
# Processes and retirements: hundreds may change at once after a power loss, and no work waits for
# a single change.
FOLLOW_SLOWLY: Final = FollowUrgency(3, 1_500)


def follow(
    base: NodeBase,
    prefix: str,
    on_change: Callable[[Change], None],
    urgency: FollowUrgency,
    is_relevant: IsRelevant = always_relevant,
    on_seen: Callable[[Change], None] = lambda _change: None,
) -> Follower:
    """Start to follow the objects under a prefix.

    On a keeper a mirror serves them to other processes; is_relevant selects what it passes on.
    on_seen gets the changes that were read after the watch was interrupted.
    """
    cfg = base.cfg
    intervals = FollowIntervals(
        cfg.follow.watch_ms * urgency.slowness,
        cfg.follow.poll_ms * urgency.slowness,
        cfg.store.longest_pause_ms,
        urgency.collect_ms,
    )
    source = StoreSource()
    wait_for_watcher = prefix == REPLICAS_PREFIX
    store = with_hub_mirrors(base.view(Priority.CONFIG), base.mirror_deps, source, wait_for_watcher)
    if base.role is Role.KEEPER:
        valid_ms = intervals.watch_ms + intervals.collect_ms + MIRROR_MARGIN_MS
        mirror = Mirror(base.clock, valid_ms, is_relevant)
        base.mirrors[prefix] = mirror
        notify_both = _call_both(on_change, mirror.on_change)
        follower = Follower(
            store,
            base.clock,
            base.rand,
            prefix,
            notify_both,
            intervals,
            lambda reached: mirror.on_reached(reached, source.direct),
            on_seen,
        )
    else:
        follower = Follower(
            store, base.clock, base.rand, prefix, on_change, intervals, on_seen=on_seen
        )
    base.followers.append(follower)
    follower.start()
    return follower


def _call_both(
    first: Callable[[Change], None], second: Callable[[Change], None]
) -> Callable[[Change], None]:
    def notify(change: Change) -> None:
        try:
            first(change)
        finally:
            second(change)

    return notify


class Followed(NamedTuple):
    """Hold the followers that must have read the store before the process is ready."""

    config: Follower
    replicas: Follower


def follow_common(base: NodeBase, role: Role) -> Followed:
    """Follow configuration, replicas and processes, and register this process in the store."""
    followed = Followed(
        follow(base, CONFIG_PREFIX, base.routing.on_change, FOLLOW_IMMEDIATELY),
        follow(
            base,
            REPLICAS_PREFIX,
            base.replicas.on_change,
            FOLLOW_WITHIN_A_SECOND,
            decodes_differently,
            partial(_on_replica_seen, base),
        ),
    )
    base.list_catch_up.attach(followed.replicas, base.view(Priority.CLAIM))
    listed = follow(base, NODES_PREFIX, base.nodes.on_change, FOLLOW_SLOWLY)
    _register(base, lambda: listed.last_listed_ms is not None)
    base.tasks.append(run_always(base.clock, "probe", partial(_probe_store, base)))
    return followed


def _on_replica_seen(base: NodeBase, change: Change) -> None:
    """Record the version of a replica that may no longer be listed."""
    read = read_replica(change.key.removeprefix(REPLICAS_PREFIX), change.value)
    if isinstance(read, Ok) and not change.deleted:
        replica = read.ok_value.replica
        base.stream_versions.history.on_seen(replica.upstream, replica.version, base.clock.now())


def _register(base: NodeBase, listed: Callable[[], bool] = lambda: True) -> None:
    """Register this process in the store, at its start and after others have marked it lost."""
    own = base.cfg.instance
    record = NodeRecord(base.role, own.host, base.cfg.peer.port, own.data_centre, own.region)
    store = base.view(Priority.LEASE)

    async def write() -> None:
        if not await is_registered(base.clock, base.nodes, own.id, record, listed):
            await register_node(store, base.clock, base.rand, own.id, record)

    base.tasks.append(run_always(base.clock, "registration", write))


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
    base.loss_exchange.close()
    base.placer.close()
    base.hub.close()
    await base.pools.close()
    await base.direct_store.close()


def _subscribe(base: NodeBase, role: Role) -> None:
    """Subscribe to peers' messages, and broadcast each new configuration."""
    hub = base.hub

    def on_uses(peer_id: str, heartbeat: Heartbeat) -> None:
        # In a large fleet an entry uses the totals that hubs send, which include the hubs' own
        # calls. Processing both from 15 hubs took a tenth of an idle entry's processor time.
        by_totals = role is Role.ENTRY and not hub.plan().full_mesh
        if not (by_totals and peer_id in base.nodes.with_role(Role.KEEPER)):
            base.load_tracker.on_peer_calls(peer_id, heartbeat.uses, base.clock.now())

    hub.subscribe(Heartbeat, on_uses)
    if role is Role.ENTRY:
        track_totals(hub, base.load_tracker)
    else:
        track_totals(hub, base.load_tracker, base.may_batch_by_totals)
    base.tasks.append(track_peer_calls(hub, base.load_tracker, base.clock))
    hub.subscribe(Heartbeat, lambda _peer, _heartbeat: base.placer.on_calls())
    hub.subscribe(CallsTold, lambda _peer, _message: base.placer.on_calls())
    serve_store_calls(hub, base.budget.view(Priority.BULK))
    live = set(hub.live())

    def on_peers() -> None:
        nonlocal live
        now_live = set(hub.live())
        for departed in live - now_live:
            base.load_tracker.on_peer_departed(departed)
        live = now_live

    def on_push(peer_id: str, message: Message) -> None:
        assert isinstance(message, ConfigPush)
        if message.key == base.routing.key:
            base.routing.apply_if_newer(message.version, message.value, peer_id)

    hub.on_change(on_peers)
    hub.subscribe(ConfigPush, on_push)
    base.routing.watch(
        lambda _table: hub.broadcast(
            ConfigPush(base.routing.key, base.routing.revision, base.routing.value)
        )
    )
