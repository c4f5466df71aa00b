"""Decide when heartbeats are sent, and keep them within a rate of bytes.

A regular heartbeat is always sent: without it the peers would take this instance for dead.
Its interval grows with the number of neighbours and open calls, and it carries the interval,
so that peers do not take a slow sender for a silent one. An early heartbeat, which reports
that the open calls changed, is sent only within a byte budget. The budget is a token bucket
that holds several seconds' worth of bytes, because early heartbeats matter in bursts: a few
hundred bytes at once make the peers' batch work yield tens of milliseconds earlier, while
the average stays within the rate.
"""

from collections.abc import Sequence
from typing import Final

from papayapier.clock import MS_PER_S, Millis
from papayapier.policy.loads import ReplicaUse

BUDGET_SECONDS: Final = 10
MAX_USES: Final = 32
# Bytes that nng (8) and the TCP and IP headers (52 each way, with the acknowledgement) add.
FRAME_OVERHEAD: Final = 112


class ByteBudget:
    """Implement a token bucket of bytes that is refilled at a constant rate."""

    def __init__(self, bytes_per_s: int, now: Millis) -> None:
        self._rate = bytes_per_s
        self._max_bytes = bytes_per_s * BUDGET_SECONDS
        self._available = float(self._max_bytes)
        self._refilled_at = now

    def spend(self, count: int, now: Millis) -> None:
        """Subtract sent bytes; a deficit is refilled before the next early heartbeat."""
        self._refill(now)
        self._available = max(self._available - count, -float(self._max_bytes))

    def has_bytes(self, count: int, now: Millis) -> bool:
        """Return whether at least count bytes are left."""
        self._refill(now)
        return self._available >= count

    def _refill(self, now: Millis) -> None:
        earned = (now - self._refilled_at) * self._rate / MS_PER_S
        self._available = min(self._available + earned, float(self._max_bytes))
        self._refilled_at = now


def use_distance(before: Sequence[ReplicaUse], after: Sequence[ReplicaUse]) -> int:
    """Return the difference in online calls between two lists, summed over the replicas."""
    counts = {use.replica: use.online for use in before}
    difference = 0
    for use in after:
        difference += abs(use.online - counts.pop(use.replica, 0))
    return difference + sum(counts.values())


def changed_replicas(before: Sequence[ReplicaUse], after: Sequence[ReplicaUse]) -> frozenset[str]:
    """Return the replicas whose number of online calls differs between two lists."""
    counts = {use.replica: use.online for use in before}
    changed = {use.replica for use in after if counts.pop(use.replica, 0) != use.online}
    return frozenset(changed | {replica for replica, online in counts.items() if online})


def heartbeat_interval_ms(min_ms: int, frame_bytes: int, neighbours: int, bytes_per_s: int) -> int:
    """Return the regular heartbeat interval that stays within a rate of bytes."""
    return max(min_ms, wire_bytes(frame_bytes, neighbours) * MS_PER_S // bytes_per_s)


def wire_bytes(frame_bytes: int, copies: int) -> int:
    """Return the bytes that copies of a frame take on the network, headers included."""
    return (frame_bytes + FRAME_OVERHEAD) * copies


def bound_uses(uses: Sequence[ReplicaUse]) -> tuple[ReplicaUse, ...]:
    """Return the uses to report: all of them, or those of the busiest replicas."""
    if len(uses) <= MAX_USES:
        return tuple(uses)
    return tuple(sorted(uses, key=lambda use: (-use.online, -use.batch, use.replica))[:MAX_USES])
