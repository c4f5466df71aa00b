"""Guard the heads of HTTP answers: bound each with all interim answers before it.

Twisted bounds each line of a head, but not their number: a server that sends header lines without
end makes its client keep them all, and one that sends interim answers without end makes its client
parse them for as long as it waits.
"""

from typing import Any, Final

# Per answer, with the interim answers before it.
MAX_HEAD_BYTES: Final = 16_384
# Twisted's names of the states in which a parser reads a head.
HEAD_STATES: Final = ("STATUS", "HEADER")


def guard_head(protocol: Any) -> Any:
    """Close a client connection whose answer has a longer head; return the connection.

    Its attribute head_too_long says whether that has happened, answer_bytes how many bytes of the
    current answer it has received, with the head and the framing of the body.
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


class _HeadGuard:
    """Count the bytes that a connection received of the head of its current answer."""

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


def _is_in_head(parser: Any) -> bool:
    return parser is not None and parser.state in HEAD_STATES
