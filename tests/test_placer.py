"""Test how a placer answers placement requests, and how requesters handle its silence."""

import random
import time
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier.clock import fake_clock
from papayapier.errors import ErrorKind, Outcome
from papayapier.metrics import make_metrics
from papayapier.node.placement import (
    ANSWER_MS,
    MAX_REQUESTS,
    PlacementDeps,
    make_place,
    queues_at_hub,
)
from papayapier.node.placer import (
    CHECK_DELAY_MS,
    MIN_NOTIFY_INTERVAL_MS,
    NOTIFY_AFTER_MS,
    Placer,
    PlacerDeps,
)
from papayapier.peer.messages import Message
from papayapier.peer.open_requests import OpenRequests, PeerError
from papayapier.peer.placement_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.peer.topology import LinkPlan
from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.placers import (
    UNDECIDED,
    Placement,
    PlacementNeeds,
    make_partitions,
    placer_of,
)
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import Replica

SLOTS = 2
WANTING = PlacementNeeds("team", 0, 300, 5_000, 0)
REQ = RouteRequest("lm", "", "dc")
HUBS = ("hub-1", "hub-2")
FIRST = placer_of("lm/0", HUBS) or ""
SECOND = next(hub for hub in HUBS if hub != FIRST)


class Wires:
    """Carry messages between an entry and two hubs; cut instances send and receive nothing."""

    def __init__(self, replicas: int = 1) -> None:
        self.time = fake_clock()
        self.cut: set[str] = set()
        self.sent: list[tuple[str, str, Message]] = []
        listed = [Replica(f"r{n}", "lm", "h", n, "dc") for n in range(replicas)]
        self.replicas = listed
        self.parts = make_partitions(listed)
        self.endpoints: dict[str, Endpoint] = {}
        self.load_trackers: dict[str, LoadTracker] = {}
        self.placers: dict[str, Placer] = {}
        for name in HUBS:
            load_tracker = LoadTracker()
            load_tracker.on_listed(listed, (), {replica.id: SLOTS for replica in listed})
            endpoint = Endpoint(self, name)
            deps = PlacerDeps(
                self.time.clock,
                random.Random(1),
                cast(Any, endpoint),
                load_tracker,
                OutlierDetector(),
                lambda: self.parts,
                make_metrics(),
                0,
            )
            placer = Placer(deps)
            placer.start()
            self.endpoints[name], self.load_trackers[name], self.placers[name] = (
                endpoint,
                load_tracker,
                placer,
            )
        self.entry = Endpoint(self, "entry")
        self.endpoints["entry"] = self.entry
        load_tracker = LoadTracker()
        load_tracker.on_listed(listed, ())
        self.deps = PlacementDeps(
            self.time.clock,
            random.Random(1),
            cast(Any, self.entry),
            load_tracker,
            OutlierDetector(),
            lambda: list(HUBS),
            lambda: self.parts,
            True,
        )
        self.place = make_place(self.deps)

    def carry(self, sender: str, to: str, message: Message) -> None:
        self.sent.append((sender, to, message))
        if sender not in self.cut and to not in self.cut:
            self.endpoints[to].deliver(sender, message)

    def call(self) -> "Call":
        return Call(self)

    def report_calls(self, hub: str, calls: int) -> None:
        """Report to a hub how many calls the entry has open at the first replica."""
        self.load_trackers[hub].on_peer_calls(
            "entry", (ReplicaUse("r0", calls, 0),), self.time.clock.now()
        )
        self.placers[hub].on_calls()
        self.time.jump(20)


class Endpoint:
    """Fake the peer links of one instance."""

    def __init__(self, wires: Wires, name: str) -> None:
        self.wires = wires
        self.name = name
        self.handlers: dict[type[Message], list[Any]] = {}
        self.listeners: list[Any] = []
        self.unreachable: frozenset[str] = frozenset()
        self.pending = OpenRequests(wires.time.clock, random.Random(2))

    def plan(self) -> LinkPlan:
        return LinkPlan(frozenset(), False, False, HUBS)

    def silent(self) -> frozenset[str]:
        return self.unreachable

    def subscribe(self, kind: type[Message], handler: Any) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def on_change(self, call: Any) -> None:
        self.listeners.append(call)

    def send(self, peer: str, message: Message) -> bool:
        self.wires.carry(self.name, peer, message)
        return True

    async def send_request(self, peer: str, make: Any, limit: int) -> Result[Message, PeerError]:
        correlation_id = self.pending.next_id()
        message = make(correlation_id)
        # As over a network, the reply arrives after the request is registered.
        waiting = Deferred.fromCoroutine(self.pending.wait_reply(correlation_id, peer, limit))
        self.send(peer, message)
        return await waiting

    async def wait_further_reply(
        self, peer: str, correlation_id: int, limit: int
    ) -> Result[Message, PeerError]:
        return await self.pending.wait_reply(correlation_id, peer, limit)

    def deliver(self, sender: str, message: Message) -> None:
        if self.pending.complete(sender, message):
            return
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)


