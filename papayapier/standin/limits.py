"""Limit a rate with a token bucket."""

from typing import Final

from papayapier.clock import MS_PER_S, Clock

BURST_MS: Final = 500


class Bucket:
    """Allow an amount per second (calls or bytes), with a burst of BURST_MS at that rate."""

    __slots__ = ("_at_ms", "_clock", "_level")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at_ms = clock.now()
        self._level: float | None = None

    def take(self, per_s: int, amount: int = 1) -> bool:
        """Take an amount if there are enough tokens; a rate of 0 means no limit.

        An amount above the burst size raises the capacity to that amount."""
        if per_s == 0:
            return True
        now = self._clock.now()
        most = max(float(amount), per_s * BURST_MS / MS_PER_S)
        gained = (now - self._at_ms) * per_s / MS_PER_S
        self._level = most if self._level is None else min(most, self._level + gained)
        self._at_ms = now
        if self._level < amount:
            return False
        self._level -= amount
        return True
