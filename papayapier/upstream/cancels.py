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
from papayapier.upstream.control import ControlRequest, SendControl

MAX_IN_FLIGHT: Final = 2
MAX_QUEUED: Final = 256


class CancelQueue:
    """Queue cancel requests per replica and send them with bounded concurrency."""

    def __init__(self, send_control: SendControl) -> None:
        self._send_control = send_control
        self._queues: dict[str, _Queue] = {}

    def add(self, replica: Replica, request_id: str) -> None:
        """Queue a cancel request; the oldest queued one is dropped when the queue is full."""
        queue = self._queues.setdefault(replica.id, _Queue())
        queue.queued.append(request_id)
        if queue.in_flight < MAX_IN_FLIGHT:
            queue.in_flight += 1
            Deferred.fromCoroutine(self._drain(replica, queue)).addErrback(_log_failure, replica)

    def clear(self) -> None:
        """Drop all queued cancel requests."""
        for queue in self._queues.values():
            queue.queued.clear()

    async def send(self, replica: Replica, request_id: str) -> None:
        """Send a cancel request to the replica and ignore its answer."""
        body = msgspec.json.encode({"request_id": request_id})
        await self._send_control(replica, ControlRequest("POST", "/cancel", body))

    async def _drain(self, replica: Replica, queue: "_Queue") -> None:
        try:
            while queue.queued:
                await self.send(replica, queue.queued.popleft())
        finally:
            queue.in_flight -= 1
            if not queue.in_flight:
                self._queues.pop(replica.id, None)


class _Queue:
    """Hold the cancel requests of one replica: those queued and the number in flight."""

    __slots__ = ("in_flight", "queued")

    def __init__(self) -> None:
        self.in_flight = 0
        self.queued: deque[str] = deque(maxlen=MAX_QUEUED)


def _log_failure(failure: TwistedFailure, replica: Replica) -> None:
    events.emit(events.CANCEL_FAILED, replica=replica.id, reason=failure.getErrorMessage())
