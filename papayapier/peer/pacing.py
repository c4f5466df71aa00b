"""Decide when a heartbeat goes out, and keep heartbeats within a rate of bytes.

A regular heartbeat is always sent: without it the peers would think this instance dead. An
early one, which tells that the open calls changed, is sent only while the budget lasts. The
budget is a token bucket that holds several seconds' worth, because early heartbeats matter
in bursts: a few hundred bytes at once make the peers' batch work give way tens of
milliseconds earlier, while the average stays within the rate.
"""

from collections.abc import Sequence
from typing import Final

from papayapier.clock import MS_PER_S, Millis
from papayapier.peer.messages import ReplicaUse

BUDGET_SECONDS: Final = 10


class ByteBudget:
    """Hold the bytes that may be spent, refilled at a steady rate."""

    def __init__(self, bytes_per_s: int, now: Millis) -> None:
        self._rate = bytes_per_s
        self._most = bytes_per_s * BUDGET_SECONDS
        self._left = float(self._most)
        self._at = now

    def spend(self, count: int, now: Millis) -> None:
        """Note bytes that were sent; more than are left are repaid before the next early one."""
        self._refill(now)
        self._left = max(self._left - count, -float(self._most))

    def has(self, count: int, now: Millis) -> bool:
        """Tell whether so many bytes are left."""
        self._refill(now)
        return self._left >= count

    def _refill(self, now: Millis) -> None:
        earned = (now - self._at) * self._rate / MS_PER_S
        self._left = min(self._left + earned, float(self._most))
        self._at = now


def use_distance(before: Sequence[ReplicaUse], after: Sequence[ReplicaUse]) -> int:
    """Return by how many online calls two lists of uses differ, summed over the replicas."""
    counts = {use.replica: use.online for use in before}
    moved = 0
    for use in after:
        moved += abs(use.online - counts.pop(use.replica, 0))
    return moved + sum(counts.values())
