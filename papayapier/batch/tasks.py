"""Split a job into tasks, the units of ownership, execution and recording.

A task is a range of items inside one chunk of the input. Large tasks need few writes. Small
tasks spread a small job over all instances, and keep each checkpoint write small when items
must not be repeated. The size is therefore chosen per job, at acceptance.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

import xxhash

MIN_TASK_ITEMS: Final = 50
MAX_INSTANCES: Final = 16
TASKS_PER_INSTANCE: Final = 2
MAX_NON_IDEMPOTENT_TASK_ITEMS: Final = 100


class TaskSpan(NamedTuple):
    """Locate a task in its job's input: items start to stop - 1 of a chunk."""

    task: int
    chunk: int
    start: int
    stop: int

    def size(self) -> int:
        """Return the number of items."""
        return self.stop - self.start


def choose_task_items(items: int, chunk_items: int, instances: int, idempotent: bool) -> int:
    """Choose the maximum number of items of a new job's tasks."""
    instance_count = min(MAX_INSTANCES, max(1, instances))
    size = chunk_items
    if items < instance_count * chunk_items:
        # Tasks of complete chunks would be too few for all instances.
        size = max(MIN_TASK_ITEMS, -(-items // (TASKS_PER_INSTANCE * instance_count)))
    if not idempotent:
        size = min(size, MAX_NON_IDEMPOTENT_TASK_ITEMS)
    return min(size, chunk_items)


def split_tasks(chunks: Sequence[int], max_items: int) -> list[TaskSpan]:
    """Return the tasks of a job in order; the tasks of one chunk differ by at most one item."""
    spans: list[TaskSpan] = []
    for chunk, count in enumerate(chunks):
        parts = -(-count // max_items)
        for part in range(parts):
            start = count * part // parts
            stop = count * (part + 1) // parts
            spans.append(TaskSpan(len(spans), chunk, start, stop))
    return spans


def locate_item(
    spans: Sequence[TaskSpan], chunks: Sequence[int], item: int
) -> tuple[TaskSpan, int]:
    """Return the task of an item (index in the job) and the item's index in that task."""
    chunk = 0
    while item >= chunks[chunk]:
        item -= chunks[chunk]
        chunk += 1
    for span in spans:
        if span.chunk == chunk and span.start <= item < span.stop:
            return span, item - span.start
    raise AssertionError(f"no task contains item {item} of chunk {chunk}")


def shard_of(job_id: str, task: int, shards: int) -> int:
    """Return the shard whose holder runs a task.

    Consecutive tasks are in different shards, so that a small job is spread evenly. The first
    shard follows from a hash of the job id, so that many small jobs are spread evenly as well.
    """
    return (xxhash.xxh3_64_intdigest(job_id.encode()) + task) % shards


def home_shard(job_id: str, shards: int) -> int:
    """Return the shard whose holder counts the job's results and ends it."""
    return xxhash.xxh3_64_intdigest(job_id.encode()) % shards
