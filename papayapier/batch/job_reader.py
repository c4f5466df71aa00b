"""Answer callers' requests about jobs, items and files.

Only stored data is returned. A result that is still in an instance's memory may be lost with
the instance and come out differently when the item runs again, but a result that a caller has
read must not change. Therefore the counts of a running job are lower bounds that only grow.
"""

from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from papayapier.batch import ids, keys
from papayapier.batch.job_completion import refresh_recorded, sum_tallies
from papayapier.batch.jobs import caller_prefix
from papayapier.batch.lookup import FoundJob, find_file, find_job, unavailable
from papayapier.batch.records import FileRecord, ItemResult, JobState
from papayapier.batch.results import (
    ERROR_STATES,
    LINES_PER_PIECE,
    NO_CANCEL,
    OUTPUT_STATES,
    TaskView,
    cancelled_results,
    encode_input_line,
    read_chunk_with_retry,
    stream_lines,
    view_task,
)
from papayapier.batch.task_input import ReadError, read_chunk, read_results
from papayapier.batch.tasks import TaskSpan, locate_item, split_tasks
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.active_jobs import ActiveJob
    from papayapier.batch.api import BatchDeps
    from papayapier.batch.registry import JobRegistry

OUTPUT_FILE_PREFIX: Final = "file-out-"
ERROR_FILE_PREFIX: Final = "file-err-"
LIST_INTERVAL_MS: Final = 1_000
MAX_TALLIES_PER_READ: Final = 16


class StoredItem(NamedTuple):
    """Hold what is stored of one item; result is None until the item has ended."""

    job: FoundJob
    span: TaskSpan
    result: ItemResult | None


class OutputFile(NamedTuple):
    """Identify an output file of a job: its results, or its errors."""

    job: FoundJob
    errors: bool


