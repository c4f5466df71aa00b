"""Decode and perform the platform's calls on batch jobs."""

import base64
import binascii
from collections.abc import Awaitable
from typing import Any, Final, NamedTuple, TypedDict

import msgspec
from result import Err, Ok, Result

from papayapier.decoding import DECODE_ERRORS, parse_number
from papayapier.entry.job_routes import CALL_TIMEOUT_MS, JobAnswer
from papayapier.errors import Refusal
from papayapier.jobs.job_service import JobService, ResultsPage
from papayapier.jobs.records import ItemOutcome, ItemResult, JobItem
from papayapier.platform.headers import WAIT_MS

# At most 1 MB of results in one answer, as they are encoded.
MAX_PAGE_BYTES: Final = 900_000
SEPARATOR_BYTES: Final = 1
# Callers wait for 1,000 ms. Longer waits end without results in time for an answer.
MAX_WAIT_MS: Final = CALL_TIMEOUT_MS - 500
MAX_ITEMS: Final = 200
_READ: Final = "/v1/lots/"
_BODY: Final = "/v1/items/"
_ENDS: Final = {ItemOutcome.DONE: "completed", ItemOutcome.GIVEN_UP: "dead_lettered"}


class _Item(TypedDict):
    id: str
    path: str
    headers: dict[str, str]
    # Base64.
    body: str
    # Prompt tokens plus the maximum of output tokens.
    tokens: int


class _Items(TypedDict):
    items: list[_Item]


_ITEMS: Final = msgspec.json.Decoder(_Items)


class ReadCall(NamedTuple):
    """Request the results of a job from a position on."""

    job_id: str
    after: int


class BodyCall(NamedTuple):
    """Request the body of an item."""

    job_id: str
    item_id: str


class EndCall(NamedTuple):
    """End a job."""

    job_id: str


JobCall = ReadCall | BodyCall | EndCall


def read_call(method: str, path: str, query: dict[bytes, list[bytes]]) -> JobCall | None:
    """Return the call that a request makes on a job, or None for any other request."""
    if path.startswith(_READ):
        job_id = path.removeprefix(_READ)
        if method == "DELETE":
            return EndCall(job_id)
        after = _first_value(query, b"after") or "0"
        return ReadCall(job_id, parse_number(after) or 0)
    if path.startswith(_BODY) and method == "GET":
        return BodyCall(path.removeprefix(_BODY), _first_value(query, b"id"))
    return None


def read_items(body: bytes) -> Result[tuple[JobItem, ...], str]:
    """Decode the items of a job, or return which field is invalid."""
    try:
        wire = _ITEMS.decode(body)
    except DECODE_ERRORS as exc:
        return Err(str(exc))
    if not 0 < len(wire["items"]) <= MAX_ITEMS:
        return Err(f"items: expected 1 to {MAX_ITEMS}, got {len(wire['items'])}")
    items = tuple(
        JobItem(raw["id"], raw["path"], raw["headers"], raw["body"], raw["tokens"])
        for raw in wire["items"]
    )
    if len({item.id for item in items}) != len(items):
        return Err("items: duplicate id")
    for item in items:
        try:
            base64.b64decode(item.body, validate=True)
        except binascii.Error as exc:
            return Err(f"items: {item.id}: body: {exc}")
    return Ok(items)


def item_body(item: JobItem) -> bytes:
    """Return the bytes of an item's body."""
    return base64.b64decode(item.body)


def write_page(page: ResultsPage, after: int) -> bytes:
    """Encode results; a long list is truncated, and the caller requests the rest."""
    returned: list[msgspec.Raw] = []
    size = 0
    for result in page.results:
        encoded = msgspec.json.encode(_result(result))
        size += len(encoded) + SEPARATOR_BYTES
        if returned and size > MAX_PAGE_BYTES:
            break
        returned.append(msgspec.Raw(encoded))
    # nextToken is the position to read from next, in spite of its name.
    body = {"total": page.total, "nextToken": after + len(returned), "results": returned}
    return msgspec.json.encode(body)


def _result(result: ItemResult) -> dict[str, str]:
    return {"id": result.id, "state": _ENDS[result.end], "text": result.text}


def _first_value(query: dict[bytes, list[bytes]], name: bytes) -> str:
    values = query.get(name)
    return values[0].decode("latin-1") if values else ""


def parse_call(request: Any) -> JobCall | None:
    """Return the call that a request makes on a job, or None for any other request."""
    method, path = request.method.decode("latin-1"), request.path.decode("latin-1")
    return read_call(method, path, request.args)


def perform(
    job_service: JobService, request: Any, call: JobCall, team: str, due_ms: int
) -> Awaitable[Result[JobAnswer, Refusal]]:
    """Run a call on a job for a team."""
    if isinstance(call, EndCall):
        return _end(job_service, call, team, due_ms)
    if isinstance(call, BodyCall):
        return _body(job_service, call, team)
    wait = request.getHeader(WAIT_MS.decode()) or "0"
    wait_ms = min(parse_number(wait) or 0, MAX_WAIT_MS)
    return _results(job_service, call, team, wait_ms)


async def _end(
    job_service: JobService, call: EndCall, team: str, due_ms: int
) -> Result[JobAnswer, Refusal]:
    return (await job_service.end(call.job_id, due_ms, team)).map(lambda _: JobAnswer(b"{}"))


async def _body(job_service: JobService, call: BodyCall, team: str) -> Result[JobAnswer, Refusal]:
    found = await job_service.item(call.job_id, call.item_id, team)
    return found.map(lambda item: JobAnswer(item_body(item), b"application/octet-stream"))


async def _results(
    job_service: JobService, call: ReadCall, team: str, wait_ms: int
) -> Result[JobAnswer, Refusal]:
    page = await job_service.results(call.job_id, call.after, wait_ms, team)
    return page.map(lambda found: JobAnswer(write_page(found, call.after)))
