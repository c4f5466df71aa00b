"""Measure the batch throughput and the control traffic of each phase.

Two figures are measured, because each alone is misleading. Tokens that the engines generated
for batch (all tokens minus those of online answers) show how much idle capacity was used, but
include tokens of discarded attempts. Tokens of completed items, as counted by the instances,
show the useful work; all of an item's tokens are counted when it completes.
"""

from typing import Final, NamedTuple

from papayapier.clock import Clock

MS_PER_S: Final = 1_000


class Reading(NamedTuple):
    """Hold one reading of the counters, all of which are monotonic."""

    engine_tokens: float
    online_tokens: float
    items_done: float
    useful_tokens: float
    peer_bytes: float = 0.0
    store_bytes: float = 0.0
    store_calls: float = 0.0


ZERO_READING: Final = Reading(0, 0, 0.0, 0.0)


class BatchResult(NamedTuple):
    """Hold the batch throughput of one phase, per second of measured time."""

    phase: str
    counted_ms: int
    engine_tokens_per_s: float
    online_tokens_per_s: float
    batch_tokens_per_s: float
    items_per_s: float
    useful_tokens_per_s: float


class ControlResult(NamedTuple):
    """Hold the control traffic of all instances in one phase, per second of measured time."""

    phase: str
    peer_bytes_per_s: float
    store_bytes_per_s: float
    store_calls_per_s: float


class BatchMeter:
    """Sum the differences between readings, by phase."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start: tuple[int, Reading] | None = None
        self._sums: dict[str, tuple[int, Reading]] = {}

    def begin(self, reading: Reading | None) -> None:
        """Record the reading at the start of a measurement."""
        self._start = None if reading is None else (self._clock.now(), reading)

    def end(self, phase: str, reading: Reading | None) -> None:
        """Record the reading at the end of a measurement; without both readings it is skipped."""
        if self._start is None or reading is None:
            return
        start_ms, before = self._start
        sum_ms, total = self._sums.get(phase, (0, ZERO_READING))
        parts = zip(total, reading, before, strict=True)
        new_total = Reading(*(part + new - old for part, new, old in parts))
        self._sums[phase] = (sum_ms + self._clock.now() - start_ms, new_total)
        self._start = None

    def results(self) -> list[BatchResult]:
        """Return the batch throughput of every phase."""
        return [_result(phase, ms, total) for phase, (ms, total) in self._sums.items()]

    def control_results(self) -> list[ControlResult]:
        """Return the control traffic of every phase."""
        return [_control(phase, ms, total) for phase, (ms, total) in self._sums.items()]


def _result(phase: str, ms: int, total: Reading) -> BatchResult:
    seconds = max(1, ms) / MS_PER_S
    return BatchResult(
        phase,
        ms,
        round(total.engine_tokens / seconds, 1),
        round(total.online_tokens / seconds, 1),
        round((total.engine_tokens - total.online_tokens) / seconds, 1),
        round(total.items_done / seconds, 2),
        round(total.useful_tokens / seconds, 1),
    )


def _control(phase: str, ms: int, total: Reading) -> ControlResult:
    seconds = max(1, ms) / MS_PER_S
    return ControlResult(
        phase,
        round(total.peer_bytes / seconds, 1),
        round(total.store_bytes / seconds, 1),
        round(total.store_calls / seconds, 2),
    )
