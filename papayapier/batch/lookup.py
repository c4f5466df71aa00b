"""Find callers' files and jobs in the store."""

import re
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec
from papayapier.batch import keys
from papayapier.batch.records import FileRecord, JobRecord
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

RETRY_AFTER_MS: Final = 5_000


class FoundFile(NamedTuple):
    """Hold a file's record and its version."""

    record: FileRecord
    version: int


class FoundJob(NamedTuple):
    """Hold a job's record and its version; ended: the record is that of an ended job."""

    record: JobRecord
    version: int
    ended: bool


async def find_file(
    deps: "BatchDeps", caller: str, file_id: str, deleted: bool = False
) -> Result[FoundFile, Refusal]:
    """Read the record of a caller's file; deleted: also return a file marked for deletion."""
    missing = not_run_refusal(ErrorKind.NOT_FOUND, f"no file is named {file_id}")
    if not _is_valid_id(file_id):
        return Err(missing)
    read = await deps.store.get(keys.file_key(file_id))
    if isinstance(read, Err):
        return Err(missing if read.err_value is StoreError.NOT_FOUND else unavailable())
    record = codec.unpack(read.ok_value.value, FileRecord)
    if isinstance(record, Err):
        return Err(not_run_refusal(ErrorKind.INTERNAL, "the file's record is not readable"))
    file = record.ok_value
    if file.caller != caller or (file.deleted and not deleted):
        return Err(missing)
    return Ok(FoundFile(file, read.ok_value.version))


async def find_job(deps: "BatchDeps", caller: str, job_id: str) -> Result[FoundJob, Refusal]:
    """Find a caller's job, active or ended."""
    missing = not_run_refusal(ErrorKind.NOT_FOUND, f"no job is named {job_id}")
    if not _is_valid_id(job_id):
        return Err(missing)
    for key, ended in ((keys.active_key(job_id), False), (keys.ended_key(job_id), True)):
        read = await deps.store.get(key)
        if isinstance(read, Ok):
            record = codec.unpack(read.ok_value.value, JobRecord)
            if isinstance(record, Err):
                return Err(not_run_refusal(ErrorKind.INTERNAL, "the job's record is not readable"))
            if record.ok_value.caller != caller:
                return Err(missing)
            return Ok(FoundJob(record.ok_value, read.ok_value.version, ended))
        if read.err_value is not StoreError.NOT_FOUND:
            return Err(unavailable())
    return Err(missing)


def _is_valid_id(text: str) -> bool:
    """Return whether a caller's text can be part of a key."""
    return re.fullmatch(r"[A-Za-z0-9_-]{1,100}", text) is not None


def unavailable() -> Refusal:
    """Return the refusal for a store that does not answer."""
    return not_run_refusal(ErrorKind.STORE_UNAVAILABLE, "the store does not answer", RETRY_AFTER_MS)
