"""Decide whether a failed call counts against the replica or against the request.

A caller's malformed body fails on every replica. If that counted against the replicas, one caller
could have all of them ejected, and retries would only repeat the failure. A pooled connection can
go silent while its replica is healthy. If that counted against the replica, a network fault would
eject healthy replicas.
"""

from http import HTTPStatus
from typing import Final

from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.upstream.api import Failure, FailureKind

# Statuses with which a replica rejects a request without running it.
REJECTION_STATUSES: Final = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNSUPPORTED_MEDIA_TYPE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    }
)
# These count against the replica only on a new connection.
FRESH_ONLY_KINDS: Final = frozenset(
    {FailureKind.TIMED_OUT, FailureKind.TRUNCATED, FailureKind.DEADLINE}
)


def rejection(failure: Failure) -> Refusal | None:
    """Return the refusal of a request that the replica itself rejected, or None."""
    if failure.kind is not FailureKind.STATUS or failure.status not in REJECTION_STATUSES:
        return None
    kind = ErrorKind.BAD_REQUEST
    if failure.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        kind = ErrorKind.TOO_LARGE
    return not_run_refusal(kind, f"the upstream rejected the request: {failure.reason}")


def counts_against_replica(failure: Failure) -> bool:
    """Return whether a failure counts against the replica."""
    if failure.kind is FailureKind.CANCELLED or rejection(failure) is not None:
        return False
    return failure.new_connection or failure.kind not in FRESH_ONLY_KINDS
