"""Test that the store is reached through a peer, and that doubt is never lost on the way."""

import random
from collections.abc import Awaitable
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.node.store_relay import RELAY_AFTER_MS, RelayDeps, serve_store_calls, with_relay
from papayapier.peer.messages import Message, StoreAsk
from papayapier.peer.questions import PeerError
from papayapier.store.api import Store, StoreError
from tests.jobs_world import MemoryStore

AWAY = [StoreError.UNAVAILABLE, StoreError.LOST, StoreError.LIMITED]


class View:
    """Show a peer."""

    up = True
    leaving = False

    def __init__(self, peer_id: str) -> None:
        self.id = peer_id


class Hub:
    """Stand between this process and one peer that reaches the store."""

    def __init__(self, peer_store: Store, peers: int = 1) -> None:
        self.asked: list[StoreAsk] = []
        self.deaf = False
        self._peers = [View(f"peer-{n}") for n in range(peers)]
        self._handlers: list[Any] = []
        self._told: list[Message] = []
        serve_store_calls(cast(Any, self), peer_store)

    def views(self) -> list[View]:
        return self._peers

    def subscribe(self, _kind: type, handler: Any) -> None:
        self._handlers.append(handler)

    def tell(self, _peer_id: str, message: Message) -> None:
        self._told.append(message)

    async def ask(
        self, peer_id: str, make_ask: Any, _timeout_ms: int
    ) -> Result[Message, PeerError]:
        ask = make_ask(len(self.asked) + 1)
        self.asked.append(ask)
        self._handlers[0](peer_id, ask)
        if self.deaf:
            return Err(PeerError.TIMEOUT)
        return Ok(self._told.pop())


class World:
    def __init__(self, peers: int = 1) -> None:
        self.time = fake_clock()
        self.shared = MemoryStore()
        self.own = MemoryStore()
        self.own.objects = self.shared.objects
        self.down = False
        self.hub = Hub(self.shared.store(), peers)
        deps = RelayDeps(self.time.clock, random.Random(1), cast(Any, self.hub), lambda: self.down)
        self.store = with_relay(self.own.store(), deps)

    def end(self, work: Awaitable[Any]) -> Any:
        ends: list[Any] = []
        Deferred.fromCoroutine(cast(Any, work)).addCallback(ends.append)
        self.time.advance(RELAY_AFTER_MS + 1)
        assert ends, "the call has not ended"
        return ends[0]


@pytest.mark.parametrize("fault", AWAY)
def test_a_job_is_written_through_a_peer(fault: StoreError) -> None:
    # Symptom: jobs are refused at the entries of one zone while others accept them.
    # Events: the store turns this process away and serves its peers.
    world = World()
    world.own.fault = lambda _call, _key: fault
    if fault is StoreError.LOST:
        world.own.objects = {}
    assert isinstance(world.end(world.store.create("k/a", b"v")), Ok)
    assert "k/a" in world.shared.objects


def test_reads_go_through_a_peer() -> None:
    world = World()
    world.shared.put("k/a", b"v")
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    assert world.end(world.store.get("k/a")).unwrap().value == b"v"
    listed = world.end(world.store.list("k/", "", 10)).unwrap()
    assert [(one.key, one.value) for one in listed.objects] == [("k/a", b"v")]
    assert world.end(world.store.get("k/none")) == Err(StoreError.NOT_FOUND)


def test_a_call_that_is_answered_asks_nobody() -> None:
    world = World()
    assert isinstance(world.end(world.store.create("k/a", b"v")), Ok)
    assert world.hub.asked == []


def test_a_late_call_is_made_by_a_peer_as_well() -> None:
    world = World()
    world.shared.put("k/a", b"v")
    world.own.hold = True
    assert world.end(world.store.get("k/a")).unwrap().value == b"v"


def test_a_write_that_a_peer_did_not_answer_stays_in_doubt() -> None:
    # Symptom: "not run" for a job that runs.
    # Events: the own way is closed; the peer makes the call and its answer is lost.
    world = World(peers=2)
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    world.hub.deaf = True
    assert world.end(world.store.create("k/a", b"v")) == Err(StoreError.LOST)


def test_a_write_lost_on_the_own_way_stays_in_doubt() -> None:
    world = World()
    world.own.fault = lambda _call, _key: StoreError.LOST
    world.own.objects = {}
    world.shared.fault = lambda _call, _key: StoreError.UNAVAILABLE
    assert world.end(world.store.create("k/a", b"v")) == Err(StoreError.LOST)


def test_a_write_that_one_of_two_peers_lost_stays_in_doubt() -> None:
    # Failure: "not run" for a job that runs, since only the word of the peer asked last counted.
    world = World(peers=2)
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    faults = [StoreError.LOST, StoreError.UNAVAILABLE]
    world.shared.fault = lambda _call, _key: faults.pop(0)
    assert world.end(world.store.create("k/a", b"v")) == Err(StoreError.LOST)


def test_without_a_peer_the_own_answer_counts() -> None:
    world = World(peers=0)
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    assert world.end(world.store.create("k/a", b"v")) == Err(StoreError.UNAVAILABLE)
