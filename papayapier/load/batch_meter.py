"""Measure the batch work of each phase.

Two figures are taken, because each alone can deceive. Tokens that the engines generated for
batch (all tokens less those of online answers) show how far idle capacity was used, but
also count what was generated in vain. Items recorded as done show what was of use, but are
written in groups and so jump.
"""

from typing import Final, NamedTuple

from papayapier.clock import Clock

MS_PER_S: Final = 1_000


class Reading(NamedTuple):
    """Hold one reading of the counters; all of them only rise."""

    engine_tokens: int
    online_tokens: int
    items_done: int
    useful_tokens: float


class BatchResult(NamedTuple):
    """Hold the batch work of one phase, per second of counted time."""

    phase: str
    counted_ms: int
    engine_tokens_per_s: float
    online_tokens_per_s: float
    batch_tokens_per_s: float
    items_per_s: float
    useful_tokens_per_s: float


class BatchMeter:
    """Add up the differences of readings, by phase."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._begun: tuple[int, Reading] | None = None
        self._sums: dict[str, tuple[int, Reading]] = {}

    def begin(self, reading: Reading) -> None:
        """Take the reading at which counting starts."""
        self._begun = (self._clock.now(), reading)

    def end(self, phase: str, reading: Reading) -> None:
        """Take the reading at which counting ends."""
        if self._begun is None:
            return
        begun_ms, before = self._begun
        sum_ms, total = self._sums.get(phase, (0, Reading(0, 0, 0, 0.0)))
        grown = Reading(
            total.engine_tokens + reading.engine_tokens - before.engine_tokens,
            total.online_tokens + reading.online_tokens - before.online_tokens,
            total.items_done + reading.items_done - before.items_done,
            total.useful_tokens + reading.useful_tokens - before.useful_tokens,
        )
        self._sums[phase] = (sum_ms + self._clock.now() - begun_ms, grown)
        self._begun = None

    def results(self) -> list[BatchResult]:
        """Return the figures of every phase."""
        return [_result(phase, ms, total) for phase, (ms, total) in self._sums.items()]


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
