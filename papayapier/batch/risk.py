"""Tell early which jobs may miss their due time.

Every instance judges by its own part of a job: shards are spread evenly, so what is left
here and how fast it goes here stand for the whole. Only the holder of a job's home shard
reports it, so that the sum of the metric over all instances counts each job once.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from papayapier import events
from papayapier.batch.runner import job_load
from papayapier.batch.work import JobWork
from papayapier.policy import deadlines

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.batch.registry import JobRegistry

ROUND_MS: Final = 1_000
SETTLE_MS: Final = 5_000


class RiskWatch:
    """Judge the active jobs again and again."""

    def __init__(
        self, deps: "BatchDeps", registry: "JobRegistry", holds_shard: Callable[[int], bool]
    ) -> None:
        self._deps = deps
        self._registry = registry
        self._holds_shard = holds_shard

    async def run(self) -> None:
        """Judge until cancelled."""
        while True:
            await self._deps.clock.sleep(ROUND_MS)
            self.judge()

    def judge(self) -> None:
        """Judge every job, and report those at home here."""
        count = 0
        for job in self._registry.jobs.values():
            at_risk = self._is_at_risk(job)
            if self._holds_shard(job.home):
                count += at_risk
                if at_risk != job.at_risk:
                    self._report(job, at_risk)
            job.at_risk = at_risk
        self._deps.metrics.jobs_at_risk.set(count)

    def _is_at_risk(self, job: JobWork) -> bool:
        now = self._deps.clock.now()
        load = job_load(job, now)
        wall = self._deps.clock.wall()
        # A job that has only just begun has no rate yet that says anything.
        if now - job.seen_ms < SETTLE_MS:
            return load.items_left > 0 and wall >= load.due_wall_ms
        return deadlines.at_risk(load, load.rate, wall)

    def _report(self, job: JobWork, at_risk: bool) -> None:
        load = job_load(job, self._deps.clock.now())
        event = events.JOB_AT_RISK if at_risk else events.JOB_SAFE
        events.emit(
            event,
            job=job.record.job_id,
            due_ms=load.due_wall_ms,
            items_left=load.items_left,
            items_per_s=round(load.rate * 1000, 2),
        )
