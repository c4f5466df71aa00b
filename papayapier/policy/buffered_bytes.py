"""Decide how many bytes a process buffers for its callers, and whom it drops beyond that.

Motivation: thousands of callers that read one byte a second, or send large bodies as slowly, on a
machine with 200 MB. A replica's answer is always read, since the replica disconnects readers that
are too slow. So what slow callers have not read accumulates here, and is bounded by closing the
calls that have left bytes unread for longest. A new body is refused before the bound is exceeded.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

UNBOUNDED: Final = 0
# A body is buffered as received, and once more while it is written to a replica that does not read
# it yet.
COPIES_PER_BODY: Final = 2


class Unread(NamedTuple):
    """Report a caller's unread bytes, and since when it has read nothing or too little."""

    caller: int
    since_ms: int
    unread_bytes: int


class BufferedBytes:
    """Count the buffered bytes; UNBOUNDED sets no limit."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._bodies = 0
        self._unread = 0
        # Unread bytes of each caller at the last check; _unread is their sum.
        self._unread_by: dict[int, int] = {}

    def has_capacity(self, body_bytes: int) -> bool:
        """Tell whether this many more bytes of bodies may be buffered."""
        return not self._max_bytes or self.total() + COPIES_PER_BODY * body_bytes <= self._max_bytes

    def on_body(self, body_bytes: int) -> None:
        """Count a part of a body, or with a negative number its release."""
        self._bodies += COPIES_PER_BODY * body_bytes
        assert self._bodies >= 0

    def total(self) -> int:
        """Return how many bytes are buffered."""
        return self._bodies + self._unread

    def on_disconnected(self, caller: int) -> None:
        """Stop counting the unread bytes of a caller that has disconnected."""
        self._unread -= self._unread_by.pop(caller, 0)

    def callers_to_drop(self, unread: Iterable[Unread]) -> list[Unread]:
        """Update the unread bytes of all callers; return those to close, longest unread first."""
        by_age = sorted(unread, key=lambda entry: (entry.since_ms, -entry.unread_bytes))
        self._unread_by = {entry.caller: entry.unread_bytes for entry in by_age}
        self._unread = sum(self._unread_by.values())
        dropped = []
        for entry in by_age:
            if not self._max_bytes or self.total() <= self._max_bytes:
                break
            self.on_disconnected(entry.caller)
            dropped.append(entry)
        return dropped
