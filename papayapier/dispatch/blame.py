"""Tell what a failed call says about the replica and about the request.

Two confusions are costly. A caller's malformed body fails on every replica: were it blamed
on them, one caller could have every replica ejected, and retries would only repeat the
failure. And a kept connection can go silent while the replica is well: were that blamed on
the replica, an event in the network between would take good replicas out of use.
"""

from http import HTTPStatus
from typing import Final

from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.upstream.api import Failure, FailureKind

# Answers by which a replica says that it looked at the request and will not run it.
REJECTIONS: Final = frozenset(
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
NEEDS_FRESH: Final = frozenset({FailureKind.SILENT, FailureKind.CUT, FailureKind.DUE})


def rejection(failure: Failure) -> Refusal | None:
    """Return the refusal for a request that the replica itself rejected, if it did."""
    if failure.kind is not FailureKind.STATUS or failure.status not in REJECTIONS:
        return None
    kind = ErrorKind.BAD_REQUEST
    if failure.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        kind = ErrorKind.TOO_LARGE
    return not_run(kind, f"the upstream rejected the request: {failure.reason}")


def blames_replica(failure: Failure) -> bool:
    """Tell whether a failure counts against the replica."""
    if failure.kind is FailureKind.CANCELLED or rejection(failure) is not None:
        return False
    return failure.fresh or failure.kind not in NEEDS_FRESH
