"""Score members for a key by rendezvous (highest random weight) hashing."""

from functools import lru_cache
from typing import Final

import xxhash

# Cache size: a hundred replicas by a hundred instances, several times over; every peer message
# scores all pairs again.
CACHED_SCORES: Final = 65_536


@lru_cache(CACHED_SCORES)
def score(key: str, member: str) -> int:
    """Return the weight of a member for a key; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
