"""Run the tasks of the shards that this instance holds, from adoption to hand-over.

The components are independent of each other: the opener reads tasks, the feeder passes their
items to the dispatch, the sender processes their outcomes, and commits store progress and
results.
"""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.batch.active_jobs import ActiveJob, OpenTask
from papayapier.batch.commits import CommitCallbacks, TaskCommitter
from papayapier.batch.fair_scheduling import FairScheduler, ItemRates
from papayapier.batch.item_sender import ItemSender
from papayapier.batch.item_submitter import ItemSubmitter, SubmitterCallbacks
from papayapier.batch.opening import Grant
from papayapier.batch.records import Tally
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

    recorded: Callable[[ActiveJob], None]
    superseded: Callable[[ActiveJob], None]


class Runner:
    """Run the tasks of the shards that this instance holds."""

    def __init__(
        self, deps: "BatchDeps", holder: str, holds: LeaseQueries, calls: RunnerCallbacks
    ) -> None:
        self.jobs: dict[str, ActiveJob] = {}
        self._deps = deps
        self._holds = holds
        self._calls = calls
        commit_calls = CommitCallbacks(
            holds.may_commit, self._on_saved, self._on_recorded, self._on_given_up, self._on_lost
        )
        self._commits = TaskCommitter(deps, holder, commit_calls)
        self.rates = ItemRates()
        self.turns = FairScheduler(
            deps.clock, self.rates, lambda job: self.profile_of(job).upstream
        )
        self._sender = ItemSender(deps, self._may_send, self._on_change, self.rates.on_ended)
        self._opener = TaskOpener(deps, holds.grant, self.profile_of, self._on_opened, self._go_on)
        feeder_calls = SubmitterCallbacks(
            self.profile_of,
            self._may_send,
            self._sender.send,
            self._commits.kick,
            self._opener.open_ahead,
        )
        self._feeder = ItemSubmitter(deps, self.jobs, self.turns, self.rates, feeder_calls)
        self._tick_timer: Timer | None = None
        self._stopping = False
        deps.dispatch.watch_room(self._go_on)

    # BatchJobService and shards

    def adopt(self, job: ActiveJob, shard: int) -> None:
        """Run the unfinished tasks of a job in a held shard."""
        self.jobs[job.record.job_id] = job
        job.adopt(shard)
        self.turns.forget()
        self._keep_ticking()
        self._feeder.feed_soon()

    def drop_job(self, job: ActiveJob) -> None:
        """Stop all tasks of a job at once, without storing their progress."""
        self.jobs.pop(job.record.job_id, None)
        self.turns.forget()
        job.pending.clear()
        job.opening.clear()
        for task in list(job.open.values()):
            self._drop(task)

    def drop_shard(self, shard: int) -> None:
        """Stop the tasks of a shard that another instance holds now."""
        for job in self.jobs.values():
            job.forget(shard)
            for task in [task for task in job.open.values() if task.shard == shard]:
                self._drop(task)

    async def hand_over(self, shard: int, limit_ms: int) -> None:
        """Stop the tasks of a shard and store their progress.

        Repeatable items are stopped; other items that were sent run to their end, for at most
        the limit.
        """
        until = self._deps.clock.now() + limit_ms
        self._stop_shard(shard, patient=True)
        while any(self._open_in(shard)):
            if self._deps.clock.now() >= until:
                self._stop_shard(shard, patient=False)
                until = self._deps.clock.now() + limit_ms
            if not self._holds.may_commit(shard):
                self.drop_shard(shard)
            await self._deps.clock.sleep(HAND_OVER_POLL_MS)

    def _stop_shard(self, shard: int, patient: bool) -> None:
        for job in self.jobs.values():
            job.forget(shard)
        for task in list(self._open_in(shard)):
            task.stopping = True
            idempotent = task.state.rules.idempotent
            for run in list(task.running.values()):
                if run.deferred is not None and (idempotent or not patient or not run.maybe_sent):
                    run.deferred.cancel()
            self._commits.kick(task)

    def _open_in(self, shard: int) -> Iterator[OpenTask]:
        for job in self.jobs.values():
            for task in list(job.open.values()):
                if task.shard == shard:
                    yield task

    def _drop(self, task: OpenTask) -> None:
        task.closed = True
        task.job.open.pop(task.span.task, None)
        for run in list(task.running.values()):
            if run.deferred is not None:
                run.deferred.cancel()
        task.running.clear()

    def begin_stop(self) -> None:
        """Send and open no more items."""
        self._stopping = True
        self._feeder.stop()

    def stop(self) -> None:
        """Stop the timer."""
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()

    def bytes_held(self) -> int:
        """Return the size of all data that open tasks keep in memory."""
        return self._feeder.bytes_held()

    def profile_of(self, job: ActiveJob) -> "Profile":
        """Return the current profile; items that must not be repeated at acceptance stay so."""
        accepted = job.record.profile
        current = self._deps.profile(accepted.name) or accepted
        if current.idempotent and not accepted.idempotent:
            return current._replace(idempotent=False)
        return current

    def _may_send(self, task: OpenTask) -> bool:
        if task.closed or task.stopping or self._stopping or not task.job.runs():
            return False
        return self._holds.may_send(task.shard, task.state.rules.idempotent)

    # Events

    def _go_on(self) -> None:
        self._feeder.feed_soon()

    def on_holds_changed(self) -> None:
        """Continue what waited for the confirmation of a lease."""
        for job in list(self.jobs.values()):
            for task in list(job.open.values()):
                self._commits.kick(task)
        self._feeder.feed_soon()

    def _on_change(self, task: OpenTask) -> None:
        self._commits.kick(task)
        self._feeder.feed_soon()

    def _on_opened(self, task: OpenTask) -> None:
        if self._stopping:
            return
        task.job.open[task.span.task] = task
        self._commits.on_opened(task)
        self._on_change(task)

    def _on_saved(self, task: OpenTask) -> None:
        task.state.wake(self._deps.clock.now())
        self._feeder.feed_soon()

    def _on_recorded(self, task: OpenTask, tally: Tally) -> None:
        self._drop(task)
        task.job.on_done(task.span.task, tally)
        self._calls.recorded(task.job)
        self._feeder.feed_soon()

    def _on_given_up(self, task: OpenTask) -> None:
        self._drop(task)
        if task.reopen:
            task.job.pending.append(task.span.task)
            self._feeder.feed_soon()

    def _on_lost(self, task: OpenTask) -> None:
        self._drop(task)
        self._calls.superseded(task.job)

    def _keep_ticking(self) -> None:
        if self._tick_timer is None and not self._stopping:
            self._tick_timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        """Wake due retries and store due checkpoints."""
        self._tick_timer = None
        now = self._deps.clock.now()
        for job in list(self.jobs.values()):
            for task in list(job.open.values()):
                task.state.wake(now)
                self._commits.kick(task)
        self._feeder.feed_soon()
        if self.jobs:
            self._keep_ticking()
