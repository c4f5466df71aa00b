"""Test that a large fleet follows the store through hubs, and that stale copies are not used."""

import gc
import random
import sys
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.logger import globalLogPublisher

from papayapier.clock import fake_clock
from papayapier.node.mirrors import (
    LIST_RETRY_MS,
    MAX_HUB_WAIT_MS,
    POLL_MS,
    WATCHER_COUNT,
    MirrorDeps,
    StoreSource,
    serve_mirrors,
    watchers,
    with_hub_mirrors,
)
from papayapier.node.store_messages import decode_listing, encode_listing
from papayapier.peer import wire
from papayapier.peer.messages import NO_OUTAGE, Message, MirrorAsk, StoreTell
from papayapier.peer.open_requests import PeerError
from papayapier.platform.replicas import decodes_differently
from papayapier.store.api import Change, Entry, Listing, StoreError
from papayapier.store.mirror import MAX_LOGGED_BYTES, MAX_LOGGED_CHANGES, Mirror
from papayapier.store.watch import Follower, FollowIntervals
from tests.fake_store import FakePlatform

PREFIX = "replicas/"
LASTING_MS = 4_000
PACE = FollowIntervals(watch_ms=3_000, poll_ms=20_000)


class Plan(NamedTuple):
    full_mesh: bool
    neighbours: tuple[str, ...] = ("somebody",)


class Net:
    """Carry messages between the hubs of one fleet on the test's clock."""

    def __init__(self, time: Any) -> None:
        self.time = time
        self.nodes: dict[str, Node] = {}
        self.full_mesh = False
        # Nodes that receive messages and answer none.
        self.frozen: set[str] = set()

    def live(self) -> list[str]:
        return sorted(self.nodes)


class Node:
    """Fake the peer links of one process."""

    def __init__(self, net: Net, name: str) -> None:
        self.net = net
        self.name = name
        self.known = set[str]()
        self._handlers: list[Callable[[str, Any], None]] = []
        self._listeners: list[Callable[[], None]] = []
        self._open: dict[int, Deferred[Result[Message, PeerError]]] = {}
        self._last = 0
        self.silent: set[str] = set()
        net.nodes[name] = self

    def plan(self) -> Plan:
        return Plan(self.net.full_mesh)

    def live(self) -> list[str]:
        return [name for name in self.net.live() if name not in self.silent]

    def on_change(self, call: Callable[[], None]) -> None:
        self._listeners.append(call)

    def lose_peer(self, peer: str) -> None:
        """Treat a peer as unreachable."""
        self.silent.add(peer)
        for call in self._listeners:
            call()

    def subscribe(self, _kind: type, handler: Any) -> None:
        self._handlers.append(handler)

    def send(self, peer: str, message: Any) -> bool:
        if self.name not in self.net.frozen:
            waiting = self.net.nodes[peer]._open.pop(message.correlation_id, None)
            if waiting is not None:
                waiting.callback(Ok(message))
        return True

    async def send_request(
        self, peer: str, make_ask: Callable[[int], Message], timeout_ms: int
    ) -> Result[Message, PeerError]:
        self._last += 1
        correlation_id = self._last
        answered: Deferred[Result[Message, PeerError]] = Deferred(lambda _: None)
        self._open[correlation_id] = answered
        timer = self.net.time.clock.call_later(
            timeout_ms, lambda: answered.callback(Err(PeerError.TIMEOUT))
        )
        if peer not in self.net.frozen:
            for handler in self.net.nodes[peer]._handlers:
                handler(self.name, make_ask(correlation_id))
        try:
            return await answered
        finally:
            if timer.active():
                timer.cancel()


class Fleet:
    """Run hubs that watch an in-memory store, and processes that follow it through them."""

    def __init__(self, hubs: int, entries: int) -> None:
        self.time = fake_clock()
        self.platform = FakePlatform(self.time.clock)
        self.net = Net(self.time)
        self.hubs = [f"hub-{n}" for n in range(hubs)]
        self.known: dict[str, dict[str, int]] = {}
        self.followers: list[Follower] = []
        self.reported_returns: list[int] = []
        for name in [*self.hubs, *(f"entry-{n}" for n in range(entries))]:
            Node(self.net, name)
        for name in self.net.live():
            self._start(name)

    def _start(self, name: str) -> None:
        node = self.net.nodes[name]
        source = StoreSource()
        known = self.known[name] = {}
        deps = MirrorDeps(
            cast(Any, node),
            name,
            lambda: [hub for hub in node.live() if hub in self.hubs],
            self.reported_returns.append,
        )
        store = with_hub_mirrors(self.platform.store(name), deps, source)
        mirror = Mirror(self.time.clock, LASTING_MS)

        def on_change(change: Change) -> None:
            if change.deleted:
                known.pop(change.key, None)
            else:
                known[change.key] = change.version
            mirror.on_change(change)

        if name in self.hubs:
            serve_mirrors(cast(Any, node), {PREFIX: mirror}, lambda: NO_OUTAGE)
        follower = Follower(
            store,
            self.time.clock,
            random.Random(name),
            PREFIX,
            on_change,
            PACE,
            lambda reached: mirror.on_reached(reached, source.direct),
        )
        self.followers.append(follower)
        follower.start()

    def write(self, name: str) -> int:
        done = self.result_of(self.platform.store().create(PREFIX + name, b"v"))
        assert isinstance(done, Ok)
        return int(done.ok_value)

    def result_of(self, call: Awaitable[Any]) -> Any:
        results: list[Any] = []
        Deferred.fromCoroutine(cast(Any, call)).addCallback(results.append)
        assert results, "the call has not ended"
        return results[0]

    def all_received(self, name: str) -> bool:
        return all(PREFIX + name in known for known in self.known.values())

    def close(self) -> None:
        for follower in self.followers:
            follower.stop()


