"""Measure how fast an upstream takes queued requests, and how long they run.

The rate counts only time in which requests were waiting: what an idle upstream did says
little about what it can do. Old observations fade with the time spent waiting. Where nobody
has waited yet, the rate is what the calls in flight and their duration imply (Little's law).
An upstream that stops taking altogether is seen before the average says so: the time since
the last start bounds the rate, after a grace that covers the gap between two load reports.
"""

import math
from typing import Final

HALF_LIFE_MS: Final = 2_000.0
SEED_MS: Final = 200.0
STALLED_STARTS: Final = 3.0
STALL_GRACE_MS: Final = 500
RESEED_AFTER_MS: Final = 5_000
DURATION_WEIGHT: Final = 0.02
DEVIATIONS: Final = 3.0


class _Duration:
    __slots__ = ("count", "deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self.count = 0
        self.mean_ms = 0.0
        self.deviation_ms = 0.0


class ServiceRate:
    """Track one upstream."""

    __slots__ = (
        "_backlog_since",
        "_cost",
        "_durations",
        "_idle_since",
        "_in_flight",
        "_last_taken",
        "_mark",
        "_span_ms",
    )

    def __init__(self) -> None:
        self._in_flight = 0.0
        self._durations: dict[str, _Duration] = {}
        self._cost = 0.0
        self._span_ms = 0.0
        self._mark = 0
        self._last_taken = 0
        self._backlog_since: int | None = None
        self._idle_since = -RESEED_AFTER_MS

    def on_started(self, cost: float) -> None:
        """Count a start."""
        self._in_flight += cost

    def on_ended(self, cost: float, profile: str, duration_ms: float) -> None:
        """Count an end; without a profile its duration teaches nothing."""
        self._in_flight = max(0.0, self._in_flight - cost)
        if not profile:
            return
        known = self._durations.setdefault(profile, _Duration())
        known.count += 1
        weight = max(DURATION_WEIGHT, 1 / known.count)
        off = duration_ms - known.mean_ms
        known.mean_ms += weight * off
        if known.count > 1:
            known.deviation_ms += weight * (abs(off) - known.deviation_ms)

    def on_backlog(self, now: int) -> None:
        """Take that requests are waiting because no replica takes another."""
        if self._backlog_since is not None:
            return
        if now - self._idle_since >= RESEED_AFTER_MS:
            self._cost = self._implied() * SEED_MS
            self._span_ms = SEED_MS if self._cost else 0.0
        self._backlog_since = now
        self._last_taken = now
        self._mark = now

    def on_taken(self, cost: float, now: int) -> None:
        """Count a request taken out of the queue to be started."""
        if self._backlog_since is None:
            return
        self._fade(now)
        self._cost += cost
        self._last_taken = now

    def on_empty(self, now: int) -> None:
        """Take that nobody waits any longer."""
        if self._backlog_since is None:
            return
        self._fade(now)
        self._backlog_since = None
        self._idle_since = now

    def per_ms(self, now: int) -> float | None:
        """Return the cost started per ms while requests wait, or None when not known."""
        if self._backlog_since is None:
            return self._implied() or None
        span = self._span_ms + (now - self._mark)
        if self._cost == 0.0 and span < SEED_MS:
            return None
        if span == 0.0:
            return None
        silent_ms = max(1, now - self._last_taken - STALL_GRACE_MS)
        return min(self._cost / span, STALLED_STARTS / silent_ms)

    def duration_ms(self, profile: str) -> float:
        """Return how long a request of a profile may well run; 0 when not known.

        Counting on the mean, every second request that has waited would end too late, and
        the replica's work on it would be lost, most of all under overload.
        """
        known = self._durations.get(profile)
        return known.mean_ms + DEVIATIONS * known.deviation_ms if known else 0.0

    def _implied(self) -> float:
        if not self._durations or self._in_flight == 0.0:
            return 0.0
        means = [known.mean_ms for known in self._durations.values()]
        return self._in_flight / max(1.0, sum(means) / len(means))

    def _fade(self, now: int) -> None:
        passed = now - self._mark
        kept = math.pow(0.5, passed / HALF_LIFE_MS)
        self._cost *= kept
        self._span_ms = self._span_ms * kept + passed
        self._mark = now
