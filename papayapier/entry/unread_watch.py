"""Track the unread bytes of callers, and disconnect callers to bound the buffered bytes."""

from typing import Any, Final

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.entry.site import CountingSite
from papayapier.metrics import Metrics
from papayapier.policy.buffered_bytes import BufferedBytes, Unread

REVIEW_MS: Final = 250


class UnreadWatch:
    """Check one port's connections regularly; a caller that has read everything starts afresh."""

    def __init__(
        self, clock: Clock, site: CountingSite, buffered: BufferedBytes, metrics: Metrics
    ) -> None:
        self._clock = clock
        self._site = site
        self._buffered = buffered
        self._unread_since_ms: dict[Any, int] = {}
        self._timer: Timer | None = None
        metrics.held_bytes.set_function(buffered.total)

    def start(self) -> None:
        """Start the checks."""
        self._site.buffered_bytes = self._buffered
        self._timer = self._clock.call_later(REVIEW_MS, self._review)

    def close(self) -> None:
        """Stop the checks."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _review(self) -> None:
        self._timer = self._clock.call_later(REVIEW_MS, self._review)
        now = self._clock.now()
        unsent_bytes = {
            connection: size
            for connection in self._site.connections
            if (size := connection.unsent_bytes())
        }
        self._unread_since_ms = {
            connection: self._unread_since_ms.get(connection, now) for connection in unsent_bytes
        }
        by_caller = {id(connection): connection for connection in unsent_bytes}
        unread = (
            Unread(key, self._unread_since_ms[connection], unsent_bytes[connection])
            for key, connection in by_caller.items()
        )
        for given_up in self._buffered.callers_to_drop(unread):
            events.emit(
                events.CALLER_SLOW,
                unread_bytes=given_up.unread_bytes,
                unread_ms=now - given_up.since_ms,
                held_bytes=self._buffered.total(),
            )
            by_caller[given_up.caller].transport.abortConnection()