def test_store_calls_do_not_grow_with_fleet() -> None:
    """Guard against one watch of the store for each process of a large fleet.

    71 entries and 13 hubs follow replicas of which one changes every 200 ms for 20 s. If each
    process watched the store itself there would be 84 calls for each change.
    """
    fleet = Fleet(hubs=13, entries=71)
    fleet.time.jump(3_100)
    fleet.platform.calls.clear()
    for number in range(100):
        fleet.write(f"r{number}")
        fleet.time.jump(200)
        assert fleet.all_received(f"r{number}")
    assert fleet.platform.calls["watch"] <= WATCHER_COUNT * 110
    assert fleet.platform.calls["list"] <= WATCHER_COUNT * 3
    fleet.close()


@pytest.mark.parametrize("known_ms", [0, 100, 10_000])
def test_first_watch_waits_briefly_for_hub(known_ms: int) -> None:
    """Guard against a store call for each first watch although a hub is reachable within 0.4 s.

    Without the wait each start of each process cost a watch of each prefix, three of its nine
    calls.
    """
    time = fake_clock()
    net = Net(time)
    node, hub = Node(net, "entry"), Node(net, "hub")
    requesters: list[str] = []
    hub.subscribe(MirrorAsk, lambda peer, request: requesters.append(peer))
    platform = FakePlatform(time.clock)
    deps = MirrorDeps(
        cast(Any, node),
        "entry",
        lambda: ["hub"] if time.clock.now() >= known_ms else [],
        lambda _ms: None,
        time.clock,
    )
    store = with_hub_mirrors(platform.store("entry"), deps, StoreSource())
    Deferred.fromCoroutine(cast(Any, store.watch(PREFIX, 0, 1_000)))
    time.run_for(MAX_HUB_WAIT_MS + POLL_MS)
    assert (requesters, platform.calls["watch"]) == (["entry"], 0) if known_ms < 1_000 else ([], 1)


@pytest.mark.parametrize(("listed", "calls"), [(73, 1), (301, 0)])
def test_start_among_many_waits_for_watcher(listed: int, calls: int) -> None:
    """Guard against 300 processes that each list over a megabyte at the store after a restart.

    With 3,000 replicas the processes would not serve for thirty seconds.
    """
    time = fake_clock()
    net = Net(time)
    node, hub = Node(net, "entry"), Node(net, "hub")
    mirror = Mirror(time.clock, LASTING_MS)
    serve_mirrors(cast(Any, hub), {PREFIX: mirror}, lambda: NO_OUTAGE)
    platform = FakePlatform(time.clock)
    deps = MirrorDeps(
        cast(Any, node), "entry", lambda: ["hub"], lambda _ms: None, time.clock, lambda: listed
    )
    store = with_hub_mirrors(platform.store("entry"), deps, StoreSource(), wait_for_watcher=True)
    listings: list[Any] = []
    Deferred.fromCoroutine(cast(Any, store.list(PREFIX, "", 100))).addCallback(listings.append)
    time.run_for(500)
    mirror.on_change(Change(f"{PREFIX}a", 7, False, b"v"))
    mirror.on_reached(7, True)
    time.run_for(LIST_RETRY_MS + 50)
    assert platform.calls["list"] == calls
    assert len(listings) == 1


def test_long_listing_is_compressed_and_complete() -> None:
    """Guard against replies for large listings that are uncompressed or incomplete."""
    value = b'{"service":"lm","address":"10.0.0.%d:8080","zone":"z","slots":8,"state":"ready"}'
    objects = [Entry(f"servers/i-{n:010x}", n, value % n) for n in range(3_000)]
    reply = encode_listing(1, Ok(Listing(objects, False, 9)))
    assert decode_listing(reply) == Listing(objects, False, 9)
    sent = wire.encode("k", reply)
    assert len(sent) < sum(len(entry.key) + len(entry.value) for entry in objects) / 4
    decoded = wire.decode(sent).unwrap().message
    assert isinstance(decoded, StoreTell)
    assert decode_listing(decoded).objects == objects


