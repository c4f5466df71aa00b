"""Guard the heads of HTTP answers: bound and check each, with all interim answers before it.

Every connection on which answers are read is passed to guard_head, whatever reads them.

Twisted bounds each line of a head, but not their number: a server that sends header lines without
end makes its client keep them all, and one that sends interim answers without end makes its client
parse them for as long as it waits. It also accepts heads that the protocol does not allow.
"""

from typing import Any, Final, NamedTuple, cast

from twisted.internet.defer import Deferred
from twisted.web._newclient import HTTPClientParser
from twisted.web.client import HTTPConnectionPool
from twisted.web.http import _MalformedChunkedDataError as MalformedChunksError

from papayapier.head_syntax import (
    InvalidHeadError,
    check_field_line,
    check_field_value,
    check_framing,
    check_status_line,
)

# Twisted has no type annotations here.
_Parser: Any = HTTPClientParser

# Per answer, with the interim answers before it.
MAX_HEAD_BYTES: Final = 16_384
# Twisted's text of an error may quote a whole line.
MAX_CHUNK_ERROR_CHARS: Final = 64
# Twisted's names of the states in which a parser reads a head.
HEADER_STATE: Final = "HEADER"
HEAD_STATES: Final = ("STATUS", HEADER_STATE)


def guard_head(protocol: Any) -> Any:
    """Close a client connection at a head that is too long or not allowed; return the connection.

    Its attribute head_too_long says whether a head was too long. A head that is not allowed fails
    the request with InvalidHeadError. The attribute answer_bytes says how many bytes of the current
    answer were received, with the head and the framing of the body.
    """
    guard = _HeadGuard(protocol)
    protocol.head_too_long = False
    protocol.answer_bytes = 0
    protocol.dataReceived = guard.on_data
    return protocol


def close_at_once(protocol: Any) -> None:
    """Close a client connection; nothing more is read from it or written to it."""
    # abort() alone first sends what is still buffered. abortConnection() alone leaves the
    # protocol in the idle state until the next reactor iteration, and a pool that already
    # contains it would assign it to the next call.
    protocol.abort()
    protocol.transport.abortConnection()


class InvalidAnswer(NamedTuple):
    """Say how an answer breaks the protocol; what is quoted of the answer is for logs only."""

    reason: str
    quoted: str

    def log_text(self) -> str:
        """Return the text for logs."""
        return f"{self.reason}: {self.quoted}" if self.quoted else self.reason


def find_invalid_answer(exc: BaseException) -> InvalidAnswer | None:
    """Return how an answer breaks the protocol, or None if it doesn't.

    exc is what the request has failed with, which wraps the error.
    """
    if isinstance(exc, InvalidHeadError):
        return InvalidAnswer(str(exc), exc.quoted)
    if isinstance(exc, MalformedChunksError):
        return InvalidAnswer("invalid chunks", str(exc)[:MAX_CHUNK_ERROR_CHARS])
    reasons = getattr(exc, "reasons", None)
    return find_invalid_answer(reasons[0].value) if reasons else None


class GuardedPool(HTTPConnectionPool):
    """Guard the heads of the answers on all connections of a pool."""

    def _newConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:  # noqa: N802
        connected: Deferred[Any] = cast(Any, super())._newConnection(key, endpoint)
        return connected.addCallback(guard_head)


class _HeadGuard:
    """Count the bytes of the current answer's head, and have its parser check it."""

    __slots__ = ("_left", "_parser", "_protocol", "_receive")

    def __init__(self, protocol: Any) -> None:
        self._protocol = protocol
        self._receive = protocol.dataReceived
        # The parser of the current answer; each answer has another.
        self._parser: Any = None
        self._left = 0

    def on_data(self, data: bytes) -> None:
        """Pass on received bytes, of a head only as many as it may have."""
        while data and not self._protocol.head_too_long:
            parser = self._protocol._parser
            if parser is not self._parser:
                self._parser = parser
                _check_lines(parser)
                self._left = MAX_HEAD_BYTES
                self._protocol.answer_bytes = 0
            if not _is_in_head(parser):
                self._protocol.answer_bytes += len(data)
                self._receive(data)
                return
            part, data = data[: self._left], data[self._left :]
            self._left -= len(part)
            self._protocol.answer_bytes += len(part)
            self._receive(part)
            if not self._left and self._protocol._parser is parser and _is_in_head(parser):
                self._protocol.head_too_long = True
                close_at_once(self._protocol)


class _CheckingParser(_Parser):  # type: ignore[misc]
    """Check the lines of a head before they are parsed."""

    def statusReceived(self, status: bytes) -> None:  # noqa: N802
        check_status_line(status)
        super().statusReceived(status)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        if self.state == HEADER_STATE:
            check_field_line(line.removesuffix(b"\r"), self._partialHeader is None)
        super().lineReceived(line)

    def headerReceived(self, name: bytes, value: bytes) -> None:  # noqa: N802
        check_field_value(name, value)
        super().headerReceived(name, value)

    def allHeadersReceived(self) -> None:  # noqa: N802
        encodings = self.connHeaders.getRawHeaders(b"Transfer-Encoding", [])
        lengths = self.connHeaders.getRawHeaders(b"Content-Length", [])
        check_framing(self.response.version[2], encodings, lengths)
        super().allHeadersReceived()


def _check_lines(parser: Any) -> None:
    """Make a parser that has received nothing yet check its lines."""
    if parser is not None:
        # Twisted's connection creates its parsers itself.
        parser.__class__ = _CheckingParser


def _is_in_head(parser: Any) -> bool:
    return parser is not None and parser.state in HEAD_STATES
