"""Delete files and jobs whose retention time has passed.

The keys of expiry markers start with the time, so that one listing shows what is due, whatever
the number of stored objects. A marker is created before its object, so nothing is kept for
ever. It only triggers a check: the record shows whether the time was extended.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.batch import keys, store_access
from papayapier.batch.file_upload import EXPIRY_MARKER_VALUE, FILE_KIND
from papayapier.batch.job_completion import JOB_KIND
from papayapier.batch.lookup import find_file, unavailable
from papayapier.batch.records import FileRecord
from papayapier.batch.registry import JobRegistry
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.store.api import Entry, StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

MAX_MARKERS_PER_CHECK: Final = 100
DELETES_PER_PAGE: Final = 20
DELETE_PAUSE_MS: Final = 200
CHECK_INTERVAL_MS: Final = 60_000
POSTPONE_MS: Final = 3_600_000
DELETE_GRACE_MS: Final = 600_000


class DueMarker(NamedTuple):
    """Hold an expiry marker that is due."""

    entry: Entry
    at_ms: int
    kind: str
    object_id: str


class ExpiryCleaner:
    """Delete what is due, while this instance is responsible for it."""

    def __init__(
        self, deps: "BatchDeps", registry: JobRegistry, is_responsible: Callable[[], bool]
    ) -> None:
        self._deps = deps
        self._registry = registry
        self._is_responsible = is_responsible

    async def run(self) -> None:
        """Check periodically for due markers until cancelled."""
        while True:
            await self._deps.clock.sleep(CHECK_INTERVAL_MS)
            if self._is_responsible() and self._registry.is_complete():
                await self.run_once()

    async def run_once(self) -> None:
        """Delete what is due now."""
        listed = await self._deps.store.list(keys.EXPIRY_PREFIX, "", MAX_MARKERS_PER_CHECK)
        if isinstance(listed, Err):
            return
        now = self._deps.clock.wall()
        for entry in listed.ok_value.objects:
            marker = _parse_marker(entry)
            if marker.at_ms > now:
                return
            if not await self._handle_marker(marker):
                return

    async def _handle_marker(self, marker: DueMarker) -> bool:
        """Handle one marker; False means that the store did not answer."""
        if marker.kind == JOB_KIND:
            outcome = await self._expire_job(marker.object_id)
        else:
            outcome = await self._expire_file(marker)
        if outcome:
            await store_access.delete(self._deps, marker.entry.key, marker.entry.version)
        return outcome

    async def _expire_job(self, job_id: str) -> bool:
        for prefix in (
            keys.results_prefix(job_id),
            keys.progress_prefix(job_id),
            keys.spill_prefix(job_id),
        ):
            if not await self._delete_all(prefix):
                return False
        # The record is deleted last, because the job can be found only while it exists.
        return await self._delete_key(keys.ended_key(job_id), JOB_KIND, job_id)

    async def _expire_file(self, marker: DueMarker) -> bool:
        file_id = marker.object_id
        read = await self._deps.store.get(keys.file_key(file_id))
        if isinstance(read, Err) and read.err_value is not StoreError.NOT_FOUND:
            return False
        record = _file_record(read.ok_value.value) if isinstance(read, Ok) else None
        now = self._deps.clock.wall()
        if record is not None and not record.deleted and record.expires_ms > now:
            return await self._postpone(file_id, record.expires_ms)
        if any(job.record.file_id == file_id for job in self._registry.jobs.values()):
            return await self._postpone(file_id, now + POSTPONE_MS)
        for prefix in (keys.chunk_prefix(file_id), keys.index_prefix(file_id)):
            if not await self._delete_all(prefix):
                return False
        return await self._delete_key(keys.file_key(file_id), FILE_KIND, file_id)

    async def _postpone(self, file_id: str, at_ms: int) -> bool:
        marked = await store_access.create(
            self._deps, keys.expiry_key(at_ms, FILE_KIND, file_id), EXPIRY_MARKER_VALUE
        )
        return isinstance(marked, Ok) or marked.err_value is StoreError.CONFLICT

    async def _delete_all(self, prefix: str) -> bool:
        """Delete all objects under a prefix.

        Objects are deleted in small groups with pauses, to leave the store to other calls.
        """
        while True:
            listed = await self._deps.store.list(prefix, "", DELETES_PER_PAGE)
            if isinstance(listed, Err):
                return False
            if not listed.ok_value.objects:
                return True
            for entry in listed.ok_value.objects:
                deleted = await store_access.delete(self._deps, entry.key, entry.version)
                if isinstance(deleted, Err) and deleted.err_value is not StoreError.CONFLICT:
                    return False
            await self._deps.clock.sleep(DELETE_PAUSE_MS)

    async def _delete_key(self, key: str, kind: str, object_id: str) -> bool:
        read = await self._deps.store.get(key)
        if isinstance(read, Err):
            return read.err_value is StoreError.NOT_FOUND
        deleted = await store_access.delete(self._deps, key, read.ok_value.version)
        if isinstance(deleted, Ok):
            events.emit(events.EXPIRED, kind=kind, id=object_id)
        return isinstance(deleted, Ok)


async def delete_file(
    deps: "BatchDeps", registry: JobRegistry, caller: str, file_id: str
) -> Result[FileRecord, Refusal]:
    """Mark a file as deleted; its objects are deleted later, when no request can use them."""
    if any(job.record.file_id == file_id for job in registry.jobs.values()):
        reason = f"an active job uses file {file_id}"
        return Err(not_run_refusal(ErrorKind.STILL_RUNNING, reason))
    found = await find_file(deps, caller, file_id)
    if isinstance(found, Err):
        return found
    at_ms = deps.clock.wall() + DELETE_GRACE_MS
    marked = await store_access.create(
        deps, keys.expiry_key(at_ms, FILE_KIND, file_id), EXPIRY_MARKER_VALUE
    )
    if isinstance(marked, Err) and marked.err_value is not StoreError.CONFLICT:
        return Err(unavailable())
    record = found.ok_value.record._replace(deleted=True)
    key = keys.file_key(file_id)
    outcome = await store_access.update(deps, key, codec.pack(record), found.ok_value.version)
    if isinstance(outcome, Err):
        return Err(unavailable())
    return Ok(record)


def _parse_marker(entry: Entry) -> DueMarker:
    at_ms, kind, object_id = entry.key[len(keys.EXPIRY_PREFIX) :].split("/")
    return DueMarker(entry, int(at_ms), kind, object_id)


def _file_record(value: bytes) -> FileRecord | None:
    record = codec.unpack(value, FileRecord)
    return record.ok_value if isinstance(record, Ok) else None
