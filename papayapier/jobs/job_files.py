"""Store jobs as files on a keeper's disk, one file per job; an incomplete file is ignored.

A file is synced before the job is reported as stored. All functions block; callers run them in a
thread.
"""

from pathlib import Path
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier import checksummed_files
from papayapier.decoding import DECODE_ERRORS

SUFFIX: Final = ".job"
# The file name is the id in hexadecimal, and file names are limited to 255 characters.
MAX_ID_BYTES: Final = 120


class LocalJob(NamedTuple):
    """Hold a job's id and the encoded record to be created in the store."""

    job_id: str
    value: bytes


class Loaded(NamedTuple):
    """Hold the jobs read from a folder; unreadable names the other files with the reason."""

    jobs: list[LocalJob]
    unreadable: list[str]


_JOB: Final = msgspec.msgpack.Decoder(LocalJob)


def write(folder: str, job: LocalJob) -> Result[None, str]:
    """Write a job's file and sync it to disk."""
    if len(job.job_id.encode()) > MAX_ID_BYTES:
        return Err("job id is too long for a file name")
    return checksummed_files.write(_path(folder, job.job_id), msgspec.msgpack.encode(job))


def remove(folder: str, job_id: str) -> Result[None, str]:
    """Remove a job's file and sync its folder; otherwise a power failure could restore the file."""
    path = _path(folder, job_id)
    try:
        path.unlink(missing_ok=True)
        checksummed_files.sync_folder(path.parent)
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    return Ok(None)


def load(folder: str) -> Result[Loaded, str]:
    """Read all jobs of a folder."""
    loaded = Loaded([], [])
    try:
        paths = sorted(Path(folder).glob("*" + SUFFIX))
    except OSError as exc:
        return Err(f"{folder}: {exc.strerror}")
    for path in paths:
        read = _read(path)
        if isinstance(read, Ok):
            loaded.jobs.append(read.ok_value)
        else:
            loaded.unreadable.append(read.err_value)
    return Ok(loaded)


def _read(path: Path) -> Result[LocalJob, str]:
    body = checksummed_files.read(path)
    if isinstance(body, Err):
        return body
    try:
        return Ok(_JOB.decode(body.ok_value))
    except DECODE_ERRORS as exc:
        return Err(f"{path.name}: {exc}")


def _path(folder: str, job_id: str) -> Path:
    return Path(folder) / (job_id.encode().hex() + SUFFIX)
