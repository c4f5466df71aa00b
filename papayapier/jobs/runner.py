"""Run the items of the jobs that this instance owns, in the room that online calls leave.

Who owns a job follows from rendezvous hashing over the instances that run batch, are heard from and
may use a replica of the job's upstream. Two that disagree for a while run some items twice;
commits.py keeps results right.
"""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure

from papayapier import events
from papayapier.config.route_table import Route, RouteTable
from papayapier.jobs.commits import CommitDeps, Written, commit, load_groups
from papayapier.jobs.groups import read_whole
from papayapier.jobs.looks import JobLooks, LookDeps
from papayapier.jobs.news import GroupsTold
from papayapier.jobs.owners import JobOwners
from papayapier.jobs.progress import ItemProgress
from papayapier.jobs.records import JOBS, ItemEnd, JobRecord, read_record
from papayapier.jobs.runs import RunDeps, Runs
from papayapier.jobs.work import Item, JobWork
from papayapier.policy.ownership import owner
from papayapier.store.api import Change, Store

if TYPE_CHECKING:
    from papayapier.clock import Timer

TICK_MS: Final = 50
# Far below the time in which a waiting online call would notice; each round looks at every run.
SOON_MS: Final = 20
LOAD_AGAIN_MS: Final = 300
# What the disk holds of jobs that have not shown up by then is of jobs that are deleted by now.
RECALL_MS: Final = 120_000


class RunnerDeps(NamedTuple):
    """Group what the runner works with.

    tell_groups tells how many groups a job has, and of the last one if it was written here.
    """

    runs: RunDeps
    store: Store
    table: Callable[[], RouteTable | None]
    tell_groups: Callable[[str, int, Written | None], None]
    news: GroupsTold


