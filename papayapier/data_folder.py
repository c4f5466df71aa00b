"""Read and replace whole files in the data folder, where an instance has one.

A file is written beside its predecessor and renamed over it, so that a crash at any moment
leaves the old or the new one. Its content is only ever a copy: a failure costs a transfer.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from papayapier.clock import Clock, Timer

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


class DelayedSave:
    """Call save some time after a change; changes that come together are saved together."""

    def __init__(self, clock: Clock, delay_ms: int, save: Callable[[], None]) -> None:
        self._clock = clock
        self._delay_ms = delay_ms
        self._save = save
        self._timer: Timer | None = None
        self._closed = False

    def changed(self) -> None:
        """Save soon."""
        if not self._closed and not self._pending():
            self._timer = self._clock.call_later(self._delay_ms, self._save)

    def close(self) -> None:
        """Save what is still to be saved and stop."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
            self._save()

    def _pending(self) -> bool:
        return self._timer is not None and self._timer.active()
