"""Read all items of a job, and the result groups that are not yet known."""

from typing import Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.jobs.records import (
    JobItem,
    JobRecord,
    ResultGroup,
    group_key,
    groups_prefix,
    part_key,
    read_group,
    read_items,
)
from papayapier.store.api import Store, StoreError

PAGE_SIZE: Final = 500
FIRST_GROUP: Final = 0


async def read_groups(
    store: Store, job_id: str, known: int
) -> Result[list[ResultGroup], StoreError]:
    """Return the groups that follow the first `known` ones, as many as one list call returns."""
    after = group_key(job_id, known - 1) if known > FIRST_GROUP else ""
    listed = await store.list(groups_prefix(job_id), after, PAGE_SIZE)
    if isinstance(listed, Err):
        return listed
    groups: list[ResultGroup] = []
    for entry in sorted(listed.ok_value.objects):
        # Groups are consecutive; anything after a gap is not read.
        if entry.key != group_key(job_id, known + len(groups)):
            break
        group = read_group(entry.value)
        if isinstance(group, Err):
            events.emit(events.INPUT_MISSING, job=job_id, key=entry.key, reason=group.err_value)
            return Err(StoreError.UNAVAILABLE)
        groups.append(group.ok_value)
    return Ok(groups)


async def read_with_items(
    store: Store, job_id: str, record: JobRecord
) -> Result[JobRecord, StoreError]:
    """Return a job's record with the items of all its parts."""
    items: tuple[JobItem, ...] = record.items
    for number in range(record.parts):
        found = await store.get(part_key(job_id, number))
        if isinstance(found, Err):
            return found
        items_part = read_items(found.ok_value.value)
        if isinstance(items_part, Err):
            events.emit(events.INPUT_MISSING, job=job_id, part=number, reason=items_part.err_value)
            return Err(StoreError.UNAVAILABLE)
        items += items_part.ok_value
    return Ok(record._replace(items=items, parts=0))
