"""Encode answers of the store as messages between processes, and decode them."""

import zlib
from functools import lru_cache
from typing import Final, TypeVar

import msgspec
from result import Err, Ok, Result

from papayapier import codec
from papayapier.peer.messages import StoreChange, StoreTell
from papayapier.store.api import Change, Changes, Entry, Listing, StoreError

T = TypeVar("T")

# Longer replies are compressed. A few watchers send a listing of thousands of replicas to every
# process that starts, and its entries are very similar.
PACKED_FROM_BYTES: Final = 16_000
PACK_LEVEL: Final = 1
_CHANGES: Final = msgspec.msgpack.Decoder(tuple[StoreChange, ...])


def listing_told(ask_id: int, found: Result[Listing, StoreError]) -> StoreTell:
    """Return the message that carries a listing."""
    if isinstance(found, Err):
        return StoreTell(ask_id, found.err_value.value)
    page = found.ok_value
    objects = tuple(StoreChange(one.key, one.version, False, one.value) for one in page.objects)
    return _with_changes(StoreTell(ask_id, "", version=page.revision, more=page.more), objects)


def changes_told(ask_id: int, found: Result[Changes, StoreError]) -> StoreTell:
    """Return the message that carries the changes of a watch."""
    if isinstance(found, Err):
        return StoreTell(ask_id, found.err_value.value)
    changes = tuple(StoreChange(*one) for one in found.ok_value.changes)
    return _with_changes(StoreTell(ask_id, "", version=found.ok_value.revision), changes)


def _with_changes(tell: StoreTell, changes: tuple[StoreChange, ...]) -> StoreTell:
    if sum(len(one.key) + len(one.value) for one in changes) < PACKED_FROM_BYTES:
        return tell._replace(changes=changes)
    return tell._replace(packed=_packed(changes))


@lru_cache(4)
def _packed(changes: tuple[StoreChange, ...]) -> bytes:
    """Compress changes; cached, because many processes request the same revision."""
    return zlib.compress(codec.pack(changes), PACK_LEVEL)


def _changes(told: StoreTell) -> tuple[StoreChange, ...]:
    return _CHANGES.decode(zlib.decompress(told.packed)) if told.packed else told.changes


def read_told(told: StoreTell) -> Result[StoreTell, StoreError]:
    """Return a reply to a read or its error; LOST becomes UNAVAILABLE, as a read has no effect."""
    if not told.error:
        return Ok(told)
    error = StoreError(told.error)
    return Err(StoreError.UNAVAILABLE if error is StoreError.LOST else error)


def told_listing(told: StoreTell) -> Listing:
    """Return the listing that a message carries."""
    found = [Entry(one.key, one.version, one.value) for one in _changes(told)]
    return Listing(found, told.more, told.version)


def told_changes(told: StoreTell) -> Changes:
    """Return the changes that a message carries."""
    return Changes([Change(*one) for one in _changes(told)], told.version)
