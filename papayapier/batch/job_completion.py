"""Count and end the jobs whose home shard this instance holds.

The job's record arbitrates the end: one conditional update moves it from running to ending or
to cancelling, so that a cancel and the end of a job cannot both succeed. After that, the
holder of the home shard can repeat every step: create the expiry marker, create the ended
record, delete the active record.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Final

from result import Err, Ok

from papayapier import codec, events
from papayapier.batch import keys, store_access
from papayapier.batch.active_jobs import ActiveJob
from papayapier.batch.records import Checkpoint, FileRecord, JobRecord, JobState, Tally
from papayapier.batch.registry import JobRegistry
from papayapier.batch.results import cancelled_tally, view_task
from papayapier.batch.task_input import ReadError, Unreadable, read_results
from papayapier.peer.messages import JobChanged
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

JOB_KIND: Final = "job"
EXPIRY_MARKER_VALUE: Final = b"1"
CHECK_AGE_DIVISOR: Final = 10
MIN_JOB_CHECK_MS: Final = 500
MAX_JOB_CHECK_MS: Final = 10_000
LOOP_INTERVAL_MS: Final = 100


class JobFinisher:
    """End jobs, one at a time."""

    def __init__(
        self,
        deps: "BatchDeps",
        holder: str,
        registry: JobRegistry,
        holds_shard: Callable[[int], bool],
    ) -> None:
        self._deps = deps
        self._holder = holder
        self._registry = registry
        self._holds_shard = holds_shard

    async def run(self) -> None:
        """Check the jobs whose home shard is held here periodically until cancelled."""
        while True:
            await self._deps.clock.sleep(LOOP_INTERVAL_MS)
            for job in list(self._registry.jobs.values()):
                if self._holds_shard(job.home) and self._is_due(job):
                    await self._check_job(job)

    def _is_due(self, job: ActiveJob) -> bool:
        return self._deps.clock.now() >= job.next_check_ms

    async def _check_job(self, job: ActiveJob) -> None:
        now = self._deps.clock.now()
        # A check costs one listing. The interval grows with the age of the job, so that the cost
        # does not grow with the duration of a job, and a short job ends without much delay.
        interval_ms = (now - job.first_seen_ms) // CHECK_AGE_DIVISOR
        job.next_check_ms = now + max(MIN_JOB_CHECK_MS, min(MAX_JOB_CHECK_MS, interval_ms))
        if job.record.state is JobState.CANCELLING:
            await self._end_cancelled(job)
            return
        if job.record.state is JobState.ENDING:
            await self._move_to_ended(job, job.record._replace(state=JobState.COMPLETED))
            return
        if not job.all_recorded() and not await refresh_recorded(self._deps, job):
            return
        if job.all_recorded():
            await self._end_completed(job)

    async def _end_completed(self, job: ActiveJob) -> None:
        tally = await self._count_recorded(job)
        # A cancel may have arrived while results were read. The record is then that of the
        # cancel, with its version, and the update below would revert the cancel.
        if tally is None or job.record.state is not JobState.RUNNING:
            return
        now = self._deps.clock.wall()
        record = job.record._replace(state=JobState.ENDING, tally=tally, tally_ms=now, ended_ms=now)
        key = keys.active_key(record.job_id)
        written = await store_access.update(self._deps, key, codec.pack(record), job.version)
        if isinstance(written, Err):
            # Another instance ended or cancelled the job, or the reply was lost: read the record
            # again.
            await self._registry.read(record.job_id)
            return
        self._registry.apply_record(record, written.ok_value)
        await self._move_to_ended(job, record._replace(state=JobState.COMPLETED))

    async def _count_recorded(self, job: ActiveJob) -> Tally | None:
        """Sum the tallies of all tasks; tallies that other instances recorded are read."""
        for task in range(len(job.spans)):
            if task in job.tallies:
                continue
            read = await read_results(self._deps.store, job.record.job_id, task)
            if isinstance(read, Err):
                self._report(job, read.err_value)
                return None
            job.tallies[task] = read.ok_value.tally
        return sum_tallies(job.tallies.values())

    async def _end_cancelled(self, job: ActiveJob) -> None:
        tally = Tally()
        for span in job.spans:
            if not job.record.profile.idempotent and not await self._seal(job, span.task):
                return
            view = await view_task(self._deps.store, job.record, span, job.version)
            if isinstance(view, Err):
                self._report(job, view.err_value)
                return
            tally = tally.plus(cancelled_tally(job.record, view.ok_value))
        record = job.record._replace(
            state=JobState.CANCELLED,
            tally=tally,
            tally_ms=self._deps.clock.wall(),
            ended_ms=self._deps.clock.wall(),
            cancel_version=job.version,
        )
        await self._move_to_ended(job, record)

    async def _seal(self, job: ActiveJob, task: int) -> bool:
        """Seal a checkpoint with a new version, so that no holder can add an intent to it.

        Otherwise a holder that was paused during the cancel could still store an intent and
        send the item, and the job's final count would be wrong.
        """
        key = keys.progress_key(job.record.job_id, task)
        read = await self._deps.store.get(key)
        writer = f"{self._holder}/seal-{self._deps.rand.getrandbits(32):08x}"
        if isinstance(read, Err):
            if read.err_value is not StoreError.NOT_FOUND:
                return False
            sealed = Checkpoint(writer, 0, 0, [], [], [], [], [], sealed=True)
            written = await store_access.create(self._deps, key, codec.pack(sealed))
            return isinstance(written, Ok)
        stored = read.ok_value
        checkpoint = codec.unpack(stored.value, Checkpoint)
        if isinstance(checkpoint, Err):
            return False
        versions = [*checkpoint.ok_value.versions, stored.version]
        sealed = checkpoint.ok_value._replace(writer=writer, versions=versions, sealed=True)
        value = codec.pack(sealed)
        written = await store_access.update(self._deps, key, value, stored.version)
        return isinstance(written, Ok)

    async def _move_to_ended(self, job: ActiveJob, record: JobRecord) -> None:
        """Move the record of a job to the ended jobs."""
        expires = record.ended_ms + self._deps.cfg.retention_ms
        record = record._replace(expires_ms=expires)
        marker_key = keys.expiry_key(expires, JOB_KIND, record.job_id)
        marked = await store_access.create(self._deps, marker_key, EXPIRY_MARKER_VALUE)
        if isinstance(marked, Err) and marked.err_value is not StoreError.CONFLICT:
            return
        if not await self._extend_input_retention(record, expires):
            return
        ended = await store_access.create(
            self._deps, keys.ended_key(record.job_id), codec.pack(record)
        )
        if isinstance(ended, Err) and ended.err_value is not StoreError.CONFLICT:
            return
        key = keys.active_key(record.job_id)
        deleted = await store_access.delete(self._deps, key, job.version)
        if isinstance(deleted, Err) and deleted.err_value is not StoreError.CONFLICT:
            return
        if isinstance(ended, Ok):
            events.emit(
                events.JOB_ENDED,
                job=record.job_id,
                state=record.state.value,
                **record.tally._asdict(),
            )
        self._deps.broadcast(JobChanged(record.job_id, job.version))
        self._registry.remove(record.job_id)

    async def _extend_input_retention(self, record: JobRecord, until_ms: int) -> bool:
        """Keep the input as long as the results, which are looked up by the ids in it."""
        key = keys.file_key(record.file_id)
        read = await self._deps.store.get(key)
        if isinstance(read, Err):
            return read.err_value is StoreError.NOT_FOUND
        file = codec.unpack(read.ok_value.value, FileRecord)
        if isinstance(file, Err) or file.ok_value.expires_ms >= until_ms:
            return True
        value = codec.pack(file.ok_value._replace(expires_ms=until_ms))
        written = await store_access.update(self._deps, key, value, read.ok_value.version)
        return isinstance(written, Ok)

    def _report(self, job: ActiveJob, error: ReadError) -> None:
        if isinstance(error, Unreadable):
            events.emit(events.INPUT_MISSING, key=error.key, reason=error.reason)


async def refresh_recorded(deps: "BatchDeps", job: ActiveJob) -> bool:
    """List which tasks of a job are recorded; return False if the store does not answer."""
    listed = await store_access.list_keys(deps, keys.results_prefix(job.record.job_id))
    if isinstance(listed, Err):
        return False
    for name in listed.ok_value.versions:
        job.on_recorded(int(name), None)
    return True


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total
