"""Run one experiment and assemble its report.

This module adds profile changes, batch jobs, faults, readings of the engines' counters, and a
final comparison of answers with what ran to the open loop of runner.py. A failed control call
becomes a warning in the report, because the figures of its phase may then not reflect what the
experiment file specifies.
"""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.load import instances, jobs
from papayapier.load.batch_meter import BatchMeter, BatchResult, ControlResult, Reading
from papayapier.load.client import Answered, make_client
from papayapier.load.idle import open_idle
from papayapier.load.instances import InstanceResult, read_instance
from papayapier.load.ledger import Ledger, only_once
from papayapier.load.mix import Request
from papayapier.load.operators import Operator, put_profile
from papayapier.load.results import ClassResult
from papayapier.load.runner import Around, Run
from papayapier.load.scenario import Compare, Experiment, Phase, RequestClass
from papayapier.load.series import Series
from papayapier.load.standins import StandIns, find_standins, read_ran, set_switches
from papayapier.standin.answers import expected_text

SERVICES: Final = "/services/"
LATE_MS: Final = 25.0


class Options(NamedTuple):
    """Set where to run an experiment; operator and platform may be empty.

    Without an operator address no profiles are changed. Without the platform's address
    there are no faults, no counters and no comparison with what ran.
    """

    targets: list[str]
    operator: str
    operator_key: str
    platform: str
    seed: int
    run_id: str
    say: Callable[[str], None]


class Window(NamedTuple):
    """Hold the wall clock times at which the measured part of a phase started and ended."""

    phase: str
    start_wall_ms: int
    end_wall_ms: int


class Report(NamedTuple):
    """Hold the results of a run; the run has failed if broken or failures has entries.

    compared is the number of calls that were compared with what ran, unnamed the number of
    requests that could not be, because no response headers were received.
    """

    experiment: str
    description: str
    compare: Compare
    seed: int
    run_id: str
    targets: list[str]
    windows: list[Window]
    classes: list[ClassResult]
    batch: list[BatchResult]
    control: list[ControlResult]
    series: list[Series]
    instances: list[InstanceResult]
    compared: int
    unnamed: int
    broken: list[str]
    failures: list[str]
    warnings: list[str]


async def run_experiment(exp: Experiment, clock: Clock, options: Options) -> Report:
    """Run an experiment and return its report."""
    return await _Session(exp, clock, options).run()


