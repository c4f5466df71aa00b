"""Test that a large fleet follows the store through hubs, and that no old copy is believed."""

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
from papayapier.peer.messages import NEVER_AWAY, Message, MirrorAsk, StoreTell
from papayapier.peer.questions import PeerError
from papayapier.platform.replicas import says_other
from papayapier.store.api import Change, Entry, Listing, StoreError
from papayapier.store.mirror import KEPT_BYTES, KEPT_CHANGES, Mirror
from papayapier.store.watch import Follower, FollowPace
from tests.fake_store import FakePlatform

PREFIX = "replicas/"
LASTING_MS = 4_000
PACE = FollowPace(watch_ms=3_000, poll_ms=20_000)


class Plan(NamedTuple):
    full_mesh: bool
    neighbours: tuple[str, ...] = ("somebody",)


class Net:
    """Carry messages between the hubs of one fleet on the test's clock."""

    def __init__(self, time: Any) -> None:
        self.time = time
        self.nodes: dict[str, Node] = {}
        self.full_mesh = False
        # These get messages and answer nothing.
        self.frozen: set[str] = set()

    def live(self) -> list[str]:
        return sorted(self.nodes)


class Node:
    """Stand for the peer links of one process."""

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
        return [one for one in self.net.live() if one not in self.silent]

    def on_change(self, call: Callable[[], None]) -> None:
        self._listeners.append(call)

    def miss(self, peer: str) -> None:
        """Hear a peer no more."""
        self.silent.add(peer)
        for call in self._listeners:
            call()

    def subscribe(self, _kind: type, handler: Any) -> None:
        self._handlers.append(handler)

    def tell(self, peer: str, message: Any) -> bool:
        if self.name not in self.net.frozen:
            waiting = self.net.nodes[peer]._open.pop(message.ask_id, None)
            if waiting is not None:
                waiting.callback(Ok(message))
        return True

    async def ask(
        self, peer: str, make_ask: Callable[[int], Message], timeout_ms: int
    ) -> Result[Message, PeerError]:
        self._last += 1
        ask_id = self._last
        answered: Deferred[Result[Message, PeerError]] = Deferred(lambda _: None)
        self._open[ask_id] = answered
        timer = self.net.time.clock.call_later(
            timeout_ms, lambda: answered.callback(Err(PeerError.TIMEOUT))
        )
        if peer not in self.net.frozen:
            for handler in self.net.nodes[peer]._handlers:
                handler(self.name, make_ask(ask_id))
        try:
            return await answered
        finally:
            if timer.active():
                timer.cancel()


class Fleet:
    """Run hubs that watch a store in memory, and processes that follow through them."""

    def __init__(self, hubs: int, entries: int) -> None:
        self.time = fake_clock()
        self.platform = FakePlatform(self.time.clock)
        self.net = Net(self.time)
        self.hubs = [f"hub-{n}" for n in range(hubs)]
        self.known: dict[str, dict[str, int]] = {}
        self.followers: list[Follower] = []
        self.told_back: list[int] = []
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
            lambda: [one for one in node.live() if one in self.hubs],
            self.told_back.append,
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
            serve_mirrors(cast(Any, node), {PREFIX: mirror}, lambda: NEVER_AWAY)
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
        done = self.end(self.platform.store().create(PREFIX + name, b"v"))
        assert isinstance(done, Ok)
        return int(done.ok_value)

    def end(self, work: Awaitable[Any]) -> Any:
        ends: list[Any] = []
        Deferred.fromCoroutine(cast(Any, work)).addCallback(ends.append)
        assert ends, "the call has not ended"
        return ends[0]

    def all_know(self, name: str) -> bool:
        return all(PREFIX + name in known for known in self.known.values())

    def close(self) -> None:
        for follower in self.followers:
            follower.stop()


def test_calls_to_the_store_do_not_grow_with_the_fleet() -> None:
    # Load: 71 entries and 13 hubs follow replicas of which one changes each 200 ms for 20 s.
    # Before: each process watched the store, 84 calls a change. After: the watchers do.
    fleet = Fleet(hubs=13, entries=71)
    fleet.time.advance(3_100)
    fleet.platform.calls.clear()
    for number in range(100):
        fleet.write(f"r{number}")
        fleet.time.advance(200)
        assert fleet.all_know(f"r{number}")
    assert fleet.platform.calls["watch"] <= WATCHER_COUNT * 110
    assert fleet.platform.calls["list"] <= WATCHER_COUNT * 3
    fleet.close()


@pytest.mark.parametrize("known_ms", [0, 100, 10_000])
def test_the_first_watch_of_a_process_waits_a_moment_for_a_hub(known_ms: int) -> None:
    # Before: each start of each process cost a watch of each kind, three in nine calls. After: none
    # where a hub is heard within 0.4 s.
    time = fake_clock()
    net = Net(time)
    node, hub = Node(net, "entry"), Node(net, "hub")
    asked: list[str] = []
    hub.subscribe(MirrorAsk, lambda peer, ask: asked.append(peer))
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
    time.elapse(MAX_HUB_WAIT_MS + POLL_MS)
    assert (asked, platform.calls["watch"]) == (["entry"], 0) if known_ms < 1_000 else ([], 1)


