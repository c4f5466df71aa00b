"""Store jobs locally that were accepted while the store was unavailable, until the store has them.

Several keepers have a copy of each such job. Each of them creates it as soon as the store is
reachable: the first one succeeds, the others find the job there and remove their copies. So no
keeper needs to know whether the others are live, and a job is created once.
"""

import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Final, NamedTuple, TypeVar

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.jobs import job_files
from papayapier.jobs.job_files import LocalJob
from papayapier.jobs.records import JobRecord, job_key, read_record
from papayapier.lasting_tasks import run_always
from papayapier.store.api import Store, StoreError
from papayapier.store.watch import Backoff
from papayapier.store.writes import SettleDeps, create_settled

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

T = TypeVar("T")

# Time limit of one attempt to create a job; the next attempt begins after a pause.
ATTEMPT_MS: Final = 2_000
WRITE_POLL_MS: Final = 10


class LocalJobStoreDeps(NamedTuple):
    """Group the dependencies of LocalJobStore.

    in_thread runs a blocking call. held is called for each newly stored job, to run it while the
    store is still unavailable; not for jobs left by an earlier run of this keeper, because only the
    store knows whether these have been completed or cancelled. A job is dropped keep_s after its
    submission: by then another keeper has created it, and its results may have been read and
    deleted.
    """

    clock: Clock
    rand: random.Random
    store: Store
    folder: str
    keep_s: int
    longest_pause_ms: int
    in_thread: Callable[[Callable[[], Any]], Awaitable[Any]]
    held: Callable[[str, JobRecord], None]


class LocalJobStore:
    """Manage the jobs on this keeper's disk."""

    def __init__(self, deps: LocalJobStoreDeps) -> None:
        self._deps = deps
        self._creating: dict[str, Deferred[None]] = {}
        self._writing: set[str] = set()
        self._loading = True
        self._refusing = False

    def pending_count(self) -> int:
        """Return how many locally stored jobs may not be in the store yet."""
        return len(self._creating) + self._loading

    async def start(self) -> None:
        """Load the jobs that an earlier run of this keeper stored."""
        folder = self._deps.folder
        loaded = await self._deps.in_thread(lambda: job_files.load(folder))
        if isinstance(loaded, Err):
            events.emit(events.JOB_NOT_KEPT, job="", reason=loaded.err_value)
        else:
            for reason in loaded.ok_value.unreadable:
                events.emit(events.JOB_NOT_KEPT, job="", reason=reason)
            for job in loaded.ok_value.jobs:
                self._start_creating(job)
        self._loading = False

    async def store(self, job: LocalJob) -> bool:
        """Write a job to the disk; return whether its creation in the store is guaranteed."""
        while job.job_id in self._writing:
            # The same job was resent through another entry; two threads must not write one file
            # concurrently.
            await self._deps.clock.sleep(WRITE_POLL_MS)
        if self._refusing:
            return False
        if job.job_id in self._creating:
            return True
        folder = self._deps.folder
        self._writing.add(job.job_id)
        try:
            written = await self._deps.in_thread(lambda: job_files.write(folder, job))
        finally:
            self._writing.discard(job.job_id)
        if isinstance(written, Err):
            events.emit(events.JOB_NOT_KEPT, job=job.job_id, reason=written.err_value)
            return False
        events.emit(events.JOB_KEPT, job=job.job_id, bytes=len(job.value))
        self._start_creating(job)
        record = read_record(job.value)
        if job.job_id in self._creating and isinstance(record, Ok):
            self._deps.held(job.job_id, record.ok_value)
        return True

    def stop_accepting(self) -> None:
        """Reject further jobs, because this machine's disk will be removed."""
        self._refusing = True

    def close(self) -> None:
        """Stop creating jobs; their files remain on the disk."""
        for task in list(self._creating.values()):
            task.cancel()

    def _start_creating(self, job: LocalJob) -> None:
        if job.job_id in self._creating:
            return
        create = partial(self._create, job)
        task = run_always(self._deps.clock, "locally stored job", create)
        if task.called:
            return
        self._creating[job.job_id] = task

    async def _create(self, job: LocalJob) -> None:
        """Create the job in the store, retrying without limit, and remove its file."""
        pauses = Backoff(self._deps.rand, self._deps.longest_pause_ms)
        reason = self._drop_reason(job)
        while not reason:
            if await self._is_created(job):
                reason = "job is in the store"
                break
            await self._deps.clock.sleep(pauses.next_ms())
            reason = self._drop_reason(job)
        events.emit(events.KEPT_JOB_ENDED, job=job.job_id, reason=reason)
        folder = self._deps.folder
        removed: Result[None, str] = await self._deps.in_thread(
            lambda: job_files.remove(folder, job.job_id)
        )
        if isinstance(removed, Err):
            events.emit(events.JOB_NOT_KEPT, job=job.job_id, reason=removed.err_value)
        self._creating.pop(job.job_id, None)

    async def _is_created(self, job: LocalJob) -> bool:
        settling = SettleDeps(self._deps.store, self._deps.clock, self._deps.rand)
        due_ms = self._deps.clock.now() + ATTEMPT_MS
        created = await create_settled(settling, job_key(job.job_id), job.value, due_ms)
        if isinstance(created, Ok) or created == Err(StoreError.CONFLICT):
            return True
        if created == Err(StoreError.TOO_LARGE):
            events.emit(events.JOB_NOT_KEPT, job=job.job_id, reason="too large for the store")
        if created != Err(StoreError.LOST):
            return False
        return isinstance(await self._deps.store.get(job_key(job.job_id)), Ok)

    def _drop_reason(self, job: LocalJob) -> str:
        """Return the reason why a job must not be created any more, or an empty string."""
        record = read_record(job.value)
        if isinstance(record, Err):
            return record.err_value
        age_ms = self._deps.clock.wall() - record.ok_value.accepted_ms
        return "too old" if age_ms > self._deps.keep_s * MS_PER_S else ""