def test_full_mesh_watches_the_store_directly() -> None:
    """Guard against use of hubs in a fleet that is small enough for a full mesh."""
    fleet = Fleet(hubs=3, entries=2)
    fleet.net.full_mesh = True
    fleet.time.jump(6_500)
    fleet.platform.calls.clear()
    fleet.write("a")
    assert fleet.all_received("a")
    assert fleet.platform.calls["watch"] == 5
    fleet.close()


def test_unreachable_hub_is_abandoned_immediately() -> None:
    """Guard against requests to a removed replica for seconds after its hub has frozen.

    The heartbeats of the hub that an entry uses stop, and a replica changes. The entry must not
    wait for the hub's answer until the request times out.
    """
    fleet = Fleet(hubs=3, entries=8)
    fleet.time.jump(3_100)
    frozen, *_ = watchers(fleet.hubs)
    fleet.net.frozen.add(frozen)
    for name, node in fleet.net.nodes.items():
        if name != frozen:
            node.lose_peer(frozen)
    fleet.time.jump(200)
    fleet.write("a")
    fleet.time.jump(10)
    assert all(PREFIX + "a" in known for name, known in fleet.known.items() if name != frozen)
    fleet.close()


def test_hub_without_store_sends_no_answer() -> None:
    """Guard against an entry that misses changes although it can reach the store itself.

    The hub that it uses is disconnected from the store and must not answer from its old copy.
    """
    fleet = Fleet(hubs=3, entries=8)
    fleet.time.jump(3_100)
    fleet.platform.cut = set(watchers(fleet.hubs))
    fleet.time.jump(3_100)
    fleet.write("a")
    fleet.time.jump(3_500)
    entries = [known for name, known in fleet.known.items() if name.startswith("entry")]
    assert all(PREFIX + "a" in known for known in entries)
    fleet.close()


class MirrorWorld:
    def __init__(self) -> None:
        self.time = fake_clock()
        self.mirror = Mirror(self.time.clock, LASTING_MS)
        self.results: list[Any] = []

    def change(self, version: int, reached: int) -> None:
        self.mirror.on_change(Change(f"{PREFIX}r{version}", version, False, b"v"))
        self.mirror.on_reached(reached, True)

    def watch(self, since: int, wait_ms: int = 0) -> Any:
        watching = Deferred.fromCoroutine(self.mirror.watch(since, wait_ms))
        watching.addCallback(self.results.append)
        return self.results[-1] if watching.called else None


def test_mirror_returns_changes_after_a_revision() -> None:
    """Guard against missing or repeated changes in a mirror's answers."""
    world = MirrorWorld()
    world.mirror.on_reached(5, True)
    world.change(7, 8)
    world.change(9, 9)
    assert [change.version for change in world.watch(5).unwrap().changes] == [7, 9]
    assert [change.version for change in world.watch(8).unwrap().changes] == [9]
    assert world.watch(4) == Err(StoreError.TOO_OLD)
    listed = world.mirror.list_all().unwrap()
    assert listed.objects[0] == Entry(f"{PREFIX}r7", 7, b"v")
    assert listed.revision == 9


def test_irrelevant_changes_are_not_forwarded() -> None:
    """Guard against a watcher that sends 8.5 MB per second to 300 processes.

    3,000 replicas write with each heartbeat for how long they are still slow, and every new value
    would be forwarded.
    """
    time = fake_clock()
    mirror = Mirror(time.clock, LASTING_MS, decodes_differently)
    entry = (
        '{"service":"lm","address":"10.0.0.1:8","zone":"z","slots":8,"state":"%s","coldLeftMs":%d}'
    )
    mirror.on_reached(1, True)
    for revision, (state, cold) in enumerate(
        [("ready", 900), ("ready", 600), ("ready", 300), ("draining", 300)], 2
    ):
        value = (entry % (state, cold)).encode()
        mirror.on_change(Change("servers/a", revision, False, value))
        mirror.on_reached(revision, True)
    watched: Any = Deferred.fromCoroutine(cast(Any, mirror.watch(1, 0)))
    changes = watched.result.unwrap()
    assert [change.version for change in changes.changes] == [2, 5]
    assert changes.revision == 5
    assert [entry.version for entry in mirror.list_all().unwrap().objects] == [5]