@pytest.mark.parametrize(("listed", "calls"), [(73, 1), (301, 0)])
def test_among_many_a_start_waits_for_a_watcher(listed: int, calls: int) -> None:
    # Symptom: 300 processes before 3,000 replicas do not serve for thirty seconds after a kill of
    # all. Cause, by reading: each lists over a megabyte at the store at once.
    time = fake_clock()
    net = Net(time)
    node, hub = Node(net, "entry"), Node(net, "hub")
    mirror = Mirror(time.clock, LASTING_MS)
    serve_mirrors(cast(Any, hub), {PREFIX: mirror}, lambda: NEVER_AWAY)
    platform = FakePlatform(time.clock)
    deps = MirrorDeps(
        cast(Any, node), "entry", lambda: ["hub"], lambda _ms: None, time.clock, lambda: listed
    )
    store = with_hub_mirrors(platform.store("entry"), deps, StoreSource(), wait_for_watcher=True)
    found: list[Any] = []
    Deferred.fromCoroutine(cast(Any, store.list(PREFIX, "", 100))).addCallback(found.append)
    time.elapse(500)
    mirror.on_change(Change(f"{PREFIX}a", 7, False, b"v"))
    mirror.on_reached(7, True)
    time.elapse(LIST_RETRY_MS + 50)
    assert platform.calls["list"] == calls
    assert len(found) == 1


def test_a_long_listing_is_told_compressed_and_whole() -> None:
    value = b'{"service":"lm","address":"10.0.0.%d:8080","zone":"z","slots":8,"state":"ready"}'
    objects = [Entry(f"servers/i-{n:010x}", n, value % n) for n in range(3_000)]
    told = encode_listing(1, Ok(Listing(objects, False, 9)))
    assert decode_listing(told) == Listing(objects, False, 9)
    sent = wire.encode("k", told)
    assert len(sent) < sum(len(one.key) + len(one.value) for one in objects) / 4
    read = wire.decode(sent).unwrap().message
    assert isinstance(read, StoreTell)
    assert decode_listing(read).objects == objects


def test_a_small_fleet_asks_the_store() -> None:
    fleet = Fleet(hubs=3, entries=2)
    fleet.net.full_mesh = True
    fleet.time.advance(6_500)
    fleet.platform.calls.clear()
    fleet.write("a")
    assert fleet.all_know("a")
    assert fleet.platform.calls["watch"] == 5
    fleet.close()


def test_a_silent_hub_is_left_at_once() -> None:
    # Symptom: for seconds requests go to a replica that has left.
    # Events: the hub that an entry asks freezes; its heartbeats stop; a replica changes.
    # Cause: the entry waits for the hub's answer until its time is over.
    fleet = Fleet(hubs=3, entries=8)
    fleet.time.advance(3_100)
    frozen, *_ = watchers(fleet.hubs)
    fleet.net.frozen.add(frozen)
    for name, node in fleet.net.nodes.items():
        if name != frozen:
            node.miss(frozen)
    fleet.time.advance(200)
    fleet.write("a")
    fleet.time.advance(10)
    assert all(PREFIX + "a" in known for name, known in fleet.known.items() if name != frozen)
    fleet.close()


def test_a_hub_that_the_store_does_not_answer_shows_nothing() -> None:
    # Symptom: an entry that reaches the store does not learn what changes.
    # Events: the hub that it asks is cut from the store; a replica changes.
    # Cause: the hub goes on answering from what it read before.
    fleet = Fleet(hubs=3, entries=8)
    fleet.time.advance(3_100)
    fleet.platform.cut = set(watchers(fleet.hubs))
    fleet.time.advance(3_100)
    fleet.write("a")
    fleet.time.advance(3_500)
    entries = [known for name, known in fleet.known.items() if name.startswith("entry")]
    assert all(PREFIX + "a" in known for known in entries)
    fleet.close()


class MirrorWorld:
    def __init__(self) -> None:
        self.time = fake_clock()
        self.mirror = Mirror(self.time.clock, LASTING_MS)
        self.ends: list[Any] = []

    def change(self, version: int, reached: int) -> None:
        self.mirror.on_change(Change(f"{PREFIX}r{version}", version, False, b"v"))
        self.mirror.on_reached(reached, True)

    def watch(self, since: int, wait_ms: int = 0) -> Any:
        watching = Deferred.fromCoroutine(self.mirror.watch(since, wait_ms))
        watching.addCallback(self.ends.append)
        return self.ends[-1] if watching.called else None


