"""Move a shard's records from its head to archives, and delete expired archives.

Every write of a group of claims rewrites the entire head, so the head must stay small. When it has
grown too large, its records are first written to the archive with the next number; the next write
of the head lists that archive and omits its records. Between the two writes the records are in both
places, so none is lost. Several instances may do this concurrently, and an instance may crash
between the writes: an archive is created only once, and an instance that finds it there uses it
unchanged. All of its records are still in the head, in the same or a newer state, because no record
leaves the head while the head's next number is that of the archive.
"""

from typing import Final

from result import Err, Ok

from papayapier import codec, events
from papayapier.claims.records import (
    Archive,
    Record,
    archive_key,
    archive_prefix,
)
from papayapier.claims.shard import Prepared, ShardView
from papayapier.store.api import Store, StoreError

SWEEP_PAGE_SIZE: Final = 100


async def prepare_archive(store: Store, view: ShardView) -> Prepared | None:
    """Write the head's records to the next archive, or use the archive that exists already."""
    number = view.next_number
    records = list(view.head.values())
    created = await store.create(archive_key(view.shard, number), codec.pack(Archive(records)))
    if isinstance(created, Ok):
        return _prepared(view, number, records)
    if created.err_value not in (StoreError.CONFLICT, StoreError.LOST):
        return None
    # A lost create may take effect now, later or never. That does not matter, because only an
    # archive that was read is used, and no later create can replace it.
    found = await view.read_archive(number)
    if isinstance(found, Err):
        return None
    return _prepared(view, number, found.ok_value.records)


def _prepared(view: ShardView, number: int, records: list[Record]) -> Prepared | None:
    if not records:
        return None
    events.emit(events.CLAIMS_ARCHIVED, shard=view.shard, number=number, records=len(records))
    newest_ms = max(record.at_ms for record in records)
    return Prepared(number, {record.id: record for record in records}, newest_ms)


async def delete_expired(store: Store, view: ShardView) -> None:
    """Delete archives older than the first one in the head; failed deletions are retried later."""
    first = view.archives[0].number if view.archives else view.next_number
    listing = await store.list(archive_prefix(view.shard), "", SWEEP_PAGE_SIZE)
    if isinstance(listing, Err):
        return
    bound = archive_key(view.shard, first)
    expired = [entry for entry in listing.ok_value.objects if entry.key < bound]
    for entry in expired:
        await store.delete(entry.key, entry.version)
    events.emit(events.CLAIMS_EXPIRED, shard=view.shard, archives=len(expired))
