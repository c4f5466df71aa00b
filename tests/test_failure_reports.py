"""Test which replicas get no calls, from the failures that all instances report."""

import pytest

from papayapier.policy.failure_reports import (
    FAILURE_WINDOW_MS,
    FIRST_AVOIDED_MS,
    MAX_AVOIDED_MS,
    MIN_FAILURES,
    TRIAL_INTERVAL_MS,
    TRIAL_PERIOD_MS,
    FailureReports,
)
from papayapier.policy.first_byte import FLOOR_MS, MIN_PLACED_LIMIT_MS, FirstByteTimes


def avoided_replica(at: int = 0) -> FailureReports:
    """Report enough failures of r1 that it is avoided."""
    failures = FailureReports()
    results = [failures.on_failed("r1", f"entry-{n}", at) for n in range(MIN_FAILURES)]
    assert results == [False] * (MIN_FAILURES - 1) + [True]
    return failures


def test_failures_from_several_instances_avoid_a_replica() -> None:
    """Guard against each of 59 instances losing calls before it avoids a failed replica."""
    failures = avoided_replica()
    assert failures.is_avoided("r1", 1)
    assert not failures.is_avoided("r2", 1)


@pytest.mark.parametrize(
    ("reporters", "gap_ms"),
    [(["e1"] * 6, 10), (["e1", "e2"] * 3, FAILURE_WINDOW_MS), (["e1", "e2"], 0)],
)
def test_one_instance_or_rare_failures_avoid_nothing(reporters: list[str], gap_ms: int) -> None:
    """Guard against an instance whose own network fails taking a replica out of use for all."""
    failures = FailureReports()
    for number, reporter in enumerate(reporters):
        assert not failures.on_failed("r1", reporter, number * gap_ms)
    assert not failures.is_avoided("r1", len(reporters) * gap_ms)


def test_single_calls_try_an_avoided_replica() -> None:
    """Guard against a recovered replica without calls, or a failed one with all of them."""
    failures = avoided_replica()
    failures.on_sent("r1", FIRST_AVOIDED_MS - 1)
    assert failures.is_avoided("r1", FIRST_AVOIDED_MS - 1)
    assert failures.is_avoided("r1", FIRST_AVOIDED_MS)
    assert not failures.is_avoided("r1", FIRST_AVOIDED_MS + TRIAL_INTERVAL_MS)
    failures.on_sent("r1", FIRST_AVOIDED_MS + TRIAL_INTERVAL_MS)
    assert failures.is_avoided("r1", FIRST_AVOIDED_MS + TRIAL_INTERVAL_MS + 1)
    assert not failures.is_avoided("r1", FIRST_AVOIDED_MS + TRIAL_PERIOD_MS)


def test_each_failed_trial_avoids_it_for_longer() -> None:
    """Guard against trying a failed replica as often as at first."""
    failures = avoided_replica()
    until, now = FIRST_AVOIDED_MS, FIRST_AVOIDED_MS
    for _ in range(6):
        now = until + 1
        assert not failures.is_avoided("r1", now)
        assert failures.on_failed("r1", "entry-9", now)
        avoided_ms = next(
            ms for ms in range(0, 20_000, 10) if not failures.is_avoided("r1", now + ms)
        )
        assert avoided_ms <= MAX_AVOIDED_MS
        until = now + avoided_ms
    assert avoided_ms == MAX_AVOIDED_MS


def test_unlisted_replicas_are_forgotten() -> None:
    """Guard against unbounded memory for replicas that are no longer listed."""
    failures = avoided_replica()
    failures.on_listed(frozenset({"r2"}))
    assert not failures.is_avoided("r1", 1)


@pytest.mark.parametrize(
    ("objective_ms", "floor_ms"), [(300, 165), (0, FLOOR_MS), (50, MIN_PLACED_LIMIT_MS)]
)
def test_placed_call_times_out_while_another_can_be_in_time(
    objective_ms: int, floor_ms: int
) -> None:
    """Guard against a call that is tried elsewhere only when it is late already."""
    times = FirstByteTimes()
    for number in range(50):
        times.observe("lm", 250 if number % 10 == 0 else 30)
    assert times.placed_limit_ms("lm", 5_000, 2, objective_ms) == floor_ms
    assert times.limit_ms("lm", 5_000, 2) == FLOOR_MS
