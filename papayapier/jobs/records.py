"""Define what is stored of a batch job, and encode it as JSON text."""

from enum import Enum
from typing import Final, NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")

JOBS: Final = "papayapier-jobs/"
PARTS: Final = "papayapier-parts/"
# A kind for each job, so that one call lists all the groups that are not yet known.
RESULTS: Final = "papayapier-results-"
# The store takes values of 1 MiB at most, and what is stored is escaped once more.
PART_BYTES: Final = 800_000


class JobItem(NamedTuple):
    """Hold one item; body is base64 text."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class JobRecord(NamedTuple):
    """Hold one job; accepted_ms is the wall clock of the instance that accepted it.

    team is whose job it is; a key of it that is taken away later ends nothing.

    The items of a large job are in parts, objects of their own that are there before the job.
    """

    write_id: str
    host: str
    path: str
    accepted_ms: int
    items: tuple[JobItem, ...]
    total: int
    parts: int = 0
    ended: bool = False
    team: str = ""


class ItemEnd(Enum):
    """Say how an item ended."""

    DONE = "done"
    GIVEN_UP = "given_up"


class ItemResult(NamedTuple):
    """Hold the result of one item."""

    id: str
    end: ItemEnd
    text: str


class ResultGroup(NamedTuple):
    """Hold results that were written together."""

    write_id: str
    results: tuple[ItemResult, ...]


_RECORD: Final = msgspec.json.Decoder(JobRecord)
_GROUP: Final = msgspec.json.Decoder(ResultGroup)
_ITEMS: Final = msgspec.json.Decoder(tuple[JobItem, ...])


def job_key(job_id: str) -> str:
    """Return the key of a job."""
    return JOBS + job_id


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part of a large job."""
    return f"{PARTS}{job_id}.{number:03}"


def groups_prefix(job_id: str) -> str:
    """Return what the keys of a job's groups begin with."""
    return f"{RESULTS}{job_id}/"


def group_key(job_id: str, number: int) -> str:
    """Return the key of a group of results."""
    return f"{groups_prefix(job_id)}{number:05}"


def encode(value: JobRecord | ResultGroup | tuple[JobItem, ...]) -> bytes:
    """Encode for the store."""
    return msgspec.json.encode(value)


def read_record(value: bytes) -> Result[JobRecord, str]:
    """Decode a job."""
    return _decode(_RECORD, value)


def read_group(value: bytes) -> Result[ResultGroup, str]:
    """Decode a group of results."""
    return _decode(_GROUP, value)


def read_items(value: bytes) -> Result[tuple[JobItem, ...], str]:
    """Decode a part of a large job."""
    return _decode(_ITEMS, value)


def split_items(items: tuple[JobItem, ...]) -> list[tuple[JobItem, ...]]:
    """Split items into parts that fit into one object each; the same items split alike."""
    parts: list[list[JobItem]] = [[]]
    size = 0
    for item in items:
        item_bytes = len(msgspec.json.encode(item))
        if parts[-1] and size + item_bytes > PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += item_bytes
    return [tuple(part) for part in parts]


def _decode(decoder: msgspec.json.Decoder[T], value: bytes) -> Result[T, str]:
    try:
        return Ok(decoder.decode(value))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))
