"""Read and atomically replace files in the data folder of an instance.

A new file is written beside the old one and renamed over it, so that a crash at any moment
leaves either of them. The files are only copies of data that can be transferred again.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from papayapier.clock import Clock, Timer

NEW_SUFFIX: Final = ".new"


def read_file(folder: str, name: str) -> Result[bytes | None, str]:
    """Read a file; return None if it does not exist."""
    path = Path(folder) / name
    try:
        return Ok(path.read_bytes())
    except FileNotFoundError:
        return Ok(None)
    except OSError as exc:
        return Err(f"{path}: {exc.strerror}")


def replace_file(folder: str, name: str, data: bytes) -> Result[None, str]:
    """Replace a file atomically."""
    path = Path(folder) / name
    new = path.with_name(name + NEW_SUFFIX)
    try:
        new.write_bytes(data)
        new.replace(path)
    except OSError as exc:
        return Err(f"{path}: {exc.strerror}")
    return Ok(None)


class DelayedSave:
    """Call save some time after a change, once for all changes until then."""

    def __init__(self, clock: Clock, delay_ms: int, save: Callable[[], None]) -> None:
        self._clock = clock
        self._delay_ms = delay_ms
        self._save = save
        self._timer: Timer | None = None
        self._closed = False

    def schedule(self) -> None:
        """Schedule a save unless one is scheduled already."""
        if not self._closed and not self._is_pending():
            self._timer = self._clock.call_later(self._delay_ms, self._save)

    def close(self) -> None:
        """Run a scheduled save at once, and stop."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
            self._save()

    def _is_pending(self) -> bool:
        return self._timer is not None and self._timer.active()
