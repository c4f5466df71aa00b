"""Accept and cancel jobs.

Creating the active record is the moment of acceptance: the input file is completely stored by
then, and the record refers to everything else that is needed to run the job. The id of a job
with an idempotency key is derived from its caller and key, so that a resent request finds the
same record on any instance.
"""

import hashlib
import re
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.batch import keys, store_access
from papayapier.batch.lookup import RETRY_AFTER_MS, FoundJob, find_file, find_job, unavailable
from papayapier.batch.records import FileRecord, JobRecord, JobState
from papayapier.batch.tasks import choose_task_items
from papayapier.decoding import parse_number
from papayapier.errors import ErrorKind, Refusal, not_run_refusal, unknown_refusal
from papayapier.peer.messages import JobChanged
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.batch.registry import JobRegistry
    from papayapier.config.profiles import Profile

WINDOW_PATTERN: Final = re.compile(r"^([1-9][0-9]{0,5})([smhd])$")
UNIT_MS: Final = {"s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
STORE_TIMEOUT_MS: Final = 3_000
MIN_FILE_LIFETIME_MS: Final = 600_000
MAX_METADATA_ENTRIES: Final = 16
MAX_CANCEL_ATTEMPTS: Final = 5


class JobRequest(NamedTuple):
    """Hold a caller's request for a job; due_ms is 0 if it is not given."""

    caller: str
    key: str
    file_id: str
    endpoint: str
    window: str
    metadata: dict[str, str]
    profile: str
    due_ms: int


class BatchJobService:
    """Serve the requests that create and cancel jobs."""

    def __init__(self, deps: "BatchDeps", registry: "JobRegistry") -> None:
        self._deps = deps
        self._registry = registry

    async def accept(self, request: JobRequest) -> Result[FoundJob, Refusal]:
        """Accept a job, or return the job that the same request created before."""
        if request.key:
            # This precedes all checks of the request: the file or the profile of an accepted job
            # may no longer exist, and "not run" would be false.
            found = await self._find_existing(request)
            if found is not None:
                return found
        return await self._accept_new(request)

    async def _find_existing(self, request: JobRequest) -> Result[FoundJob, Refusal] | None:
        found = await find_job(self._deps, request.caller, _job_id(request.caller, request.key))
        if isinstance(found, Ok):
            return await self._match_existing(request, found.ok_value)
        if found.err_value.kind is ErrorKind.NOT_FOUND:
            return None
        reason = "it is unknown whether a job with this key was accepted before"
        return Err(unknown_refusal(found.err_value.kind, reason, RETRY_AFTER_MS))

    async def _match_existing(
        self, request: JobRequest, found: FoundJob
    ) -> Result[FoundJob, Refusal]:
        """Compare a request with the job that has its key.

        Files are compared by content: a client that assumes that a job failed may upload the
        same file again, under a new id.
        """
        record = found.record
        matches = record.request_sha256 == _request_sha256(request)
        if matches and record.file_id != request.file_id:
            file = await find_file(self._deps, request.caller, request.file_id)
            matches = isinstance(file, Ok) and file.ok_value.record.sha256 == record.file_sha256
        if not matches:
            reason = f"the key was used for job {record.job_id} with different content"
            return Err(not_run_refusal(ErrorKind.KEY_CONFLICT, reason))
        events.emit(events.JOB_RESENT, job=record.job_id, caller=record.caller)
        return Ok(found)

    async def _accept_new(self, request: JobRequest) -> Result[FoundJob, Refusal]:
        profile = self._deps.find_profile(request.profile)
        if profile is None:
            reason = f"no profile is named {request.profile}"
            return Err(not_run_refusal(ErrorKind.UNKNOWN_PROFILE, reason))
        window = _window_ms(request.window)
        if window is None:
            reason = f"completion_window: expected a number with s, m, h or d, got {request.window}"
            return Err(not_run_refusal(ErrorKind.BAD_REQUEST, reason))
        file = await self._usable_file(request.caller, request.file_id)
        if isinstance(file, Err):
            return file
        invalid_reason = _invalid_reason(request, file.ok_value)
        if invalid_reason:
            return Err(not_run_refusal(ErrorKind.BAD_REQUEST, invalid_reason))
        return await self._create(
            request, self._new_record(request, profile, window, file.ok_value)
        )

    async def _create(self, request: JobRequest, record: JobRecord) -> Result[FoundJob, Refusal]:
        deps = self._deps
        value = codec.pack(record)
        key = keys.active_key(record.job_id)
        created = await store_access.retry_while_unavailable(
            deps, STORE_TIMEOUT_MS, lambda: store_access.create(deps, key, value)
        )
        if isinstance(created, Err):
            return await self._on_create_failed(request, record, created.err_value)
        if record.key:
            ended = await self._undo_if_ended(request, record, created.ok_value)
            if ended is not None:
                return ended
        self._registry.apply_record(record, created.ok_value)
        deps.broadcast(JobChanged(record.job_id, created.ok_value))
        events.emit(
            events.JOB_ACCEPTED,
            job=record.job_id,
            caller=record.caller,
            items=record.item_count(),
            due_ms=record.due_ms,
        )
        return Ok(FoundJob(record, created.ok_value, False))

    async def _on_create_failed(
        self, request: JobRequest, record: JobRecord, error: StoreError
    ) -> Result[FoundJob, Refusal]:
        if error is StoreError.CONFLICT:
            found = await find_job(self._deps, record.caller, record.job_id)
            return (
                await self._match_existing(request, found.ok_value)
                if isinstance(found, Ok)
                else found
            )
        reason = "the job is not stored"
        if error is StoreError.LOST:
            # The write may have taken effect or may still do so. A retry with the same key finds
            # the job if it exists.
            reason = "it is unknown whether the job was stored"
            return Err(unknown_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))
        return Err(not_run_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))

    async def _undo_if_ended(
        self, request: JobRequest, record: JobRecord, version: int
    ) -> Result[FoundJob, Refusal] | None:
        """Undo the acceptance of a job that ended while this request searched for it.

        Between the search for the job and the creation of its record, the same job may have
        ended and its active record may have been deleted. Instances that read the new record
        before it is undone check for the ended record as well, so nothing runs twice.
        """
        read = await self._deps.store.get(keys.ended_key(record.job_id))
        if isinstance(read, Err) and read.err_value is StoreError.NOT_FOUND:
            return None
        if isinstance(read, Err):
            # The store did not answer: keep the record, because its readers check for the ended
            # record too.
            return None
        await store_access.delete(self._deps, keys.active_key(record.job_id), version)
        ended = codec.unpack(read.ok_value.value, JobRecord)
        if isinstance(ended, Err):
            return Err(not_run_refusal(ErrorKind.INTERNAL, "the job's record is not readable"))
        return await self._match_existing(
            request, FoundJob(ended.ok_value, read.ok_value.version, True)
        )

    def _new_record(
        self, request: JobRequest, profile: "Profile", window: int, file: FileRecord
    ) -> JobRecord:
        deps = self._deps
        now = deps.clock.wall()
        instances = len(deps.live_instances())
        size = choose_task_items(
            file.item_count(), deps.cfg.chunk_items, instances, profile.idempotent
        )
        return JobRecord(
            job_id=_job_id(request.caller, request.key or f"{deps.rand.getrandbits(128):032x}"),
            caller=request.caller,
            key=request.key,
            request_sha256=_request_sha256(request),
            file_id=file.file_id,
            file_sha256=file.sha256,
            endpoint=request.endpoint,
            window=request.window,
            metadata=request.metadata,
            profile=profile,
            chunks=file.chunks,
            task_items=size,
            created_ms=now,
            due_ms=request.due_ms or now + min(window, profile.due_ms),
        )

    async def _usable_file(self, caller: str, file_id: str) -> Result[FileRecord, Refusal]:
        """Read the record of a caller's file if a new job may still use the file."""
        file = await find_file(self._deps, caller, file_id)
        if isinstance(file, Err):
            return file
        record = file.ok_value.record
        if record.expires_ms - self._deps.clock.wall() < MIN_FILE_LIFETIME_MS:
            return Err(not_run_refusal(ErrorKind.NOT_FOUND, f"file {file_id} has expired"))
        return Ok(record)

    async def cancel(self, caller: str, job_id: str) -> Result[FoundJob, Refusal]:
        """Cancel a job; a job that is cancelled or ended already stays unchanged."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            found = await find_job(self._deps, caller, job_id)
            if isinstance(found, Err):
                return found
            job = found.ok_value
            if job.ended or job.record.state is not JobState.RUNNING:
                return found
            record = job.record._replace(
                state=JobState.CANCELLING, cancel_ms=self._deps.clock.wall()
            )
            key = keys.active_key(job_id)
            written = await store_access.update(self._deps, key, codec.pack(record), job.version)
            if isinstance(written, Ok):
                return Ok(self._on_cancelled(record, written.ok_value))
            if written.err_value is StoreError.LOST:
                reason = "it is unknown whether the cancel was stored"
                return Err(unknown_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS))
            if written.err_value is not StoreError.CONFLICT:
                return Err(unavailable())
        return Err(not_run_refusal(ErrorKind.VERSION_CONFLICT, "the job's record keeps changing"))

    def _on_cancelled(self, record: JobRecord, version: int) -> FoundJob:
        self._registry.apply_record(record, version)
        self._deps.broadcast(JobChanged(record.job_id, version))
        events.emit(events.JOB_CANCELLED, job=record.job_id, caller=record.caller)
        return FoundJob(record, version, False)


def caller_prefix(caller: str) -> str:
    """Return the prefix of the ids of all jobs of a caller."""
    return "batch_" + hashlib.sha256(caller.encode()).hexdigest()[:8]


def _job_id(caller: str, key: str) -> str:
    digest = hashlib.sha256(f"{caller}\n{key}".encode()).hexdigest()
    return caller_prefix(caller) + digest[:32]


def _request_sha256(request: JobRequest) -> str:
    """Hash the fields, except the file, in which two requests for the same job must agree."""
    metadata = sorted(request.metadata.items())
    parts = (request.endpoint, request.window, request.profile, request.due_ms, metadata)
    return hashlib.sha256(codec.pack(parts)).hexdigest()


def _window_ms(window: str) -> int | None:
    match = WINDOW_PATTERN.match(window)
    count = parse_number(match[1]) if match else None
    return None if match is None or count is None else count * UNIT_MS[match[2]]


def _invalid_reason(request: JobRequest, file: FileRecord) -> str:
    if file.endpoints != [request.endpoint]:
        found = ", ".join(file.endpoints)
        return f"endpoint: {request.endpoint} expected, but the file's items are for {found}"
    if len(request.metadata) > MAX_METADATA_ENTRIES:
        return f"metadata: over {MAX_METADATA_ENTRIES} entries"
    return ""
