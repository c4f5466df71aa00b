"""Delete jobs whose retention period is over, so that the store does not grow without bound.

The record is deleted first: a job without a record is reported as not found, while a record
without its groups would make a finished job look like one without results.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.jobs.records import JOBS_PREFIX, groups_prefix, job_key, part_key, read_record
from papayapier.store.api import Change, Store

SWEEP_MS: Final = 5_000
# Jobs are retained longer by this margin, which exceeds the difference of the instances' wall
# clocks.
CLOCK_MARGIN_MS: Final = 30_000
# Bounds the deletions of one sweep; the next sweep continues.
MAX_JOBS_PER_SWEEP: Final = 20
ANY_VERSION: Final = 0
PAGE: Final = 500


class ExpiryDeps(NamedTuple):
    """Group the dependencies of Expiry.

    may_delete returns whether this instance is responsible for a job and the job is closed. keep_s
    is the time for which results stay readable after a job was submitted.
    """

    clock: Clock
    store: Store
    keep_s: int
    may_delete: Callable[[str], bool]


class _JobAge(NamedTuple):
    version: int
    accepted_ms: int
    parts: int


class Expiry:
    """Track when each job was accepted, and delete expired jobs."""

    def __init__(self, deps: ExpiryDeps) -> None:
        self._deps = deps
        self._jobs: dict[str, _JobAge] = {}

    def on_change(self, change: Change) -> None:
        """Handle a change of a job's record."""
        job_id = change.key.removeprefix(JOBS_PREFIX)
        read = Err("gone") if change.deleted else read_record(change.value)
        if isinstance(read, Err):
            self._jobs.pop(job_id, None)
            return
        record = read.ok_value
        self._jobs[job_id] = _JobAge(change.version, record.accepted_ms, record.parts)

    async def run(self) -> None:
        """Sweep periodically until cancelled."""
        while True:
            await self._deps.clock.sleep(SWEEP_MS)
            await self.sweep()

    async def sweep(self) -> None:
        """Delete a bounded number of expired jobs."""
        oldest_ms = self._deps.clock.wall() - self._deps.keep_s * MS_PER_S - CLOCK_MARGIN_MS
        expired = [key for key, job in self._jobs.items() if job.accepted_ms < oldest_ms]
        for job_id in [key for key in expired if self._deps.may_delete(key)][:MAX_JOBS_PER_SWEEP]:
            await self._delete(job_id, self._jobs[job_id])

    async def _delete(self, job_id: str, job: _JobAge) -> None:
        store = self._deps.store
        deleted = await store.delete(job_key(job_id), job.version)
        if isinstance(deleted, Err):
            return
        self._jobs.pop(job_id, None)
        events.emit(events.EXPIRED, job=job_id)
        for number in range(job.parts):
            await store.delete(part_key(job_id, number), ANY_VERSION)
        listed = await store.list(groups_prefix(job_id), "", PAGE)
        if isinstance(listed, Ok):
            for group in listed.ok_value.objects:
                await store.delete(group.key, ANY_VERSION)
