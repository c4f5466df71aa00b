"""Define all error kinds and the HTTP response to each.

A refusal states whether the request ran. NOT_RUN guarantees that nothing of the request has
reached an upstream or will reach one. Code that cannot prove this reports UNKNOWN.
"""

from enum import Enum
from typing import Final, NamedTuple


class Outcome(Enum):
    """State whether a refused request may have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """List the reasons for which a request, job or change can end without its result."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_PROFILE = "unknown_profile"
    UNKNOWN_UPSTREAM = "unknown_upstream"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    KEY_CONFLICT = "key_conflict"
    VERSION_CONFLICT = "version_conflict"
    STILL_RUNNING = "still_running"
    OVERLOADED = "overloaded"
    NO_ROOM = "no_room"
    CALLER_LIMIT = "caller_limit"
    OVER_ALLOWANCE = "over_allowance"
    NOT_GRANTED = "not_granted"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    BROKEN_ANSWER = "broken_answer"
    ENDS_REPLICAS = "ends_replicas"
    CANNOT_RESUME = "cannot_resume"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_MEMORY = "no_memory"
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """Hold the HTTP status of an error kind, and whether a later retry can succeed."""

    status: int
    is_retryable: bool
    description: str


ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, False, "the request is malformed"),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, False, "the key is missing or unknown"),
    ErrorKind.UNKNOWN_PROFILE: ErrorResponse(400, False, "no profile has this name"),
    ErrorKind.UNKNOWN_UPSTREAM: ErrorResponse(404, False, "no upstream has this name"),
    ErrorKind.NOT_FOUND: ErrorResponse(404, False, "the object does not exist"),
    ErrorKind.TOO_LARGE: ErrorResponse(413, False, "the request is larger than allowed"),
    ErrorKind.KEY_CONFLICT: ErrorResponse(
        409, False, "the idempotency key was used with other content"
    ),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, False, "the object has changed in the meantime"),
    ErrorKind.STILL_RUNNING: ErrorResponse(409, True, "the request with this key is still running"),
    ErrorKind.OVERLOADED: ErrorResponse(429, True, "the expected wait exceeds the due time"),
    ErrorKind.NO_ROOM: ErrorResponse(
        503, True, "no replica has capacity in time; each refusal sets its own retry time"
    ),
    ErrorKind.CALLER_LIMIT: ErrorResponse(429, True, "the caller is over its limit"),
    ErrorKind.OVER_ALLOWANCE: ErrorResponse(429, True, "the team has used up its allowance"),
    ErrorKind.NOT_GRANTED: ErrorResponse(
        503, True, "the granter of the team's allowance does not reply"
    ),
    ErrorKind.DEADLINE: ErrorResponse(504, False, "the due time has passed"),
    ErrorKind.NO_UPSTREAM: ErrorResponse(
        503, True, "no replica of the upstream can take the request"
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, True, "the upstream failed"),
    ErrorKind.BROKEN_ANSWER: ErrorResponse(502, True, "the upstream's answer was incomplete"),
    ErrorKind.ENDS_REPLICAS: ErrorResponse(
        503, True, "replicas were lost while they ran the same request"
    ),
    ErrorKind.CANNOT_RESUME: ErrorResponse(
        503, False, "the stream cannot go on at the software version that began it"
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, True, "the platform's store does not answer"),
    ErrorKind.NO_MEMORY: ErrorResponse(
        503, True, "the instance has buffered as many bytes as it may"
    ),
    ErrorKind.LEAVING: ErrorResponse(503, True, "the instance is shutting down"),
    ErrorKind.CANCELLED: ErrorResponse(499, False, "the caller disconnected"),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, False, "whether the request ran is unknown"),
    ErrorKind.INTERNAL: ErrorResponse(500, False, "an internal check failed"),
}


class Refusal(NamedTuple):
    """Hold the reason why there is no result, and whether the request may have run."""

    kind: ErrorKind
    outcome: Outcome
    reason: str
    retry_after_ms: int = 0


def not_run_refusal(kind: ErrorKind, reason: str, retry_after_ms: int = 0) -> Refusal:
    """Refuse a request that provably did not run."""
    return Refusal(kind, Outcome.NOT_RUN, reason, retry_after_ms)


def unknown_refusal(kind: ErrorKind, reason: str, retry_after_ms: int = 0) -> Refusal:
    """Refuse a request that may have run."""
    return Refusal(kind, Outcome.UNKNOWN, reason, retry_after_ms)
