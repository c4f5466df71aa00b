"""Define the operations (ops) on a shard, and decide which record an op writes.

An op is decided anew before every write of the shard's head, against the record that is current at
that version. So a write whose response was lost needs no bookkeeping: if it took effect, the next
decision finds the op's token in the record.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from twisted.internet.defer import Deferred

from papayapier.claims.records import ClaimState, Record, SavedAnswer
from papayapier.store.api import StoreError


class OpKind(Enum):
    """Name the kinds of ops."""

    LOOKUP = "look"
    CLAIM = "claim"
    ABANDON = "abandon"
    FINISH = "finish"


class Known(NamedTuple):
    """Hold what a possibly outdated view contains about an id.

    An outdated record still proves that the key was used. archived means that a record exists in an
    archive, which was not read.
    """

    record: Record | None
    archived: bool


class Stored(NamedTuple):
    """The op's record is in the store."""

    record: Record


class Found(NamedTuple):
    """Another record is current, so the op was not applied; a lookup may find no record."""

    record: Record | None


class StoreFailed(NamedTuple):
    """The store failed; the op was not applied and never will be."""

    error: StoreError
    known: Known


OpResult = Stored | Found | StoreFailed


class Op:
    """Hold one operation; done fires when result has been set.

    exposed_at is the version of the head on which a write with this op was based, unless it is
    known that this write did not take effect and never will.
    supersedes is the token of a claim that its writer has reported as abandoned. stored is the
    claim's record, for an op that ends a claim whose request was sent.
    """

    __slots__ = (
        "answer",
        "content",
        "done",
        "exposed_at",
        "id",
        "kind",
        "result",
        "store_failures",
        "stored",
        "supersedes",
        "token",
    )

    def __init__(self, kind: OpKind, claim: bytes, token: bytes, content: bytes) -> None:
        self.kind = kind
        self.id = claim
        self.token = token
        self.content = content
        self.answer: SavedAnswer | None = None
        self.stored: Record | None = None
        self.supersedes: bytes | None = None
        self.exposed_at: int | None = None
        self.store_failures = 0
        self.result: OpResult | None = None
        self.done: Deferred[None] = Deferred()


class Writer(NamedTuple):
    """Identify the writing process; gave_up returns whether it has given up a token."""

    instance: str
    boot: int
    gave_up: Callable[[bytes], bool]


def clear_exposure_if_failed(op: Op, found: Record | None, version: int) -> None:
    """Clear an op's exposure once a later version shows another record than the op's own.

    A later version alone is not sufficient, because the op's own write may have produced it.
    """
    is_later_version = op.exposed_at is not None and op.exposed_at < version
    if is_later_version and (found is None or found.token != op.token):
        op.exposed_at = None


def decide(op: Op, found: Record | None, writer: Writer, at_ms: int) -> Record | OpResult:
    """Return the record to write for an op, or the op's result if there is nothing to write."""
    if op.kind is OpKind.LOOKUP:
        return Found(found)
    if op.kind is OpKind.CLAIM:
        return _decide_claim(op, found, writer, at_ms)
    return _decide_end(op, found, writer, at_ms)


def _decide_claim(op: Op, found: Record | None, writer: Writer, at_ms: int) -> Record | OpResult:
    if found is None:
        return _record(op, 1, ClaimState.CLAIMED, writer, at_ms)
    if found.token == op.token:
        return Stored(found)
    free = found.state is ClaimState.ABANDONED
    given_up = found.state is ClaimState.CLAIMED and (
        found.token == op.supersedes or writer.gave_up(found.token)
    )
    if free or given_up:
        return _record(op, found.attempt + 1, ClaimState.CLAIMED, writer, at_ms)
    return Found(found)


def _decide_end(op: Op, found: Record | None, writer: Writer, at_ms: int) -> Record | OpResult:
    """Decide an abandon or a finish.

    While the op is exposed, the write of its claim may still take effect, and only another write of
    the head can make it fail. So the head is written even if no record changes. Otherwise the claim
    could appear after its abandon, when no process knows any more that it was given up.
    """
    state = ClaimState.DONE if op.kind is OpKind.FINISH else ClaimState.ABANDONED
    if found is None:
        return _record(op, 1, state, writer, at_ms)
    if found.token != op.token:
        return Found(found) if op.exposed_at is None else found
    if found.state is state:
        return Stored(found)
    return _record(op, found.attempt, state, writer, at_ms)


def _record(op: Op, attempt: int, state: ClaimState, writer: Writer, at_ms: int) -> Record:
    answer = op.answer if state is ClaimState.DONE else None
    return Record(
        op.id, attempt, state, op.token, writer.instance, writer.boot, op.content, at_ms, answer
    )
