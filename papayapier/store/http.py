"""Implement the platform's object API (docs/PROTOCOLS.md) over HTTP.

Only this module knows this wire format; a module for the format of another service replaces
it, as the one in papayapier/platform/ does.
"""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar
from urllib.parse import quote

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.clock import Clock
from papayapier.decoding import parse_number
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
)
from papayapier.store.link import Reply, Request, make_link
from papayapier.store.outcomes import classify, count_call

T = TypeVar("T")

UNCHANGED_STATUSES: Final = {
    404: StoreError.NOT_FOUND,
    410: StoreError.TOO_OLD,
    412: StoreError.CONFLICT,
    413: StoreError.TOO_LARGE,
    429: StoreError.LIMITED,
    503: StoreError.UNAVAILABLE,
}


class _ListingBody(TypedDict):
    objects: list["_EntryBody"]
    more: bool
    revision: int


class _EntryBody(TypedDict):
    key: str
    version: int


class _ChangesBody(TypedDict):
    changes: list["_ChangeBody"]
    revision: int


class _ChangeBody(TypedDict):
    key: str
    version: int
    deleted: bool


class _MembersBody(TypedDict):
    instances: list["_MemberBody"]
    revision: int


class _MemberBody(TypedDict):
    id: str
    kind: str
    upstream: str
    host: str
    port: int
    peer_port: int
    data_centre: str
    region: str
    state: str
    static: NotRequired[bool]
    version: NotRequired[str]


class _Client(NamedTuple):
    """Group what every call needs."""

    exchange: Callable[[Request], Awaitable[Result[Reply, BaseException]]]
    metrics: Metrics


def http_store(reactor: Any, clock: Clock, platform: PlatformSettings, metrics: Metrics) -> Store:
    """Create a Store that calls the platform over persistent connections."""
    link = make_link(reactor, clock, platform)
    client = _Client(link.exchange, metrics)
    return Store(
        get=partial(_get, client),
        create=partial(_create, client),
        update=partial(_update, client),
        delete=partial(_delete, client),
        list=partial(_list, client),
        watch=partial(_watch, client),
        members=partial(_members, client),
        report=partial(_report, client),
        withdraw=partial(_withdraw, client),
        close=link.close,
    )


async def _get(client: _Client, key: str) -> Result[Stored, StoreError]:
    found = await _read(client, Request("get", "GET", _object_path(key)))
    if isinstance(found, Err):
        return found
    version = _version(found.ok_value)
    if version is None:
        return Err(StoreError.UNAVAILABLE)
    return Ok(Stored(key, version, found.ok_value.body))


async def _create(client: _Client, key: str, value: bytes) -> Result[int, StoreError]:
    headers = {"If-None-Match": "*"}
    return await _write_version(
        client, Request("create", "PUT", _object_path(key), headers=headers, body=value)
    )


async def _update(client: _Client, key: str, value: bytes, version: int) -> Result[int, StoreError]:
    headers = {"If-Match": f'"{version}"'}
    return await _write_version(
        client, Request("update", "PUT", _object_path(key), headers=headers, body=value)
    )


async def _delete(client: _Client, key: str, version: int) -> Result[int, StoreError]:
    headers = {"If-Match": f'"{version}"'}
    done = await _write(client, Request("delete", "DELETE", _object_path(key), headers=headers))
    # The platform does not return a deletion's version; the deleted version is its lower bound.
    return done.map(lambda reply: _version(reply) or version)


async def _list(
    client: _Client, prefix: str, after: str, limit: int
) -> Result[Listing, StoreError]:
    params = {"prefix": prefix, "after": after, "limit": str(limit)}
    found = await _read_json(client, Request("list", "GET", "/list", params), _ListingBody)
    return found.map(
        lambda body: Listing(
            [Entry(entry["key"], entry["version"]) for entry in body["objects"]],
            body["more"],
            body["revision"],
        )
    )


async def _watch(
    client: _Client, prefix: str, since: int, wait_ms: int
) -> Result[Changes, StoreError]:
    params = {"prefix": prefix, "since": str(since), "wait_ms": str(wait_ms)}
    req = Request("watch", "GET", "/watch", params, wait_ms=wait_ms)
    found = await _read_json(client, req, _ChangesBody)
    return found.map(
        lambda body: Changes(
            [Change(c["key"], c["version"], c["deleted"]) for c in body["changes"]],
            body["revision"],
        )
    )


async def _members(client: _Client, wait_ms: int, since: int) -> Result[Members, StoreError]:
    params = {"wait_ms": str(wait_ms), "since": str(since)}
    req = Request("members", "GET", "/instances", params, wait_ms=wait_ms)
    found = await _read_json(client, req, _MembersBody)
    return found.map(
        lambda body: Members([Member(**known) for known in body["instances"]], body["revision"])
    )


async def _report(client: _Client, member: Member) -> Result[None, StoreError]:
    path = "/instances/" + quote(member.id, safe="")
    done = await _write(client, Request("report", "PUT", path, body=codec.to_json(member)))
    return done.map(lambda _: None)


async def _withdraw(client: _Client, member_id: str) -> Result[None, StoreError]:
    path = "/instances/" + quote(member_id, safe="")
    done = await _write(client, Request("withdraw", "DELETE", path))
    return done.map(lambda _: None)


def _object_path(key: str) -> str:
    return "/objects/" + quote(key)


def _version(reply: Reply) -> int | None:
    return parse_number(reply.etag.strip('"'))


async def _read_json(client: _Client, req: Request, cls: type[T]) -> Result[T, StoreError]:
    found = await _read(client, req)
    if isinstance(found, Err):
        return found
    body = codec.from_json(found.ok_value.body, cls)
    if isinstance(body, Err):
        events.emit(events.STORE_ODD_ANSWER, call=req.name, reason=body.err_value)
        return Err(StoreError.UNAVAILABLE)
    return Ok(body.ok_value)


async def _read(client: _Client, req: Request) -> Result[Reply, StoreError]:
    return await _call(client, req, StoreError.UNAVAILABLE)


async def _write(client: _Client, req: Request) -> Result[Reply, StoreError]:
    return await _call(client, req, StoreError.LOST)


async def _call(
    client: _Client, req: Request, error_if_unknown: StoreError
) -> Result[Reply, StoreError]:
    outcome = classify(req, await client.exchange(req), error_if_unknown, UNCHANGED_STATUSES)
    count_call(client.metrics, req, outcome)
    return outcome


async def _write_version(client: _Client, req: Request) -> Result[int, StoreError]:
    done = await _write(client, req)
    if isinstance(done, Err):
        return done
    version = _version(done.ok_value)
    return Err(StoreError.LOST) if version is None else Ok(version)
