"""Implement the API of the platform's object store: objects by kind and name, over HTTP.

A key of this system is "KIND/NAME", or "KIND/NAME/status" for the part that only this system
writes. The store may format a value's JSON differently from how it was written, and settling
a lost write compares bytes; so this system stores each value as one JSON string, which is
returned unchanged. Values of other writers are passed through as JSON.
"""

from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.decoding import DECODE_ERRORS, without_undecodable
from papayapier.metrics import Metrics
from papayapier.settings import PlatformSettings
from papayapier.store.api import (
    Change,
    Changes,
    Entry,
    Listing,
    Member,
    Members,
    Store,
    Stored,
    StoreError,
    ValueBound,
)
from papayapier.store.link import Reply, Request, make_link
from papayapier.store.outcomes import classify, count_call

T = TypeVar("T")

OBJECTS: Final = "/v1/objects/"
JSON_HEADERS: Final = {"Content-Type": "application/json"}
STATUS_PART: Final = "/status"
NO_CONDITION: Final = 0
UNREADABLE: Final = b""
ABSENT_OBJECT: Final = msgspec.Raw(b"null")
# What an object takes beside its value: its names, metadata and status.
OBJECT_BYTES: Final = 4_000

UNCHANGED_STATUSES: Final = {
    404: StoreError.NOT_FOUND,
    409: StoreError.CONFLICT,
    410: StoreError.TOO_OLD,
    413: StoreError.TOO_LARGE,
    429: StoreError.LIMITED,
    503: StoreError.UNAVAILABLE,
}


class _Metadata(TypedDict):
    name: str
    revision: int


class _Object(TypedDict):
    metadata: _Metadata
    spec: NotRequired[msgspec.Raw]


class _Named(TypedDict):
    metadata: _Metadata


class Page(TypedDict):
    items: list[msgspec.Raw]
    # True if more pages follow.
    truncated: bool
    # The revision of the entire store, not of an object.
    currentRev: int


class _Event(TypedDict):
    # Raw fields of a TypedDict are decoded only if they are NotRequired.
    object: NotRequired[msgspec.Raw]
    # True if the object has been removed.
    tombstone: bool


class Events(TypedDict):
    events: list[msgspec.Raw]
    currentRev: int


_OBJECT: Final = msgspec.json.Decoder(_Object)
_NAMED: Final = msgspec.json.Decoder(_Named)
_PAGE: Final = msgspec.json.Decoder(Page)
_EVENT: Final = msgspec.json.Decoder(_Event)
_EVENTS: Final = msgspec.json.Decoder(Events)
_TEXT: Final = msgspec.json.Decoder(str)


class _Client(NamedTuple):
    exchange: Callable[[Request], Awaitable[Result[Reply, BaseException]]]
    metrics: Metrics


def platform_store(
    reactor: Any, clock: Clock, platform: PlatformSettings, metrics: Metrics
) -> Store:
    """Create a Store that calls the platform's object store over persistent connections."""
    link = make_link(reactor, clock, platform)
    client = _Client(link.exchange, metrics)
    return Store(
        get=partial(_get, client),
        create=partial(_create, client),
        update=partial(_update, client),
        delete=partial(_delete, client),
        list=partial(_list, client),
        watch=partial(_watch, client),
        members=_no_members,
        report=_no_report,
        withdraw=_no_withdraw,
        close=link.close,
    )


def value_bound(object_bytes: int) -> ValueBound:
    """Return the bound of a value in a store whose objects have a maximum size."""
    return ValueBound(max(1, object_bytes - OBJECT_BYTES), _text_bytes)


def _text_bytes(value: bytes) -> int:
    return len(msgspec.json.encode(value.decode()))


async def _get(client: _Client, key: str) -> Result[Stored, StoreError]:
    found = await _read(client, Request("get", "GET", _path(key)), _OBJECT)
    return found.and_then(lambda obj: _stored(key, obj))


async def _create(client: _Client, key: str, value: bytes) -> Result[int, StoreError]:
    kind, _, name = key.partition("/")
    body = {"metadata": {"name": name}, "spec": value.decode()}
    return await _write(client, Request("create", "POST", OBJECTS + quote(kind)), body)


async def _update(client: _Client, key: str, value: bytes, version: int) -> Result[int, StoreError]:
    name = key.removesuffix(STATUS_PART).partition("/")[2]
    metadata: dict[str, object] = {"name": name}
    if version != NO_CONDITION:
        metadata["revision"] = version
    body: dict[str, object] = {"metadata": metadata}
    if key.endswith(STATUS_PART):
        body["status"] = msgspec.Raw(value)
    else:
        body["spec"] = value.decode()
    return await _write(client, Request("update", "PUT", _path(key)), body)


async def _delete(client: _Client, key: str, version: int) -> Result[int, StoreError]:
    params = {} if version == NO_CONDITION else {"revision": str(version)}
    req = Request("delete", "DELETE", _path(key), params)
    done = await _call(client, req, StoreError.LOST)
    # The store does not return a removal's revision; the removed revision is its lower bound.
    return done.map(lambda _: version)


async def _list(
    client: _Client, prefix: str, after: str, _limit: int
) -> Result[Listing, StoreError]:
    kind = prefix.rstrip("/")
    params = {"after": after.removeprefix(prefix)} if after else {}
    found = await _read(client, Request("list", "GET", OBJECTS + quote(kind), params), _PAGE)
    return found.map(lambda page: read_listing(kind, page))


