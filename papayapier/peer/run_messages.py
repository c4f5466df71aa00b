"""Define the messages in which instances that run batch request and offer jobs."""

from typing import NamedTuple


class RunsAsk(NamedTuple):
    """Request which of some jobs a keeper runs; by the requester's view it owns them.

    adopted lists those of the jobs that the requester runs in the keeper's place.
    """

    correlation_id: int
    job_ids: tuple[str, ...]
    adopted: tuple[str, ...] = ()


class RunsTell(NamedTuple):
    """Answer RunsAsk; finished lists the jobs that have all results stored or were ended."""

    correlation_id: int
    running: tuple[str, ...]
    finished: tuple[str, ...]


class RunsOffer(NamedTuple):
    """Offer jobs of which the sender can start no item; a receiver that can sends a RunsAsk."""

    job_ids: tuple[str, ...]
