"""Split a byte stream of server-sent events at event boundaries, without changing the bytes.

A replica may fail in the middle of an event. Only complete events are passed on, so that a
stream that another replica resumes contains no partial and no duplicate event.
"""

from typing import Final, NamedTuple

from papayapier.decoding import parse_number

MAX_EVENT_BYTES: Final = 1_000_000
NO_EVENT: Final = -1
ID_FIELD: Final = b"\nid:"
DATA_FIELD: Final = b"\ndata:"
# What ends an event.
BLANK_LINES: Final = (b"\n\n", b"\r\n\r\n")
MAX_BLANK_LINE_BYTES: Final = max(map(len, BLANK_LINES))


class EventSplitter:
    """Buffer the bytes of an incomplete event, and track the id of the last complete one.

    progress grows with complete events that have data; comments and blank lines have none.
    """

    __slots__ = ("_buffer", "last_id", "progress")

    def __init__(self, last_id: int = NO_EVENT) -> None:
        self.last_id = last_id
        self.progress = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Return the events completed by these bytes; None means that an event is too long."""
        # An event may arrive byte by byte, so the bytes before are not searched again.
        searched = max(0, len(self._buffer) - MAX_BLANK_LINE_BYTES + 1)
        self._buffer += data
        end = _last_event_end(self._buffer, searched)
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        if complete:
            self._update_last_id(complete)
            self.progress += complete.startswith(DATA_FIELD[1:]) or DATA_FIELD in complete
        return None if len(self._buffer) > MAX_EVENT_BYTES else complete

    def discard_partial(self) -> None:
        """Drop the incomplete event of a stream that was interrupted."""
        self._buffer.clear()

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event of a stream that has ended."""
        return bytes(self._buffer)

    def _update_last_id(self, complete: bytes) -> None:
        at = complete.rfind(ID_FIELD)
        if at < 0 and not complete.startswith(ID_FIELD[1:]):
            return
        found = _id_at(complete, at)
        if found != NO_EVENT:
            self.last_id = found


def parse_first_id(complete: bytes) -> int:
    """Return the first event id in these complete events, or NO_EVENT."""
    if complete.startswith(ID_FIELD[1:]):
        return _id_at(complete, -1)
    at = complete.find(ID_FIELD)
    return NO_EVENT if at < 0 else _id_at(complete, at)


def _id_at(complete: bytes, line_end: int) -> int:
    """Return the id in the line after the line end at this index; -1 is before the first line."""
    digits = complete[line_end + len(ID_FIELD) :].split(b"\n", 1)[0].strip()
    return _event_id(digits)


def _event_id(digits: bytes) -> int:
    number = parse_number(digits)
    return NO_EVENT if number is None else number


def _last_event_end(data: bytearray, start: int) -> int:
    """Return the index at which the last complete event ends, searched from start on, or 0."""
    found = [(data.rfind(blank, start), len(blank)) for blank in BLANK_LINES]
    return max((at + length for at, length in found if at >= 0), default=0)


class Event(NamedTuple):
    """Hold one event; id is NO_EVENT if the event has none."""

    id: int
    data: str


def parse_events(complete: bytes) -> list[Event]:
    """Parse complete events and return those that carry data."""
    found = []
    for part in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
        event_id = NO_EVENT
        data = []
        for line in part.split(b"\n"):
            if line.startswith(b"id:"):
                digits = line[3:].strip()
                event_id = _event_id(digits)
            elif line.startswith(b"data:"):
                data.append(line[5:].removeprefix(b" "))
        if data:
            found.append(Event(event_id, b"\n".join(data).decode("utf-8", "replace")))
    return found
