"""Test timeouts in a process that runs without a break, and in one that was paused."""

from papayapier.clock import FakeClock, fake_clock


def start_timeout(delay_ms: int) -> tuple[FakeClock, list[int]]:
    """Start a timeout; return the clock and the list of times at which it fired."""
    fake = fake_clock()
    fired: list[int] = []
    fake.clock.start_timeout(delay_ms, lambda: fired.append(fake.clock.now()))
    return fake, fired


def test_timeout_fires_at_its_time() -> None:
    """Guard against a timeout that fires early, or is extended without a pause."""
    fake, fired = start_timeout(400)
    fake.run_for(399)
    assert fired == []
    fake.run_for(1)
    assert fired == [400]


def test_pause_of_the_process_does_not_count_as_timeout() -> None:
    """Guard against a store that is considered down although its answer has arrived.

    After a pause of the process beyond the timeout of a call, the reactor runs timers before it
    reads sockets.
    """
    fake, fired = start_timeout(400)
    fake.jump(600)
    assert fired == []
    fake.run_for(199)
    assert fired == []
    fake.run_for(1)
    assert fired == [800]


def test_long_pause_at_most_doubles_a_timeout() -> None:
    """Guard against a timeout that a long pause extends by more than its own length."""
    fake, fired = start_timeout(400)
    fake.jump(60_000)
    fake.run_for(400)
    assert fired == [60_400]
    fake.jump(60_000)
    assert fired == [60_400]


def test_timeout_extended_by_a_pause_can_be_cancelled() -> None:
    """Guard against a cancelled timeout that fires because a pause has restarted its timer."""
    fake = fake_clock()
    fired: list[int] = []
    timer = fake.clock.start_timeout(400, lambda: fired.append(1))
    fake.jump(600)
    assert timer.active()
    timer.cancel()
    fake.run_for(1_000)
    assert fired == []
    assert not timer.active()
