"""Test the order and the refusals of the admission queue."""

from collections import Counter
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from papayapier.config.profiles import Urgency
from papayapier.errors import ErrorKind, Outcome
from papayapier.policy.admission import AdmissionQueue, QueuedRequest
from papayapier.policy.fair_queue import RANKS

CALLERS = ["a", "b", "c"]
UPSTREAMS = ["model", "counter"]


def entry(
    ticket: int,
    caller: str = "a",
    due_ms: int = 60_000,
    urgency: Urgency = "normal",
    upstream: str = "model",
    at: int = 0,
) -> QueuedRequest:
    return QueuedRequest(ticket, caller, upstream, "chat", RANKS[urgency], due_ms, 1.0, at)


def always(_: str) -> bool:
    return True


def never(_: str) -> bool:
    return False


class Served(NamedTuple):
    """Count the results of the requests of one run."""

    in_time: int
    late: int
    refused: int
    expired: int
    longest_wait_ms: int


def serve(offered_per_s: int, due_ms: int, seconds: int, queue: AdmissionQueue) -> Served:
    """Offer requests at a rate to an upstream that runs 50 a second, five at once, 100 ms each."""
    running: list[tuple[int, QueuedRequest]] = []
    ends: Counter[str] = Counter()
    longest_wait_ms = 0
    for now in range(0, seconds * 1_000, 10):
        for ended, item in [pair for pair in running if pair[0] <= now]:
            running.remove((ended, item))
            queue.on_ended("model", 1.0, ended - 100, ended, "chat")
            ends["in_time" if ended <= item.due_ms else "late"] += 1
        for late in queue.expired(now):
            ends["expired"] += 1
            longest_wait_ms = max(longest_wait_ms, now - late.enqueued_ms)
        for number in range(offered_per_s // 50 if now % 20 == 0 else 0):
            item = entry(10 * now + number, f"c{now % 3}", now + due_ms, at=now)
            ends["refused"] += queue.offer(item, now).is_err()
        while (taken := queue.take(now, lambda _: len(running) < 5)) is not None:
            queue.on_started("model", 1.0, now)
            running.append((now + 100, taken))
    return Served(ends["in_time"], ends["late"], ends["refused"], ends["expired"], longest_wait_ms)


class QueueMachine(RuleBasedStateMachine):
    """Offer, take, remove and expire in any order; account for every ticket."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = AdmissionQueue(40)
        self.now = 0
        self.next_ticket = 0
        self.queued: set[int] = set()

    @rule(
        caller=st.sampled_from(CALLERS),
        upstream=st.sampled_from(UPSTREAMS),
        urgency=st.sampled_from(["urgent", "normal"]),
        due_in=st.integers(-5, 2_000),
    )
    def offer(self, caller: str, upstream: str, urgency: Urgency, due_in: int) -> None:
        ticket = self.next_ticket
        self.next_ticket += 1
        item = entry(ticket, caller, self.now + due_in, urgency, upstream, self.now)
        if self.queue.offer(item, self.now).is_ok():
            self.queued.add(ticket)

    @rule(open_upstreams=st.sets(st.sampled_from(UPSTREAMS)))
    def take(self, open_upstreams: set[str]) -> None:
        taken = self.queue.take(self.now, open_upstreams.__contains__)
        if taken is None:
            return
        assert taken.upstream in open_upstreams
        assert taken.due_ms > self.now
        self.queued.remove(taken.ticket)
        self.queue.on_started(taken.upstream, taken.cost, self.now)
        self.queue.on_ended(taken.upstream, taken.cost, self.now, self.now + 20, "chat")

    @precondition(lambda self: self.next_ticket > 0)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        ticket = data.draw(st.integers(0, self.next_ticket - 1))
        assert self.queue.remove(ticket) == (ticket in self.queued)
        self.queued.discard(ticket)

    @rule(passed=st.integers(0, 500))
    def expire(self, passed: int) -> None:
        self.now += passed
        for late in self.queue.expired(self.now):
            self.queued.remove(late.ticket)

    @invariant()
    def depth_counts_queued_tickets(self) -> None:
        assert self.queue.depth() == len(self.queued)


QueueMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase


@settings(derandomize=True, deadline=None, database=None, max_examples=40)
@given(st.lists(st.integers(1, 60), min_size=2, max_size=6))
def test_callers_with_queued_requests_are_served_equally(sizes: list[int]) -> None:
    """Guard against a caller that gets more service because it has more requests queued."""
    queue = AdmissionQueue(10_000)
    ticket = 0
    for index, size in enumerate(sizes):
        for _ in range(size):
            ticket += 1
            assert queue.offer(entry(ticket, f"c{index}"), 0).is_ok()
    served: Counter[str] = Counter()
    for _ in range(sum(sizes)):
        taken = queue.take(0, always)
        assert taken is not None
        served[taken.caller] += 1
        waiting = [served[f"c{i}"] for i, size in enumerate(sizes) if served[f"c{i}"] < size]
        if waiting:
            assert max(waiting) - min(waiting) <= 1


def test_single_requests_give_no_advantage() -> None:
    """Guard against a caller that gains service by sending one request at a time."""
    queue = AdmissionQueue(1_000)
    for ticket in range(100):
        assert queue.offer(entry(ticket, f"c{ticket % 4}"), 0).is_ok()
    served: Counter[str] = Counter()
    for ticket in range(1_000, 1_050):
        queue.offer(entry(ticket, "single"), 0)
        taken = queue.take(0, always)
        assert taken is not None
        served[taken.caller] += 1
        if served["single"] and taken.caller != "single":
            queue.remove(ticket)
    assert served["single"] <= 11


def test_urgent_is_preferred_but_normal_not_starved() -> None:
    """Guard against starvation of normal requests by urgent ones."""
    queue = AdmissionQueue(1_000)
    for ticket in range(90):
        assert queue.offer(entry(ticket, "a", urgency="urgent"), 0).is_ok()
        assert queue.offer(entry(500 + ticket, "b"), 0).is_ok()
    first = [queue.take(0, always) for _ in range(50)]
    normal = sum(1 for taken in first if taken is not None and taken.rank == RANKS["normal"])
    assert 5 <= normal <= 12


def test_flood_of_one_caller_leaves_capacity_for_others() -> None:
    """Guard against one caller filling the queue, so that the requests of all others are refused.

    Caller "a" offers more than the queue holds, then "b" offers one. Capacity must not go to
    whichever request arrives first.
    """
    queue = AdmissionQueue(100)
    refusals = [queue.offer(entry(ticket), 0).err() for ticket in range(200)]
    assert sum(1 for refusal in refusals if refusal is None) == 50
    last = refusals[-1]
    assert last is not None and last.kind is ErrorKind.CALLER_LIMIT
    assert last.outcome is Outcome.NOT_RUN and last.retry_after_ms > 0
    assert queue.offer(entry(1_000, "b"), 0).is_ok()
    taken = [queue.take(0, always) for _ in range(2)]
    assert any(item is not None and item.caller == "b" for item in taken)


def test_blocked_upstream_delays_no_other() -> None:
    """Guard against a blocked upstream delaying requests to another one."""
    queue = AdmissionQueue(100)
    for ticket in range(20):
        assert queue.offer(entry(ticket, upstream="model"), 0).is_ok()
    assert queue.offer(entry(99, upstream="counter"), 0).is_ok()
    taken = queue.take(0, lambda upstream: upstream == "counter")
    assert taken is not None and taken.ticket == 99


def test_goodput_holds_at_twice_the_capacity() -> None:
    """Guard against answers just after their due time under overload.

    Twice as many requests arrive as the upstream can run, each due in 1 s. The estimate must
    include the wait and the run time.
    """
    served = serve(100, 1_000, 20, AdmissionQueue(1_000))
    assert served.late == 0
    assert served.in_time >= 0.95 * 50 * 20
    assert served.expired <= 0.02 * served.refused


def test_refusal_states_a_useful_retry_time() -> None:
    """Guard against a retry time at which the request would be refused again."""
    queue = AdmissionQueue(1_000)
    serve(100, 1_000, 5, queue)
    item = entry(1, "c0", 6_000, at=5_000)
    refusal = queue.offer(item, 5_000).err()
    assert refusal is not None and refusal.kind is ErrorKind.OVERLOADED
    assert refusal.outcome is Outcome.NOT_RUN
    retry_ms = 5_000 + refusal.retry_after_ms
    for now in range(5_000, retry_ms, 20):
        queue.take(now, always)
    assert queue.offer(entry(2, "c0", retry_ms + 1_000, at=retry_ms), retry_ms).is_ok()


def test_queued_requests_expire_when_upstream_stops() -> None:
    """Guard against a caller that waits for its whole due time only to be refused.

    Some 200 requests due in 5 s are queued, then the upstream takes nothing more. Queued requests
    must be reviewed before their due time.
    """
    queue = AdmissionQueue(1_000)
    serve(100, 5_000, 5, queue)
    waiting = queue.depth()
    assert waiting > 100
    for now in range(5_000, 7_000, 10):
        queue.take(now, never)
        queue.expired(now)
    assert queue.depth() < 0.1 * waiting


def test_wrong_duration_does_not_refuse_forever() -> None:
    """Guard against a learnt duration that refuses all requests and is never corrected."""
    queue = AdmissionQueue(10)
    queue.on_started("model", 1.0, 0)
    queue.on_ended("model", 1.0, 0, 60_000, "chat")
    assert queue.offer(entry(1, due_ms=61_000, at=60_000), 60_000).is_ok()
    taken = queue.take(60_000, always)
    assert taken is not None and taken.ticket == 1
