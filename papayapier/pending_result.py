"""Run a coroutine whose result can be awaited several times, each time with its own timeout."""

from collections.abc import Awaitable
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from papayapier.clock import Clock

T = TypeVar("T")


class PendingResult(Generic[T]):
    """Start an awaitable at once; it continues when nobody waits for it any longer."""

    def __init__(self, clock: Clock, awaitable: Awaitable[T]) -> None:
        self._clock = clock
        # Empty until there is a result, then this one element.
        self._result: list[T | Failure] = []
        self._waiting: list[Deferred[None]] = []
        Deferred.fromCoroutine(_run(awaitable)).addBoth(self._on_result)

    async def wait_at_most(self, wait_ms: float) -> T | None:
        """Return the result, or None if there is none within the given time."""
        if not self._result:
            waiter: Deferred[None] = Deferred()
            self._waiting.append(waiter)
            timer = self._clock.call_later(wait_ms, lambda: self._wake(waiter))
            try:
                await waiter
            finally:
                if timer.active():
                    timer.cancel()
        return self._get_result() if self._result else None

    async def wait(self) -> T:
        """Wait for the result."""
        if not self._result:
            waiter: Deferred[None] = Deferred()
            self._waiting.append(waiter)
            await waiter
        return self._get_result()

    def _get_result(self) -> T:
        result = self._result[0]
        if isinstance(result, Failure):
            result.raiseException()
        return result

    def _on_result(self, result: "T | Failure") -> None:
        self._result.append(result)
        for waiter in list(self._waiting):
            self._wake(waiter)

    def _wake(self, waiter: Deferred[None]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            waiter.callback(None)


async def _run(awaitable: Awaitable[T]) -> T:
    return await awaitable
