"""Implement a circuit breaker for the platform's store.

Calls sent during an outage only wait for their timeouts, and when the platform returns they
would all arrive together. So after a few consecutive failures calls fail at once, and one
probe at a time is sent after a jittered, growing pause.
"""

import random
from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier import events
from papayapier.clock import Clock, Millis

FAILURES_UNTIL_DOWN: Final = 3
MIN_PAUSE_MS: Final = 200


class Breaker(Protocol):
    """Define the inputs of the circuit breaker: outcomes of calls and queries of its state."""

    def answered(self) -> None:
        """Record that a call was answered."""

    def failed(self) -> None:
        """Record that a call was not answered."""

    def trip(self) -> None:
        """Treat the store as down."""

    def probe(self) -> None:
        """Record that a probe is sent."""

    def allows_calls(self) -> bool:
        """Return whether calls may be sent."""

    def probe_due(self) -> bool:
        """Return whether one call may be sent to check whether the store has recovered."""

    def down_since(self) -> Millis | None:
        """Return when the store went down, or None."""


class Health:
    """Count failures and schedule the probes."""

    __slots__ = (
        "_clock",
        "_max_pause_ms",
        "_pause_ms",
        "_rng",
        "failures",
        "next_probe_ms",
        "recovered_ms",
        "since",
    )

    def __init__(self, clock: Clock, rng: random.Random, max_pause_ms: int) -> None:
        self._clock = clock
        self._max_pause_ms = max_pause_ms
        self._rng = rng
        self._pause_ms = MIN_PAUSE_MS
        self.failures = 0
        self.next_probe_ms = 0.0
        self.since: Millis | None = None
        self.recovered_ms: Millis | None = None

    def now(self) -> Millis:
        """Return the current time."""
        return self._clock.now()

    def mark_up(self) -> None:
        """Reset the failures and record when the store recovered."""
        self.failures = 0
        self.since = None
        self.recovered_ms = self.now()
        self._pause_ms = MIN_PAUSE_MS

    def schedule_probe(self) -> None:
        """Set the time of the next probe, and a longer pause for the one after it."""
        self.next_probe_ms = self.now() + self._pause_ms * self._rng.uniform(0.5, 1.5)
        self._pause_ms = min(self._max_pause_ms, 2 * self._pause_ms)


def _build() -> TypeMachineBuilder[Breaker, Health]:
    return TypeMachineBuilder(Breaker, Health)


_builder = _build()
_up = _builder.state("up")
_down = _builder.state("down")
_probing = _builder.state("probing")

_up.upon(Breaker.allows_calls).loop().returns(True)
_up.upon(Breaker.probe_due).loop().returns(False)
_up.upon(Breaker.probe).loop().returns(None)
_up.upon(Breaker.down_since).loop().returns(None)
_down.upon(Breaker.allows_calls).loop().returns(False)
_down.upon(Breaker.probe).to(_probing).returns(None)
_down.upon(Breaker.failed).loop().returns(None)
_down.upon(Breaker.trip).loop().returns(None)
_probing.upon(Breaker.allows_calls).loop().returns(False)
_probing.upon(Breaker.probe_due).loop().returns(False)
_probing.upon(Breaker.probe).loop().returns(None)
_probing.upon(Breaker.trip).loop().returns(None)


@_up.upon(Breaker.answered).loop()
def _forget_failures(_: Breaker, health: Health) -> None:
    health.failures = 0


@_up.upon(Breaker.failed).loop()
def _count_failure(breaker: Breaker, health: Health) -> None:
    health.failures += 1
    if health.failures >= FAILURES_UNTIL_DOWN:
        breaker.trip()


@_up.upon(Breaker.trip).to(_down)
def _go_down(_: Breaker, health: Health) -> None:
    health.since = health.now()
    health.schedule_probe()
    events.emit(events.STORE_DOWN)


@_down.upon(Breaker.answered).to(_up)
@_probing.upon(Breaker.answered).to(_up)
def _recover(_: Breaker, health: Health) -> None:
    down_ms = health.now() - (health.since or health.now())
    health.mark_up()
    events.emit(events.STORE_UP, down_ms=down_ms)


@_probing.upon(Breaker.failed).to(_down)
def _stay_down(_: Breaker, health: Health) -> None:
    health.schedule_probe()


@_down.upon(Breaker.probe_due).loop()
def _is_pause_over(_: Breaker, health: Health) -> bool:
    return health.now() >= health.next_probe_ms


@_down.upon(Breaker.down_since).loop()
@_probing.upon(Breaker.down_since).loop()
def _since(_: Breaker, health: Health) -> Millis | None:
    return health.since


make_breaker: Final = _builder.build()
