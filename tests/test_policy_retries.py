"""Test which failed calls are sent again, and what their callers are told."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.config.profiles import RetryRule
from papayapier.errors import ErrorKind, Outcome
from papayapier.policy.retries import (
    RETRY_FLOOR,
    RETRY_SHARE,
    RETRY_WINDOW_MS,
    FailedAt,
    GiveUp,
    Retry,
    RetryBudget,
    decide,
)
from papayapier.upstream.api import Failure, FailureKind, Sent

RULE = RetryRule()
FAILURES = st.builds(
    Failure,
    st.sampled_from(list(FailureKind)),
    st.sampled_from(list(Sent)),
    st.just("why"),
    st.sampled_from([0, 429, 500, 503]),
)


@settings(derandomize=True, deadline=None, database=None, max_examples=200)
@given(failures=st.lists(FAILURES, min_size=1, max_size=8), idempotent=st.booleans())
def test_what_may_have_run_is_neither_repeated_nor_called_not_run(
    failures: list[Failure], idempotent: bool
) -> None:
    budget, rand = RetryBudget(), random.Random(1)
    now = 0
    earlier = Sent.NO
    for attempt, failure in enumerate(failures, start=1):
        decision = decide(
            failure, idempotent, attempt, RULE, 60_000, now, budget, "model", rand, earlier
        )
        maybe_ran = Sent.MAYBE in (failure.sent, earlier)
        if isinstance(decision, GiveUp):
            assert (decision.refusal.outcome is Outcome.UNKNOWN) == maybe_ran
            return
        assert idempotent or not maybe_ran
        assert attempt < RULE.attempts
        now += decision.after_ms
        earlier = Sent.MAYBE if maybe_ran else Sent.NO


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@given(
    steps=st.lists(st.tuples(st.integers(0, 800), st.integers(0, 60), st.integers(0, 60))),
)
def test_retries_stay_inside_the_budget(steps: list[tuple[int, int, int]]) -> None:
    budget = RetryBudget()
    now = 0
    requests: list[int] = []
    retries: list[int] = []
    for passed, asked, failed in steps:
        now += passed
        requests.extend([now] * asked)
        for _ in range(asked):
            budget.on_request("model", now)
        retries.extend(now for _ in range(failed) if budget.spend("model", now))
        since = now - RETRY_WINDOW_MS
        recent = sum(1 for at in requests if at > since)
        spent = sum(1 for at in retries if at > since + RETRY_WINDOW_MS // 10)
        assert spent <= max(RETRY_FLOOR, RETRY_SHARE * recent)


def test_an_upstream_that_fails_everything_gets_a_tenth_more_and_not_thrice() -> None:
    # Symptom: an upstream that fails under load gets a multiple of the load and stays down.
    # Sequence: 1,000 requests in a second all fail; each may be sent three times.
    # Cause: every request retried by its own rule alone.
    budget, rand = RetryBudget(), random.Random(1)
    failure = Failure(FailureKind.STATUS, Sent.MAYBE, "busy", 503)
    sends = 0
    for now in range(1_000):
        budget.on_request("model", now)
        for attempt in range(1, 4):
            sends += 1
            decision = decide(failure, True, attempt, RULE, 60_000, now, budget, "model", rand)
            if isinstance(decision, GiveUp):
                break
    assert sends <= 1_101


def test_a_silent_connection_is_replaced_before_the_replica_is_avoided() -> None:
    # Symptom: a healthy replica is avoided because something dropped a kept connection.
    # Sequence: a call on a kept connection gets no byte; new connections would work.
    # Cause: the silence was held against the replica at once.
    budget, rand = RetryBudget(), random.Random(1)
    silent = Failure(FailureKind.SILENT, Sent.MAYBE, "no byte")
    first = decide(silent, True, 1, RULE, 60_000, 0, budget, "model", rand)
    second = decide(silent, True, 2, RULE, 60_000, 0, budget, "model", rand)
    assert isinstance(first, Retry) and first.fresh_connection and not first.exclude
    assert isinstance(second, Retry) and second.exclude


def test_a_caller_that_does_not_tell_of_earlier_sends_gets_unknown() -> None:
    budget, rand = RetryBudget(), random.Random(1)
    unsent = Failure(FailureKind.CONNECT, Sent.NO, "refused")
    last = decide(unsent, True, 3, RULE, 60_000, 0, budget, "model", rand)
    assert isinstance(last, GiveUp) and last.refusal.outcome is Outcome.UNKNOWN
    told = decide(unsent, True, 3, RULE, 60_000, 0, budget, "model", rand, Sent.NO)
    assert isinstance(told, GiveUp) and told.refusal.outcome is Outcome.NOT_RUN


def test_no_retry_is_planned_past_the_due_time() -> None:
    budget, rand = RetryBudget(), random.Random(1)
    busy = Failure(FailureKind.STATUS, Sent.NO, "busy", 503)
    decision = decide(busy, True, 1, RULE, 1_005, 1_000, budget, "model", rand, Sent.NO)
    assert isinstance(decision, GiveUp)
    assert decision.refusal.kind is ErrorKind.UPSTREAM_FAILED


def _retries(budget: RetryBudget, calls: int, at: FailedAt, now: int = 0) -> int:
    """Count the calls that get a retry after all of them were cut at one replica."""
    cut = Failure(FailureKind.CUT, Sent.MAYBE, "cut")
    rand = random.Random(1)
    decisions = [
        decide(cut, True, 1, RULE, 60_000, now, budget, "model", rand, Sent.NO, at)
        for _ in range(calls)
    ]
    return sum(1 for one in decisions if isinstance(one, Retry))


def test_every_call_of_one_dead_replica_is_sent_again() -> None:
    # Symptom: "7 whole, 2 refused of 9" although the second engine had seven slots free.
    # Sequence: nine calls, seven of them on one engine; it crashes and all seven are cut.
    # Cause: the budget against storms allowed five retries in all.
    budget = RetryBudget()
    for _ in range(9):
        budget.on_request("model", 0)
    assert _retries(budget, 7, FailedAt("e1", 8, 2)) == 7


def test_a_replica_takes_no_more_calls_with_it_than_it_has_slots_and_the_floor() -> None:
    assert _retries(RetryBudget(), 40, FailedAt("e1", 8, 9)) == 8 + RETRY_FLOOR


def test_when_most_replicas_lose_calls_only_the_shared_budget_is_left() -> None:
    budget = RetryBudget()
    assert _retries(budget, 8, FailedAt("e1", 8, 3)) == 8
    assert _retries(budget, 20, FailedAt("e2", 8, 3)) == RETRY_FLOOR
    later = RETRY_WINDOW_MS + 1_000
    assert _retries(budget, 8, FailedAt("e2", 8, 3), later) == 8


def test_a_status_is_no_loss_of_a_replica() -> None:
    budget, rand = RetryBudget(), random.Random(1)
    broken = Failure(FailureKind.STATUS, Sent.MAYBE, "failed", 500)
    at = FailedAt("e1", 8, 9)
    decisions = [
        decide(broken, True, 1, RULE, 60_000, 0, budget, "model", rand, Sent.NO, at)
        for _ in range(20)
    ]
    assert sum(1 for one in decisions if isinstance(one, Retry)) == RETRY_FLOOR
