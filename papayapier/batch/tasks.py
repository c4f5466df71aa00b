"""Split a job into tasks, the units that are owned, run and recorded as one.

A task is a run of items inside one chunk of the input. Large tasks need few writes; small
ones spread a small job over all instances, and keep small what one write of a checkpoint
carries when items may not be repeated. So the size is chosen per job, at acceptance.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

import xxhash

MIN_TASK_ITEMS: Final = 50
MAX_INSTANCES: Final = 16
TASKS_PER_INSTANCE: Final = 2
GUARDED_TASK_ITEMS: Final = 100


class TaskSpan(NamedTuple):
    """Place a task in its job's input: items start to stop of a chunk."""

    task: int
    chunk: int
    start: int
    stop: int

    def size(self) -> int:
        """Return the number of items."""
        return self.stop - self.start


def task_items(items: int, chunk_items: int, instances: int, idempotent: bool) -> int:
    """Choose how many items a task of a new job may have."""
    served_by = min(MAX_INSTANCES, max(1, instances))
    wanted = chunk_items
    if items < served_by * chunk_items:
        # Whole chunks would leave instances without a task.
        wanted = max(MIN_TASK_ITEMS, -(-items // (TASKS_PER_INSTANCE * served_by)))
    if not idempotent:
        wanted = min(wanted, GUARDED_TASK_ITEMS)
    return min(wanted, chunk_items)


def split(chunks: Sequence[int], most_items: int) -> list[TaskSpan]:
    """Return the tasks of a job in order; the tasks of one chunk differ by one item at most."""
    spans: list[TaskSpan] = []
    for chunk, count in enumerate(chunks):
        parts = -(-count // most_items)
        for part in range(parts):
            start = count * part // parts
            stop = count * (part + 1) // parts
            spans.append(TaskSpan(len(spans), chunk, start, stop))
    return spans


def place(spans: Sequence[TaskSpan], chunks: Sequence[int], item: int) -> tuple[TaskSpan, int]:
    """Return the task of an item counted from 0 over the whole job, and its index there."""
    chunk = 0
    while item >= chunks[chunk]:
        item -= chunks[chunk]
        chunk += 1
    for span in spans:
        if span.chunk == chunk and span.start <= item < span.stop:
            return span, item - span.start
    raise AssertionError(f"no task has item {item} of chunk {chunk}")


def shard_of(job_id: str, task: int, shards: int) -> int:
    """Return the shard whose holder runs a task.

    Tasks that follow each other are in different shards, so that a small job is spread
    evenly; where it begins is drawn by hash, so that small jobs together are even too.
    """
    return (xxhash.xxh3_64_intdigest(job_id.encode()) + task) % shards


def home_shard(job_id: str, shards: int) -> int:
    """Return the shard whose holder counts and ends a job."""
    return xxhash.xxh3_64_intdigest(job_id.encode()) % shards
