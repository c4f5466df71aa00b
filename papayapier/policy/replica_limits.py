"""Decide how many online calls a replica gets before further ones wait for it at the placer.

Motivation: for seconds there are more calls than the replicas can run. A replica puts calls that it
cannot run into a queue of its own, in order of arrival, where no call can overtake another and none
can be refused any more. So it gets as many calls as it runs at once, and in addition only as many
as it completes before the next call could arrive: a completion is reported, and the next call sent,
a moment after it, and in that moment a busy replica would be idle. For calls of some 60 ms that
moment is as long as they are.
"""

import math
from typing import Final

# A replica's calls of the last moments tell how fast it works; older ones reflect another load.
HALF_LIFE_MS: Final = 500.0


class _CallRate:
    """Count the calls sent to one replica, with exponential decay."""

    __slots__ = ("at_ms", "calls")

    def __init__(self, now: int) -> None:
        self.calls = 0.0
        self.at_ms = now

    def decay(self, now: int) -> float:
        self.calls *= math.pow(0.5, (now - self.at_ms) / HALF_LIFE_MS)
        self.at_ms = now
        return self.calls


class ReplicaLimits:
    """Track how fast replicas take calls; empty_ms passes from the end of one to the next."""

    def __init__(self, empty_ms: int) -> None:
        # The share of the decaying count that was sent within empty_ms, at an even rate.
        self._recent_share = empty_ms * math.log(2) / HALF_LIFE_MS
        self._rates: dict[str, _CallRate] = {}

    def on_sent(self, replica_id: str, now: int) -> None:
        """Count a call sent to a replica."""
        rate = self._rates.setdefault(replica_id, _CallRate(now))
        rate.decay(now)
        rate.calls += 1

    def on_listed(self, listed: frozenset[str]) -> None:
        """Forget the replicas that are no longer listed."""
        self._rates = {key: rate for key, rate in self._rates.items() if key in listed}

    def has_capacity(self, replica_id: str, calls: int, slots: int, now: int) -> bool:
        """Tell whether a replica with this many calls open, as far as reported, takes another."""
        if calls < slots:
            return True
        return calls < 2 * slots and calls < self.limit(replica_id, slots, now)

    def limit(self, replica_id: str, slots: int, now: int) -> int:
        """Return how many calls a replica may have open, including ended ones not yet reported."""
        rate = self._rates.get(replica_id)
        if rate is None:
            return slots
        return slots + min(slots, round(rate.decay(now) * self._recent_share))
