"""Draw the arrival times of an open loop: a Poisson process whose rate follows the phase.

The rate is constant between known edges (steps, starts and ends of bursts). Within such a
segment gaps are exponential. A gap that crosses an edge is discarded there and redrawn at the
next segment's rate, which is exact because the exponential distribution is memoryless.
"""

import random
from collections.abc import Iterator
from itertools import pairwise
from typing import Final

from papayapier.load.experiment_file import Phase

US_PER_MS: Final = 1_000
US_PER_S: Final = 1_000_000


def arrival_times_us(phase: Phase, rng: random.Random) -> Iterator[int]:
    """Yield the intended send times of a phase, in microseconds from its start."""
    for start_us, end_us, rate in _segments(phase):
        if rate <= 0:
            continue
        at_us = start_us + rng.expovariate(rate) * US_PER_S
        while at_us < end_us:
            yield int(at_us)
            at_us += rng.expovariate(rate) * US_PER_S


def rate_at(phase: Phase, at_ms: int) -> float:
    """Return the arrival rate per second at a time of the phase."""
    started = [step for step in phase.steps if step.at_ms <= at_ms]
    rate = max(started, key=lambda step: step.at_ms).rate_per_s if started else phase.rate_per_s
    for burst in phase.bursts:
        if burst.at_ms <= at_ms < burst.at_ms + burst.ms:
            rate *= burst.factor
    return rate


def _segments(phase: Phase) -> Iterator[tuple[int, int, float]]:
    edges = {0, phase.ms}
    edges.update(step.at_ms for step in phase.steps)
    for burst in phase.bursts:
        edges.update((burst.at_ms, burst.at_ms + burst.ms))
    inner_edges = sorted(edge for edge in edges if edge <= phase.ms)
    for start, end in pairwise(inner_edges):
        yield start * US_PER_MS, end * US_PER_MS, rate_at(phase, start)
