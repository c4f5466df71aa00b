"""Read the results of a job that is running, ended or cancelled.

After a cancel, results no longer count. A holder that has not received the cancel, or was
paused, may still write one, and no single write covers the job's record and a task's results.
Therefore the reader decides: the store numbers all changes in one sequence, and an object with
a higher version than the cancel is ignored.
"""

from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier import codec
from papayapier.batch import keys, store_access
from papayapier.batch.records import (
    Checkpoint,
    InputItem,
    ItemResult,
    ItemState,
    JobRecord,
    Tally,
    TaskResults,
    tally_of,
)
from papayapier.batch.task_input import ReadError, Unreadable, read_chunk, read_spilled
from papayapier.batch.tasks import TaskSpan, split_tasks
from papayapier.store.api import Store, Stored, StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

NO_CANCEL: Final = 0
READ_TIMEOUT_MS: Final = 30_000
LINES_PER_PIECE: Final = 100
OUTPUT_STATES: Final = frozenset({ItemState.COMPLETED})
ERROR_STATES: Final = frozenset({ItemState.FAILED, ItemState.UNKNOWN, ItemState.CANCELLED})


class TaskView(NamedTuple):
    """Hold what is stored of a task; open_items have no result, intents may have run."""

    results: list[ItemResult]
    open_items: list[int]
    intents: list[int]


async def view_task(
    store: Store, record: JobRecord, span: TaskSpan, cancel_version: int
) -> Result[TaskView, ReadError]:
    """Read what is stored of a task, up to the cancel if there was one."""
    final = await _get(store, keys.results_key(record.job_id, span.task))
    if isinstance(final, Err):
        return final
    if final.ok_value is not None and _is_counted(final.ok_value.version, cancel_version):
        return await _view_final(store, span, final.ok_value)
    progress = await _get(store, keys.progress_key(record.job_id, span.task))
    if isinstance(progress, Err):
        return progress
    if progress.ok_value is None:
        return Ok(TaskView([], list(range(span.size())), []))
    return await _view_progress(store, span, progress.ok_value, cancel_version)


async def _view_final(store: Store, span: TaskSpan, stored: Stored) -> Result[TaskView, ReadError]:
    final = codec.unpack(stored.value, TaskResults)
    if isinstance(final, Err):
        return Err(Unreadable(stored.key, final.err_value))
    spilled = await read_spilled(store, final.ok_value.spilled)
    if isinstance(spilled, Err):
        return spilled
    return Ok(_view(span, spilled.ok_value + final.ok_value.results, []))


async def _view_progress(
    store: Store, span: TaskSpan, stored: Stored, cancel_version: int
) -> Result[TaskView, ReadError]:
    checkpoint = codec.unpack(stored.value, Checkpoint)
    if isinstance(checkpoint, Err):
        return Err(Unreadable(stored.key, checkpoint.err_value))
    spilled = await read_spilled(store, checkpoint.ok_value.spilled)
    if isinstance(spilled, Err):
        return spilled
    versions = [*checkpoint.ok_value.versions, stored.version]
    results = [
        result
        for result in spilled.ok_value + checkpoint.ok_value.results
        if _is_counted(versions[result.commit], cancel_version)
    ]
    return Ok(_view(span, results, checkpoint.ok_value.intents))


def _view(span: TaskSpan, results: list[ItemResult], intents: list[int]) -> TaskView:
    ended = {result.item for result in results}
    open_items = [item for item in range(span.size()) if item not in ended]
    results.sort(key=lambda result: result.item)
    return TaskView(results, open_items, [item for item in intents if item not in ended])


def _is_counted(version: int, cancel_version: int) -> bool:
    return cancel_version == NO_CANCEL or version <= cancel_version


async def _get(store: Store, key: str) -> Result[Stored | None, StoreError]:
    read = await store.get(key)
    if isinstance(read, Err):
        return Ok(None) if read.err_value is StoreError.NOT_FOUND else read
    return Ok(read.ok_value)


