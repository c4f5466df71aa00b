"""Define what an instance wants to add to a shard, and decide what that makes of a record.

An op is decided anew at every write of the shard's head, against the record that counts at
that version. So a write that was lost needs no bookkeeping: if it took effect, the next
decision finds the op's token in the record.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from twisted.internet.defer import Deferred

from papayapier.claims.records import ClaimState, Record, SavedAnswer
from papayapier.store.api import StoreError


class Want(Enum):
    """Name what an op is for."""

    LOOK = "look"
    CLAIM = "claim"
    ABANDON = "abandon"
    FINISH = "finish"


class Known(NamedTuple):
    """Tell what a view that may be out of date knows of an id.

    A record of the past still proves that the key was used; archived says that there is a
    record, but that it was not read.
    """

    record: Record | None
    archived: bool


class Kept(NamedTuple):
    """Tell that the op's record is in the store."""

    record: Record


class Found(NamedTuple):
    """Tell that another record counts (or none, for a look), so that the op was not applied."""

    record: Record | None


class Refused(NamedTuple):
    """Tell that the op will certainly never be applied, because the store refused it."""

    error: StoreError
    known: Known


OpEnd = Kept | Found | Refused


class Op:
    """Hold one wish; done fires when end has been set.

    exposed_at is the head's version on which a write with this op in it was sent, unless it is
    known that this write did not take effect and never will.
    supersedes is the token of a claim whose writer has said that it was abandoned. kept is the
    claim's record, for the end of a claim that was kept and then sent.
    """

    __slots__ = (
        "answer",
        "content",
        "done",
        "end",
        "exposed_at",
        "id",
        "kept",
        "refusals",
        "supersedes",
        "token",
        "want",
    )

    def __init__(self, want: Want, claim: bytes, token: bytes, content: bytes) -> None:
        self.want = want
        self.id = claim
        self.token = token
        self.content = content
        self.answer: SavedAnswer | None = None
        self.kept: Record | None = None
        self.supersedes: bytes | None = None
        self.exposed_at: int | None = None
        self.refusals = 0
        self.end: OpEnd | None = None
        self.done: Deferred[None] = Deferred()


class Writer(NamedTuple):
    """Identify the writing process, and tell which tokens it has given up."""

    instance: str
    boot: int
    gave_up: Callable[[bytes], bool]


def forget_dead_write(op: Op, found: Record | None, version: int) -> None:
    """Note that an earlier write of an op is dead, once a later version shows another record.

    Seeing only that the version has moved on is not enough: it may be the op's own write that
    moved it.
    """
    moved_on = op.exposed_at is not None and op.exposed_at < version
    if moved_on and (found is None or found.token != op.token):
        op.exposed_at = None


def decide(op: Op, found: Record | None, writer: Writer, at_ms: int) -> Record | OpEnd:
    """Return the record to write for an op, or its end if there is nothing to write."""
    if op.want is Want.LOOK:
        return Found(found)
    if op.want is Want.CLAIM:
        return _decide_claim(op, found, writer, at_ms)
    return _decide_end(op, found, writer, at_ms)


def _decide_claim(op: Op, found: Record | None, writer: Writer, at_ms: int) -> Record | OpEnd:
    if found is None:
        return _record(op, 1, ClaimState.CLAIMED, writer, at_ms)
    if found.token == op.token:
        return Kept(found)
    free = found.state is ClaimState.ABANDONED
    given_up = found.state is ClaimState.CLAIMED and (
        found.token == op.supersedes or writer.gave_up(found.token)
    )
    if free or given_up:
        return _record(op, found.attempt + 1, ClaimState.CLAIMED, writer, at_ms)
    return Found(found)


def _decide_end(op: Op, found: Record | None, writer: Writer, at_ms: int) -> Record | OpEnd:
    """Decide an abandon or a finish.

    While the op is exposed its claim may still be on its way, and only a write can make that
    fail. So something is written even if there is nothing to change: without it the claim
    would turn up after its abandon, and nobody would know any more that it was given up.
    """
    state = ClaimState.DONE if op.want is Want.FINISH else ClaimState.ABANDONED
    if found is None:
        return _record(op, 1, state, writer, at_ms)
    if found.token != op.token:
        return Found(found) if op.exposed_at is None else found
    if found.state is state:
        return Kept(found)
    return _record(op, found.attempt, state, writer, at_ms)


def _record(op: Op, attempt: int, state: ClaimState, writer: Writer, at_ms: int) -> Record:
    answer = op.answer if state is ClaimState.DONE else None
    return Record(
        op.id, attempt, state, op.token, writer.instance, writer.boot, op.content, at_ms, answer
    )
