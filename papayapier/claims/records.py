"""Define what is kept of a claim, and which of two records about one key counts.

A key may be claimed several times in turn, because a claim that was abandoned before
anything was sent leaves the key free. Each attempt has a number and a token of its own; of
two records, the one with the higher attempt counts, and within an attempt the end counts
before the claim. So records can be merged in any order.
"""

import hashlib
from enum import IntEnum
from typing import Final, NamedTuple

from result import Result

from papayapier import codec

DIGEST_BYTES: Final = 16
LENGTH_BYTES: Final = 4
ROOT: Final = "claims/"

# Not a setting: two instances with different counts would look for one key in two places,
# and the request would run twice.
SHARDS: Final = 8


class ClaimState(IntEnum):
    """Name the states of a claim."""

    CLAIMED = 1
    ABANDONED = 2
    DONE = 3


class SavedAnswer(NamedTuple):
    """Hold an answer to be given again."""

    status: int
    content_type: str
    body: bytes


class Record(NamedTuple):
    """Hold what is kept of one attempt on one key; at_ms is on the wall clock."""

    id: bytes
    attempt: int
    state: ClaimState
    token: bytes
    writer: str
    boot: int
    content: bytes
    at_ms: int
    answer: SavedAnswer | None = None


class ArchiveEntry(NamedTuple):
    """Name one archive of a shard and the time of its newest record."""

    number: int
    newest_ms: int


class Head(NamedTuple):
    """Hold the object to which a shard's records are added, and what it has archived."""

    records: list[Record]
    archives: list[ArchiveEntry]
    next_number: int


class Archive(NamedTuple):
    """Hold records that are only read again."""

    records: list[Record]


def claim_id(caller: str, key: str) -> bytes:
    """Derive the claim's id; the caller's length keeps two pairs from joining to one text."""
    name = caller.encode()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(len(name).to_bytes(LENGTH_BYTES, "big"))
    digest.update(name)
    digest.update(key.encode())
    return digest.digest()


def content_hash(*parts: bytes) -> bytes:
    """Hash what makes two requests with one key the same request."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()


def shard_of(claim: bytes) -> int:
    """Return the shard in which a claim is kept."""
    return claim[0] % SHARDS


def head_key(shard: int) -> str:
    """Return the key of a shard's head."""
    return f"{ROOT}{shard:02x}/head"


def archive_prefix(shard: int) -> str:
    """Return the prefix of a shard's archives."""
    return f"{ROOT}{shard:02x}/archive/"


def archive_key(shard: int, number: int) -> str:
    """Return the key of an archive; the digits make key order number order."""
    return f"{archive_prefix(shard)}{number:010d}"


def newer(left: Record | None, right: Record | None) -> Record | None:
    """Return the record that counts."""
    if left is None or right is None:
        return left or right
    return max(left, right, key=lambda record: (record.attempt, record.state))


def read_head(value: bytes) -> Result[Head, str]:
    """Decode a head."""
    return codec.unpack(value, Head)


def read_archive(value: bytes) -> Result[Archive, str]:
    """Decode an archive."""
    return codec.unpack(value, Archive)
