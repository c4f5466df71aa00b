"""Test the basic decisions of every policy module."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.config.profiles import BatchRule, RetryRule
from papayapier.errors import Outcome
from papayapier.policy.admission import AdmissionQueue, QueuedRequest
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.deadlines import RemainingJob, at_risk, order_jobs
from papayapier.policy.drain import Drain, DrainPlan
from papayapier.policy.fair_queue import RANKS
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.ownership import LeaseView, assign_shards, holder_may_act, wanted_shards
from papayapier.policy.retries import GiveUp, Retry, RetryBudget, retry_or_refuse
from papayapier.policy.routing import RouteRequest, choose_replica
from papayapier.upstream.api import Failure, FailureKind, Load, Replica, Sent

REPLICAS = [Replica(f"r{i}", "model", "127.0.0.1", 1, "dc1") for i in range(3)]


def test_routing_avoids_loaded_and_leaving_replicas() -> None:
    """Guard against calls to a loaded or a leaving replica."""
    load_tracker = LoadTracker()
    load_tracker.on_listed(REPLICAS, leaving={"r2"})
    load_tracker.on_report("r0", Load(30, 0, 32, 7.0, 1_000))
    load_tracker.on_report("r1", Load(0, 0, 32, 5.0, 1_000))
    req = RouteRequest("model", "", "dc1")
    rand = random.Random(1)
    assert {
        choose_replica(load_tracker, OutlierDetector(), req, rand, 1_000) for _ in range(20)
    } == {"r1"}


def test_queue_starts_and_expires_each_ticket_once() -> None:
    """Guard against tickets that are lost, or started or expired twice."""
    queue = AdmissionQueue(10)
    for ticket in range(4):
        entry = QueuedRequest(ticket, "caller", "model", "chat", RANKS["normal"], 1_000, 1.0, 0)
        assert queue.offer(entry, 0).is_ok()
    assert queue.remove(2)
    assert not queue.remove(2)
    taken = queue.take(0, lambda upstream: True)
    assert taken is not None and taken.ticket == 0
    assert [entry.ticket for entry in queue.expired(1_000)] == [1, 3]
    assert queue.depth() == 0


def test_non_idempotent_call_is_retried_only_when_unsent() -> None:
    """Guard against running a non-idempotent call twice."""
    unsent = Failure(FailureKind.CONNECT, Sent.NO, "refused")
    sent = Failure(FailureKind.TRUNCATED, Sent.MAYBE, "reset")
    rule, budget, rand = RetryRule(), RetryBudget(), random.Random(1)
    first = retry_or_refuse(unsent, False, 1, rule, 9_000, 0, budget, upstream="m", rand=rand)
    assert isinstance(first, Retry)
    second = retry_or_refuse(sent, False, 2, rule, 9_000, 0, budget, upstream="m", rand=rand)
    assert isinstance(second, GiveUp)
    assert second.refusal.outcome is Outcome.UNKNOWN


def test_batch_yields_to_online_calls() -> None:
    """Guard against batch streams that stay when online calls need their slots."""
    load_tracker, share = LoadTracker(), BatchShare("i1")
    load_tracker.on_listed(REPLICAS, leaving=())
    load_tracker.on_report("r0", Load(0, 0, 32, 5.0, 0))
    share.set_upstream("r0", "model")
    share.set_rule("model", BatchRule())
    opened = max(share.free_streams("r0", load_tracker, now) for now in range(0, 5_000, 20))
    assert 0 < opened < 32
    for _ in range(opened):
        load_tracker.on_sent("r0", batch=True, now=5_000)
    for _ in range(16):
        load_tracker.on_sent("r0", batch=False, now=5_001)
    assert share.free_streams("r0", load_tracker, 5_001) == 0
    assert share.excess_streams("r0", load_tracker, 5_001) > 0


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(count=st.integers(1, 12), shards=st.integers(0, 64))
def test_shards_are_assigned_once_and_evenly(count: int, shards: int) -> None:
    """Guard against shards with no or several owners, and against uneven shares."""
    instances = [f"i{i}" for i in range(count)]
    shares = [wanted_shards(instance, instances, range(shards)) for instance in instances]
    assert sorted(shard for share in shares for shard in share) == list(range(shards))
    assert max(map(len, shares)) - min(map(len, shares)) <= 1


def test_few_shards_move_when_an_instance_departs() -> None:
    """Guard against moving many more shards than the departed instance had."""
    instances = [f"i{i}" for i in range(6)]
    before = assign_shards(instances, range(32))
    after = assign_shards(instances[1:], range(32))
    lost = sum(1 for holder in before.values() if holder == "i0")
    moved = sum(1 for shard in before if before[shard] != after[shard])
    assert moved <= lost + 4


def test_holder_and_observer_never_both_act() -> None:
    """Guard against a paused holder that works alongside its successor.

    A renewal is sent at 0 and observed elsewhere at 1, then the holder pauses. The holder must
    count from the sending and not from the answer, and the observer by its own clock.
    """
    view = LeaseView()
    view.observe(7, 1)
    lease_ms, margin = 6_000, 200
    for now in range(0, 10_000, 50):
        assert not (
            holder_may_act(0, lease_ms, now, margin) and view.expired(lease_ms, now, margin)
        )
    assert not holder_may_act(0, lease_ms, 6_000, margin)
    assert view.expired(lease_ms, 6_300, margin)
    view.observe(8, 6_400)
    assert not view.expired(lease_ms, 6_500, margin)


def test_jobs_are_ordered_by_slack() -> None:
    """Guard against serving a job with more slack first, or one without items."""
    jobs = [
        RemainingJob("a", "x", 9_000, 5),
        RemainingJob("b", "x", 4_000, 5),
        RemainingJob("c", "x", 1_000, 0),
    ]
    assert order_jobs(jobs, 0) == ["b", "a"]
    assert at_risk(jobs[1], 0.001, 0)
    assert not at_risk(jobs[1], 1.0, 0)


def test_planned_stop_serves_through_balancer_lag() -> None:
    """Guard against refusing requests that the balancer still sends to a leaving instance."""
    drain = Drain(DrainPlan(balancer_lag_ms=3_000, limit_ms=60_000))
    drain.leave(0)
    assert drain.tick(1_000, 0) == "leaving"
    assert drain.accepts()
    assert drain.tick(3_000, 2) == "draining"
    assert not drain.accepts()
    assert drain.tick(4_000, 0) == "stopped"


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(steps=st.lists(st.tuples(st.integers(0, 3_000), st.integers(0, 3)), max_size=30))
def test_stop_ends_only_when_idle_or_at_its_limit(
    steps: list[tuple[int, int]],
) -> None:
    """Guard against a stop that cuts off calls before its limit."""
    drain = Drain(DrainPlan(balancer_lag_ms=3_000, limit_ms=20_000))
    drain.leave(0)
    now = 0
    for passed, in_flight in steps:
        now += passed
        before = drain.state()
        if drain.tick(now, in_flight) == "stopped" and before != "stopped":
            assert now >= 3_000
            assert in_flight == 0 or now >= 20_000
        assert drain.accepts() == (drain.state() == "leaving")


def test_second_signal_stops_at_once() -> None:
    """Guard against a second signal without effect, and a stop that later orders restart."""
    drain = Drain(DrainPlan(balancer_lag_ms=3_000, limit_ms=20_000))
    assert drain.tick(0, 0) == "serving"
    drain.leave(0)
    drain.leave(2_900)
    assert drain.tick(3_000, 1) == "draining"
    drain.abandon()
    assert drain.state() == "stopped"
