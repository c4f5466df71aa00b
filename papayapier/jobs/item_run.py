"""Run one item as a stream at a replica, and keep what came if it breaks off."""

from typing import TYPE_CHECKING

from papayapier.upstream.api import FailureKind
from papayapier.upstream.event_cutter import NO_EVENT, EventCutter, read_events
from papayapier.upstream.phases import Fault

if TYPE_CHECKING:
    from papayapier.jobs.work import Item
    from papayapier.upstream.exchange import Head


class ItemTaker:
    """Collect the events of one run; each one that is whole counts, also if the run breaks."""

    def __init__(self, one: "Item") -> None:
        self._one = one
        self._cutter = EventCutter(one.last_event)
        self._first = True
        self.first_ms = 0

    def on_head(self, _head: "Head") -> None:
        """Take the head of a good answer."""

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        """Take a part of the body."""
        self.first_ms = self.first_ms or now_ms
        whole = self._cutter.feed(data)
        if whole is None:
            return Fault(FailureKind.BROKEN, "an event is too long")
        for event in read_events(whole):
            fault = self._take(event.id, event.data)
            if fault is not None:
                return fault
            self._one.heard_ms = now_ms
        return None

    def on_end(self, _declared: bool) -> Fault | None:
        """Check that nothing was left over."""
        if self._cutter.rest().strip():
            return Fault(FailureKind.CUT, "the stream ended within an event")
        if not self._one.texts:
            return Fault(FailureKind.CUT, "the stream ended without an event")
        return None

    def _take(self, event_id: int, data: str) -> Fault | None:
        last = self._one.last_event
        # Joined with a gap or an overlap, the parts of two runs would make a text that no
        # replica made; it would show only to who reads it.
        if last != NO_EVENT and event_id != last + 1:
            return Fault(FailureKind.BROKEN, f"event {event_id} came after {last}")
        self._one.last_event = event_id
        self._one.texts.append(data)
        return None
