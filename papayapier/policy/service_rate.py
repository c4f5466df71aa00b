"""Measure how fast an upstream takes queued requests, and how long they run.

The rate counts only time in which requests were waiting: what an idle upstream did says
little about what it can do. Old observations fade with the time spent waiting. Where nobody
has waited yet, the rate is what the calls in flight and their duration imply (Little's law).
An upstream that stops taking altogether is seen before the average says so: the time since
the last start bounds the rate.
"""

import math
from typing import Final

HALF_LIFE_MS: Final = 2_000.0
SEED_MS: Final = 200.0
SILENT_STARTS: Final = 3.0
RESEED_AFTER_MS: Final = 5_000
DURATION_WEIGHT: Final = 0.1


class ServiceRate:
    """Track one upstream."""

    __slots__ = (
        "_backlog_since",
        "_cost",
        "_deviation_ms",
        "_idle_since",
        "_in_flight",
        "_last_taken",
        "_mark",
        "_mean_ms",
        "_span_ms",
    )

    def __init__(self) -> None:
        self._in_flight = 0.0
        self._mean_ms: dict[str, float] = {}
        self._deviation_ms: dict[str, float] = {}
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
        """Count an end."""
        self._in_flight = max(0.0, self._in_flight - cost)
        mean = self._mean_ms.get(profile)
        if mean is None:
            self._mean_ms[profile] = duration_ms
            self._deviation_ms[profile] = 0.0
            return
        self._mean_ms[profile] = mean + DURATION_WEIGHT * (duration_ms - mean)
        deviation = self._deviation_ms[profile]
        self._deviation_ms[profile] += DURATION_WEIGHT * (abs(duration_ms - mean) - deviation)

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
        silent_ms = max(1, now - self._last_taken)
        return min(self._cost / span, SILENT_STARTS / silent_ms)

    def duration_ms(self, profile: str) -> float:
        """Return how long a request of a profile is likely to run; 0 when not known."""
        if profile not in self._mean_ms:
            return 0.0
        return self._mean_ms[profile] + self._deviation_ms[profile]

    def _implied(self) -> float:
        if not self._mean_ms or self._in_flight == 0.0:
            return 0.0
        mean = sum(self._mean_ms.values()) / len(self._mean_ms)
        return self._in_flight / max(1.0, mean)

    def _fade(self, now: int) -> None:
        passed = now - self._mark
        kept = math.pow(0.5, passed / HALF_LIFE_MS)
        self._cost *= kept
        self._span_ms = self._span_ms * kept + passed
        self._mark = now
