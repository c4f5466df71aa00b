"""Store the platform's objects: versions, conditional changes, listings and change history.

One revision counter numbers every accepted change, and an object's version is the revision
of its last change. The history holds only the latest changes; a watch that starts before
them gets an error and has to list again.
"""

from bisect import bisect_left, bisect_right, insort
from collections import deque
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.store.api import Change, Changes, Entry, Listing, Stored, StoreError

LIST_LIMIT: Final = 1_000


class _StoredObject(NamedTuple):
    version: int
    value: bytes


class ObjectStore:
    """Hold all objects in memory."""

    __slots__ = ("_history", "_keys", "_objects", "discarded_revision", "revision")

    def __init__(self, history: int) -> None:
        self.revision = 0
        # Changes up to this revision are no longer in the history.
        self.discarded_revision = 0
        self._objects: dict[str, _StoredObject] = {}
        self._keys: list[str] = []
        self._history: deque[Change] = deque(maxlen=history)

    def get(self, key: str) -> Result[Stored, StoreError]:
        """Read one object."""
        found = self._objects.get(key)
        if found is None:
            return Err(StoreError.NOT_FOUND)
        return Ok(Stored(key, found.version, found.value))

    def create(self, key: str, value: bytes) -> Result[int, StoreError]:
        """Create an object that does not exist."""
        if key in self._objects:
            return Err(StoreError.CONFLICT)
        insort(self._keys, key)
        return Ok(self._put(key, value))

    def update(self, key: str, value: bytes, version: int) -> Result[int, StoreError]:
        """Replace an object whose version is the given one."""
        if not self._has_version(key, version):
            return Err(StoreError.CONFLICT)
        return Ok(self._put(key, value))

    def delete(self, key: str, version: int) -> Result[int, StoreError]:
        """Delete an object whose version is the given one."""
        if not self._has_version(key, version):
            return Err(StoreError.CONFLICT)
        del self._objects[key]
        del self._keys[bisect_left(self._keys, key)]
        return Ok(self._record(key, deleted=True))

    def list(self, prefix: str, after: str, limit: int) -> Listing:
        """Return one page of the keys with a prefix, in key order."""
        limit = max(1, min(limit, LIST_LIMIT))
        first = max(bisect_left(self._keys, prefix), bisect_right(self._keys, after))
        page = self._keys[first : first + limit + 1]
        page = [key for key in page if key.startswith(prefix)]
        entries = [Entry(key, self._objects[key].version) for key in page[:limit]]
        return Listing(entries, len(page) > limit, self.revision)

    def changes(self, prefix: str, since: int) -> Result[Changes, StoreError]:
        """Return the last change after a revision of each key with a prefix."""
        if since < self.discarded_revision or since > self.revision:
            return Err(StoreError.TOO_OLD)
        latest: dict[str, Change] = {}
        for change in reversed(self._history):
            if change.version <= since:
                break
            if change.key.startswith(prefix):
                latest.setdefault(change.key, change)
        return Ok(Changes(list(reversed(latest.values())), self.revision))

    def _has_version(self, key: str, version: int) -> bool:
        found = self._objects.get(key)
        return found is not None and found.version == version

    def _put(self, key: str, value: bytes) -> int:
        version = self._record(key, deleted=False)
        self._objects[key] = _StoredObject(version, value)
        return version

    def _record(self, key: str, deleted: bool) -> int:
        self.revision += 1
        if len(self._history) == self._history.maxlen:
            self.discarded_revision = self._history[0].version
        self._history.append(Change(key, self.revision, deleted))
        return self.revision
