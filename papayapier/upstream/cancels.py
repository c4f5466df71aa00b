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
        self._waiting: dict[str, deque[str]] = {}
        self._under_way: dict[str, int] = {}

    def add(self, replica: Replica, request_id: str) -> None:
        """Send a cancel soon; when too many wait, the oldest is dropped."""
        waiting = self._waiting.setdefault(replica.id, deque(maxlen=WAITING_MAX))
        waiting.append(request_id)
        if self._under_way.get(replica.id, 0) < UNDER_WAY_MAX:
            self._under_way[replica.id] = self._under_way.get(replica.id, 0) + 1
            Deferred.fromCoroutine(self._drain(replica, waiting)).addErrback(_report, replica)

    def clear(self) -> None:
        """Forget the cancels that wait."""
        for waiting in self._waiting.values():
            waiting.clear()

    async def send(self, replica: Replica, request_id: str) -> None:
        """Tell the replica to stop a request; nobody learns whether it did."""
        body = msgspec.json.encode({"request_id": request_id})
        await self._ask(replica, Question("POST", "/cancel", body))

    async def _drain(self, replica: Replica, waiting: deque[str]) -> None:
        try:
            while waiting:
                await self.send(replica, waiting.popleft())
        finally:
            self._under_way[replica.id] -= 1


def _report(why: TwistedFailure, replica: Replica) -> None:
    events.emit(events.CANCEL_FAILED, replica=replica.id, reason=why.getErrorMessage())
