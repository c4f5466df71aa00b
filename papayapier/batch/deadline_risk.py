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
        self._judged_ms = deps.clock.now()

    async def run(self) -> None:
        """Assess all jobs periodically until cancelled."""
        while True:
            await self._deps.clock.sleep(CHECK_INTERVAL_MS)
            self.judge()

    def judge(self) -> None:
        """Assess every job, and report those whose home shard is held here."""
        now = self._deps.clock.now()
        turns = self._runner.turns.by_upstream(self._runner.jobs.values())
        busy = [name for name, jobs in turns.items() if any(job.in_flight() for job in jobs)]
        self._runner.rates.update(now - self._judged_ms, busy)
        self._judged_ms = now
        for jobs in turns.values():
            self._judge_in_turn(jobs)
        judged = {job.record.job_id for jobs in turns.values() for job in jobs}
        mine = [job for job in self._registry.jobs.values() if self._holds_shard(job.home)]
        for job in mine:
            if job.record.job_id not in judged:
                self._judge_elsewhere(job, now)
        self._deps.metrics.jobs_at_risk.set(sum(job.at_risk for job in mine))

    def _judge_in_turn(self, jobs: "list[ActiveJob]") -> None:
        in_front = 0
        for job in jobs:
            load = self._runner.turns.load(job)
            in_front += load.items_left
            waiting = load._replace(items_left=in_front if load.items_left else 0)
            self._set(job, load, deadlines.at_risk(waiting, load.rate, self._deps.clock.wall()))

    def _judge_elsewhere(self, job: "ActiveJob", now: int) -> None:
        """Assess a job that has no items left on this instance, from its recorded progress."""
        done = job.items_done()
        elapsed = max(1, now - job.seen_ms)
        left = job.record.items() - done
        load = self._runner.turns.load(job)._replace(items_left=left, rate=done / elapsed)
        self._set(job, load, deadlines.at_risk(load, load.rate, self._deps.clock.wall()))

    def _set(self, job: "ActiveJob", load: deadlines.JobLoad, at_risk: bool) -> None:
        if at_risk != job.at_risk and self._holds_shard(job.home):
            self._report(load, at_risk)
        job.at_risk = at_risk

    def _report(self, load: deadlines.JobLoad, at_risk: bool) -> None:
        event = events.JOB_AT_RISK if at_risk else events.JOB_SAFE
        events.emit(
            event,
            job=load.job_id,
            due_ms=load.due_wall_ms,
            items_left=load.items_left,
            items_per_s=round(load.rate * MS_PER_S, 2),
        )