class JobRunner:
    """Own the jobs of this instance and the runs of their items."""

    def __init__(self, deps: RunnerDeps) -> None:
        self._deps = deps
        self._clock = deps.runs.clock
        self._runs = Runs(deps.runs, self._commit, self.pump)
        self._recalled: dict[str, list[ItemProgress]] = {}
        self._open: dict[str, JobRecord] = {}
        # Since when each job is known here, on the monotonic clock.
        self._known_ms: dict[str, int] = {}
        # Jobs that are known from this keeper's disk only.
        self._held: set[str] = set()
        # Ended or complete jobs, which may come again from a disk.
        self._over: set[str] = set()
        # Jobs that were complete while they were this instance's.
        self._completed: set[str] = set()
        self._owned: dict[str, JobWork] = {}
        self._owners = JobOwners(deps.runs.book, deps.table, deps.runs.sharing)
        self.looks = JobLooks(
            LookDeps(
                self._clock,
                deps.runs.me,
                self._open,
                self._owned,
                self._over,
                self._owners,
                self._runs.has_room,
                self.review,
            )
        )
        self._timer: Timer | None = None
        self._soon: Timer | None = None
        self._stopping = False
        self._pumping = False
        self._pumped_ms = self._clock.now()
        self._commits = CommitDeps(
            deps.runs.clock,
            deps.runs.rand,
            deps.store,
            self._runs.cancel_items,
            self._tell_groups,
            deps.news,
        )

    def start(self) -> None:
        """Begin to run."""
        self._clock.call_later(RECALL_MS, self._recalled.clear)
        self._tick()

    def recall(self, items: Sequence[ItemProgress]) -> None:
        """Take how far an earlier run of this process had come."""
        for one in items:
            self._recalled.setdefault(one.job_id, []).append(one)

    def progress(self) -> list[ItemProgress]:
        """Return how far the items of the jobs that are known whole have come."""
        owned = (one for work in self._owned.values() if work.loaded for one in work.progress())
        waiting = (one for items in self._recalled.values() for one in items)
        return [*owned, *waiting]

    def stop(self) -> None:
        """Cancel every run; what was finished is still written."""
        self._stopping = True
        self.looks.stop()
        self._runs.cancel_all()

    def close(self) -> None:
        """Stop the timers."""
        for timer in (self._timer, self._soon):
            if timer is not None and timer.active():
                timer.cancel()

    def unwritten(self) -> int:
        """Return how many results are not yet in the store."""
        return sum(len(work.unwritten) for work in self._owned.values())

    def running(self) -> int:
        """Return how many items run."""
        return self._runs.count()

    def has_closed(self, job_id: str) -> bool:
        """Tell whether a job is this instance's, and every item of it is listed or ended.

        Nobody owns an ended job; it falls to one of all.
        """
        if job_id in self._open or job_id in self._owned:
            return False
        ended_here = owner(job_id, self._deps.runs.sharing()) == self._deps.runs.me
        return job_id in self._completed or ended_here

    def record(self, job_id: str) -> JobRecord | None:
        """Return a job's record as the store has it, with all its items."""
        record = self._open.get(job_id)
        return None if record is None or record.parts or job_id in self._held else record

    def on_change(self, change: Change) -> None:
        """Take a change of a job's record."""
        job_id = change.key.removeprefix(JOBS)
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
        self._held.discard(job_id)
        self._open[job_id] = read.ok_value
        self.review()

    def on_held(self, job_id: str, record: JobRecord) -> None:
        """Take a job that was accepted while the store is away, and run it without the store.

        Whoever owns a job by its id is the first to be asked to hold it. Of five to nine seconds of
        an outage each counts, where results are due in eighteen.
        """
        if job_id in self._open or job_id in self._over:
            return
        self._open[job_id] = record
        self._held.add(job_id)
        self.review()

    def review(self) -> None:
        """Work out again which jobs are this instance's."""
        self._owners.refresh()
        for job_id, record in list(self._open.items()):
            mine = self.looks.runs_here(job_id, self._owners.owner(job_id, record))
            if mine and job_id not in self._owned and not self._stopping:
                self._own(job_id, record)
            elif not mine and job_id in self._owned:
                self._disown(job_id)

    def _own(self, job_id: str, record: JobRecord) -> None:
        work = JobWork(job_id, record)
        work.moved_ms = self._clock.now()
        self._known_ms.setdefault(job_id, work.moved_ms)
        self._owned[job_id] = work
        events.emit(events.RUN_TAKEN, job=job_id, items=record.total)
        self._spawn(self._load(work))

    def _disown(self, job_id: str) -> None:
        work = self._owned[job_id]
        events.emit(events.RUN_RELEASED, job=job_id, listed=work.listed)
        self._runs.cancel_job(work)
        if work.loaded:
            # It may come back, as when a keeper was silent for a moment.
            self.recall(work.progress())
        if not work.unwritten:
            del self._owned[job_id]

    def _end_job(self, job_id: str) -> None:
        self._held.discard(job_id)
        self._over.add(job_id)
        self.looks.forget(job_id)
        self._owners.forget(job_id)
        self._recalled.pop(job_id, None)
        work = self._owned.pop(job_id, None)
        if self._open.pop(job_id, None) is not None:
            events.emit(events.JOB_ENDED, job=job_id, reason="cancelled")
        if work is not None:
            work.items.clear()
            self._runs.cancel_job(work)

    def _forget(self, job_id: str) -> None:
        self._open.pop(job_id, None)
        self._known_ms.pop(job_id, None)
        self._held.discard(job_id)
        self._over.discard(job_id)
        self._completed.discard(job_id)
        self.looks.forget(job_id)
        self._owners.forget(job_id)
        self._recalled.pop(job_id, None)
        work = self._owned.pop(job_id, None)
        if work is not None:
            self._runs.cancel_job(work)

    async def _load(self, work: JobWork) -> None:
        # Nothing is listed of it as far as is known; the first write of a group tells if there is.
        work.loaded = work.job_id in self._held
        while self._owned.get(work.job_id) is work and not work.loaded:
            whole = await read_whole(self._deps.store, work.job_id, work.record)
            if isinstance(whole, Ok):
                work.items = {item.id: Item(item) for item in whole.ok_value.items}
                work.groups = work.listed = 0
                loaded = await load_groups(self._commits, work)
                work.loaded = isinstance(loaded, Ok)
            if not work.loaded:
                await self._clock.sleep(LOAD_AGAIN_MS)
        for saved in self._recalled.pop(work.job_id, ()):
            work.recall(saved)
        if work.unwritten:
            self._commit(work)
        self._close_if_complete(work)
        self.pump()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_MS, self._tick)
        if self._open:
            self._review_if_changed()
            if self._clock.now() - self._pumped_ms >= TICK_MS:
                self.pump()

    def _review_if_changed(self) -> None:
        # Also what others say of a silent one changes who shares, and no event tells it.
        changed = self._owners.refresh()
        taken_back = self.looks.expire(self._deps.runs.sharing())
        if changed or taken_back:
            self.review()

    def pump_soon(self) -> None:
        """Pump once for all that is heard within a moment.

        Hundreds of heartbeats a second come to an instance of a large fleet, and each asks the
        same question.
        """
        # With nothing to run it was a third of an idle keeper's time, 0.029 of a core.
        if not self._owned:
            return
        if self._soon is None or not self._soon.active():
            self._soon = self._clock.call_later(SOON_MS, self.pump)

    def pump(self) -> None:
        """Give back what online calls need, and start what there is room for."""
        table = self._deps.table()
        if self._stopping or table is None:
            return
        if self._pumping:
            # A run that was cut here has ended; what it leaves is seen by the next round.
            self.pump_soon()
            return
        self._pumping = True
        self._pumped_ms = self._clock.now()
        try:
            self._runs.give_way_and_start(self._by_due(table))
        finally:
            self._pumping = False

    def _by_due(self, table: RouteTable) -> list[tuple[JobWork, Route]]:
        jobs = []
        for work in list(self._owned.values()):
            if not work.loaded or not work.items:
                continue
            route = table.find(work.record.host, work.record.path)
            if route is None:
                self._give_up(work, "the job's route is gone")
                continue
            # By the time for which the job is known here, never by the wall clock: that of this
            # machine or of the one that accepted the job may jump, and an item given up too early
            # is lost, while one that is tried for longer costs a run.
            known_ms = self._clock.now() - self._known_ms[work.job_id]
            if route.give_up_ms and known_ms > route.give_up_ms:
                self._give_up(work, "the time in which items are tried has passed")
                continue
            work.due_ms = work.record.accepted_ms + route.due_ms
            jobs.append((work.due_ms, work.job_id, work, route))
        return [(job[2], job[3]) for job in sorted(jobs, key=lambda job: job[:2])]

    def _give_up(self, work: JobWork, reason: str) -> None:
        events.emit(events.ITEMS_LOST, job=work.job_id, items=len(work.items), reason=reason)
        self._runs.cancel_job(work)
        for item_id in list(work.items):
            work.finish(item_id, ItemEnd.GIVEN_UP)
        self._commit(work)

    def _tell_groups(self, work: JobWork, written: Written | None) -> None:
        self._deps.tell_groups(work.job_id, work.groups, written)

    def _commit(self, work: JobWork) -> None:
        self._spawn(self._commit_and_close(work))

    async def _commit_and_close(self, work: JobWork) -> None:
        await commit(self._commits, work)
        self._close_if_complete(work)

    def _close_if_complete(self, work: JobWork) -> None:
        if work.complete() and not work.committing and self._owned.get(work.job_id) is work:
            del self._owned[work.job_id]
            self._open.pop(work.job_id, None)
            self._over.add(work.job_id)
            self._completed.add(work.job_id)
            self._owners.forget(work.job_id)
            events.emit(events.JOB_ENDED, job=work.job_id, reason="complete", listed=work.listed)

    def _spawn(self, work: Any) -> None:
        Deferred.fromCoroutine(work).addErrback(_report)


def _report(why: TwistedFailure) -> None:
    if not why.check(CancelledError):
        events.emit(events.BATCH_BROKEN, reason=repr(why.value), traceback=why.getTraceback())
