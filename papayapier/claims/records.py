"""Define the stored records of claims, and which of two records for one key takes precedence.

A key may be claimed several times in succession, because a claim that is abandoned before its
request is sent frees the key. Each attempt has a number and a token of its own. Of two records, the
one with the higher attempt number takes precedence, and within an attempt its end takes precedence
over its claim. So records can be merged in any order.
"""

import hashlib
from enum import IntEnum
from typing import Final, NamedTuple

from result import Result

from papayapier import codec

DIGEST_BYTES: Final = 16
LENGTH_BYTES: Final = 4
ROOT: Final = "claims/"

# Not a setting: instances with different counts would place one key in different shards, and its
# request would run twice.
SHARDS: Final = 8


class ClaimState(IntEnum):
    """Name the states of a claim."""

    CLAIMED = 1
    ABANDONED = 2
    DONE = 3


class SavedAnswer(NamedTuple):
    """Hold a stored answer that is returned to later deliveries."""

    status: int
    content_type: str
    body: bytes


class Record(NamedTuple):
    """Hold the stored state of one attempt on one key; at_ms is on the wall clock."""

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
    """Hold the number of an archive and the time of its newest record."""

    number: int
    newest_ms: int


class Head(NamedTuple):
    """Hold the records of a shard that are not archived, and the list of its archives."""

    records: list[Record]
    archives: list[ArchiveEntry]
    next_number: int


class Archive(NamedTuple):
    """Hold archived records; an archive is never changed."""

    records: list[Record]


def claim_id(caller: str, key: str) -> bytes:
    """Derive a claim's id; the length prefix keeps different pairs from giving the same text."""
    name = caller.encode()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(len(name).to_bytes(LENGTH_BYTES, "big"))
    digest.update(name)
    digest.update(key.encode())
    return digest.digest()


def content_hash(*parts: bytes) -> bytes:
    """Hash the parts that identify a request, to compare requests with the same key."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()


def shard_of(claim: bytes) -> int:
    """Return the shard in which a claim is stored."""
    return claim[0] % SHARDS


def head_key(shard: int) -> str:
    """Return the key of a shard's head."""
    return f"{ROOT}{shard:02x}/head"


def archive_prefix(shard: int) -> str:
    """Return the prefix of a shard's archives."""
    return f"{ROOT}{shard:02x}/archive/"


def archive_key(shard: int, number: int) -> str:
    """Return the key of an archive; zero padding makes the key order equal the number order."""
    return f"{archive_prefix(shard)}{number:010d}"


def newer(left: Record | None, right: Record | None) -> Record | None:
    """Return the record that takes precedence."""
    if left is None or right is None:
        return left or right
    return max(left, right, key=lambda record: (record.attempt, record.state))


def read_head(value: bytes) -> Result[Head, str]:
    """Decode a head."""
    return codec.unpack(value, Head)


def read_archive(value: bytes) -> Result[Archive, str]:
    """Decode an archive."""
    return codec.unpack(value, Archive)
