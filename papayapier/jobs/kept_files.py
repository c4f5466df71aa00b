"""Keep jobs as files on a keeper's disk: one file a job, whole or worth nothing.

A job is synced before anybody is told of it. All calls block; they run in a thread.
"""

from pathlib import Path
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier import sealed_files

SUFFIX: Final = ".job"
# The id in hexadecimal is the file's name, which has 255 characters at most.
LONGEST_ID_BYTES: Final = 120


class KeptJob(NamedTuple):
    """Hold a job as it is to be created in the store."""

    job_id: str
    value: bytes


class Loaded(NamedTuple):
    """Hold what was read of a folder; odd names the files that are not whole, with the reason."""

    jobs: list[KeptJob]
    odd: list[str]


_JOB: Final = msgspec.msgpack.Decoder(KeptJob)


def write(folder: str, job: KeptJob) -> Result[None, str]:
    """Write and sync a job's file."""
    if len(job.job_id.encode()) > LONGEST_ID_BYTES:
        return Err("the job's id is too long for a file's name")
    return sealed_files.write(_path(folder, job.job_id), msgspec.msgpack.encode(job))


def remove(folder: str, job_id: str) -> Result[None, str]:
    """Remove a job's file for good: without a sync of its folder a loss of power brings it back."""
    path = _path(folder, job_id)
    try:
        path.unlink(missing_ok=True)
        sealed_files.sync_folder(path.parent)
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    return Ok(None)


def load(folder: str) -> Result[Loaded, str]:
    """Read every job of a folder."""
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
            loaded.odd.append(read.err_value)
    return Ok(loaded)


def _read(path: Path) -> Result[KeptJob, str]:
    body = sealed_files.read(path)
    if isinstance(body, Err):
        return body
    try:
        return Ok(_JOB.decode(body.ok_value))
    except msgspec.MsgspecError as exc:
        return Err(f"{path.name}: {exc}")


def _path(folder: str, job_id: str) -> Path:
    return Path(folder) / (job_id.encode().hex() + SUFFIX)
