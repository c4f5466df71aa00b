"""Write answers and refusals to HTTP requests, in the same form for callers and operators."""

from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier import codec
from papayapier.clock import MS_PER_S
from papayapier.errors import ERROR_RESPONSES, Outcome, Refusal

if TYPE_CHECKING:
    from papayapier.entry.web import WebRequest

JSON_TYPE: Final = b"application/json"


class ErrorBody(NamedTuple):
    """Describe why a request was refused; outcome is "not_run" or "unknown"."""

    kind: str
    outcome: str
    reason: str
    retry_after_ms: int


class RefusalBody(NamedTuple):
    """Wrap the error in the form that OpenAI-style clients expect."""

    error: ErrorBody


def refusal_body(refusal: Refusal) -> bytes:
    """Encode a refusal as JSON."""
    kind, outcome, reason, retry_after_ms = refusal
    return codec.to_json(RefusalBody(ErrorBody(kind.value, outcome.value, reason, retry_after_ms)))


def refuse(request: "WebRequest", refusal: Refusal) -> bytes:
    """Set the status and headers of a refusal and return its body."""
    answer = ERROR_RESPONSES[refusal.kind]
    request.setResponseCode(answer.status)
    request.setHeader(b"Content-Type", JSON_TYPE)
    if answer.is_retryable:
        seconds = max(1, -(-refusal.retry_after_ms // MS_PER_S))
        request.setHeader(b"Retry-After", str(seconds).encode())
    # Stops client libraries that retry by status alone from repeating a request that may have run.
    if refusal.outcome is Outcome.UNKNOWN:
        request.setHeader(b"X-Should-Retry", b"false")
    return refusal_body(refusal)


def reply_json(request: "WebRequest", value: object, status: int = 200) -> bytes:
    """Set the status and headers of a JSON answer and return its body."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", JSON_TYPE)
    return with_content_length(request, codec.to_json(value))


def with_content_length(request: "WebRequest", body: bytes) -> bytes:
    """Set the Content-Length of a body, so that its reader detects truncation; return the body."""
    request.setHeader(b"Content-Length", str(len(body)).encode())
    return body
