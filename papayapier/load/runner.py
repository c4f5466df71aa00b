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
from papayapier.load.answer import End
from papayapier.load.arrivals import US_PER_MS, arrival_times_us
from papayapier.load.client import Answered, Client, now_us, send
from papayapier.load.mix import Mix, Request
from papayapier.load.results import ClassResult, Tally
from papayapier.load.scenario import Experiment, Phase
from papayapier.load.series import Series, SeriesBook

Pick = Callable[[], str]
Observe = Callable[[Request, Answered], None]

SETTLING: Final = "(settling)"
RESENT: Final = "(resent)"
MAX_WRONG: Final = 50


class Slot(NamedTuple):
    """Hold the phase of a request and its intended send time from the start of the phase."""

    phase: Phase
    start_us: int
    at_us: int

    def counted_under(self) -> str:
        """Return the phase name under which the request is counted."""
        settled = self.at_us >= self.phase.settle_ms * US_PER_MS
        return self.phase.name if settled else SETTLING


class Around(NamedTuple):
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
        pick: Pick,
        run_id: str,
        seed: int,
        observe: Observe,
    ) -> None:
        self._exp = exp
        self._clock = clock
        self._client = client
        self._pick = pick
        self._run_id = run_id
        self._seed = seed
        self._observe = observe
        self._tallies: dict[tuple[str, str], Tally] = {}
        self._open: set[Deferred[None]] = set()
        self._series = SeriesBook()
        self.failures: list[str] = []
        self.wrong: list[str] = []
        self.flaws: Counter[str] = Counter()

    async def all_phases(self, around: Around) -> list[ClassResult]:
        """Run every phase of every round and return the figures by phase and class."""
        for round_no in range(self._exp.rounds):
            for phase in self._exp.phases:
                await around.before(phase)
                await self._phase(phase, round_no, around)
        while self._open:
            await gatherResults(list(self._open))
        return self._results()

    async def _phase(self, phase: Phase, round_no: int, around: Around) -> None:
        """Send the arrivals of one phase."""
        shape = random.Random(f"shape {self._seed} {round_no}")
        words = random.Random(f"words {self._seed} {round_no} {phase.name}")
        at = self._exp.phases.index(phase)
        mix = Mix(self._exp.classes, f"{self._run_id}-{round_no}-{at}", shape, words)
        times = arrival_times_us(phase, random.Random(f"times {self._seed} {round_no}"))
        start_us = now_us(self._clock)
        counting = self._clock.sleep(phase.settle_ms)
        counting.addCallback(lambda _: around.counting(phase))
        counting.addErrback(self._note_failure)
        arriving = self._arrive(phase, times, start_us, mix)
        await arriving
        await counting
        remaining_ms = phase.ms - (now_us(self._clock) - start_us) / US_PER_MS
        if remaining_ms > 0:
            await self._clock.sleep(remaining_ms)
        await around.after(phase)

    async def _arrive(self, phase: Phase, times: Iterator[int], start_us: int, mix: Mix) -> None:
        """Send each request at its intended time, or at once when that has passed."""
        for at_us in times:
            wait_us = start_us + at_us - now_us(self._clock)
            if wait_us > 0:
                await self._clock.sleep(wait_us / US_PER_MS)
            self._start(Slot(phase, start_us, at_us), mix.draw())

    def _start(self, slot: Slot, req: Request) -> None:
        self._keep(self._one(slot, req))
        if req.resend_after_ms >= 0:
            self._keep(self._resend(slot, req))

    def _keep(self, work: Coroutine[Deferred[Any], Any, None]) -> None:
        """Start a coroutine that the end of the run waits for."""
        done = Deferred.fromCoroutine(work)
        done.addErrback(self._note_failure)
        self._open.add(done)
        done.addBoth(lambda _: self._open.discard(done))

    async def _one(self, slot: Slot, req: Request) -> None:
        got = await send(self._client, self._pick(), req, slot.start_us + slot.at_us)
        if req.is_resend:
            self._tally(RESENT, req.cls.name).add(req, got)
        else:
            self._tally(slot.counted_under(), req.cls.name).add(req, got)
            self._series.add(slot.phase.name, req.cls.name, slot.at_us, got)
        self.flaws[got.verdict.flaw] += 1
        if got.verdict.end is End.WRONG and len(self.wrong) < MAX_WRONG:
            self.wrong.append(f"{req.request_id}: {got.verdict.reason}")
        self._observe(req, got)

    async def _resend(self, slot: Slot, req: Request) -> None:
        """Resend a request as a caller does that assumes it failed: new id, same key."""
        await self._clock.sleep(req.resend_after_ms)
        again = req.again()
        at_us = slot.at_us + req.resend_after_ms * US_PER_MS
        self._start(slot._replace(at_us=at_us), again)

    def series(self) -> list[Series]:
        """Return the figures per second."""
        return self._series.all_series()

    def _tally(self, phase: str, name: str) -> Tally:
        return self._tallies.setdefault((phase, name), Tally(phase, name))

    def _note_failure(self, failure: object) -> None:
        """Record a failure of the load tool itself, which invalidates its figures."""
        self.failures.append(str(failure))

    def _results(self) -> list[ClassResult]:
        return [
            self._tallies[phase.name, cls.name].result(
                (phase.ms - phase.settle_ms) * self._exp.rounds
            )
            for phase in self._exp.phases
            for cls in self._exp.classes
            if (phase.name, cls.name) in self._tallies
        ]
