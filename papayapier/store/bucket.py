"""Grant call permits at a bounded rate, by priority.

The rate is halved when the platform reports that its limit is exceeded, and starts at a tenth
after an outage; it recovers by a tenth per second (additive increase, multiplicative
decrease). Without the slow recovery, all instances that waited for the end of an outage would
send their pending calls at once, and the platform would fail again or answer 429.
"""

import heapq
from itertools import count
from typing import Final, NamedTuple

from twisted.internet.defer import Deferred

from papayapier.clock import MS_PER_S, Clock, Timer

BURST_S: Final = 0.1
MIN_SHARE: Final = 1 / 16
RESTART_SHARE: Final = 0.1
RECOVERY_SHARE_PER_S: Final = 0.1
MIN_HALVING_INTERVAL_MS: Final = 500


class _Waiter(NamedTuple):
    """Hold one call in the queue, ordered by priority, then by age."""

    priority: int
    number: int
    granted: Deferred[bool]


class TokenBucket:
    """Implement a token bucket with an adaptive rate for one kind of call."""

    __slots__ = (
        "_burst",
        "_clock",
        "_filled_ms",
        "_halved_ms",
        "_numbers",
        "_queue",
        "_rate",
        "_share",
        "_timer",
        "_tokens",
    )

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate
        self._share = 1.0
        self._burst = max(1.0, rate * BURST_S)
        self._tokens = self._burst
        self._filled_ms = clock.now()
        self._halved_ms = clock.now() - MIN_HALVING_INTERVAL_MS
        self._queue: list[_Waiter] = []
        self._numbers = count()
        self._timer: Timer | None = None

    async def acquire(self, priority: int, wait_ms: int) -> bool:
        """Wait for a permit; return False if none was granted in time."""
        self._fill()
        if not self._queue and self._tokens >= 1:
            self._tokens -= 1
            return True
        granted: Deferred[bool] = Deferred()
        heapq.heappush(self._queue, _Waiter(priority, next(self._numbers), granted))
        expiry = self._clock.call_later(wait_ms, lambda: self._resolve(granted, False))
        self._schedule()
        try:
            return await granted
        finally:
            if expiry.active():
                expiry.cancel()

    def limited(self) -> None:
        """Halve the rate, because the platform's limit is exceeded."""
        if self._clock.now() - self._halved_ms < MIN_HALVING_INTERVAL_MS:
            return
        self._fill()
        self._halved_ms = self._clock.now()
        self._share = max(MIN_SHARE, self._share / 2)
        self._tokens = min(self._tokens, 0.0)

    def restart(self) -> None:
        """Restart at a low rate, because the platform has just recovered."""
        self._fill()
        self._share = min(self._share, RESTART_SHARE)
        self._tokens = min(self._tokens, 0.0)

    def _fill(self) -> None:
        now = self._clock.now()
        elapsed_s = (now - self._filled_ms) / MS_PER_S
        self._filled_ms = now
        self._share = min(1.0, self._share + elapsed_s * RECOVERY_SHARE_PER_S)
        gained = elapsed_s * self._rate * self._share
        self._tokens = min(self._burst, self._tokens + gained)

    def _grant(self) -> None:
        self._timer = None
        self._fill()
        while self._queue and self._tokens >= 1:
            waiter = heapq.heappop(self._queue)
            if not waiter.granted.called:
                self._tokens -= 1
                waiter.granted.callback(True)
        self._schedule()

    def _schedule(self) -> None:
        if not self._queue or (self._timer is not None and self._timer.active()):
            return
        missing = max(0.0, 1.0 - self._tokens)
        delay_ms = missing * MS_PER_S / (self._rate * self._share)
        self._timer = self._clock.call_later(max(1.0, delay_ms), self._grant)

    def _resolve(self, granted: Deferred[bool], result: bool) -> None:
        if not granted.called:
            granted.callback(result)
