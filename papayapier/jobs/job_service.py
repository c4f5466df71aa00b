"""Accept, read and end batch jobs for callers, on any instance.

Replies state only what is known: if the write of a job's record got no response, the job is
reported neither as accepted nor as refused, and a job unknown to this instance is reported as not
found only if the store confirms it.
"""

import random
import sys
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.route_table import ConfigPosition
from papayapier.config.teams import may_access
from papayapier.errors import ErrorKind, Refusal, not_run_refusal, unknown_refusal
from papayapier.jobs.commits import WrittenGroup
from papayapier.jobs.groups import read_groups, read_with_items
from papayapier.jobs.notifications import ReceivedNotifications
from papayapier.jobs.records import (
    ItemResult,
    JobItem,
    JobRecord,
    ResultGroup,
    encode,
    job_key,
    make_write_id,
    part_key,
    read_record,
    split_items,
)
from papayapier.pending_result import PendingResult
from papayapier.policy.job_copies import NOT_REQUESTED, Copies, store_wait_ms
from papayapier.store.api import Store, StoreError, ValueBound
from papayapier.store.writes import SettleDeps, create_settled, update_settled

WRITE_ID_BITS: Final = 64
# How long a read of the store that found no new group remains valid. A position shown by one
# instance must be shown by all instances one second later, and the response takes some of that time
# to reach the caller. Callers read twice a second: with 400 ms each of these reads would read the
# store, with this value every second one does.
READ_VALID_MS: Final = 700
# How long a read of the store that found no new group remains valid at most, whatever writers
# confirm. It bounds how long a result stays hidden if a writer cannot notify this instance.
MAX_READ_AGE_MS: Final = 10_000
NEVER_READ_MS: Final = -READ_VALID_MS
MAX_END_ATTEMPTS: Final = 8
# Bounds for the views of jobs kept in memory, and for the total text that they hold.
MAX_VIEWS: Final = 2_000
MAX_TEXT_BYTES: Final = 40_000_000
RETRY_MS: Final = 300
# Errors that leave open whether a call took effect in the store.
UNCERTAIN_ERRORS: Final = frozenset({StoreError.UNAVAILABLE, StoreError.LOST, StoreError.LIMITED})


class ResultsPage(NamedTuple):
    """Hold the number of a job's items, and its results from the requested position on."""

    total: int
    results: list[ItemResult]


class JobServiceDeps(NamedTuple):
    """Group the dependencies of JobService.

    notifications decides for how long a read of the store remains valid. replicate copies a job to
    keepers' disks. is_store_unavailable returns whether the store is known to be unavailable.
    is_store_complete returns whether a job that is not in the store exists nowhere; after an outage
    this is false until keepers have created the jobs that they accepted meanwhile. read_remote
    reads results through another instance, given a job, a position, a wait time and a team; None
    means that they must be read here. config_position returns which configuration is in force
    here. bound is that of the store's values. known_record returns a job's record if this instance
    follows the job records in the store.
    """

    clock: Clock
    rand: random.Random
    store: Store
    notifications: ReceivedNotifications
    replicate: Callable[[str, bytes], Awaitable[Copies]]
    is_store_unavailable: Callable[[], bool]
    is_store_complete: Callable[[], bool]
    read_remote: Callable[[str, int, int, str], Awaitable[ResultsPage | None]]
    config_position: Callable[[], ConfigPosition]
    bound: ValueBound
    known_record: Callable[[str], JobRecord | None] = lambda _job_id: None


class _View:
    """Cache the record and the results of one job."""

    __slots__ = (
        "groups",
        "notified_groups",
        "read_ms",
        "record",
        "results",
        "text_bytes",
        "waiting",
    )

    def __init__(self, record: JobRecord) -> None:
        self.record = record
        self.read_ms = NEVER_READ_MS
        self.notified_groups = 0
        self.waiting: list[Deferred[None]] = []
        self.results: list[ItemResult] = []
        self.groups = 0
        self.text_bytes = 0

    def was_read(self) -> bool:
        return self.read_ms != NEVER_READ_MS

    def is_complete(self) -> bool:
        return len(self.results) >= self.record.total

    def notify(self, groups: int) -> None:
        """Record the number of groups that exist, and wake the readers that wait for one."""
        self.notified_groups = max(self.notified_groups, groups)
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            waiter.callback(None)


