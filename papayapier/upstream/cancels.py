"""Tell replicas to stop requests whose connection was closed.

Closing the connection already says so, but something between the two ends may swallow the
close, and the engine would then go on generating for nobody. When many streams give way at
once these messages must not become a burst of their own, at the very moment when online
requests need the processor; so few are under way per replica and the rest wait.
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
    """Hold the cancels that wait, by replica."""

    def __init__(self, ask: Ask) -> None:
        self._ask = ask
        self._queues: dict[str, _Queue] = {}

    def add(self, replica: Replica, request_id: str) -> None:
        """Send a cancel soon; when too many wait, the oldest is dropped."""
        queue = self._queues.setdefault(replica.id, _Queue())
        queue.waiting.append(request_id)
        if queue.under_way < UNDER_WAY_MAX:
            queue.under_way += 1
            Deferred.fromCoroutine(self._drain(replica, queue)).addErrback(_report, replica)

    def clear(self) -> None:
        """Forget the cancels that wait."""
        for queue in self._queues.values():
            queue.waiting.clear()

    async def send(self, replica: Replica, request_id: str) -> None:
        """Tell the replica to stop a request; nobody learns whether it did."""
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
    """Hold the cancels for one replica."""

    __slots__ = ("under_way", "waiting")

    def __init__(self) -> None:
        self.under_way = 0
        self.waiting: deque[str] = deque(maxlen=WAITING_MAX)


def _report(why: TwistedFailure, replica: Replica) -> None:
    events.emit(events.CANCEL_FAILED, replica=replica.id, reason=why.getErrorMessage())