class _Session:
    """Own the state of one run."""

    def __init__(self, exp: Experiment, clock: Clock, options: Options) -> None:
        self._exp = exp
        self._clock = clock
        self._options = options
        self._rand = random.Random(f"balancer {options.seed}")
        self._ledger = Ledger()
        self._meter = BatchMeter(clock)
        self._standins: StandIns | None = None
        self._drawn = [jobs.draw(job, options.seed) for job in exp.jobs]
        self._jobs: dict[str, jobs.Submitted] = {}
        self._submits = 0
        self._online_tokens = 0
        self._began_wall_ms = 0
        self._windows: list[Window] = []
        self._warnings: list[str] = []
        self._broken: list[str] = []

    async def run(self) -> Report:
        options = self._options
        if options.platform:
            found = await find_standins(options.platform)
            self._standins = self._kept("stand-ins", found)
        await self._put_profiles(self._exp)
        idle = await open_idle(options.targets, self._exp.idle_connections)
        client = make_client(
            self._clock,
            expected_text,
            self._exp.give_up_ms,
            fresh_connections=self._exp.fresh_connections,
        )
        run = Run(
            self._exp,
            self._clock,
            client,
            self._pick,
            options.run_id,
            options.seed,
            self._observe,
        )
        classes = await run.all_phases(self._around())
        await self._end_jobs(())
        await client.close()
        idle.close()
        return await self._report(run, classes)

    def _pick(self) -> str:
        """Choose an instance as the platform's load balancer does."""
        return self._rand.choice(self._options.targets)

    def _observe(self, req: Request, got: Answered) -> None:
        self._online_tokens += got.verdict.tokens
        self._ledger.observe(req, got)

    def _around(self) -> Around:
        return Around(
            before=lambda phase: Deferred.fromCoroutine(self._before(phase)),
            counting=lambda phase: Deferred.fromCoroutine(self._counting(phase)),
            after=lambda phase: Deferred.fromCoroutine(self._after(phase)),
        )

    async def _before(self, phase: Phase) -> None:
        self._options.say(f"phase {phase.name}: {phase.ms / 1000:g} s")
        await self._put_profiles(phase)
        await self._end_jobs(phase.jobs)
        await self._start_jobs(phase)
        for fault in phase.faults:
            self._clock.call_later(fault.at_ms, self._fault(fault.target, fault.control))

    async def _counting(self, phase: Phase) -> None:
        self._meter.begin(await self._reading())
        self._began_wall_ms = self._clock.wall()

    async def _after(self, phase: Phase) -> None:
        self._meter.end(phase.name, await self._reading())
        self._windows.append(Window(phase.name, self._began_wall_ms, self._clock.wall()))

    async def _put_profiles(self, source: Experiment | Phase) -> None:
        options = self._options
        if not options.operator:
            return
        operator = Operator(options.operator, options.operator_key, options.run_id)
        for profile in source.profiles:
            self._kept("profile", await put_profile(operator, profile, source.name))

    async def _start_jobs(self, phase: Phase) -> None:
        for drawn in self._drawn:
            name = drawn.job.name
            if name not in phase.jobs or name in self._jobs:
                continue
            self._submits += 1
            key = f"job-{self._options.run_id}-{name}-{self._submits}"
            submitted = self._kept("job", await jobs.submit(self._pick(), drawn, key))
            if submitted is not None:
                self._jobs[name] = submitted

    async def _end_jobs(self, staying: tuple[str, ...]) -> None:
        """Cancel the jobs that are not listed, so that the next phase starts without them."""
        for name, submitted in list(self._jobs.items()):
            if name in staying:
                continue
            del self._jobs[name]
            now = self._kept("progress", await jobs.progress(self._pick(), submitted))
            if now is not None and now.status == jobs.COMPLETED:
                await self._check_job(submitted)
            else:
                self._kept("cancel", await jobs.cancel(self._pick(), submitted))

    async def _check_job(self, submitted: jobs.Submitted) -> None:
        """Read all results of a completed job."""
        checked = await jobs.check_results(self._pick(), submitted, expected_text)
        self._broken += self._kept("results", checked) or []

    def _fault(self, target: str, control: dict[str, Any]) -> Callable[[], None]:
        def post() -> None:
            address = self._standins.address(target) if self._standins else None
            if address is None:
                self._warnings.append(f"fault: unknown stand-in {target}")
                return
            self._options.say(f"fault: {target} {control}")
            done = Deferred.fromCoroutine(set_switches(address, control))
            done.addCallback(lambda made: self._kept("fault", made))
            done.addErrback(lambda failure: self._warnings.append(f"fault: {failure}"))

        return post

    async def _reading(self) -> Reading | None:
        """Read all counters; None when a stand-in does not respond, for example after a crash."""
        engine_tokens = 0
        if self._standins is not None:
            ran = self._kept("counts", await read_ran(self._standins))
            if ran is None:
                return None
            engine_tokens = ran.tokens
        seen = await self._instances()
        await self._see_ended_jobs()
        return Reading(
            engine_tokens,
            self._online_tokens,
            instances.total(seen, instances.BATCH_ITEMS),
            instances.total(seen, instances.BATCH_TOKENS),
            instances.total(seen, instances.PEER_BYTES),
            instances.total(seen, instances.STORE_BYTES),
            instances.total(seen, instances.STORE_CALLS),
        )

    async def _instances(self) -> list[InstanceResult]:
        read = [await read_instance(target) for target in self._options.targets]
        return [one for one in (self._kept("metrics", got) for got in read) if one]

    async def _see_ended_jobs(self) -> None:
        """Warn about jobs that ended before the phase did."""
        for name, submitted in self._jobs.items():
            now = self._kept("progress", await jobs.progress(self._pick(), submitted))
            if now is not None and now.status in jobs.ENDED:
                self._warnings.append(f"job {name} ended ({now.status}) before its phases did")

    def _kept(self, what: str, result: Result[Any, str]) -> Any:
        """Return the value of a result, or add its error to the warnings."""
        if isinstance(result, Err):
            self._warnings.append(f"{what}: {result.err_value}")
            return None
        return result.ok_value

    async def _report(self, run: Run, classes: list[ClassResult]) -> Report:
        options = self._options
        seen = await self._instances()
        broken = [f"{one.target}: {one.broken():g} internal checks failed" for one in seen]
        broken = [line for one, line in zip(seen, broken, strict=True) if one.broken()]
        broken += run.wrong + self._broken
        broken += [f"{number} answers: {flaw}" for flaw, number in run.flaws.items() if flaw]
        broken += await self._compare()
        self._warnings += [
            f"void, the load tool sent late: {one.phase!r}, {one.name}: lag p99 {one.lag.p99:g} ms"
            for one in classes
            if one.lag.p99 > LATE_MS
        ]
        return Report(
            self._exp.name,
            self._exp.description,
            self._exp.compare,
            options.seed,
            options.run_id,
            options.targets,
            self._windows,
            classes,
            self._meter.results(),
            self._meter.control(),
            run.series(),
            seen,
            self._ledger.named(),
            self._ledger.unnamed,
            broken,
            run.failures,
            self._warnings,
        )

    async def _compare(self) -> list[str]:
        if self._standins is None:
            self._warnings.append("nothing was compared with what ran: no platform address")
            return []
        ran = self._kept("counts", await read_ran(self._standins))
        if ran is None:
            return ["nothing could be compared with what ran: a stand-in does not respond"]
        services = once_only_services(self._exp)
        once = [found for name in services for found in only_once(ran.by_upstream.get(name, {}))]
        return self._ledger.broken(ran.started) + once


def once_only_services(exp: Experiment) -> set[str]:
    """Return the services that get requests of non-idempotent classes only."""
    classes = [cls for cls in exp.classes if cls.path.startswith(SERVICES)]
    once = {_service(cls) for cls in classes if not cls.idempotent}
    return once - {_service(cls) for cls in classes if cls.idempotent}


def _service(cls: RequestClass) -> str:
    return cls.path.removeprefix(SERVICES).partition("/")[0]
