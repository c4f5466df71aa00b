"""Limit the rate of calls with a token bucket."""

from typing import Final

from papayapier.clock import MS_PER_S, Clock

BURST_MS: Final = 500


class Bucket:
    """Allow a number of calls a second, and a burst of BURST_MS worth of them."""

    __slots__ = ("_at_ms", "_clock", "_level")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._at_ms = clock.now()
        self._level: float | None = None

    def take(self, per_s: int) -> bool:
        """Take one call, unless the bucket is empty; a rate of 0 means no limit."""
        if per_s == 0:
            return True
        now = self._clock.now()
        most = max(1.0, per_s * BURST_MS / MS_PER_S)
        gained = (now - self._at_ms) * per_s / MS_PER_S
        self._level = most if self._level is None else min(most, self._level + gained)
        self._at_ms = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
