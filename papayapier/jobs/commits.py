"""Write results in groups, each created once by an instance that has read all earlier groups.

Two instances may run the same job if one of them wrongly considers the other dead. Both try to
create group N; the loser reads the group of the winner, drops the items that it lists, and
continues with N + 1. A create whose response was lost is read back and recognized by its write id.
Hence every item is listed once and keeps its position, even if writes are lost, delayed or
repeated.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.jobs.groups import read_groups
from papayapier.jobs.notifications import SentNotifications
from papayapier.jobs.owned_job import ItemState, OwnedJob
from papayapier.jobs.records import ResultGroup, encode, group_key, unpack
from papayapier.jobs.result_sizes import (
    SizedResult,
    choose_group,
    fits_alone,
    group_size,
    smallest_form,
)
from papayapier.store.api import Store, StoreError, ValueBound
from papayapier.store.writes import SettleDeps, create_settled

WRITE_ID_BITS: Final = 64
# Items that finish within this time are written with one call. The delay is small against the
# many seconds in which a job is due.
BATCHING_MS: Final = 250
SETTLE_MS: Final = 2_000
RETRY_MS: Final = 200


class WrittenGroup(NamedTuple):
    """Describe a group that this instance created; no later group existed at began_ms."""

    number: int
    group: ResultGroup
    began_ms: int


class CommitDeps(NamedTuple):
    """Group the dependencies of commits.

    bound is that of the store's values. on_listed_elsewhere receives items that other instances
    have listed. on_written is called when groups have become known, with the group if this instance
    created it. notifications tracks the writes of unknown outcome.
    """

    clock: Clock
    rand: random.Random
    store: Store
    bound: ValueBound
    on_listed_elsewhere: Callable[[list[ItemState]], None]
    on_written: Callable[[OwnedJob, WrittenGroup | None], None]
    notifications: SentNotifications


async def load_groups(deps: CommitDeps, job: OwnedJob) -> Result[None, StoreError]:
    """Read the stored groups that are not yet known here, and notify readers of them.

    Any of them may stem from a write of this instance, or of one that is lost, whose outcome is
    known only now.
    """
    while True:
        known = job.groups
        read = await read_groups(deps.store, job.job_id, known)
        if isinstance(read, Err):
            return read
        if not read.ok_value:
            return Ok(None)
        for number, group in enumerate(read.ok_value, known):
            if number == job.groups:
                deps.on_listed_elsewhere(job.apply_group(number, group))
        if job.groups > known:
            _notify(deps, job, None)


async def commit(deps: CommitDeps, job: OwnedJob) -> None:
    """Write all finished items, retrying for as long as the store is unavailable."""
    if job.committing:
        return
    job.committing = True
    try:
        await deps.clock.sleep(BATCHING_MS)
        while job.unwritten:
            if not await _write_group(deps, job):
                await deps.clock.sleep(RETRY_MS * deps.rand.uniform(0.5, 1.5))
    finally:
        job.committing = False


async def _write_group(deps: CommitDeps, job: OwnedJob) -> bool:
    """Try to create the next group; return False if the next attempt must be delayed."""
    number = job.groups
    forms = _choose_forms(deps, job)
    write_id = f"{deps.rand.getrandbits(WRITE_ID_BITS):016x}"
    group = ResultGroup(write_id, tuple(unpack(form.stored) for form in forms))
    value = encode(ResultGroup(write_id, tuple(form.stored for form in forms)))
    settling = SettleDeps(deps.store, deps.clock, deps.rand)
    began_ms = deps.clock.now()
    due_ms = began_ms + SETTLE_MS
    deps.notifications.write_begun(job.job_id, began_ms)
    created = await create_settled(settling, group_key(job.job_id, number), value, due_ms)
    if isinstance(created, Ok):
        job.apply_group(number, group)
        events.emit(
            events.ITEMS_LISTED,
            job=job.job_id,
            group=number,
            items=[result.id for result in group.results],
        )
        _notify(deps, job, WrittenGroup(number, group, began_ms))
        return True
    if created.err_value in (StoreError.CONFLICT, StoreError.LOST):
        return isinstance(await load_groups(deps, job), Ok) and job.groups > number
    if created.err_value is StoreError.TOO_LARGE:
        deps.notifications.write_settled(job.job_id)
        return _on_too_large(job, forms)
    events.emit(events.COMMIT_DELAYED, job=job.job_id, reason=created.err_value.value)
    return False


def _on_too_large(job: OwnedJob, forms: Sequence[SizedResult]) -> bool:
    """Make the next group smaller; return False if the next attempt must be delayed.

    The store measures an object in its own encoding, which may be larger than this one. A single
    result that should fit is not given up for that: it is written after all others.
    """
    size = group_size(forms)
    events.emit(events.GROUP_TOO_LARGE, job=job.job_id, results=len(forms), bytes=size)
    if len(forms) == 1:
        job.postpone(forms[0].stored.id)
        return False
    job.max_group_bytes = size // 2
    return True


def _notify(deps: CommitDeps, job: OwnedJob, written: WrittenGroup | None) -> None:
    """Notify readers of a job's groups; the create of any of them can take effect no more."""
    deps.notifications.write_settled(job.job_id)
    deps.on_written(job, written)


def _choose_forms(deps: CommitDeps, job: OwnedJob) -> list[SizedResult]:
    """Return the results of the next group as they are stored; give up those that fit nowhere."""
    limit = min(job.max_group_bytes, deps.bound.max_bytes)
    return choose_group((_form(deps, job, item_id) for item_id in list(job.unwritten)), limit)


def _form(deps: CommitDeps, job: OwnedJob, item_id: str) -> SizedResult:
    form = smallest_form(job.unwritten[item_id], deps.bound)
    if not fits_alone(form, deps.bound):
        events.emit(events.RESULT_TOO_LARGE, job=job.job_id, item=item_id, bytes=form.size)
        job.discard_text(item_id)
        form = smallest_form(job.unwritten[item_id], deps.bound)
    return form