def test_a_mirror_tells_what_came_after_a_revision() -> None:
    world = MirrorWorld()
    world.mirror.on_reached(5, True)
    world.change(7, 8)
    world.change(9, 9)
    assert [one.version for one in world.watch(5).unwrap().changes] == [7, 9]
    assert [one.version for one in world.watch(8).unwrap().changes] == [9]
    assert world.watch(4) == Err(StoreError.TOO_OLD)
    listed = world.mirror.whole().unwrap()
    assert listed.objects[0] == Entry(f"{PREFIX}r7", 7, b"v")
    assert listed.revision == 9


def test_what_says_the_same_again_is_not_passed_on() -> None:
    # Symptom: a watcher among 300 processes sends 8.5 MB a second. Events: 3,000 replicas write
    # with each heartbeat for how long they are still slow. Cause: every new value was passed on.
    time = fake_clock()
    mirror = Mirror(time.clock, LASTING_MS, says_other)
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
    told = watched.result.unwrap()
    assert [change.version for change in told.changes] == [2, 5]
    assert told.revision == 5
    assert [one.version for one in mirror.whole().unwrap().objects] == [5]


def test_a_watch_of_a_mirror_waits_for_a_change() -> None:
    world = MirrorWorld()
    world.mirror.on_reached(5, True)
    assert world.watch(5, 3_000) is None
    world.mirror.on_reached(6, True)
    assert not world.ends
    world.change(7, 8)
    assert [one.version for one in world.ends[0].unwrap().changes] == [7]


@pytest.mark.parametrize("how", ["old", "lost", "through another"])
def test_a_mirror_that_has_heard_nothing_says_nothing(how: str) -> None:
    # Two mirrors that follow each other would call each other new for ever.
    world = MirrorWorld()
    world.change(5, 6)
    if how == "old":
        world.time.advance(LASTING_MS + 1)
    else:
        world.mirror.on_reached(None if how == "lost" else 7, how == "lost")
    assert world.watch(6) == Err(StoreError.UNAVAILABLE)
    assert world.mirror.whole() == Err(StoreError.UNAVAILABLE)


def test_a_mirror_that_follows_again_sends_everybody_to_its_list() -> None:
    # What changed while it did not follow may be missing in its log.
    world = MirrorWorld()
    world.change(5, 6)
    world.mirror.on_reached(None, True)
    world.change(9, 10)
    assert world.watch(6) == Err(StoreError.TOO_OLD)
    assert [one.version for one in world.mirror.whole().unwrap().objects] == [5, 9]


def test_what_a_listing_finds_beside_the_watch_is_told_with_the_next_revision() -> None:
    world = MirrorWorld()
    world.mirror.on_reached(6, True)
    world.mirror.on_change(Change(f"{PREFIX}r5", 5, False, b"v"))
    world.mirror.on_reached(6, True)
    assert world.watch(6).unwrap().changes == []
    world.mirror.on_reached(8, True)
    assert [one.version for one in world.watch(6).unwrap().changes] == [5]


def test_the_log_of_a_mirror_is_bounded() -> None:
    world = MirrorWorld()
    world.mirror.on_reached(0, True)
    for version in range(1, KEPT_CHANGES + 3):
        world.change(version, version)
    assert world.watch(1) == Err(StoreError.TOO_OLD)
    assert len(world.watch(2).unwrap().changes) == KEPT_CHANGES


def test_large_objects_bound_the_log_of_a_mirror() -> None:
    world = MirrorWorld()
    world.mirror.on_reached(0, True)
    large = b"x" * (KEPT_BYTES // 3)
    for version in range(1, 6):
        world.mirror.on_change(Change(f"{PREFIX}r{version}", version, False, large))
        world.mirror.on_reached(version, True)
    assert world.watch(1) == Err(StoreError.TOO_OLD)
    assert world.watch(5).unwrap().changes == []


def test_an_answer_tells_that_the_store_was_away() -> None:
    # Symptom: no replica is left just after an outage, where nobody but the hubs saw it.
    # Events: entries lapse in the outage; the hub tells of their removal before it tells that
    # the store had been away, so that the removals are not held.
    fleet = Fleet(hubs=1, entries=1)
    node = fleet.net.nodes["hub-0"]
    node._handlers = [lambda peer, ask: _tell_back(node, peer, ask)]
    fleet.time.advance(3_100)
    assert fleet.told_back
    assert set(fleet.told_back) == {70}
    fleet.close()


def _tell_back(node: Node, peer: str, ask: MirrorAsk) -> None:
    node.tell(peer, StoreTell(ask.ask_id, StoreError.UNAVAILABLE.value, back_ms_ago=70))


def test_a_watch_that_nobody_holds_any_more_ends_quietly() -> None:
    # Failure: a coroutine that waits is collected, ends its question, and is resumed by the answer
    # while it is being closed ("coroutine already executing", in whatever runs at that moment).
    errors: list[Any] = []
    globalLogPublisher.addObserver(cast(Any, errors.append))
    broken, sys.unraisablehook = sys.unraisablehook, errors.append
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
        # What fails while it is collected is told when its own Deferred is.
        while gc.collect():
            pass
    finally:
        sys.unraisablehook = broken
        globalLogPublisher.removeObserver(cast(Any, errors.append))
    assert errors == []
