"""Track the pending timers of a stand-in, so that closing it leaves none running."""

from collections.abc import Callable

from papayapier.clock import Clock, Timer


class Timers:
    """Run calls later, and cancel all pending ones on request."""

    __slots__ = ("_clock", "_pending")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pending: set[Timer] = set()

    def call_later(self, delay_ms: float, call: Callable[[], object]) -> None:
        """Run a call after a delay, or at once when the delay is not positive."""
        if delay_ms <= 0:
            call()
            return

        def run() -> None:
            self._pending.discard(timer)
            call()

        timer = self._clock.call_later(delay_ms, run)
        self._pending.add(timer)

    def cancel_all(self) -> None:
        """Cancel the pending calls."""
        pending, self._pending = self._pending, set()
        for timer in pending:
            timer.cancel()
