"""Run the tasks of the shards that this instance holds, from adoption to hand-over.

The components are independent of each other: the opener reads tasks, the submitter passes
their items to the dispatch, the sender processes their outcomes, and the committer stores
progress and results.
"""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.batch.active_jobs import ActiveJob, OpenTask
from papayapier.batch.commits import CommitCallbacks, TaskCommitter
from papayapier.batch.fair_scheduling import FairScheduler, ItemRates
from papayapier.batch.item_sender import ItemSender
from papayapier.batch.item_submitter import ItemSubmitter, SubmitterCallbacks
from papayapier.batch.records import Tally
from papayapier.batch.task_input import Grant
from papayapier.batch.task_opener import TaskOpener

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.clock import Timer
    from papayapier.config.profiles import Profile

TICK_MS: Final = 500
HAND_OVER_POLL_MS: Final = 20


class LeaseQueries(NamedTuple):
    """Group the runner's queries about leases.

    grant returns the lease under which a job's tasks in a shard may be opened. may_send
    returns whether items of a shard may be sent; its second argument states whether they may
    be repeated. may_commit returns whether the shard's progress and results may be stored now.
    """

    grant: Callable[[ActiveJob, int], Grant | None]
    may_send: Callable[[int, bool], bool]
    may_commit: Callable[[int], bool]


class RunnerCallbacks(NamedTuple):
    """Group the runner's callbacks: a task is recorded, or another holder has the task."""

    task_recorded: Callable[[ActiveJob], None]
    task_superseded: Callable[[ActiveJob], None]


