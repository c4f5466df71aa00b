"""Track the active jobs: follow their records in the store, and read those that have changed.

Peers report changes too, which is faster, but only following the store is reliable. A waiting
watch counts as one store call, whatever the number of jobs.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err

from papayapier import codec, events
from papayapier.batch import background, keys, store_access
from papayapier.batch.active_jobs import ActiveJob
from papayapier.batch.records import JobRecord
from papayapier.store.api import Change, StoreError
from papayapier.store.watch import Backoff, Follower, FollowIntervals

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

FOLLOW_PACE: Final = FollowIntervals(watch_ms=20_000, poll_ms=60_000)


class JobListeners(NamedTuple):
    """Group the callbacks for jobs that are added, changed and removed."""

    on_new: Callable[[ActiveJob], None]
    on_changed: Callable[[ActiveJob], None]
    on_removed: Callable[[ActiveJob], None]


class JobRegistry:
    """Hold the active jobs by id."""

    def __init__(self, deps: "BatchDeps", listeners: JobListeners) -> None:
        self.jobs: dict[str, ActiveJob] = {}
        self._deps = deps
        self._listeners = listeners
        self._follower = Follower(
            deps.store, deps.clock, deps.rand, keys.ACTIVE_PREFIX, self._on_change, FOLLOW_PACE
        )
        self._unread: dict[str, int] = {}
        self._reading = False
        self._stopped = False

    def start(self) -> None:
        """Start following the active jobs."""
        self._follower.start()

    def stop(self) -> None:
        """Stop following the active jobs."""
        self._stopped = True
        self._follower.stop()

    def is_complete(self) -> bool:
        """Return whether every job that was recently active is known here."""
        listed = self._follower.last_listed_ms
        recent = listed is not None and self._deps.clock.now() - listed <= 2 * FOLLOW_PACE.poll_ms
        return recent and not self._unread

    def on_version_reported(self, job_id: str, version: int) -> None:
        """Handle a report that a job's record has a newer version."""
        known = self.jobs.get(job_id)
        if known is None or known.version < version:
            self._unread[job_id] = max(version, self._unread.get(job_id, 0))
            self._read_soon()

    def apply_record(self, record: JobRecord, version: int) -> ActiveJob:
        """Update a job from a record that was read or written; an older version is ignored."""
        known = self.jobs.get(record.job_id)
        if known is None:
            now = self._deps.clock.now()
            job = ActiveJob(record, version, self._deps.cfg.shards, now)
            self.jobs[record.job_id] = job
            self._listeners.on_new(job)
            return job
        if version > known.version:
            known.record = record
            known.version = version
            self._listeners.on_changed(known)
        return known

    def remove(self, job_id: str) -> None:
        """Remove a job that is no longer active."""
        self._unread.pop(job_id, None)
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._listeners.on_removed(job)

    def _on_change(self, change: Change) -> None:
        job_id = keys.last_part(change.key)
        if change.deleted:
            self.remove(job_id)
        else:
            self.on_version_reported(job_id, change.version)

    def _read_soon(self) -> None:
        if not self._reading and not self._stopped:
            self._reading = True
            background.start(self._read_all(), "reading of jobs")

    async def _read_all(self) -> None:
        pauses = Backoff(self._deps.rand)
        try:
            while self._unread and not self._stopped:
                job_id, version = next(iter(self._unread.items()))
                if not await self.read(job_id):
                    await self._deps.clock.sleep(pauses.next_ms())
                elif self._unread.get(job_id) == version:
                    del self._unread[job_id]
        finally:
            self._reading = False

    async def read(self, job_id: str) -> bool:
        """Read one job's record and update the job; False means that the store did not answer."""
        read = await self._deps.store.get(keys.active_key(job_id))
        if isinstance(read, Err):
            is_absent = read.err_value is StoreError.NOT_FOUND
            if is_absent:
                self.remove(job_id)
            return is_absent
        record = codec.unpack(read.ok_value.value, JobRecord)
        if isinstance(record, Err):
            events.emit(events.BATCH_BROKEN, work=f"job {job_id}", error=record.err_value)
            return True
        version = read.ok_value.version
        if job_id not in self.jobs:
            ended = await self._has_ended(job_id, version)
            if ended is not False:
                return ended is True
        self.apply_record(record.ok_value, version)
        return True

    async def _has_ended(self, job_id: str, version: int) -> bool | None:
        """Delete the active record of an ended job; None means that the store did not answer.

        A job that is submitted again may be accepted between its end and the deletion of its
        active record. It would run a second time; the ended record reveals this.
        """
        ended = await self._deps.store.get(keys.ended_key(job_id))
        if isinstance(ended, Err):
            return False if ended.err_value is StoreError.NOT_FOUND else None
        await store_access.delete(self._deps, keys.active_key(job_id), version)
        return True
