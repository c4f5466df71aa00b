"""Write log records as JSON or text lines, within bounds and without ever waiting.

A reader of the lines that stops reading must cost lines, never requests: a write to a full pipe
would hold up every request of the process. So lines wait in a bounded buffer, and what does not
fit is counted. A flood of one event must not push the others out or take the processor: each
event has a number of lines a second, and what was left out is counted as well. Both counts are
told in a line of their own as soon as there is room.
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

# Some thousand lines: what a reader that pauses for a second may miss on a busy instance.
BUFFER_BYTES: Final = 1_000_000
# Twice the requests a second that one instance serves at its limit.
LINES_PER_S: Final = 400


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
    """Install a handler that never waits for the reader of a descriptor."""
    out = LineBuffer(descriptor, reactor)
    handler = BoundedHandler(out, events.Level[cfg.level.upper()].value, now_ms)
    handler.formatter = _formatter(cfg)
    handler.push_application()
    return handler


def _formatter(cfg: "LogSettings") -> Any:
    return events.format_json if cfg.form == "json" else events.format_text


class Writers(Protocol):
    """Describe the part of a twisted reactor that polls for room to write."""

    def addWriter(self, writer: object) -> None:  # noqa: N802
        """Poll a descriptor."""

    def removeWriter(self, writer: object) -> None:  # noqa: N802
        """Poll it no longer."""


@implementer(IWriteDescriptor)
class LineBuffer:
    """Hold lines until the descriptor takes them."""

    def __init__(self, descriptor: int, reactor: Writers, limit: int = BUFFER_BYTES) -> None:
        self._descriptor = descriptor
        self._reactor = reactor
        self._limit = limit
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._polling = False
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def add(self, line: bytes) -> bool:
        """Take a line, or count it as left out."""
        if self._size + len(line) > self._limit:
            self.left_out += 1
            return False
        self._lines.append(line)
        self._size += len(line)
        if not self._polling:
            self.doWrite()
        return True

    def has_room(self) -> bool:
        """Tell whether a few more lines would surely fit."""
        return self._size <= self._limit // 2

    def waiting(self) -> int:
        """Return how many lines wait."""
        return len(self._lines)

    def fileno(self) -> int:
        """Return the descriptor."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        return "logs"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Drop what waits for a reader that has gone."""
        self._lines.clear()
        self._size = 0

    def doWrite(self) -> None:  # noqa: N802
        """Write what the descriptor takes now."""
        while self._lines:
            line = self._lines.popleft()
            try:
                sent = os.write(self._descriptor, line)
            except BlockingIOError:
                sent = 0
            except OSError:
                # The reader has gone for good; nobody is left to be told.
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
    """Format records into a LineBuffer, within a number of lines a second for each event."""

    def __init__(self, out: LineBuffer, level: int, now_ms: "Callable[[], int]") -> None:
        super().__init__(level=level)
        self._out = out
        self._now_ms = now_ms
        self._second = -1
        self._written: Counter[int] = Counter()
        self._left_out: Counter[int] = Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it."""
        event: events.Event = record.extra["event"]
        second = self._now_ms() // MS_PER_S
        if second != self._second:
            self._second = second
            self._written.clear()
            self._tell_left_out()
        # Errors are few and are what the lines are for; they have no bound of their own.
        if event.level is not events.Level.ERROR and self._written[event.number] >= LINES_PER_S:
            self._left_out[event.number] += 1
            return
        self._written[event.number] += 1
        self._out.add(self._line(record))

    def _line(self, record: logbook.LogRecord) -> bytes:
        return (str(self.format(record)) + "\n").encode("utf-8", "replace")

    def _tell_left_out(self) -> None:
        if not self._out.has_room():
            # The line would be left out itself, and its counts with it.
            return
        left_out, self._left_out = self._left_out, Counter()
        unread, self._out.left_out = self._out.left_out, 0
        if left_out or unread:
            by_event = {str(number): count for number, count in sorted(left_out.items())}
            events.emit(events.LINES_LEFT_OUT, by_event=by_event, unread=unread)
