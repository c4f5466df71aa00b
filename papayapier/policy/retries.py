"""Decide whether a failed call is retried, and which refusal its caller receives if not.

A non-idempotent call is retried only when the replica cannot have received it. Retries are limited
to a share of the requests, because an upstream that fails under load would otherwise get a multiple
of it (a retry storm) and never recover. The calls that were open at a crashed replica cause no
storm: there are as many as it has slots, and other replicas have capacity. They have a limit of
their own, as long as most replicas of the upstream have lost nothing.
"""

import random
from typing import Final, NamedTuple

from papayapier.config.profiles import RetryRule
from papayapier.errors import ErrorKind, Outcome, Refusal
from papayapier.policy.loads import LoadTracker
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

RETRY_SHARE: Final = 0.1
RETRY_WINDOW_MS: Final = 10_000
RETRY_FLOOR: Final = 5
BUCKETS: Final = 10
BACKOFF_MS: Final = 10
MAX_BACKOFF_MS: Final = 500
BUSY_STATUSES: Final = frozenset({429, 503})
# How calls fail that were open at a crashed replica, or sent before its crash was noticed, and at
# one that sends broken answers.
REPLICA_LOST_KINDS: Final = frozenset(
    {FailureKind.CONNECT, FailureKind.TIMED_OUT, FailureKind.TRUNCATED, FailureKind.INVALID}
)

# After these, a retry is of no use.
FINAL_KINDS: Final = frozenset({FailureKind.CANCELLED, FailureKind.DEADLINE})


class Retry(NamedTuple):
    """Retry after a delay; exclude says to use another replica if there is one.

    any_replica says that the replicas excluded before may be used again.
    """

    after_ms: int
    fresh_connection: bool
    exclude: bool
    any_replica: bool = False


class GiveUp(NamedTuple):
    """Send the caller a refusal."""

    refusal: Refusal


class FailedAt(NamedTuple):
    """Describe where a call failed: the replica, its slots and the upstream's replica count."""

    replica: str
    slots: int
    replicas: int


NOWHERE: Final = FailedAt("", 0, 0)


def failed_at(load_tracker: LoadTracker, replica: Replica) -> FailedAt:
    """Return what the retry budget needs to know of a replica."""
    return FailedAt(
        replica.id, load_tracker.slots(replica.id), len(load_tracker.replicas(replica.upstream))
    )


class _Window:
    """Count requests and retries of the last buckets; each element holds (bucket, count).

    lost counts the retries of calls that were open at a crashed replica, by replica.
    """

    __slots__ = ("_requests", "_retries", "lost")

    def __init__(self) -> None:
        self._requests = [(-1, 0)] * BUCKETS
        self._retries = [(-1, 0)] * BUCKETS
        self.lost: dict[str, list[tuple[int, int]]] = {}

    def add_request(self, bucket: int) -> None:
        _add(self._requests, bucket)

    def add_retry(self, bucket: int) -> None:
        _add(self._retries, bucket)

    def add_lost(self, replica: str, bucket: int) -> None:
        _add(self.lost.setdefault(replica, [(-1, 0)] * BUCKETS), bucket)

    def lost_by_replica(self, bucket: int) -> dict[str, int]:
        """Return the retries of lost calls by replica, and drop the replicas without any."""
        counts = {replica: _recent(slots, bucket) for replica, slots in self.lost.items()}
        self.lost = {replica: slots for replica, slots in self.lost.items() if counts[replica]}
        return {replica: count for replica, count in counts.items() if count}

    def requests(self, bucket: int) -> int:
        return _recent(self._requests, bucket)

    def retries(self, bucket: int) -> int:
        return _recent(self._retries, bucket)


