"""Classify the outcome of a store call, independent of its wire format.

Each call has one of three outcomes, and the rest of the program relies on the distinction.
Nothing was changed (refused connection, 413, 429, 503, a failed condition): the caller may
continue at once. Answered: done. Everything else (connection cut or timeout after the request
may have been sent, an unexpected status, an incomplete body): a read is UNAVAILABLE, but a
write is LOST.
"""

from collections.abc import Mapping

from result import Err, Ok, Result

from papayapier import events
from papayapier.metrics import Metrics
from papayapier.store.api import StoreError
from papayapier.store.link import Reply, Request, was_never_sent


def classify(
    req: Request,
    answer: Result[Reply, BaseException],
    error_if_unknown: StoreError,
    unchanged_statuses: Mapping[int, StoreError],
) -> Result[Reply, StoreError]:
    """Map an answer to a result; error_if_unknown applies if the effect is unknown."""
    if isinstance(answer, Err):
        return Err(StoreError.UNAVAILABLE if was_never_sent(answer.err_value) else error_if_unknown)
    reply = answer.ok_value
    if reply.status in (200, 201):
        return Ok(reply)
    if reply.status in unchanged_statuses:
        return Err(unchanged_statuses[reply.status])
    events.emit(events.STORE_ODD_ANSWER, call=req.name, reason=f"status {reply.status}")
    # A 4xx is the platform's own refusal, so nothing was changed. A 5xx may come from a proxy
    # on the path after the change took effect, and no other status says that there was none.
    is_refusal = 400 <= reply.status < 500
    return Err(StoreError.UNAVAILABLE if is_refusal else error_if_unknown)


def count_call(metrics: Metrics, req: Request, outcome: Result[Reply, StoreError]) -> None:
    """Count a call by its outcome, and its bytes."""
    label = "ok" if isinstance(outcome, Ok) else outcome.err_value.value
    metrics.store_calls.labels(call=req.name, end=label).inc()
    metrics.store_bytes.labels(direction="out").inc(len(req.body or b""))
    if isinstance(outcome, Ok):
        metrics.store_bytes.labels(direction="in").inc(len(outcome.ok_value.body))
