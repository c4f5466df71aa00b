"""Accept, show and end batch jobs for callers, at any instance.

Nothing here is told that cannot be known: a job whose record's write got no answer is neither
accepted nor refused, and a job that is not known here is missing only if the store says so.
"""

import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.teams import may_use
from papayapier.errors import ErrorKind, Refusal, not_run, unknown
from papayapier.jobs.commits import Written
from papayapier.jobs.groups import read_groups, read_whole
from papayapier.jobs.news import GroupsHeard
from papayapier.jobs.records import (
    ItemResult,
    JobItem,
    JobRecord,
    ResultGroup,
    encode,
    job_key,
    part_key,
    read_record,
    split_items,
)
from papayapier.pending import Pending
from papayapier.policy.job_keeping import NOT_ASKED, Copies, patience_ms
from papayapier.store.api import Store, StoreError
from papayapier.store.writes import Settling, create_settled, update_settled

WRITE_ID_BITS: Final = 64
# A look at the store that found no new group stands for this long: a position that one instance
# has shown must be shown by all a second later, and an answer takes its time to the caller.
# Callers read twice a second; with 400 ms each of these reads was a look, with this every other.
LOOK_STANDS_MS: Final = 700
END_TRIES: Final = 8
# Views of jobs kept in memory, and the text that they may hold together.
VIEWS_MAX: Final = 2_000
TEXT_MAX_BYTES: Final = 40_000_000
RETRY_MS: Final = 300
# The store has not said what became of a call.
NOT_REACHED: Final = frozenset({StoreError.UNAVAILABLE, StoreError.LOST, StoreError.LIMITED})


class Page(NamedTuple):
    """Hold the results of a job from one position on."""

    total: int
    results: list[ItemResult]


class DeskDeps(NamedTuple):
    """Group what the desk works with; heard judges for how long a look at the store stands.

    keep puts a job on keepers' disks. store_away tells whether the store is known not to answer.
    settled tells that what is not in the store is nowhere: after an absence, keepers bring what
    they have accepted meanwhile. elsewhere reads results, from a position on and with a wait,
    for a team, through another instance; None says that they are to be read here. known returns a
    job's record where this instance follows the store's.
    """

    clock: Clock
    rand: random.Random
    store: Store
    heard: GroupsHeard
    keep: Callable[[str, bytes], Awaitable[Copies]]
    store_away: Callable[[], bool]
    settled: Callable[[], bool]
    elsewhere: Callable[[str, int, int, str], Awaitable[Page | None]]
    known: Callable[[str], JobRecord | None] = lambda _job_id: None


class _View:
    """Hold what has been read of one job."""

    __slots__ = ("groups", "looked_ms", "record", "results", "text_bytes", "told", "waiting")

    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.looked_ms = -LOOK_STANDS_MS
        self.told = 0
        self.waiting: list[Deferred[None]] = []
        self.results: list[ItemResult] = []
        self.groups = 0
        self.text_bytes = 0

    def complete(self) -> bool:
        return len(self.results) >= self.record.total

    def tell(self, groups: int) -> None:
        """Take how many groups there are, and wake who waits for one."""
        self.told = max(self.told, groups)
        waiting, self.waiting = self.waiting, []
        for one in waiting:
            one.callback(None)


