"""Keep a copy of the configuration in the data folder, where an instance has one.

The copy only saves transfers after a restart. It may be older than what a peer has, so
what is read from it counts as unconfirmed until the store or a peer was heard from.
"""

from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.clock import Clock
from papayapier.config.book import ProfileBook
from papayapier.data_folder import DelayedSave, read_file, replace_file
from papayapier.peer.messages import ConfigPush

FILE_NAME: Final = "configuration.msgpack"
SAVE_DELAY_MS: Final = 1_000


class SavedConfig(NamedTuple):
    """Hold the objects in force when the copy was made."""

    objects: list[ConfigPush]


class FolderKeeper:
    """Load the copy at start and replace it soon after a change; without a folder do nothing."""

    def __init__(self, folder: str, clock: Clock, book: ProfileBook) -> None:
        self._folder = folder
        self._book = book
        self._saving = DelayedSave(clock, SAVE_DELAY_MS, self._save)

    def load(self) -> None:
        """Put the copy's objects into the book."""
        if not self._folder:
            return
        match load_folder(self._folder):
            case Err(why):
                events.emit(events.CONFIG_FOLDER_FAILED, reason=why)
            case Ok(objects):
                for item in objects:
                    self._book.apply(item.key, item.version, item.value)
                version = self._book.version()
                events.emit(events.CONFIG_FROM_FOLDER, objects=len(objects), version=version)

    def changed(self) -> None:
        """Save soon; changes that come together are saved together."""
        if self._folder:
            self._saving.changed()

    def close(self) -> None:
        """Save what is still to be saved and stop."""
        self._saving.close()

    def _save(self) -> None:
        match save_folder(self._folder, self._book.objects()):
            case Err(why):
                events.emit(events.CONFIG_FOLDER_FAILED, reason=why)


def load_folder(folder: str) -> Result[list[ConfigPush], str]:
    """Read the copy; a folder without one gives nothing."""
    data = read_file(folder, FILE_NAME)
    if isinstance(data, Err):
        return data
    if data.ok_value is None:
        return Ok([])
    return codec.unpack(data.ok_value, SavedConfig).map(lambda saved: saved.objects)


def save_folder(folder: str, objects: list[ConfigPush]) -> Result[None, str]:
    """Replace the copy."""
    return replace_file(folder, FILE_NAME, codec.pack(SavedConfig(objects)))
