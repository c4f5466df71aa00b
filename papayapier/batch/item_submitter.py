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
    caller_caps,
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
    """Group the functions of the runner's other components; kick starts the storing of a task."""

    profile_of: "Callable[[ActiveJob], Profile]"
    may_send: Callable[[OpenTask], bool]
    send: "Callable[[OpenTask, int, Profile], None]"
    kick: Callable[[OpenTask], None]
    open_ahead: Callable[[list[ActiveJob], dict[str, int], int, InputCapacity], None]


class ItemSubmitter:
    """Keep the dispatch supplied with items."""

    def __init__(
        self,
        deps: "BatchDeps",
        jobs: dict[str, ActiveJob],
        turns: FairScheduler,
        rates: ItemRates,
        calls: SubmitterCallbacks,
    ) -> None:
        self._deps = deps
        self._jobs = jobs
        self._turns = turns
        self._rates = rates
        self._calls = calls
        self._timer: Timer | None = None
        self._stopped = False

    def stop(self) -> None:
        """Pass no more items to the dispatch."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def feed_soon(self) -> None:
        """Pass items to the dispatch in the next iteration of the event loop."""
        if self._timer is None and not self._stopped and self._jobs:
            self._timer = self._deps.clock.call_later(0, self._feed)

    def _feed(self) -> None:
        self._timer = None
        more = False
        for upstream, jobs in self._turns.served(self._jobs.values()).items():
            more = self._serve(upstream, jobs) or more
        if more:
            self.feed_soon()
        elif self._turns.dry(self._jobs.values()):
            self._timer = self._deps.clock.call_later(EXHAUSTED_REFRESH_MS, self._feed)

    def _serve(self, upstream: str, jobs: list[ActiveJob]) -> bool:
        """Pass one slice of an upstream's items; return whether to continue at once."""
        room = self._deps.dispatch.room(upstream)
        left = min(room, ITEMS_PER_SLICE)
        if self.bytes_held() >= self._limit():
            left = 0
            self._make_room()
        running = sum(job.in_flight() for job in jobs)
        caps = caller_caps(jobs, room + running)
        flying: Counter[str] = Counter()
        for job in jobs:
            flying[job.record.caller] += job.in_flight()
        for job in jobs:
            caller = job.record.caller
            sent = self._send_of(job, min(left, caps[caller] - flying[caller]), room)
            flying[caller] += sent
            left -= sent
        for job in jobs:
            if left == 0:
                break
            left -= self._send_of(job, left, room)
        ahead = self._rates.rate(upstream) * PREFETCH_MS / max(1, len(caps))
        self._calls.open_ahead(jobs, caps, int(ahead), self._input_room(jobs))
        return left == 0 and room > ITEMS_PER_SLICE

    def _input_room(self, jobs: list[ActiveJob]) -> InputCapacity:
        """Return how many bytes of input may still be opened for an upstream's jobs.

        Input may use half of the memory, in equal shares for all upstreams, because the tasks
        of a stalled upstream keep their input. The other half is for results, except that the
        first task of a caller without open tasks may use it.
        """
        upstreams = max(1, self._turns.upstreams())
        share = max(MAX_CHUNK_BYTES, self._limit() // 2 // upstreams)
        return InputCapacity(share - input_bytes(jobs), self._limit() - self.input_bytes())

    def _make_room(self) -> None:
        """Store the results of the largest task although the task is unfinished.

        Otherwise results of unfinished tasks could fill the memory, and no task could run to
        its end.
        """
        tasks = [task for job in self._turns.busy() for task in job.open.values()]
        largest = max(tasks, key=lambda task: task.state.held_bytes, default=None)
        if largest is not None and not any(task.spill_wanted for task in tasks):
            largest.spill_wanted = True
            self._calls.kick(largest)

    def _send_of(self, job: ActiveJob, most: int, room: int) -> int:
        profile = self._calls.profile_of(job)
        sent = 0
        for task in list(job.open.values()):
            if task.state.rules.idempotent and not profile.idempotent:
                self._reopen(task)
            sent += self._send_some(task, most - sent, profile)
            self._intend_some(task, room)
        return sent

    def _reopen(self, task: OpenTask) -> None:
        """Stop a task whose items must no longer be repeated, and open it again under that
        rule.
        """
        if not task.stopping:
            task.stopping = True
            task.reopen = True
            self._calls.kick(task)

    def _send_some(self, task: OpenTask, most: int, profile: "Profile") -> int:
        sent = 0
        while sent < most and self._calls.may_send(task):
            item = task.state.take()
            if item is None:
                break
            self._calls.send(task, item, profile)
            sent += 1
        return sent

    def _intend_some(self, task: OpenTask, room: int) -> None:
        """Store the next intents shortly before they are needed.

        Items that are intended but not sent end as unknown if the instance is lost, so the
        number of intents is limited to what the present capacity can run.
        """
        running = len(task.running)
        if room == 0 or task.stopping or task.state.startable() > running // 2:
            return
        most = max(MIN_INTENTS, min(MAX_INTENTS, room + running))
        if task.state.intend(most):
            self._calls.kick(task)

    def bytes_held(self) -> int:
        """Return the size of all data that open tasks keep in memory."""
        tasks = [task for job in self._turns.busy() for task in job.open.values()]
        return self.input_bytes() + sum(task.state.held_bytes for task in tasks)

    def input_bytes(self) -> int:
        """Return the size of all open tasks' input, and an upper bound for those being opened."""
        return input_bytes(self._turns.busy())

    def _limit(self) -> int:
        return self._deps.cfg.result_buffer_bytes
