"""Receive the stream of one item's run, and keep the events received if it breaks off."""

from typing import TYPE_CHECKING

from papayapier.upstream.api import FailureKind
from papayapier.upstream.event_splitter import NO_EVENT, EventSplitter, parse_events
from papayapier.upstream.phases import Fault

if TYPE_CHECKING:
    from papayapier.jobs.owned_job import ItemState
    from papayapier.upstream.exchange import ResponseHead


class ItemReceiver:
    """Collect the complete events of one run; they are kept even if the run fails later.

    version is the software version of the replica that runs it.
    """

    def __init__(self, state: "ItemState", version: str) -> None:
        self._state = state
        self._version = version
        self._cutter = EventSplitter(state.last_event)
        self._first = True
        self.first_ms = 0

    def on_head(self, _head: "ResponseHead") -> None:
        """Ignore the head of a successful response."""

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        """Handle a chunk of the body."""
        self.first_ms = self.first_ms or now_ms
        complete = self._cutter.feed(data)
        if complete is None:
            return Fault(FailureKind.INVALID, "event exceeds the size limit")
        for event in parse_events(complete):
            fault = self._add(event.id, event.data)
            if fault is not None:
                return fault
            self._state.last_received_ms = now_ms
        return None

    def progress(self) -> int:
        """Return a number that grows with each event that has data."""
        return self._cutter.progress

    def on_end(self, _declared: bool) -> Fault | None:
        """Check that the stream ended after a complete event."""
        if self._cutter.remainder().strip():
            return Fault(FailureKind.TRUNCATED, "stream ended within an event")
        if not self._state.texts:
            return Fault(FailureKind.TRUNCATED, "stream ended without an event")
        return None

    def _add(self, event_id: int, data: str) -> Fault | None:
        last = self._state.last_event
        # Joining the events of two runs with a gap or an overlap would produce a text that no
        # replica has sent, and only reading it would reveal that.
        if last != NO_EVENT and event_id != last + 1:
            return Fault(FailureKind.INVALID, f"event {event_id} received after event {last}")
        if not self._state.texts:
            self._state.version = self._version
        elif self._state.version != self._version:
            return Fault(FailureKind.INVALID, f"event {event_id} is of version {self._version}")
        self._state.last_event = event_id
        self._state.texts.append(data)
        return None
