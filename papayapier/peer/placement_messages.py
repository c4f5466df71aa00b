"""Define the messages between an instance and the hub that places its calls."""

from typing import NamedTuple


class PlaceAsk(NamedTuple):
    """Request a replica from the hub that places calls in a partition of an upstream.

    The replicas in excluded are not to be chosen. With objective_ms the request may be queued or
    refused if no replica has capacity: caller and rank identify the caller and its priority,
    objective_ms is what is left of the latency objective, timeout_ms what is left of the time
    budget, and retry_within_ms the time within which a refused caller can retry.
    """

    correlation_id: int
    partition: str
    prompt: str
    data_centre: str
    excluded: tuple[str, ...] = ()
    caller: str = ""
    rank: int = 0
    objective_ms: int = 0
    timeout_ms: int = 0
    retry_within_ms: int = 0


class PlaceLeft(NamedTuple):
    """Cancel a PlaceAsk: nobody waits for its answer any longer."""

    correlation_id: int


class PlaceTell(NamedTuple):
    """Answer PlaceAsk; replica is empty if none was chosen.

    queued_ms, if not 0, says that the request is queued and that the next reply to it comes within
    this time; retry_after_ms, if not 0, that it is refused and may be retried after this time;
    leaving that this hub no longer places calls and another hub does.
    """

    correlation_id: int
    replica: str
    queued_ms: int = 0
    retry_after_ms: int = 0
    leaving: bool = False


class Unanswered(NamedTuple):
    """Notify the hub that places calls at a replica that the replica left a call unanswered."""

    replica: str
