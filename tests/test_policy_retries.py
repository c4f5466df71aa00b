"""Test which failed calls are retried, and what their callers receive."""

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
    retry_or_refuse,
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
def test_calls_that_may_have_run_are_not_repeated(
    failures: list[Failure], idempotent: bool
) -> None:
    """Guard against running a non-idempotent call twice, and against a false "not run"."""
    budget, rand = RetryBudget(), random.Random(1)
    now = 0
    earlier = Sent.NO
    for attempt, failure in enumerate(failures, start=1):
        decision = retry_or_refuse(
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
def test_retries_stay_within_the_budget(steps: list[tuple[int, int, int]]) -> None:
    """Guard against retries beyond the share of the requests."""
    budget = RetryBudget()
    now = 0
    requests: list[int] = []
    retries: list[int] = []
    for passed, requested, failed in steps:
        now += passed
        requests.extend([now] * requested)
        for _ in range(requested):
            budget.on_request("model", now)
        retries.extend(now for _ in range(failed) if budget.try_spend("model", now))
        since = now - RETRY_WINDOW_MS
        recent = sum(1 for at in requests if at > since)
        spent = sum(1 for at in retries if at > since + RETRY_WINDOW_MS // 10)
        assert spent <= max(RETRY_FLOOR, RETRY_SHARE * recent)


def test_failing_upstream_gets_a_tenth_more_load() -> None:
    """Guard against a retry storm that keeps an overloaded upstream down.

    1,000 requests in a second all fail, and each may be sent three times. Retries must be limited
    over all requests, not by each request's own rule alone.
    """
    budget, rand = RetryBudget(), random.Random(1)
    failure = Failure(FailureKind.STATUS, Sent.MAYBE, "busy", 503)
    sends = 0
    for now in range(1_000):
        budget.on_request("model", now)
        for attempt in range(1, 4):
            sends += 1
            decision = retry_or_refuse(
                failure, True, attempt, RULE, 60_000, now, budget, "model", rand
            )
            if isinstance(decision, GiveUp):
                break
    assert sends <= 1_101


def test_silent_connection_is_replaced_first() -> None:
    """Guard against avoiding a healthy replica because something dropped a kept-alive connection.

    A call on a kept-alive connection gets no byte, but new connections would work; the replica may
    be at fault only when a new one is silent, too.
    """
    budget, rand = RetryBudget(), random.Random(1)
    silent = Failure(FailureKind.TIMED_OUT, Sent.MAYBE, "no byte")
    first = retry_or_refuse(silent, True, 1, RULE, 60_000, 0, budget, "model", rand)
    second = retry_or_refuse(silent, True, 2, RULE, 60_000, 0, budget, "model", rand)
    assert isinstance(first, Retry) and first.fresh_connection and not first.exclude
    assert isinstance(second, Retry) and second.exclude


def test_unreported_earlier_attempts_mean_unknown() -> None:
    """Guard against a false "not run" where it is not stated what earlier attempts did."""
    budget, rand = RetryBudget(), random.Random(1)
    unsent = Failure(FailureKind.CONNECT, Sent.NO, "refused")
    last = retry_or_refuse(unsent, True, 3, RULE, 60_000, 0, budget, "model", rand)
    assert isinstance(last, GiveUp) and last.refusal.outcome is Outcome.UNKNOWN
    reported = retry_or_refuse(unsent, True, 3, RULE, 60_000, 0, budget, "model", rand, Sent.NO)
    assert isinstance(reported, GiveUp) and reported.refusal.outcome is Outcome.NOT_RUN


def test_no_retry_is_planned_past_the_due_time() -> None:
    """Guard against a retry that would start after the due time."""
    budget, rand = RetryBudget(), random.Random(1)
    busy = Failure(FailureKind.STATUS, Sent.NO, "busy", 503)
    decision = retry_or_refuse(busy, True, 1, RULE, 1_005, 1_000, budget, "model", rand, Sent.NO)
    assert isinstance(decision, GiveUp)
    assert decision.refusal.kind is ErrorKind.UPSTREAM_FAILED


def _retries(
    budget: RetryBudget,
    calls: int,
    at: FailedAt,
    now: int = 0,
    kind: FailureKind = FailureKind.TRUNCATED,
) -> int:
    """Count the calls that get a retry after all of them failed at one replica."""
    cut = Failure(kind, Sent.MAYBE, "cut")
    rand = random.Random(1)
    decisions = [
        retry_or_refuse(cut, True, 1, RULE, 60_000, now, budget, "model", rand, Sent.NO, at)
        for _ in range(calls)
    ]
    return sum(1 for decision in decisions if isinstance(decision, Retry))


def test_every_call_of_a_crashed_replica_is_retried() -> None:
    """Guard against refusing calls of a crashed replica while others have free slots.

    Of nine calls seven are on one engine, which crashes. With only the budget against storms, which
    allows five retries in total, two calls were refused although the second engine had seven free
    slots.
    """
    budget = RetryBudget()
    for _ in range(9):
        budget.on_request("model", 0)
    assert _retries(budget, 7, FailedAt("e1", 8, 2)) == 7


def test_every_call_with_a_broken_answer_is_retried() -> None:
    """Guard against refusing calls because one replica sends broken answers."""
    budget = RetryBudget()
    at = FailedAt("e1", 8, 2)
    assert _retries(budget, 7, at, kind=FailureKind.INVALID) == 7
    assert _retries(RetryBudget(), 40, at, kind=FailureKind.INVALID) == 8 + RETRY_FLOOR


def test_retries_of_a_crashed_replica_are_bounded() -> None:
    """Guard against more retries than the replica's slots and the floor."""
    assert _retries(RetryBudget(), 40, FailedAt("e1", 8, 9)) == 8 + RETRY_FLOOR


def test_failing_upstream_has_only_the_shared_budget() -> None:
    """Guard against a retry storm when most replicas of an upstream fail."""
    budget = RetryBudget()
    assert _retries(budget, 8, FailedAt("e1", 8, 3)) == 8
    assert _retries(budget, 20, FailedAt("e2", 8, 3)) == RETRY_FLOOR
    later = RETRY_WINDOW_MS + 1_000
    assert _retries(budget, 8, FailedAt("e2", 8, 3), later) == 8


def test_status_is_no_lost_replica() -> None:
    """Guard against counting error responses as calls of a crashed replica."""
    budget, rand = RetryBudget(), random.Random(1)
    broken = Failure(FailureKind.STATUS, Sent.MAYBE, "failed", 500)
    at = FailedAt("e1", 8, 9)
    decisions = [
        retry_or_refuse(broken, True, 1, RULE, 60_000, 0, budget, "model", rand, Sent.NO, at)
        for _ in range(20)
    ]
    assert sum(1 for decision in decisions if isinstance(decision, Retry)) == RETRY_FLOOR
