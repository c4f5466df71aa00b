"""Define the messages by which instances keep a suspect from being under way twice."""

from typing import NamedTuple

from papayapier.policy.crash_quarantine import ReplicaLoss


class PermitRequest(NamedTuple):
    """Request a permit to send a suspect to a replica; losses are those that the sender knows.

    within_ms is the time by which the send ends; a hub keeps a lease for that long.
    """

    correlation_id: int
    fingerprint: str
    replica: str
    losses: tuple[ReplicaLoss, ...]
    within_ms: int


class PermitReply(NamedTuple):
    """Answer PermitRequest; losses are those that the replying instance knows."""

    correlation_id: int
    blocked: bool
    losses: tuple[ReplicaLoss, ...] = ()


class SuspectUnderWay(NamedTuple):
    """Report to a hub that a request that has become a suspect is under way at the sender."""

    fingerprint: str
    replica: str
    within_ms: int


class SuspectEnded(NamedTuple):
    """Report to a hub that the sender has no copy of a suspect under way any more.

    losses are those that the sender knows, so that the hub knows them before the next permit.
    """

    fingerprint: str
    losses: tuple[ReplicaLoss, ...] = ()
