"""Start coroutines whose result nobody awaits, without losing their failures.

A coroutine that dies unseen leaves a job standing still with nothing in the log. Here its
failure becomes an event, and the caller's on_failure puts the work back.
"""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events

T = TypeVar("T")


def start(
    work: Coroutine[Deferred[Any], Any, T], name: str, on_failure: Callable[[], None] | None = None
) -> Deferred[T | None]:
    """Start a coroutine; the Deferred returned never fails, and cancels the coroutine."""
    done: Deferred[T | None] = Deferred.fromCoroutine(work)

    def report(failure: Failure) -> None:
        if isinstance(failure.value, CancelledError):
            return
        events.emit(events.BATCH_BROKEN, work=name, error=failure.getTraceback(detail="brief"))
        if on_failure is not None:
            on_failure()

    done.addErrback(report)
    return done
