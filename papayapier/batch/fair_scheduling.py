"""Decide in which order jobs get capacity, and how much of it each caller may use.

The order is that of policy.deadlines: least slack first. By itself it would let one caller
with many urgent jobs take all capacity for hours. Therefore, while several callers have items
for an upstream, each is limited to an equal share of the capacity, and a caller with a job at
risk to a share several times as large. What one caller cannot use goes to the others, in the
same order.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import TYPE_CHECKING, Final

from papayapier.policy import deadlines

if TYPE_CHECKING:
    from papayapier.batch.active_jobs import ActiveJob
    from papayapier.clock import Clock

MIN_REFRESH_MS: Final = 100
REFRESH_MS_PER_JOB: Final = 2
EXHAUSTED_REFRESH_MS: Final = 20
CANDIDATES_PER_CALLER: Final = 4
RISK_WEIGHT: Final = 3
SMOOTHING: Final = 0.2


class ItemRates:
    """Estimate how many items of each upstream end per ms on this instance."""

    def __init__(self) -> None:
        self._ended: Counter[str] = Counter()
        self._rates: dict[str, float] = {}

    def on_ended(self, upstream: str) -> None:
        """Count an item that has ended."""
        self._ended[upstream] += 1

    def update(self, elapsed_ms: int, busy: Iterable[str]) -> None:
        """Update the estimates of busy upstreams; idle upstreams keep theirs."""
        for upstream in busy:
            recent = self._ended.pop(upstream, 0) / max(1, elapsed_ms)
            known = self._rates.get(upstream)
            if known is None:
                self._rates[upstream] = recent
            else:
                self._rates[upstream] = known + SMOOTHING * (recent - known)

    def rate(self, upstream: str) -> float:
        """Return items per ms; 0 if there is no estimate."""
        return self._rates.get(upstream, 0.0)


class FairScheduler:
    """Order the jobs, and refresh the order periodically."""

    def __init__(
        self, clock: "Clock", rates: ItemRates, upstream_of: "Callable[[ActiveJob], str]"
    ) -> None:
        self._clock = clock
        self._rates = rates
        self._upstream_of = upstream_of
        self._candidates: dict[str, list[ActiveJob]] = {}
        self._ordered_ms: int | None = None

    def invalidate(self) -> None:
        """Discard the order, because jobs were added or removed."""
        self._ordered_ms = None

    def order_by_upstream(self, jobs: "Iterable[ActiveJob]") -> "dict[str, list[ActiveJob]]":
        """Return the jobs of each upstream, the most urgent one first."""
        loads = [self.load(job) for job in jobs if job.is_running()]
        by_id = {job.record.job_id: job for job in jobs}
        ordered: dict[str, list[ActiveJob]] = {}
        for job_id in deadlines.order_jobs(loads, self._clock.wall()):
            job = by_id[job_id]
            ordered.setdefault(self._upstream_of(job), []).append(job)
        return ordered

    def candidates(self, jobs: "Collection[ActiveJob]") -> "dict[str, list[ActiveJob]]":
        """Return, in the same order, the jobs to be considered for each slice of items.

        These are all jobs with open tasks, and the first few of each caller that have unsent
        items. With hundreds of jobs, ordering and checking all of them for each slice would
        take longer than sending the items, so this is done periodically.
        """
        now = self._clock.now()
        if self._ordered_ms is None or now - self._ordered_ms >= self._refresh_ms(jobs):
            ordered = self.order_by_upstream(jobs)
            self._candidates = {
                upstream: _select_candidates(ordered[upstream]) for upstream in ordered
            }
            self._ordered_ms = now
        return self._candidates

    def _refresh_ms(self, jobs: "Collection[ActiveJob]") -> int:
        """Return how long an order is valid: longer with more jobs, shorter if it is exhausted."""
        return (
            EXHAUSTED_REFRESH_MS
            if self.is_exhausted(jobs)
            else max(MIN_REFRESH_MS, REFRESH_MS_PER_JOB * len(jobs))
        )

    def is_exhausted(self, jobs: "Iterable[ActiveJob]") -> bool:
        """Return whether the considered jobs have nothing to send while other jobs have."""
        if any(job.has_unsent() for job in self.candidate_jobs()):
            return False
        return any(job.has_unsent() for job in jobs)

    def candidate_jobs(self) -> "list[ActiveJob]":
        """Return the jobs that may have open tasks."""
        return [job for jobs in self._candidates.values() for job in jobs]

    def upstream_count(self) -> int:
        """Return how many upstreams have jobs."""
        return len(self._candidates)

    def load(self, job: "ActiveJob") -> deadlines.RemainingJob:
        """Describe to the policy what this instance has left of a job."""
        return deadlines.RemainingJob(
            job_id=job.record.job_id,
            caller=job.record.caller,
            due_wall_ms=job.record.due_ms,
            items_left=job.items_left(),
            in_flight=job.in_flight(),
            rate=self._rates.rate(self._upstream_of(job)),
        )


def _select_candidates(jobs: "list[ActiveJob]") -> "list[ActiveJob]":
    counts: Counter[str] = Counter()
    selected: list[ActiveJob] = []
    for job in jobs:
        is_candidate = job.has_unsent() and counts[job.record.caller] < CANDIDATES_PER_CALLER
        if is_candidate:
            counts[job.record.caller] += 1
        if is_candidate or job.open or job.opening:
            selected.append(job)
    return selected


def caller_limits(jobs: "Sequence[ActiveJob]", capacity: int) -> dict[str, int]:
    """Return how many items of each caller may be in flight while others have items too."""
    weights: dict[str, int] = {}
    for job in jobs:
        weight = RISK_WEIGHT if job.at_risk else 1
        weights[job.record.caller] = max(weight, weights.get(job.record.caller, 0))
    total = sum(weights.values())
    return {caller: max(1, capacity * weight // total) for caller, weight in weights.items()}
