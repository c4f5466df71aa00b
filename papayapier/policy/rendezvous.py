"""Score members for a key by rendezvous (highest random weight) hashing."""

from functools import lru_cache
from typing import Final

import xxhash

# Pairs kept: a hundred replicas by a hundred instances, several times over; all are scored again
# with every message of a peer.
KEPT_SCORES: Final = 65_536


@lru_cache(KEPT_SCORES)
def score(key: str, member: str) -> int:
    """Return the weight of a member for a key; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
