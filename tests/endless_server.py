"""Serve answers that never end, as fast as the client reads, until it closes the connection."""

from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from zope.interface import implementer

reactor: Any = installed

PIECE_BYTES: Final = 65_536


@implementer(IPullProducer)
class EndlessConnection(Protocol):
    """Answer the first request with begin, and then with piece again and again."""

    def __init__(self, server: "EndlessServer") -> None:
        self._server = server
        self._received = b""
        self._begun_s: float | None = None
        self._timer: Any = None
        self.written_bytes = 0
        self.open_s = 0.0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        if self._begun_s is None and b"\r\n\r\n" in self._received:
            self._begun_s = reactor.seconds()
            head = self._received.decode("latin-1")
            lines = [line.partition(": ") for line in head.split("\r\n")]
            names = {name.lower(): value for name, _, value in lines}
            transport: Any = self.transport
            transport.write(self._server.begin(names.get("x-request-id", "")))
            transport.registerProducer(self, streaming=False)

    def resumeProducing(self) -> None:  # noqa: N802
        if self._server.pause_s:
            self._timer = reactor.callLater(self._server.pause_s, self._write)
        else:
            self._write()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; connectionLost follows."""

    def _write(self) -> None:
        transport: Any = self.transport
        if transport.connected:
            transport.write(self._server.piece)
            self.written_bytes += len(self._server.piece)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        self._server.open.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._begun_s is not None:
            self.open_s = reactor.seconds() - self._begun_s


class EndlessServer(Factory[Any]):
    """Record the connections; without pause_s pieces are written as fast as they are read."""

    def __init__(self) -> None:
        self.head = b""
        self.piece = b""
        self.pause_s = 0.0
        self.connections: list[EndlessConnection] = []
        self.open: set[EndlessConnection] = set()

    def play(self, head: bytes, piece: bytes, pause_s: float = 0.0) -> None:
        """Set the beginning of each answer, and what is repeated after it."""
        self.head, self.pause_s = head, pause_s
        self.piece = piece if pause_s else piece * max(1, PIECE_BYTES // len(piece))

    def begin(self, request_id: str) -> bytes:
        """Return the beginning of the answer to a request."""
        return self.head.replace(b"REQUEST", request_id.encode())

    def buildProtocol(self, addr: object) -> EndlessConnection:  # noqa: N802
        conn = EndlessConnection(self)
        self.connections.append(conn)
        self.open.add(conn)
        return conn

    def close(self) -> None:
        """Abort all connections."""
        for conn in list(self.open):
            transport: Any = conn.transport
            transport.abortConnection()


STATUS: Final = b"HTTP/1.1 200 OK\r\n"
NAMED: Final = STATUS + b"X-Request-Id: REQUEST\r\nX-Server-Stamp: s\r\n"
CHUNKED: Final = NAMED + b"Transfer-Encoding: chunked\r\n"
REJECTED: Final = b"HTTP/1.1 503 Busy\r\nX-Request-Id: REQUEST\r\nX-Not-Executed: 1\r\n"
EVENTS: Final = b"Content-Type: text/event-stream\r\n"

# The beginning of an answer, and what follows without end.
ANSWERS: Final[dict[str, tuple[bytes, bytes]]] = {
    "header lines": (STATUS, b"X-Note: " + b"n" * 210 + b"\r\n"),
    "short header lines": (STATUS, b"a:\r\n"),
    "one header line": (STATUS + b"X-Note: ", b"n"),
    "a folded header line": (STATUS + b"X-Note: n\r\n", b" n\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim answers with headers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "a status line": (b"HTTP/1.1 200 ", b"O"),
    "no protocol": (b"", b"\x00\xff no protocol"),
    "blank lines": (b"", b"\r\n"),
    "a body without length": (NAMED + b"\r\n", b"body"),
    "a body longer than its length": (NAMED + b"Content-Length: 4\r\n\r\n", b"body"),
    "chunks": (CHUNKED + b"\r\n", b"4\r\nbody\r\n"),
    "a chunk's length": (CHUNKED + b"\r\n", b"0"),
    "a chunk's extension": (CHUNKED + b"\r\n4;", b"x"),
    "trailers": (CHUNKED + b"\r\n4\r\nbody\r\n0\r\n", b"X-Note: n\r\n"),
    "a rejection": (REJECTED + b"\r\n", b"busy"),
    "one event": (CHUNKED + EVENTS + b"\r\n", b"1\r\nx\r\n"),
}

# The beginning of a successful answer, and a piece that no reader of it can use.
TRICKLES: Final[dict[str, tuple[bytes, bytes]]] = {
    "a body": (NAMED + b"Content-Length: 1000000\r\n\r\n", b"x"),
    "an event": (CHUNKED + EVENTS + b"\r\n", b"1\r\nx\r\n"),
    "blank lines": (CHUNKED + EVENTS + b"\r\n", b"2\r\n\n\n\r\n"),
    "comments": (CHUNKED + EVENTS + b"\r\n", b"3\r\n:\n\n\r\n"),
}
