"""Read and replace whole files in the data folder, where an instance has one.

A file is written beside its predecessor and renamed over it, so that a crash at any moment
leaves the old or the new one. Its content is only ever a copy: a failure costs a transfer.
"""

from pathlib import Path
from typing import Final

from result import Err, Ok, Result

NEW_SUFFIX: Final = ".new"


def read_file(folder: str, name: str) -> Result[bytes | None, str]:
    """Read a file; None if there is none."""
    path = Path(folder) / name
    try:
        return Ok(path.read_bytes())
    except FileNotFoundError:
        return Ok(None)
    except OSError as exc:
        return Err(f"{path}: {exc.strerror}")


def replace_file(folder: str, name: str, data: bytes) -> Result[None, str]:
    """Replace a file in one step."""
    path = Path(folder) / name
    new = path.with_name(name + NEW_SUFFIX)
    try:
        new.write_bytes(data)
        new.replace(path)
    except OSError as exc:
        return Err(f"{path}: {exc.strerror}")
    return Ok(None)
