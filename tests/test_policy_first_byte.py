"""Test how long an attempt waits for its first byte."""

from papayapier.policy.first_byte import FLOOR_MS, NO_LIMIT, FirstByteTimes


def learnt(*waits: float) -> FirstByteTimes:
    times = FirstByteTimes()
    for waited in waits:
        times.observe("lm", waited)
    return times


def test_attempts_share_the_time_that_is_left() -> None:
    times = FirstByteTimes()
    assert times.limit_ms("lm", 9_000, 3) == 3_000
    assert times.limit_ms("lm", 6_000, 2) == 3_000
    assert times.limit_ms("lm", 3_000, 1) == NO_LIMIT


def test_quick_upstream_is_given_up_at_the_floor() -> None:
    assert learnt(*[30.0] * 20).limit_ms("lm", 60_000, 3) == FLOOR_MS


def test_slow_upstream_is_given_its_time() -> None:
    times = learnt(*[4_000.0, 6_000.0] * 20)
    assert 6_000 < times.limit_ms("lm", 60_000, 3) < 20_000


def test_waits_in_vain_raise_the_limit() -> None:
    # Symptom: when an upstream slows down as a whole, its load grows until nothing ends.
    # Sequence: every attempt runs into the learnt limit and is repeated elsewhere.
    # Cause: only answers were observed, so the limit stayed where it was.
    times = learnt(*[30.0] * 20)
    before = times.limit_ms("lm", 60_000, 3)
    for _ in range(10):
        times.observe("lm", times.limit_ms("lm", 60_000, 3))
    assert times.limit_ms("lm", 60_000, 3) > 2 * before
