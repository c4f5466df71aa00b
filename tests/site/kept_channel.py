"""Send whole requests one after the other on a channel that is kept, as a careful caller does."""

from typing import Any, Final, NamedTuple

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone

reactor: Any = installed

CONNECT_TIMEOUT_S: Final = 1
HEAD_END: Final = b"\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"
_LENGTH: Final = b"content-length:"
_CHUNKED: Final = b"transfer-encoding: chunked"


class Answer(NamedTuple):
    """Hold a complete answer; a streamed body is still in chunks."""

    status: int
    head: bytes
    body: bytes


class KeptChannel(Protocol):
    """Hold one channel and the answer that it waits for."""

    def __init__(self) -> None:
        self.received = b""
        self.is_open = False
        self.used_at_s = 0.0
        # Bytes that belong to no request.
        self.unasked = b""
        self._answered: Deferred[Answer | None] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        self.is_open = True
        self.used_at_s = reactor.seconds()

    def write(self, data: bytes) -> None:
        """Send a part of a request."""
        transport: Any = self.transport
        transport.write(data)

    def wait(self, within_s: float) -> "Deferred[Answer | None]":
        """Return a Deferred of the next answer, or of None if the channel ends before it.

        It fails with a TimeoutError if neither comes in time.
        """
        self._answered = Deferred()
        waiting = self._answered.addTimeout(within_s, reactor)
        if not self.is_open:
            self._end(None)
        else:
            self._parse()
        return waiting

    def close(self) -> None:
        """Close the channel."""
        if self.is_open:
            transport: Any = self.transport
            transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.received += data
        self._parse()

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        self.is_open = False
        head, separator, body = self.received.partition(HEAD_END)
        ends_here = separator and not (_LENGTH in head.lower() or _CHUNKED in head.lower())
        self._end(_answer(head, body) if ends_here else None)

    def _parse(self) -> None:
        head, separator, rest = self.received.partition(HEAD_END)
        if self._answered is None:
            self.unasked += self.received
            self.received = b""
        if not separator or self._answered is None:
            return
        lowered = head.lower()
        size = len(rest)
        if _LENGTH in lowered:
            size = int(lowered.partition(_LENGTH)[2].split(b"\r\n")[0])
            if len(rest) < size:
                return
        elif _CHUNKED not in lowered or not (
            rest.endswith(b"\r\n" + LAST_CHUNK) or rest == LAST_CHUNK
        ):
            return
        body, self.received = rest[:size], rest[size:]
        self.used_at_s = reactor.seconds()
        self._end(_answer(head, body))

    def _end(self, answer: Answer | None) -> None:
        answered, self._answered = self._answered, None
        if answered is not None and not answered.called:
            answered.callback(answer)


def _answer(head: bytes, body: bytes) -> Answer:
    return Answer(int(head.split(b" ", 2)[1]), head, body)


async def open_channel(port: int) -> KeptChannel | None:
    """Open a channel to a local port, or return None if that fails."""
    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port, timeout=CONNECT_TIMEOUT_S)
    try:
        channel: KeptChannel = await connectProtocol(endpoint, KeptChannel())
    except Exception:
        return None
    return channel
