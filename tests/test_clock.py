"""Test how time passes for a process that runs, and for one that was kept from running."""

from papayapier.clock import FakeClock, fake_clock


def begin(delay_ms: int) -> tuple[FakeClock, list[int]]:
    fake = fake_clock()
    fired: list[int] = []
    fake.clock.timeout(delay_ms, lambda: fired.append(fake.clock.now()))
    return fake, fired


def test_a_timeout_ends_at_its_time() -> None:
    fake, fired = begin(400)
    fake.elapse(399)
    assert fired == []
    fake.elapse(1)
    assert fired == [400]


def test_a_pause_of_the_process_is_no_silence() -> None:
    # Symptom: the store counts as down though its answer has come.
    # Events: the process is kept from its sockets past a call's time. Cause: timers go first.
    fake, fired = begin(400)
    fake.advance(600)
    assert fired == []
    fake.elapse(199)
    assert fired == []
    fake.elapse(1)
    assert fired == [800]


def test_a_long_pause_costs_a_timeout_once_more_at_most() -> None:
    fake, fired = begin(400)
    fake.advance(60_000)
    fake.elapse(400)
    assert fired == [60_400]
    fake.advance(60_000)
    assert fired == [60_400]


def test_a_cancelled_timeout_is_quiet_also_after_a_pause() -> None:
    fake = fake_clock()
    fired: list[int] = []
    timer = fake.clock.timeout(400, lambda: fired.append(1))
    fake.advance(600)
    assert timer.active()
    timer.cancel()
    fake.elapse(1_000)
    assert fired == []
    assert not timer.active()
