"""Store the state of open tasks: checkpoints, spilled parts and final results.

A task has at most one write in progress, and the same bytes are written again until the store
has accepted or rejected them. This resolves lost replies: a new value written on top of an
unknown version would conflict with the task's own earlier write.

While the store does not answer, the writes wait here. Only a few at a time are retried, after
growing random pauses, so that the store is not overloaded when it recovers.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import DeferredSemaphore

from papayapier import codec, events
from papayapier.batch import background, keys, store_access
from papayapier.batch.active_jobs import OpenTask
from papayapier.batch.records import SPILL_THRESHOLD_BYTES, JobState, Tally
from papayapier.invariants import Invariant, check_invariant
from papayapier.store.api import StoreError
from papayapier.store.watch import Backoff

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

MAX_CONCURRENT_SAVES: Final = 4
FIRST_CHECKPOINT_MS: Final = 15_000
MAX_CHECKPOINT_MS: Final = 300_000


class CommitCallbacks(NamedTuple):
    """Group the callbacks of commits to the runner.

    may_commit returns whether the lease of a shard is held now. task_saved reports that items
    may have become startable; task_recorded that a task's results are stored; task_handed_over
    that a task being handed over has nothing left to store; task_superseded that another
    holder has the task.
    """

    may_commit: Callable[[int], bool]
    task_saved: Callable[[OpenTask], None]
    task_recorded: Callable[[OpenTask, Tally], None]
    task_handed_over: Callable[[OpenTask], None]
    task_superseded: Callable[[OpenTask], None]


class TaskCommitter:
    """Store the progress and results of open tasks."""

    def __init__(self, deps: "BatchDeps", holder: str, callbacks: CommitCallbacks) -> None:
        self._deps = deps
        self._holder = holder
        self._callbacks = callbacks
        self._writes = 0
        self._slots = DeferredSemaphore(MAX_CONCURRENT_SAVES)
        self._delayed = False

    def on_opened(self, task: OpenTask) -> None:
        """Schedule the first checkpoint of a new task."""
        self._set_next_checkpoint(task)

    def request_save(self, task: OpenTask) -> None:
        """Start storing what the task has to store, unless that is in progress."""
        if not task.saving and self._has_pending_write(task):
            task.saving = True
            background.start(self._run(task), f"saves of {_describe(task)}")

    async def _run(self, task: OpenTask) -> None:
        try:
            while self._has_pending_write(task):
                await self._slots.acquire()
                try:
                    await self._store_next(task)
                finally:
                    self._slots.release()
        finally:
            task.saving = False

    def _has_pending_write(self, task: OpenTask) -> bool:
        if not self._may_write(task):
            return False
        state = task.state
        if state.remaining() == 0 or state.must_save() or _must_spill(task):
            return True
        if task.stopping and not task.running:
            return True
        return state.has_unstored_results() and self._deps.clock.now() >= task.next_checkpoint_ms

    def _may_write(self, task: OpenTask) -> bool:
        running = task.job.record.state is JobState.RUNNING
        return not task.closed and running and self._callbacks.may_commit(task.shard)

    async def _store_next(self, task: OpenTask) -> None:
        if not self._has_pending_write(task):
            return
        if _must_spill(task):
            await self._store_spill(task)
        elif task.state.remaining() == 0:
            await self._store_results(task)
        elif task.stopping and not task.running:
            await self._finish_hand_over(task)
        else:
            await self._store_checkpoint(task, withdraw=False)

    async def _finish_hand_over(self, task: OpenTask) -> None:
        """Store the progress for the next holder, without intents that were not sent."""
        if task.state.has_unstored_state() and not await self._store_checkpoint(
            task, withdraw=True
        ):
            return
        self._callbacks.task_handed_over(task)

    async def _store_checkpoint(self, task: OpenTask, withdraw: bool) -> bool:
        checkpoint = task.state.snapshot(self._next_writer(), task.fence, withdraw)
        value = codec.pack(checkpoint)
        key = keys.progress_key(task.job.record.job_id, task.span.task)
        written = await self._write_until_settled(task, key, value, task.version)
        if isinstance(written, Err):
            self._on_conflict(task, written.err_value)
            return False
        task.version = written.ok_value
        task.state.on_saved(written.ok_value)
        self._set_next_checkpoint(task)
        self._callbacks.task_saved(task)
        return True

    def _set_next_checkpoint(self, task: OpenTask) -> None:
        """Double the time to the next checkpoint.

        At most about half of a task's completed items then have to be repeated after a loss,
        and a task that takes an hour costs a few writes instead of hundreds.
        """
        interval_ms = task.checkpoint_interval_ms * 2 or FIRST_CHECKPOINT_MS
        task.checkpoint_interval_ms = min(MAX_CHECKPOINT_MS, interval_ms)
        task.next_checkpoint_ms = self._deps.clock.now() + task.checkpoint_interval_ms

    async def _store_spill(self, task: OpenTask) -> None:
        task.spill_wanted = False
        results = task.state.take_results()
        writer = self._next_writer().replace("/", ".")
        key = keys.spill_key(task.job.record.job_id, task.span.task, writer)
        written = await self._write_until_settled(task, key, codec.pack(results), 0)
        if isinstance(written, Err):
            self._on_conflict(task, written.err_value)
            return
        task.state.on_spilled(key)

    async def _store_results(self, task: OpenTask) -> None:
        job_id = task.job.record.job_id
        final = task.state.final_results(self._next_writer(), task.fence)
        key = keys.results_key(job_id, task.span.task)
        written = await self._write_until_settled(task, key, codec.pack(final), 0)
        if isinstance(written, Err):
            self._on_conflict(task, written.err_value)
            return
        self._callbacks.task_recorded(task, final.tally)

    def _on_conflict(self, task: OpenTask, error: StoreError) -> None:
        if task.closed:
            return
        if error is StoreError.CONFLICT:
            events.emit(events.TASK_SUPERSEDED, job=task.job.record.job_id, task=task.span.task)
        self._callbacks.task_superseded(task)

    async def _write_until_settled(
        self, task: OpenTask, key: str, value: bytes, version: int
    ) -> Result[int, StoreError]:
        """Repeat the same write until the store accepts or rejects it, or the task is dropped."""
        pauses = Backoff(self._deps.rand)
        maybe_stored = False
        while True:
            if not self._may_write(task):
                if task.closed or task.job.record.state is not JobState.RUNNING:
                    return Err(StoreError.LOST)
                await self._deps.clock.sleep(pauses.next_ms())
                continue
            self._check_cancel(task)
            written = await store_access.retry_safe_write(
                self._deps, key, value, version, maybe_stored
            )
            if isinstance(written, Ok) or written.err_value not in store_access.RETRYABLE_ERRORS:
                self._report_delay(delayed=False)
                return written
            maybe_stored = maybe_stored or written.err_value is StoreError.LOST
            self._report_delay(delayed=True)
            await self._deps.clock.sleep(pauses.next_ms())

    def _check_cancel(self, task: OpenTask) -> None:
        check_invariant(
            task.job.record.state is JobState.RUNNING,
            Invariant.CANCEL_STOPS,
            job=task.job.record.job_id,
        )

    def _report_delay(self, delayed: bool) -> None:
        if delayed and not self._delayed:
            events.emit(events.COMMIT_DELAYED)
        self._delayed = delayed

    def _next_writer(self) -> str:
        self._writes += 1
        return f"{self._holder}/{self._writes}"


def _must_spill(task: OpenTask) -> bool:
    buffered = task.state.result_bytes
    return buffered > SPILL_THRESHOLD_BYTES or (task.spill_wanted and buffered > 0)


def _describe(task: OpenTask) -> str:
    return f"task {task.span.task} of {task.job.record.job_id}"
