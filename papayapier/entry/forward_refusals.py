"""Refuse a forwarded request with a status that states correctly whether it may have run."""

import random
from typing import Any, Final, NamedTuple

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.errors import ERROR_RESPONSES, ErrorKind, Outcome, Refusal
from papayapier.metrics import Metrics
from papayapier.policy.waiting import retry_after_ms

TEXT_TYPE: Final = b"text/plain"
# Statuses of refusals that a retry cannot help; every other not_run refusal is a 503.
NO_RETRY_STATUSES: Final = frozenset({400, 401, 404, 409, 413})
# Refusals whose retry time is sent as it is: quarantined requests are refused until the quarantine
# ends, and placers spread the retries themselves. All other retry times are spread here.
EXACT_RETRY_KINDS: Final = frozenset({ErrorKind.ENDS_REPLICAS, ErrorKind.NO_ROOM})


class RefusalDeps(NamedTuple):
    """Group the dependencies of refusals, with the platform's header names."""

    clock: Clock
    rand: random.Random
    metrics: Metrics
    request_id: str
    retry_after: bytes


def refuse_forwarded(
    deps: RefusalDeps, request: Any, profile: str, refusal: Refusal, due_ms: int | None = None
) -> None:
    """Write a refusal, with a status that states correctly whether the request may have run."""
    if request.is_disconnected:
        return
    request_id = request.getHeader(deps.request_id) or ""
    count_refusal(deps, request_id, profile, refusal)
    status = refusal_status(refusal)
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", TEXT_TYPE)
    if status == 429:
        # The team's allowance has capacity then; the granter has already spread the retries.
        _set_retry_after(deps, request, refusal.retry_after_ms)
    if status == 503:
        left_ms = due_ms - deps.clock.now() if due_ms is not None else 0
        after_ms = refusal.retry_after_ms
        if refusal.kind not in EXACT_RETRY_KINDS:
            after_ms = retry_after_ms(after_ms, left_ms, deps.rand)
        _set_retry_after(deps, request, after_ms)
    body = f"{refusal.kind.value}: {refusal.reason}\n".encode()
    request.setHeader(b"Content-Length", str(len(body)).encode())
    request.write(body)
    request.finish()


def _set_retry_after(deps: RefusalDeps, request: Any, after_ms: int) -> None:
    request.setHeader(deps.retry_after, f"{after_ms / MS_PER_S:.3f}".encode())


def refusal_status(refusal: Refusal) -> int:
    """Return the status of a refusal; 503 promises that the request did not and will not run."""
    status = ERROR_RESPONSES[refusal.kind].status
    if refusal.outcome is Outcome.UNKNOWN:
        return 504 if refusal.kind is ErrorKind.DEADLINE else 502
    if refusal.kind is ErrorKind.OVER_ALLOWANCE:
        return status
    return status if status in NO_RETRY_STATUSES else 503


def count_refusal(deps: RefusalDeps, request_id: str, profile: str, refusal: Refusal) -> None:
    """Log a refusal, and count it by kind."""
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
