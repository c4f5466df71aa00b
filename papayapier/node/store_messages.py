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
MIN_COMPRESSED_BYTES: Final = 16_000
COMPRESSION_LEVEL: Final = 1
_CHANGES: Final = msgspec.msgpack.Decoder(tuple[StoreChange, ...])


def encode_listing(correlation_id: int, found: Result[Listing, StoreError]) -> StoreTell:
    """Return the message that carries a listing."""
    if isinstance(found, Err):
        return StoreTell(correlation_id, found.err_value.value)
    page = found.ok_value
    objects = tuple(
        StoreChange(entry.key, entry.version, False, entry.value) for entry in page.objects
    )
    return _with_changes(
        StoreTell(correlation_id, "", version=page.revision, more=page.more), objects
    )


def encode_changes(correlation_id: int, found: Result[Changes, StoreError]) -> StoreTell:
    """Return the message that carries the changes of a watch."""
    if isinstance(found, Err):
        return StoreTell(correlation_id, found.err_value.value)
    changes = tuple(StoreChange(*change) for change in found.ok_value.changes)
    return _with_changes(StoreTell(correlation_id, "", version=found.ok_value.revision), changes)


def _with_changes(reply: StoreTell, changes: tuple[StoreChange, ...]) -> StoreTell:
    if sum(len(change.key) + len(change.value) for change in changes) < MIN_COMPRESSED_BYTES:
        return reply._replace(changes=changes)
    return reply._replace(compressed_changes=_compress(changes))


@lru_cache(4)
def _compress(changes: tuple[StoreChange, ...]) -> bytes:
    """Compress changes; cached, because many processes request the same revision."""
    return zlib.compress(codec.pack(changes), COMPRESSION_LEVEL)


def _changes(reply: StoreTell) -> tuple[StoreChange, ...]:
    return (
        _CHANGES.decode(zlib.decompress(reply.compressed_changes))
        if reply.compressed_changes
        else reply.changes
    )


def check_reply(reply: StoreTell) -> Result[StoreTell, StoreError]:
    """Return a reply to a read or its error; LOST becomes UNAVAILABLE, as a read has no effect."""
    if not reply.error:
        return Ok(reply)
    error = StoreError(reply.error)
    return Err(StoreError.UNAVAILABLE if error is StoreError.LOST else error)


def decode_listing(reply: StoreTell) -> Listing:
    """Return the listing that a message carries."""
    found = [Entry(change.key, change.version, change.value) for change in _changes(reply)]
    return Listing(found, reply.more, reply.version)


def decode_changes(reply: StoreTell) -> Changes:
    """Return the changes that a message carries."""
    return Changes([Change(*change) for change in _changes(reply)], reply.version)
