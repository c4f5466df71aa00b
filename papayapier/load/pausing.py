"""Pause an instance that shares its process with others.

A real pause (a stopped virtual machine, a long collection of garbage) holds up everything;
here only the instance's timers are held, so that its leases lapse and its heartbeats stop
while it is unaware. Its connections go on being read. On resuming, all that was due runs at
once, as after a real pause.
"""

from collections.abc import Callable
from typing import Any

from papayapier.clock import Timer, Timers


class HeldTimer:
    """Own one call, which may be due while its instance is paused."""

    __slots__ = ("_call", "_source", "inner")

    def __init__(self, source: "PausableTimers", call: Callable[[], object]) -> None:
        self._source = source
        self._call: Callable[[], object] | None = call
        self.inner: Timer | None = None

    def cancel(self) -> None:
        """Forget the call."""
        self._call = None
        if self.inner is not None and self.inner.active():
            self.inner.cancel()

    def active(self) -> bool:
        """Tell whether the call is still to come."""
        return self._call is not None

    def due(self) -> None:
        """Run the call now, or as soon as the pause is over."""
        if self._source.paused:
            self._source.hold(self)
            return
        call = self._call
        self._call = None
        if call is not None:
            call()


class PausableTimers:
    """Pass timers through, except while paused; time itself goes on."""

    def __init__(self, inner: Timers) -> None:
        self._inner = inner
        self._held: list[HeldTimer] = []
        self._ended = False
        self.paused = False

    def seconds(self) -> float:
        """Return the reading in seconds."""
        return self._inner.seconds()

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:  # noqa: N802
        """Run a call after a delay in seconds, or at the end of the pause."""
        timer = HeldTimer(self, callable)
        timer.inner = self._inner.callLater(delay, timer.due)
        return timer

    def hold(self, timer: HeldTimer) -> None:
        """Keep a call that is due until the pause is over."""
        self._held.append(timer)

    def pause(self) -> None:
        """Hold every call from now on."""
        self.paused = True

    def end(self) -> None:
        """Hold every call for good: the instance is lost, and no resume() wakes it up."""
        self._ended = True
        self.pause()

    def resume(self) -> None:
        """Run what has become due meanwhile, in its order."""
        if self._ended:
            return
        self.paused = False
        held, self._held = self._held, []
        for timer in held:
            timer.due()
