"""Delay the traffic between a stand-in and its callers, as a network link does.

On one machine a connection has a delay of microseconds, while the callers of a real upstream
are about a millisecond away. Traffic is delivered in the order in which it was sent. All
traffic of one reactor tick forms a batch, whose delay starts at the end of the tick: nothing
arrives early, and an engine step takes two timers however many tokens it generates.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

from papayapier import events
from papayapier.clock import Clock

T = TypeVar("T")


class Link:
    """Run calls after a fixed delay, in order; with a delay of 0, run them at once."""

    __slots__ = ("_batches", "_clock", "_tick_batch", "delay_ms")

    def __init__(self, clock: Clock, delay_ms: float) -> None:
        self.delay_ms = delay_ms
        self._clock = clock
        self._tick_batch: list[tuple[Callable[[Any], None], Any]] = []
        self._batches: deque[list[tuple[Callable[[Any], None], Any]]] = deque()

    def deliver(self, call: Callable[[T], None], value: T) -> None:
        """Run a call on a value after the delay."""
        if self.delay_ms == 0:
            call(value)
            return
        if not self._tick_batch:
            self._clock.call_later(0, self._end_tick)
        self._tick_batch.append((call, value))

    def _end_tick(self) -> None:
        self._batches.append(self._tick_batch)
        self._tick_batch = []
        self._clock.call_later(self.delay_ms, self._deliver_batch)

    def _deliver_batch(self) -> None:
        for call, value in self._batches.popleft():
            # Otherwise one failing connection would lose the other connections' data of the batch.
            try:
                call(value)
            except Exception as exc:
                events.emit(events.STANDIN_FAILED, reason=repr(exc))
