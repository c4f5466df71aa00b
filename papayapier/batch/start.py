"""Wire the parts of batch work together."""

from typing import TYPE_CHECKING, NamedTuple

from papayapier.batch import background
from papayapier.batch.api import BatchDeps
from papayapier.batch.ending import Ender, refresh_done
from papayapier.batch.jobs import Jobs
from papayapier.batch.opening import Grant
from papayapier.batch.records import JobState
from papayapier.batch.registry import JobListeners, JobRegistry
from papayapier.batch.runner import Holds, Runner, RunnerCalls
from papayapier.batch.work import JobWork

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.internet.defer import Deferred


class Batch(NamedTuple):
    """Group what the rest of the program uses of batch work."""

    deps: BatchDeps
    jobs: Jobs
    registry: JobRegistry
    stop: "Callable[[], Awaitable[None]]"


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
        self.loops.append(background.start(self.registry.run(), "job registry"))
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
        self.runner.stop()


def start_batch(deps: BatchDeps) -> Batch:
    """Start the batch work of one instance."""
    parts = _Parts(deps)
    parts.start()
    return Batch(deps, Jobs(deps, parts.registry), parts.registry, parts.stop)
