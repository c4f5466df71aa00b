"""Authenticate frames between instances with a shared key.

A frame is followed by a truncated HMAC-SHA-256 of it. Without it, anyone who can reach the
peer port could announce instances or push configuration. Several keys may be accepted at
once, so that a key can be replaced instance by instance. Replays are not detected: old
versions of configuration are refused anyway, and a replayed heartbeat can only delay the
detection of a loss.
"""

import hashlib
import hmac
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final, NamedTuple

from result import Err, Ok, Result

TAG_BYTES: Final = 16
MIN_KEY_CHARACTERS: Final = 16


class Signer(NamedTuple):
    """Group the two directions: sign signs a frame, verify checks and strips the signature."""

    sign: Callable[[bytes], bytes]
    verify: Callable[[bytes], Result[bytes, str]]


NO_SIGNER: Final = Signer(sign=lambda data: data, verify=Ok)


def load_signer(key_file: str) -> Result[Signer, str]:
    """Read the shared keys; without a key file, frames are neither signed nor checked."""
    if not key_file:
        return Ok(NO_SIGNER)
    try:
        lines = Path(key_file).read_text(encoding="utf-8").split()
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{key_file}: cannot be read: {exc}")
    if not lines or min(map(len, lines)) < MIN_KEY_CHARACTERS:
        return Err(f"{key_file}: needs keys of at least {MIN_KEY_CHARACTERS} characters")
    return Ok(make_signer([line.encode() for line in lines]))


def make_signer(keys: Sequence[bytes]) -> Signer:
    """Return a signer that signs with the first key and accepts every key."""

    def sign(data: bytes) -> bytes:
        return data + _tag(keys[0], data)

    def verify(signed: bytes) -> Result[bytes, str]:
        data, tag = signed[:-TAG_BYTES], signed[-TAG_BYTES:]
        if any(hmac.compare_digest(_tag(key, data), tag) for key in keys):
            return Ok(data)
        return Err("signature does not match")

    return Signer(sign, verify)


def _tag(key: bytes, data: bytes) -> bytes:
    return hmac.digest(key, data, hashlib.sha256)[:TAG_BYTES]