class Call:
    """Hold one placement request."""

    def __init__(self, wires: Wires) -> None:
        self.results: list[Placement] = []
        self.task = Deferred.fromCoroutine(cast(Any, wires.place(REQ, WANTING)))
        self.task.addCallback(self.results.append)
        self.task.addErrback(lambda failure: failure.trap(CancelledError))

    @property
    def replica(self) -> str | None:
        return self.results[0].replica if self.results else None


def fill(wires: Wires) -> None:
    """Take all slots of the first replica."""
    assert [wires.call().replica for _ in range(SLOTS)] == ["r0"] * SLOTS
    for hub in HUBS:
        wires.time.jump(20)
        wires.report_calls(hub, SLOTS)


def count_sent(wires: Wires, kind: type[Message], to: str = "entry") -> int:
    return sum(isinstance(message, kind) and at == to for _, at, message in wires.sent)


def test_placement_takes_two_messages_with_free_capacity() -> None:
    """Guard against additional messages when a replica has free capacity."""
    wires = Wires()
    assert wires.call().replica == "r0"
    assert [type(message) for _, _, message in wires.sent] == [PlaceAsk, PlaceTell]


def test_request_waits_until_a_call_ends() -> None:
    """Guard against a hub that names a replica although all are full."""
    wires = Wires()
    fill(wires)
    call = wires.call()
    assert call.replica is None
    wires.time.jump(ANSWER_MS * 3)
    assert call.replica is None
    wires.report_calls(FIRST, SLOTS - 1)
    assert call.replica == "r0"


def test_replica_unknown_to_requester_is_not_given_to_others() -> None:
    """Guard against a hub that places calls at removed replicas for seconds.

    A hub whose list is outdated takes the removed replicas for idle, and the requesters fall back
    to their own choice.
    """
    wires = Wires(replicas=3)
    removed, remaining = wires.replicas[2], wires.replicas[:2]
    wires.deps.load_tracker.on_listed(remaining, ())
    for hub in HUBS:
        busy = tuple(ReplicaUse(replica.id, 1, 0) for replica in remaining)
        wires.load_trackers[hub].on_peer_calls("other", busy, wires.time.clock.now())
    call = wires.call()
    assert call.replica in {replica.id for replica in remaining}
    assert [message for _, to, message in wires.sent if to == FIRST][1] == Unanswered(removed.id)
    # Other instances report the same.
    for reporter in ("entry-2", "entry-3"):
        wires.endpoints[FIRST].deliver(reporter, Unanswered(removed.id))
    before = len(wires.sent)
    assert wires.call().replica in {replica.id for replica in remaining}
    assert len(wires.sent) == before + 2


def test_hub_with_other_replicas_gets_at_most_two_requests() -> None:
    """Guard against endless requests to a hub that lists other replicas than the requester."""
    wires = Wires(replicas=3)
    wires.deps.load_tracker.on_listed([], ())
    assert wires.call().results[0] == UNDECIDED
    assert count_sent(wires, PlaceAsk, FIRST) == MAX_REQUESTS


