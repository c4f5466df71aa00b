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
TOGETHER: Final = 0.3
TWICE: Final = 0.15
CLOSE_MS: Final = 500
QUIET_START_MS: Final = 3_000


class Kind(Enum):
    """List the kinds of events."""

    ENGINE = "engine"
    SERVICE = "service"
    PLATFORM = "platform"
    STOP = "stop"
    LOSE = "lose"
    PAUSE = "pause"
    LEAVE = "leave"


class Planned(NamedTuple):
    """Hold one event: its kind, its target's index, its start and its duration."""

    at_ms: int
    kind: Kind
    target: int
    ms: int
    control: dict[str, Any]

    def text(self) -> str:
        """Return the event as one line."""
        what = f" {self.control}" if self.control else ""
        return f"{self.at_ms:>8} ms  {self.kind.value} {self.target}{what} for {self.ms} ms"


class Sizes(NamedTuple):
    """Hold the number of targets of each kind."""

    instances: int
    engines: int
    services: int


_WEIGHTS: Final = {
    Kind.ENGINE: 6,
    Kind.SERVICE: 4,
    Kind.PLATFORM: 4,
    Kind.STOP: 2,
    Kind.LOSE: 2,
    Kind.PAUSE: 2,
    Kind.LEAVE: 1,
}

_REPLICA_MODES: Final = ("hang", "crash", "silent", "crossed", "late", "truncate", "reset")


def draw_plan(rng: random.Random, length_ms: int, sizes: Sizes) -> list[Planned]:
    """Return the events of a run, in order of time."""
    return sorted(_events(rng, length_ms, sizes), key=lambda event: event.at_ms)


def _events(rng: random.Random, length_ms: int, sizes: Sizes) -> Iterator[Planned]:
    at_ms = float(QUIET_START_MS)
    while at_ms < length_ms:
        event = _event(rng, int(at_ms), sizes)
        yield event
        if rng.random() < TOGETHER:
            yield _event(rng, int(at_ms) + rng.randrange(CLOSE_MS), sizes)
        if rng.random() < TWICE:
            yield event._replace(at_ms=event.at_ms + event.ms + rng.randrange(1, CLOSE_MS))
        at_ms += rng.expovariate(1 / MEAN_GAP_MS)


def _event(rng: random.Random, at_ms: int, sizes: Sizes) -> Planned:
    kind = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
    match kind:
        case Kind.ENGINE:
            return _replica(rng, at_ms, kind, sizes.engines)
        case Kind.SERVICE:
            return _replica(rng, at_ms, kind, sizes.services)
        case Kind.PLATFORM:
            return Planned(at_ms, kind, 0, rng.randrange(500, 12_000), _platform(rng))
        case Kind.LEAVE:
            return Planned(at_ms, kind, rng.randrange(sizes.engines), 9_000, {})
        case _:
            target = rng.randrange(sizes.instances)
            return Planned(at_ms, kind, target, rng.randrange(1_000, 8_000), {})


def _replica(rng: random.Random, at_ms: int, kind: Kind, number: int) -> Planned:
    """Draw a fault of one engine or service: a slowdown, or a mode for some requests or a time."""
    target = rng.randrange(number)
    ms = rng.randrange(500, 10_000)
    if rng.random() < 0.2:
        return Planned(at_ms, kind, target, ms, {"slow_factor": rng.choice((3.0, 10.0))})
    mode = rng.choice(_REPLICA_MODES)
    if mode in ("crash", "silent"):
        return Planned(at_ms, kind, target, ms, {"mode": mode})
    times = rng.choice((0, 0, 1, 3))
    return Planned(at_ms, kind, target, ms, {"mode": mode, "times": times})


def _platform(rng: random.Random) -> dict[str, Any]:
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
