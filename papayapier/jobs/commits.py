"""Write results as groups, each created once by whoever has read all groups before it.

Two instances may run the same job, because one took the other for dead. Both create group N;
one fails, reads what the other wrote, drops the items that it lists, and goes on with N + 1.
A create whose answer was lost is read back by its write id. So an item is listed once and
keeps its position, whatever is lost, late or done twice.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.jobs.groups import read_groups
from papayapier.jobs.news import GroupsTold
from papayapier.jobs.records import ItemResult, ResultGroup, encode, group_key
from papayapier.jobs.work import Item, JobWork
from papayapier.store.api import Store, StoreError
from papayapier.store.writes import Settling, create_settled

WRITE_ID_BITS: Final = 64
# Items that end together are written together: one call in place of several, while a quarter
# of a second later is nothing to a job that is due in many.
GATHER_MS: Final = 250
SETTLE_MS: Final = 2_000
PAUSE_MS: Final = 200
# The store takes values of 1 MiB at most, and what is stored is escaped once more.
GROUP_BYTES: Final = 600_000


class Written(NamedTuple):
    """Hold a group that was created here; when the write began, no group after it existed."""

    number: int
    group: ResultGroup
    began_ms: int


class CommitDeps(NamedTuple):
    """Group what commits work with; taken_over is told of items that others have listed,
    written of each group that may have been created here, with the group where it surely was. news
    counts writes under way.
    """

    clock: Clock
    rand: random.Random
    store: Store
    taken_over: Callable[[list[Item]], None]
    written: Callable[[JobWork, Written | None], None]
    news: GroupsTold


async def load_groups(deps: CommitDeps, work: JobWork) -> Result[None, StoreError]:
    """Read the groups that are stored and not yet known."""
    while True:
        known = work.groups
        read = await read_groups(deps.store, work.job_id, known)
        if isinstance(read, Err):
            return read
        if not read.ok_value:
            return Ok(None)
        for number, group in enumerate(read.ok_value, known):
            if number == work.groups:
                deps.taken_over(work.take_group(number, group))


async def commit(deps: CommitDeps, work: JobWork) -> None:
    """Write everything that is finished, however long the store is away."""
    if work.committing:
        return
    work.committing = True
    try:
        await deps.clock.sleep(GATHER_MS)
        while work.unwritten:
            if not await _write_group(deps, work):
                await deps.clock.sleep(PAUSE_MS * deps.rand.uniform(0.5, 1.5))
    finally:
        work.committing = False
        deps.news.end(work.job_id)


async def _write_group(deps: CommitDeps, work: JobWork) -> bool:
    """Try to create the next group; False asks for a pause before the next try."""
    number = work.groups
    group = _gather(deps, work)
    settling = Settling(deps.store, deps.clock, deps.rand)
    began_ms = deps.clock.now()
    due_ms = began_ms + SETTLE_MS
    deps.news.begin(work.job_id, began_ms)
    done = await create_settled(settling, group_key(work.job_id, number), encode(group), due_ms)
    if isinstance(done, Ok):
        work.take_group(number, group)
        events.emit(
            events.ITEMS_LISTED,
            job=work.job_id,
            group=number,
            items=[one.id for one in group.results],
        )
        _tell(deps, work, Written(number, group, began_ms))
        return True
    if done.err_value in (StoreError.CONFLICT, StoreError.LOST):
        known = isinstance(await load_groups(deps, work), Ok) and work.groups > number
        if known:
            # It may be the group of an earlier try of this very write.
            _tell(deps, work, None)
        return known
    events.emit(events.COMMIT_DELAYED, job=work.job_id, reason=done.err_value.value)
    return False


def _tell(deps: CommitDeps, work: JobWork, written: Written | None) -> None:
    deps.news.end(work.job_id)
    deps.written(work, written)


def _gather(deps: CommitDeps, work: JobWork) -> ResultGroup:
    results: list[ItemResult] = []
    size = 0
    for result in work.unwritten.values():
        size += len(result.text)
        if results and size > GROUP_BYTES:
            break
        results.append(result)
    return ResultGroup(f"{deps.rand.getrandbits(WRITE_ID_BITS):016x}", tuple(results))
