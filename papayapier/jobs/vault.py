"""Hold jobs that were accepted while the store was away, until they are in the store.

Several keepers hold each such job. Every one of them creates it as soon as it reaches the store;
the first succeeds, the others find it there and drop their copies. So no holder needs to know
whether another lives, and a job is created once, however many of them do it.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.jobs import kept_files
from papayapier.jobs.kept_files import KeptJob
from papayapier.jobs.records import JobRecord, job_key, read_record
from papayapier.store.api import Store, StoreError
from papayapier.store.watch import Pauses, report_failure
from papayapier.store.writes import Settling, create_settled

T = TypeVar("T")

# One try to create a job; the next one begins after a pause.
TRY_MS: Final = 2_000
WRITING_LOOK_MS: Final = 10


class VaultDeps(NamedTuple):
    """Group what a vault works with.

    in_thread runs a call that blocks. held is told of each job that comes to be held, to run it
    while the store is still away; not of those that an earlier run has left, since only the store
    knows what has become of them. A job is dropped keep_s after its submission: whoever else held
    it has created it by then, and its results may have been read and deleted.
    """

    clock: Clock
    rand: random.Random
    store: Store
    folder: str
    keep_s: int
    longest_pause_ms: int
    in_thread: Callable[[Callable[[], Any]], Awaitable[Any]]
    held: Callable[[str, JobRecord], None]


class Vault:
    """Own the jobs on this keeper's disk."""

    def __init__(self, deps: VaultDeps) -> None:
        self._deps = deps
        self._held: dict[str, Deferred[None]] = {}
        self._writing: set[str] = set()
        self._loading = True
        self._refusing = False

    def pending(self) -> int:
        """Return how many jobs are held here and may not be in the store."""
        return len(self._held) + self._loading

    async def start(self) -> None:
        """Take up what an earlier run of this keeper held."""
        folder = self._deps.folder
        loaded = await self._deps.in_thread(lambda: kept_files.load(folder))
        if isinstance(loaded, Err):
            events.emit(events.JOB_NOT_KEPT, job="", reason=loaded.err_value)
        else:
            for reason in loaded.ok_value.odd:
                events.emit(events.JOB_NOT_KEPT, job="", reason=reason)
            for job in loaded.ok_value.jobs:
                self._hold(job)
        self._loading = False

    async def keep(self, job: KeptJob) -> bool:
        """Put a job on the disk; True says that it will be in the store, whatever happens here."""
        while job.job_id in self._writing:
            # A repeat of the job through another entry; two threads would mix their bytes.
            await self._deps.clock.sleep(WRITING_LOOK_MS)
        if self._refusing:
            return False
        if job.job_id in self._held:
            return True
        folder = self._deps.folder
        self._writing.add(job.job_id)
        try:
            written = await self._deps.in_thread(lambda: kept_files.write(folder, job))
        finally:
            self._writing.discard(job.job_id)
        if isinstance(written, Err):
            events.emit(events.JOB_NOT_KEPT, job=job.job_id, reason=written.err_value)
            return False
        events.emit(events.JOB_KEPT, job=job.job_id, bytes=len(job.value))
        self._hold(job)
        record = read_record(job.value)
        if job.job_id in self._held and isinstance(record, Ok):
            self._deps.held(job.job_id, record.ok_value)
        return True

    def refuse(self) -> None:
        """Take no job any more: this machine's disk will be removed."""
        self._refusing = True

    def close(self) -> None:
        """Stop; the files stay."""
        for task in list(self._held.values()):
            task.cancel()

    def _hold(self, job: KeptJob) -> None:
        if job.job_id in self._held:
            return
        task = Deferred.fromCoroutine(self._create(job))
        task.addErrback(report_failure, "kept job")
        if task.called:
            return
        self._held[job.job_id] = task

    async def _create(self, job: KeptJob) -> None:
        """Create the job in the store, however long that takes, and remove its file."""
        pauses = Pauses(self._deps.rand, self._deps.longest_pause_ms)
        reason = self._why_dropped(job)
        while not reason:
            if await self._is_created(job):
                reason = "it is in the store"
                break
            await self._deps.clock.sleep(pauses.next_ms())
            reason = self._why_dropped(job)
        events.emit(events.KEPT_JOB_ENDED, job=job.job_id, reason=reason)
        folder = self._deps.folder
        removed: Result[None, str] = await self._deps.in_thread(
            lambda: kept_files.remove(folder, job.job_id)
        )
        if isinstance(removed, Err):
            events.emit(events.JOB_NOT_KEPT, job=job.job_id, reason=removed.err_value)
        self._held.pop(job.job_id, None)

    async def _is_created(self, job: KeptJob) -> bool:
        settling = Settling(self._deps.store, self._deps.clock, self._deps.rand)
        due_ms = self._deps.clock.now() + TRY_MS
        done = await create_settled(settling, job_key(job.job_id), job.value, due_ms)
        if isinstance(done, Ok) or done == Err(StoreError.CONFLICT):
            return True
        if done != Err(StoreError.LOST):
            return False
        return isinstance(await self._deps.store.get(job_key(job.job_id)), Ok)

    def _why_dropped(self, job: KeptJob) -> str:
        """Return why a job is not created any more, or nothing."""
        record = read_record(job.value)
        if isinstance(record, Err):
            return record.err_value
        age_ms = self._deps.clock.wall() - record.ok_value.accepted_ms
        return "too old" if age_ms > self._deps.keep_s * MS_PER_S else ""
