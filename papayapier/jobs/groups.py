"""Read a job with all its items, and the groups of results beyond those that are known."""

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

PAGE: Final = 500
FIRST: Final = 0


async def read_groups(
    store: Store, job_id: str, known: int
) -> Result[list[ResultGroup], StoreError]:
    """Return the groups from number known on, as many as one call gives."""
    after = group_key(job_id, known - 1) if known > FIRST else ""
    listed = await store.list(groups_prefix(job_id), after, PAGE)
    if isinstance(listed, Err):
        return listed
    groups: list[ResultGroup] = []
    for entry in sorted(listed.ok_value.objects):
        # A group may be listed only after all groups before it; anything else is not read.
        if entry.key != group_key(job_id, known + len(groups)):
            break
        group = read_group(entry.value)
        if isinstance(group, Err):
            events.emit(events.INPUT_MISSING, job=job_id, key=entry.key, reason=group.err_value)
            return Err(StoreError.UNAVAILABLE)
        groups.append(group.ok_value)
    return Ok(groups)


async def read_whole(store: Store, job_id: str, record: JobRecord) -> Result[JobRecord, StoreError]:
    """Return a job with the items that its parts hold."""
    items: tuple[JobItem, ...] = record.items
    for number in range(record.parts):
        found = await store.get(part_key(job_id, number))
        if isinstance(found, Err):
            return found
        part = read_items(found.ok_value.value)
        if isinstance(part, Err):
            events.emit(events.INPUT_MISSING, job=job_id, part=number, reason=part.err_value)
            return Err(StoreError.UNAVAILABLE)
        items += part.ok_value
    return Ok(record._replace(items=items, parts=0))