def test_a_watch_of_a_mirror_waits_for_a_change() -> None:
    """Guard against a watch that returns before a change, or not at the change."""
    world = MirrorWorld()
    world.mirror.on_reached(5, True)
    assert world.watch(5, 3_000) is None
    world.mirror.on_reached(6, True)
    assert not world.results
    world.change(7, 8)
    assert [change.version for change in world.results[0].unwrap().changes] == [7]


@pytest.mark.parametrize("reason", ["old", "lost", "through another"])
def test_mirror_without_store_sends_no_answer(reason: str) -> None:
    """Guard against answers of a mirror that has no recent contact with the store itself.

    Two mirrors that follow each other would otherwise consider each other current for ever.
    """
    world = MirrorWorld()
    world.change(5, 6)
    if reason == "old":
        world.time.jump(LASTING_MS + 1)
    else:
        world.mirror.on_reached(None if reason == "lost" else 7, reason == "lost")
    assert world.watch(6) == Err(StoreError.UNAVAILABLE)
    assert world.mirror.list_all() == Err(StoreError.UNAVAILABLE)


def test_mirror_requires_new_listing_after_a_gap() -> None:
    """Guard against missing changes that happened while a mirror did not follow the store."""
    world = MirrorWorld()
    world.change(5, 6)
    world.mirror.on_reached(None, True)
    world.change(9, 10)
    assert world.watch(6) == Err(StoreError.TOO_OLD)
    assert [entry.version for entry in world.mirror.list_all().unwrap().objects] == [5, 9]


def test_change_found_by_listing_is_sent_with_next_revision() -> None:
    """Guard against losing a change that a listing finds and the watch has not reported."""
    world = MirrorWorld()
    world.mirror.on_reached(6, True)
    world.mirror.on_change(Change(f"{PREFIX}r5", 5, False, b"v"))
    world.mirror.on_reached(6, True)
    assert world.watch(6).unwrap().changes == []
    world.mirror.on_reached(8, True)
    assert [change.version for change in world.watch(6).unwrap().changes] == [5]


def test_mirror_log_is_bounded_by_count() -> None:
    """Guard against a mirror's log of changes that grows without bound."""
    world = MirrorWorld()
    world.mirror.on_reached(0, True)
    for version in range(1, MAX_LOGGED_CHANGES + 3):
        world.change(version, version)
    assert world.watch(1) == Err(StoreError.TOO_OLD)
    assert len(world.watch(2).unwrap().changes) == MAX_LOGGED_CHANGES


def test_mirror_log_is_bounded_by_size() -> None:
    """Guard against a mirror's log that uses too much memory with large objects."""
    world = MirrorWorld()
    world.mirror.on_reached(0, True)
    large = b"x" * (MAX_LOGGED_BYTES // 3)
    for version in range(1, 6):
        world.mirror.on_change(Change(f"{PREFIX}r{version}", version, False, large))
        world.mirror.on_reached(version, True)
    assert world.watch(1) == Err(StoreError.TOO_OLD)
    assert world.watch(5).unwrap().changes == []


def test_answer_reports_store_outage() -> None:
    """Guard against an empty list of replicas after an outage that only the hubs have noticed.

    Entries expire in the outage. If the hub reported their removal before the outage itself, the
    removals would not be deferred.
    """
    fleet = Fleet(hubs=1, entries=1)
    node = fleet.net.nodes["hub-0"]
    node._handlers = [lambda peer, request: _reply_with_return_time(node, peer, request)]
    fleet.time.jump(3_100)
    assert fleet.reported_returns
    assert set(fleet.reported_returns) == {70}
    fleet.close()


def _reply_with_return_time(node: Node, peer: str, request: MirrorAsk) -> None:
    node.send(
        peer, StoreTell(request.correlation_id, StoreError.UNAVAILABLE.value, recovered_ms_ago=70)
    )


def test_collected_watch_ends_without_error() -> None:
    """Guard against "coroutine already executing" when a waiting watch is garbage-collected.

    The collected coroutine ends its request, and the answer would resume it while it is being
    closed.
    """
    errors: list[Any] = []
    globalLogPublisher.addObserver(cast(Any, errors.append))
    original_hook, sys.unraisablehook = sys.unraisablehook, errors.append
    try:
        time = fake_clock()
        net = Net(time)
        node = Node(net, "entry")
        Node(net, "hub")
        deps = MirrorDeps(cast(Any, node), "entry", lambda: ["hub"], lambda _ms: None)
        store = with_hub_mirrors(FakePlatform(time.clock).store("entry"), deps, StoreSource())
        watch = Deferred.fromCoroutine(cast(Any, store.watch(PREFIX, 0, 1_000)))
        assert node._open
        del time, net, node, deps, store, watch
        # A failure during the collection is reported when its own Deferred is collected.
        while gc.collect():
            pass
    finally:
        sys.unraisablehook = original_hook
        globalLogPublisher.removeObserver(cast(Any, errors.append))
    assert errors == []