async def _watch(
    client: _Client, prefix: str, since: int, wait_ms: int
) -> Result[Changes, StoreError]:
    kind = prefix.rstrip("/")
    params = {"watch": str(since), "waitMs": str(wait_ms)}
    req = Request("watch", "GET", OBJECTS + quote(kind), params, wait_ms=wait_ms)
    found = await _read(client, req, _EVENTS)
    return found.map(lambda body: read_changes(kind, body))


async def _no_members(_wait_ms: int, _since: int) -> Result[Members, StoreError]:
    return Err(StoreError.NOT_FOUND)


async def _no_report(_member: Member) -> Result[None, StoreError]:
    return Err(StoreError.NOT_FOUND)


async def _no_withdraw(_member_id: str) -> Result[None, StoreError]:
    return Err(StoreError.NOT_FOUND)


def _path(key: str) -> str:
    return OBJECTS + quote(key)


def read_listing(kind: str, page: Page) -> Listing:
    """Decode each object of a page separately: an invalid object must not hide the others."""
    entries = [_entry(kind, raw) for raw in page["items"]]
    decodable = [entry for entry in entries if entry is not None]
    return Listing(decodable, page["truncated"], page["currentRev"])


def read_changes(kind: str, body: Events) -> Changes:
    """Decode each change of an answer separately."""
    changes = [_change(kind, raw) for raw in body["events"]]
    return Changes([change for change in changes if change is not None], body["currentRev"])


def _change(kind: str, raw: msgspec.Raw) -> Change | None:
    try:
        event = _EVENT.decode(raw)
    except DECODE_ERRORS as exc:
        _log_invalid_object(kind, "", str(exc))
        return None
    entry = _entry(kind, event.get("object", ABSENT_OBJECT))
    if entry is None:
        return None
    removed = event["tombstone"]
    return Change(entry.key, entry.version, removed, b"" if removed else entry.value)


def _entry(kind: str, raw: msgspec.Raw) -> Entry | None:
    """Decode one object; return None if its name or revision is missing.

    The store itself writes name and revision; everything else comes from the object's writer. A
    value that cannot be decoded becomes empty here: users of the kind treat it as unreadable,
    even if an earlier value was readable.
    """
    try:
        metadata = _NAMED.decode(raw)["metadata"]
    except DECODE_ERRORS as exc:
        _log_invalid_object(kind, "", str(exc))
        return None
    try:
        value = _value(_OBJECT.decode(raw))
    except DECODE_ERRORS as exc:
        _log_invalid_object(kind, metadata["name"], str(exc))
        value = UNREADABLE
    return Entry(f"{kind}/{metadata['name']}", metadata["revision"], value)


def _log_invalid_object(kind: str, name: str, reason: str) -> None:
    events.emit(events.STORE_ODD_OBJECT, kind=kind, object=name, reason=reason)


def _value(obj: _Object) -> bytes:
    """Return the value; raise ValueError without one, and msgspec's error for an invalid text."""
    spec = bytes(obj.get("spec", b""))
    if spec == b"null":
        raise ValueError("there is no value")
    return _TEXT.decode(spec).encode() if spec.startswith(b'"') else spec


def _stored(key: str, obj: _Object) -> Result[Stored, StoreError]:
    try:
        return Ok(Stored(key, obj["metadata"]["revision"], _value(obj)))
    except DECODE_ERRORS as exc:
        _log_invalid_object(key, obj["metadata"]["name"], str(exc))
        return Err(StoreError.UNAVAILABLE)


async def _read(
    client: _Client, req: Request, decoder: msgspec.json.Decoder[T]
) -> Result[T, StoreError]:
    found = await _call(client, req, StoreError.UNAVAILABLE)
    if isinstance(found, Err):
        return found
    return _decode(req, found.ok_value, decoder, StoreError.UNAVAILABLE)


async def _write(
    client: _Client, req: Request, body: Mapping[str, object]
) -> Result[int, StoreError]:
    req = req._replace(headers=JSON_HEADERS, body=msgspec.json.encode(body))
    done = await _call(client, req, StoreError.LOST)
    if isinstance(done, Err):
        return done
    written = _decode(req, done.ok_value, _OBJECT, StoreError.LOST)
    return written.map(lambda obj: obj["metadata"]["revision"])


def _decode(
    req: Request, reply: Reply, decoder: msgspec.json.Decoder[T], error_if_unknown: StoreError
) -> Result[T, StoreError]:
    decoded = decode_answer(reply.body, decoder)
    if isinstance(decoded, Err):
        events.emit(events.STORE_ODD_ANSWER, call=req.name, reason=decoded.err_value)
        return Err(error_if_unknown)
    return Ok(decoded.ok_value)


def decode_answer(body: bytes, decoder: msgspec.json.Decoder[T]) -> Result[T, str]:
    """Decode an answer; an object that cannot be decoded must not hide the others in it."""
    try:
        return Ok(decoder.decode(body))
    except DECODE_ERRORS as exc:
        reason = str(exc)
    try:
        return Ok(decoder.decode(without_undecodable(body)))
    except DECODE_ERRORS:
        return Err(reason)


async def _call(
    client: _Client, req: Request, error_if_unknown: StoreError
) -> Result[Reply, StoreError]:
    outcome = classify(req, await client.exchange(req), error_if_unknown, UNCHANGED_STATUSES)
    count_call(client.metrics, req, outcome)
    return outcome
