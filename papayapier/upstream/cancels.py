"""Send cancel requests to replicas for requests whose connection was closed.

Closing the connection already signals the cancellation, but a middlebox may drop the close, and
the engine would continue to generate for nobody. When many batch streams are preempted at once,
a burst of cancel requests would take processor time just when online requests need it. So only
a few are in flight per replica and the others are queued.
"""

from collections import deque
from typing import Final

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from papayapier import events
from papayapier.upstream.api import Replica
from papayapier.upstream.control import Ask, Question

UNDER_WAY_MAX: Final = 2
WAITING_MAX: Final = 256


class Cancels:
    """Queue cancel requests per replica and send them with bounded concurrency."""

    def __init__(self, ask: Ask) -> None:
        self._ask = ask
        self._queues: dict[str, _Queue] = {}

    def add(self, replica: Replica, request_id: str) -> None:
        """Queue a cancel request; the oldest queued one is dropped when the queue is full."""
        queue = self._queues.setdefault(replica.id, _Queue())
        queue.waiting.append(request_id)
        if queue.under_way < UNDER_WAY_MAX:
            queue.under_way += 1
            Deferred.fromCoroutine(self._drain(replica, queue)).addErrback(_report, replica)

    def clear(self) -> None:
        """Drop all queued cancel requests."""
        for queue in self._queues.values():
            queue.waiting.clear()

    async def send(self, replica: Replica, request_id: str) -> None:
        """Send a cancel request to the replica and ignore its answer."""
        body = msgspec.json.encode({"request_id": request_id})
        await self._ask(replica, Question("POST", "/cancel", body))

    async def _drain(self, replica: Replica, queue: "_Queue") -> None:
        try:
            while queue.waiting:
                await self.send(replica, queue.waiting.popleft())
        finally:
            queue.under_way -= 1
            if not queue.under_way:
                self._queues.pop(replica.id, None)


class _Queue:
    """Hold the cancel requests of one replica: those queued and the number in flight."""

    __slots__ = ("under_way", "waiting")

    def __init__(self) -> None:
        self.under_way = 0
        self.waiting: deque[str] = deque(maxlen=WAITING_MAX)


def _report(why: TwistedFailure, replica: Replica) -> None:
    events.emit(events.CANCEL_FAILED, replica=replica.id, reason=why.getErrorMessage())
