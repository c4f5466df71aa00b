"""Drive the batching model by a clock, with one timer per step, and count requests."""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Final

from papayapier.clock import MS_PER_S, Clock, Timer
from papayapier.standin.engine_steps import Batch, EngineParams, Sequence
from papayapier.standin.generations import Generation
from papayapier.standin.load_report import LaggedReports, LoadReport
from papayapier.standin.orders import FetchWeights, Order, Orders
from papayapier.standin.outputs import Output
from papayapier.standin.prefix_cache import PrefixCache, block_names
from papayapier.standin.switches import LATE_FACTOR, Mode, Switches
from papayapier.standin.timers import Timers

MAX_CATCH_UP_MS: Final = 20.0


class _RunningRequest:
    """Hold one accepted request until it finishes."""

    __slots__ = ("generation", "output", "seq")

    def __init__(self, generation: Generation, output: Output) -> None:
        self.generation = generation
        self.output = output
        self.seq: Sequence | None = None


class EngineCore:
    """Hold an engine's batch, cache, orders and counters."""

    __slots__ = (
        "_batch",
        "_clock",
        "_due_ms",
        "_params",
        "_reports",
        "_runs",
        "_timer",
        "_timers",
        "cache",
        "cancelled",
        "finished",
        "orders",
        "started",
        "switches",
        "tokens",
    )

    def __init__(
        self, clock: Clock, params: EngineParams, fetch: FetchWeights | None = None
    ) -> None:
        self.switches = Switches()
        self.started: Counter[str] = Counter()
        self.finished: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.tokens = 0
        self.cache = PrefixCache(params.cache, clock.now, random.Random(params.seed))
        self._clock = clock
        self._params = params
        self._timers = Timers(clock)
        self.orders = Orders(params, self._timers, self._start_step, fetch)
        self._batch = Batch(params, self.cache)
        self._runs: dict[_RunningRequest, None] = {}
        self._timer: Timer | None = None
        self._due_ms = 0.0
        self._reports = LaggedReports(params.load_lag_ms, self._load_now())

    def load_header(self) -> str:
        """Return the current load in the format of the X-Load header."""
        batch = self._batch
        return f"{batch.running}/{batch.waiting}/{self._params.slots}"

    def load(self) -> LoadReport:
        """Return the load report, which lags behind the current load."""
        return self._reports.get(self._clock.now())

    def running(self) -> int:
        """Return the number of sequences that occupy a slot now."""
        return self._batch.running

    def has_loaded(self, model: str) -> bool:
        """Return whether the engine answers requests for a model or adapter."""
        state = self.orders.state
        return not self._params.checks_models or model in [*state.models, *state.adapters]

    def accept(self, generation: Generation, output: Output, mode: Mode) -> Callable[[], None]:
        """Accept a request and return a function that cancels it."""
        run = _RunningRequest(generation, output)
        self._runs[run] = None
        if mode is Mode.HANG:
            self.started[generation.call_id] += 1
        elif generation.new_tokens_left == 0:
            self.started[generation.call_id] += 1
            self._finish(run)
        else:
            self._submit(run, mode)
        return partial(self._cancel, run)

    def cancel(self, request_id: str) -> bool:
        """Cancel the requests with an id, and return whether there were any."""
        found = [run for run in self._runs if run.generation.request_id == request_id]
        for run in found:
            self._cancel(run)
            run.output.on_cancelled()
        return bool(found)

    def accept_order(self, order: Order) -> bool:
        """Accept an order, or refuse it because of its fencing number."""
        return self.orders.accept(order)

    def crash(self) -> None:
        """Drop all state that is kept in memory only."""
        self._timers.cancel_all()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._runs.clear()
        self._batch.clear()
        self.cache.clear()
        self.orders.restart()
        self.switches.reset()
        self._record_load()

    def _submit(self, run: _RunningRequest, mode: Mode) -> None:
        generation = run.generation
        prompt = generation.prompt.split()
        run.seq = Sequence(
            blocks=block_names(prompt),
            prompt_tokens=max(1, len(prompt) + generation.done_words),
            new_tokens_left=generation.new_tokens_left,
            on_start=partial(self._count_start, generation.call_id),
            on_token=partial(self._on_token, run),
            stride=LATE_FACTOR if mode is Mode.LATE else 1,
        )
        self._batch.submit(run.seq)
        self._start_step()
        self._record_load()

    def _count_start(self, call_id: str) -> None:
        self.started[call_id] += 1

    def _on_token(self, run: _RunningRequest, last: bool) -> None:
        run.output.on_token()
        if last:
            self._finish(run)

    def _finish(self, run: _RunningRequest) -> None:
        del self._runs[run]
        self.finished[run.generation.call_id] += 1
        run.output.on_done()

    def _cancel(self, run: _RunningRequest) -> None:
        if run not in self._runs:
            return
        del self._runs[run]
        self.cancelled[run.generation.call_id] += 1
        if run.seq is not None:
            self._batch.remove(run.seq)
        self._record_load()

    def _start_step(self) -> None:
        """Begin a step unless one is in progress."""
        if self._timer is not None:
            return
        self._due_ms = self._now_ms()
        self._next_step()

    def _next_step(self) -> None:
        """Schedule the end of the next step relative to the due time of the last one.

        Scheduling relative to now would add the process's own delays to every step, so that
        an engine would appear slower on a busier test machine. The catch-up is bounded, so
        that a pause of the process is not followed by a burst of steps.
        """
        duration_ms = self._batch.begin_step(admitting=self.orders.loading == 0)
        if duration_ms is None:
            self._timer = None
            return
        now = self._now_ms()
        start = max(self._due_ms, now - MAX_CATCH_UP_MS)
        self._due_ms = start + duration_ms * self.switches.slow_factor
        self._timer = self._clock.call_later(self._due_ms - now, self._end_step)

    def _end_step(self) -> None:
        self.tokens += self._batch.end_step()
        self._next_step()
        self._record_load()

    def _now_ms(self) -> float:
        return self._clock.timers.seconds() * MS_PER_S

    def _record_load(self) -> None:
        self._reports.add(self._load_now())

    def _load_now(self) -> LoadReport:
        return LoadReport(
            running=self._batch.running,
            waiting=self._batch.waiting,
            slots=self._params.slots,
            kv_used=self._batch.kv_used,
            kv_total=self._params.kv_total,
            step_ms=self._batch.step_ms * self.switches.slow_factor,
            at_ms=self._clock.now(),
        )
