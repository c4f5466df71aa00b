"""Test how long an attempt waits for its first byte."""

from papayapier.policy.first_byte import FLOOR_MS, NO_LIMIT, FirstByteTimes


def learnt(*waits: float) -> FirstByteTimes:
    times = FirstByteTimes()
    for waited in waits:
        times.observe("lm", waited)
    return times


def test_attempts_share_the_remaining_time() -> None:
    """Guard against one attempt using up the time of all."""
    times = FirstByteTimes()
    assert times.limit_ms("lm", 9_000, 3) == 3_000
    assert times.limit_ms("lm", 6_000, 2) == 3_000
    assert times.limit_ms("lm", 3_000, 1) == NO_LIMIT


def test_fast_upstream_times_out_at_the_floor() -> None:
    """Guard against long waits for a hung replica of a fast upstream."""
    assert learnt(*[30.0] * 20).limit_ms("lm", 60_000, 3) == FLOOR_MS


def test_slow_upstream_gets_enough_time() -> None:
    """Guard against timeouts of healthy but slow answers."""
    times = learnt(*[4_000.0, 6_000.0] * 20)
    assert 6_000 < times.limit_ms("lm", 60_000, 3) < 20_000


def test_timeouts_raise_the_limit() -> None:
    """Guard against growing load on an upstream that slows down as a whole.

    Every attempt exceeds the learnt limit and is retried elsewhere; if only answers were observed,
    the limit would never rise.
    """
    times = learnt(*[30.0] * 20)
    before = times.limit_ms("lm", 60_000, 3)
    for _ in range(10):
        times.observe("lm", times.limit_ms("lm", 60_000, 3))
    assert times.limit_ms("lm", 60_000, 3) > 2 * before


def test_answers_that_outlast_a_silence_raise_the_limit_little() -> None:
    """Guard against hung replicas that are noticed late after others were silent for a while."""
    times = FirstByteTimes()
    for _ in range(20):
        times.observe("lm", 80)
    before_ms = times.limit_ms("lm", 60_000, 3)
    for _ in range(3):
        times.observe("lm", 3_000, before_ms)
    assert times.limit_ms("lm", 60_000, 3) < 3 * before_ms
