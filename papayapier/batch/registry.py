"""Know the active jobs: list them once, then watch, and read what changed.

Peers also tell of changes, which is faster; the watch is what can be relied on. A watch that
fails or is too far behind is replaced by a listing, which also finds jobs that have gone.
One waiting watch counts as one call of the store, whatever the number of jobs.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.batch import keys, saves
from papayapier.batch.records import JobRecord
from papayapier.batch.work import JobWork
from papayapier.store.api import Listing, StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

PAGE: Final = 1_000
WATCH_MS: Final = 20_000


class JobListeners(NamedTuple):
    """Group the calls made when jobs come, change and go."""

    on_new: Callable[[JobWork], None]
    on_changed: Callable[[JobWork], None]
    on_gone: Callable[[JobWork], None]


class JobRegistry:
    """Hold the active jobs by id."""

    def __init__(self, deps: "BatchDeps", listeners: JobListeners) -> None:
        self.jobs: dict[str, JobWork] = {}
        self.fresh = False
        self._deps = deps
        self._listeners = listeners
        self._pauses = saves.Pauses(deps.rand)

    async def run(self) -> None:
        """Follow the active jobs until cancelled."""
        while True:
            revision = await self.list_all()
            while revision is not None:
                revision = await self._watch(revision)
            self.fresh = False
            await self._deps.clock.sleep(self._pauses.next_ms())

    async def list_all(self) -> int | None:
        """Read every active job that is new or changed; return the listing's revision."""
        listed = await list_keys(self._deps, keys.ACTIVE_PREFIX)
        if isinstance(listed, Err):
            return None
        versions, revision = listed.ok_value
        # A job accepted here while the listing was under way is not in it, but has not gone.
        known = [job for job in self.jobs.values() if job.version <= revision]
        for job in known:
            if job.record.job_id not in versions:
                self._drop(job.record.job_id)
        for job_id, version in versions.items():
            if not await self._read_newer(job_id, version):
                return None
        self.fresh = True
        self._pauses.reset()
        return revision

    async def _watch(self, since: int) -> int | None:
        """Wait for changes once; return the revision to go on from."""
        watched = await self._deps.store.watch(keys.ACTIVE_PREFIX, since, WATCH_MS)
        if isinstance(watched, Err):
            return None
        for change in watched.ok_value.changes:
            job_id = keys.last_part(change.key)
            if change.deleted:
                self._drop(job_id)
            elif not await self._read_newer(job_id, change.version):
                return None
        return watched.ok_value.revision

    async def _read_newer(self, job_id: str, version: int) -> bool:
        known = self.jobs.get(job_id)
        if known is not None and known.version >= version:
            return True
        return await self.read(job_id)

    async def read(self, job_id: str) -> bool:
        """Read one job's record and take it in; False says that the store did not answer."""
        read = await self._deps.store.get(keys.active_key(job_id))
        if isinstance(read, Err):
            gone = read.err_value is StoreError.NOT_FOUND
            if gone:
                self._drop(job_id)
            return gone
        record = codec.unpack(read.ok_value.value, JobRecord)
        if isinstance(record, Err):
            events.emit(events.BATCH_BROKEN, work=f"job {job_id}", error=record.err_value)
            return True
        version = read.ok_value.version
        if job_id not in self.jobs:
            ended = await self._has_ended(job_id, version)
            if ended is not False:
                return ended is True
        self.take(record.ok_value, version)
        return True

    async def _has_ended(self, job_id: str, version: int) -> bool | None:
        """Remove the record of a job that has ended; None says that the store did not answer.

        A job sent again may be accepted in the moment between its end and the removal of
        its active record. It would run a second time; the ended record shows that.
        """
        ended = await self._deps.store.get(keys.ended_key(job_id))
        if isinstance(ended, Err):
            return False if ended.err_value is StoreError.NOT_FOUND else None
        await saves.delete(self._deps.store, keys.active_key(job_id), version)
        return True

    def take(self, record: JobRecord, version: int) -> JobWork:
        """Take in a record as read or written; an older version is ignored."""
        known = self.jobs.get(record.job_id)
        if known is None:
            now = self._deps.clock.now()
            job = JobWork(record, version, self._deps.cfg.shards, now)
            self.jobs[record.job_id] = job
            self._listeners.on_new(job)
            return job
        if version > known.version:
            known.record = record
            known.version = version
            self._listeners.on_changed(known)
        return known

    def _drop(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._listeners.on_gone(job)


class Keys(NamedTuple):
    """Hold the last parts of listed keys with their versions, in order."""

    versions: dict[str, int]
    revision: int


async def list_keys(deps: "BatchDeps", prefix: str) -> Result[Keys, StoreError]:
    """List all keys under a prefix, page by page."""
    found: dict[str, int] = {}
    after = ""
    revision: int | None = None
    while True:
        listed = await deps.store.list(prefix, after, PAGE)
        if isinstance(listed, Err):
            return listed
        page: Listing = listed.ok_value
        # The first page's revision: a change made while later pages are read is then seen
        # by the watch, maybe for the second time, but never missed.
        revision = page.revision if revision is None else revision
        found.update((keys.last_part(entry.key), entry.version) for entry in page.objects)
        if not page.more or not page.objects:
            return Ok(Keys(found, revision))
        after = page.objects[-1].key
