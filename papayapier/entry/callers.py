"""Identify callers, by key or by name."""

from collections.abc import Callable
from functools import lru_cache
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from papayapier.config.keys import KeyRegistry
from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from papayapier.entry.web import WebRequest
    from papayapier.settings import KeyEntry

CallerAuth = Callable[["WebRequest"], Result[str, Refusal]]

ANONYMOUS: Final = "anonymous"
MAX_NAME_CHARS: Final = 64


def key_holder(request: "WebRequest", entries: "tuple[KeyEntry, ...]") -> str | None:
    """Return the name of the holder of the request's key."""
    header = request.getHeader("authorization")
    return _ring(entries).holder([header.encode()]) if header else None


@lru_cache
def _ring(entries: "tuple[KeyEntry, ...]") -> KeyRegistry[str]:
    """Build and cache the key ring of a list; of two entries with one key, the first counts."""
    return KeyRegistry((bytes.fromhex(entry.key_sha256), entry.name) for entry in reversed(entries))


def caller_auth(entries: "tuple[KeyEntry, ...]") -> CallerAuth:
    """Return the function that identifies callers; with no keys listed, callers name themselves."""

    def by_name(request: "WebRequest") -> Result[str, Refusal]:
        name = request.getHeader("x-papayapier-caller") or ANONYMOUS
        if len(name) > MAX_NAME_CHARS:
            reason = f"X-Papayapier-Caller: over {MAX_NAME_CHARS} characters"
            return Err(not_run_refusal(ErrorKind.BAD_REQUEST, reason))
        return Ok(name)

    def by_key(request: "WebRequest") -> Result[str, Refusal]:
        holder = key_holder(request, entries)
        if holder is None:
            return Err(
                not_run_refusal(ErrorKind.UNAUTHORIZED, "Authorization: key missing or not known")
            )
        return Ok(holder)

    return by_key if entries else by_name
