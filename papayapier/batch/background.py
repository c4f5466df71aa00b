"""Start coroutines whose result nobody awaits, and log their failures.

If such a coroutine failed silently, a job would stop without any log entry. Here the failure
becomes an event, and the caller's on_failure can schedule the work again.
"""

from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Final, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events

if TYPE_CHECKING:
    from papayapier.clock import Clock, Timer

T = TypeVar("T")

RESTART_DELAY_MS: Final = 1_000


def start(
    coroutine: Coroutine[Deferred[Any], Any, T],
    name: str,
    on_failure: Callable[[], None] | None = None,
) -> Deferred[T | None]:
    """Start a coroutine; the returned Deferred never fails, and cancels the coroutine."""
    deferred: Deferred[T | None] = Deferred.fromCoroutine(coroutine)

    def report(failure: Failure) -> None:
        if isinstance(failure.value, CancelledError):
            return
        events.emit(events.BATCH_BROKEN, work=name, error=failure.getTraceback(detail="brief"))
        if on_failure is not None:
            on_failure()

    deferred.addErrback(report)
    return deferred


class RestartingLoop:
    """Run a coroutine that never returns, and restart it after a failure."""

    def __init__(
        self,
        clock: "Clock",
        make_coroutine: Callable[[], Coroutine[Deferred[Any], Any, None]],
        name: str,
    ) -> None:
        self._clock = clock
        self._make_coroutine = make_coroutine
        self._name = name
        self._running: Deferred[None] | None = None
        self._restart_timer: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """Start the coroutine."""
        self._running = start(self._make_coroutine(), self._name, self._restart_later)

    def _restart_later(self) -> None:
        if not self._stopped:
            self._restart_timer = self._clock.call_later(RESTART_DELAY_MS, self.start)

    def stop(self) -> None:
        """Cancel the coroutine and do not restart it."""
        self._stopped = True
        if self._restart_timer is not None and self._restart_timer.active():
            self._restart_timer.cancel()
        if self._running is not None:
            self._running.cancel()
