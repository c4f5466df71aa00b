"""Score members for a key by rendezvous (highest random weight) hashing."""

import xxhash


def score(key: str, member: str) -> int:
    """Return the weight of a member for a key; the highest one wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())
