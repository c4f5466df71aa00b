"""Hold the active jobs and open tasks of one instance."""

from collections import deque
from typing import TYPE_CHECKING

from papayapier.batch.records import InputItem, JobRecord, JobState, Tally
from papayapier.batch.task_state import TaskState
from papayapier.batch.tasks import TaskSpan, home_shard, shard_of, split_tasks

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class ItemRun:
    """Track one item from the dispatch to its outcome.

    maybe_sent is set when the dispatch checks whether the item may be sent to a replica. Until
    then, the item provably has not run.
    """

    __slots__ = ("deferred", "maybe_sent")

    def __init__(self) -> None:
        self.deferred: Deferred[None] | None = None
        self.maybe_sent = False


class OpenTask:
    """Hold one task that this instance runs."""

    __slots__ = (
        "checkpoint_interval_ms",
        "closed",
        "fence",
        "input_bytes",
        "items",
        "job",
        "next_checkpoint_ms",
        "reopen",
        "running",
        "saving",
        "shard",
        "span",
        "spill_wanted",
        "state",
        "stopping",
        "version",
    )

    def __init__(
        self,
        job: "ActiveJob",
        span: TaskSpan,
        shard: int,
        fence: int,
        items: list[InputItem],
        state: TaskState,
        version: int,
    ) -> None:
        self.job = job
        self.span = span
        self.shard = shard
        self.fence = fence
        self.items = items
        self.state = state
        self.version = version
        self.input_bytes = sum(len(item.body) + len(item.custom_id) for item in items)
        self.running: dict[int, ItemRun] = {}
        self.saving = False
        self.next_checkpoint_ms = 0
        self.checkpoint_interval_ms = 0
        self.stopping = False
        self.spill_wanted = False
        self.reopen = False
        self.closed = False


class ActiveJob:
    """Hold one active job and those of its tasks that this instance runs."""

    __slots__ = (
        "adopted",
        "at_risk",
        "cautious_shards",
        "first_seen_ms",
        "home",
        "next_check_ms",
        "next_list_ms",
        "open",
        "opening",
        "pending",
        "record",
        "recorded",
        "shards",
        "spans",
        "tallies",
        "version",
    )

    def __init__(self, record: JobRecord, version: int, shard_count: int, now: int) -> None:
        self.record = record
        self.version = version
        self.spans = split_tasks(record.chunks, record.task_items)
        self.shards = [shard_of(record.job_id, span.task, shard_count) for span in self.spans]
        self.home = home_shard(record.job_id, shard_count)
        self.pending: deque[int] = deque()
        self.open: dict[int, OpenTask] = {}
        self.opening: set[int] = set()
        self.recorded: set[int] = set()
        self.tallies: dict[int, Tally] = {}
        self.next_list_ms = 0
        self.first_seen_ms = now
        self.next_check_ms = now
        self.at_risk = False
        self.cautious_shards: set[int] = set()
        self.adopted: set[int] = set()

    def is_running(self) -> bool:
        """Return whether items of the job may be started."""
        return self.record.state is JobState.RUNNING

    def tasks_of(self, shard: int) -> list[int]:
        """Return the unfinished tasks of a shard."""
        return [
            task
            for task, task_shard in enumerate(self.shards)
            if task_shard == shard and task not in self.recorded
        ]

    def adopt(self, shard: int) -> None:
        """Add the unfinished tasks of a shard to the pending tasks."""
        self.adopted.add(shard)
        known = self.opening.union(self.open, self.pending)
        self.pending.extend(task for task in self.tasks_of(shard) if task not in known)

    def drop_pending(self, shard: int) -> None:
        """Drop the pending tasks of a shard."""
        self.adopted.discard(shard)
        self.pending = deque(task for task in self.pending if self.shards[task] != shard)
        self.opening = {task for task in self.opening if self.shards[task] != shard}

    def on_recorded(self, task: int, tally: Tally | None) -> None:
        """Record that a task's results are stored."""
        self.recorded.add(task)
        if task in self.pending:
            self.pending.remove(task)
        if tally is not None:
            self.tallies[task] = tally

    def has_unsent(self) -> bool:
        """Return whether items of the job could be sent now or after opening a task."""
        return bool(self.pending) or any(
            task.state.startable_count() for task in self.open.values()
        )

    def items_left(self) -> int:
        """Return how many items this instance still has to run."""
        waiting = sum(self.spans[task].size() for task in self.pending)
        waiting += sum(self.spans[task].size() for task in self.opening)
        return waiting + sum(task.state.remaining() for task in self.open.values())

    def items_done(self) -> int:
        """Return how many items of the whole job are known to have ended."""
        recorded_items = sum(self.spans[task].size() for task in self.recorded)
        return recorded_items + sum(len(task.state.ended) for task in self.open.values())

    def in_flight(self) -> int:
        """Return how many items are running on this instance."""
        return sum(len(task.running) for task in self.open.values())

    def all_recorded(self) -> bool:
        """Return whether the results of every task are recorded."""
        return len(self.recorded) == len(self.spans)
