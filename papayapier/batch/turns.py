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
    from papayapier.batch.work import JobWork
    from papayapier.clock import Clock

ORDER_MS: Final = 100
ORDER_JOB_MS: Final = 2
DRY_MS: Final = 20
FIRST_JOBS: Final = 4
RISK_WEIGHT: Final = 3
SMOOTHING: Final = 0.2


class Rates:
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


class Turns:
    """Order the jobs, and refresh the order periodically."""

    def __init__(
        self, clock: "Clock", rates: Rates, upstream_of: "Callable[[JobWork], str]"
    ) -> None:
        self._clock = clock
        self._rates = rates
        self._upstream_of = upstream_of
        self._served: dict[str, list[JobWork]] = {}
        self._ordered_ms: int | None = None

    def forget(self) -> None:
        """Discard the order, because jobs were added or removed."""
        self._ordered_ms = None

    def by_upstream(self, jobs: "Iterable[JobWork]") -> "dict[str, list[JobWork]]":
        """Return the jobs of each upstream, the most urgent one first."""
        loads = [self.load(job) for job in jobs if job.runs()]
        by_id = {job.record.job_id: job for job in jobs}
        turns: dict[str, list[JobWork]] = {}
        for job_id in deadlines.order(loads, self._clock.wall()):
            job = by_id[job_id]
            turns.setdefault(self._upstream_of(job), []).append(job)
        return turns

    def served(self, jobs: "Collection[JobWork]") -> "dict[str, list[JobWork]]":
        """Return, in the same order, the jobs to be considered for each slice of items.

        These are all jobs with open tasks, and the first few of each caller that have unsent
        items. With hundreds of jobs, ordering and checking all of them for each slice would
        take longer than sending the items, so this is done periodically.
        """
        now = self._clock.now()
        if self._ordered_ms is None or now - self._ordered_ms >= self._keep_ms(jobs):
            turns = self.by_upstream(jobs)
            self._served = {upstream: _first_of(turns[upstream]) for upstream in turns}
            self._ordered_ms = now
        return self._served

    def _keep_ms(self, jobs: "Collection[JobWork]") -> int:
        """Return how long an order is valid: longer with more jobs, shorter if it is exhausted."""
        return DRY_MS if self.dry(jobs) else max(ORDER_MS, ORDER_JOB_MS * len(jobs))

    def dry(self, jobs: "Iterable[JobWork]") -> bool:
        """Return whether the considered jobs have nothing to send while other jobs have."""
        if any(job.has_unsent() for job in self.busy()):
            return False
        return any(job.has_unsent() for job in jobs)

    def busy(self) -> "list[JobWork]":
        """Return the jobs that may have open tasks."""
        return [job for jobs in self._served.values() for job in jobs]

    def upstreams(self) -> int:
        """Return how many upstreams have jobs."""
        return len(self._served)

    def load(self, job: "JobWork") -> deadlines.JobLoad:
        """Describe to the policy what this instance has left of a job."""
        return deadlines.JobLoad(
            job_id=job.record.job_id,
            caller=job.record.caller,
            due_wall_ms=job.record.due_ms,
            items_left=job.items_left(),
            in_flight=job.in_flight(),
            rate=self._rates.rate(self._upstream_of(job)),
        )


def _first_of(jobs: "list[JobWork]") -> "list[JobWork]":
    counts: Counter[str] = Counter()
    found: list[JobWork] = []
    for job in jobs:
        waits = job.has_unsent() and counts[job.record.caller] < FIRST_JOBS
        if waits:
            counts[job.record.caller] += 1
        if waits or job.open or job.opening:
            found.append(job)
    return found


def caller_caps(jobs: "Sequence[JobWork]", capacity: int) -> dict[str, int]:
    """Return how many items of each caller may be in flight while others have items too."""
    weights: dict[str, int] = {}
    for job in jobs:
        weight = RISK_WEIGHT if job.at_risk else 1
        weights[job.record.caller] = max(weight, weights.get(job.record.caller, 0))
    total = sum(weights.values())
    return {caller: max(1, capacity * weight // total) for caller, weight in weights.items()}
