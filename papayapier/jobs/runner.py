"""Run the items of the jobs that this instance owns, in the capacity that online calls leave free.

The owner of a job is chosen by rendezvous hashing over the live instances that run batch and may
use a replica of the job's upstream. If two instances disagree about the owner for a while, some
items run twice; commits.py ensures that their results are still listed once.
"""

from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok

from papayapier import events
from papayapier.config.route_table import Route, RouteTable
from papayapier.jobs.commits import CommitDeps, WrittenGroup, commit, load_groups
from papayapier.jobs.groups import read_with_items
from papayapier.jobs.notifications import SentNotifications
from papayapier.jobs.owned_job import ItemState, OwnedJob
from papayapier.jobs.owners import JobOwners
from papayapier.jobs.progress import ItemProgress
from papayapier.jobs.records import JOBS_PREFIX, ItemOutcome, JobRecord, read_record
from papayapier.jobs.route_checks import RouteCheckDeps, RouteChecks
from papayapier.jobs.runs import RunDeps, Runs
from papayapier.jobs.takeover import JobTakeover, TakeoverDeps
from papayapier.lasting_tasks import call_guarded, run_always
from papayapier.policy.ownership import rendezvous_owner
from papayapier.store.api import Change, Store, ValueBound

if TYPE_CHECKING:
    from papayapier.clock import Timer

TICK_MS: Final = 50
# Batches several triggers into one round, because each round examines every run. The delay is too
# short to matter for a waiting online call.
ROUND_DELAY_MS: Final = 20
LOAD_RETRY_MS: Final = 300
# Saved progress of jobs that have not appeared by then is dropped, as these jobs have been deleted.
SAVED_PROGRESS_KEPT_MS: Final = 120_000


class RunnerDeps(NamedTuple):
    """Group the dependencies of JobRunner.

    bound is that of the store's values. read_configuration reads the routes from the store, and
    returns whether those in force are at least as new. notify_groups is called with a job's id, its
    number of groups, and the last group if this instance wrote it.
    """

    runs: RunDeps
    store: Store
    bound: ValueBound
    table: Callable[[], RouteTable | None]
    read_configuration: Callable[[], Awaitable[bool]]
    notify_groups: Callable[[str, int, WrittenGroup | None], None]
    notifications: SentNotifications


