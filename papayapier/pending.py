"""Hold work under way whose end may be waited for several times, each time as long as wanted."""

from collections.abc import Awaitable
from typing import Generic, TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from papayapier.clock import Clock

T = TypeVar("T")


class Pending(Generic[T]):
    """Run work at once; it goes on when nobody waits any longer."""

    def __init__(self, clock: Clock, work: Awaitable[T]) -> None:
        self._clock = clock
        self._ended: list[T | Failure] = []
        self._waiting: list[Deferred[None]] = []
        Deferred.fromCoroutine(_run(work)).addBoth(self._on_end)

    async def within(self, wait_ms: float) -> T | None:
        """Return the end, or None if there is none after the time given."""
        if not self._ended:
            waiter: Deferred[None] = Deferred()
            self._waiting.append(waiter)
            timer = self._clock.call_later(wait_ms, lambda: self._wake(waiter))
            try:
                await waiter
            finally:
                if timer.active():
                    timer.cancel()
        return self._end() if self._ended else None

    async def end(self) -> T:
        """Wait for the end."""
        if not self._ended:
            waiter: Deferred[None] = Deferred()
            self._waiting.append(waiter)
            await waiter
        return self._end()

    def _end(self) -> T:
        ended = self._ended[0]
        if isinstance(ended, Failure):
            ended.raiseException()
        return ended

    def _on_end(self, ended: "T | Failure") -> None:
        self._ended.append(ended)
        for waiter in list(self._waiting):
            self._wake(waiter)

    def _wake(self, waiter: Deferred[None]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            waiter.callback(None)


async def _run(work: Awaitable[T]) -> T:
    return await work
