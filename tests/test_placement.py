"""Test whom an entry asks for a place, and what stands of the open calls that it is told."""

import random
from typing import Any, cast

import msgspec
import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.node.peer_calls import REPORT_TTL_MS, track_peer_calls, track_totals
from papayapier.node.placement import SKIP_SILENT_MS, PlacementDeps, make_place
from papayapier.node.processes import (
    MAX_LIST_WAIT_MS,
    NODES_PREFIX,
    NodeList,
    NodeRecord,
    Role,
    is_registered,
)
from papayapier.peer.messages import CallsTold, Heartbeat, Message
from papayapier.peer.placing_messages import PlaceTell
from papayapier.peer.questions import PeerError
from papayapier.peer.topology import Plan
from papayapier.policy.loads import LoadBook, ReplicaUse
from papayapier.policy.outliers import Outliers
from papayapier.policy.placers import Placed, Wanting, make_parts, placer_of
from papayapier.policy.routing import RouteRequest
from papayapier.store.api import Change
from papayapier.upstream.api import Replica

HUBS = ["hub-1", "hub-2", "hub-3"]
WANTING = Wanting("team", 0, 300, 5_000, 75)


class Hub:
    """Stand for the peer links: silent ones answer nothing."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.silent: set[str] = set()
        self.hubs = tuple(HUBS)
        self.handlers: dict[type[Message], list[Any]] = {}
        self.listeners: list[Any] = []

    def plan(self) -> Plan:
        return Plan(frozenset(), False, False, self.hubs)

    async def ask(self, peer: str, _make: Any, _limit: int) -> Result[Message, PeerError]:
        self.asked.append(peer)
        if peer in self.silent:
            return Err(PeerError.TIMEOUT)
        return Ok(PlaceTell(1, "i-1"))

    def subscribe(self, kind: type[Message], handler: Any) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def on_change(self, call: Any) -> None:
        self.listeners.append(call)

    def hear(self, peer: str, message: Message) -> None:
        for handler in self.handlers[type(message)]:
            handler(peer, message)


def test_a_hub_that_does_not_answer_is_passed_over() -> None:
    # Symptom: for four seconds after the loss of a hub each online call waits 25 ms for it.
    # Events: the hub that places is lost; heartbeats have yet to miss it. Cause: every call asked
    # the same hub again.
    time = fake_clock()
    hub = Hub()
    parts = make_parts([Replica("i-1", "lm", "h", 1, "dc")])
    deps = PlacementDeps(
        time.clock,
        random.Random(1),
        cast(Any, hub),
        LoadBook(),
        Outliers(),
        lambda: list(HUBS),
        lambda: parts,
    )
    place = make_place(deps)

    def call() -> str | None:
        found: list[Placed] = []
        req = RouteRequest("lm", "", "dc", frozenset())
        Deferred.fromCoroutine(cast(Any, place(req, WANTING))).addCallback(found.append)
        return found[0].replica or None

    first = placer_of("lm/0", HUBS)
    assert first is not None
    hub.silent = {first}
    assert call() is None
    assert call() == "i-1"
    assert hub.asked[0] == first != hub.asked[1]
    time.advance(SKIP_SILENT_MS)
    hub.silent = set()
    assert call() == "i-1"
    assert hub.asked[-1] == first


def test_open_calls_that_nobody_repeats_are_forgotten() -> None:
    # Symptom: slots of a replica stay empty for batch after an entry was lost.
    # Events: the entry had told of a call there and exchanges no heartbeats with this keeper.
    time = fake_clock()
    hub = Hub()
    book = LoadBook()
    task = track_peer_calls(cast(Any, hub), book, time.clock)
    hub.hear("entry-1", CallsTold((ReplicaUse("i-1", 2, 0),)))
    assert book.online_at("i-1") == 2
    time.advance(REPORT_TTL_MS - 1_000)
    assert book.online_at("i-1") == 2
    time.advance(2_500)
    assert book.online_at("i-1") == 0
    task.cancel()


def test_totals_of_one_that_is_no_hub_any_more_are_forgotten() -> None:
    hub = Hub()
    book = LoadBook()
    track_totals(cast(Any, hub), book)
    beat = Heartbeat("hub-1", 1, "live", 0, totals=(ReplicaUse("i-1", 3, 0),))
    hub.hear("hub-1", beat)
    hub.hear("keeper-9", beat._replace(totals=(ReplicaUse("i-2", 3, 0),)))
    assert (book.online_at("i-1"), book.online_at("i-2")) == (3, 0)
    hub.hubs = ("hub-2", "hub-3")
    for call in hub.listeners:
        call()
    assert book.online_at("i-1") == 0


def test_totals_are_taken_of_what_matters_only() -> None:
    hub = Hub()
    book = LoadBook()
    track_totals(cast(Any, hub), book, lambda replica: replica == "i-2")
    totals = (ReplicaUse("i-1", 3, 0), ReplicaUse("i-2", 4, 0))
    hub.hear("hub-1", Heartbeat("hub-1", 1, "live", 0, totals=totals))
    assert (book.online_at("i-1"), book.online_at("i-2")) == (0, 4)


def test_a_whole_listing_of_processes_is_told_once() -> None:
    # Before, 195 listed processes were 195 looks at all of them, at each start of each process.
    told: list[int] = []
    soon: list[Any] = []
    nodes = NodeList(lambda members: told.append(len(members)), soon.append)
    for number in range(195):
        value = b'["entry","h",1,"dc","r"]'
        nodes.on_change(Change(f"papayapier-nodes/{number}", number, False, value))
    assert len(soon) == 1
    soon.pop()()
    assert told == [195]
    # One that starts again says the same of itself.
    nodes.on_change(Change("papayapier-nodes/7", 300, False, b'["entry","h",1,"dc","r"]'))
    assert soon == []


@pytest.mark.parametrize("lost", [False, True])
def test_who_starts_again_writes_nothing_that_is_written(lost: bool) -> None:
    # Before: each start after the first was a create that failed, and an update.
    time = fake_clock()
    record = NodeRecord(Role.ENTRY, "h", 1, "dc", "r")
    nodes = NodeList(lambda _members: None)
    listed = False
    said: list[bool] = []
    work = is_registered(time.clock, nodes, "e", record, lambda: listed)
    Deferred.fromCoroutine(work).addCallback(said.append)
    time.elapse(MAX_LIST_WAIT_MS - 50)
    assert said == []
    value = msgspec.json.encode(record._replace(lost=lost))
    nodes.on_change(Change(NODES_PREFIX + "e", 3, False, value))
    listed = True
    time.elapse(50)
    assert said == [not lost]


def test_who_is_not_listed_writes_itself_down() -> None:
    time = fake_clock()
    said: list[bool] = []
    record = NodeRecord(Role.ENTRY, "h", 1, "dc", "r")
    work = is_registered(time.clock, NodeList(lambda _members: None), "e", record, lambda: False)
    Deferred.fromCoroutine(work).addCallback(said.append)
    time.elapse(MAX_LIST_WAIT_MS + 50)
    assert said == [False]