class JobDesk:
    """Serve the callers' calls on batch jobs."""

    def __init__(self, deps: DeskDeps) -> None:
        self._deps = deps
        self._views: OrderedDict[str, _View] = OrderedDict()
        self._text_bytes = 0

    async def submit(
        self,
        job_id: str,
        host: str,
        path: str,
        items: tuple[JobItem, ...],
        due_ms: int,
        objective_ms: int = 0,
        team: str = "",
    ) -> Result[None, Refusal]:
        """Accept a job once; every repeat by the same team is accepted again.

        objective_ms is the time in which an acceptance has its full worth.
        """
        write_id = f"{self._deps.rand.getrandbits(WRITE_ID_BITS):016x}"
        wall = int(self._deps.clock.wall())
        record = JobRecord(write_id, host, path, wall, items, len(items), team=team)
        parts = split_items(items)
        if len(parts) > 1:
            stored = await self._store_parts(job_id, parts, due_ms)
            if isinstance(stored, Err):
                return stored
            record = record._replace(items=(), parts=len(parts))
        settling = Settling(self._deps.store, self._deps.clock, self._deps.rand)
        value = encode(record)
        work = create_settled(settling, job_key(job_id), value, due_ms)
        creating = Pending(self._deps.clock, work)
        copies = NOT_ASKED
        if not record.parts:
            copies = await self._keep_unless_created(job_id, value, creating, objective_ms)
        if not copies.enough:
            created = await creating.end()
            if isinstance(created, Err):
                return await self._not_created(job_id, team, created.err_value, copies)
        self._keep(job_id, _View(record._replace(items=items)))
        events.emit(
            events.JOB_ACCEPTED,
            job=job_id,
            team=team,
            items=len(items),
            write_id=write_id,
            on_disks=copies.enough,
        )
        return Ok(None)

    async def _keep_unless_created(
        self,
        job_id: str,
        value: bytes,
        creating: Pending[Result[int, StoreError]],
        objective_ms: int,
    ) -> Copies:
        """Put a job on disks if the store does not answer for it soon."""
        wait_ms = patience_ms(objective_ms, self._deps.store_away())
        created = await creating.within(wait_ms)
        # What the store has said stands; only where it has said nothing are disks asked.
        if created is not None and (
            isinstance(created, Ok) or created.err_value not in NOT_REACHED
        ):
            return NOT_ASKED
        copies = await self._deps.keep(job_id, value)
        events.emit(events.JOB_SENT_TO_KEEPERS, job=job_id, **copies._asdict())
        return copies

    async def results(
        self, job_id: str, after: int, wait_ms: int, team: str = ""
    ) -> Result[Page, Refusal]:
        """Return the results from a position on; wait for one if there is none."""
        due_ms = self._deps.clock.now() + wait_ms
        page = await self._deps.elsewhere(job_id, after, wait_ms, team)
        if page is not None:
            return Ok(page)
        view = await self._view(job_id, team)
        if isinstance(view, Err):
            return view
        one = view.ok_value
        while len(one.results) <= after and not one.complete():
            if one.told > one.groups or not self._look_stands(one):
                more = await self._read_groups(job_id, one)
                if isinstance(more, Err):
                    return more
                if more.ok_value:
                    continue
            left_ms = due_ms - self._deps.clock.now()
            if left_ms <= 0:
                break
            await self._told_or(one, left_ms)
        return Ok(Page(one.record.total, one.results[after:]))

    def on_groups(self, job_id: str, groups: int) -> None:
        """Take from a peer that a job has so many groups; who waits for one need not look."""
        view = self._views.get(job_id)
        if view is not None and groups > view.groups:
            view.tell(groups)

    def on_written(self, job_id: str, written: Written) -> None:
        """Take a group that this instance has written; it shows that all before are known."""
        view = self._views.get(job_id)
        if view is None or written.number != view.groups:
            self.on_groups(job_id, written.number + 1)
            return
        self._take(view, written.group)
        view.looked_ms = max(view.looked_ms, written.began_ms)
        view.tell(view.groups)

    def _look_stands(self, view: _View) -> bool:
        now = self._deps.clock.now()
        if now < view.looked_ms + LOOK_STANDS_MS:
            return True
        return self._deps.heard.stands(view.looked_ms, now)

    async def _told_or(self, view: _View, wait_ms: int) -> None:
        """Wait until a peer tells of a new group, or for the time given."""
        told: Deferred[None] = Deferred()
        view.waiting.append(told)
        timer = self._deps.clock.call_later(wait_ms, lambda: _end_wait(view, told))
        try:
            await told
        finally:
            if timer.active():
                timer.cancel()

    async def item(self, job_id: str, item_id: str, team: str = "") -> Result[JobItem, Refusal]:
        """Return an item as it was submitted."""
        view = await self._view(job_id, team)
        if isinstance(view, Err):
            return view
        for item in view.ok_value.record.items:
            if item.id == item_id:
                return Ok(item)
        return Err(not_run(ErrorKind.NOT_FOUND, f"job {job_id} has no item {item_id}"))

    async def end(self, job_id: str, due_ms: int, team: str = "") -> Result[None, Refusal]:
        """End a job; what is listed stays listed."""
        settling = Settling(self._deps.store, self._deps.clock, self._deps.rand)
        for _ in range(END_TRIES):
            found = await self._deps.store.get(job_key(job_id))
            if isinstance(found, Err):
                return Err(self._not_found(job_id, found.err_value))
            record = read_record(found.ok_value.value)
            if isinstance(record, Err):
                return Err(unknown(ErrorKind.INTERNAL, record.err_value))
            if not may_use(record.ok_value.team, team):
                return Err(_not_read(job_id, StoreError.NOT_FOUND))
            if record.ok_value.ended:
                return Ok(None)
            ended = encode(record.ok_value._replace(ended=True))
            done = await update_settled(
                settling, job_key(job_id), ended, found.ok_value.version, due_ms
            )
            if isinstance(done, Ok):
                events.emit(events.JOB_CANCELLED, job=job_id)
                return Ok(None)
            if done.err_value is not StoreError.CONFLICT:
                return Err(_not_written(job_id, done.err_value))
        return Err(_not_written(job_id, StoreError.LIMITED))

    async def _store_parts(
        self, job_id: str, parts: list[tuple[JobItem, ...]], due_ms: int
    ) -> Result[None, Refusal]:
        settling = Settling(self._deps.store, self._deps.clock, self._deps.rand)
        for number, part in enumerate(parts):
            value = encode(part)
            done = await create_settled(settling, part_key(job_id, number), value, due_ms)
            # An earlier try of the same job has written the same part.
            if isinstance(done, Err) and done.err_value is not StoreError.CONFLICT:
                return Err(not_run(ErrorKind.STORE_UNAVAILABLE, "a part was not written", RETRY_MS))
        return Ok(None)

    async def _not_created(
        self, job_id: str, team: str, why: StoreError, copies: Copies
    ) -> Result[None, Refusal]:
        if copies.maybe_held:
            # Too few disks hold it to promise it; one that does creates it later.
            return Err(unknown(ErrorKind.STORE_UNAVAILABLE, f"job {job_id} may be held"))
        if why in (StoreError.CONFLICT, StoreError.LOST):
            # LOST may also mean that the record of another try is there: then it is accepted.
            found = await self._deps.store.get(job_key(job_id))
            if isinstance(found, Ok):
                return _sent_before(job_id, team, found.ok_value.value)
            why = StoreError.LOST
        return Err(_not_written(job_id, why))

    async def _view(self, job_id: str, team: str) -> Result[_View, Refusal]:
        """Return a job as its team may see it; to any other team it does not exist."""
        found = await self._any_view(job_id)
        if isinstance(found, Ok) and not may_use(found.ok_value.record.team, team):
            return Err(_not_read(job_id, StoreError.NOT_FOUND))
        return found

    async def _any_view(self, job_id: str) -> Result[_View, Refusal]:
        known = self._views.get(job_id)
        if known is not None:
            self._views.move_to_end(job_id)
            return Ok(known)
        followed = self._deps.known(job_id)
        if followed is not None:
            return Ok(self._keep(job_id, _View(followed)))
        found = await self._deps.store.get(job_key(job_id))
        if isinstance(found, Err):
            return Err(self._not_found(job_id, found.err_value))
        record = read_record(found.ok_value.value)
        if isinstance(record, Err):
            return Err(unknown(ErrorKind.INTERNAL, record.err_value))
        whole = await read_whole(self._deps.store, job_id, record.ok_value)
        if isinstance(whole, Err):
            return Err(_not_read(job_id, StoreError.UNAVAILABLE))
        return Ok(self._keep(job_id, _View(whole.ok_value)))

    def _not_found(self, job_id: str, why: StoreError) -> Refusal:
        """Say that there is no such job only where none can be on its way into the store."""
        if why is StoreError.NOT_FOUND and not self._deps.settled():
            reason = f"job {job_id} may be held until the store has it"
            return not_run(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_MS)
        return _not_read(job_id, why)

    async def _read_groups(self, job_id: str, view: _View) -> Result[bool, Refusal]:
        """Read the next groups; False says that there is none yet."""
        known = view.groups
        began_ms = self._deps.clock.now()
        read = await read_groups(self._deps.store, job_id, known)
        if isinstance(read, Err):
            return Err(_not_read(job_id, StoreError.UNAVAILABLE))
        if not read.ok_value:
            # Only what the store has answered stands, and from when it was asked: a look
            # under way, or one that found a group, says nothing of the group after it.
            view.looked_ms = max(view.looked_ms, began_ms)
            view.told = min(view.told, known)
            return Ok(False)
        for number, group in enumerate(read.ok_value, known):
            if number == view.groups:
                self._take(view, group)
        return Ok(True)

    def _take(self, view: _View, group: ResultGroup) -> None:
        view.groups += 1
        view.results += group.results
        size = sum(len(one.text) for one in group.results)
        view.text_bytes += size
        self._text_bytes += size
        self._bound()

    def _keep(self, job_id: str, view: _View) -> _View:
        view = self._views.setdefault(job_id, view)
        self._views.move_to_end(job_id)
        self._bound()
        return view

    def _bound(self) -> None:
        while len(self._views) > VIEWS_MAX or (
            self._text_bytes > TEXT_MAX_BYTES and len(self._views) > 1
        ):
            _, oldest = self._views.popitem(last=False)
            self._text_bytes -= oldest.text_bytes


def _end_wait(view: _View, told: Deferred[None]) -> None:
    if told in view.waiting:
        view.waiting.remove(told)
        told.callback(None)


def _sent_before(job_id: str, team: str, value: bytes) -> Result[None, Refusal]:
    """Accept the repeat of a job, unless the id is that of another team's."""
    record = read_record(value)
    if isinstance(record, Ok) and not may_use(record.ok_value.team, team):
        return Err(not_run(ErrorKind.KEY_CONFLICT, f"job {job_id} is not this team's"))
    events.emit(events.JOB_RESENT, job=job_id)
    return Ok(None)


def _not_read(job_id: str, why: StoreError) -> Refusal:
    if why is StoreError.NOT_FOUND:
        return not_run(ErrorKind.NOT_FOUND, f"there is no job {job_id}")
    return not_run(ErrorKind.STORE_UNAVAILABLE, f"the store said {why.value}", RETRY_MS)


def _not_written(job_id: str, why: StoreError) -> Refusal:
    if why is StoreError.LOST:
        reason = f"whether job {job_id} was written is not known"
        return unknown(ErrorKind.STORE_UNAVAILABLE, reason)
    return _not_read(job_id, why)
