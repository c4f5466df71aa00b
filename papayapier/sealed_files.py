"""Write files that are whole or known not to be: a checksum of the rest stands before it.

After a loss of power a file may hold any mix of old and new parts. Calls block; whoever must not
wait for a faulty disk, which hangs for seconds, makes them in a thread.
"""

import os
from pathlib import Path
from typing import Final

import xxhash
from result import Err, Ok, Result

SEAL_BYTES: Final = 16


def write(path: Path, body: bytes) -> Result[None, str]:
    """Write and sync a file; the error is the system's own word."""
    try:
        with path.open("wb") as file:
            file.write(xxhash.xxh3_128_digest(body) + body)
            file.flush()
            os.fsync(file.fileno())
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    return Ok(None)


def sync_folder(folder: Path) -> None:
    """Make the names that were removed from a folder stay removed; raise OSError."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def read(path: Path) -> Result[bytes, str]:
    """Return what was written, or say why it is not there."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        return Err(f"{path.name}: {exc.strerror}")
    seal, body = data[:SEAL_BYTES], data[SEAL_BYTES:]
    return Ok(body) if xxhash.xxh3_128_digest(body) == seal else Err(f"{path.name}: torn")
