"""Write an answer of any length at the pace of its reader.

Without backpressure, a result file of hundreds of megabytes would be read from the store at full
speed and buffered in memory for a slow reader.
"""

from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from papayapier.entry.web import WebRequest


@implementer(IPushProducer)
class _Backpressure:
    """Pause and resume writing as the transport requests."""

    def __init__(self) -> None:
        self.stopped = False
        self._waiting: Deferred[None] | None = None

    def pauseProducing(self) -> None:  # noqa: N802
        if self._waiting is None:
            self._waiting = Deferred()

    def resumeProducing(self) -> None:  # noqa: N802
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        self.stopped = True
        self.resumeProducing()

    async def ready(self) -> None:
        if self._waiting is not None:
            await self._waiting


async def write_all(request: "WebRequest", pieces: AsyncIterator[bytes]) -> bool:
    """Write every piece; return False if the reader disconnected."""
    backpressure = _Backpressure()
    target: Any = request
    target.registerProducer(backpressure, True)
    try:
        async for piece in pieces:
            if piece and not backpressure.stopped:
                request.write(piece)
            await backpressure.ready()
            if backpressure.stopped:
                return False
        return True
    finally:
        if not backpressure.stopped:
            target.unregisterProducer()


def close_incomplete(request: "WebRequest") -> None:
    """Close the connection, so that a truncated answer is not taken for a complete one."""
    target: Any = request
    target.transport.loseConnection()