class JobService:
    """Serve callers' requests on batch jobs."""

    def __init__(self, deps: JobServiceDeps) -> None:
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
        """Accept a job once; a resubmission by the same team is confirmed again.

        objective_ms is the latency objective of an acceptance.
        """
        nonce = self._deps.rand.getrandbits(WRITE_ID_BITS)
        write_id = make_write_id(nonce, self._deps.config_position())
        wall = int(self._deps.clock.wall())
        record = JobRecord(write_id, host, path, wall, items, len(items), team=team)
        parts = split_items(items, self._deps.bound)
        if len(parts) > 1 or not self._fits(encode(record)):
            stored = await self._store_parts(job_id, parts, due_ms)
            if isinstance(stored, Err):
                return stored
            record = record._replace(items=(), parts=len(parts))
        settling = SettleDeps(self._deps.store, self._deps.clock, self._deps.rand)
        value = encode(record)
        create = create_settled(settling, job_key(job_id), value, due_ms)
        creating = PendingResult(self._deps.clock, create)
        copies = NOT_REQUESTED
        if not record.parts:
            copies = await self._replicate_unless_created(job_id, value, creating, objective_ms)
        if not copies.enough:
            created = await creating.wait()
            if isinstance(created, Err):
                return await self._create_refusal(job_id, team, created.err_value, copies)
        self._cache(job_id, _View(record._replace(items=items)))
        events.emit(
            events.JOB_ACCEPTED,
            job=job_id,
            team=team,
            items=len(items),
            write_id=write_id,
            on_disks=copies.enough,
        )
        return Ok(None)

    async def _replicate_unless_created(
        self,
        job_id: str,
        value: bytes,
        creating: PendingResult[Result[int, StoreError]],
        objective_ms: int,
    ) -> Copies:
        """Replicate a job to keepers' disks if the store does not respond in time."""
        wait_ms = store_wait_ms(objective_ms, self._deps.is_store_unavailable())
        created = await creating.wait_at_most(wait_ms)
        # A definite reply of the store decides; keepers receive copies only without one.
        if created is not None and (
            isinstance(created, Ok) or created.err_value not in UNCERTAIN_ERRORS
        ):
            return NOT_REQUESTED
        copies = await self._deps.replicate(job_id, value)
        events.emit(events.JOB_SENT_TO_KEEPERS, job=job_id, **copies._asdict())
        return copies

    async def results(
        self, job_id: str, after: int, wait_ms: int, team: str = ""
    ) -> Result[ResultsPage, Refusal]:
        """Return the results from a position on; wait up to wait_ms if there are none."""
        due_ms = self._deps.clock.now() + wait_ms
        page = await self._deps.read_remote(job_id, after, wait_ms, team)
        if page is not None:
            return Ok(page)
        found = await self._view(job_id, team)
        if isinstance(found, Err):
            return found
        view = found.ok_value
        while len(view.results) <= after and not view.is_complete():
            if view.notified_groups > view.groups or not self._is_read_valid(view):
                more = await self._read_groups(job_id, view)
                if isinstance(more, Err):
                    return more
                if more.ok_value or view.notified_groups > view.groups:
                    continue
            left_ms = due_ms - self._deps.clock.now()
            if left_ms <= 0:
                break
            await self._wait_for_group(view, left_ms)
        return Ok(ResultsPage(view.record.total, view.results[after:]))

    def on_group_count(self, job_id: str, groups: int) -> None:
        """Handle a peer's notification of a job's number of groups, and wake waiting readers."""
        view = self._views.get(job_id)
        if view is not None and groups > view.groups:
            view.notify(groups)

    def on_group_written(self, job_id: str, written: WrittenGroup) -> None:
        """Handle a group written by this instance, which had read all earlier groups."""
        view = self._views.get(job_id)
        if view is None or written.number != view.groups:
            self.on_group_count(job_id, written.number + 1)
            return
        self._add_group(view, written.group)
        view.read_ms = max(view.read_ms, written.began_ms)
        view.notify(view.groups)

    def _is_read_valid(self, view: _View) -> bool:
        now = self._deps.clock.now()
        if now < view.read_ms + READ_VALID_MS:
            return True
        if now > view.read_ms + MAX_READ_AGE_MS:
            return False
        return self._deps.notifications.is_read_current(view.read_ms, now)

    async def _wait_for_group(self, view: _View, wait_ms: int) -> None:
        """Wait until a peer notifies of a new group, or until wait_ms have passed."""
        notified: Deferred[None] = Deferred()
        view.waiting.append(notified)
        timer = self._deps.clock.call_later(wait_ms, lambda: _stop_waiting(view, notified))
        try:
            await notified
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
        return Err(not_run_refusal(ErrorKind.NOT_FOUND, f"job {job_id} has no item {item_id}"))

    async def end(self, job_id: str, due_ms: int, team: str = "") -> Result[None, Refusal]:
        """End a job; results that are already listed remain."""
        settling = SettleDeps(self._deps.store, self._deps.clock, self._deps.rand)
        for _ in range(MAX_END_ATTEMPTS):
            found = await self._deps.store.get(job_key(job_id))
            if isinstance(found, Err):
                return Err(self._not_found_refusal(job_id, found.err_value))
            record = read_record(found.ok_value.value)
            if isinstance(record, Err):
                return Err(unknown_refusal(ErrorKind.INTERNAL, record.err_value))
            if not may_access(record.ok_value.team, team):
                return Err(_read_refusal(job_id, StoreError.NOT_FOUND))
            if record.ok_value.ended:
                return Ok(None)
            ended = encode(record.ok_value._replace(ended=True))
            updated = await update_settled(
                settling, job_key(job_id), ended, found.ok_value.version, due_ms
            )
            if isinstance(updated, Ok):
                events.emit(events.JOB_CANCELLED, job=job_id)
                return Ok(None)
            if updated.err_value is not StoreError.CONFLICT:
                return Err(_write_refusal(job_id, updated.err_value))
        return Err(_write_refusal(job_id, StoreError.LIMITED))

    def _fits(self, value: bytes) -> bool:
        return self._deps.bound.size_of(value) <= self._deps.bound.max_bytes

    async def _store_parts(
        self, job_id: str, parts: list[tuple[JobItem, ...]], due_ms: int
    ) -> Result[None, Refusal]:
        settling = SettleDeps(self._deps.store, self._deps.clock, self._deps.rand)
        values = [encode(part) for part in parts]
        if not all(self._fits(value) for value in values):
            return Err(_write_refusal(job_id, StoreError.TOO_LARGE))
        for number, value in enumerate(values):
            created = await create_settled(settling, part_key(job_id, number), value, due_ms)
            if created == Err(StoreError.TOO_LARGE):
                return Err(_write_refusal(job_id, StoreError.TOO_LARGE))
            # On a conflict, an earlier submission of the same job has written the same part.
            if isinstance(created, Err) and created.err_value is not StoreError.CONFLICT:
                return Err(
                    not_run_refusal(
                        ErrorKind.STORE_UNAVAILABLE, "a part of the job was not written", RETRY_MS
                    )
                )
        return Ok(None)

    async def _create_refusal(
        self, job_id: str, team: str, error: StoreError, copies: Copies
    ) -> Result[None, Refusal]:
        if copies.maybe_held:
            # Too few disks have a copy to accept the job, but a keeper with one creates it later.
            return Err(
                unknown_refusal(
                    ErrorKind.STORE_UNAVAILABLE, f"job {job_id} may be stored by a keeper"
                )
            )
        if error in (StoreError.CONFLICT, StoreError.LOST):
            # After LOST too, the record of this or another submission may exist; the job is
            # accepted then.
            found = await self._deps.store.get(job_key(job_id))
            if isinstance(found, Ok):
                return _resubmitted(job_id, team, found.ok_value.value)
            error = StoreError.LOST
        return Err(_write_refusal(job_id, error))

    async def _view(self, job_id: str, team: str) -> Result[_View, Refusal]:
        """Return a job's view to its own team; for any other team the job does not exist."""
        found = await self._view_of_any_team(job_id)
        if isinstance(found, Ok) and not may_access(found.ok_value.record.team, team):
            return Err(_read_refusal(job_id, StoreError.NOT_FOUND))
        return found

    async def _view_of_any_team(self, job_id: str) -> Result[_View, Refusal]:
        cached = self._views.get(job_id)
        if cached is not None:
            self._views.move_to_end(job_id)
            return Ok(cached)
        followed = self._deps.known_record(job_id)
        if followed is not None:
            return Ok(self._cache(job_id, _View(followed)))
        found = await self._deps.store.get(job_key(job_id))
        if isinstance(found, Err):
            return Err(self._not_found_refusal(job_id, found.err_value))
        record = read_record(found.ok_value.value)
        if isinstance(record, Err):
            return Err(unknown_refusal(ErrorKind.INTERNAL, record.err_value))
        with_items = await read_with_items(self._deps.store, job_id, record.ok_value)
        if isinstance(with_items, Err):
            return Err(_read_refusal(job_id, StoreError.UNAVAILABLE))
        return Ok(self._cache(job_id, _View(with_items.ok_value)))

    def _not_found_refusal(self, job_id: str, error: StoreError) -> Refusal:
        """Report a job as not found only if no keeper can still be about to create it."""
        if error is StoreError.NOT_FOUND and not self._deps.is_store_complete():
            reason = f"job {job_id} may be stored by a keeper and not yet in the store"
            return not_run_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_MS)
        return _read_refusal(job_id, error)

    async def _read_groups(self, job_id: str, view: _View) -> Result[bool, Refusal]:
        """Read the next groups; return False if there is none yet."""
        known_groups = view.groups
        notified_groups = view.notified_groups
        began_ms = self._deps.clock.now()
        read = await read_groups(self._deps.store, job_id, known_groups)
        if isinstance(read, Err):
            return Err(_read_refusal(job_id, StoreError.UNAVAILABLE))
        if not read.ok_value:
            # Only a completed read that found no group is valid, counted from its start. A read
            # in progress, or one that found a group, says nothing about the next group.
            view.read_ms = max(view.read_ms, began_ms)
            if view.notified_groups == notified_groups:
                # A notification that arrived meanwhile is of a group that this read may lack.
                view.notified_groups = min(notified_groups, known_groups)
            return Ok(False)
        found_groups = known_groups + len(read.ok_value)
        if view.was_read() and found_groups > view.notified_groups:
            events.emit(
                events.GROUPS_UNNOTIFIED,
                job=job_id,
                groups=found_groups,
                notified=view.notified_groups,
                read_ms_ago=began_ms - view.read_ms,
            )
        for number, group in enumerate(read.ok_value, known_groups):
            if number == view.groups:
                self._add_group(view, group)
        return Ok(True)

    def _add_group(self, view: _View, group: ResultGroup) -> None:
        view.groups += 1
        view.results += group.results
        size = sum(sys.getsizeof(result.text) for result in group.results)
        view.text_bytes += size
        self._text_bytes += size
        self._evict()

    def _cache(self, job_id: str, view: _View) -> _View:
        view = self._views.setdefault(job_id, view)
        self._views.move_to_end(job_id)
        self._evict()
        return view

    def _evict(self) -> None:
        while len(self._views) > MAX_VIEWS or (
            self._text_bytes > MAX_TEXT_BYTES and len(self._views) > 1
        ):
            _, oldest = self._views.popitem(last=False)
            self._text_bytes -= oldest.text_bytes


