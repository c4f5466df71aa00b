"""Pass items of open tasks to the dispatch, in the order of their jobs' urgency.

Items are passed in small slices and the event loop runs between them, so that batch jobs delay
an online request by at most one slice. The bytes of all open tasks together are bounded: while
the store accepts no results, items continue to run until the bound is reached, and then wait.
"""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.batch.active_jobs import ActiveJob, OpenTask
from papayapier.batch.fair_scheduling import (
    EXHAUSTED_REFRESH_MS,
    FairScheduler,
    ItemRates,
    caller_limits,
)
from papayapier.batch.records import MAX_CHUNK_BYTES
from papayapier.batch.task_opener import InputCapacity, input_bytes

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.clock import Timer
    from papayapier.config.profiles import Profile

ITEMS_PER_SLICE: Final = 8
PREFETCH_MS: Final = 60_000
MIN_INTENTS: Final = 8
MAX_INTENTS: Final = 64


class SubmitterCallbacks(NamedTuple):
    """Group the functions of the runner's other components.

    request_save starts the storing of a task.
    """

    profile_of: "Callable[[ActiveJob], Profile]"
    may_send: Callable[[OpenTask], bool]
    send: "Callable[[OpenTask, int, Profile], None]"
    request_save: Callable[[OpenTask], None]
    open_ahead: Callable[[list[ActiveJob], dict[str, int], int, InputCapacity], None]


class ItemSubmitter:
    """Keep the dispatch supplied with items."""

    def __init__(
        self,
        deps: "BatchDeps",
        jobs: dict[str, ActiveJob],
        scheduler: FairScheduler,
        rates: ItemRates,
        callbacks: SubmitterCallbacks,
    ) -> None:
        self._deps = deps
        self._jobs = jobs
        self._scheduler = scheduler
        self._rates = rates
        self._callbacks = callbacks
        self._timer: Timer | None = None
        self._stopped = False

    def stop(self) -> None:
        """Pass no more items to the dispatch."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def submit_soon(self) -> None:
        """Pass items to the dispatch in the next iteration of the event loop."""
        if self._timer is None and not self._stopped and self._jobs:
            self._timer = self._deps.clock.call_later(0, self._submit)

    def _submit(self) -> None:
        self._timer = None
        has_more = False
        for upstream, jobs in self._scheduler.candidates(self._jobs.values()).items():
            has_more = self._submit_slice(upstream, jobs) or has_more
        if has_more:
            self.submit_soon()
        elif self._scheduler.is_exhausted(self._jobs.values()):
            self._timer = self._deps.clock.call_later(EXHAUSTED_REFRESH_MS, self._submit)

    def _submit_slice(self, upstream: str, jobs: list[ActiveJob]) -> bool:
        """Pass one slice of an upstream's items; return whether to continue at once."""
        free_slots = self._deps.dispatch.free_slots(upstream)
        slots_left = min(free_slots, ITEMS_PER_SLICE)
        if self.buffered_bytes() >= self._memory_limit():
            slots_left = 0
            self._free_memory()
        running = sum(job.in_flight() for job in jobs)
        limits = caller_limits(jobs, free_slots + running)
        in_flight_counts: Counter[str] = Counter()
        for job in jobs:
            in_flight_counts[job.record.caller] += job.in_flight()
        for job in jobs:
            caller = job.record.caller
            sent = self._send_job_items(
                job, min(slots_left, limits[caller] - in_flight_counts[caller]), free_slots
            )
            in_flight_counts[caller] += sent
            slots_left -= sent
        for job in jobs:
            if slots_left == 0:
                break
            slots_left -= self._send_job_items(job, slots_left, free_slots)
        ahead = self._rates.rate(upstream) * PREFETCH_MS / max(1, len(limits))
        self._callbacks.open_ahead(jobs, limits, int(ahead), self._input_capacity(jobs))
        return slots_left == 0 and free_slots > ITEMS_PER_SLICE

    def _input_capacity(self, jobs: list[ActiveJob]) -> InputCapacity:
        """Return how many bytes of input may still be opened for an upstream's jobs.

        Input may use half of the memory, in equal shares for all upstreams, because the tasks
        of a stalled upstream keep their input. The other half is for results, except that the
        first task of a caller without open tasks may use it.
        """
        upstreams = max(1, self._scheduler.upstream_count())
        share = max(MAX_CHUNK_BYTES, self._memory_limit() // 2 // upstreams)
        return InputCapacity(share - input_bytes(jobs), self._memory_limit() - self.input_bytes())

    def _free_memory(self) -> None:
        """Store the results of the largest task although the task is unfinished.

        Otherwise results of unfinished tasks could fill the memory, and no task could run to
        its end.
        """
        tasks = [task for job in self._scheduler.candidate_jobs() for task in job.open.values()]
        largest = max(tasks, key=lambda task: task.state.result_bytes, default=None)
        if largest is not None and not any(task.spill_wanted for task in tasks):
            largest.spill_wanted = True
            self._callbacks.request_save(largest)

    def _send_job_items(self, job: ActiveJob, max_items: int, free_slots: int) -> int:
        profile = self._callbacks.profile_of(job)
        sent = 0
        for task in list(job.open.values()):
            if task.state.rules.idempotent and not profile.idempotent:
                self._reopen(task)
            sent += self._send_task_items(task, max_items - sent, profile)
            self._intend_items(task, free_slots)
        return sent

    def _reopen(self, task: OpenTask) -> None:
        """Stop a task whose items must no longer be repeated, to reopen it under that rule."""
        if not task.stopping:
            task.stopping = True
            task.reopen = True
            self._callbacks.request_save(task)

    def _send_task_items(self, task: OpenTask, max_items: int, profile: "Profile") -> int:
        sent = 0
        while sent < max_items and self._callbacks.may_send(task):
            item = task.state.take_item()
            if item is None:
                break
            self._callbacks.send(task, item, profile)
            sent += 1
        return sent

    def _intend_items(self, task: OpenTask, free_slots: int) -> None:
        """Choose the next intents, and store them, shortly before they are needed.

        Items that are intended but not sent end as unknown if the instance is lost, so the
        number of intents is limited to what the present capacity can run.
        """
        running = len(task.running)
        if free_slots == 0 or task.stopping or task.state.startable_count() > running // 2:
            return
        max_items = max(MIN_INTENTS, min(MAX_INTENTS, free_slots + running))
        if task.state.intend(max_items):
            self._callbacks.request_save(task)

    def buffered_bytes(self) -> int:
        """Return the size of all data that open tasks keep in memory."""
        tasks = [task for job in self._scheduler.candidate_jobs() for task in job.open.values()]
        return self.input_bytes() + sum(task.state.result_bytes for task in tasks)

    def input_bytes(self) -> int:
        """Return the size of all open tasks' input, and an upper bound for those being opened."""
        return input_bytes(self._scheduler.candidate_jobs())

    def _memory_limit(self) -> int:
        return self._deps.cfg.result_buffer_bytes
