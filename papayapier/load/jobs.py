"""Submit, poll, cancel and check batch jobs through the callers' API."""

import random
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.load.experiment_file import Job
from papayapier.load.http_calls import http_call, http_call_json
from papayapier.load.request_mix import CHAT_PATH, draw_length, draw_words
from papayapier.load.responses import ExpectedText

COMPLETED: Final = "completed"
FINAL_STATUSES: Final = (COMPLETED, "failed", "cancelled", "expired")
MAX_REPORTED: Final = 10

ResultLine = dict[str, Any]
BackgroundTask = Coroutine[Deferred[Any], Any, None]


class Item(NamedTuple):
    """Hold the prompt and the token limit of an item."""

    prompt: str
    max_tokens: int


class PreparedJob(NamedTuple):
    """Hold a job with its items and their file, ready to be submitted."""

    job: Job
    items: dict[str, Item]
    file: bytes


class SubmittedJob(NamedTuple):
    """Hold an accepted job, and its items by custom id."""

    job: Job
    id: str
    items: dict[str, Item]


class Progress(NamedTuple):
    """Hold a job's status and counts."""

    status: str
    completed: int
    failed: int


def prepare(job: Job, seed: int) -> PreparedJob:
    """Draw a job's items; this is slow enough to delay other work of the process."""
    items = _items(job, seed)
    file = b"".join(_line(job, custom_id, item) + b"\n" for custom_id, item in items.items())
    return PreparedJob(job, items, file)


async def submit(target: str, prepared: PreparedJob, key: str) -> Result[SubmittedJob, str]:
    """Upload a job's items and create the job; the same key yields the same job."""
    headers = {"Content-Type": "application/jsonl"}
    uploaded = await http_call("POST", f"http://{target}/v1/files", prepared.file, headers)
    if isinstance(uploaded, Err):
        return uploaded
    body = {
        "input_file_id": msgspec.json.decode(uploaded.ok_value)["id"],
        "endpoint": CHAT_PATH,
        "completion_window": "24h",
    }
    url = f"http://{target}/v1/batches"
    created = await http_call_json("POST", url, body, _job_headers(prepared.job, key))
    return created.map(lambda answer: SubmittedJob(prepared.job, str(answer["id"]), prepared.items))


async def progress(target: str, submitted: SubmittedJob) -> Result[Progress, str]:
    """Read the progress of a job."""
    response = await http_call_json("GET", f"http://{target}/v1/batches/{submitted.id}")
    return response.map(_progress)


async def cancel(target: str, submitted: SubmittedJob) -> Result[Any, str]:
    """Cancel a job."""
    return await http_call_json("POST", f"http://{target}/v1/batches/{submitted.id}/cancel")


async def check_results(
    target: str, submitted: SubmittedJob, expected: ExpectedText
) -> Result[list[str], str]:
    """Read the results of a completed job and return wrong, duplicate or missing results."""
    read = await results(target, submitted)
    return read.map(
        lambda lines: find_result_errors(submitted, lines, expected, complete=True)[:MAX_REPORTED]
    )


async def results(target: str, submitted: SubmittedJob) -> Result[list[ResultLine], str]:
    """Read all results of a job, including those of failed items."""
    response = await http_call_json("GET", f"http://{target}/v1/batches/{submitted.id}")
    if isinstance(response, Err):
        return response
    lines: list[ResultLine] = []
    for field in ("output_file_id", "error_file_id"):
        if not (file_id := response.ok_value.get(field)):
            continue
        content = await http_call("GET", f"http://{target}/v1/files/{file_id}/content")
        if isinstance(content, Err):
            return content
        lines += [msgspec.json.decode(line) for line in content.ok_value.splitlines()]
    return Ok(lines)


def find_result_errors(
    submitted: SubmittedJob, lines: list[ResultLine], expected: ExpectedText, *, complete: bool
) -> list[str]:
    """Return the errors in a job's results; a complete job has one result for each item."""
    errors = []
    seen_ids: set[str] = set()
    for line in lines:
        custom_id = line["custom_id"]
        if custom_id in seen_ids:
            errors.append(f"item {custom_id} has two results")
        seen_ids.add(custom_id)
        item = submitted.items.get(custom_id)
        if item is None:
            errors.append(f"item {custom_id} is not part of the job")
        elif not line.get("error") and _text(line) != expected(item.prompt, item.max_tokens):
            errors.append(f"item {custom_id} has a wrong result")
    missing = len(submitted.items) - len(seen_ids)
    if complete and missing:
        errors.append(f"{missing} items of job {submitted.id} have no result")
    return errors


def _text(line: ResultLine) -> str:
    return str(line["response"]["body"]["choices"][0]["message"]["content"])


def _items(job: Job, seed: int) -> dict[str, Item]:
    rng = random.Random(f"job {seed} {job.name}")
    return {
        f"{job.name}-{number}": Item(
            " ".join(draw_words(draw_length(job.prompt_words, rng), rng)),
            draw_length(job.max_tokens, rng),
        )
        for number in range(job.items)
    }


def _line(job: Job, custom_id: str, item: Item) -> bytes:
    body = {
        "model": job.model,
        "messages": [{"role": "user", "content": item.prompt}],
        "max_tokens": item.max_tokens,
    }
    document = {"custom_id": custom_id, "method": "POST", "url": CHAT_PATH, "body": body}
    return msgspec.json.encode(document)


def _job_headers(job: Job, key: str) -> dict[str, str]:
    headers = {"X-Papayapier-Profile": job.profile, "Idempotency-Key": key}
    if job.due_ms:
        headers["X-Papayapier-Due-Ms"] = str(job.due_ms)
    return headers


def _progress(answer: Any) -> Progress:
    counts = answer["request_counts"]
    return Progress(str(answer["status"]), int(counts["completed"]), int(counts["failed"]))
