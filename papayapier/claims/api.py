"""Define the results of beginning a claim, and the refusals."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Result

from papayapier.claims.records import SavedAnswer
from papayapier.errors import ErrorKind, Refusal, not_run_refusal, unknown_refusal

RETRY_AFTER_MS: Final = 1_000
RUNNING: Final = "running"
DONE: Final = "done"
ABANDONED: Final = "abandoned"
NO_RECORD: Final = "no_record"

QueryWriter = Callable[[str, str], Awaitable[str]]
Token = bytes


class New(NamedTuple):
    """The key is now claimed: the request may be sent, then finish or abandon the token."""

    token: Token


class Done(NamedTuple):
    """The request has run; the answer is None if it was too large to be stored."""

    answer: SavedAnswer | None


class Running(NamedTuple):
    """Another instance is running the request."""

    writer: str


class Unknown(NamedTuple):
    """The request may have run on an instance that can no longer be queried."""

    writer: str


BeginOutcome = New | Done | Running | Unknown
BeginResult = Result[BeginOutcome, Refusal]


class RetryBegin(NamedTuple):
    """Request another attempt; supersedes is the token of a claim that its writer abandoned."""

    supersedes: Token | None


def key_conflict() -> Refusal:
    """Return the refusal of a key that was used for another request."""
    return not_run_refusal(ErrorKind.KEY_CONFLICT, "the key was used for another request")


def still_running() -> Refusal:
    """Return the refusal of a delivery while another delivery with its key is running."""
    reason = "another delivery with this key is running"
    return unknown_refusal(ErrorKind.STILL_RUNNING, reason, RETRY_AFTER_MS)


def store_down() -> Refusal:
    """Return the refusal of a delivery whose key could not be claimed."""
    reason = (
        "the key could not be claimed, so this delivery was not sent; "
        "it could not be determined whether an earlier delivery with this key ran"
    )
    return not_run_refusal(ErrorKind.STORE_UNAVAILABLE, reason, RETRY_AFTER_MS)
