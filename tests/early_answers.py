"""Serve answers that begin before their requests have arrived, and end as a test demands."""

import re
import socket
from enum import Enum
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.protocol import Factory, Protocol

from tests.broken_answers import make_answer, request_id

reactor: Any = installed

# How much of a request is read before its answer begins, at least.
READ_BYTES: Final = 2_000
RECEIVE_BUFFER_BYTES: Final = 8_192
END_AFTER_S: Final = 0.1
_LENGTH: Final = re.compile(rb"^content-length: *(\d+)", re.IGNORECASE | re.MULTILINE)


class End(Enum):
    """List what happens to a connection after an answer: it is reset, closed in order, or kept."""

    RESET = "reset"
    CLOSE = "close"
    KEEP = "keep"


class EarlyConnection(Protocol):
    """Answer each request once a part of it is here; read the rest if the connection is kept."""

    def __init__(self, server: "EarlyServer") -> None:
        self._server = server
        self._received = bytearray()
        # The sizes of the current request's head and of all of it, once it has been answered.
        self._head_bytes = 0
        self._whole_bytes = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        if not self._whole_bytes:
            self._answer()
        elif self._server.end is End.KEEP:
            self._read_on()

    def _answer(self) -> None:
        head, end, _ = bytes(self._received[:READ_BYTES]).partition(b"\r\n\r\n")
        found = _LENGTH.search(head)
        length = int(found[1]) if found else 0
        whole_bytes = len(head) + len(end) + length
        if not end or len(self._received) < min(READ_BYTES, whole_bytes):
            return
        self._head_bytes, self._whole_bytes = len(head) + len(end), whole_bytes
        self._server.answered += 1
        transport: Any = self.transport
        transport.write(self._server.answer.replace(b"REQUEST", request_id(head)))
        transport.pauseProducing()
        reactor.callLater(END_AFTER_S, self._end)

    def _read_on(self) -> None:
        """Record a request once all of it has arrived, and wait for the next one."""
        if len(self._received) < self._whole_bytes:
            return
        body = bytes(self._received[self._head_bytes : self._whole_bytes])
        self._server.bodies.append(body)
        del self._received[: self._whole_bytes]
        self._whole_bytes = 0
        if self._received:
            self._answer()

    def _end(self) -> None:
        transport: Any = self.transport
        if not transport.connected:
            return
        if self._server.end is End.RESET:
            transport.abortConnection()
            return
        if self._server.end is End.CLOSE:
            # The kernel resets a connection that is closed with unread bytes. One whose bytes are
            # still on the way is closed in order.
            transport.getHandle().shutdown(socket.SHUT_WR)
        transport.resumeProducing()
        if self._server.end is End.KEEP:
            self._read_on()


class EarlyServer(Factory[Any]):
    """Hold what is answered and how, and the bodies that arrived whole on kept connections."""

    def __init__(self) -> None:
        self.answer = b""
        self.end = End.KEEP
        self.answered = 0
        self.bodies: list[bytes] = []

    def play(self, answer: bytes, end: End) -> None:
        """Set how each request is answered."""
        self.answer, self.end = answer, end

    def listen(self) -> Any:
        """Listen on a port of its own, with a buffer that holds little of a request."""
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            sock.setblocking(False)
            return reactor.adoptStreamPort(sock.fileno(), socket.AF_INET, self)

    def buildProtocol(self, addr: object) -> EarlyConnection:  # noqa: N802
        return EarlyConnection(self)


BODY: Final = b"part of"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n"
# Answers that are not complete when their connection ends during the upload.
PARTS: Final = {
    "no length": make_answer(BODY, framed=False),
    "no length, HTTP/1.0": make_answer(BODY, b"HTTP/1.0 200 OK", framed=False),
    "no length, a failure": make_answer(BODY, b"HTTP/1.1 500 Failed", framed=False),
    "no length, events": make_answer(b"id: 1\ndata: 1\n\n", framed=False),
    "chunks": make_answer(b"7\r\npart of\r\n", fields=CHUNKED, framed=False),
    "a length too long": make_answer(BODY, fields=b"Content-Length: 99\r\n", framed=False),
}
