"""Send HTTP to a server byte by byte, so that a test can play any kind of caller."""

import json
import socket
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone


class RawClient(Protocol):
    """Own one connection, and record everything received on it."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.closed: Deferred[None] = Deferred()
        self._awaited: list[tuple[bytes, Deferred[None]]] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        for text, waiter in list(self._awaited):
            if text in self.received:
                self._awaited.remove((text, waiter))
                waiter.callback(None)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        self.closed.callback(None)
        self._fail_awaited()

    def _fail_awaited(self) -> None:
        awaited, self._awaited = self._awaited, []
        for text, waiter in awaited:
            waiter.errback(AssertionError(f"closed before {text!r}: {self.received!r}"))

    def write(self, data: bytes) -> None:
        transport: Any = self.transport
        transport.write(data)

    def stop_reading(self) -> None:
        transport: Any = self.transport
        transport.pauseProducing()

    def shrink_receive_buffer(self) -> None:
        """Make the kernel's receive buffer of this connection small."""
        transport: Any = self.transport
        transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)

    def resume_reading(self) -> None:
        transport: Any = self.transport
        transport.resumeProducing()

    def abort(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()

    def until(self, text: bytes) -> Deferred[None]:
        """Return a Deferred that fires when a text has been received."""
        waiter: Deferred[None] = Deferred()
        self._awaited.append((text, waiter))
        self.dataReceived(b"")
        if self.closed.called:
            self._fail_awaited()
        return waiter

    async def until_any(self, *texts: bytes) -> None:
        """Wait until one of the texts has been received, or the connection has closed."""
        ended: Deferred[None] = Deferred()

        def end(_: object) -> None:
            if not ended.called:
                ended.callback(None)

        for text in texts:
            self.until(text).addBoth(end)
        await ended

    def json(self) -> Any:
        """Return the JSON body of the last answer."""
        return json.loads(self.received.rpartition(b"\r\n\r\n")[2])

    def status(self) -> int:
        """Return the status of the first answer."""
        return int(bytes(self.received.split(b" ", 2)[1]))


async def connect(port: int) -> RawClient:
    """Open a connection to a local port."""
    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    client: RawClient = await connectProtocol(endpoint, RawClient())
    return client


def post(path: str, body: bytes, *headers: str) -> bytes:
    """Return a POST request."""
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
