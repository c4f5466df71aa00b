"""Translate the platform's HTTP calls into calls on its objects, and results into responses."""

import re
from collections.abc import Callable
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.web.server import Request

from papayapier import codec
from papayapier.standin import web
from papayapier.standin.instances import Instances
from papayapier.standin.objects import LIST_LIMIT, Objects
from papayapier.store.api import MAX_VALUE_BYTES, Member, StoreError

OBJECT_PATH: Final = "/objects/"
INSTANCE_PATH: Final = "/instances/"
MAX_WAIT_MS: Final = 60_000
VALUE_TYPE: Final = "application/octet-stream"
KEY: Final = re.compile(r"[A-Za-z0-9._/-]{1,512}")
VERSION: Final = re.compile(r'"(\d+)"')


class Answer(NamedTuple):
    """Hold a response of the platform; version 0 means no ETag."""

    status: int
    body: bytes = b""
    content_type: str = web.JSON_TYPE
    version: int = 0


# Return the response, or None to continue waiting; the argument is True at the timeout.
Look = Callable[[bool], Answer | None]


class Wait(NamedTuple):
    """Hold the arguments of a long poll."""

    prefix: str
    since: int
    wait_ms: int


def failed(status: int, reason: str) -> Answer:
    """Make an error response with a reason."""
    return Answer(status, msgspec.json.encode({"error": reason}))


def read_object(objects: Objects, request: Request) -> Answer:
    """Handle GET /objects/KEY."""
    found = objects.get(_key_of(request))
    if isinstance(found, Err):
        return failed(404, "no such object")
    return Answer(200, found.ok_value.value, VALUE_TYPE, found.ok_value.version)


def list_objects(objects: Objects, request: Request) -> Answer:
    """Handle GET /list."""
    limit = web.query(request, "limit", str(LIST_LIMIT))
    if not limit.isdigit():
        return failed(400, "limit must be a number")
    page = objects.list(web.query(request, "prefix"), web.query(request, "after"), int(limit))
    listed = [{"key": one.key, "version": one.version} for one in page.objects]
    body = {"objects": listed, "more": page.more, "revision": page.revision}
    return Answer(200, codec.to_json(body))


def write_object(objects: Objects, request: Request) -> Answer:
    """Handle PUT and DELETE /objects/KEY."""
    key = _key_of(request)
    if KEY.fullmatch(key) is None:
        return failed(400, "not a valid key")
    if request.method == b"DELETE":
        return _delete(objects, request, key)
    value = web.body_of(request)
    if len(value) > MAX_VALUE_BYTES:
        return failed(413, f"the value is larger than {MAX_VALUE_BYTES} bytes")
    if web.header(request, "if-none-match") == "*":
        return _changed(201, objects.create(key, value))
    version = VERSION.fullmatch(web.header(request, "if-match"))
    if version is None:
        return failed(428, "neither If-None-Match: * nor If-Match is given")
    return _changed(200, objects.update(key, value, int(version.group(1))))


def read_member(request: Request) -> Result[Member, str]:
    """Parse the record that an instance reports about itself."""
    read = codec.from_json(web.body_of(request), Member)
    if isinstance(read, Ok) and read.ok_value.id != instance_of(request):
        return Err("the id does not match the path")
    return read


def instance_of(request: Request) -> str:
    """Return the instance id in the path of a call on /instances/ID."""
    return web.path_of(request)[len(INSTANCE_PATH) :]


def wait_of(request: Request) -> Wait | None:
    """Parse the arguments of a long poll; return None when they are malformed."""
    since, wait_ms = web.query(request, "since", "0"), web.query(request, "wait_ms", "0")
    if not (since.isdigit() and wait_ms.isdigit()):
        return None
    return Wait(web.query(request, "prefix"), int(since), min(int(wait_ms), MAX_WAIT_MS))


def look_at_changes(objects: Objects, wait: Wait) -> Look:
    """Make the function that checks a watch for changes."""

    def look(last: bool) -> Answer | None:
        found = objects.changes(wait.prefix, wait.since)
        if isinstance(found, Err):
            return failed(410, "the history no longer has these changes: list again")
        if not found.ok_value.changes and not last:
            return None
        changes = [
            {"key": one.key, "version": one.version, "deleted": one.deleted}
            for one in found.ok_value.changes
        ]
        return Answer(200, codec.to_json({"changes": changes, "revision": found.ok_value.revision}))

    return look


def look_at_members(instances: Instances, wait: Wait) -> Look:
    """Make the function that checks whether the instance list has changed."""

    def look(last: bool) -> Answer | None:
        if instances.revision == wait.since and not last:
            return None
        return _members_answer(instances.shown(), instances.revision)

    return look


def _members_answer(members: list[Member], revision: int) -> Answer:
    records = [member._asdict() for member in members]
    for record in records:
        del record["static"]
    return Answer(200, msgspec.json.encode({"instances": records, "revision": revision}))


def _delete(objects: Objects, request: Request, key: str) -> Answer:
    version = VERSION.fullmatch(web.header(request, "if-match"))
    if version is None:
        return failed(428, "If-Match is not given")
    return _changed(200, objects.delete(key, int(version.group(1))))


def _changed(status: int, result: Result[int, StoreError]) -> Answer:
    if isinstance(result, Err):
        return failed(412, "the condition does not hold")
    return Answer(status, version=result.ok_value)


def _key_of(request: Request) -> str:
    return web.path_of(request)[len(OBJECT_PATH) :]
