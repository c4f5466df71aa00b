"""Tell whose key a caller shows.

A key is a secret: what is looked up is its digest, so that the time of a look tells nothing of the
keys that are held, and the last comparison takes the same time wherever the two differ. Nothing
here writes a line, and no error names a key.
"""

import hashlib
import hmac
from collections.abc import Iterable, Sequence
from typing import Final, Generic, TypeVar

Holder = TypeVar("Holder")

SCHEME: Final = b"bearer"
# Longer ones are no keys; they are not worth their digest.
KEY_BYTES_MAX: Final = 1_024


def digest_of(key: bytes) -> bytes:
    """Return what is kept of a key."""
    return hashlib.sha256(key).digest()


def shown_key(authorization: Sequence[bytes]) -> bytes | None:
    """Return the key in the values of an Authorization header, which must be one."""
    if len(authorization) != 1:
        return None
    scheme, _, key = authorization[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not 0 < len(key) <= KEY_BYTES_MAX:
        return None
    return key


class KeyRing(Generic[Holder]):
    """Hold the digests of keys, each with whoever holds the key."""

    def __init__(self, holders: Iterable[tuple[bytes, Holder]]) -> None:
        self._holders = {digest: (digest, holder) for digest, holder in holders}

    def holder(self, authorization: Sequence[bytes]) -> Holder | None:
        """Return the holder of the key that is shown."""
        key = shown_key(authorization)
        if key is None:
            return None
        digest = digest_of(key)
        found = self._holders.get(digest)
        if found is None or not hmac.compare_digest(found[0], digest):
            return None
        return found[1]
