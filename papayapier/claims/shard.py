"""Hold one instance's view of a shard of claims at one version of the shard's head.

A shard consists of a head object, to which records are added by conditional updates, and of
archives, which are written once and never changed. A view is complete when it has the head at one
version and the ids of all archives that this head lists. An id found in none of them is not claimed
at that version, and a conditional update of that version proves that it has not been claimed since,
because a claim would have changed the version.

For archives only the ids are kept in memory, DIGEST_BYTES each, sorted in one block of bytes. An
archived record is read from the store when needed, which only happens if a request is resent long
after its first delivery.
"""

from bisect import bisect_left
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.claims.records import (
    DIGEST_BYTES,
    Archive,
    ArchiveEntry,
    Head,
    Record,
    archive_key,
    head_key,
    newer,
    read_archive,
    read_head,
)
from papayapier.store.api import Store, StoreError

NO_HEAD: Final = 0
MAX_REFRESH_ATTEMPTS: Final = 3


class Prepared(NamedTuple):
    """Hold an archive that is in the store, but not yet listed in the head."""

    number: int
    records: dict[bytes, Record]
    newest_ms: int


class ShardView:
    """Hold the head and the ids of the archives; calls must not overlap."""

    def __init__(self, store: Store, shard: int) -> None:
        self.shard = shard
        self.version: int | None = None
        self.size = 0
        self.head: dict[bytes, Record] = {}
        self.archives: list[ArchiveEntry] = []
        self.next_number = 1
        self._store = store
        self._ids: dict[int, bytes] = {}

    async def refresh(self) -> Result[None, StoreError]:
        """Read the head, and the archives it lists that are not known yet."""
        for _ in range(MAX_REFRESH_ATTEMPTS):
            refreshed = await self._refresh_once()
            # A missing archive was deleted as expired after the head was read: read the head again.
            if refreshed != Err(StoreError.NOT_FOUND):
                return refreshed
        return Err(StoreError.UNAVAILABLE)

    async def _refresh_once(self) -> Result[None, StoreError]:
        found = await self._store.get(head_key(self.shard))
        if found == Err(StoreError.NOT_FOUND) and self.version in (None, NO_HEAD):
            self.version = NO_HEAD
            return Ok(None)
        if isinstance(found, Err):
            return Err(StoreError.UNAVAILABLE if _is_missing(found) else found.err_value)
        stored = found.ok_value
        if stored.version == self.version:
            return Ok(None)
        if self.version is not None and stored.version < self.version:
            return Err(StoreError.UNAVAILABLE)
        head = read_head(stored.value)
        if isinstance(head, Err):
            events.emit(events.CLAIMS_UNREADABLE, key=stored.key, reason=head.err_value)
            return Err(StoreError.UNAVAILABLE)
        loaded = await self._load_archives(head.ok_value)
        if isinstance(loaded, Ok):
            self.replace_head(head.ok_value, stored.version, len(stored.value))
        return loaded

    async def _load_archives(self, head: Head) -> Result[None, StoreError]:
        for entry in head.archives:
            if entry.number in self._ids:
                continue
            archive = await self.read_archive(entry.number)
            if isinstance(archive, Err):
                return Err(archive.err_value)
            self._ids[entry.number] = _sorted_ids(archive.ok_value.records)
        return Ok(None)

    def replace_head(self, head: Head, version: int, size: int) -> None:
        """Replace the view by a head that is stored with the given version."""
        self.version = version
        self.size = size
        self.head = {record.id: record for record in head.records}
        self.archives = head.archives
        self.next_number = head.next_number
        named = {entry.number for entry in head.archives}
        self._ids = {number: ids for number, ids in self._ids.items() if number in named}

    def replace_written_head(
        self, head: Head, version: int, size: int, prepared: Prepared | None
    ) -> None:
        """Replace the view by a head that this instance wrote; it lists the prepared archive."""
        if prepared is not None:
            self._ids[prepared.number] = _sorted_ids(list(prepared.records.values()))
        self.replace_head(head, version, size)

    async def read_archive(self, number: int) -> Result[Archive, StoreError]:
        """Read an archive."""
        found = await self._store.get(archive_key(self.shard, number))
        if isinstance(found, Err):
            return Err(found.err_value)
        archive = read_archive(found.ok_value.value)
        if isinstance(archive, Err):
            events.emit(events.CLAIMS_UNREADABLE, key=found.ok_value.key, reason=archive.err_value)
            return Err(StoreError.UNAVAILABLE)
        return Ok(archive.ok_value)

    async def find(self, claim: bytes) -> Result[Record | None, StoreError]:
        """Return the current record for an id at the view's version.

        A record is added to the head only after the current one was found, so the newest archive
        that contains the id has the record with the highest precedence of all archives.
        """
        number = self.archive_of(claim)
        if number is None:
            return Ok(self.head.get(claim))
        archive = await self.read_archive(number)
        if isinstance(archive, Err):
            return Err(archive.err_value)
        archived = next((r for r in archive.ok_value.records if r.id == claim), None)
        return Ok(newer(self.head.get(claim), archived))

    def archive_of(self, claim: bytes) -> int | None:
        """Return the number of the newest archive that contains an id."""
        for entry in reversed(self.archives):
            if _contains_id(self._ids[entry.number], claim):
                return entry.number
        return None

    def next_head(
        self, changes: dict[bytes, Record], prepared: Prepared | None, oldest_ms: int
    ) -> Head:
        """Build the next head: add changes, remove prepared records and drop expired archives."""
        records = dict(self.head)
        archives = [entry for entry in self.archives if entry.newest_ms >= oldest_ms]
        next_number = self.next_number
        if prepared is not None:
            records = {k: r for k, r in records.items() if prepared.records.get(k) != r}
            archives.append(ArchiveEntry(prepared.number, prepared.newest_ms))
            next_number = prepared.number + 1
        records.update(changes)
        return Head(list(records.values()), archives, next_number)


def pack_head(head: Head) -> bytes:
    """Encode a head."""
    return codec.pack(head)


def _is_missing(found: Err[StoreError]) -> bool:
    """Return whether the store reports a known head as missing; heads are never deleted."""
    return found.err_value is StoreError.NOT_FOUND


def _sorted_ids(records: list[Record]) -> bytes:
    return b"".join(sorted(record.id for record in records))


def _contains_id(ids: bytes, claim: bytes) -> bool:
    count = len(ids) // DIGEST_BYTES

    def id_at(index: int) -> bytes:
        return ids[index * DIGEST_BYTES : (index + 1) * DIGEST_BYTES]

    index = bisect_left(range(count), claim, key=id_at)
    return index < count and id_at(index) == claim
