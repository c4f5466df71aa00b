"""Read and wait for time in whole milliseconds.

All code that depends on time takes a Clock, so that tests drive it with Twisted's task.Clock
and never wait in real time. There are two readings: now() is monotonic and the only one for
leases and timeouts; wall() may jump and is only for due times that callers state and for log
lines.
"""

import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple, NewType, Protocol, cast

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as TaskClock

Millis = NewType("Millis", int)

MS_PER_S: Final = 1000
TIMER_ROUNDING_S: Final = 1e-9
# Timers of a process that is not paused fire within a few milliseconds of their time.
MAX_TIMER_DELAY_MS: Final = 20


class Timer(Protocol):
    """Describe a scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""

    def active(self) -> bool:
        """Return whether the call is still scheduled."""


class Timers(Protocol):
    """Describe the part of a Twisted reactor that a Clock needs."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:  # noqa: N802
        """Run a call after a delay in seconds."""


class Clock(NamedTuple):
    """Combine the timers, their monotonic time and the wall time."""

    timers: Timers
    wall_source: Callable[[], float]

    def now(self) -> Millis:
        """Return monotonic milliseconds."""
        return Millis(int(self.timers.seconds() * MS_PER_S))

    def wall(self) -> Millis:
        """Return milliseconds since the epoch."""
        return Millis(int(self.wall_source() * MS_PER_S))

    def call_later(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Run a call after a delay in milliseconds."""
        timer: Timer = self.timers.callLater(max(0.0, delay_ms) / MS_PER_S, call)
        return timer

    def start_timeout(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Run a call when a timeout in milliseconds expires.

        Time in which this process was paused does not count: data that arrived meanwhile has
        not been read yet, because the reactor runs timers before it reads sockets.
        """
        return _Timeout(self, delay_ms, call)

    def sleep(self, delay_ms: float) -> Deferred[None]:
        """Return a Deferred that fires after a delay in milliseconds."""
        done: Deferred[None] = Deferred(lambda _: timer.cancel())
        timer = self.call_later(delay_ms, lambda: done.callback(None))
        return done


class _Timeout:
    """Extend a late timer once by its delay, but by no more than the timeout."""

    __slots__ = ("_call", "_clock", "_delay_ms", "_due_ms", "_timer")

    def __init__(self, clock: Clock, delay_ms: float, call: Callable[[], object]) -> None:
        self._clock = clock
        self._delay_ms = max(0.0, delay_ms)
        self._due_ms = clock.now() + self._delay_ms
        self._call = call
        self._timer = clock.call_later(delay_ms, self._on_due)

    def cancel(self) -> None:
        self._timer.cancel()

    def active(self) -> bool:
        return self._timer.active()

    def _on_due(self) -> None:
        late_ms = self._clock.now() - self._due_ms
        if late_ms < MAX_TIMER_DELAY_MS:
            self._call()
            return
        self._timer = self._clock.call_later(min(late_ms, self._delay_ms), self._call)


class FakeClock(NamedTuple):
    """Combine a Clock with the timer source that a test advances."""

    clock: Clock
    source: TaskClock

    def jump(self, delay_ms: float) -> None:
        """Advance time by milliseconds in one step, as after a pause of the process."""
        self.source.advance(delay_ms / MS_PER_S)

    def run_for(self, delay_ms: float) -> None:
        """Advance time by milliseconds, and run each timer at its own time."""
        end = self.source.seconds() + delay_ms / MS_PER_S
        while self.source.calls and self.source.calls[0].getTime() <= end + TIMER_ROUNDING_S:
            self.source.rightNow = max(self.source.rightNow, self.source.calls[0].getTime())
            self.source.advance(0)
        self.source.rightNow = end
        self.source.advance(0)


def real_clock() -> Clock:
    """Return the clock of a running process."""
    from twisted.internet import reactor

    return Clock(_MonotonicTimers(cast(Timers, reactor)), time.time)


class _MonotonicTimers:
    """Schedule on the reactor, but read the monotonic clock.

    The reactor's own seconds() is the wall clock. If an administrator or NTP set it back, a
    lease would seem to expire later than it does, and two holders would run the same work.
    """

    def __init__(self, reactor: Timers) -> None:
        self._reactor = reactor

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:  # noqa: N802
        return self._reactor.callLater(delay, callable)

    def seconds(self) -> float:
        return time.monotonic()


def fake_clock(wall_ms: int = 1_700_000_000_000) -> FakeClock:
    """Return a clock that advances only when a test says so."""
    source = TaskClock()
    return FakeClock(Clock(source, lambda: wall_ms / MS_PER_S + source.seconds()), source)
