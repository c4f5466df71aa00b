"""Test which replicas get no calls, by what all instances tell of failed ones."""

import pytest

from papayapier.policy.first_byte import FLOOR_MS, MIN_PLACED_LIMIT_MS, FirstByteTimes
from papayapier.policy.shared_blame import (
    FAILURE_WINDOW_MS,
    FIRST_AVOIDED_MS,
    MAX_AVOIDED_MS,
    MIN_FAILURES,
    TRIAL_INTERVAL_MS,
    TRIAL_PERIOD_MS,
    SharedBlame,
)


def blamed(at: int = 0) -> SharedBlame:
    blame = SharedBlame()
    told = [blame.on_failed("r1", f"entry-{n}", at) for n in range(MIN_FAILURES)]
    assert told == [False] * (MIN_FAILURES - 1) + [True]
    return blame


def test_some_failures_from_several_instances_are_enough() -> None:
    # Failure: each of 59 instances loses calls at a dark replica before it leaves it alone.
    blame = blamed()
    assert blame.avoided("r1", 1)
    assert not blame.avoided("r2", 1)


@pytest.mark.parametrize(
    ("tellers", "gap_ms"),
    [(["e1"] * 6, 10), (["e1", "e2"] * 3, FAILURE_WINDOW_MS), (["e1", "e2"], 0)],
)
def test_one_instance_or_a_failure_now_and_then_are_not(tellers: list[str], gap_ms: int) -> None:
    # Failure: an instance whose own network is cut takes a replica out of use for all.
    blame = SharedBlame()
    for number, teller in enumerate(tellers):
        assert not blame.on_failed("r1", teller, number * gap_ms)
    assert not blame.avoided("r1", len(tellers) * gap_ms)


def test_single_calls_try_it_again() -> None:
    # Failure: a replica that is back gets nothing, or one that is not draws all calls at once.
    blame = blamed()
    blame.on_given("r1", FIRST_AVOIDED_MS - 1)
    assert blame.avoided("r1", FIRST_AVOIDED_MS - 1)
    assert blame.avoided("r1", FIRST_AVOIDED_MS)
    assert not blame.avoided("r1", FIRST_AVOIDED_MS + TRIAL_INTERVAL_MS)
    blame.on_given("r1", FIRST_AVOIDED_MS + TRIAL_INTERVAL_MS)
    assert blame.avoided("r1", FIRST_AVOIDED_MS + TRIAL_INTERVAL_MS + 1)
    assert not blame.avoided("r1", FIRST_AVOIDED_MS + TRIAL_PERIOD_MS)


def test_a_failed_trial_is_enough_and_costs_more_time_each() -> None:
    blame = blamed()
    until, now = FIRST_AVOIDED_MS, FIRST_AVOIDED_MS
    for _ in range(6):
        now = until + 1
        assert not blame.avoided("r1", now)
        assert blame.on_failed("r1", "entry-9", now)
        lasts = next(ms for ms in range(0, 20_000, 10) if not blame.avoided("r1", now + ms))
        assert lasts <= MAX_AVOIDED_MS
        until = now + lasts
    assert lasts == MAX_AVOIDED_MS


def test_those_that_are_gone_are_forgotten() -> None:
    blame = blamed()
    blame.on_listed(frozenset({"r2"}))
    assert not blame.avoided("r1", 1)


@pytest.mark.parametrize(
    ("objective_ms", "floor_ms"), [(300, 165), (0, FLOOR_MS), (50, MIN_PLACED_LIMIT_MS)]
)
def test_a_placed_call_is_given_up_while_another_can_be_in_time(
    objective_ms: int, floor_ms: int
) -> None:
    # Failure: a call at a dark replica is tried elsewhere after a second, when it is late.
    times = FirstByteTimes()
    for number in range(50):
        times.observe("lm", 250 if number % 10 == 0 else 30)
    assert times.placed_limit_ms("lm", 5_000, 2, objective_ms) == floor_ms
    assert times.limit_ms("lm", 5_000, 2) == FLOOR_MS
