"""Limit a rate with a token bucket."""

from typing import Final

from papayapier.clock import MS_PER_S, Clock

BURST_MS: Final = 500


class TokenBucket:
    """Allow an amount per second (calls or bytes), with a burst of BURST_MS at that rate."""

    __slots__ = ("_as_of_ms", "_clock", "_tokens")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._as_of_ms = clock.now()
        self._tokens: float | None = None

    def try_take(self, per_s: int, amount: int = 1) -> bool:
        """Take an amount if there are enough tokens; a rate of 0 means no limit.

        An amount above the burst size raises the capacity to that amount."""
        if per_s == 0:
            return True
        now = self._clock.now()
        capacity = max(float(amount), per_s * BURST_MS / MS_PER_S)
        refill = (now - self._as_of_ms) * per_s / MS_PER_S
        self._tokens = capacity if self._tokens is None else min(capacity, self._tokens + refill)
        self._as_of_ms = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