class JobReader:
    """Read jobs, items and files for callers."""

    def __init__(self, deps: "BatchDeps", registry: "JobRegistry") -> None:
        self._deps = deps
        self._registry = registry

    async def get_job(self, caller: str, job_id: str) -> Result[FoundJob, Refusal]:
        """Return a job with its current counts."""
        found = await find_job(self._deps, caller, job_id)
        if isinstance(found, Err) or found.ok_value.ended:
            return found
        return Ok(await self._with_counts(found.ok_value))

    async def _with_counts(self, found: FoundJob) -> FoundJob:
        active_job = self._registry.jobs.get(found.record.job_id)
        if active_job is None or found.record.state is not JobState.RUNNING:
            return found
        now = self._deps.clock.now()
        if now >= active_job.next_list_ms:
            active_job.next_list_ms = now + LIST_INTERVAL_MS
            await refresh_recorded(self._deps, active_job)
            await self._read_tallies(active_job)
        tally = sum_tallies(active_job.tallies.values())
        return found._replace(record=found.record._replace(tally=tally))

    async def _read_tallies(self, active_job: "ActiveJob") -> None:
        missing = sorted(active_job.recorded.difference(active_job.tallies))
        for task in missing[:MAX_TALLIES_PER_READ]:
            read = await read_results(self._deps.store, active_job.record.job_id, task)
            if isinstance(read, Ok):
                active_job.tallies[task] = read.ok_value.tally

    async def list_jobs(
        self, caller: str, after: str, limit: int
    ) -> Result[list[FoundJob], Refusal]:
        """List a caller's jobs by id: up to limit + 1 ids that follow after."""
        prefix = caller_prefix(caller)
        job_ids: set[str] = set()
        for key_prefix in (keys.ACTIVE_PREFIX, keys.ENDED_PREFIX):
            start = key_prefix + after if after else ""
            listed = await self._deps.store.list(key_prefix + prefix, start, limit + 1)
            if isinstance(listed, Err):
                return Err(unavailable())
            job_ids.update(keys.last_part(entry.key) for entry in listed.ok_value.objects)
        found: list[FoundJob] = []
        for job_id in sorted(job_ids)[: limit + 1]:
            job = await find_job(self._deps, caller, job_id)
            if isinstance(job, Ok):
                found.append(job.ok_value)
            elif job.err_value.kind is not ErrorKind.NOT_FOUND:
                return job
        return Ok(found)

    async def get_item(
        self, caller: str, job_id: str, custom_id: str
    ) -> Result[StoredItem, Refusal]:
        """Return what is stored of one item."""
        found = await find_job(self._deps, caller, job_id)
        if isinstance(found, Err):
            return found
        job = found.ok_value
        item_index = await self._item_index(job, custom_id)
        if isinstance(item_index, Err):
            return item_index
        chunks = job.record.chunks
        span, item = locate_item(
            split_tasks(chunks, job.record.task_items), chunks, item_index.ok_value
        )
        result = await self._result_of(job, span, item)
        return result.map(lambda found_result: StoredItem(job, span, found_result))

    async def _item_index(self, job: FoundJob, custom_id: str) -> Result[int, Refusal]:
        """Find the index of an id by the hashes stored with the input file."""
        missing = not_run_refusal(ErrorKind.NOT_FOUND, f"the job has no item {custom_id}")
        file = await find_file(self._deps, job.record.caller, job.record.file_id, deleted=True)
        if isinstance(file, Err):
            return file
        record = file.ok_value.record
        item_index = ids.find_position(record.id_hashes, custom_id)
        for block in range(record.id_blocks):
            if item_index is not None:
                break
            read = await self._deps.store.get(keys.index_key(job.record.file_id, block))
            if isinstance(read, Err):
                return Err(unavailable())
            position = ids.find_position(read.ok_value.value, custom_id)
            item_index = None if position is None else block * ids.IDS_PER_BLOCK + position
        return Err(missing) if item_index is None else Ok(item_index)

    async def _result_of(
        self, job: FoundJob, span: TaskSpan, item: int
    ) -> Result[ItemResult | None, Refusal]:
        cancel = cancel_version(job)
        read = await view_task(self._deps.store, job.record, span, cancel)
        if isinstance(read, Err):
            return Err(refusal_of(read.err_value))
        view: TaskView = read.ok_value
        results = view.results
        if cancel != NO_CANCEL and item in view.open_items:
            chunk = await read_chunk(self._deps.store, job.record.file_id, span.chunk)
            if isinstance(chunk, Err):
                return Err(refusal_of(chunk.err_value))
            results = cancelled_results(job.record, view, chunk.ok_value, span)
        return Ok(next((result for result in results if result.item == item), None))

    async def get_file(self, caller: str, file_id: str) -> Result[FileRecord, Refusal]:
        """Return the record of an input file."""
        found = await find_file(self._deps, caller, file_id)
        return found.map(lambda file: file.record)

    async def find_output(self, caller: str, file_id: str) -> Result[OutputFile, Refusal]:
        """Find the job to which the id of an output file belongs."""
        errors = file_id.startswith(ERROR_FILE_PREFIX)
        prefix = ERROR_FILE_PREFIX if errors else OUTPUT_FILE_PREFIX
        if not file_id.startswith(prefix):
            return Err(not_run_refusal(ErrorKind.NOT_FOUND, f"no file is named {file_id}"))
        found = await find_job(self._deps, caller, file_id.removeprefix(prefix))
        return found.map(lambda job: OutputFile(job, errors))

    def output_lines(
        self, output: OutputFile, on_error: Callable[[ReadError], None]
    ) -> AsyncIterator[bytes]:
        """Yield the lines of an output file, task by task."""
        job = output.job
        states = ERROR_STATES if output.errors else OUTPUT_STATES
        return stream_lines(self._deps, job.record, cancel_version(job), states, on_error)

    async def input_lines(
        self, file: FileRecord, on_error: Callable[[ReadError], None]
    ) -> AsyncIterator[bytes]:
        """Yield the lines of an input file, chunk by chunk."""
        for chunk in range(len(file.chunks)):
            read = await read_chunk_with_retry(self._deps, file.file_id, chunk)
            if isinstance(read, Err):
                on_error(read.err_value)
                return
            items = read.ok_value
            for start in range(0, len(items), LINES_PER_PIECE):
                piece = items[start : start + LINES_PER_PIECE]
                yield b"".join(encode_input_line(item) for item in piece)


def cancel_version(job: FoundJob) -> int:
    """Return the version of the cancel, or NO_CANCEL."""
    if job.record.state is JobState.CANCELLING:
        return job.version
    return job.record.cancel_version


def refusal_of(error: ReadError) -> Refusal:
    """Return the refusal for a stored object that cannot be read."""
    if isinstance(error, StoreError):
        return unavailable()
    return not_run_refusal(ErrorKind.INTERNAL, f"{error.key} is not readable")
