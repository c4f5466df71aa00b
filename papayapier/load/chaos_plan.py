"""Draw the faults of a chaos run from its seed.

Faults occur at random times; some occur simultaneously and some are repeated at once, so that
recoveries overlap. The plan depends only on the seed and the length, so a failed run can be
repeated as far as its timing allows.
"""

import random
from collections.abc import Iterator
from enum import Enum
from typing import Any, Final, NamedTuple

MEAN_GAP_MS: Final = 4_000
SIMULTANEOUS_SHARE: Final = 0.3
REPEAT_SHARE: Final = 0.15
MAX_DELAY_MS: Final = 500
QUIET_START_MS: Final = 3_000


class FaultKind(Enum):
    """List the kinds of events."""

    ENGINE = "engine"
    SERVICE = "service"
    PLATFORM = "platform"
    STOP = "stop"
    LOSE = "lose"
    PAUSE = "pause"
    LEAVE = "leave"


class PlannedFault(NamedTuple):
    """Hold one event: its kind, its target's index, its start and its duration."""

    at_ms: int
    kind: FaultKind
    target: int
    ms: int
    control: dict[str, Any]

    def text(self) -> str:
        """Return the event as one line."""
        what = f" {self.control}" if self.control else ""
        return f"{self.at_ms:>8} ms  {self.kind.value} {self.target}{what} for {self.ms} ms"


class FleetSizes(NamedTuple):
    """Hold the number of targets of each kind."""

    instances: int
    engines: int
    services: int


_WEIGHTS: Final = {
    FaultKind.ENGINE: 6,
    FaultKind.SERVICE: 4,
    FaultKind.PLATFORM: 4,
    FaultKind.STOP: 2,
    FaultKind.LOSE: 2,
    FaultKind.PAUSE: 2,
    FaultKind.LEAVE: 1,
}

_REPLICA_MODES: Final = ("hang", "crash", "silent", "crossed", "late", "truncate", "reset")


def draw_plan(rng: random.Random, length_ms: int, sizes: FleetSizes) -> list[PlannedFault]:
    """Return the events of a run, in order of time."""
    return sorted(_events(rng, length_ms, sizes), key=lambda event: event.at_ms)


def _events(rng: random.Random, length_ms: int, sizes: FleetSizes) -> Iterator[PlannedFault]:
    at_ms = float(QUIET_START_MS)
    while at_ms < length_ms:
        event = _event(rng, int(at_ms), sizes)
        yield event
        if rng.random() < SIMULTANEOUS_SHARE:
            yield _event(rng, int(at_ms) + rng.randrange(MAX_DELAY_MS), sizes)
        if rng.random() < REPEAT_SHARE:
            yield event._replace(at_ms=event.at_ms + event.ms + rng.randrange(1, MAX_DELAY_MS))
        at_ms += rng.expovariate(1 / MEAN_GAP_MS)


def _event(rng: random.Random, at_ms: int, sizes: FleetSizes) -> PlannedFault:
    kind = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
    match kind:
        case FaultKind.ENGINE:
            return _replica_fault(rng, at_ms, kind, sizes.engines)
        case FaultKind.SERVICE:
            return _replica_fault(rng, at_ms, kind, sizes.services)
        case FaultKind.PLATFORM:
            return PlannedFault(at_ms, kind, 0, rng.randrange(500, 12_000), _platform_fault(rng))
        case FaultKind.LEAVE:
            return PlannedFault(at_ms, kind, rng.randrange(sizes.engines), 9_000, {})
        case _:
            target = rng.randrange(sizes.instances)
            return PlannedFault(at_ms, kind, target, rng.randrange(1_000, 8_000), {})


def _replica_fault(rng: random.Random, at_ms: int, kind: FaultKind, number: int) -> PlannedFault:
    """Draw a fault of one engine or service: a slowdown, or a mode for some requests or a time."""
    target = rng.randrange(number)
    ms = rng.randrange(500, 10_000)
    if rng.random() < 0.2:
        return PlannedFault(at_ms, kind, target, ms, {"slow_factor": rng.choice((3.0, 10.0))})
    mode = rng.choice(_REPLICA_MODES)
    if mode in ("crash", "silent"):
        return PlannedFault(at_ms, kind, target, ms, {"mode": mode})
    times = rng.choice((0, 0, 1, 3))
    return PlannedFault(at_ms, kind, target, ms, {"mode": mode, "times": times})


def _platform_fault(rng: random.Random) -> dict[str, Any]:
    return rng.choice(
        (
            {"outage": True},
            {"slow_ms": rng.choice((300, 1_500, 4_000))},
            {"lose_answers": rng.randrange(1, 12)},
            {"drop_watches": True},
            {"writes_per_s": 5},
            {"reads_per_s": 10},
        )
    )
