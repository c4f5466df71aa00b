"""Refuse a forwarded request with a status that is true of what has become of it."""

import random
from typing import Any, Final, NamedTuple

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.errors import ANSWERS, ErrorKind, Outcome, Refusal
from papayapier.metrics import Metrics
from papayapier.policy.waiting import retry_after_ms

TEXT: Final = b"text/plain"
# Those that no return helps against; every other refusal of what has not run is a 503.
PLAIN_STATUSES: Final = frozenset({400, 401, 404, 409, 413})
# Work that ends replicas is refused again however soon it comes, and whoever places calls dates
# each return by itself; all other returns are spread here.
OWN_RETURNS: Final = frozenset({ErrorKind.ENDS_REPLICAS, ErrorKind.NO_ROOM})


class RefusalDeps(NamedTuple):
    """Group what a refusal needs; the headers are named as the platform does."""

    clock: Clock
    rand: random.Random
    metrics: Metrics
    request_id: str
    retry_after: bytes


def refuse_raw(
    deps: RefusalDeps, request: Any, profile: str, refusal: Refusal, due_ms: int | None = None
) -> None:
    """Answer a refusal with the status that states truly whether the request may have run."""
    if refusal.kind is ErrorKind.CANCELLED or request.gone:
        return
    request_id = request.getHeader(deps.request_id) or ""
    count_refusal(deps, request_id, profile, refusal)
    status = raw_status(refusal)
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", TEXT)
    if status == 429:
        # When there is room for this team; returns are spread by whoever says so.
        _come_again(deps, request, refusal.retry_after_ms)
    if status == 503:
        left_ms = due_ms - deps.clock.now() if due_ms is not None else 0
        after_ms = refusal.retry_after_ms
        if refusal.kind not in OWN_RETURNS:
            after_ms = retry_after_ms(after_ms, left_ms, deps.rand)
        _come_again(deps, request, after_ms)
    body = f"{refusal.kind.value}: {refusal.reason}\n".encode()
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.write(body)
    request.finish()


def _come_again(deps: RefusalDeps, request: Any, after_ms: int) -> None:
    request.setHeader(deps.retry_after, f"{after_ms / MS_PER_S:.3f}".encode())


def raw_status(refusal: Refusal) -> int:
    """Return the status of a refusal; 503 promises that the request did not and will not run."""
    status = ANSWERS[refusal.kind].status
    if refusal.outcome is Outcome.UNKNOWN:
        return 504 if refusal.kind is ErrorKind.DEADLINE else 502
    if refusal.kind is ErrorKind.OVER_ALLOWANCE:
        return status
    return status if status in PLAIN_STATUSES else 503


def count_refusal(deps: RefusalDeps, request_id: str, profile: str, refusal: Refusal) -> None:
    """Log a refusal, and count it by its reason."""
    deps.metrics.requests.labels(profile, "refused").inc()
    deps.metrics.refusals.labels(refusal.kind.value, refusal.outcome.value).inc()
    events.emit(
        events.REQUEST_REFUSED,
        request=request_id,
        profile=profile,
        kind=refusal.kind.value,
        outcome=refusal.outcome.value,
        reason=refusal.reason,
    )
