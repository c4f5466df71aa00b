"""Move a shard's records from its head to archives, and drop old archives.

The head is written whole with every group of claims, so it must stay small. When it has
grown, its records are first written to the archive with the next number, and the next write
of the head names that archive and leaves those records out. In between nothing is lost: the
records are in both places. Several instances may do it at once, or one may die half way: the
archive is created only once, and whoever finds it there uses it as it is. All that it holds
is in the head still, equal or followed by a newer record, because as long as the head's next
number is the archive's, no record has left the head.
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

SWEEP_PAGE: Final = 100


async def prepare_archive(store: Store, view: ShardView) -> Prepared | None:
    """Write the head's records to the next archive, or use the one that is there."""
    number = view.next_number
    records = list(view.head.values())
    end = await store.create(archive_key(view.shard, number), codec.pack(Archive(records)))
    if isinstance(end, Ok):
        return _prepared(view, number, records)
    if end.err_value not in (StoreError.CONFLICT, StoreError.LOST):
        return None
    # Whether a lost create took effect now, later or never does not matter: only what a
    # read shows is used, and no second create can replace it.
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


async def sweep(store: Store, view: ShardView) -> None:
    """Delete archives below the first one named; what fails is left for the next time."""
    first = view.archives[0].number if view.archives else view.next_number
    listing = await store.list(archive_prefix(view.shard), "", SWEEP_PAGE)
    if isinstance(listing, Err):
        return
    bound = archive_key(view.shard, first)
    old = [entry for entry in listing.ok_value.objects if entry.key < bound]
    for entry in old:
        await store.delete(entry.key, entry.version)
    events.emit(events.CLAIMS_EXPIRED, shard=view.shard, archives=len(old))