class JobRunner:
    """Manage the jobs that this instance owns and the runs of their items."""

    def __init__(self, deps: RunnerDeps) -> None:
        self._deps = deps
        self._clock = deps.runs.clock
        self._runs = Runs(deps.runs, self._commit, self.run_round)
        self._saved_progress: dict[str, list[ItemProgress]] = {}
        self._open: dict[str, JobRecord] = {}
        # Monotonic time at which each job became known here.
        self._known_ms: dict[str, int] = {}
        # Jobs that are known only from this keeper's disk, not from the store.
        self._local_only: set[str] = set()
        # Cancelled or complete jobs; they may be reported again from a disk.
        self._closed: set[str] = set()
        # Jobs that were completed while this instance owned them.
        self._completed: set[str] = set()
        self._owned: dict[str, OwnedJob] = {}
        self._owners = JobOwners(deps.runs.load_tracker, deps.table, deps.runs.sharing)
        self.takeover = JobTakeover(
            TakeoverDeps(
                self._clock,
                deps.runs.instance_id,
                self._open,
                self._owned,
                self._closed,
                self._owners,
                self._runs.has_free_slot,
                self.update_owned_jobs,
            )
        )
        self._timer: Timer | None = None
        self._round_timer: Timer | None = None
        self._stopping = False
        self._in_round = False
        self._route_checks = RouteChecks(
            RouteCheckDeps(
                deps.runs.clock, deps.read_configuration, self.schedule_round, self._give_up
            )
        )
        self._last_round_ms = self._clock.now()
        self._commits = CommitDeps(
            deps.runs.clock,
            deps.runs.rand,
            deps.store,
            deps.bound,
            self._runs.cancel_items,
            self._notify_groups,
            deps.notifications,
        )

    def start(self) -> None:
        """Start the periodic rounds."""
        self._clock.call_later(SAVED_PROGRESS_KEPT_MS, self._saved_progress.clear)
        self._tick()

    def restore_progress(self, items: Sequence[ItemProgress]) -> None:
        """Keep item progress saved by an earlier run, to be restored when its job is loaded."""
        for saved in items:
            self._saved_progress.setdefault(saved.job_id, []).append(saved)

    def progress(self) -> list[ItemProgress]:
        """Return the progress of the items of loaded jobs, and saved progress not yet restored."""
        owned = (item for job in self._owned.values() if job.loaded for item in job.progress())
        waiting = (item for items in self._saved_progress.values() for item in items)
        return [*owned, *waiting]

    def stop(self) -> None:
        """Cancel every run; results of finished items are still written."""
        self._stopping = True
        self.takeover.stop()
        self._runs.cancel_all()

    def close(self) -> None:
        """Stop the timers."""
        for timer in (self._timer, self._round_timer):
            if timer is not None and timer.active():
                timer.cancel()

    def unwritten_count(self) -> int:
        """Return the number of results that are not yet in the store."""
        return sum(len(job.unwritten) for job in self._owned.values())

    def running_count(self) -> int:
        """Return the number of running items."""
        return self._runs.count()

    def owns_closed(self, job_id: str) -> bool:
        """Return whether this instance is responsible for a job that is complete or cancelled.

        A cancelled job has no owner; one of all instances that run batch is responsible for it.
        """
        if job_id in self._open or job_id in self._owned:
            return False
        responsible_if_cancelled = (
            rendezvous_owner(job_id, self._deps.runs.sharing()) == self._deps.runs.instance_id
        )
        return job_id in self._completed or responsible_if_cancelled

    def stored_record(self, job_id: str) -> JobRecord | None:
        """Return a job's record if it was read from the store and contains all items."""
        record = self._open.get(job_id)
        return None if record is None or record.parts or job_id in self._local_only else record

    def on_change(self, change: Change) -> None:
        """Handle a change of a job's record in the store."""
        job_id = change.key.removeprefix(JOBS_PREFIX)
        if change.deleted:
            self._forget(job_id)
            return
        read = read_record(change.value)
        if isinstance(read, Err):
            events.emit(events.INPUT_MISSING, job=job_id, reason=read.err_value)
            return
        if read.ok_value.ended:
            self._end_job(job_id)
            return
        self._local_only.discard(job_id)
        self._open[job_id] = read.ok_value
        self.update_owned_jobs()

    def on_stored_locally(self, job_id: str, record: JobRecord) -> None:
        """Run a job that was accepted and stored locally while the store is unavailable.

        The owner of a job is the first keeper to which it is replicated. Outages last five to nine
        seconds and results are due in eighteen, so the job must not wait for the store.
        """
        if job_id in self._open or job_id in self._closed:
            return
        self._open[job_id] = record
        self._local_only.add(job_id)
        self.update_owned_jobs()

    def update_owned_jobs(self) -> None:
        """Recompute which jobs this instance is to run, and take or release jobs accordingly."""
        self._owners.refresh()
        for job_id, record in list(self._open.items()):
            call_guarded("owner of a job", self._update_owned, job_id, record)

    def _update_owned(self, job_id: str, record: JobRecord) -> None:
        """Take or release one job; an error in it must not keep the others from being taken."""
        is_mine = self.takeover.runs_here(job_id, self._owners.owner(job_id, record))
        if is_mine and job_id not in self._owned and not self._stopping:
            self._own(job_id, record)
        elif not is_mine and job_id in self._owned:
            self._disown(job_id)

    def _own(self, job_id: str, record: JobRecord) -> None:
        job = OwnedJob(job_id, record)
        job.last_progress_ms = self._clock.now()
        self._known_ms.setdefault(job_id, job.last_progress_ms)
        self._owned[job_id] = job
        events.emit(events.RUN_TAKEN, job=job_id, items=record.total)
        self._start_task("loading of a job", partial(self._load, job))

    def _disown(self, job_id: str) -> None:
        job = self._owned[job_id]
        events.emit(events.RUN_RELEASED, job=job_id, listed=job.listed)
        self._runs.cancel_job(job)
        if job.loaded:
            # This instance may own the job again, for example if another keeper was unreachable for
            # a moment.
            self.restore_progress(job.progress())
        if not job.unwritten:
            del self._owned[job_id]

    def _end_job(self, job_id: str) -> None:
        self._local_only.discard(job_id)
        self._closed.add(job_id)
        self.takeover.forget(job_id)
        self._owners.forget(job_id)
        self._saved_progress.pop(job_id, None)
        job = self._owned.pop(job_id, None)
        if self._open.pop(job_id, None) is not None:
            events.emit(events.JOB_ENDED, job=job_id, reason="cancelled")
        if job is not None:
            job.items.clear()
            self._runs.cancel_job(job)

    def _forget(self, job_id: str) -> None:
        self._open.pop(job_id, None)
        self._known_ms.pop(job_id, None)
        self._local_only.discard(job_id)
        self._closed.discard(job_id)
        self._completed.discard(job_id)
        self.takeover.forget(job_id)
        self._owners.forget(job_id)
        self._saved_progress.pop(job_id, None)
        job = self._owned.pop(job_id, None)
        if job is not None:
            self._runs.cancel_job(job)

    async def _load(self, job: OwnedJob) -> None:
        # The groups of a locally stored job cannot be read now; a conflict at the first write of a
        # group reveals whether there are any.
        job.loaded = job.job_id in self._local_only
        while self._owned.get(job.job_id) is job and not job.loaded:
            with_items = await read_with_items(self._deps.store, job.job_id, job.record)
            if isinstance(with_items, Ok):
                job.items = {item.id: ItemState(item) for item in with_items.ok_value.items}
                job.groups = job.listed = 0
                loaded = await load_groups(self._commits, job)
                job.loaded = isinstance(loaded, Ok)
            if not job.loaded:
                await self._clock.sleep(LOAD_RETRY_MS)
        for saved in self._saved_progress.pop(job.job_id, ()):
            job.restore(saved)
        if job.unwritten:
            self._commit(job)
        self._close_if_complete(job)
        self.run_round()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_MS, self._tick)
        if self._open:
            self._review_if_changed()
            if self._clock.now() - self._last_round_ms >= TICK_MS:
                self.run_round()

    def _review_if_changed(self) -> None:
        # Peers' reports about an unreachable instance also change which instances share replicas,
        # and no event signals that.
        changed = self._owners.refresh()
        taken_back = self.takeover.expire(self._deps.runs.sharing())
        if changed or taken_back:
            self.update_owned_jobs()

    def schedule_round(self) -> None:
        """Run one round soon for all triggers until then.

        An instance of a large fleet receives hundreds of heartbeats a second, and each of them
        triggers a round.
        """
        # Rounds without any job took a third of an idle keeper's processor time, 0.029 of a core.
        if not self._owned:
            return
        if self._round_timer is None or not self._round_timer.active():
            self._round_timer = self._clock.call_later(ROUND_DELAY_MS, self.run_round)

    def run_round(self) -> None:
        """Run one round: free the slots that online calls need, and start items in free slots."""
        table = self._deps.table()
        if self._stopping or table is None:
            return
        if self._in_round:
            # Called at the end of a run that this round cancelled; the next round uses its slot.
            self.schedule_round()
            return
        self._in_round = True
        self._last_round_ms = self._clock.now()
        try:
            self._runs.run_round(self._jobs_by_due_time(table))
        finally:
            self._in_round = False

    def _jobs_by_due_time(self, table: RouteTable) -> list[tuple[OwnedJob, Route]]:
        jobs = []
        for job in list(self._owned.values()):
            if not job.loaded or not job.items:
                continue
            route = table.find(job.record.host, job.record.path)
            known_ms = self._clock.now() - self._known_ms[job.job_id]
            if not self._route_checks.may_run(job, table, route, known_ms) or route is None:
                continue
            job.due_ms = job.record.accepted_ms + route.due_ms
            jobs.append((job.due_ms, job.job_id, job, route))
        return [(entry[2], entry[3]) for entry in sorted(jobs, key=lambda entry: entry[:2])]

    def _give_up(self, job: OwnedJob) -> None:
        self._runs.cancel_job(job)
        for item_id in list(job.items):
            job.finish(item_id, ItemOutcome.GIVEN_UP)
        self._commit(job)

    def _notify_groups(self, job: OwnedJob, written: WrittenGroup | None) -> None:
        self._deps.notify_groups(job.job_id, job.groups, written)

    def _commit(self, job: OwnedJob) -> None:
        self._start_task("results of a job", partial(self._commit_and_close, job))

    async def _commit_and_close(self, job: OwnedJob) -> None:
        await commit(self._commits, job)
        self._close_if_complete(job)

    def _close_if_complete(self, job: OwnedJob) -> None:
        if job.is_complete() and not job.committing and self._owned.get(job.job_id) is job:
            del self._owned[job.job_id]
            self._open.pop(job.job_id, None)
            self._closed.add(job.job_id)
            self._completed.add(job.job_id)
            self._owners.forget(job.job_id)
            events.emit(events.JOB_ENDED, job=job.job_id, reason="complete", listed=job.listed)

    def _start_task(self, name: str, make_coroutine: Callable[[], Any]) -> None:
        run_always(self._clock, name, make_coroutine)
