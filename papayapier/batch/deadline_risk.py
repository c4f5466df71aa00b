"""Detect early which jobs may miss their due time.

Shards are spread evenly, so each instance estimates a job's progress from its own shards: the
items left here and the rate here stand for the whole job. A job waits for the jobs ahead of
it, so their items are counted as well. Only the holder of a job's home shard reports the job,
so that the sum of the metric over all instances counts each job once.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from papayapier import events
from papayapier.clock import MS_PER_S
from papayapier.policy import deadlines

if TYPE_CHECKING:
    from papayapier.batch.active_jobs import ActiveJob
    from papayapier.batch.api import BatchDeps
    from papayapier.batch.registry import JobRegistry
    from papayapier.batch.runner import Runner

CHECK_INTERVAL_MS: Final = 1_000


class DeadlineRiskMonitor:
    """Assess the active jobs periodically."""

    def __init__(
        self,
        deps: "BatchDeps",
        registry: "JobRegistry",
        runner: "Runner",
        holds_shard: Callable[[int], bool],
    ) -> None:
        self._deps = deps
        self._registry = registry
        self._runner = runner
        self._holds_shard = holds_shard
        self._assessed_ms = deps.clock.now()

    async def run(self) -> None:
        """Assess all jobs periodically until cancelled."""
        while True:
            await self._deps.clock.sleep(CHECK_INTERVAL_MS)
            self.assess_all()

    def assess_all(self) -> None:
        """Assess every job, and report those whose home shard is held here."""
        now = self._deps.clock.now()
        jobs_by_upstream = self._runner.scheduler.order_by_upstream(self._runner.jobs.values())
        busy = [
            name for name, jobs in jobs_by_upstream.items() if any(job.in_flight() for job in jobs)
        ]
        self._runner.rates.update(now - self._assessed_ms, busy)
        self._assessed_ms = now
        for jobs in jobs_by_upstream.values():
            self._assess_queued(jobs)
        assessed = {job.record.job_id for jobs in jobs_by_upstream.values() for job in jobs}
        home_jobs = [job for job in self._registry.jobs.values() if self._holds_shard(job.home)]
        for job in home_jobs:
            if job.record.job_id not in assessed:
                self._assess_remote(job, now)
        self._deps.metrics.jobs_at_risk.set(sum(job.at_risk for job in home_jobs))

    def _assess_queued(self, jobs: "list[ActiveJob]") -> None:
        items_ahead = 0
        for job in jobs:
            load = self._runner.scheduler.load(job)
            items_ahead += load.items_left
            waiting = load._replace(items_left=items_ahead if load.items_left else 0)
            self._set_at_risk(
                job, load, deadlines.at_risk(waiting, load.rate, self._deps.clock.wall())
            )

    def _assess_remote(self, job: "ActiveJob", now: int) -> None:
        """Assess a job that has no items left on this instance, from its recorded progress."""
        ended_items = job.items_done()
        elapsed = max(1, now - job.first_seen_ms)
        left = job.record.item_count() - ended_items
        load = self._runner.scheduler.load(job)._replace(
            items_left=left, rate=ended_items / elapsed
        )
        self._set_at_risk(job, load, deadlines.at_risk(load, load.rate, self._deps.clock.wall()))

    def _set_at_risk(self, job: "ActiveJob", load: deadlines.RemainingJob, at_risk: bool) -> None:
        if at_risk != job.at_risk and self._holds_shard(job.home):
            self._report(load, at_risk)
        job.at_risk = at_risk

    def _report(self, load: deadlines.RemainingJob, at_risk: bool) -> None:
        event = events.JOB_AT_RISK if at_risk else events.JOB_SAFE
        events.emit(
            event,
            job=load.job_id,
            due_ms=load.due_wall_ms,
            items_left=load.items_left,
            items_per_s=round(load.rate * MS_PER_S, 2),
        )
