"""Find the position of a custom id in a file, and detect duplicate ids.

Only 64-bit hashes are kept, in item order: 6 MB for 750,000 items, where a set of the ids
would take ten times as much. At that size, two different ids of one file share a hash with a
probability below one in 60 million; such a file would be refused for a duplicate id, which is
safe. A lookup by hash is confirmed by comparing the id itself.
"""

from array import array
from typing import Final, NamedTuple

import xxhash

IDS_PER_BLOCK: Final = 100_000
MAX_INLINE_IDS: Final = 4_096
HASH_BYTES: Final = 8
BUCKET_COUNT: Final = 256


class Duplicate(NamedTuple):
    """Hold the indexes (from 0) of two items with the same custom id."""

    first: int
    second: int


class IdIndex:
    """Collect the hashes of a file's custom ids in item order."""

    __slots__ = ("_buckets", "_hashes")

    def __init__(self) -> None:
        self._hashes = array("Q")
        # Each bucket is checked for duplicates separately with a set of its own, which keeps the
        # time and the memory of one check small.
        self._buckets = [array("Q") for _ in range(BUCKET_COUNT)]

    def add(self, custom_id: str) -> None:
        """Add the id of the next item."""
        digest = _digest(custom_id)
        self._hashes.append(digest)
        self._buckets[digest % BUCKET_COUNT].append(digest)

    def duplicate(self, bucket: int) -> Duplicate | None:
        """Return two items with the same id whose hash is in a bucket, or None."""
        hashes = self._buckets[bucket]
        return self._locate(hashes) if len(set(hashes)) < len(hashes) else None

    def inline(self) -> bytes:
        """Return the complete index if it is small enough for the file's record."""
        return self._hashes.tobytes() if len(self._hashes) <= MAX_INLINE_IDS else b""

    def blocks(self) -> list[bytes]:
        """Return the index in blocks if it is too large for the file's record."""
        if len(self._hashes) <= MAX_INLINE_IDS:
            return []
        starts = range(0, len(self._hashes), IDS_PER_BLOCK)
        return [self._hashes[start : start + IDS_PER_BLOCK].tobytes() for start in starts]

    def _locate(self, bucket: "array[int]") -> Duplicate:
        seen: set[int] = set()
        for digest in bucket:
            if digest in seen:
                first = self._hashes.index(digest)
                return Duplicate(first, self._hashes.index(digest, first + 1))
            seen.add(digest)
        raise AssertionError("the bucket has no duplicate")


def find_position(block: bytes, custom_id: str) -> int | None:
    """Return the position of an id in a block of hashes."""
    hashes = array("Q")
    hashes.frombytes(block)
    try:
        return hashes.index(_digest(custom_id))
    except ValueError:
        return None


def _digest(custom_id: str) -> int:
    return xxhash.xxh3_64_intdigest(custom_id.encode())
