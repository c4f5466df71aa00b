"""Run the items of the jobs that this instance owns, in the room that online calls leave.

Who owns a job follows from rendezvous hashing over the instances that run batch and are heard
from. Two that disagree for a while run some items twice; commits.py keeps results right.
"""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.config.route_table import Route, RouteTable
from papayapier.dispatch.blame import blames_replica
from papayapier.jobs.commits import CommitDeps, commit, load_groups
from papayapier.jobs.desk import read_whole
from papayapier.jobs.item_run import ItemTaker
from papayapier.jobs.news import GroupsTold
from papayapier.jobs.records import JOBS, ItemEnd, JobRecord, read_record
from papayapier.jobs.room import Room, Shared, use_of
from papayapier.jobs.work import Item, JobWork
from papayapier.metrics import Metrics
from papayapier.policy.batch_order import RunTimes, Standing, standing, victims
from papayapier.policy.batch_room import keep_limit, start_limit
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.rendezvous import score
from papayapier.store.api import Change, Store
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.raw import RawAnswer, RawCall, SendRaw

TICK_MS: Final = 50
# Far below the time in which a waiting online call would notice.
SOON_MS: Final = 10
# One run is far shorter; a run that goes on this long is resumed elsewhere.
RUN_LIMIT_MS: Final = 60_000
# Pause before an item that a replica rejected or broke is sent again.
AGAIN_MS: Final = 150
LOAD_AGAIN_MS: Final = 300
# Wall clocks of machines differ; an item must not be given up before its time on any.
CLOCK_MARGIN_MS: Final = 3_000
CANNOT_BE_DONE: Final = 422


class RunnerDeps(NamedTuple):
    """Group what the runner works with.

    sharing names the live instances that run batch, this one included, hidden those of them
    that only others hear. head writes the
    headers for one replica. body decodes the body of an item. tell_groups tells the others
    how many groups of results a job has.
    """

    clock: Clock
    rand: random.Random
    me: str
    store: Store
    book: LoadBook
    outliers: Outliers
    send: SendRaw
    head: Callable[[Headers, Replica, int | None, int], Headers]
    body: Callable[[Any], bytes]
    request_id: bytes
    table: Callable[[], RouteTable | None]
    sharing: Callable[[], Sequence[str]]
    hidden: Callable[[], Collection[str]]
    uses_changed: Callable[[], None]
    tell_groups: Callable[[str, int], None]
    news: GroupsTold
    metrics: Metrics


class _Run(NamedTuple):
    """Hold one run under way."""

    work: JobWork
    item: Item
    replica: Replica
    task: Deferred[None]