def test_short_wait_sends_no_notification() -> None:
    """Guard against a notification for each request that is answered within a few ms."""
    wires = Wires()
    fill(wires)
    before = len(wires.sent)
    call = wires.call()
    wires.time.jump(NOTIFY_AFTER_MS // 3)
    wires.load_trackers[FIRST].on_peer_calls("entry", (), wires.time.clock.now())
    wires.placers[FIRST].on_calls()
    for _ in range(CHECK_DELAY_MS):
        wires.time.jump(1)
    assert call.replica == "r0"
    assert len(wires.sent) - before == 2


def test_queued_request_is_notified_in_time() -> None:
    """Guard against requests that move to another hub after 25 ms without a notification.

    Four hubs that each know a part of the calls would then fill the same replicas.
    """
    wires = Wires()
    fill(wires)
    for _ in range(12):
        before = count_sent(wires, PlaceTell)
        call = wires.call()
        wires.time.jump(ANSWER_MS // 2)
        assert count_sent(wires, PlaceTell) > before
        wires.time.jump(3)
        assert call.results == []
    assert count_sent(wires, PlaceAsk, SECOND) == 0


def test_crash_of_hub_with_queued_request_costs_a_wait() -> None:
    """Guard against requests that stay at a crashed hub for ever, or all leave it at once."""
    wires = Wires()
    fill(wires)
    call = wires.call()
    wires.time.jump(ANSWER_MS * 2)
    wires.cut.add(FIRST)
    wires.time.jump(MIN_NOTIFY_INTERVAL_MS + 2 * ANSWER_MS)
    assert call.replica is None
    assert any(to == SECOND and isinstance(message, PlaceAsk) for _, to, message in wires.sent)
    wires.report_calls(SECOND, SLOTS - 1)
    assert call.replica == "r0"


def test_unresponsive_hub_costs_one_timeout() -> None:
    """Guard against waiting longer than ANSWER_MS for a hub that does not answer."""
    wires = Wires()
    wires.cut.add(FIRST)
    call = wires.call()
    wires.time.jump(ANSWER_MS)
    assert call.results == [Placement()]


def test_restarted_hub_places_by_reported_calls() -> None:
    """Guard against a restarted hub that queues requests or gives the same slot for ever."""
    wires = Wires()
    assert [wires.call().replica for _ in range(SLOTS)] == ["r0"] * SLOTS
    waiting = wires.call()
    assert waiting.replica is None
    wires.time.jump(20)
    wires.report_calls(FIRST, 0)
    assert waiting.replica == "r0"


def test_departed_caller_frees_its_place_in_the_queue() -> None:
    """Guard against a slot that is given to a departed caller while the next request waits."""
    wires = Wires()
    fill(wires)
    departed, remaining = wires.call(), wires.call()
    wires.time.jump(ANSWER_MS)
    departed.task.cancel()
    assert count_sent(wires, PlaceLeft, FIRST) == 1
    wires.report_calls(FIRST, SLOTS - 1)
    assert (departed.results, remaining.replica) == ([], "r0")


def test_requests_of_unreachable_instance_are_dropped() -> None:
    """Guard against answers to the queued requests of an unreachable instance."""
    wires = Wires()
    fill(wires)
    wires.call()
    wires.endpoints[FIRST].unreachable = frozenset({"entry"})
    for call in wires.endpoints[FIRST].listeners:
        call()
    before = count_sent(wires, PlaceTell)
    wires.report_calls(FIRST, 0)
    assert count_sent(wires, PlaceTell) == before


def test_slot_given_to_crashed_instance_is_freed() -> None:
    """Guard against a slot that stays taken after the crash of the instance it was given to."""
    wires = Wires()
    fill(wires)
    wires.report_calls(FIRST, SLOTS - 1)
    assert wires.call().replica == "r0"
    waiting = wires.call()
    assert waiting.replica is None
    wires.load_trackers[FIRST].on_peer_departed("entry")
    wires.placers[FIRST].on_calls()
    wires.time.jump(20)
    assert waiting.replica == "r0"


def test_lost_answer_takes_no_second_slot() -> None:
    """Guard against two requests of one call that are both counted, or neither."""
    wires = Wires()
    fill(wires)
    wires.report_calls(FIRST, SLOTS - 1)
    request = PlaceAsk(77, "lm/0", "", "dc", (), "team", 0, 300, 5_000, 0)
    wires.endpoints[FIRST].deliver("entry", request)
    assert wires.load_trackers[FIRST].online_calls("r0") == SLOTS
    wires.time.jump(20)
    wires.report_calls(FIRST, SLOTS - 1)
    assert wires.load_trackers[FIRST].online_calls("r0") == SLOTS - 1


def test_unresponsive_replica_gets_no_calls() -> None:
    """Guard against an unresponsive replica that appears idle and attracts all calls."""
    wires = Wires(replicas=4)
    for reporter in ("entry", "e2", "e3"):
        wires.endpoints[FIRST].deliver(reporter, Unanswered("r2"))
    given = {wires.call().replica for _ in range(3 * SLOTS)}
    assert given == {"r0", "r1", "r3"}
    assert wires.call().replica is None


def test_reports_are_ignored_if_most_replicas_are_reported() -> None:
    """Guard against a network fault that takes a complete upstream out of use."""
    wires = Wires(replicas=4)
    for replica in ("r0", "r1", "r2"):
        for reporter in ("entry", "e2", "e3"):
            wires.endpoints[FIRST].deliver(reporter, Unanswered(replica))
    given = {wires.call().replica for _ in range(4 * SLOTS)}
    assert given == {"r0", "r1", "r2", "r3"}


def test_planned_stop_moves_queued_requests_to_next_hub() -> None:
    """Guard against all queued requests of a stopping hub going to full replicas at once."""
    wires = Wires()
    fill(wires)
    calls = [wires.call() for _ in range(5)]
    wires.time.jump(ANSWER_MS * 2)
    wires.placers[FIRST].leave()
    # Until its heartbeat arrives, it still gets requests.
    calls += [wires.call() for _ in range(5)]
    wires.time.jump(ANSWER_MS * 2)
    assert [call.replica for call in calls] == [None] * 10
    assert (wires.placers[FIRST].waiting(), wires.placers[SECOND].waiting()) == (0, 10)
    wires.report_calls(SECOND, SLOTS - 1)
    assert [call.replica for call in calls].count("r0") == 1


def test_planned_stop_of_only_hub_releases_queued_requests() -> None:
    """Guard against requests that stay queued at the only hub after it has stopped."""
    wires = Wires()
    fill(wires)
    wires.cut.add(SECOND)
    call = wires.call()
    wires.time.jump(ANSWER_MS * 2)
    wires.placers[FIRST].leave()
    wires.time.jump(ANSWER_MS)
    assert call.results == [Placement()]


def test_stopping_hub_places_requests_without_objective() -> None:
    """Guard against an earlier release that takes the answer for "there is no replica"."""
    wires = Wires()
    wires.placers[FIRST].leave()
    wires.endpoints[FIRST].deliver("entry", PlaceAsk(78, "lm/0", "", "dc"))
    assert wires.sent[-1] == (FIRST, "entry", PlaceTell(78, "r0"))


def test_request_without_objective_is_answered_immediately() -> None:
    """Guard against a 25 ms wait of an instance with an earlier release or without the setting."""
    wires = Wires()
    fill(wires)
    wires.endpoints[FIRST].deliver("entry", PlaceAsk(78, "lm/0", "", "dc"))
    assert wires.sent[-1] == (FIRST, "entry", PlaceTell(78, "r0"))


def test_refusal_states_not_run_and_retry_time() -> None:
    """Guard against refusals of a hub that lose their retry time or their outcome."""
    wires = Wires()
    fill(wires)

    async def refuse(_peer: str, make: Any, _limit: int) -> Result[Message, PeerError]:
        return Ok(PlaceTell(make(1).correlation_id, "", 0, 250))

    wires.entry.send_request = refuse  # type: ignore[method-assign, assignment]
    refusal = wires.call().results[0].refusal
    assert refusal is not None
    assert (refusal.kind, refusal.outcome) == (ErrorKind.NO_ROOM, Outcome.NOT_RUN)
    assert refusal.retry_after_ms == 250


@pytest.mark.parametrize(
    ("queue", "hubs", "expected"), [(True, 2, True), (False, 2, False), (True, 0, False)]
)
def test_calls_queue_at_hub_or_instance(queue: bool, hubs: int, expected: bool) -> None:
    """Guard against a call that is queued nowhere because no placer is reachable."""
    wires = Wires()
    deps = wires.deps._replace(queue=queue, hubs=lambda: list(HUBS[:hubs]))
    assert queues_at_hub(deps, "lm") is expected
    assert queues_at_hub(deps, "not-listed") is False


def test_closed_link_gives_no_placement() -> None:
    """Guard against a failure when the link to the hub closes."""
    wires = Wires()

    async def closed(_peer: str, make: Any, _limit: int) -> Result[Message, PeerError]:
        make(1)
        return Err(PeerError.CLOSED)

    wires.entry.send_request = closed  # type: ignore[method-assign, assignment]
    assert wires.call().results == [Placement()]


def test_time_of_a_decision() -> None:
    """Guard against placement decisions that take more than 0.1 ms of processor time.

    Placing a call at once with an empty queue takes 0.1 ms. The bound is 0.1 ms for each request,
    including all checks of capacity, at 600 requests per second, 64 replicas and 2,000 queued
    requests.
    """
    wires = Wires(replicas=64)
    hub, load_tracker, placer = (
        wires.endpoints[FIRST],
        wires.load_trackers[FIRST],
        wires.placers[FIRST],
    )
    late = PlacementNeeds("", 0, 19_000, 19_000, 0)
    for number in range(2_000 + 64 * SLOTS):
        hub.deliver("entry", make_request(number, late._replace(caller=f"t{number % 80}")))
    wires.time.jump(3_000)
    wires.sent.clear()
    spent: list[float] = []
    for step in range(200):
        began = time.process_time()
        for part in range(3):
            open_at = SLOTS - 1 if part == step % 3 else SLOTS
            use = ReplicaUse(f"r{(3 * step + part) % 64}", open_at, 0)
            load_tracker.on_peer_calls(f"e{step % 9}", (use,), wires.time.clock.now())
            placer.on_calls()
            hub.deliver(
                "entry", make_request(9_000 + 3 * step + part, late._replace(caller="calm"))
            )
        wires.time.jump(5)
        spent.append((time.process_time() - began) / 3)
    spent.sort()
    assert count_sent(wires, PlaceTell) > 0
    # The lowest tenth of the steps, which other load on the machine has hardly disturbed.
    assert spent[len(spent) // 10] * 1e6 < 100


def make_request(number: int, needs: PlacementNeeds) -> PlaceAsk:
    times = (needs.objective_ms, needs.timeout_ms, needs.retry_within_ms)
    return PlaceAsk(number, "lm/0", "", "dc", (), needs.caller, needs.rank, *times)
