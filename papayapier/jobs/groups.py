"""Read the groups of results that a job has beyond those that are known."""

from typing import Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.jobs.records import ResultGroup, group_key, groups_prefix, read_group
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
