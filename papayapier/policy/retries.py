"""Decide whether a failed call is sent again, and what its caller is told if not.

A non-idempotent call is sent again only when the replica cannot have seen it. Retries are
bounded by a share of the requests, because an upstream that fails under load would else get
a multiple of it (a retry storm) and never recover.
"""

import random
from collections import deque
from typing import Final, NamedTuple

from papayapier.config.profiles import RetryRule
from papayapier.errors import ErrorKind, Outcome, Refusal
from papayapier.upstream.api import Failure, FailureKind, Sent

RETRY_SHARE: Final = 0.1
RETRY_WINDOW_MS: Final = 10_000
RETRY_FLOOR: Final = 5
BACKOFF_MS: Final = 10
MAX_BACKOFF_MS: Final = 500
BUSY_STATUSES: Final = frozenset({429, 503})


class Retry(NamedTuple):
    """Send again after a delay; exclude says to use another replica if there is one."""

    after_ms: int
    fresh_connection: bool
    exclude: bool


class GiveUp(NamedTuple):
    """Answer the caller with a refusal."""

    refusal: Refusal


class RetryBudget:
    """Bound retries per upstream to a share of its requests, with a small floor."""

    def __init__(
        self,
        share: float = RETRY_SHARE,
        window_ms: int = RETRY_WINDOW_MS,
        floor: int = RETRY_FLOOR,
    ) -> None:
        self._share = share
        self._window_ms = window_ms
        self._floor = floor
        self._requests: dict[str, deque[int]] = {}
        self._retries: dict[str, deque[int]] = {}

    def on_request(self, upstream: str, now: int) -> None:
        """Count a request that earns its share of a retry."""
        self._requests.setdefault(upstream, deque()).append(now)

    def spend(self, upstream: str, now: int) -> bool:
        """Take one retry out of the budget if there is one."""
        requests = self._recent(self._requests, upstream, now)
        retries = self._recent(self._retries, upstream, now)
        if len(retries) >= max(self._floor, self._share * len(requests)):
            return False
        retries.append(now)
        return True

    def _recent(self, kept: dict[str, deque[int]], upstream: str, now: int) -> deque[int]:
        times = kept.setdefault(upstream, deque())
        while times and times[0] <= now - self._window_ms:
            times.popleft()
        return times


def decide(
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
) -> Retry | GiveUp:
    """Decide about a failed attempt; earlier is Sent.NO if no attempt before can have run."""
    maybe_ran = failure.sent is Sent.MAYBE or (attempts_made > 1 and earlier is Sent.MAYBE)
    outcome = Outcome.UNKNOWN if maybe_ran else Outcome.NOT_RUN
    if failure.kind is FailureKind.CANCELLED:
        return GiveUp(Refusal(ErrorKind.CANCELLED, outcome, failure.reason))
    if failure.kind is FailureKind.DUE:
        return GiveUp(Refusal(ErrorKind.DEADLINE, outcome, failure.reason))
    after_ms = _backoff(failure, attempts_made, rand)
    refusal = Refusal(_kind(failure, maybe_ran, idempotent), outcome, failure.reason, after_ms)
    if maybe_ran and not idempotent:
        return GiveUp(refusal)
    if attempts_made >= rule.attempts or now + after_ms >= due_ms:
        return GiveUp(refusal)
    if not budget.spend(upstream, now):
        return GiveUp(refusal)
    same_replica = failure.kind is FailureKind.SILENT or (
        failure.kind is FailureKind.CUT and failure.sent is Sent.NO
    )
    return Retry(after_ms, fresh_connection=True, exclude=not same_replica)


def hedge(
    idempotent: bool,
    elapsed_ms: int,
    rule: RetryRule,
    due_ms: int,
    now: int,
    budget: RetryBudget,
    upstream: str,
) -> bool:
    """Decide whether a second copy of a slow call is sent to another replica now."""
    if not idempotent or rule.hedge_after_ms == 0 or now >= due_ms:
        return False
    return elapsed_ms >= rule.hedge_after_ms and budget.spend(upstream, now)


def _backoff(failure: Failure, attempts_made: int, rand: random.Random) -> int:
    if attempts_made <= 1 and failure.status not in BUSY_STATUSES:
        return 0
    top = min(BACKOFF_MS << min(attempts_made, 10), MAX_BACKOFF_MS)
    return rand.randint(top // 2, top)


def _kind(failure: Failure, maybe_ran: bool, idempotent: bool) -> ErrorKind:
    if maybe_ran and not idempotent:
        return ErrorKind.OUTCOME_UNKNOWN
    if failure.kind in (FailureKind.BROKEN, FailureKind.WRONG_ID):
        return ErrorKind.BROKEN_ANSWER
    return ErrorKind.UPSTREAM_FAILED
