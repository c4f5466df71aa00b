"""Decide to whom an instance offers jobs of which it can start no item, and track who takes them.

A live owner may be unable to run its jobs: the replicas that it may use are unreachable from it,
full or down, while others have free slots. Only the owner knows that, so it offers such jobs to a
few instances at a time, until all have received the offer. An instance with free slots requests a
job, and the owner decides: of two that request it one gets the job, and the owner does not run it
itself until it is given back or its holder stops reporting.
"""

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

# A job has stalled when none of its items made progress for this long while none runs.
STALLED_MS: Final = 1_500
# The same while some run: beyond the longest silence that a run tolerates.
STALLED_RUNNING_MS: Final = 5_000
# Instances that receive offers in one round, so that a full fleet is not flooded with messages.
PEERS_PER_ROUND: Final = 3
# Jobs in one offer; an instance with free slots takes one of them.
MAX_OFFERED_JOBS: Final = 20
# A job's holder reports that it runs it every six seconds; after one missed report the handover
# expires.
HANDOVER_EXPIRY_MS: Final = 8_000


class OfferRotation:
    """Choose the instances to offer jobs to, all in rotation."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._offset = 0

    def next_peers(self, able: Sequence[str]) -> list[str]:
        """Return the next few instances that may run some jobs, starting after this one."""
        others = sorted(instance for instance in able if instance != self._me)
        if not others:
            return []
        start = sum(instance < self._me for instance in others) + self._offset
        self._offset += PEERS_PER_ROUND
        count = min(PEERS_PER_ROUND, len(others))
        return [others[(start + number) % len(others)] for number in range(count)]


class _Handover(NamedTuple):
    """Record who runs a job in its owner's place, and the time of its last report."""

    holder: str
    last_report_ms: int


class HandoverTracker:
    """Track which jobs of this instance others run in its place."""

    def __init__(self) -> None:
        self._handovers: dict[str, _Handover] = {}

    def holder(self, job_id: str) -> str | None:
        """Return who runs a job in this instance's place."""
        handover = self._handovers.get(job_id)
        return handover.holder if handover is not None else None

    def on_peer_runs(self, job_id: str, peer_id: str, now: int) -> None:
        """Record that a peer runs a job, unless another peer does."""
        if self.holder(job_id) in (None, peer_id):
            self._handovers[job_id] = _Handover(peer_id, now)

    def on_returned(self, job_id: str, peer_id: str) -> bool:
        """Record that a peer does not run a job; return whether it had run it."""
        was_holder = self.holder(job_id) == peer_id
        if was_holder:
            del self._handovers[job_id]
        return was_holder

    def expire(self, live: Collection[str], now: int) -> bool:
        """Take back jobs whose holder is lost or stopped reporting; return whether any were."""
        expired_jobs = [
            job_id
            for job_id, handover in self._handovers.items()
            if handover.holder not in live or now >= handover.last_report_ms + HANDOVER_EXPIRY_MS
        ]
        for job_id in expired_jobs:
            del self._handovers[job_id]
        return bool(expired_jobs)

    def forget(self, job_id: str) -> None:
        """Forget a finished job."""
        self._handovers.pop(job_id, None)
