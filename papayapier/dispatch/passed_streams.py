"""Relay a stream to its caller in complete events, over all replicas that produce it."""

from typing import TYPE_CHECKING, Protocol

from papayapier.upstream.api import FailureKind
from papayapier.upstream.event_cutter import NO_EVENT, EventCutter, first_id
from papayapier.upstream.phases import Fault

if TYPE_CHECKING:
    from papayapier.upstream.exchange import Head


class Reader(Protocol):
    """Describe the caller's side of a streamed answer."""

    def begin(self, answer: "Head") -> None:
        """Send the head."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""


class PassedStream:
    """Relay one stream; a replica that resumes it must begin after the last event passed on."""

    __slots__ = ("_cutter", "_reader", "_resumed", "began_ms", "declared", "started")

    def __init__(self, reader: Reader, last_event: int, resumable: bool) -> None:
        self._reader = reader
        self._cutter = EventCutter(last_event)
        # The next event is the first from a replica that was asked to resume the stream.
        self._resumed = resumable and last_event != NO_EVENT
        self.started = False
        self.declared = False
        self.began_ms = 0

    def last_event(self) -> int:
        return self._cutter.last_id

    def restart(self) -> None:
        self._cutter.restart()
        self._resumed = self._cutter.last_id != NO_EVENT
        self.began_ms = 0

    def on_head(self, head: "Head") -> None:
        if not self.started:
            self.started = True
            self._reader.begin(head)

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        self.began_ms = self.began_ms or now_ms
        last = self._cutter.last_id
        whole = self._cutter.feed(data)
        if whole is None:
            return Fault(FailureKind.BROKEN, "an event is too long")
        if not whole:
            return None
        first = first_id(whole) if self._resumed else NO_EVENT
        if first not in (NO_EVENT, last + 1):
            self._cutter.last_id = last
            return Fault(FailureKind.BROKEN, f"event {first} came after {last}")
        self._resumed = False
        self._reader.write(whole)
        return None

    def on_end(self, declared: bool) -> Fault | None:
        self.declared = declared
        rest = self._cutter.rest()
        if not declared and rest.strip():
            # A killed process closes its connections just like one that has completed its answer.
            return Fault(FailureKind.CUT, "the connection closed within an event of the stream")
        if rest:
            self._reader.write(rest)
        return None
