"""Decide how long a request waits for the first byte of its answer before it is tried elsewhere.

A replica that hangs accepts requests and sends nothing. Requests then wait for all of their due
time and are refused, although other replicas are idle: a fixed first-byte timeout must suit the
slowest answer there is, and is often longer than the due time.

The wait is therefore learnt per upstream the way TCP learns its retransmission timeout (RFC 6298):
the smoothed time to the first byte plus four times its mean deviation, with a floor. Waits that
timed out are observed as well, so that an upstream which has become slow as a whole raises the
limit, and is not flooded with retries of requests that were in progress. In any case a request
keeps enough of its time for its remaining attempts.
"""

from typing import Final

FLOOR_MS: Final = 1_000
# A call that was sent to a free slot starts at once. If it has received nothing for this share of
# the objective, it can still be in time elsewhere.
PLACED_LIMIT_SHARE: Final = 0.55
MIN_PLACED_LIMIT_MS: Final = 100
SMOOTHING: Final = 1 / 8
DEVIATION_SMOOTHING: Final = 1 / 4
DEVIATIONS: Final = 4
NO_LIMIT: Final = 0


class _SmoothedTime:
    """Hold the smoothed time of one upstream and its mean deviation, in milliseconds."""

    __slots__ = ("deviation", "smoothed")

    def __init__(self, first_ms: float) -> None:
        self.smoothed = first_ms
        self.deviation = first_ms / 2


class FirstByteTimes:
    """Track the time to the first byte of each upstream's answers."""

    def __init__(self) -> None:
        self._rows: dict[str, _SmoothedTime] = {}

    def observe(self, upstream: str, waited_ms: float, silence_ms: int = 0) -> None:
        """Record how long a request waited, for its first byte or until it was sent elsewhere.

        Of a wait beyond the limit, only the silence that showed it counts: one replica that goes on
        after seconds would otherwise raise the limit of all.
        """
        if silence_ms:
            waited_ms = min(waited_ms, silence_ms)
        row = self._rows.get(upstream)
        if row is None:
            self._rows[upstream] = _SmoothedTime(waited_ms)
            return
        error = abs(waited_ms - row.smoothed)
        row.deviation += DEVIATION_SMOOTHING * (error - row.deviation)
        row.smoothed += SMOOTHING * (waited_ms - row.smoothed)

    def typical_ms(self, upstream: str) -> float:
        """Return the smoothed time to the first byte, or 0 if unknown."""
        row = self._rows.get(upstream)
        return 0.0 if row is None else row.smoothed

    def limit_ms(self, upstream: str, left_ms: int, attempts_left: int) -> int:
        """Return how long an attempt may wait, or NO_LIMIT for the last one."""
        if attempts_left <= 1:
            return NO_LIMIT
        share_ms = max(1, left_ms // attempts_left)
        row = self._rows.get(upstream)
        if row is None:
            return share_ms
        learnt_ms = max(FLOOR_MS, row.smoothed + DEVIATIONS * row.deviation)
        return min(share_ms, round(learnt_ms))

    def placed_limit_ms(
        self, upstream: str, left_ms: int, attempts_left: int, objective_ms: int
    ) -> int:
        """Return how long an attempt that was sent to a free slot may wait.

        Other attempts wait for a slot; without that wait the time varies little.
        """
        limit_ms = self.limit_ms(upstream, left_ms, attempts_left)
        row = self._rows.get(upstream)
        if limit_ms == NO_LIMIT or row is None or not objective_ms:
            return limit_ms
        floor_ms = max(MIN_PLACED_LIMIT_MS, objective_ms * PLACED_LIMIT_SHARE)
        return min(limit_ms, round(max(floor_ms, row.smoothed + row.deviation)))
