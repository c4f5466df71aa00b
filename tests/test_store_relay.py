"""Test that store calls are relayed through peers, and that uncertain writes stay uncertain."""

import random
from collections.abc import Awaitable
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.node.store_relay import RELAY_AFTER_MS, RelayDeps, serve_store_calls, with_relay
from papayapier.peer.messages import Message, StoreAsk
from papayapier.peer.open_requests import PeerError
from papayapier.store.api import Store, StoreError
from tests.jobs_world import MemoryStore

FAULTS = [StoreError.UNAVAILABLE, StoreError.LOST, StoreError.LIMITED]


class View:
    """Fake the view of a peer."""

    up = True
    leaving = False

    def __init__(self, peer_id: str) -> None:
        self.id = peer_id


class Hub:
    """Fake the peer links to peers that can reach the store."""

    def __init__(self, peer_store: Store, peers: int = 1) -> None:
        self.requests: list[StoreAsk] = []
        self.answers_lost = False
        self._peers = [View(f"peer-{n}") for n in range(peers)]
        self._handlers: list[Any] = []
        self._replies: list[Message] = []
        serve_store_calls(cast(Any, self), peer_store)

    def views(self) -> list[View]:
        return self._peers

    def subscribe(self, _kind: type, handler: Any) -> None:
        self._handlers.append(handler)

    def send(self, _peer_id: str, message: Message) -> None:
        self._replies.append(message)

    async def send_request(
        self, peer_id: str, make_ask: Any, _timeout_ms: int
    ) -> Result[Message, PeerError]:
        request = make_ask(len(self.requests) + 1)
        self.requests.append(request)
        self._handlers[0](peer_id, request)
        if self.answers_lost:
            return Err(PeerError.TIMEOUT)
        return Ok(self._replies.pop())


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

    def result_of(self, call: Awaitable[Any]) -> Any:
        results: list[Any] = []
        Deferred.fromCoroutine(cast(Any, call)).addCallback(results.append)
        self.time.jump(RELAY_AFTER_MS + 1)
        assert results, "the call has not ended"
        return results[0]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_job_is_written_through_a_peer(fault: StoreError) -> None:
    """Guard against refused jobs at entries that the store refuses while it serves their peers."""
    world = World()
    world.own.fault = lambda _call, _key: fault
    if fault is StoreError.LOST:
        world.own.objects = {}
    assert isinstance(world.result_of(world.store.create("k/a", b"v")), Ok)
    assert "k/a" in world.shared.objects


def test_reads_go_through_a_peer() -> None:
    """Guard against failed reads while a peer can reach the store."""
    world = World()
    world.shared.put("k/a", b"v")
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    assert world.result_of(world.store.get("k/a")).unwrap().value == b"v"
    listed = world.result_of(world.store.list("k/", "", 10)).unwrap()
    assert [(entry.key, entry.value) for entry in listed.objects] == [("k/a", b"v")]
    assert world.result_of(world.store.get("k/none")) == Err(StoreError.NOT_FOUND)


def test_answered_call_is_not_relayed() -> None:
    """Guard against relayed calls although the store answers directly."""
    world = World()
    assert isinstance(world.result_of(world.store.create("k/a", b"v")), Ok)
    assert world.hub.requests == []


def test_late_call_is_also_relayed() -> None:
    """Guard against waiting for a direct call that is late while a peer would answer."""
    world = World()
    world.shared.put("k/a", b"v")
    world.own.hold = True
    assert world.result_of(world.store.get("k/a")).unwrap().value == b"v"


def test_unanswered_relayed_write_stays_uncertain() -> None:
    """Guard against reporting "not run" for a job that runs.

    Direct calls fail; the peer makes the call and its answer is lost.
    """
    world = World(peers=2)
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    world.hub.answers_lost = True
    assert world.result_of(world.store.create("k/a", b"v")) == Err(StoreError.LOST)


def test_lost_direct_write_stays_uncertain() -> None:
    """Guard against reporting "not run" after a direct write whose answer was lost."""
    world = World()
    world.own.fault = lambda _call, _key: StoreError.LOST
    world.own.objects = {}
    world.shared.fault = lambda _call, _key: StoreError.UNAVAILABLE
    assert world.result_of(world.store.create("k/a", b"v")) == Err(StoreError.LOST)


def test_write_lost_by_one_of_two_peers_stays_uncertain() -> None:
    """Guard against reporting "not run" for a job that runs, by the last peer's answer alone."""
    world = World(peers=2)
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    faults = [StoreError.LOST, StoreError.UNAVAILABLE]
    world.shared.fault = lambda _call, _key: faults.pop(0)
    assert world.result_of(world.store.create("k/a", b"v")) == Err(StoreError.LOST)


def test_direct_answer_counts_without_peers() -> None:
    """Guard against an uncertain result when no peer was available and nothing was sent."""
    world = World(peers=0)
    world.own.fault = lambda _call, _key: StoreError.UNAVAILABLE
    assert world.result_of(world.store.create("k/a", b"v")) == Err(StoreError.UNAVAILABLE)
