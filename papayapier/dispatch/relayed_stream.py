"""Relay a stream to its caller in complete events, over all replicas that produce it."""

from typing import TYPE_CHECKING, Protocol

from papayapier.upstream.api import FailureKind
from papayapier.upstream.event_splitter import NO_EVENT, EventSplitter, parse_first_id
from papayapier.upstream.phases import Fault

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.upstream.exchange import ResponseHead


class CallerStream(Protocol):
    """Describe the caller's side of a streamed answer."""

    def begin(self, answer: "ResponseHead") -> None:
        """Send the head."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""


class RelayedStream:
    """Relay one stream; a replica that resumes it must begin after the last event passed on.

    on_first_event is called before the first event of a stream is passed on. first_data_ms is when
    the current replica's first byte arrived, first_event_ms when its first event did.
    """

    __slots__ = (
        "_caller_stream",
        "_cutter",
        "_on_first_event",
        "_resumed",
        "declared",
        "first_data_ms",
        "first_event_ms",
        "started",
    )

    def __init__(
        self,
        caller_stream: CallerStream,
        last_event: int,
        resumable: bool,
        on_first_event: "Callable[[], None]",
    ) -> None:
        self._caller_stream = caller_stream
        self._on_first_event = on_first_event
        self._cutter = EventSplitter(last_event)
        # The next event is the first from a replica that resumes the stream.
        self._resumed = resumable and last_event != NO_EVENT
        self.started = False
        self.declared = False
        self.first_data_ms = 0
        self.first_event_ms = 0

    def last_event(self) -> int:
        return self._cutter.last_id

    def restart(self) -> None:
        self._cutter.discard_partial()
        self._resumed = self._cutter.last_id != NO_EVENT
        self.first_data_ms = 0
        self.first_event_ms = 0

    def on_head(self, head: "ResponseHead") -> None:
        if not self.started:
            self.started = True
            self._caller_stream.begin(head)

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        self.first_data_ms = self.first_data_ms or now_ms
        previous_id = self._cutter.last_id
        previous_progress = self._cutter.progress
        complete_events = self._cutter.feed(data)
        if complete_events is None:
            return Fault(FailureKind.INVALID, "an event is too long")
        if not complete_events:
            return None
        if self._cutter.progress > previous_progress:
            self.first_event_ms = self.first_event_ms or now_ms
        first_event_id = parse_first_id(complete_events) if self._resumed else NO_EVENT
        if first_event_id not in (NO_EVENT, previous_id + 1):
            self._cutter.last_id = previous_id
            return Fault(FailureKind.INVALID, f"event {first_event_id} came after {previous_id}")
        self._resumed = False
        if previous_id == NO_EVENT and self._cutter.last_id != NO_EVENT:
            self._on_first_event()
        self._caller_stream.write(complete_events)
        return None

    def progress(self) -> int:
        return self._cutter.progress

    def on_end(self, declared: bool) -> Fault | None:
        self.declared = declared
        rest = self._cutter.remainder()
        if not declared and rest.strip():
            # A killed process closes its connections just like one that has completed its answer.
            return Fault(
                FailureKind.TRUNCATED, "the connection closed within an event of the stream"
            )
        if rest:
            self._caller_stream.write(rest)
        return None
