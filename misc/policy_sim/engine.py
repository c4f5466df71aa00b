"""Model the timing of an engine with continuous batching, in virtual milliseconds.

A step lasts base_ms + per_sequence_ms * running and generates one token for every running
sequence. Prompts are computed first, in arrival order, for up to prefill_per_step_ms per step,
which lengthens the step. A sequence without a free slot waits in arrival order. Reports state
the load of lag_ms ago. The model serves to compare policy decisions only; it does not model
processor time.
"""

import heapq
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from papayapier.upstream.api import Load


class Loop:
    """Run scheduled functions in the order of their virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a function to run after a delay."""
        self._count += 1
        heapq.heappush(self._scheduled, (self.now + delay_ms, self._count, callback))

    def every(self, period_ms: float, offset_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a function to run periodically."""

        def repeat() -> None:
            callback()
            self.after(period_ms, repeat)

        self.after(offset_ms, repeat)

    def run(self, until_ms: float) -> None:
        """Run every function that is scheduled up to a time."""
        while self._scheduled and self._scheduled[0][0] <= until_ms:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = until_ms


class Sequence:
    """Hold one call at an engine; on_end receives True if all tokens were generated."""

    __slots__ = (
        "first_ms",
        "has_ended",
        "last_ms",
        "num_generated",
        "on_end",
        "prefill_ms",
        "tokens",
    )

    def __init__(self, tokens: int, prefill_ms: float, on_end: Callable[[bool], None]) -> None:
        self.tokens = tokens
        self.prefill_ms = prefill_ms
        self.on_end = on_end
        self.num_generated = 0
        self.first_ms = -1.0
        self.last_ms = -1.0
        self.has_ended = False


class EngineModel(NamedTuple):
    """Hold the timing parameters of an engine."""

    base_ms: float = 5.0
    per_sequence_ms: float = 0.06
    slots: int = 32
    lag_ms: float = 200.0
    prefill_per_step_ms: float = 10.0

    def full_step_ms(self) -> float:
        """Return how long a step lasts with all slots in use."""
        return self.base_ms + self.per_sequence_ms * self.slots


class _LoadSample(NamedTuple):
    at_ms: float
    running: int
    waiting: int
    step_ms: float


class Engine:
    """Run sequences in steps."""

    def __init__(self, loop: Loop, model: EngineModel) -> None:
        self._loop = loop
        self.model = model
        self.slow_factor = 1.0
        self.running: list[Sequence] = []
        self.waiting: deque[Sequence] = deque()
        self._stepping = False
        self._samples: deque[_LoadSample] = deque([_LoadSample(0.0, 0, 0, model.base_ms)])
        self._step_ms = model.base_ms

    def submit(self, seq: Sequence) -> None:
        """Queue a sequence and start a step if none runs."""
        self.waiting.append(seq)
        self._record_load()
        if not self._stepping:
            self._step()

    def cancel(self, seq: Sequence) -> None:
        """Remove a running or waiting sequence; do nothing if it has ended."""
        if seq.has_ended:
            return
        seq.has_ended = True
        if seq in self.running:
            self.running.remove(seq)
        else:
            self.waiting.remove(seq)
        self._record_load()
        seq.on_end(False)

    def report(self) -> Load:
        """Return the load of lag_ms ago."""
        visible_ms = self._loop.now - self.model.lag_ms
        while len(self._samples) > 1 and self._samples[1].at_ms <= visible_ms:
            self._samples.popleft()
        sample = self._samples[0]
        return Load(
            sample.running, sample.waiting, self.model.slots, sample.step_ms, int(self._loop.now)
        )

    def _step(self) -> None:
        while self.waiting and len(self.running) < self.model.slots:
            self.running.append(self.waiting.popleft())
        self._stepping = bool(self.running)
        if not self._stepping:
            return
        count = len(self.running)
        model = self.model
        self._step_ms = (model.base_ms + model.per_sequence_ms * count) * self.slow_factor
        self._record_load()
        total_ms = self._step_ms + self._prefill() * self.slow_factor
        decoding = [seq for seq in self.running if seq.prefill_ms <= 0.0]
        self._loop.after(total_ms, lambda: self._end_step(decoding))

    def _prefill(self) -> float:
        """Compute prompts within the budget of a step and return the ms spent."""
        budget_ms = self.model.prefill_per_step_ms
        for seq in self.running:
            spent_ms = min(budget_ms, seq.prefill_ms)
            seq.prefill_ms -= spent_ms
            budget_ms -= spent_ms
        return self.model.prefill_per_step_ms - budget_ms

    def _end_step(self, decoding: list[Sequence]) -> None:
        now = self._loop.now
        for seq in decoding:
            if not seq.has_ended:
                self._add_token(seq, now)
        self._step()

    def _add_token(self, seq: Sequence, now: float) -> None:
        seq.num_generated += 1
        if seq.first_ms < 0:
            seq.first_ms = now
        seq.last_ms = now
        if seq.num_generated >= seq.tokens:
            seq.has_ended = True
            self.running.remove(seq)
            seq.on_end(True)

    def _record_load(self) -> None:
        sample = _LoadSample(self._loop.now, len(self.running), len(self.waiting), self._step_ms)
        self._samples.append(sample)
