"""Run the phases of an experiment in one open loop.

Arrivals never wait for answers. A request belongs to the phase of its intended send time, even
if its answer arrives during the next phase, so figures are summarised after the last answer.
"""

import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred, gatherResults

from papayapier.clock import Clock
from papayapier.load.arrivals import US_PER_MS, arrival_times_us
from papayapier.load.client import Client, RequestRecord, monotonic_us, send_request
from papayapier.load.experiment_file import Experiment, Phase
from papayapier.load.request_mix import Mix, Request
from papayapier.load.responses import RequestOutcome
from papayapier.load.results import ClassResult, ClassStats
from papayapier.load.series import Series, SeriesCollector

PickInstance = Callable[[], str]
Observe = Callable[[Request, RequestRecord], None]

SETTLING: Final = "(settling)"
RESENT: Final = "(resent)"
MAX_WRONG_ANSWERS: Final = 50


class Arrival(NamedTuple):
    """Hold the phase of a request and its intended send time from the start of the phase."""

    phase: Phase
    start_us: int
    at_us: int

    def counted_phase(self) -> str:
        """Return the phase name under which the request is counted."""
        settled = self.at_us >= self.phase.settle_ms * US_PER_MS
        return self.phase.name if settled else SETTLING


class PhaseHooks(NamedTuple):
    """Group the callbacks before a phase's arrivals, at the start of counting, and after the phase.

    Each gets the phase; the experiment adds jobs, faults and profile changes here.
    """

    before: Callable[[Phase], Deferred[None]]
    counting: Callable[[Phase], Deferred[None]]
    after: Callable[[Phase], Deferred[None]]


class Run:
    """Run all phases and hold the state of the run."""

    def __init__(
        self,
        exp: Experiment,
        clock: Clock,
        client: Client,
        pick_instance: PickInstance,
        run_id: str,
        seed: int,
        observe: Observe,
    ) -> None:
        self._exp = exp
        self._clock = clock
        self._client = client
        self._pick_instance = pick_instance
        self._run_id = run_id
        self._seed = seed
        self._observe = observe
        self._stats_by_class: dict[tuple[str, str], ClassStats] = {}
        self._open: set[Deferred[None]] = set()
        self._series = SeriesCollector()
        self.failures: list[str] = []
        self.wrong_answers: list[str] = []
        self.flaws: Counter[str] = Counter()

    async def all_phases(self, hooks: PhaseHooks) -> list[ClassResult]:
        """Run every phase of every round and return the figures by phase and class."""
        for round_no in range(self._exp.rounds):
            for phase in self._exp.phases:
                await hooks.before(phase)
                await self._phase(phase, round_no, hooks)
        while self._open:
            await gatherResults(list(self._open))
        return self._results()

    async def _phase(self, phase: Phase, round_no: int, hooks: PhaseHooks) -> None:
        """Send the arrivals of one phase."""
        shape = random.Random(f"shape {self._seed} {round_no}")
        words = random.Random(f"words {self._seed} {round_no} {phase.name}")
        phase_no = self._exp.phases.index(phase)
        mix = Mix(self._exp.classes, f"{self._run_id}-{round_no}-{phase_no}", shape, words)
        times = arrival_times_us(phase, random.Random(f"times {self._seed} {round_no}"))
        start_us = monotonic_us(self._clock)
        counting = self._clock.sleep(phase.settle_ms)
        counting.addCallback(lambda _: hooks.counting(phase))
        counting.addErrback(self._record_failure)
        arriving = self._arrive(phase, times, start_us, mix)
        await arriving
        await counting
        remaining_ms = phase.ms - (monotonic_us(self._clock) - start_us) / US_PER_MS
        if remaining_ms > 0:
            await self._clock.sleep(remaining_ms)
        await hooks.after(phase)

    async def _arrive(self, phase: Phase, times: Iterator[int], start_us: int, mix: Mix) -> None:
        """Send each request at its intended time, or at once when that has passed."""
        for at_us in times:
            wait_us = start_us + at_us - monotonic_us(self._clock)
            if wait_us > 0:
                await self._clock.sleep(wait_us / US_PER_MS)
            self._start(Arrival(phase, start_us, at_us), mix.draw())

    def _start(self, arrival: Arrival, req: Request) -> None:
        self._track(self._send(arrival, req))
        if req.resend_after_ms >= 0:
            self._track(self._resend(arrival, req))

    def _track(self, task: Coroutine[Deferred[Any], Any, None]) -> None:
        """Start a coroutine that the end of the run waits for."""
        done = Deferred.fromCoroutine(task)
        done.addErrback(self._record_failure)
        self._open.add(done)
        done.addBoth(lambda _: self._open.discard(done))

    async def _send(self, arrival: Arrival, req: Request) -> None:
        record = await send_request(
            self._client, self._pick_instance(), req, arrival.start_us + arrival.at_us
        )
        if req.is_resend:
            self._stats(RESENT, req.cls.name).add(req, record)
        else:
            self._stats(arrival.counted_phase(), req.cls.name).add(req, record)
            self._series.add(arrival.phase.name, req.cls.name, arrival.at_us, record)
        self.flaws[record.verdict.flaw] += 1
        if (
            record.verdict.request_outcome is RequestOutcome.WRONG
            and len(self.wrong_answers) < MAX_WRONG_ANSWERS
        ):
            self.wrong_answers.append(f"{req.request_id}: {record.verdict.reason}")
        self._observe(req, record)

    async def _resend(self, arrival: Arrival, req: Request) -> None:
        """Resend a request as a caller does that assumes it failed: new id, same key."""
        await self._clock.sleep(req.resend_after_ms)
        resent = req.make_resend()
        at_us = arrival.at_us + req.resend_after_ms * US_PER_MS
        self._start(arrival._replace(at_us=at_us), resent)

    def series(self) -> list[Series]:
        """Return the figures per second."""
        return self._series.all_series()

    def _stats(self, phase: str, name: str) -> ClassStats:
        return self._stats_by_class.setdefault((phase, name), ClassStats(phase, name))

    def _record_failure(self, failure: object) -> None:
        """Record a failure of the load tool itself, which invalidates its figures."""
        self.failures.append(str(failure))

    def _results(self) -> list[ClassResult]:
        return [
            self._stats_by_class[phase.name, cls.name].result(
                (phase.ms - phase.settle_ms) * self._exp.rounds
            )
            for phase in self._exp.phases
            for cls in self._exp.classes
            if (phase.name, cls.name) in self._stats_by_class
        ]
