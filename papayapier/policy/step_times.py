"""Learn how a replica's time per token grows with the number of calls that run on it.

Every load report pairs a number of running calls with the time of a step. The smoothed time is kept
per band of running calls, so that what was learnt about an idle replica is not forgotten while
batch work keeps it full, as a plain best-so-far or a fit with decay would. Between bands the time
is interpolated linearly, beyond them extrapolated, and it never decreases with more calls. A
replica that becomes slower as a whole shows first in the bands in use: batch is then cut, the lower
bands are visited, and the table is correct again.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

BANDS: Final = 8
WEIGHT: Final = 0.1


class StepTimes:
    """Hold the smoothed step time of one replica per band of running calls."""

    __slots__ = ("_count", "_points", "_running", "_step")

    def __init__(self) -> None:
        self._running = [0.0] * (BANDS + 1)
        self._step = [0.0] * (BANDS + 1)
        self._count = [0] * (BANDS + 1)
        self._points: list[_Point] = []

    def observe(self, running: int, slots: int, step_ms: float) -> None:
        """Record a step time and the calls that were running."""
        band = min(BANDS, running * BANDS // max(1, slots))
        self._count[band] += 1
        weight = max(WEIGHT, 1 / self._count[band])
        self._running[band] += weight * (running - self._running[band])
        self._step[band] += weight * (step_ms - self._step[band])
        self._points = self._rising_points()

    def known(self) -> bool:
        """Tell whether there are enough observations for a prediction."""
        return len(self._points) >= 2

    def step_ms(self, running: float) -> float:
        """Predict the step time with a number of running calls."""
        low, high = self._segment(lambda point: point.running < running)
        slope = (high.step_ms - low.step_ms) / (high.running - low.running)
        return max(0.0, low.step_ms + slope * (running - low.running))

    def max_running(self, step_ms: float) -> float:
        """Return the number of running calls at which the step time reaches a bound."""
        low, high = self._segment(lambda point: point.step_ms <= step_ms)
        rise = high.step_ms - low.step_ms
        if rise <= 0.0:
            return math.inf if step_ms >= low.step_ms else 0.0
        return low.running + (step_ms - low.step_ms) * (high.running - low.running) / rise

    def _segment(self, before: Callable[["_Point"], bool]) -> tuple["_Point", "_Point"]:
        """Return the two points around a position, or the nearest two beyond either end."""
        last = len(self._points) - 1
        high = min(max(1, sum(1 for point in self._points if before(point))), last)
        return self._points[high - 1], self._points[high]

    def _rising_points(self) -> list["_Point"]:
        points: list[_Point] = []
        for running, step, count in zip(self._running, self._step, self._count, strict=True):
            if count:
                floor = points[-1].step_ms if points else 0.0
                points.append(_Point(running, max(step, floor)))
        return points


class _Point(NamedTuple):
    running: float
    step_ms: float
