"""Decide in which order jobs get capacity, and how much of it each caller may take.

The order is that of policy.deadlines: least slack first. Alone it would let one caller with
many early jobs take everything for hours. So while several callers have work for an upstream,
each is held to an equal part of the capacity, a caller with a job at risk to a part several
times as large; what one cannot use goes to the others, in the same order.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Final

from papayapier.policy import deadlines

if TYPE_CHECKING:
    from papayapier.batch.work import JobWork
    from papayapier.clock import Clock

ORDER_MS: Final = 100
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
        """Take in what ended since the last update; idle upstreams keep their estimate."""
        for upstream in busy:
            recent = self._ended.pop(upstream, 0) / max(1, elapsed_ms)
            known = self._rates.get(upstream)
            if known is None:
                self._rates[upstream] = recent
            else:
                self._rates[upstream] = known + SMOOTHING * (recent - known)

    def rate(self, upstream: str) -> float:
        """Return items per ms; 0 when nothing is known."""
        return self._rates.get(upstream, 0.0)


class Turns:
    """Keep the order of the jobs, and renew it now and then."""

    def __init__(
        self, clock: "Clock", rates: Rates, upstream_of: "Callable[[JobWork], str]"
    ) -> None:
        self._clock = clock
        self._rates = rates
        self._upstream_of = upstream_of
        self._turns: dict[str, list[JobWork]] = {}
        self._ordered_ms: int | None = None

    def forget(self) -> None:
        """Order anew next time, because jobs have come or gone."""
        self._ordered_ms = None

    def by_upstream(self, jobs: "Iterable[JobWork]") -> "dict[str, list[JobWork]]":
        """Return the jobs of each upstream, the one to be served first in front."""
        now = self._clock.now()
        # Ordering looks at every task of every job; done for each slice of items it would
        # take more time than the items.
        if self._ordered_ms is None or now - self._ordered_ms >= ORDER_MS:
            self._turns = self._order([job for job in jobs if job.runs()])
            self._ordered_ms = now
        return self._turns

    def upstreams(self) -> int:
        """Return how many upstreams have jobs."""
        return len(self._turns)

    def _order(self, jobs: "list[JobWork]") -> "dict[str, list[JobWork]]":
        by_id = {job.record.job_id: job for job in jobs}
        turns: dict[str, list[JobWork]] = {}
        for job_id in deadlines.order([self.load(job) for job in jobs], self._clock.wall()):
            job = by_id[job_id]
            turns.setdefault(self._upstream_of(job), []).append(job)
        return turns

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


def caller_caps(jobs: "Sequence[JobWork]", capacity: int) -> dict[str, int]:
    """Return how many items of each caller may be in flight while others have work too."""
    weights: dict[str, int] = {}
    for job in jobs:
        weight = RISK_WEIGHT if job.at_risk else 1
        weights[job.record.caller] = max(weight, weights.get(job.record.caller, 0))
    total = sum(weights.values())
    return {caller: max(1, capacity * weight // total) for caller, weight in weights.items()}
