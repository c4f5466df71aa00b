"""Define a profile: how a class of requests or batch items is processed."""

from typing import Annotated, Final, Literal, NamedTuple

from msgspec import Meta

DAY_MS: Final = 86_400_000

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
DueMs = Annotated[int, Meta(ge=50, le=30 * DAY_MS)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]

Urgency = Literal["urgent", "normal", "batch"]
Isolation = Literal["none", "static", "tail", "throughput"]


class CallerLimits(NamedTuple):
    """Limit the requests of one caller in flight or queued on each instance; 0 means no limit."""

    in_flight: Count = 0
    queued: Count = 0


class RetryRule(NamedTuple):
    """Limit the attempts of one request or item; only idempotent ones are retried."""

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3


class BatchRule(NamedTuple):
    """Limit what batch items of this profile may use of a replica.

    share is the maximum share of a replica's slots. isolation selects the trade-off between
    online tail latency ("tail") and batch throughput ("throughput"), or a baseline ("none",
    "static").
    """

    share: Share = 0.8
    isolation: Isolation = "tail"


class Profile(NamedTuple):
    """Hold one profile as written by operators; due_ms counts from acceptance."""

    name: Name
    upstream: Name
    urgency: Urgency
    due_ms: DueMs
    idempotent: bool
    callers: CallerLimits = CallerLimits()
    retry: RetryRule = RetryRule()
    batch: BatchRule = BatchRule()
    description: str = ""
