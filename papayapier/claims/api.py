"""Define the ends of beginning a claim."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Result

from papayapier.claims.records import SavedAnswer
from papayapier.errors import ErrorKind, Refusal, not_run, unknown

RETRY_AFTER_MS: Final = 1_000
RUNNING: Final = "running"
DONE: Final = "done"
ABANDONED: Final = "abandoned"
NO_RECORD: Final = "no_record"

AskWriter = Callable[[str, str], Awaitable[str]]
Token = bytes


class New(NamedTuple):
    """Tell that the key is claimed: send the request, then finish or abandon the token."""

    token: Token


class Done(NamedTuple):
    """Tell that the request has run; the answer is None if it was too large to keep."""

    answer: SavedAnswer | None


class Running(NamedTuple):
    """Tell that another instance is running the request."""

    writer: str


class Unknown(NamedTuple):
    """Tell that the request may have run on an instance that cannot be asked any more."""

    writer: str


Begin = New | Done | Running | Unknown
Begun = Result[Begin, Refusal]


class Again(NamedTuple):
    """Ask to begin again; supersedes is a claim whose writer has abandoned it."""

    supersedes: Token | None


def key_conflict() -> Refusal:
    """Refuse a key that was used for another request."""
    return not_run(ErrorKind.KEY_CONFLICT, "the key was used for another request")


def still_running() -> Refusal:
    """Refuse a delivery while another one of its key runs."""
    reason = "another delivery with this key is running"
    return unknown(ErrorKind.STILL_RUNNING, reason, RETRY_AFTER_MS)


def store_down() -> Refusal:
    """Refuse a delivery whose key could not be claimed."""
    reason = (
        "the key could not be claimed, so this delivery was not sent; "
        "whether an earlier delivery with this key ran could not be looked up"
    )
    return not_run(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS)
