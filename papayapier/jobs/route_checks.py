"""Check jobs against the routes in force: hold those that are newer, give up those that have ended.

policy/job_routes.py decides. This module reads the configuration from the store for the decision.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.route_table import Route, RouteTable
from papayapier.jobs.owned_job import OwnedJob
from papayapier.lasting_tasks import run_always
from papayapier.policy.job_routes import JobStep, next_step

# Bounds the reads of the configuration while jobs are held.
READ_PAUSE_MS: Final = 300


class RouteCheckDeps(NamedTuple):
    """Group the dependencies of RouteChecks.

    read_configuration reads the routes from the store, and returns whether those in force are at
    least as new. on_read is called after each read that did. give_up ends a job's open items.
    """

    clock: Clock
    read_configuration: Callable[[], Awaitable[bool]]
    on_read: Callable[[], None]
    give_up: Callable[[OwnedJob], None]


class RouteChecks:
    """Hold when the configuration was last read from the store."""

    def __init__(self, deps: RouteCheckDeps) -> None:
        self._deps = deps
        self._confirmed_ms: int | None = None
        self._reading = False

    def may_run(self, job: OwnedJob, table: RouteTable, route: Route | None, known_ms: int) -> bool:
        """Return whether a job's items may run; give the job up if it is due.

        known_ms is for how long the job is known here. An instance's wall clock may jump: an item
        given up too early is lost, while an item that is tried for too long only costs a run.
        """
        reason = _reason_to_give_up(route, known_ms)
        if not reason:
            job.doubted_ms = None
        elif job.doubted_ms is None:
            job.doubted_ms = self._deps.clock.now()
        step = next_step(table.position, job.accepted_under, job.doubted_ms, self._confirmed_ms)
        if step is JobStep.RUN:
            job.held = False
        elif step is JobStep.GIVE_UP:
            events.emit(events.ITEMS_LOST, items=len(job.items), **_inputs(job, table, reason))
            self._deps.give_up(job)
        else:
            if not job.held:
                events.emit(events.JOB_HELD, step=step.value, **_inputs(job, table, reason))
            job.held = True
            self._start_reading()
        return step in (JobStep.RUN, JobStep.CONFIRM) and route is not None

    def _start_reading(self) -> None:
        if not self._reading:
            self._reading = True
            run_always(self._deps.clock, "configuration of held jobs", self._read)

    async def _read(self) -> None:
        began_ms = self._deps.clock.now()
        if await self._deps.read_configuration():
            self._confirmed_ms = began_ms
            self._deps.on_read()
        await self._deps.clock.sleep(READ_PAUSE_MS)
        self._reading = False


def _reason_to_give_up(route: Route | None, known_ms: int) -> str:
    """Return why a job is to be given up by the routes in force, or an empty string."""
    if route is None:
        return "the job's route was removed"
    if route.give_up_ms and known_ms > route.give_up_ms:
        return "the time limit for running items has passed"
    return ""


def _inputs(job: OwnedJob, table: RouteTable, reason: str) -> dict[str, object]:
    return {
        "job": job.job_id,
        "reason": reason,
        "version": table.position.version,
        "revision": table.position.revision,
        "accepted_version": job.accepted_under.version,
        "accepted_revision": job.accepted_under.revision,
    }
