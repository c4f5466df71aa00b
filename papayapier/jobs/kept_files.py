"""Keep jobs as files on a keeper's disk: one file a job, whole or worth nothing.

A file begins with a checksum of the rest, so that one torn by a loss of power is known. It is
synced before anybody is told of it. All calls block; they run in a thread, since a faulty disk
hangs for seconds.
"""

import hashlib
import os
from pathlib import Path
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result

SUFFIX: Final = ".job"
DIGEST_BYTES: Final = 32


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
    body = msgspec.msgpack.encode(job)
    path = _path(folder, job.job_id)
    try:
        with path.open("wb") as file:
            file.write(hashlib.sha256(body).digest() + body)
            file.flush()
            os.fsync(file.fileno())
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    return Ok(None)


def remove(folder: str, job_id: str) -> Result[None, str]:
    """Remove a job's file; one that comes back after a loss of power is written once more."""
    path = _path(folder, job_id)
    try:
        path.unlink(missing_ok=True)
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
            loaded.odd.append(f"{path.name}: {read.err_value}")
    return Ok(loaded)


def _read(path: Path) -> Result[KeptJob, str]:
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Err(str(exc.strerror))
    digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
    if hashlib.sha256(body).digest() != digest:
        return Err("torn")
    try:
        return Ok(_JOB.decode(body))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))


def _path(folder: str, job_id: str) -> Path:
    return Path(folder) / (hashlib.sha256(job_id.encode()).hexdigest() + SUFFIX)
