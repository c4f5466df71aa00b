"""Submit the batch jobs of a case and check their results against their items."""

import hashlib
from collections import Counter
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier.load.http_calls import http_call, http_call_json
from papayapier.standin.answers import expected_text

CHAT_URL: Final = "/v1/chat/completions"
ITEM_TOKENS: Final = 12


class Job(NamedTuple):
    """Hold an accepted job, with the request bodies of its items by custom id."""

    id: str
    bodies: dict[str, bytes]


class JobState(NamedTuple):
    """Hold the status of a job and its counts of completed and failed items."""

    status: str
    completed: int
    failed: int


def make_bodies(name: str, number: int, engines: bool) -> dict[str, bytes]:
    """Make the request bodies of a job's items; the same arguments give the same bodies."""
    return {f"{name}-{i}": _body(f"{name}-{i}", engines) for i in range(number)}


async def submit(
    address: str, upstream: str, profile: str, key: str, bodies: dict[str, bytes], engines: bool
) -> Result[Job, str]:
    """Upload the items and create the job."""
    url = CHAT_URL if engines else f"/services/{upstream}/notes"
    endpoint = CHAT_URL if engines else f"/services/{upstream}"
    lines = [_line(custom_id, url, body) for custom_id, body in bodies.items()]
    uploaded = await call_json_lines(f"http://{address}/v1/files", b"\n".join(lines) + b"\n")
    if isinstance(uploaded, Err):
        return uploaded
    job_document = {
        "input_file_id": uploaded.ok_value["id"],
        "endpoint": endpoint,
        "completion_window": "24h",
    }
    headers = {"X-Papayapier-Profile": profile, "Idempotency-Key": key}
    created = await http_call_json("POST", f"http://{address}/v1/batches", job_document, headers)
    return created.map(lambda answer: Job(str(answer["id"]), bodies))


async def call_json_lines(url: str, body: bytes) -> Result[Any, str]:
    """Post JSON lines and return the answer's document."""
    response = await http_call("POST", url, body, {"Content-Type": "application/jsonl"})
    return response.map(msgspec.json.decode)


async def cancel(address: str, job: Job) -> Result[Any, str]:
    """Cancel a job."""
    return await http_call_json("POST", f"http://{address}/v1/batches/{job.id}/cancel")


async def read_state(address: str, job: Job) -> Result[JobState, str]:
    """Read the status and the counts of a job."""
    reply = await http_call_json("GET", f"http://{address}/v1/batches/{job.id}")
    return reply.map(_state)


async def wrong_results(address: str, job: Job) -> Result[list[str], str]:
    """Return a description of each duplicate, missing, foreign or mixed-up result."""
    reply = await http_call_json("GET", f"http://{address}/v1/batches/{job.id}")
    if isinstance(reply, Err):
        return reply
    lines: list[Any] = []
    for field in ("output_file_id", "error_file_id"):
        file_id = reply.ok_value.get(field)
        if not file_id:
            continue
        content = await http_call("GET", f"http://{address}/v1/files/{file_id}/content")
        if isinstance(content, Err):
            return content
        lines += [msgspec.json.decode(line) for line in content.ok_value.splitlines()]
    return Ok(_find_problems(job, lines))


def _find_problems(job: Job, lines: list[Any]) -> list[str]:
    result_counts = Counter(str(line["custom_id"]) for line in lines)
    problems = [
        f"{name} has {number} results" for name, number in result_counts.items() if number > 1
    ]
    problems += [f"{name} is not of the job" for name in result_counts.keys() - job.bodies.keys()]
    problems += [f"{name} has no result" for name in job.bodies.keys() - result_counts.keys()]
    problems += [
        f"{line['custom_id']} has another item's result"
        for line in lines
        if not line.get("error")
        and not _is_own_result(line, job.bodies.get(line["custom_id"], b""))
    ]
    return problems


def _is_own_result(line: Any, body: bytes) -> bool:
    answer = line["response"]["body"]
    if "echo" in answer:
        return bool(answer["echo"] == hashlib.sha256(body).hexdigest())
    request = msgspec.json.decode(body)
    text = answer["choices"][0]["message"]["content"]
    return bool(text == expected_text(request["messages"][0]["content"], request["max_tokens"]))


def _body(custom_id: str, engines: bool) -> bytes:
    if not engines:
        return msgspec.json.encode({"note": custom_id})
    message = {"role": "user", "content": f"summary of {custom_id}"}
    document = {"model": "base", "messages": [message], "max_tokens": ITEM_TOKENS}
    return msgspec.json.encode(document)


def _line(custom_id: str, url: str, body: bytes) -> bytes:
    document = {"custom_id": custom_id, "method": "POST", "url": url, "body": msgspec.Raw(body)}
    return msgspec.json.encode(document)


def _state(answer: Any) -> JobState:
    counts = answer["request_counts"]
    return JobState(str(answer["status"]), int(counts["completed"]), int(counts["failed"]))
