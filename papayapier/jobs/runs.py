"""Run the items of jobs in the room that online calls leave, and give it back.

Which jobs there are is the runner's to know (runner.py); here is what runs, where, and what
becomes of each run. Which item goes first is decided by policy/batch_order.py, how many runs a
replica bears by policy/batch_room.py.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence
from functools import partial
from typing import Any, Final, NamedTuple

from result import Err, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.route_table import Route
from papayapier.dispatch.blame import blames_replica
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.lost_sends import name_work
from papayapier.jobs.item_run import ItemTaker
from papayapier.jobs.records import ItemEnd
from papayapier.jobs.room import Room, Shared, use_of
from papayapier.jobs.work import Item, JobWork
from papayapier.policy.batch_order import RunTimes, Standing, standing, victims
from papayapier.policy.batch_room import keep_limit, start_limit
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.raw import Answered, PassedOn, RawCall, SendRaw

# One run is far shorter; a run that goes on this long is resumed elsewhere.
RUN_LIMIT_MS: Final = 60_000
# Pause before an item that a replica rejected or broke is sent again.
AGAIN_MS: Final = 150
# Between looks whether an item that is held back may be sent after all.
LOOK_AGAIN_MS: Final = 500
CANNOT_BE_DONE: Final = 422


class RunDeps(NamedTuple):
    """Group what runs work with.

    sharing names the live instances that run batch, this one included, hidden those of them
    that only others hear. head writes the headers for one replica, of_team sets whose an item
    is. body decodes the body of an item.
    """

    clock: Clock
    rand: random.Random
    me: str
    book: LoadBook
    outliers: Outliers
    crashes: CrashWatch
    send: SendRaw
    head: Callable[[Headers, Replica, int | None, int], Headers]
    of_team: Callable[[Headers, str], Headers]
    body: Callable[[Any], bytes]
    request_id: bytes
    sharing: Callable[[], Sequence[str]]
    hidden: Callable[[], Collection[str]]
    uses_changed: Callable[[], None]


class _Run(NamedTuple):
    """Hold one run under way."""

    work: JobWork
    item: Item
    replica: Replica
    task: Deferred[None]


class Runs:
    """Own the runs under way.

    finished is told of a job with a new result, ended that a run has made room.
    """

    def __init__(
        self,
        deps: RunDeps,
        finished: Callable[[JobWork], None],
        ended: Callable[[], None],
    ) -> None:
        self._deps = deps
        self._finished = finished
        self._ended = ended
        self._runs: dict[str, _Run] = {}
        self._times: dict[str, RunTimes] = {}

    def count(self) -> int:
        """Return how many items run."""
        return len(self._runs)

    def cancel_all(self) -> None:
        """Cut every run."""
        for run in list(self._runs.values()):
            run.task.cancel()

    def cancel_job(self, work: JobWork) -> None:
        """Cut the runs of a job."""
        for run in [run for run in self._runs.values() if run.work is work]:
            run.task.cancel()

    def cancel_items(self, items: list[Item]) -> None:
        """Cut the runs of some items."""
        for one in items:
            run = self._runs.get(one.item.id)
            if run is not None:
                run.task.cancel()

    def has_room(self, upstream: str) -> bool:
        """Tell whether an item of an upstream could be started now."""
        return Room(self._shared()).take(upstream, self._deps.clock.now()) is not None

    def give_way_and_start(self, jobs: Sequence[tuple[JobWork, Route]]) -> None:
        """Give back what online calls need, and start what there is room for.

        Jobs come in order of their due time.
        """
        shared = self._shared()
        self._give_way(shared)
        room = Room(shared)
        wall = self._deps.clock.wall()
        late: list[tuple[JobWork, Route, Item]] = []
        full: set[str] = set()
        for work, route in jobs:
            upstream = route.shares[0].upstream
            for one in work.waiting(self._deps.clock.now()):
                if upstream in full:
                    break
                if self._is_held(work, one):
                    continue
                if self._standing(upstream, work, one, wall).late:
                    late.append((work, route, one))
                elif not self._start_in(room, work, route, one):
                    self._displace(shared, upstream, wall)
                    full.add(upstream)
        for work, route, one in late:
            upstream = route.shares[0].upstream
            if upstream not in full and not self._start_in(room, work, route, one):
                full.add(upstream)
        for work, route in jobs:
            upstream = route.shares[0].upstream
            if upstream not in full or work.runs():
                continue
            if not self._start_without_part(room, work, route):
                full.remove(upstream)

    def _start_without_part(self, room: Room, work: JobWork, route: Route) -> bool:
        """Start one item of a job where others share the slots; return False without room."""
        now = self._deps.clock.now()
        one = next((one for one in work.waiting(now) if not self._is_held(work, one)), None)
        if one is None:
            return True
        replica = room.take(route.shares[0].upstream, now, part=False)
        if replica is not None:
            self._start(work, route, one, replica, part=False)
        return replica is not None

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

    def _displace(self, shared: Shared, upstream: str, wall: float) -> None:
        """Cut one late run, where an item that can be done in time may start in its place."""
        for run in self._runs.values():
            replica_id = run.replica.id
            if run.replica.upstream != upstream or not self._run_standing(run, wall).late:
                continue
            # Runs above this line are kept, not started; cutting one there would free nothing.
            if shared.book.own(replica_id).batch <= start_limit(use_of(shared, replica_id)):
                self._cut(run, "late, and another can be in time", 1)
                return

    def _start(
        self, work: JobWork, route: Route, one: Item, replica: Replica, part: bool = True
    ) -> None:
        one.running = True
        now = self._deps.clock.now()
        self._deps.book.on_sent(replica.id, True, now)
        self._deps.uses_changed()
        events.emit(
            events.ITEM_STARTED,
            job=work.job_id,
            item=one.item.id,
            replica=replica.id,
            after=one.last_event,
            left_ms=_left_ms(work, self._deps.clock),
            online=self._deps.book.online_at(replica.id),
            batch=self._deps.book.batch_at(replica.id),
            part=part,
        )
        task = Deferred.fromCoroutine(self._run(work, route, one, replica))
        if task.called:
            return
        self._runs[one.item.id] = _Run(work, one, replica, task)

    async def _run(self, work: JobWork, route: Route, one: Item, replica: Replica) -> None:
        taker = ItemTaker(one)
        began_ms = self._deps.clock.now()
        sent: Result[Answered, Failure] | None = None
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
            work_of = partial(self._work_of, work, one)
            self._deps.crashes.sent(one.item.id, work_of, replica, sent, began_ms)
            self._judge(work, route, one, replica, sent)
        self._ended()

    def _call(self, work: JobWork, one: Item, replica: Replica) -> RawCall:
        headers = Headers({name: [value] for name, value in one.item.headers.items()})
        headers.setRawHeaders(b"Host", [work.record.host.encode()])
        headers.setRawHeaders(self._deps.request_id, [one.item.id.encode()])
        named = self._deps.of_team(headers, work.record.team)
        return RawCall(
            one.item.id,
            "POST",
            one.item.path,
            self._deps.head(named, replica, None, one.last_event),
            self._deps.body(one.item),
            self._deps.clock.now() + RUN_LIMIT_MS,
            fresh=False,
            stream=True,
        )

    def _work_of(self, work: JobWork, one: Item) -> str:
        """Return the name of an item's work; each round asks for that of every waiting item."""
        if not one.work:
            body = self._deps.body(one.item)
            record = work.record
            one.work = name_work("POST", record.host, one.item.path, body, record.team)
        return one.work

    def _is_held(self, work: JobWork, one: Item) -> bool:
        """Hold an item back while its work is not sent; a replica seen alive may end that soon."""
        hold_ms = self._deps.crashes.item_hold_ms(partial(self._work_of, work, one))
        one.withheld = hold_ms > 0
        if hold_ms:
            one.held_until_ms = self._deps.clock.now() + min(hold_ms, LOOK_AGAIN_MS)
        return one.withheld

    def _note_held(self, work: JobWork, one: Item) -> None:
        hold_ms = self._deps.crashes.item_hold_ms(partial(self._work_of, work, one))
        if hold_ms:
            events.emit(
                events.ITEM_HELD, job=work.job_id, item=one.item.id, work=one.work, hold_ms=hold_ms
            )

    def _judge(
        self,
        work: JobWork,
        route: Route,
        one: Item,
        replica: Replica,
        sent: Result[Answered, Failure],
    ) -> None:
        if one.item.id not in work.items:
            return
        now = self._deps.clock.now()
        if isinstance(sent, Err):
            failure = sent.err_value
            if failure.kind is FailureKind.CANCELLED:
                return
            one.held_until_ms = now + AGAIN_MS
            if _blames(failure):
                self._deps.outliers.on_end(replica.id, False, None, now)
            self._note_again(work, one, replica, failure.reason)
            self._note_held(work, one)
            return
        answer = sent.ok_value
        if isinstance(answer, PassedOn):
            self._deps.outliers.on_end(replica.id, True, None, now)
            self._times_at(replica.upstream).on_done(len(one.texts), one.ran_ms)
            events.emit(
                events.ITEM_DONE,
                job=work.job_id,
                item=one.item.id,
                replica=replica.id,
                events=len(one.texts),
                ran_ms=one.ran_ms,
                left_ms=_left_ms(work, self._deps.clock),
            )
            work.moved_ms = now
            work.finish(one.item.id, ItemEnd.DONE)
            self._finished(work)
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
            self._finished(work)
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
                    self._cut(run, "online calls need the slot", over)

    def _run_standing(self, run: _Run, wall: float) -> Standing:
        return self._standing(run.replica.upstream, run.work, run.item, wall)

    def _cut(self, run: _Run, reason: str, over: int) -> None:
        events.emit(
            events.ITEM_YIELDED,
            job=run.work.job_id,
            item=run.item.item.id,
            replica=run.replica.id,
            reason=reason,
            over=over,
        )
        run.task.cancel()


def _blames(failure: Failure) -> bool:
    """Tell whether a failed run counts against its replica.

    One that refuses connections has ended, and has the most room of all until the list drops it:
    in its seconds 554 of 648 runs were begun there in vain.
    """
    if failure.kind is FailureKind.CONNECT:
        return True
    return failure.sent is Sent.MAYBE and blames_replica(failure)


def _left_ms(work: JobWork, clock: Clock) -> int:
    """Return the time until a job's results are due, for a log line; 0 while it is not known."""
    return int(work.due_ms - clock.wall()) if math.isfinite(work.due_ms) else 0
