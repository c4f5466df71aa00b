"""Write answers of the store as messages between processes, and read them."""

from typing import TypeVar

from result import Err, Ok, Result

from papayapier.peer.messages import StoreChange, StoreTell
from papayapier.store.api import Change, Changes, Entry, Listing, StoreError

T = TypeVar("T")


def listing_told(ask_id: int, found: Result[Listing, StoreError]) -> StoreTell:
    """Return the message that carries a listing."""
    if isinstance(found, Err):
        return StoreTell(ask_id, found.err_value.value)
    page = found.ok_value
    objects = tuple(StoreChange(one.key, one.version, False, one.value) for one in page.objects)
    return StoreTell(ask_id, "", version=page.revision, changes=objects, more=page.more)


def changes_told(ask_id: int, found: Result[Changes, StoreError]) -> StoreTell:
    """Return the message that carries what a watch saw."""
    if isinstance(found, Err):
        return StoreTell(ask_id, found.err_value.value)
    changes = tuple(StoreChange(*one) for one in found.ok_value.changes)
    return StoreTell(ask_id, "", version=found.ok_value.revision, changes=changes)


def read_told(told: StoreTell) -> Result[StoreTell, StoreError]:
    """Return the answer to a read, or the error that it carries; a lost read has done nothing."""
    if not told.error:
        return Ok(told)
    error = StoreError(told.error)
    return Err(StoreError.UNAVAILABLE if error is StoreError.LOST else error)


def told_listing(told: StoreTell) -> Listing:
    """Return the listing that a message carries."""
    found = [Entry(one.key, one.version, one.value) for one in told.changes]
    return Listing(found, told.more, told.version)


def told_changes(told: StoreTell) -> Changes:
    """Return the changes that a message carries."""
    return Changes([Change(*one) for one in told.changes], told.version)
