"""Queue online requests, start them in a fair order, and refuse early those that would be late.

Each upstream has its own queue (fair_queue.py), so that an upstream whose replicas are full or lost
delays no other. A request is refused as soon as its estimated wait and run would exceed its due
time, both on arrival and later, if the upstream has become slower meanwhile: a caller that is
refused at once can go elsewhere or retry, while one that is queued until its due time has lost that
time and has taken a place in the queue for nothing. Under overload this also keeps the goodput up,
because no replica works on answers that arrive too late.

An answer may still be wanted after it is due. Such a request is refused while its caller can retry
in time, and from then on ranks behind all that can be in time, as the next refusal may be final.

The queue's capacity is shared by a dynamic threshold: no caller may queue more requests than there
are free places. One caller alone can fill half, two a third each, and a new one always finds a
place. An upstream may queue three times the free places, which is three quarters of the queue when
alone.
"""

from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.policy.fair_queue import RANKS, FairQueue, QueuedRequest
from papayapier.policy.service_rate import ServiceRate

__all__ = ["AdmissionQueue", "QueuedRequest"]

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 10_000
REVIEW_MS: Final = 100
REVIEW_MS_PER_ENTRY: Final = 0.1
ADMIT_TOLERANCE: Final = 0.7
REVIEW_TOLERANCE: Final = 1.5
URGENT_RANK: Final = RANKS["urgent"]
URGENT_FREE_FACTOR: Final = 2
UPSTREAM_FREE_FACTOR: Final = 3


