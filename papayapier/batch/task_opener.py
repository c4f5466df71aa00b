"""Open tasks shortly before their items are needed, within the memory limit."""

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err

from papayapier import events
from papayapier.batch import background
from papayapier.batch.active_jobs import ActiveJob, OpenTask
from papayapier.batch.records import MAX_CHUNK_BYTES
from papayapier.batch.task_input import Grant, ReadError, Unreadable, open_task
from papayapier.store.api import StoreError
from papayapier.store.watch import Backoff

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.config.profiles import Profile

AHEAD_FACTOR: Final = 2
MIN_AHEAD_ITEMS: Final = 16
UNREADABLE_PAUSE_MS: Final = 30_000


class InputCapacity(NamedTuple):
    """Limit the bytes of input to be opened: the share of one upstream, and the total."""

    share: int
    total: int


class TaskOpener:
    """Open pending tasks of jobs; a task that cannot be opened now stays pending."""

    def __init__(
        self,
        deps: "BatchDeps",
        grant: Callable[[ActiveJob, int], Grant | None],
        profile_of: "Callable[[ActiveJob], Profile]",
        on_opened: Callable[[OpenTask], None],
        submit_soon: Callable[[], None],
    ) -> None:
        self._deps = deps
        self._grant = grant
        self._profile_of = profile_of
        self._on_opened = on_opened
        self._submit_soon = submit_soon
        self._pauses = Backoff(deps.rand)

    def open_ahead(
        self, jobs: list[ActiveJob], limits: dict[str, int], min_items: int, capacity: InputCapacity
    ) -> None:
        """Open the next tasks of an upstream before a caller's open tasks have no unsent items.

        At least min_items items of each caller are opened ahead, so that items can still be
        sent for a while when the store does not answer; for ordinary tasks this costs no
        write.

        Each caller is considered separately. Otherwise the tasks of a caller with urgent jobs
        would count as enough for all, and the other callers' shares of the capacity would stay
        unused.
        """
        ahead: Counter[str] = Counter()
        for job in jobs:
            ahead[job.record.caller] += _unsent_count(job)
        for job in jobs:
            caller = job.record.caller
            target = max(MIN_AHEAD_ITEMS, AHEAD_FACTOR * limits[caller], min_items)
            if ahead[caller] >= target:
                continue
            for task in [task for task in job.pending if self._may_open(job, task)]:
                available_bytes = capacity.share if ahead[caller] else capacity.total
                if ahead[caller] >= target or available_bytes < MAX_CHUNK_BYTES:
                    break
                ahead[caller] += job.spans[task].size()
                capacity = InputCapacity(
                    capacity.share - MAX_CHUNK_BYTES, capacity.total - MAX_CHUNK_BYTES
                )
                self._open_soon(job, task)

    def _open_soon(self, job: ActiveJob, task: int) -> None:
        job.pending.remove(task)
        job.opening.add(task)
        on_failure = partial(self._put_back_later, job, task, UNREADABLE_PAUSE_MS)
        background.start(self._open(job, task), f"opening of task {task}", on_failure)

    def _may_open(self, job: ActiveJob, task: int) -> bool:
        """Return whether a task's lease is held; an unconfirmed lease leaves the task pending."""
        return self._grant(job, job.shards[task]) is not None

    async def _open(self, job: ActiveJob, task: int) -> None:
        grant = self._grant(job, job.shards[task])
        if grant is None:
            job.opening.discard(task)
            job.pending.appendleft(task)
            return
        idempotent = self._profile_of(job).idempotent
        opened = await open_task(self._deps, job, task, grant, idempotent)
        if isinstance(opened, Err):
            self._on_open_failed(job, task, opened.err_value)
            return
        self._pauses.reset()
        if task not in job.opening:
            return
        job.opening.discard(task)
        if task in job.recorded:
            return
        # The lease may have changed hands in the meantime, and the data that was read may be
        # outdated.
        if self._grant(job, grant.shard) != grant:
            job.pending.appendleft(task)
            self._submit_soon()
            return
        self._on_opened(opened.ok_value)

    def _on_open_failed(self, job: ActiveJob, task: int, error: ReadError) -> None:
        pause: float = UNREADABLE_PAUSE_MS
        if isinstance(error, StoreError):
            pause = self._pauses.next_ms()
        elif isinstance(error, Unreadable):
            events.emit(events.INPUT_MISSING, key=error.key, reason=error.reason)

        self._put_back_later(job, task, pause)

    def _put_back_later(self, job: ActiveJob, task: int, pause: float) -> None:
        self._deps.clock.call_later(pause, partial(self._put_back, job, task))

    def _put_back(self, job: ActiveJob, task: int) -> None:
        if task in job.opening:
            job.opening.discard(task)
            job.pending.appendleft(task)
            self._submit_soon()


def input_bytes(jobs: Iterable[ActiveJob]) -> int:
    """Return the input size of jobs' open tasks, with an upper bound for those being opened."""
    total = 0
    for job in jobs:
        total += len(job.opening) * MAX_CHUNK_BYTES
        total += sum(task.input_bytes for task in job.open.values())
    return total


def _unsent_count(job: ActiveJob) -> int:
    opening = sum(job.spans[task].size() for task in job.opening)
    states = [task.state for task in job.open.values()]
    return opening + sum(state.startable_count() + state.unintended_count() for state in states)
