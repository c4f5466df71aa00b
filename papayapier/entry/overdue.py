"""Bound the time of a caller's request, whatever it waits for.

The parts that a request waits for have time limits of their own, and report more precisely why
they end. This bound is for the sum of them and for a part that does not end in time.
"""

from collections.abc import Awaitable
from typing import Any, Final, TypeVar

from result import Err, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events
from papayapier.clock import Clock
from papayapier.errors import ErrorKind, Refusal, unknown_refusal

T = TypeVar("T")

# How long the parts may take to end by themselves once the time is up.
GRACE_MS: Final = 150


async def finish_by(
    clock: Clock, due_ms: int, request_id: str, running: Awaitable[Result[T, Refusal]]
) -> Result[T, Refusal]:
    """Return the result of a request, or a refusal if it does not end in time.

    Cancelling this cancels the request. A request that is late is cancelled, too; its refusal says
    not_run only if the request itself ends with one that does.
    """
    timers: list[Any] = []
    is_overdue = False
    ended: Deferred[Result[T, Refusal]] = Deferred(lambda _: task.cancel())

    def on_end(outcome: "Result[T, Refusal] | Failure") -> None:
        if not ended.called:
            ended.callback(_overdue_outcome(outcome) if is_overdue else outcome)

    def give_up() -> None:
        nonlocal is_overdue
        is_overdue = True
        events.emit(events.REQUEST_OVERDUE, request=request_id, late_ms=clock.now() - due_ms)
        task.cancel()
        on_end(Failure(CancelledError()))

    def wait_for_parts() -> None:
        timers.append(clock.call_later(GRACE_MS, give_up))

    # Like the timers of the parts, this one does not count a pause of the process.
    timers.append(clock.start_timeout(due_ms - clock.now(), wait_for_parts))
    task = Deferred.fromCoroutine(_as_coroutine(running))
    task.addBoth(on_end)
    try:
        return await ended
    finally:
        for timer in timers:
            if timer.active():
                timer.cancel()


async def _as_coroutine(running: Awaitable[T]) -> T:
    return await running


def _overdue_outcome(outcome: "Result[T, Refusal] | Failure") -> "Result[T, Refusal] | Failure":
    """Return what a request that was cancelled for its lateness ends with."""
    if isinstance(outcome, Failure):
        if not outcome.check(CancelledError):
            return outcome
        return Err(unknown_refusal(ErrorKind.DEADLINE, "the request did not end in time"))
    if isinstance(outcome, Err) and outcome.err_value.kind is ErrorKind.CANCELLED:
        return Err(outcome.err_value._replace(kind=ErrorKind.DEADLINE))
    return outcome