class AdmissionQueue:
    """Queue the online requests of this instance."""

    def __init__(self, max_queued: int) -> None:
        self._max_queued = max_queued
        self._entries: dict[int, QueuedRequest] = {}
        self._expired: dict[int, QueuedRequest] = {}
        self._queues: dict[str, FairQueue] = {}
        # Empty queues, which remember which callers were served recently.
        self._idle_queues: dict[str, FairQueue] = {}
        self._rates: dict[str, ServiceRate] = {}
        self._by_caller: dict[str, int] = {}
        self._last_review_ms = 0
        self._now_ms = 0

    def offer(self, entry: QueuedRequest, now: int) -> Result[None, Refusal]:
        """Queue a request, or refuse it at once."""
        self._now_ms = now
        refusal = self._refuse_if_full(entry, now)
        if refusal is not None:
            return Err(refusal)
        queue = self._queues.get(entry.upstream)
        if queue is not None and self._would_be_late(entry, queue, now):
            if entry.can_retry(now) or entry.give_up_ms <= entry.due_ms:
                return Err(self._late_refusal(entry, now))
            entry = entry.as_late()
            if self._would_be_late(entry, queue, now):
                return Err(self._late_refusal(entry, now))
        self._add(entry)
        return Ok(None)

    def take(self, now: int, can_start: Callable[[str], bool]) -> QueuedRequest | None:
        """Return the next request to start, or None; can_start checks an upstream."""
        self._now_ms = now
        for upstream in list(self._queues):
            if not can_start(upstream):
                self._rate(upstream).on_backlog(now)
                continue
            entry = self._take_from(upstream, now)
            if entry is not None:
                return entry
        return None

    def put_back(self, entry: QueuedRequest) -> None:
        """Queue a request again that was taken but could not be started."""
        self._add(entry)

    def remove(self, ticket: int) -> bool:
        """Remove a request; return whether it was still queued."""
        if self._expired.pop(ticket, None) is not None:
            return True
        entry = self._entries.get(ticket)
        if entry is None:
            return False
        self._queues[entry.upstream].remove(entry)
        self._forget(entry)
        return True

    def expired(self, now: int) -> list[QueuedRequest]:
        """Remove and return the requests that will not be answered in time."""
        self._now_ms = now
        if now >= self._last_review_ms + max(REVIEW_MS, REVIEW_MS_PER_ENTRY * self.depth()):
            self._last_review_ms = now
            for upstream in list(self._queues):
                self._review(upstream, now)
        late = list(self._expired.values())
        self._expired.clear()
        return late

    def retry_after_ms(self, entry: QueuedRequest, now: int) -> int:
        """Return after what time a request like this one is likely to be in time."""
        rate = self._rate(entry.upstream).per_ms(now)
        queue = self._queues.get(entry.upstream)
        if rate is None or queue is None:
            return MIN_RETRY_AFTER_MS
        ahead = queue.cost_ahead(entry) + entry.cost
        wait = ahead / rate if rate > 0 else float(MAX_RETRY_AFTER_MS)
        over = wait + self._rate(entry.upstream).duration_ms(entry.profile)
        over -= entry.due_ms - entry.enqueued_ms
        return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, over)))

    def rate_per_ms(self, upstream: str, now: int) -> float | None:
        """Return how many requests of an upstream start per ms, or None if unknown."""
        return self._rate(upstream).per_ms(now)

    def queued(self, upstream: str) -> int:
        """Return how many requests of an upstream are queued."""
        queue = self._queues.get(upstream)
        return 0 if queue is None else len(queue)

    def depth(self) -> int:
        """Return how many requests are queued."""
        return len(self._entries) + len(self._expired)

    def queued_by(self, caller: str) -> int:
        """Return how many requests of a caller are queued."""
        return self._by_caller.get(caller, 0)

    def on_started(self, upstream: str, cost: float, now: int) -> None:
        """Count the start of a request."""
        self._rate(upstream).on_started(cost)

    def on_ended(
        self, upstream: str, cost: float, started_ms: int, now: int, profile: str = ""
    ) -> None:
        """Count the end of a request; its duration is learnt only if its profile is given."""
        self._rate(upstream).on_ended(cost, profile, float(now - started_ms))

    def _add(self, entry: QueuedRequest) -> None:
        self._entries[entry.ticket] = entry
        self._by_caller[entry.caller] = self._by_caller.get(entry.caller, 0) + 1
        if entry.upstream not in self._queues:
            idle = self._idle_queues.pop(entry.upstream, None)
            self._queues[entry.upstream] = FairQueue() if idle is None else idle
        self._queues[entry.upstream].add(entry)

    def _refuse_if_full(self, entry: QueuedRequest, now: int) -> Refusal | None:
        if now >= entry.due_ms:
            return not_run_refusal(ErrorKind.DEADLINE, "the due time has passed")
        free = self._max_queued - len(self._entries)
        allowed = free * URGENT_FREE_FACTOR if entry.rank == URGENT_RANK else free
        if free <= 0 or self.queued_by(entry.caller) >= max(1, allowed):
            kind = ErrorKind.CALLER_LIMIT if free > 0 else ErrorKind.OVERLOADED
            return not_run_refusal(kind, "the queue is full", self.retry_after_ms(entry, now))
        queue = self._queues.get(entry.upstream)
        if queue is None:
            return None
        if len(queue) >= max(1, allowed * UPSTREAM_FREE_FACTOR):
            reason = f"the queue for {entry.upstream} is full"
            return not_run_refusal(ErrorKind.OVERLOADED, reason, self.retry_after_ms(entry, now))
        return None

    def _late_refusal(self, entry: QueuedRequest, now: int) -> Refusal:
        reason = "the estimated wait would pass the due time"
        return not_run_refusal(ErrorKind.OVERLOADED, reason, self.retry_after_ms(entry, now))

    def _would_be_late(self, entry: QueuedRequest, queue: FairQueue, now: int) -> bool:
        rate = self._rate(entry.upstream)
        needed = rate.duration_ms(entry.profile)
        ahead = queue.cost_ahead(entry)
        return _is_late(entry, ahead, rate.per_ms(now), needed, ADMIT_TOLERANCE, now)

    def _take_from(self, upstream: str, now: int) -> QueuedRequest | None:
        rate = self._rate(upstream)
        while upstream in self._queues:
            entry = self._queues[upstream].take()
            self._forget(entry)
            # A request that was just offered is started without regard to the typical duration.
            # Otherwise a duration learnt while the upstream was slow would refuse all requests,
            # nothing would run, and the wrong duration would never be corrected.
            waited = now > entry.enqueued_ms
            needed = rate.duration_ms(entry.profile) if waited else 0.0
            if now + needed >= entry.due_ms:
                self._on_past_due(entry, now)
                continue
            rate.on_taken(entry.cost, now)
            if upstream in self._queues:
                self._queues[upstream] = self._queues.pop(upstream)
            return entry
        return None

    def _review(self, upstream: str, now: int) -> None:
        """Expire the requests that would be late at the upstream's present rate."""
        rate = self._rate(upstream)
        per_ms = rate.per_ms(now)
        late = []
        for entry, ahead in self._queues[upstream].costs_ahead():
            needed = rate.duration_ms(entry.profile)
            if _is_late(entry, ahead, per_ms, needed, REVIEW_TOLERANCE, now):
                late.append(entry)
        for entry in late:
            self.remove(entry.ticket)
            self._on_past_due(entry, now)

    def _on_past_due(self, entry: QueuedRequest, now: int) -> None:
        """Queue a request behind those that can be in time, or expire it."""
        if entry.late or entry.can_retry(now) or entry.give_up_ms <= entry.due_ms:
            self._expired[entry.ticket] = entry
        else:
            self._add(entry.as_late())

    def _forget(self, entry: QueuedRequest) -> None:
        del self._entries[entry.ticket]
        left = self._by_caller.pop(entry.caller) - 1
        if left:
            self._by_caller[entry.caller] = left
        if not len(self._queues[entry.upstream]):
            self._idle_queues[entry.upstream] = self._queues.pop(entry.upstream)
            self._rate(entry.upstream).on_empty(self._now_ms)

    def _rate(self, upstream: str) -> ServiceRate:
        return self._rates.setdefault(upstream, ServiceRate())


def _is_late(
    entry: QueuedRequest,
    ahead: float,
    per_ms: float | None,
    needed_ms: float,
    tolerance: float,
    now: int,
) -> bool:
    """Tell whether a request would be late; a higher tolerance is more optimistic."""
    left = entry.due_ms - now
    if needed_ms >= left:
        return True
    if per_ms is None:
        return False
    if per_ms == 0.0:
        return left < MIN_RETRY_AFTER_MS
    return (ahead + entry.cost) / per_ms / tolerance + needed_ms > left
