"""Read and write files that start with a checksum of their content.

After a power failure a file may contain any mix of old and new blocks; the checksum detects
this. Calls block. A faulty disk can hang for seconds, so callers that must not wait make them
in a thread.
"""

import os
from pathlib import Path
from typing import Final

import xxhash
from result import Err, Ok, Result

CHECKSUM_BYTES: Final = 16


def write(path: Path, body: bytes) -> Result[None, str]:
    """Write and sync a file; the error is that of the operating system."""
    try:
        with path.open("wb") as file:
            file.write(xxhash.xxh3_128_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    return Ok(None)


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that files removed from it stay removed; raise OSError."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def read(path: Path) -> Result[bytes, str]:
    """Return the content of a file, or why it cannot be read."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    checksum, body = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
    return Ok(body) if xxhash.xxh3_128_digest(body) == checksum else Err(f"{path.name}: torn")