class JobRunner:
    """Own the jobs of this instance and the runs of their items."""

    def __init__(self, deps: RunnerDeps) -> None:
        self._deps = deps
        self._open: dict[str, JobRecord] = {}
        self._owned: dict[str, JobWork] = {}
        self._runs: dict[str, _Run] = {}
        self._timer: Timer | None = None
        self._soon: Timer | None = None
        self._sharing: Sequence[str] = ()
        self._stopping = False
        self._pumping = False
        self._times: dict[str, RunTimes] = {}
        self._commits = CommitDeps(
            deps.clock, deps.rand, deps.store, self._cancel_items, self._tell_groups, deps.news
        )

    def start(self) -> None:
        """Begin to run."""
        self._tick()

    def stop(self) -> None:
        """Cancel every run; what was finished is still written."""
        self._stopping = True
        for run in list(self._runs.values()):
            run.task.cancel()

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
        return len(self._runs)

    def has_closed(self, job_id: str) -> bool:
        """Tell whether a job is this instance's, and every item of it is listed or ended."""
        mine = max(self._deps.sharing(), key=lambda one: score(job_id, one)) == self._deps.me
        return mine and job_id not in self._open and job_id not in self._owned

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
        self._open[job_id] = read.ok_value
        self.review()

    def review(self) -> None:
        """Work out again which jobs are this instance's."""
        sharing = self._deps.sharing()
        for job_id, record in self._open.items():
            mine = max(sharing, key=lambda one: score(job_id, one)) == self._deps.me
            if mine and job_id not in self._owned and not self._stopping:
                self._own(job_id, record)
            elif not mine and job_id in self._owned:
                self._disown(job_id)

    def _own(self, job_id: str, record: JobRecord) -> None:
        work = JobWork(job_id, record)
        self._owned[job_id] = work
        events.emit(events.RUN_TAKEN, job=job_id, items=record.total)
        self._spawn(self._load(work))

    def _disown(self, job_id: str) -> None:
        work = self._owned[job_id]
        events.emit(events.RUN_RELEASED, job=job_id, listed=work.listed)
        self._cancel_job(work)
        if not work.unwritten:
            del self._owned[job_id]

    def _end_job(self, job_id: str) -> None:
        work = self._owned.pop(job_id, None)
        if self._open.pop(job_id, None) is not None:
            events.emit(events.JOB_ENDED, job=job_id, reason="cancelled")
        if work is not None:
            work.items.clear()
            self._cancel_job(work)

    def _forget(self, job_id: str) -> None:
        self._open.pop(job_id, None)
        work = self._owned.pop(job_id, None)
        if work is not None:
            self._cancel_job(work)

    async def _load(self, work: JobWork) -> None:
        while self._owned.get(work.job_id) is work and not work.loaded:
            whole = await read_whole(self._deps.store, work.job_id, work.record)
            if isinstance(whole, Ok):
                work.items = {item.id: Item(item) for item in whole.ok_value.items}
                work.groups = work.listed = 0
                loaded = await load_groups(self._commits, work)
                work.loaded = isinstance(loaded, Ok)
            if not work.loaded:
                await self._deps.clock.sleep(LOAD_AGAIN_MS)
        self._close_if_complete(work)
        self.pump()

    def _tick(self) -> None:
        self._timer = self._deps.clock.call_later(TICK_MS, self._tick)
        sharing = self._deps.sharing()
        if sharing != self._sharing:
            # Also what others say of a silent one changes who shares, and no event tells it.
            self._sharing = sharing
            self.review()
        self.pump()

    def pump_soon(self) -> None:
        """Pump once for all that is heard within a moment.

        Hundreds of heartbeats a second come to an instance of a large fleet, and each asks the
        same question.
        """
        if self._soon is None or not self._soon.active():
            self._soon = self._deps.clock.call_later(SOON_MS, self.pump)

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
        try:
            self._pump(table)
        finally:
            self._pumping = False

    def _pump(self, table: RouteTable) -> None:
        shared = self._shared()
        self._give_way(shared)
        room = Room(shared)
        jobs = self._by_due(table)
        wall = self._deps.clock.wall()
        late: list[tuple[JobWork, Route, Item]] = []
        for work, route in jobs:
            for one in work.waiting(self._deps.clock.now()):
                if self._standing(route.shares[0].upstream, work, one, wall).late:
                    late.append((work, route, one))
                elif not self._start_in(room, work, route, one):
                    self._displace(shared, route, wall)
                    return
        for work, route, one in late:
            if not self._start_in(room, work, route, one):
                return

    def _by_due(self, table: RouteTable) -> list[tuple[JobWork, Route]]:
        wall = self._deps.clock.wall()
        jobs = []
        for work in list(self._owned.values()):
            if not work.loaded or not work.items:
                continue
            route = table.find(work.record.host, work.record.path)
            if route is None:
                self._give_up(work, "the job's route is gone")
                continue
            age_ms = wall - work.record.accepted_ms
            if route.give_up_ms and age_ms > route.give_up_ms + CLOCK_MARGIN_MS:
                self._give_up(work, "the time in which items are tried has passed")
                continue
            work.due_ms = work.record.accepted_ms + route.due_ms
            jobs.append((work.due_ms, work.job_id, work, route))
        return [(job[2], job[3]) for job in sorted(jobs, key=lambda job: job[:2])]

    def _give_up(self, work: JobWork, reason: str) -> None:
        events.emit(events.ITEMS_LOST, job=work.job_id, items=len(work.items), reason=reason)
        self._cancel_job(work)
        for item_id in list(work.items):
            work.finish(item_id, ItemEnd.GIVEN_UP)
        self._commit(work)

    def _standing(self, upstream: str, work: JobWork, one: Item, wall: float) -> Standing:
        return standing(self._times_at(upstream), len(one.texts), work.due_ms, wall)

    def _times_at(self, upstream: str) -> RunTimes:
        return self._times.setdefault(upstream, RunTimes())

    def _start_in(self, room: Room, work: JobWork, route: Route, one: Item) -> bool:
        """Start an item if there is room."""
        replica = room.take(route.shares[0].upstream, self._deps.clock.now())
        if replica is not None:
            self._start(work, route, one, replica)
        return replica is not None

    def _displace(self, shared: Shared, route: Route, wall: float) -> None:
        """Cut one late run, where an item that can be done in time may start in its place."""
        upstream = route.shares[0].upstream
        for run in self._runs.values():
            replica_id = run.replica.id
            if run.replica.upstream != upstream or not self._run_standing(run, wall).late:
                continue
            # Runs above this line are kept, not started; cutting one there would free nothing.
            if shared.book.own(replica_id).batch <= start_limit(use_of(shared, replica_id)):
                self._cut(run, 1)
                return

    def _start(self, work: JobWork, route: Route, one: Item, replica: Replica) -> None:
        one.running = True
        now = self._deps.clock.now()
        self._deps.book.on_sent(replica.id, True, now)
        self._deps.uses_changed()
        task = Deferred.fromCoroutine(self._run(work, route, one, replica))
        if task.called:
            return
        self._runs[one.item.id] = _Run(work, one, replica, task)

    async def _run(self, work: JobWork, route: Route, one: Item, replica: Replica) -> None:
        taker = ItemTaker(one)
        began_ms = self._deps.clock.now()
        sent: Result[RawAnswer, Failure] | None = None
        try:
            sent = await self._deps.send(replica, self._call(work, one, replica), taker)
        except CancelledError:
            pass
        finally:
            self._runs.pop(one.item.id, None)
            one.running = False
            now = self._deps.clock.now()
            one.ran_ms += now - began_ms
            self._deps.book.on_done(replica.id, True, now)
            self._deps.uses_changed()
        if sent is not None:
            self._ended(work, route, one, replica, sent)
        self.pump()

    def _call(self, work: JobWork, one: Item, replica: Replica) -> RawCall:
        headers = Headers({name: [value] for name, value in one.item.headers.items()})
        headers.setRawHeaders(b"Host", [work.record.host.encode()])
        headers.setRawHeaders(self._deps.request_id, [one.item.id.encode()])
        return RawCall(
            one.item.id,
            "POST",
            one.item.path,
            self._deps.head(headers, replica, None, one.last_event),
            self._deps.body(one.item),
            self._deps.clock.now() + RUN_LIMIT_MS,
            fresh=False,
            stream=True,
        )

    def _ended(
        self,
        work: JobWork,
        route: Route,
        one: Item,
        replica: Replica,
        sent: Result[RawAnswer, Failure],
    ) -> None:
        if one.item.id not in work.items:
            return
        now = self._deps.clock.now()
        if isinstance(sent, Err):
            failure = sent.err_value
            if failure.kind is FailureKind.CANCELLED:
                return
            one.held_until_ms = now + AGAIN_MS
            if failure.sent is Sent.MAYBE and blames_replica(failure):
                self._deps.outliers.on_end(replica.id, False, None, now)
            self._note_again(work, one, replica, failure.reason)
            return
        answer = sent.ok_value
        if answer.good():
            self._deps.outliers.on_end(replica.id, True, None, now)
            self._times_at(replica.upstream).on_done(len(one.texts), one.ran_ms)
            work.finish(one.item.id, ItemEnd.DONE)
            self._commit(work)
            return
        one.failures += 1
        one.held_until_ms = now + AGAIN_MS
        if answer.status == CANNOT_BE_DONE or one.failures >= route.attempts:
            events.emit(
                events.ITEM_FAILED,
                job=work.job_id,
                item=one.item.id,
                status=answer.status,
                failures=one.failures,
            )
            work.finish(one.item.id, ItemEnd.GIVEN_UP)
            self._commit(work)
            return
        self._note_again(work, one, replica, f"status {answer.status}")

    def _note_again(self, work: JobWork, one: Item, replica: Replica, reason: str) -> None:
        events.emit(
            events.ITEM_AGAIN,
            job=work.job_id,
            item=one.item.id,
            replica=replica.id,
            after=one.last_event,
            reason=reason,
        )

    def _shared(self) -> Shared:
        deps = self._deps
        return Shared(deps.rand, deps.me, deps.book, deps.outliers, deps.sharing(), deps.hidden())

    def _give_way(self, shared: Shared) -> None:
        """Cut runs at each replica where online calls need the slots."""
        by_replica: dict[str, list[_Run]] = {}
        for run in self._runs.values():
            by_replica.setdefault(run.replica.id, []).append(run)
        wall = self._deps.clock.wall()
        for replica_id, runs in by_replica.items():
            over = len(runs) - keep_limit(use_of(shared, replica_id))
            if over > 0:
                ranked = ((self._run_standing(run, wall), run) for run in runs)
                for run in victims(ranked, over):
                    self._cut(run, over)

    def _run_standing(self, run: _Run, wall: float) -> Standing:
        return self._standing(run.replica.upstream, run.work, run.item, wall)

    def _cut(self, run: _Run, over: int) -> None:
        events.emit(events.ITEM_YIELDED, item=run.item.item.id, replica=run.replica.id, over=over)
        run.task.cancel()

    def _cancel_job(self, work: JobWork) -> None:
        for run in [run for run in self._runs.values() if run.work is work]:
            run.task.cancel()

    def _cancel_items(self, items: list[Item]) -> None:
        for one in items:
            run = self._runs.get(one.item.id)
            if run is not None:
                run.task.cancel()

    def _tell_groups(self, work: JobWork) -> None:
        self._deps.tell_groups(work.job_id, work.groups)

    def _commit(self, work: JobWork) -> None:
        self._spawn(self._commit_and_close(work))

    async def _commit_and_close(self, work: JobWork) -> None:
        await commit(self._commits, work)
        self._close_if_complete(work)

    def _close_if_complete(self, work: JobWork) -> None:
        if work.complete() and not work.committing and self._owned.get(work.job_id) is work:
            del self._owned[work.job_id]
            self._open.pop(work.job_id, None)
            events.emit(events.JOB_ENDED, job=work.job_id, reason="complete", listed=work.listed)

    def _spawn(self, work: Any) -> None:
        Deferred.fromCoroutine(work).addErrback(_report)


def _report(why: TwistedFailure) -> None:
    if not why.check(CancelledError):
        events.emit(events.BATCH_BROKEN, reason=repr(why.value), traceback=why.getTraceback())
