"""Open a task: read its input and what an earlier holder has stored of it."""

from typing import TYPE_CHECKING, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.batch import keys
from papayapier.batch.active_jobs import ActiveJob, OpenTask
from papayapier.batch.records import Checkpoint, InputItem, ItemResult, TaskResults, tally_of
from papayapier.batch.task_state import TaskRules, TaskState
from papayapier.store.api import Store, StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps


class Grant(NamedTuple):
    """Hold the lease under which a task is opened; cautious: its items are suspect."""

    shard: int
    fence: int
    cautious: bool


class Unreadable(NamedTuple):
    """Report an object that cannot be decoded, or that should exist but does not."""

    key: str
    reason: str


class Sealed(NamedTuple):
    """Report that the job was cancelled, which this instance has not received yet."""

    key: str


ReadError = StoreError | Unreadable | Sealed


async def open_task(
    deps: "BatchDeps", job: ActiveJob, task: int, grant: Grant, idempotent: bool
) -> Result[OpenTask, ReadError]:
    """Read the input and the checkpoint of a task."""
    span = job.spans[task]
    chunk = await read_chunk(deps.store, job.record.file_id, span.chunk)
    if isinstance(chunk, Err):
        return chunk
    items = chunk.ok_value[span.start : span.stop]
    key = keys.progress_key(job.record.job_id, task)
    read = await deps.store.get(key)
    if isinstance(read, Err) and read.err_value is not StoreError.NOT_FOUND:
        return Err(read.err_value)
    rules = TaskRules(idempotent, deps.cfg.item_attempts, grant.cautious)
    if isinstance(read, Err):
        state = TaskState(span.size(), rules)
        return Ok(OpenTask(job, span, grant.shard, grant.fence, items, state, 0))
    checkpoint = codec.unpack(read.ok_value.value, Checkpoint)
    if isinstance(checkpoint, Err):
        return Err(Unreadable(key, checkpoint.err_value))
    if checkpoint.ok_value.sealed:
        return Err(Sealed(key))
    version = read.ok_value.version
    resumed = await _resume(deps, items, rules, checkpoint.ok_value, version)
    if isinstance(resumed, Err):
        return resumed
    events.emit(
        events.TASK_RESUMED,
        job=job.record.job_id,
        task=task,
        ended=len(resumed.ok_value.ended),
        intents=len(checkpoint.ok_value.intents),
    )
    return Ok(OpenTask(job, span, grant.shard, grant.fence, items, resumed.ok_value, version))


async def _resume(
    deps: "BatchDeps",
    items: list[InputItem],
    rules: TaskRules,
    checkpoint: Checkpoint,
    version: int,
) -> Result[TaskState, ReadError]:
    spilled = await read_spilled(deps.store, checkpoint.spilled)
    if isinstance(spilled, Err):
        return spilled
    # Intents without a result were running at the lost holder.
    holder_lost = bool(checkpoint.intents)
    state = TaskState(len(items), rules._replace(cautious=rules.cautious or holder_lost))
    state.resume(checkpoint, version, spilled.ok_value)
    if holder_lost:
        ids = [item.custom_id for item in items]
        state.on_holder_lost(checkpoint.intents, ids, deps.clock.wall())
        _report_loss(deps, spilled.ok_value + checkpoint.results, state)
    return Ok(state)


def _report_loss(deps: "BatchDeps", earlier_results: list[ItemResult], state: TaskState) -> None:
    """Count the items that ended because their holder was lost."""
    known = tally_of(earlier_results)
    for name in ("failed", "unknown"):
        count = getattr(state.tally, name) - getattr(known, name)
        if count:
            deps.metrics.batch_items.labels(name).inc(count)
            events.emit(events.ITEMS_LOST, state=name, items=count)


async def read_chunk(store: Store, file_id: str, chunk: int) -> Result[list[InputItem], ReadError]:
    """Read one chunk of an input file."""
    key = keys.chunk_key(file_id, chunk)
    read = await store.get(key)
    if isinstance(read, Err):
        if read.err_value is StoreError.NOT_FOUND:
            return Err(Unreadable(key, "not found"))
        return read
    items = codec.unpack(read.ok_value.value, list[InputItem])
    return items.map_err(lambda why: Unreadable(key, why))


async def read_spilled(store: Store, parts: list[str]) -> Result[list[ItemResult], ReadError]:
    """Read the results that are stored in separate objects."""
    results: list[ItemResult] = []
    for key in parts:
        read = await store.get(key)
        if isinstance(read, Err):
            return read
        part = codec.unpack(read.ok_value.value, list[ItemResult])
        if isinstance(part, Err):
            return Err(Unreadable(key, part.err_value))
        results += part.ok_value
    return Ok(results)


async def read_results(store: Store, job_id: str, task: int) -> Result[TaskResults, ReadError]:
    """Read the recorded results of a finished task, without the spilled objects."""
    key = keys.results_key(job_id, task)
    read = await store.get(key)
    if isinstance(read, Err):
        return read
    results = codec.unpack(read.ok_value.value, TaskResults)
    return results.map_err(lambda why: Unreadable(key, why))
