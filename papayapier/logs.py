"""Write log records as JSON or text lines, within bounds and without blocking.

A reader that stops reading the log must not delay requests, but a write to a full pipe would
block the whole process. So lines wait in a bounded buffer, and lines that do not fit are dropped
and counted. A flood of one event must not displace the others or use up the processor: each event
has a maximum number of lines per second, and the excess is dropped and counted as well. A log line
reports both counts as soon as the buffer has capacity.
"""

import os
import sys
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, Final, Protocol, TextIO

import logbook
from twisted.internet.interfaces import IWriteDescriptor
from zope.interface import implementer

from papayapier import events
from papayapier.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.settings import LogSettings

# A few thousand lines: enough for a reader that pauses for a second on a busy instance.
MAX_BUFFER_BYTES: Final = 1_000_000
# Per event; twice the requests per second that one instance serves at its limit.
MAX_LINES_PER_S: Final = 400


def start_logs(cfg: "LogSettings", stream: TextIO | None = None) -> logbook.Handler:
    """Install the handler for the whole process and return it."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=events.Level[cfg.level.upper()].value
    )
    handler.formatter = _formatter(cfg)
    handler.push_application()
    return handler


def start_bounded_logs(
    cfg: "LogSettings", descriptor: int, reactor: "Writers", now_ms: "Callable[[], int]"
) -> logbook.Handler:
    """Install a handler that never blocks on the reader of a descriptor."""
    out = LineBuffer(descriptor, reactor)
    handler = BoundedHandler(out, events.Level[cfg.level.upper()].value, now_ms)
    handler.formatter = _formatter(cfg)
    handler.push_application()
    return handler


def _formatter(cfg: "LogSettings") -> Any:
    return events.format_json if cfg.form == "json" else events.format_text


class Writers(Protocol):
    """Describe the part of a Twisted reactor that polls whether descriptors are writable."""

    def addWriter(self, writer: object) -> None:  # noqa: N802
        """Start to poll a descriptor."""

    def removeWriter(self, writer: object) -> None:  # noqa: N802
        """Stop polling a descriptor."""


@implementer(IWriteDescriptor)
class LineBuffer:
    """Buffer lines until the descriptor accepts them."""

    def __init__(self, descriptor: int, reactor: Writers, limit: int = MAX_BUFFER_BYTES) -> None:
        self._descriptor = descriptor
        self._reactor = reactor
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._polling = False
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def add(self, line: bytes) -> bool:
        """Buffer a line, or drop and count it if it does not fit."""
        if self._size + len(line) > self._limit:
            self.dropped_count += 1
            return False
        self._lines.append(line)
        self._size += len(line)
        if not self._polling:
            self.doWrite()
        return True

    def has_capacity(self) -> bool:
        """Return whether several more lines are certain to fit."""
        return self._size <= self._limit // 2

    def buffered_count(self) -> int:
        """Return how many lines are buffered."""
        return len(self._lines)

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        return "logs"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Drop the buffered lines, because the reader has closed the pipe."""
        self._lines.clear()
        self._size = 0

    def doWrite(self) -> None:  # noqa: N802
        """Write as much as the descriptor accepts now."""
        while self._lines:
            line = self._lines.popleft()
            try:
                sent = os.write(self._descriptor, line)
            except BlockingIOError:
                sent = 0
            except OSError:
                # The reader has closed the pipe: drop the line, nobody can read it any more.
                sent = len(line)
            self._size -= sent
            if sent < len(line):
                self._lines.appendleft(line[sent:])
                self._poll(True)
                return
        self._poll(False)

    def _poll(self, polling: bool) -> None:
        if polling == self._polling:
            return
        self._polling = polling
        if polling:
            self._reactor.addWriter(self)
        else:
            self._reactor.removeWriter(self)


class BoundedHandler(logbook.Handler):  # type: ignore[misc]
    """Format records into a LineBuffer, with a rate limit for each event."""

    def __init__(self, out: LineBuffer, level: int, now_ms: "Callable[[], int]") -> None:
        super().__init__(level=level)
        self._out = out
        self._now_ms = now_ms
        self._second = -1
        self._written: Counter[int] = Counter()
        self._dropped: Counter[int] = Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop and count it."""
        event: events.Event = record.extra["event"]
        second = self._now_ms() // MS_PER_S
        if second != self._second:
            self._second = second
            self._written.clear()
            self._report_dropped()
        # Errors are rare and matter most, so they have no rate limit.
        if event.level is not events.Level.ERROR and self._written[event.number] >= MAX_LINES_PER_S:
            self._dropped[event.number] += 1
            return
        self._written[event.number] += 1
        self._out.add(self._line(record))

    def _line(self, record: logbook.LogRecord) -> bytes:
        return (str(self.format(record)) + "\n").encode("utf-8", "replace")

    def _report_dropped(self) -> None:
        if not self._out.has_capacity():
            # This line might be dropped itself, and the counts with it.
            return
        dropped, self._dropped = self._dropped, Counter()
        unread, self._out.dropped_count = self._out.dropped_count, 0
        if dropped or unread:
            by_event = {str(number): count for number, count in sorted(dropped.items())}
            events.emit(events.LINES_LEFT_OUT, by_event=by_event, unread=unread)