def cancelled_results(
    record: JobRecord, view: TaskView, items: list[InputItem], span: TaskSpan
) -> list[ItemResult]:
    """Return the results of the open items of a cancelled job."""
    maybe_run = frozenset(() if record.profile.idempotent else view.intents)
    results: list[ItemResult] = []
    for item in view.open_items:
        state = ItemState.UNKNOWN if item in maybe_run else ItemState.CANCELLED
        custom_id = items[span.start + item].custom_id
        reason = "running when the job was cancelled" if item in maybe_run else "never ran"
        results.append(
            ItemResult(
                item, custom_id, state, 0, b"", True, "cancelled", reason, 0, record.cancel_ms
            )
        )
    return results


def cancelled_tally(record: JobRecord, view: TaskView) -> Tally:
    """Count the outcomes of a task of a cancelled job."""
    maybe_run = 0 if record.profile.idempotent else len(view.intents)
    open_tally = Tally(unknown=maybe_run, cancelled=len(view.open_items) - maybe_run)
    return tally_of(view.results).plus(open_tally)


async def stream_lines(
    deps: "BatchDeps",
    record: JobRecord,
    cancel_version: int,
    states: frozenset[ItemState],
    on_error: Callable[[ReadError], None],
) -> AsyncIterator[bytes]:
    """Yield the lines of a job's output, task by task."""
    for span in split_tasks(record.chunks, record.task_items):
        view = await _view_with_retry(deps, record, span, cancel_version)
        if isinstance(view, Err):
            on_error(view.err_value)
            return
        results = view.ok_value.results
        if cancel_version != NO_CANCEL and ItemState.CANCELLED in states:
            rest = await _cancelled_items(deps, record, view.ok_value, span)
            if isinstance(rest, Err):
                on_error(rest.err_value)
                return
            results = results + rest.ok_value
        selected = [result for result in results if result.state in states]
        # Encoding a complete task at once would delay online requests.
        for start in range(0, len(selected), LINES_PER_PIECE):
            piece = selected[start : start + LINES_PER_PIECE]
            yield b"".join(encode_output_line(record, span, result) for result in piece)


async def _cancelled_items(
    deps: "BatchDeps", record: JobRecord, view: TaskView, span: TaskSpan
) -> Result[list[ItemResult], ReadError]:
    if not view.open_items:
        return Ok([])
    chunk = await read_chunk_with_retry(deps, record.file_id, span.chunk)
    return chunk.map(lambda items: cancelled_results(record, view, items, span))


async def _view_with_retry(
    deps: "BatchDeps", record: JobRecord, span: TaskSpan, cancel_version: int
) -> Result[TaskView, ReadError]:
    return await store_access.retry_while_unavailable(
        deps, READ_TIMEOUT_MS, lambda: view_task(deps.store, record, span, cancel_version)
    )


async def read_chunk_with_retry(
    deps: "BatchDeps", file_id: str, chunk: int
) -> Result[list[InputItem], ReadError]:
    """Read one chunk of an input file; retry for a limited time while the store is unavailable."""
    return await store_access.retry_while_unavailable(
        deps, READ_TIMEOUT_MS, lambda: read_chunk(deps.store, file_id, chunk)
    )


def encode_input_line(item: InputItem) -> bytes:
    """Encode an item as a line of its input file."""
    line = {
        "custom_id": item.custom_id,
        "method": item.method,
        "url": item.url,
        "body": msgspec.Raw(item.body),
    }
    return msgspec.json.encode(line) + b"\n"


def encode_output_line(record: JobRecord, span: TaskSpan, result: ItemResult) -> bytes:
    """Encode one item's result as a line of an OpenAI-style output file."""
    request_id = f"{record.job_id}-{span.task}-{result.item}"
    line = {
        "id": request_id,
        "custom_id": result.custom_id,
        "response": _response(result, request_id),
        "error": _error(result),
    }
    return msgspec.json.encode(line) + b"\n"


def _response(result: ItemResult, request_id: str) -> dict[str, object] | None:
    if not result.status:
        return None
    body: object = msgspec.Raw(result.body)
    if not result.is_json:
        body = result.body.decode("utf-8", "replace")
    return {"status_code": result.status, "request_id": request_id, "body": body}


def _error(result: ItemResult) -> dict[str, object] | None:
    if result.state is ItemState.COMPLETED:
        return None
    return {
        "code": result.kind,
        "state": result.state.value,
        "message": result.reason,
        "attempts": result.attempts,
    }
