"""Define a profile: how one class of work must be treated."""

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
    """Bound what one caller may have under way or queued on each instance; 0: no bound."""

    in_flight: Count = 0
    queued: Count = 0


class RetryRule(NamedTuple):
    """Bound the attempts of one request or item; only idempotent work is repeated."""

    attempts: Annotated[int, Meta(ge=1, le=10)] = 3


class BatchRule(NamedTuple):
    """Bound what batch work of this profile may take of a replica.

    share is the most of a replica's slots; isolation picks the point between online tail
    latency ("tail") and batch throughput ("throughput"), or a baseline ("none", "static").
    """

    share: Share = 0.8
    isolation: Isolation = "tail"


class Profile(NamedTuple):
    """Hold one profile as operators write it; due_ms counts from acceptance."""

    name: Name
    upstream: Name
    urgency: Urgency
    due_ms: DueMs
    idempotent: bool
    callers: CallerLimits = CallerLimits()
    retry: RetryRule = RetryRule()
    batch: BatchRule = BatchRule()
    description: str = ""
