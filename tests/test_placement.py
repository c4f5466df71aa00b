"""Test which hub an entry sends placement requests to, and how reported calls expire."""

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
from papayapier.peer.open_requests import PeerError
from papayapier.peer.placement_messages import PlaceTell
from papayapier.peer.topology import LinkPlan
from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.placers import Placement, PlacementNeeds, make_partitions, placer_of
from papayapier.policy.routing import RouteRequest
from papayapier.store.api import Change
from papayapier.upstream.api import Replica

HUBS = ["hub-1", "hub-2", "hub-3"]
WANTING = PlacementNeeds("team", 0, 300, 5_000, 75)


class Hub:
    """Fake the peer links; silent hubs do not answer."""

    def __init__(self) -> None:
        self.requested: list[str] = []
        self.silent: set[str] = set()
        self.hubs = tuple(HUBS)
        self.handlers: dict[type[Message], list[Any]] = {}
        self.listeners: list[Any] = []

    def plan(self) -> LinkPlan:
        return LinkPlan(frozenset(), False, False, self.hubs)

    async def send_request(self, peer: str, _make: Any, _limit: int) -> Result[Message, PeerError]:
        self.requested.append(peer)
        if peer in self.silent:
            return Err(PeerError.TIMEOUT)
        return Ok(PlaceTell(1, "i-1"))

    def subscribe(self, kind: type[Message], handler: Any) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def on_change(self, call: Any) -> None:
        self.listeners.append(call)

    def deliver(self, peer: str, message: Message) -> None:
        for handler in self.handlers[type(message)]:
            handler(peer, message)


def test_hub_that_does_not_answer_is_skipped() -> None:
    """Guard against each online call waiting 25 ms for a crashed hub, for four seconds.

    Heartbeats have not yet detected the loss of the hub, and every call would be sent to it again.
    """
    time = fake_clock()
    hub = Hub()
    parts = make_partitions([Replica("i-1", "lm", "h", 1, "dc")])
    deps = PlacementDeps(
        time.clock,
        random.Random(1),
        cast(Any, hub),
        LoadTracker(),
        OutlierDetector(),
        lambda: list(HUBS),
        lambda: parts,
    )
    place = make_place(deps)

    def call() -> str | None:
        found: list[Placement] = []
        req = RouteRequest("lm", "", "dc", frozenset())
        Deferred.fromCoroutine(cast(Any, place(req, WANTING))).addCallback(found.append)
        return found[0].replica or None

    first = placer_of("lm/0", HUBS)
    assert first is not None
    hub.silent = {first}
    assert call() is None
    assert call() == "i-1"
    assert hub.requested[0] == first != hub.requested[1]
    time.jump(SKIP_SILENT_MS)
    hub.silent = set()
    assert call() == "i-1"
    assert hub.requested[-1] == first


def test_open_calls_expire_without_further_reports() -> None:
    """Guard against slots that stay empty for batch after the crash of an entry.

    The entry had reported a call and exchanges no heartbeats with this keeper.
    """
    time = fake_clock()
    hub = Hub()
    load_tracker = LoadTracker()
    task = track_peer_calls(cast(Any, hub), load_tracker, time.clock)
    hub.deliver("entry-1", CallsTold((ReplicaUse("i-1", 2, 0),)))
    assert load_tracker.online_calls("i-1") == 2
    time.jump(REPORT_TTL_MS - 1_000)
    assert load_tracker.online_calls("i-1") == 2
    time.jump(2_500)
    assert load_tracker.online_calls("i-1") == 0
    task.cancel()


def test_totals_of_former_hub_are_dropped() -> None:
    """Guard against counting the last totals of an instance that is no longer a hub."""
    hub = Hub()
    load_tracker = LoadTracker()
    track_totals(cast(Any, hub), load_tracker)
    heartbeat = Heartbeat("hub-1", 1, "live", 0, totals=(ReplicaUse("i-1", 3, 0),))
    hub.deliver("hub-1", heartbeat)
    hub.deliver("keeper-9", heartbeat._replace(totals=(ReplicaUse("i-2", 3, 0),)))
    assert (load_tracker.online_calls("i-1"), load_tracker.online_calls("i-2")) == (3, 0)
    hub.hubs = ("hub-2", "hub-3")
    for call in hub.listeners:
        call()
    assert load_tracker.online_calls("i-1") == 0


def test_only_relevant_totals_are_recorded() -> None:
    """Guard against totals of replicas whose calls are received directly."""
    hub = Hub()
    load_tracker = LoadTracker()
    track_totals(cast(Any, hub), load_tracker, lambda replica: replica == "i-2")
    totals = (ReplicaUse("i-1", 3, 0), ReplicaUse("i-2", 4, 0))
    hub.deliver("hub-1", Heartbeat("hub-1", 1, "live", 0, totals=totals))
    assert (load_tracker.online_calls("i-1"), load_tracker.online_calls("i-2")) == (0, 4)


def test_complete_listing_of_processes_is_reported_once() -> None:
    """Guard against processing all processes once per listed process.

    A listing of 195 processes was processed 195 times at each start of each process.
    """
    reported: list[int] = []
    deferred: list[Any] = []
    nodes = NodeList(lambda members: reported.append(len(members)), deferred.append)
    for number in range(195):
        value = b'["entry","h",1,"dc","r"]'
        nodes.on_change(Change(f"papayapier-nodes/{number}", number, False, value))
    assert len(deferred) == 1
    deferred.pop()()
    assert reported == [195]
    # A restarted process registers the same record again.
    nodes.on_change(Change("papayapier-nodes/7", 300, False, b'["entry","h",1,"dc","r"]'))
    assert deferred == []


@pytest.mark.parametrize("lost", [False, True])
def test_restarted_process_does_not_register_again(lost: bool) -> None:
    """Guard against a create that fails and an update at each start after the first."""
    time = fake_clock()
    record = NodeRecord(Role.ENTRY, "h", 1, "dc", "r")
    nodes = NodeList(lambda _members: None)
    listed = False
    results: list[bool] = []
    check = is_registered(time.clock, nodes, "e", record, lambda: listed)
    Deferred.fromCoroutine(check).addCallback(results.append)
    time.run_for(MAX_LIST_WAIT_MS - 50)
    assert results == []
    value = msgspec.json.encode(record._replace(lost=lost))
    nodes.on_change(Change(NODES_PREFIX + "e", 3, False, value))
    listed = True
    time.run_for(50)
    assert results == [not lost]


def test_unlisted_process_registers() -> None:
    """Guard against a process that waits for ever for its own entry."""
    time = fake_clock()
    results: list[bool] = []
    record = NodeRecord(Role.ENTRY, "h", 1, "dc", "r")
    check = is_registered(time.clock, NodeList(lambda _members: None), "e", record, lambda: False)
    Deferred.fromCoroutine(check).addCallback(results.append)
    time.run_for(MAX_LIST_WAIT_MS + 50)
    assert results == [False]
