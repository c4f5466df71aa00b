"""Save a copy of the instance list in the data folder, for a start during an outage.

The copy contains the time at which its list was read, because a peer's list may be newer.
This requires the wall clock, the only clock that outlives the process. The time is that of
the last change: until any later read without a change, the platform's list was the same.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.clock import Clock
from papayapier.data_folder import DelayedSave, read_file, replace_file
from papayapier.store.api import Member

FILE_NAME: Final = "instances.msgpack"
SAVE_DELAY_MS: Final = 1_000
MAX_BYTES: Final = 16_000_000
MAX_AGE_MS: Final = 365 * 86_400_000


class AgedMembers(NamedTuple):
    """Hold an instance list and the time since it was read from the platform."""

    members: list[Member]
    age_ms: int


class _Saved(NamedTuple):
    read_wall_ms: int
    members: list[Member]


class MembersFile:
    """Write the copy soon after each change; without a folder do nothing."""

    def __init__(self, folder: str, clock: Clock, current: Callable[[], AgedMembers]) -> None:
        self._folder = folder
        self._clock = clock
        self._current = current
        self._saving = DelayedSave(clock, SAVE_DELAY_MS, self._save)

    def load(self) -> AgedMembers | None:
        """Return the copy, or None if there is none that can be read."""
        if not self._folder:
            return None
        loaded = _load(self._folder)
        if isinstance(loaded, Err):
            events.emit(events.MEMBERS_FOLDER_FAILED, reason=loaded.err_value)
            return None
        saved = loaded.ok_value
        if saved is None:
            return None
        age_ms = self._clock.wall() - saved.read_wall_ms
        if not 0 <= age_ms <= MAX_AGE_MS:
            # The wall clock has been set back since. If treated as new, a copy of any age
            # would be preferred to the peers' lists; if treated as the oldest, any peer's list
            # replaces it.
            age_ms = MAX_AGE_MS
        events.emit(events.MEMBERS_FROM_FOLDER, members=len(saved.members), age_ms=age_ms)
        return AgedMembers(saved.members, age_ms)

    def save_soon(self) -> None:
        """Schedule a save; changes within a short time are saved together."""
        if self._folder:
            self._saving.schedule()

    def close(self) -> None:
        """Save pending changes and stop."""
        self._saving.close()

    def _save(self) -> None:
        members, age_ms = self._current()
        data = codec.pack(_Saved(self._clock.wall() - age_ms, members))
        saved: Result[None, str] = Err(f"{FILE_NAME}: over {MAX_BYTES} bytes")
        if len(data) <= MAX_BYTES:
            saved = replace_file(self._folder, FILE_NAME, data)
        if isinstance(saved, Err):
            events.emit(events.MEMBERS_FOLDER_FAILED, reason=saved.err_value)


def _load(folder: str) -> Result[_Saved | None, str]:
    data = read_file(folder, FILE_NAME)
    if isinstance(data, Err):
        return data
    if data.ok_value is None:
        return Ok(None)
    return codec.unpack(data.ok_value, _Saved).map_err(lambda reason: f"{FILE_NAME}: {reason}")