def _stop_waiting(view: _View, notified: Deferred[None]) -> None:
    if notified in view.waiting:
        view.waiting.remove(notified)
        notified.callback(None)


def _resubmitted(job_id: str, team: str, value: bytes) -> Result[None, Refusal]:
    """Accept the resubmission of a job, unless its id belongs to a job of another team."""
    record = read_record(value)
    if isinstance(record, Ok) and not may_access(record.ok_value.team, team):
        return Err(not_run_refusal(ErrorKind.KEY_CONFLICT, f"job {job_id} belongs to another team"))
    events.emit(events.JOB_RESENT, job=job_id)
    return Ok(None)


def _read_refusal(job_id: str, error: StoreError) -> Refusal:
    if error is StoreError.NOT_FOUND:
        return not_run_refusal(ErrorKind.NOT_FOUND, f"no such job: {job_id}")
    return not_run_refusal(
        ErrorKind.STORE_UNAVAILABLE, f"the store replied {error.value}", RETRY_MS
    )


def _write_refusal(job_id: str, error: StoreError) -> Refusal:
    if error is StoreError.TOO_LARGE:
        reason = f"an item of job {job_id} is larger than an object of the store"
        return not_run_refusal(ErrorKind.TOO_LARGE, reason)
    if error is StoreError.LOST:
        reason = f"it is unknown whether job {job_id} was written"
        return unknown_refusal(ErrorKind.STORE_UNAVAILABLE, reason)
    return _read_refusal(job_id, error)
