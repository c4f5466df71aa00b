"""Tell who is calling, by key or by name."""

import hashlib
import hmac
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from papayapier.errors import ErrorKind, Refusal, not_run

if TYPE_CHECKING:
    from papayapier.entry.web import WebRequest
    from papayapier.settings import KeyEntry

CallerAuth = Callable[["WebRequest"], Result[str, Refusal]]

ANONYMOUS: Final = "anonymous"
MAX_NAME: Final = 64
BEARER: Final = "Bearer "


def holder_of(request: "WebRequest", entries: "tuple[KeyEntry, ...]") -> str | None:
    """Return the name of the holder of the request's key."""
    header = request.getHeader("authorization") or ""
    if not header.startswith(BEARER):
        return None
    digest = hashlib.sha256(header[len(BEARER) :].encode()).hexdigest()
    # Every entry is compared, each in constant time: the time taken tells nothing about keys.
    matches = [entry.name for entry in entries if hmac.compare_digest(entry.key_sha256, digest)]
    return matches[0] if matches else None


def caller_auth(entries: "tuple[KeyEntry, ...]") -> CallerAuth:
    """Make the check of callers; with no keys listed, callers name themselves."""

    def by_name(request: "WebRequest") -> Result[str, Refusal]:
        name = request.getHeader("x-papayapier-caller") or ANONYMOUS
        if len(name) > MAX_NAME:
            reason = f"X-Papayapier-Caller: over {MAX_NAME} characters"
            return Err(not_run(ErrorKind.BAD_REQUEST, reason))
        return Ok(name)

    def by_key(request: "WebRequest") -> Result[str, Refusal]:
        holder = holder_of(request, entries)
        if holder is None:
            return Err(not_run(ErrorKind.UNAUTHORIZED, "Authorization: key missing or not known"))
        return Ok(holder)

    return by_key if entries else by_name
