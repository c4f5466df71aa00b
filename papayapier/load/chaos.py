"""Run the system under random faults for minutes, and check every guarantee.

One process runs the stand-ins and several instances on one reactor, over real sockets, with
internal invariant checks raising exceptions. Online requests, batch jobs and configuration
changes run throughout. At the end all faults are removed and the system must settle: all
accepted jobs finish, all instances have the newest configuration, and the answers that callers
received must agree with the stand-ins' counts of what ran.
"""

import random
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred, gatherResults
from twisted.logger import LogEvent, globalLogPublisher

from papayapier import invariants
from papayapier.clock import Clock
from papayapier.load import chaos_jobs, chaos_traffic
from papayapier.load.chaos_fleet import ChaosFleet
from papayapier.load.chaos_jobs import ChaosJobs
from papayapier.load.chaos_operators import ChaosOperators
from papayapier.load.chaos_plan import FleetSizes, draw_plan
from papayapier.load.chaos_traffic import OnlineTraffic
from papayapier.load.client import make_client
from papayapier.load.outcomes import repeated_calls
from papayapier.standin.answers import expected_text

SIZES: Final = FleetSizes(instances=4, engines=4, services=2)
GIVE_UP_MS: Final = 45_000
JOBS_LIMIT_MS: Final = 60_000
CONFIG_LIMIT_MS: Final = 10_000
LEAVE_GRACE_MS: Final = 4_000
LEAVE_CHECK_MS: Final = 3_000


class ChaosReport(NamedTuple):
    """Hold the result of a chaos run; broken is empty when no guarantee was violated."""

    seed: int
    events: list[str]
    counts: dict[str, int]
    broken: list[str]


async def run_chaos(reactor: Any, clock: Clock, seed: int, length_ms: int) -> ChaosReport:
    """Run for a time under the faults that are drawn from the seed."""
    return await _Chaos(reactor, clock, seed, length_ms).run()


class _Chaos:
    """Own one chaos run."""

    def __init__(self, reactor: Any, clock: Clock, seed: int, length_ms: int) -> None:
        self._clock = clock
        self._seed = seed
        self._length_ms = length_ms
        self._events: list[str] = []
        self._violations: list[str] = []
        self._plan = draw_plan(random.Random(f"plan {seed}"), length_ms, SIZES)
        self._chaos_fleet = ChaosFleet(
            reactor, clock, random.Random(f"world {seed}"), SIZES, self._add_event
        )
        self._start_ms = clock.now()

    async def run(self) -> ChaosReport:
        invariants.raise_on_violation(True)
        publisher: Any = globalLogPublisher
        publisher.addObserver(self._on_log_event)
        client = make_client(self._clock, expected_text, GIVE_UP_MS, fresh_connections=False)
        run_id = f"chaos-{self._seed}"
        traffic = OnlineTraffic(
            self._clock, client, self._chaos_fleet, run_id, self._rand("traffic")
        )
        batch = ChaosJobs(self._clock, self._chaos_fleet, run_id, self._rand("jobs"))
        profiles = chaos_traffic.PROFILES + chaos_jobs.PROFILES
        operators = ChaosOperators(
            self._clock, self._chaos_fleet, profiles, run_id, self._rand("operators")
        )
        await self._chaos_fleet.start()
        await operators.create()
        self._chaos_fleet.on_engine_leaving = self._watch_leaving
        self._start_ms = self._clock.now()
        load_done = gatherResults(
            [
                Deferred.fromCoroutine(coroutine)
                for coroutine in (traffic.run(), batch.run(), operators.run(), operators.watch())
            ],
            consumeErrors=True,
        )
        await self._apply_plan()
        for source in (traffic, batch, operators):
            source.stop()
        self._chaos_fleet.clear_faults()
        self._add_event("healed")
        await load_done
        await batch.wait_until_ended(JOBS_LIMIT_MS)
        await operators.wait_until_applied(CONFIG_LIMIT_MS)
        self._compare(traffic, batch)
        await client.close()
        await self._chaos_fleet.close()
        publisher.removeObserver(self._on_log_event)
        self._violations += traffic.all_violations() + batch.violations + operators.violations
        counts = {
            **{f"online {name}": number for name, number in traffic.outcome_counts.items()},
            **{f"jobs {name}": number for name, number in batch.counts.items()},
            **{f"changes {name}": number for name, number in operators.counts.items()},
        }
        return ChaosReport(self._seed, self._events, counts, self._violations)

    def _rand(self, name: str) -> random.Random:
        return random.Random(f"{name} {self._seed}")

    async def _apply_plan(self) -> None:
        """Apply each event at its time; a failed internal check ends the run early."""
        for event in self._plan:
            await self._sleep_until(event.at_ms)
            if invariants.violation_count():
                return
            self._add_event(event.text())
            self._chaos_fleet.apply(event)
        await self._sleep_until(self._length_ms)

    async def _sleep_until(self, at_ms: int) -> None:
        wait_ms = self._start_ms + at_ms - self._clock.now()
        if wait_ms > 0:
            await self._clock.sleep(wait_ms)

    def _watch_leaving(self, engine: int) -> None:
        """Check that a leaving engine gets no new requests after LEAVE_GRACE_MS.

        The instances learn from the instance list that an engine leaves, so the check is void
        if the platform was disturbed or an instance was paused during its time.
        """
        leaving_ms = self._clock.now()

        def start_check() -> None:
            before = self._started_at(engine)
            self._clock.call_later(LEAVE_CHECK_MS, lambda: finish_check(before))

        def finish_check(before: int) -> None:
            new_calls = self._started_at(engine) - before
            if new_calls and self._chaos_fleet.disturbed_until_ms < leaving_ms:
                self._violations.append(
                    f"engine {engine} received {new_calls} new calls while leaving"
                )

        self._clock.call_later(LEAVE_GRACE_MS, start_check)

    def _started_at(self, engine: int) -> int:
        return sum(self._chaos_fleet.standins.engines[engine].counts().started.values())

    def _compare(self, traffic: OnlineTraffic, batch: ChaosJobs) -> None:
        """Compare the answers that callers received with what ran."""
        standins = self._chaos_fleet.standins
        non_idempotent: dict[str, int] = {}
        started: dict[str, int] = {}
        for service in standins.services:
            _add_counts(non_idempotent, service.counts().calls)
        for engine in standins.engines:
            _add_counts(started, engine.counts().started)
        self._violations += repeated_calls(non_idempotent)
        self._violations += batch.repeated_items(started)
        self._violations += traffic.outcomes.contradictions({**started, **non_idempotent})
        self._violations += [
            f"internal check failed: {invariant.value}, {number} times"
            for invariant, number in invariants.VIOLATIONS.items()
        ]

    def _add_event(self, text: str) -> None:
        at_ms = self._clock.now() - self._start_ms
        self._events.append(f"{at_ms:>8} ms  {text}")
        if text.startswith("FAILED"):
            self._violations.append(text)

    def _on_log_event(self, event: LogEvent) -> None:
        """Record unhandled failures, which are reported in the log only."""
        failure = event.get("log_failure")
        if failure is not None:
            self._violations.append(f"unhandled failure: {failure.getTraceback()}")


def _add_counts(total: dict[str, int], counts: dict[str, int]) -> None:
    for call_id, times in counts.items():
        total[call_id] = total.get(call_id, 0) + times
