"""Queue online requests, start them in a fair order, and refuse early what would be late."""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.config.profiles import Urgency
from papayapier.errors import ErrorKind, Refusal, not_run

MIN_RETRY_AFTER_MS: Final = 100
RATE_HALF_LIFE_MS: Final = 2_000


class Waiting(NamedTuple):
    """Describe one queued request; due_ms and enqueued_ms are on the monotonic clock."""

    ticket: int
    caller: str
    upstream: str
    profile: str
    urgency: Urgency
    due_ms: int
    cost: float
    enqueued_ms: int


class AdmissionQueue:
    """Hold the queued online requests of this instance."""

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._entries: dict[int, Waiting] = {}
        self._order: dict[str, deque[int]] = {}
        self._mean_ms: dict[str, float] = {}

    def offer(self, entry: Waiting, now: int) -> Result[None, Refusal]:
        """Queue a request, or refuse it at once."""
        if len(self._entries) >= self._max_queued:
            return Err(not_run(ErrorKind.OVERLOADED, "the queue is full", MIN_RETRY_AFTER_MS))
        if now >= entry.due_ms:
            return Err(not_run(ErrorKind.DEADLINE, "the due time has passed"))
        self._entries[entry.ticket] = entry
        self._order.setdefault(entry.caller, deque()).append(entry.ticket)
        return Ok(None)

    def take(self, now: int, can_start: Callable[[str], bool]) -> Waiting | None:
        """Return the next request to start, or None; can_start answers for an upstream."""
        for caller in list(self._order):
            tickets = self._order[caller]
            for ticket in tickets:
                entry = self._entries[ticket]
                if can_start(entry.upstream):
                    self.leave(ticket)
                    if caller in self._order:
                        self._order[caller] = self._order.pop(caller)
                    return entry
        return None

    def leave(self, ticket: int) -> bool:
        """Take a request out; False means that it was no longer queued."""
        entry = self._entries.pop(ticket, None)
        if entry is None:
            return False
        self._order[entry.caller].remove(ticket)
        if not self._order[entry.caller]:
            del self._order[entry.caller]
        return True

    def expired(self, now: int) -> list[Waiting]:
        """Take out and return the requests that can no longer be answered in time."""
        late = [entry for entry in self._entries.values() if now >= entry.due_ms]
        for entry in late:
            self.leave(entry.ticket)
        return late

    def depth(self) -> int:
        """Return how many requests are queued."""
        return len(self._entries)

    def on_started(self, upstream: str, cost: float, now: int) -> None:
        """Count the start of a request, for the service rate."""

    def on_ended(self, upstream: str, cost: float, started_ms: int, now: int) -> None:
        """Count the end of a request, for the service rate."""
