"""Save a copy of the configuration in the data folder, if the instance has one.

The copy only avoids transfers after a restart. It may be older than a peer's configuration, so
it counts as unconfirmed until the configuration was received from the store or a peer.
"""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.clock import Clock
from papayapier.config.profile_registry import ProfileRegistry
from papayapier.data_folder import DelayedSave, read_file, replace_file
from papayapier.peer.messages import ConfigPush

FILE_NAME: Final = "configuration.msgpack"
SAVE_DELAY_MS: Final = 1_000


class SavedConfig(NamedTuple):
    """Hold the objects that were in force when the copy was saved."""

    objects: list[ConfigPush]


class ConfigFile:
    """Load the copy at start and save it after changes; without a folder do nothing."""

    def __init__(self, folder: str, clock: Clock, registry: ProfileRegistry) -> None:
        self._folder = folder
        self._registry = registry
        self._saving = DelayedSave(clock, SAVE_DELAY_MS, self._save)

    def load(self) -> None:
        """Apply the copy's objects to the registry."""
        if not self._folder:
            return
        match read_saved(self._folder):
            case Err(error):
                events.emit(events.CONFIG_FOLDER_FAILED, reason=error)
            case Ok(objects):
                for item in objects:
                    self._registry.apply(item.key, item.version, item.value)
                version = self._registry.version()
                events.emit(events.CONFIG_FROM_FOLDER, objects=len(objects), version=version)

    def schedule_save(self) -> None:
        """Schedule a save; changes in quick succession are saved once."""
        if self._folder:
            self._saving.schedule()

    def close(self) -> None:
        """Save pending changes and stop."""
        self._saving.close()

    def _save(self) -> None:
        match write_saved(self._folder, self._registry.objects()):
            case Err(error):
                events.emit(events.CONFIG_FOLDER_FAILED, reason=error)


def read_saved(folder: str) -> Result[list[ConfigPush], str]:
    """Read the copy; return an empty list if the folder has none."""
    data = read_file(folder, FILE_NAME)
    if isinstance(data, Err):
        return data
    if data.ok_value is None:
        return Ok([])
    return codec.unpack(data.ok_value, SavedConfig).map(lambda saved: saved.objects)


def write_saved(folder: str, objects: list[ConfigPush]) -> Result[None, str]:
    """Replace the copy."""
    return replace_file(folder, FILE_NAME, codec.pack(SavedConfig(objects)))
