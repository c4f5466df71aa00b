"""Define the stored records of batch jobs, and encode them as JSON."""

import base64
import zlib
from enum import Enum
from typing import Final, NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

from papayapier.config.route_table import NO_POSITION, ConfigPosition
from papayapier.decoding import DECODE_ERRORS, parse_number
from papayapier.store.api import ValueBound

T = TypeVar("T")

JOBS_PREFIX: Final = "papayapier-jobs/"
PARTS_PREFIX: Final = "papayapier-parts/"
# Each job has a prefix of its own, so that one list call returns all groups after a given one.
RESULTS_PREFIX: Final = "papayapier-results-"
# Before they are escaped. Resubmissions through other instances must give the same parts, so items
# are also divided by this where more of them would fit into an object.
MAX_PART_BYTES: Final = 800_000
SEPARATOR_BYTES: Final = 1
# The fastest: texts compress well, and other work of the process waits meanwhile.
PACK_LEVEL: Final = 1
WRITE_ID_SEPARATOR: Final = "."


class JobItem(NamedTuple):
    """Hold one item as it was submitted; body is base64 text."""

    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: int


class JobRecord(NamedTuple):
    """Hold one job; accepted_ms is the wall clock of the instance that accepted it.

    write_id is made by make_write_id.

    team is the team that owns the job; revoking an API key of the team does not end the job.

    The items of a large job are stored in parts: separate objects written before the record.
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


class ItemOutcome(Enum):
    """Name the outcomes of an item."""

    DONE = "done"
    GIVEN_UP = "given_up"
    # Only in stored groups: done, with a compressed text.
    PACKED = "packed"


class ItemResult(NamedTuple):
    """Hold the result of one item."""

    id: str
    end: ItemOutcome
    text: str


class ResultGroup(NamedTuple):
    """Hold results that are written as one object."""

    write_id: str
    results: tuple[ItemResult, ...]


_RECORD: Final = msgspec.json.Decoder(JobRecord)
_GROUP: Final = msgspec.json.Decoder(ResultGroup)
_ITEMS: Final = msgspec.json.Decoder(tuple[JobItem, ...])


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOBS_PREFIX + job_id


def part_key(job_id: str, number: int) -> str:
    """Return the key of a part of a large job."""
    return f"{PARTS_PREFIX}{job_id}.{number:03}"


def groups_prefix(job_id: str) -> str:
    """Return the key prefix of a job's result groups."""
    return f"{RESULTS_PREFIX}{job_id}/"


def group_key(job_id: str, number: int) -> str:
    """Return the key of a group of results."""
    return f"{groups_prefix(job_id)}{number:05}"


def encode(value: JobRecord | ResultGroup | tuple[JobItem, ...]) -> bytes:
    """Encode a record, a group or a part for the store."""
    return msgspec.json.encode(value)


def make_write_id(nonce: int, accepted_under: ConfigPosition) -> str:
    """Return the unique id of a record's write, with the configuration it was accepted under.

    The id contains the configuration because a release reads only records with exactly its fields.
    """
    parts = (f"{nonce:016x}", str(accepted_under.version), str(accepted_under.revision))
    return WRITE_ID_SEPARATOR.join(parts)


def accepted_under(record: JobRecord) -> ConfigPosition:
    """Return the configuration under which a job was accepted.

    It is NO_POSITION for a record that was written by a release that did not store it.
    """
    _, *parts = record.write_id.split(WRITE_ID_SEPARATOR)
    numbers = [number for part in parts if (number := parse_number(part)) is not None]
    if len(parts) != len(NO_POSITION) or len(numbers) != len(NO_POSITION):
        return NO_POSITION
    return ConfigPosition(*numbers)


def read_record(value: bytes) -> Result[JobRecord, str]:
    """Decode a job's record."""
    return _decode(_RECORD, value)


def read_group(value: bytes) -> Result[ResultGroup, str]:
    """Decode a group of results."""
    decoded = _decode(_GROUP, value)
    if isinstance(decoded, Err):
        return decoded
    group = decoded.ok_value
    try:
        return Ok(group._replace(results=tuple(unpack(result) for result in group.results)))
    except (ValueError, zlib.error) as exc:
        return Err(str(exc))


def utf8_size(text: str) -> int:
    """Return the number of bytes of a text in UTF-8."""
    return len(text) if text.isascii() else len(text.encode())


def encode_result(result: ItemResult) -> bytes:
    """Encode a result as it is encoded in its group."""
    return msgspec.json.encode(result)


def pack(result: ItemResult) -> ItemResult:
    """Return a result as it is stored with a compressed text; one that is given up has no text."""
    if result.end is not ItemOutcome.DONE:
        return result._replace(text="")
    compressed = zlib.compress(result.text.encode(), PACK_LEVEL)
    return ItemResult(result.id, ItemOutcome.PACKED, base64.b64encode(compressed).decode())


def unpack(result: ItemResult) -> ItemResult:
    """Return a stored result as it is listed."""
    if result.end is not ItemOutcome.PACKED:
        return result
    text = zlib.decompress(base64.b64decode(result.text)).decode()
    return ItemResult(result.id, ItemOutcome.DONE, text)


def read_items(value: bytes) -> Result[tuple[JobItem, ...], str]:
    """Decode a part of a large job."""
    return _decode(_ITEMS, value)


def split_items(items: tuple[JobItem, ...], bound: ValueBound) -> list[tuple[JobItem, ...]]:
    """Split items into parts that fit into one object each; the same items give the same parts.

    An item that fits into no object has a part of its own.
    """
    parts: list[list[JobItem]] = [[]]
    size = stored = 0
    for item in items:
        encoded = msgspec.json.encode(item)
        item_stored = bound.size_of(encoded) + SEPARATOR_BYTES
        if parts[-1] and (
            size + len(encoded) > MAX_PART_BYTES or stored + item_stored > bound.max_bytes
        ):
            parts.append([])
            size = stored = 0
        parts[-1].append(item)
        size += len(encoded)
        stored += item_stored
    return [tuple(part) for part in parts]


def _decode(decoder: msgspec.json.Decoder[T], value: bytes) -> Result[T, str]:
    try:
        return Ok(decoder.decode(value))
    except DECODE_ERRORS as exc:
        return Err(str(exc))