class RetryBudget:
    """Limit retries per upstream to a share of its requests, with a small floor.

    The floor lets an upstream with little traffic retry at all. It is per window, so that the
    retries of one instance never exceed it when no more requests arrive.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        window_ms: int = RETRY_WINDOW_MS,
        floor: int = RETRY_FLOOR,
    ) -> None:
        self._share = share
        self._bucket_ms = max(1, window_ms // BUCKETS)
        self._floor = floor
        self._windows: dict[str, _Window] = {}

    def on_request(self, upstream: str, now: int) -> None:
        """Count a request, which adds its share of a retry to the budget."""
        self._window(upstream).add_request(now // self._bucket_ms)

    def has_retry(self, upstream: str, now: int) -> bool:
        """Return whether the budget has one more retry."""
        bucket = now // self._bucket_ms
        window = self._window(upstream)
        allowed = max(float(self._floor), self._share * window.requests(bucket))
        return window.retries(bucket) + 1 <= allowed

    def try_spend(self, upstream: str, now: int) -> bool:
        """Take one retry out of the budget if there is one."""
        if not self.has_retry(upstream, now):
            return False
        self._window(upstream).add_retry(now // self._bucket_ms)
        return True

    def has_retry_for_lost_replica(self, upstream: str, at: FailedAt, now: int) -> bool:
        """Return whether a call that was open at a crashed replica may be retried."""
        return self._has_lost_share(upstream, at, now) or self.has_retry(upstream, now)

    def spend_for_lost_replica(self, upstream: str, at: FailedAt, now: int) -> bool:
        """Take a retry of a call that was open at a crashed replica, up to as many as it has slots.

        When more than half of the replicas lose calls within the window, the upstream itself fails,
        and only its shared budget is left. Without this separate limit, six calls on one of two
        engines left the sixth without a retry, while the other engine had seven free slots.
        """
        if not self._has_lost_share(upstream, at, now):
            return self.try_spend(upstream, now)
        self._window(upstream).add_lost(at.replica, now // self._bucket_ms)
        return True

    def _has_lost_share(self, upstream: str, at: FailedAt, now: int) -> bool:
        lost = self._window(upstream).lost_by_replica(now // self._bucket_ms)
        replicas_with_losses = len(lost.keys() | {at.replica})
        return lost.get(at.replica, 0) < at.slots and replicas_with_losses <= max(
            1, at.replicas // 2
        )

    def _window(self, upstream: str) -> _Window:
        return self._windows.setdefault(upstream, _Window())


def retry_or_refuse(
    failure: Failure,
    idempotent: bool,
    attempts_made: int,
    rule: RetryRule,
    due_ms: int,
    now: int,
    budget: RetryBudget,
    upstream: str,
    rand: random.Random,
    earlier: Sent = Sent.MAYBE,
    at: FailedAt = NOWHERE,
) -> Retry | GiveUp:
    """Decide whether to retry after a failed attempt.

    attempts_made includes the failed attempt. earlier is Sent.NO only if no attempt before it can
    have run; a caller that does not know must leave the default, or a refusal would wrongly say
    "not run".
    """
    maybe_ran = failure.sent is Sent.MAYBE or (attempts_made > 1 and earlier is Sent.MAYBE)
    outcome = Outcome.UNKNOWN if maybe_ran else Outcome.NOT_RUN
    if failure.kind is FailureKind.CANCELLED:
        return GiveUp(Refusal(ErrorKind.CANCELLED, outcome, failure.reason))
    if failure.kind is FailureKind.DEADLINE:
        return GiveUp(Refusal(ErrorKind.DEADLINE, outcome, failure.reason))
    after_ms = _backoff(failure, attempts_made, rand)
    refusal = Refusal(_kind(failure, maybe_ran, idempotent), outcome, failure.reason, after_ms)
    if maybe_ran and not idempotent:
        return GiveUp(refusal)
    if attempts_made >= rule.attempts or now + after_ms >= due_ms:
        return GiveUp(refusal)
    lost = at is not NOWHERE and failure.kind in REPLICA_LOST_KINDS
    if not (
        budget.spend_for_lost_replica(upstream, at, now)
        if lost
        else budget.try_spend(upstream, now)
    ):
        return GiveUp(refusal)
    return Retry(
        after_ms, fresh_connection=True, exclude=not _only_connection(failure, attempts_made)
    )


def may_retry_silent(
    idempotent: bool,
    attempts_made: int,
    rule: RetryRule,
    due_ms: int,
    now: int,
    budget: RetryBudget,
    upstream: str,
    at: FailedAt,
) -> bool:
    """Return whether retry_or_refuse would retry a call if its silent replica were given up now.

    attempts_made includes the attempt at the silent replica.
    """
    if not idempotent or attempts_made >= rule.attempts or now + MAX_BACKOFF_MS >= due_ms:
        return False
    return budget.has_retry_for_lost_replica(upstream, at, now)


def retry_moved(failure: Failure, due_ms: int, now: int, rand: random.Random) -> Retry | None:
    """Return the retry of a rejected request that has left a silent replica, or None.

    That replica would have gone on, so that neither the attempts nor the budget end the request as
    long as its sends do not run. The pause bounds what it costs.
    """
    if failure.sent is not Sent.NO or failure.kind in FINAL_KINDS:
        return None
    after_ms = moved_pause_ms(rand)
    if now + after_ms >= due_ms:
        return None
    return Retry(after_ms, fresh_connection=True, exclude=False, any_replica=True)


def moved_pause_ms(rand: random.Random) -> int:
    """Return the pause of a request that has left a silent replica and finds no other."""
    return rand.randint(MAX_BACKOFF_MS // 2, MAX_BACKOFF_MS)


def _only_connection(failure: Failure, attempts_made: int) -> bool:
    """Tell whether the connection is more likely at fault than the replica.

    A middlebox may have lost track of a kept-alive connection while the replica is healthy, in
    which case new connections work. When a new connection is silent too, it is the replica.
    """
    if attempts_made > 1:
        return False
    if failure.kind is FailureKind.TIMED_OUT:
        return True
    return failure.kind is FailureKind.TRUNCATED and failure.sent is Sent.NO


def _backoff(failure: Failure, attempts_made: int, rand: random.Random) -> int:
    if attempts_made <= 1 and failure.status not in BUSY_STATUSES:
        return 0
    longest_ms = min(BACKOFF_MS << min(attempts_made, 10), MAX_BACKOFF_MS)
    return rand.randint(longest_ms // 2, longest_ms)


def _kind(failure: Failure, maybe_ran: bool, idempotent: bool) -> ErrorKind:
    if maybe_ran and not idempotent:
        return ErrorKind.OUTCOME_UNKNOWN
    if failure.kind in (FailureKind.INVALID, FailureKind.WRONG_ID):
        return ErrorKind.BROKEN_ANSWER
    return ErrorKind.UPSTREAM_FAILED


def _add(slots: list[tuple[int, int]], bucket: int) -> None:
    index = bucket % BUCKETS
    recorded, count = slots[index]
    slots[index] = (bucket, count + 1 if recorded == bucket else 1)


def _recent(slots: list[tuple[int, int]], bucket: int) -> int:
    return sum(count for recorded, count in slots if bucket - BUCKETS < recorded <= bucket)
