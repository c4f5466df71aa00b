"""Measure how fast an upstream takes queued requests, and how long they run.

The rate counts only time in which requests were waiting: what an idle upstream did says little
about what it can do. Old observations decay with the time spent waiting. Where no request has
waited yet, the rate is what the calls in flight and their duration imply (Little's law). An
upstream that stops taking requests altogether is detected before the average shows it: the time
since the last start bounds the rate, after a grace period that covers the gap between two load
reports.
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
    """Track the rate and the run times of one upstream."""

    __slots__ = (
        "_backlog_since",
        "_cost",
        "_durations",
        "_idle_since",
        "_in_flight",
        "_last_taken",
        "_span_ms",
        "_updated_ms",
    )

    def __init__(self) -> None:
        self._in_flight = 0.0
        self._durations: dict[str, _Duration] = {}
        self._cost = 0.0
        self._span_ms = 0.0
        self._updated_ms = 0
        self._last_taken = 0
        self._backlog_since: int | None = None
        self._idle_since = -RESEED_AFTER_MS

    def on_started(self, cost: float) -> None:
        """Count the start of a call."""
        self._in_flight += cost

    def on_ended(self, cost: float, profile: str, duration_ms: float) -> None:
        """Count the end of a call; its duration is learnt only if its profile is given."""
        self._in_flight = max(0.0, self._in_flight - cost)
        if not profile:
            return
        estimate = self._durations.setdefault(profile, _Duration())
        estimate.count += 1
        weight = max(DURATION_WEIGHT, 1 / estimate.count)
        deviation = duration_ms - estimate.mean_ms
        estimate.mean_ms += weight * deviation
        if estimate.count > 1:
            estimate.deviation_ms += weight * (abs(deviation) - estimate.deviation_ms)

    def on_backlog(self, now: int) -> None:
        """Record that requests are waiting because no replica takes another."""
        if self._backlog_since is not None:
            return
        if now - self._idle_since >= RESEED_AFTER_MS:
            self._cost = self._implied_rate() * SEED_MS
            self._span_ms = SEED_MS if self._cost else 0.0
        self._backlog_since = now
        self._last_taken = now
        self._updated_ms = now

    def on_taken(self, cost: float, now: int) -> None:
        """Count a request taken out of the queue to be started."""
        if self._backlog_since is None:
            return
        self._decay(now)
        self._cost += cost
        self._last_taken = now

    def on_empty(self, now: int) -> None:
        """Record that no request waits any longer."""
        if self._backlog_since is None:
            return
        self._decay(now)
        self._backlog_since = None
        self._idle_since = now

    def per_ms(self, now: int) -> float | None:
        """Return the cost started per ms while requests wait, or None if unknown."""
        if self._backlog_since is None:
            return self._implied_rate() or None
        span = self._span_ms + (now - self._updated_ms)
        if self._cost == 0.0 and span < SEED_MS:
            return None
        if span == 0.0:
            return None
        silent_ms = max(1, now - self._last_taken - STALL_GRACE_MS)
        return min(self._cost / span, STALLED_STARTS / silent_ms)

    def duration_ms(self, profile: str) -> float:
        """Return an upper estimate of a profile's run time; 0 if unknown.

        With the mean as the estimate, every second request that has waited would end too late, and
        the replica's work on it would be lost, most of all under overload.
        """
        estimate = self._durations.get(profile)
        return estimate.mean_ms + DEVIATIONS * estimate.deviation_ms if estimate else 0.0

    def _implied_rate(self) -> float:
        if not self._durations or self._in_flight == 0.0:
            return 0.0
        means = [estimate.mean_ms for estimate in self._durations.values()]
        return self._in_flight / max(1.0, sum(means) / len(means))

    def _decay(self, now: int) -> None:
        elapsed_ms = now - self._updated_ms
        factor = math.pow(0.5, elapsed_ms / HALF_LIFE_MS)
        self._cost *= factor
        self._span_ms = self._span_ms * factor + elapsed_ms
        self._updated_ms = now
