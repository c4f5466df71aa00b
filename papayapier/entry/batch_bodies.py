"""Define the JSON bodies of files and batch jobs that OpenAI-style clients expect.

Fields that the OpenAI API does not have come last; clients skip unknown fields.
"""

from typing import Final, NamedTuple

import msgspec

from papayapier.batch.job_reader import (
    ERROR_FILE_PREFIX,
    OUTPUT_FILE_PREFIX,
    OutputFile,
    StoredItem,
)
from papayapier.batch.lookup import FoundJob
from papayapier.batch.records import FileRecord, ItemResult, JobRecord, JobState, Tally
from papayapier.clock import MS_PER_S

STATUS: Final[dict[JobState, str]] = {
    JobState.RUNNING: "in_progress",
    JobState.CANCELLING: "cancelling",
    JobState.ENDING: "finalizing",
    JobState.COMPLETED: "completed",
    JobState.CANCELLED: "cancelled",
}


class CreateBatch(NamedTuple):
    """Hold the body of a request to create a job; the profile is in a header or the metadata."""

    input_file_id: str
    endpoint: str
    completion_window: str
    metadata: dict[str, str] | None = None


class FileBody(NamedTuple):
    """Describe a file."""

    id: str
    bytes: int
    created_at: int
    expires_at: int
    filename: str
    purpose: str
    items: int
    object: str = "file"
    status: str = "processed"


class DeletedBody(NamedTuple):
    """Confirm that a file is deleted."""

    id: str
    object: str = "file"
    deleted: bool = True


class Counts(NamedTuple):
    """Count a job's items by state; unfinished items are counted in total only."""

    total: int
    completed: int
    failed: int
    unknown: int
    cancelled: int


class BatchBody(NamedTuple):
    """Describe a job; the times ending in _at are in seconds."""

    id: str
    endpoint: str
    input_file_id: str
    completion_window: str
    status: str
    output_file_id: str | None
    error_file_id: str | None
    created_at: int
    in_progress_at: int
    expires_at: int | None
    completed_at: int | None
    cancelling_at: int | None
    cancelled_at: int | None
    request_counts: Counts
    metadata: dict[str, str]
    profile: str
    due_ms: int
    object: str = "batch"
    errors: None = None


class BatchList(NamedTuple):
    """List jobs."""

    data: list[BatchBody]
    has_more: bool
    first_id: str | None
    last_id: str | None
    object: str = "list"


class ItemBody(NamedTuple):
    """Describe one item; response and error are as in an output line."""

    custom_id: str
    status: str
    attempts: int
    line: msgspec.Raw | None


def file_body(record: FileRecord) -> FileBody:
    """Describe an input file."""
    return FileBody(
        id=record.file_id,
        bytes=record.byte_count,
        created_at=record.created_ms // MS_PER_S,
        expires_at=record.expires_ms // MS_PER_S,
        filename=record.name,
        purpose=record.purpose,
        items=record.item_count(),
    )


def output_body(file_id: str, output: OutputFile) -> FileBody:
    """Describe the results or errors of a job as a file; its size is not known in advance."""
    record = output.job.record
    tally = record.tally
    return FileBody(
        id=file_id,
        bytes=0,
        created_at=record.created_ms // MS_PER_S,
        expires_at=record.expires_ms // MS_PER_S,
        filename=f"{file_id}.jsonl",
        purpose="batch_output",
        items=tally.total() - tally.completed if output.errors else tally.completed,
    )


def batch_list(jobs: list[FoundJob], limit: int) -> BatchList:
    """List jobs; a job beyond the limit means that there are more."""
    data = [batch_body(job) for job in jobs[:limit]]
    first = data[0].id if data else None
    last = data[-1].id if data else None
    return BatchList(data, len(jobs) > limit, first, last)


def batch_body(found: FoundJob) -> BatchBody:
    """Describe a job."""
    record = found.record
    state = record.state
    ended = record.ended_ms // MS_PER_S if found.ended else None
    return BatchBody(
        id=record.job_id,
        endpoint=record.endpoint,
        input_file_id=record.file_id,
        completion_window=record.window,
        status=STATUS[state],
        output_file_id=OUTPUT_FILE_PREFIX + record.job_id,
        error_file_id=_error_file(found),
        created_at=record.created_ms // MS_PER_S,
        in_progress_at=record.created_ms // MS_PER_S,
        expires_at=record.expires_ms // MS_PER_S if found.ended else None,
        completed_at=ended if state is JobState.COMPLETED else None,
        cancelling_at=record.cancel_ms // MS_PER_S if record.cancel_ms else None,
        cancelled_at=ended if state is JobState.CANCELLED else None,
        request_counts=_counts(record, record.tally),
        metadata=record.metadata,
        profile=record.profile.name,
        due_ms=record.due_ms,
    )


def _error_file(found: FoundJob) -> str | None:
    tally = found.record.tally
    if found.ended and tally.completed == tally.total():
        return None
    return ERROR_FILE_PREFIX + found.record.job_id


def _counts(record: JobRecord, tally: Tally) -> Counts:
    return Counts(
        record.item_count(), tally.completed, tally.failed, tally.unknown, tally.cancelled
    )


def item_body(custom_id: str, view: StoredItem, line: bytes | None) -> ItemBody:
    """Describe one item."""
    result: ItemResult | None = view.result
    if result is None or line is None:
        return ItemBody(custom_id, "in_progress", 0, None)
    return ItemBody(custom_id, result.state.value, result.attempts, msgspec.Raw(line))
