"""Decide to whom an instance offers jobs of which it can start no item, and who has them then.

An owner that lives may be unable to run its jobs: the replicas that it may use are dark, full or
cut off from it, while others have free slots. Only the owner knows that, so it offers such jobs to
a few others at a time, until all have been asked. One that has room asks for a job, and the owner
decides: of two that ask one has the job, and the owner leaves it alone until it is given back or
nothing is heard of it.
"""

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

# A job has stalled when nothing came of its items for so long while none runs.
STALLED_MS: Final = 1_500
# The same while some run: beyond the longest silence that a run bears.
SILENT_MS: Final = 5_000
# Instances that are offered jobs in one round, so that a full fleet is no flood of messages.
OFFERED_TO: Final = 3
# Jobs in one offer; whoever has room takes one of them.
OFFERED_MOST: Final = 20
# Whoever has a job says so every six seconds; after a lost word it is not believed any more.
HANDED_MS: Final = 8_000


class Offers:
    """Choose whom to offer jobs, all in turn."""

    def __init__(self, me: str) -> None:
        self._me = me
        self._turn = 0

    def next(self, able: Sequence[str]) -> list[str]:
        """Return the next few of those that may run some jobs, beginning after this instance."""
        others = sorted(one for one in able if one != self._me)
        if not others:
            return []
        begin = sum(one < self._me for one in others) + self._turn
        self._turn += OFFERED_TO
        count = min(OFFERED_TO, len(others))
        return [others[(begin + number) % len(others)] for number in range(count)]


class _Handed(NamedTuple):
    """Hold who runs a job in its owner's place, and when that was last heard."""

    holder: str
    heard_ms: int


class HandedJobs:
    """Know which jobs of this instance others run in its place."""

    def __init__(self) -> None:
        self._handed: dict[str, _Handed] = {}

    def holder(self, job_id: str) -> str | None:
        """Return who runs a job in this instance's place."""
        handed = self._handed.get(job_id)
        return handed.holder if handed is not None else None

    def on_taken(self, job_id: str, peer_id: str, now: int) -> None:
        """Take that a peer runs a job, unless another one does."""
        if self.holder(job_id) in (None, peer_id):
            self._handed[job_id] = _Handed(peer_id, now)

    def on_given_back(self, job_id: str, peer_id: str) -> bool:
        """Take that a peer does not run a job; return whether it had it."""
        had = self.holder(job_id) == peer_id
        if had:
            del self._handed[job_id]
        return had

    def expire(self, live: Collection[str], now: int) -> bool:
        """Take back what is held by nobody that is heard; return whether there was some."""
        gone = [
            job_id
            for job_id, one in self._handed.items()
            if one.holder not in live or now >= one.heard_ms + HANDED_MS
        ]
        for job_id in gone:
            del self._handed[job_id]
        return bool(gone)

    def forget(self, job_id: str) -> None:
        """Forget a job that is over."""
        self._handed.pop(job_id, None)
