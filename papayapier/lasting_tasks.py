"""Keep tasks and handlers going that must last as long as the process.

Following the store, heartbeats, expiry and rounds serve every caller. An error that nobody expected
must cost them one step, not end them: such a task is started again after a pause, and a handler
that raises an error does not keep the others from being called. Each error is counted and logged.
"""

from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events
from papayapier.clock import Clock
from papayapier.invariants import InvariantViolationError

# Bounds the rate at which a task fails, and how long its work rests.
RESTART_PAUSE_MS: Final = 500

# Errors by task or handler, in this process.
FAILURES: Final[Counter[str]] = Counter()


def failure_count() -> int:
    """Return how many errors have ended a task or a handler of this process."""
    return FAILURES.total()


def run_always(
    clock: Clock, task: str, make_coroutine: Callable[[], Coroutine[Deferred[Any], Any, None]]
) -> Deferred[None]:
    """Run a coroutine until it returns; start another one after each error.

    Cancelling the returned Deferred ends it. A cancellation from elsewhere counts as an error.
    """
    runs = _Runs(clock, task, make_coroutine)
    runs.start()
    return runs.done


def call_guarded(handler: str, call: Callable[..., object], *args: Any) -> bool:
    """Call a handler; return False, and log the error, if it raises one.

    A violated invariant, which raises in test runs only, is passed on.
    """
    try:
        call(*args)
    except InvariantViolationError:
        raise
    except Exception:
        _report(handler, Failure())
        return False
    return True


def _report(task: str, failure: Failure) -> None:
    FAILURES[task] += 1
    events.emit(
        events.TASK_FAILED,
        task=task,
        reason=repr(failure.value),
        failures=FAILURES[task],
        traceback=failure.getTraceback(),
    )


class _Runs:
    """Hold the run of a task that is in progress, or the pause before the next one."""

    def __init__(
        self,
        clock: Clock,
        task: str,
        make_coroutine: Callable[[], Coroutine[Deferred[Any], Any, None]],
    ) -> None:
        self._clock = clock
        self._task = task
        self._make_coroutine = make_coroutine
        self._running: Deferred[None] | None = None
        self._stopped = False
        self.done: Deferred[None] = Deferred(self._stop)

    def start(self) -> None:
        self._running = Deferred.fromCoroutine(self._make_coroutine())
        self._running.addCallbacks(self._on_returned, self._on_failed)

    def _on_returned(self, _: None) -> None:
        if not self._stopped:
            self.done.callback(None)

    def _on_failed(self, failure: Failure) -> None:
        if self._stopped and failure.check(CancelledError):
            return
        _report(self._task, failure)
        if not self._stopped:
            self._running = self._clock.sleep(RESTART_PAUSE_MS)
            self._running.addCallbacks(lambda _: self.start(), lambda _: None)

    def _stop(self, done: Deferred[None]) -> None:
        self._stopped = True
        if self._running is not None:
            self._running.cancel()
        done.callback(None)
