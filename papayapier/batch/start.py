"""Assemble the components of batch processing."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Result

from papayapier.batch import background
from papayapier.batch.active_jobs import ActiveJob
from papayapier.batch.api import BatchDeps
from papayapier.batch.deadline_risk import DeadlineRiskMonitor
from papayapier.batch.expiry import ExpiryCleaner, delete_file
from papayapier.batch.file_upload import FileUpload
from papayapier.batch.job_completion import JobFinisher, refresh_recorded
from papayapier.batch.job_reader import JobReader
from papayapier.batch.jobs import BatchJobService
from papayapier.batch.lease_manager import LeaseCallbacks, LeaseManager
from papayapier.batch.records import FileRecord, JobState
from papayapier.batch.registry import JobListeners, JobRegistry
from papayapier.batch.runner import LeaseQueries, Runner, RunnerCallbacks
from papayapier.batch.task_input import Grant
from papayapier.errors import Refusal
from papayapier.peer.messages import JobChanged, Message, ShardsReleased
from papayapier.store.watch import Backoff

EXPIRY_SHARD: Final = 0


class BatchStatus(NamedTuple):
    """Summarise the batch jobs on one instance."""

    shards_held: int
    active_jobs: int
    jobs_at_risk: int
    open_tasks: int
    items_in_flight: int
    buffered_bytes: int


class Batch(NamedTuple):
    """Group what the rest of the program uses of batch processing."""

    deps: BatchDeps
    jobs: BatchJobService
    reader: JobReader
    registry: JobRegistry
    on_peer: Callable[[Message], None]
    on_members_changed: Callable[[], None]
    status: Callable[[], BatchStatus]
    stop: Callable[[], Awaitable[None]]

    def start_upload(self, caller: str, name: str, purpose: str) -> FileUpload:
        """Start the upload of an input file."""
        return FileUpload(self.deps, caller, name, purpose)

    async def delete_file(self, caller: str, file_id: str) -> Result[FileRecord, Refusal]:
        """Delete an input file that no active job uses."""
        return await delete_file(self.deps, self.registry, caller, file_id)


def start_batch(deps: BatchDeps) -> Batch:
    """Start batch processing on one instance."""
    components = _Components(deps)
    components.start()
    return Batch(
        deps=deps,
        jobs=BatchJobService(deps, components.registry),
        reader=JobReader(deps, components.registry),
        registry=components.registry,
        on_peer=components.on_peer,
        on_members_changed=components.lease_manager.wake,
        status=components.status,
        stop=components.stop,
    )


class _Components:
    """Hold the components of batch processing, and forward events that concern several of them."""

    def __init__(self, deps: BatchDeps) -> None:
        self._deps = deps
        holder = f"{deps.instance}.{deps.boot:x}"
        self.registry = JobRegistry(
            deps, JobListeners(self._on_new, self._on_changed, self._on_removed)
        )
        lease_callbacks = LeaseCallbacks(
            self._on_acquired,
            self._on_lost,
            self._hand_over,
            self._is_cautious,
            self._on_leases_confirmed,
        )
        lease_deps = deps._replace(store=deps.lease_store or deps.store)
        self.lease_manager = LeaseManager(lease_deps, holder, lease_callbacks)
        lease_queries = LeaseQueries(
            self._grant, self.lease_manager.may_send, self.lease_manager.may_commit
        )
        self._runner = Runner(
            deps, holder, lease_queries, RunnerCallbacks(self._on_recorded, self._on_superseded)
        )
        self._finisher = JobFinisher(deps, holder, self.registry, self.lease_manager.may_commit)
        self._cleaner = ExpiryCleaner(
            deps, self.registry, lambda: self.lease_manager.may_commit(EXPIRY_SHARD)
        )
        self._risk_monitor = DeadlineRiskMonitor(
            deps, self.registry, self._runner, self.lease_manager.may_commit
        )
        self._loops = [
            background.RestartingLoop(deps.clock, self._finisher.run, "completion of jobs"),
            background.RestartingLoop(deps.clock, self._cleaner.run, "expiry"),
            background.RestartingLoop(deps.clock, self._risk_monitor.run, "watch for jobs at risk"),
        ]
        self._to_adopt: dict[str, set[int]] = {}
        self._adopting = False

    def start(self) -> None:
        """Start all background loops."""
        self.registry.start()
        self.lease_manager.start()
        for loop in self._loops:
            loop.start()

    async def stop(self) -> None:
        """Hand over the tasks that run here, and stop."""
        self._runner.begin_stop()
        await self.lease_manager.stop()
        for loop in self._loops:
            loop.stop()
        self.registry.stop()
        self._runner.stop()

    def on_peer(self, message: Message) -> None:
        """Handle a message from another instance."""
        if isinstance(message, JobChanged):
            self.registry.on_version_reported(message.job_id, message.version)
        elif isinstance(message, ShardsReleased):
            self.lease_manager.wake()

    def status(self) -> BatchStatus:
        """Summarise the state of batch processing on this instance."""
        jobs = list(self.registry.jobs.values())
        return BatchStatus(
            shards_held=len(self.lease_manager.held_shards()),
            active_jobs=len(jobs),
            jobs_at_risk=sum(job.at_risk for job in jobs),
            open_tasks=sum(len(job.open) for job in jobs),
            items_in_flight=sum(job.in_flight() for job in jobs),
            buffered_bytes=self._runner.buffered_bytes(),
        )

    # Leases

    def _on_acquired(self, shard: int) -> None:
        shard_lease = self.lease_manager.active_lease(shard)
        for job in self.registry.jobs.values():
            if shard_lease is not None and shard_lease.holder_lost:
                job.cautious_shards.add(shard)
            self._adopt_later(job, {shard})
        self._update_shard_metric()

    def _on_lost(self, shard: int) -> None:
        self._runner.drop_shard(shard)
        for job in self.registry.jobs.values():
            job.cautious_shards.discard(shard)
        for shards in self._to_adopt.values():
            shards.discard(shard)
        self._update_shard_metric()

    def _update_shard_metric(self) -> None:
        self._deps.metrics.shards_held.set(len(self.lease_manager.held_shards()))

    async def _hand_over(self, shard: int, limit_ms: int) -> None:
        await self._runner.hand_over(shard, limit_ms)

    def _is_cautious(self, shard: int) -> bool:
        return any(shard in job.cautious_shards for job in self.registry.jobs.values())

    def _on_leases_confirmed(self) -> None:
        # No instance has adopted the jobs that appeared while the leases were unconfirmed.
        held = set(self.lease_manager.held_shards())
        for job in self.registry.jobs.values():
            self._adopt_later(job, held - job.adopted)
        self._runner.on_leases_confirmed()

    def _grant(self, job: ActiveJob, shard: int) -> Grant | None:
        shard_lease = self.lease_manager.active_lease(shard)
        if shard_lease is None or not self.lease_manager.may_commit(shard):
            return None
        return Grant(shard, shard_lease.fence, shard in job.cautious_shards)

    # Jobs

    def _on_new(self, job: ActiveJob) -> None:
        self._adopt_later(job, set(self.lease_manager.held_shards()))

    def _on_changed(self, job: ActiveJob) -> None:
        job.next_check_ms = self._deps.clock.now()
        if not job.is_running():
            self._runner.drop_job(job)

    def _on_removed(self, job: ActiveJob) -> None:
        self._to_adopt.pop(job.record.job_id, None)
        self._runner.drop_job(job)

    def _on_recorded(self, job: ActiveJob) -> None:
        if job.all_recorded():
            job.next_check_ms = self._deps.clock.now()

    def _on_superseded(self, job: ActiveJob) -> None:
        self._adopt_later(job, set(self.lease_manager.held_shards()))

    def _adopt_later(self, job: ActiveJob, shards: set[int]) -> None:
        """Adopt a job's tasks in some shards, after reading which tasks are finished already."""
        if job.record.state is not JobState.RUNNING or not shards:
            return
        self._to_adopt.setdefault(job.record.job_id, set()).update(shards)
        if not self._adopting:
            self._adopting = True
            background.start(self._adopt(), "adoption of jobs")

    async def _adopt(self) -> None:
        pauses = Backoff(self._deps.rand)
        try:
            while self._to_adopt:
                job_id = next(iter(self._to_adopt))
                job = self.registry.jobs.get(job_id)
                if job is not None and not await refresh_recorded(self._deps, job):
                    await self._deps.clock.sleep(pauses.next_ms())
                    continue
                shards = self._to_adopt.pop(job_id, set())
                if job is not None and job.is_running():
                    for shard in sorted(shards.intersection(self.lease_manager.held_shards())):
                        self._runner.adopt(job, shard)
        finally:
            self._adopting = False
