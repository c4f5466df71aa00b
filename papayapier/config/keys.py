"""Find the holder of the API key in a request.

Keys are secret. They are looked up by digest, so that the duration of a lookup reveals nothing
about the stored keys, and the final comparison takes constant time. This module logs nothing,
and no error contains a key.
"""

import hashlib
import hmac
from collections.abc import Iterable, Sequence
from typing import Final, Generic, TypeVar

Holder = TypeVar("Holder")

SCHEME: Final = b"bearer"
# Longer values cannot be keys, so no digest of them is computed.
MAX_KEY_BYTES: Final = 1_024


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is stored."""
    return hashlib.sha256(key).digest()


def bearer_key(authorization: Sequence[bytes]) -> bytes | None:
    """Return the key from an Authorization header, or None unless it has exactly one value."""
    if len(authorization) != 1:
        return None
    scheme, _, key = authorization[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not 0 < len(key) <= MAX_KEY_BYTES:
        return None
    return key


class KeyRegistry(Generic[Holder]):
    """Map the digests of keys to the holders of the keys."""

    def __init__(self, holders: Iterable[tuple[bytes, Holder]]) -> None:
        self._holders = {digest: (digest, holder) for digest, holder in holders}

    def holder(self, authorization: Sequence[bytes]) -> Holder | None:
        """Return the holder of the key in an Authorization header, or None."""
        key = bearer_key(authorization)
        if key is None:
            return None
        digest = key_digest(key)
        found = self._holders.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return found[1]