class Runner:
    """Run the tasks of the shards that this instance holds."""

    def __init__(
        self, deps: "BatchDeps", holder: str, leases: LeaseQueries, callbacks: RunnerCallbacks
    ) -> None:
        self.jobs: dict[str, ActiveJob] = {}
        self._deps = deps
        self._leases = leases
        self._callbacks = callbacks
        commit_callbacks = CommitCallbacks(
            leases.may_commit,
            self._on_saved,
            self._on_recorded,
            self._on_handed_over,
            self._on_superseded,
        )
        self._committer = TaskCommitter(deps, holder, commit_callbacks)
        self.rates = ItemRates()
        self.scheduler = FairScheduler(
            deps.clock, self.rates, lambda job: self.profile_of(job).upstream
        )
        self._sender = ItemSender(deps, self._may_send, self._on_task_changed, self.rates.on_ended)
        self._opener = TaskOpener(
            deps, leases.grant, self.profile_of, self._on_opened, self._submit_soon
        )
        submitter_callbacks = SubmitterCallbacks(
            self.profile_of,
            self._may_send,
            self._sender.send,
            self._committer.request_save,
            self._opener.open_ahead,
        )
        self._submitter = ItemSubmitter(
            deps, self.jobs, self.scheduler, self.rates, submitter_callbacks
        )
        self._tick_timer: Timer | None = None
        self._stopping = False
        deps.dispatch.watch_capacity(self._submit_soon)

    # Jobs and shards

    def adopt(self, job: ActiveJob, shard: int) -> None:
        """Run the unfinished tasks of a job in a held shard."""
        self.jobs[job.record.job_id] = job
        job.adopt(shard)
        self.scheduler.invalidate()
        self._schedule_tick()
        self._submitter.submit_soon()

    def drop_job(self, job: ActiveJob) -> None:
        """Stop all tasks of a job at once, without storing their progress."""
        self.jobs.pop(job.record.job_id, None)
        self.scheduler.invalidate()
        job.pending.clear()
        job.opening.clear()
        for task in list(job.open.values()):
            self._drop_task(task)

    def drop_shard(self, shard: int) -> None:
        """Stop the tasks of a shard that another instance holds now."""
        for job in self.jobs.values():
            job.drop_pending(shard)
            for task in [task for task in job.open.values() if task.shard == shard]:
                self._drop_task(task)

    async def hand_over(self, shard: int, limit_ms: int) -> None:
        """Stop the tasks of a shard and store their progress.

        Repeatable items are stopped; other items that were sent run to their end, for at most
        limit_ms.
        """
        deadline_ms = self._deps.clock.now() + limit_ms
        self._stop_shard(shard, wait_for_sent=True)
        while any(self._open_tasks(shard)):
            if self._deps.clock.now() >= deadline_ms:
                self._stop_shard(shard, wait_for_sent=False)
                deadline_ms = self._deps.clock.now() + limit_ms
            if not self._leases.may_commit(shard):
                self.drop_shard(shard)
            await self._deps.clock.sleep(HAND_OVER_POLL_MS)

    def _stop_shard(self, shard: int, wait_for_sent: bool) -> None:
        for job in self.jobs.values():
            job.drop_pending(shard)
        for task in list(self._open_tasks(shard)):
            task.stopping = True
            idempotent = task.state.rules.idempotent
            for run in list(task.running.values()):
                if run.deferred is not None and (
                    idempotent or not wait_for_sent or not run.maybe_sent
                ):
                    run.deferred.cancel()
            self._committer.request_save(task)

    def _open_tasks(self, shard: int) -> Iterator[OpenTask]:
        for job in self.jobs.values():
            for task in list(job.open.values()):
                if task.shard == shard:
                    yield task

    def _drop_task(self, task: OpenTask) -> None:
        task.closed = True
        task.job.open.pop(task.span.task, None)
        for run in list(task.running.values()):
            if run.deferred is not None:
                run.deferred.cancel()
        task.running.clear()

    def begin_stop(self) -> None:
        """Send and open no more items."""
        self._stopping = True
        self._submitter.stop()

    def stop(self) -> None:
        """Stop the timer."""
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()

    def buffered_bytes(self) -> int:
        """Return the size of all data that open tasks keep in memory."""
        return self._submitter.buffered_bytes()

    def profile_of(self, job: ActiveJob) -> "Profile":
        """Return the current profile; a job accepted as non-idempotent stays non-idempotent."""
        accepted = job.record.profile
        current = self._deps.find_profile(accepted.name) or accepted
        if current.idempotent and not accepted.idempotent:
            return current._replace(idempotent=False)
        return current

    def _may_send(self, task: OpenTask) -> bool:
        if task.closed or task.stopping or self._stopping or not task.job.is_running():
            return False
        return self._leases.may_send(task.shard, task.state.rules.idempotent)

    # Events

    def _submit_soon(self) -> None:
        self._submitter.submit_soon()

    def on_leases_confirmed(self) -> None:
        """Continue what waited for the confirmation of a lease."""
        for job in list(self.jobs.values()):
            for task in list(job.open.values()):
                self._committer.request_save(task)
        self._submitter.submit_soon()

    def _on_task_changed(self, task: OpenTask) -> None:
        self._committer.request_save(task)
        self._submitter.submit_soon()

    def _on_opened(self, task: OpenTask) -> None:
        if self._stopping:
            return
        task.job.open[task.span.task] = task
        self._committer.on_opened(task)
        self._on_task_changed(task)

    def _on_saved(self, task: OpenTask) -> None:
        task.state.wake_retries(self._deps.clock.now())
        self._submitter.submit_soon()

    def _on_recorded(self, task: OpenTask, tally: Tally) -> None:
        self._drop_task(task)
        task.job.on_recorded(task.span.task, tally)
        self._callbacks.task_recorded(task.job)
        self._submitter.submit_soon()

    def _on_handed_over(self, task: OpenTask) -> None:
        self._drop_task(task)
        if task.reopen:
            task.job.pending.append(task.span.task)
            self._submitter.submit_soon()

    def _on_superseded(self, task: OpenTask) -> None:
        self._drop_task(task)
        self._callbacks.task_superseded(task.job)

    def _schedule_tick(self) -> None:
        if self._tick_timer is None and not self._stopping:
            self._tick_timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        """Wake due retries and store due checkpoints."""
        self._tick_timer = None
        if self.jobs:
            self._schedule_tick()
        now = self._deps.clock.now()
        for job in list(self.jobs.values()):
            for task in list(job.open.values()):
                task.state.wake_retries(now)
                self._committer.request_save(task)
        self._submitter.submit_soon()
