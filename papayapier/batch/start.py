"""Wire the parts of batch work together."""

from typing import TYPE_CHECKING, NamedTuple

from result import Result

from papayapier.batch import background
from papayapier.batch.api import BatchDeps
from papayapier.batch.ending import Ender, refresh_done
from papayapier.batch.expiry import delete_file
from papayapier.batch.files import FileIntake
from papayapier.batch.jobs import Jobs
from papayapier.batch.opening import Grant
from papayapier.batch.records import FileRecord, JobState
from papayapier.batch.registry import JobListeners, JobRegistry
from papayapier.batch.runner import Holds, Runner, RunnerCalls
from papayapier.batch.view import Views
from papayapier.batch.work import JobWork
from papayapier.errors import Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.internet.defer import Deferred


class Batch(NamedTuple):
    """Group what the rest of the program uses of batch work."""

    deps: BatchDeps
    jobs: Jobs
    views: Views
    registry: JobRegistry
    stop: "Callable[[], Awaitable[None]]"

    def new_file(self, caller: str, name: str, purpose: str) -> FileIntake:
        """Begin to take in an input file."""
        return FileIntake(self.deps, caller, name, purpose)

    async def delete_file(self, caller: str, file_id: str) -> Result[FileRecord, Refusal]:
        """Delete an input file that no active job uses."""
        return await delete_file(self.deps, self.registry, caller, file_id)


class _Parts:
    """Hold the parts of batch work that call each other."""

    def __init__(self, deps: BatchDeps) -> None:
        self.deps = deps
        self.holder = f"{deps.instance}.{deps.boot:x}"
        self.registry = JobRegistry(deps, JobListeners(self.on_new, self.on_changed, self.on_gone))
        holds = Holds(lambda s: Grant(s, 1, False), lambda s, i: True, lambda s: True)
        calls = RunnerCalls(self.on_recorded, self.on_superseded)
        self.runner = Runner(deps, self.holder, holds, calls)
        self.ender = Ender(deps, self.holder, self.registry, lambda _: True)
        self.loops: list[Deferred[None]] = []

    def start(self) -> None:
        self.registry.start()
        self.loops.append(background.start(self.ender.run(), "ending of jobs"))

    def on_new(self, job: JobWork) -> None:
        background.start(self.adopt(job), "adoption of a job")

    async def adopt(self, job: JobWork) -> None:
        await refresh_done(self.deps, job)
        if not job.runs():
            return
        for shard in range(self.deps.cfg.shards):
            self.runner.adopt(job, shard)

    def on_changed(self, job: JobWork) -> None:
        job.next_look_ms = self.deps.clock.now()
        if job.record.state is not JobState.RUNNING:
            self.runner.drop_job(job)

    def on_gone(self, job: JobWork) -> None:
        self.runner.drop_job(job)

    def on_recorded(self, job: JobWork, _task: int) -> None:
        if job.whole():
            job.next_look_ms = self.deps.clock.now()

    def on_superseded(self, job: JobWork) -> None:
        background.start(self.adopt(job), "adoption of a job")

    async def stop(self) -> None:
        for loop in self.loops:
            loop.cancel()
        self.registry.stop()
        self.runner.stop()


def start_batch(deps: BatchDeps) -> Batch:
    """Start the batch work of one instance."""
    parts = _Parts(deps)
    parts.start()
    jobs = Jobs(deps, parts.registry)
    views = Views(deps, parts.registry)
    return Batch(deps, jobs, views, parts.registry, parts.stop)
