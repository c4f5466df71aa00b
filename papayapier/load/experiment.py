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
from papayapier.load.client import RequestRecord, make_client
from papayapier.load.experiment_file import Compare, Experiment, Phase, RequestClass
from papayapier.load.idle import open_idle
from papayapier.load.instances import InstanceResult, read_instance
from papayapier.load.operators import Operator, put_profile
from papayapier.load.outcomes import OutcomeTracker, repeated_calls
from papayapier.load.request_mix import Request
from papayapier.load.results import ClassResult
from papayapier.load.runner import PhaseHooks, Run
from papayapier.load.series import Series
from papayapier.load.standins import StandIns, find_standins, read_run_counts, set_switches
from papayapier.standin.answers import expected_text

SERVICES: Final = "/services/"
MAX_SEND_LAG_MS: Final = 25.0


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
    log: Callable[[str], None]


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
        self._outcomes = OutcomeTracker()
        self._meter = BatchMeter(clock)
        self._standins: StandIns | None = None
        self._prepared_jobs = [jobs.prepare(job, options.seed) for job in exp.jobs]
        self._jobs: dict[str, jobs.SubmittedJob] = {}
        self._submits = 0
        self._online_tokens = 0
        self._start_wall_ms = 0
        self._windows: list[Window] = []
        self._warnings: list[str] = []
        self._violations: list[str] = []

    async def run(self) -> Report:
        options = self._options
        if options.platform:
            found = await find_standins(options.platform)
            self._standins = self._value_or_warn("stand-ins", found)
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
            self._pick_instance,
            options.run_id,
            options.seed,
            self._observe,
        )
        classes = await run.all_phases(self._make_hooks())
        await self._end_jobs(())
        await client.close()
        idle.close()
        return await self._report(run, classes)

    def _pick_instance(self) -> str:
        """Choose an instance as the platform's load balancer does."""
        return self._rand.choice(self._options.targets)

    def _observe(self, req: Request, record: RequestRecord) -> None:
        self._online_tokens += record.verdict.tokens
        self._outcomes.observe(req, record)

    def _make_hooks(self) -> PhaseHooks:
        return PhaseHooks(
            before=lambda phase: Deferred.fromCoroutine(self._before(phase)),
            counting=lambda phase: Deferred.fromCoroutine(self._on_counting(phase)),
            after=lambda phase: Deferred.fromCoroutine(self._after(phase)),
        )

    async def _before(self, phase: Phase) -> None:
        self._options.log(f"phase {phase.name}: {phase.ms / 1000:g} s")
        await self._put_profiles(phase)
        await self._end_jobs(phase.jobs)
        await self._start_jobs(phase)
        for fault in phase.faults:
            self._clock.call_later(fault.at_ms, self._make_fault(fault.target, fault.control))

    async def _on_counting(self, phase: Phase) -> None:
        self._meter.begin(await self._read_counters())
        self._start_wall_ms = self._clock.wall()

    async def _after(self, phase: Phase) -> None:
        self._meter.end(phase.name, await self._read_counters())
        self._windows.append(Window(phase.name, self._start_wall_ms, self._clock.wall()))

    async def _put_profiles(self, source: Experiment | Phase) -> None:
        options = self._options
        if not options.operator:
            return
        operator = Operator(options.operator, options.operator_key, options.run_id)
        for profile in source.profiles:
            self._value_or_warn("profile", await put_profile(operator, profile, source.name))

    async def _start_jobs(self, phase: Phase) -> None:
        for prepared in self._prepared_jobs:
            name = prepared.job.name
            if name not in phase.jobs or name in self._jobs:
                continue
            self._submits += 1
            key = f"job-{self._options.run_id}-{name}-{self._submits}"
            submitted = self._value_or_warn(
                "job", await jobs.submit(self._pick_instance(), prepared, key)
            )
            if submitted is not None:
                self._jobs[name] = submitted

    async def _end_jobs(self, continuing_names: tuple[str, ...]) -> None:
        """Cancel the jobs that are not listed, so that the next phase starts without them."""
        for name, submitted in list(self._jobs.items()):
            if name in continuing_names:
                continue
            del self._jobs[name]
            current = self._value_or_warn(
                "progress", await jobs.progress(self._pick_instance(), submitted)
            )
            if current is not None and current.status == jobs.COMPLETED:
                await self._check_job(submitted)
            else:
                self._value_or_warn("cancel", await jobs.cancel(self._pick_instance(), submitted))

    async def _check_job(self, submitted: jobs.SubmittedJob) -> None:
        """Check all results of a completed job."""
        checked = await jobs.check_results(self._pick_instance(), submitted, expected_text)
        self._violations += self._value_or_warn("results", checked) or []

    def _make_fault(self, target: str, control: dict[str, Any]) -> Callable[[], None]:
        def post() -> None:
            address = self._standins.address(target) if self._standins else None
            if address is None:
                self._warnings.append(f"fault: unknown stand-in {target}")
                return
            self._options.log(f"fault: {target} {control}")
            done = Deferred.fromCoroutine(set_switches(address, control))
            done.addCallback(lambda result: self._value_or_warn("fault", result))
            done.addErrback(lambda failure: self._warnings.append(f"fault: {failure}"))

        return post

    async def _read_counters(self) -> Reading | None:
        """Read all counters; None when a stand-in does not respond, for example after a crash."""
        engine_tokens = 0
        if self._standins is not None:
            counts = self._value_or_warn("counts", await read_run_counts(self._standins))
            if counts is None:
                return None
            engine_tokens = counts.tokens
        instance_results = await self._read_instances()
        await self._warn_ended_jobs()
        return Reading(
            engine_tokens,
            self._online_tokens,
            instances.total(instance_results, instances.BATCH_ITEMS),
            instances.total(instance_results, instances.BATCH_TOKENS),
            instances.total(instance_results, instances.PEER_BYTES),
            instances.total(instance_results, instances.STORE_BYTES),
            instances.total(instance_results, instances.STORE_CALLS),
        )

    async def _read_instances(self) -> list[InstanceResult]:
        read = [await read_instance(target) for target in self._options.targets]
        return [
            result
            for result in (self._value_or_warn("metrics", response) for response in read)
            if result
        ]

    async def _warn_ended_jobs(self) -> None:
        """Warn about jobs that ended before the phase did."""
        for name, submitted in self._jobs.items():
            current = self._value_or_warn(
                "progress", await jobs.progress(self._pick_instance(), submitted)
            )
            if current is not None and current.status in jobs.FINAL_STATUSES:
                self._warnings.append(f"job {name} ended ({current.status}) before its phases did")

    def _value_or_warn(self, what: str, result: Result[Any, str]) -> Any:
        """Return the value of a result, or add its error to the warnings."""
        if isinstance(result, Err):
            self._warnings.append(f"{what}: {result.err_value}")
            return None
        return result.ok_value

    async def _report(self, run: Run, classes: list[ClassResult]) -> Report:
        options = self._options
        instance_results = await self._read_instances()
        broken = [
            f"{result.target}: {result.failed_checks():g} internal checks failed"
            for result in instance_results
        ]
        broken = [
            line
            for result, line in zip(instance_results, broken, strict=True)
            if result.failed_checks()
        ]
        broken += run.wrong_answers + self._violations
        broken += [f"{number} answers: {flaw}" for flaw, number in run.flaws.items() if flaw]
        broken += await self._compare()
        self._warnings += [
            f"void, the load tool sent late: {row.phase!r}, {row.name}: lag p99 {row.lag.p99:g} ms"
            for row in classes
            if row.lag.p99 > MAX_SEND_LAG_MS
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
            self._meter.control_results(),
            run.series(),
            instance_results,
            self._outcomes.compared_count(),
            self._outcomes.without_call_id,
            broken,
            run.failures,
            self._warnings,
        )

    async def _compare(self) -> list[str]:
        if self._standins is None:
            self._warnings.append("nothing was compared with what ran: no platform address")
            return []
        counts = self._value_or_warn("counts", await read_run_counts(self._standins))
        if counts is None:
            return ["nothing could be compared with what ran: a stand-in does not respond"]
        services = non_idempotent_services(self._exp)
        repeats = [
            repeated
            for name in services
            for repeated in repeated_calls(counts.by_upstream.get(name, {}))
        ]
        return self._outcomes.contradictions(counts.started) + repeats


def non_idempotent_services(exp: Experiment) -> set[str]:
    """Return the services that get requests of non-idempotent classes only."""
    classes = [cls for cls in exp.classes if cls.path.startswith(SERVICES)]
    found = {_service(cls) for cls in classes if not cls.idempotent}
    return found - {_service(cls) for cls in classes if cls.idempotent}


def _service(cls: RequestClass) -> str:
    return cls.path.removeprefix(SERVICES).partition("/")[0]
