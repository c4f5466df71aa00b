"""Pause an instance that shares its process with others.

A real pause (a suspended virtual machine, a long garbage collection) stops everything. Here
only the instance's timers are suspended, so that its leases lapse and its heartbeats stop
without its knowledge; its connections are still read. On resuming, all timers that became due
run at once, as after a real pause.
"""

from collections.abc import Callable
from typing import Any

from papayapier.clock import Timer, Timers


class PausableTimer:
    """Own one scheduled call, which may become due while its instance is paused."""

    __slots__ = ("_call", "_source", "inner")

    def __init__(self, source: "PausableTimers", call: Callable[[], object]) -> None:
        self._source = source
        self._call: Callable[[], object] | None = call
        self.inner: Timer | None = None

    def cancel(self) -> None:
        """Cancel the call."""
        self._call = None
        if self.inner is not None and self.inner.active():
            self.inner.cancel()

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self._call is not None

    def run_or_defer(self) -> None:
        """Run the call now, or at the end of the pause."""
        if self._source.paused:
            self._source.defer(self)
            return
        call = self._call
        self._call = None
        if call is not None:
            call()


class PausableTimers:
    """Schedule calls on other timers, and defer them while paused; the clock is not paused."""

    def __init__(self, inner: Timers) -> None:
        self._inner = inner
        self._deferred: list[PausableTimer] = []
        self._ended = False
        self.paused = False

    def seconds(self) -> float:
        """Return the time in seconds."""
        return self._inner.seconds()

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:  # noqa: N802
        """Run a call after a delay in seconds, or at the end of the pause."""
        timer = PausableTimer(self, callable)
        timer.inner = self._inner.callLater(delay, timer.run_or_defer)
        return timer

    def defer(self, timer: PausableTimer) -> None:
        """Defer a due call until the end of the pause."""
        self._deferred.append(timer)

    def pause(self) -> None:
        """Defer every call from now on."""
        self.paused = True

    def stop_permanently(self) -> None:
        """Defer every call permanently: the instance is lost, and resume() has no effect."""
        self._ended = True
        self.pause()

    def resume(self) -> None:
        """Run the calls that became due during the pause, in order."""
        if self._ended:
            return
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for timer in deferred:
            timer.run_or_defer()
