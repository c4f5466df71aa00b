"""Translate the platform's HTTP calls into calls on its objects, and results into responses."""

import re
from collections.abc import Callable
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.web.server import Request

from papayapier import codec
from papayapier.standin import web
from papayapier.standin.instance_list import InstanceList
from papayapier.standin.object_store import LIST_LIMIT, ObjectStore
from papayapier.store.api import MAX_VALUE_BYTES, Member, StoreError

OBJECT_PATH: Final = "/objects/"
INSTANCE_PATH: Final = "/instances/"
MAX_WAIT_MS: Final = 60_000
VALUE_TYPE: Final = "application/octet-stream"
KEY: Final = re.compile(r"[A-Za-z0-9._/-]{1,512}")
VERSION: Final = re.compile(r'"(\d+)"')


class Response(NamedTuple):
    """Hold a response of the platform; version 0 means no ETag."""

    status: int
    body: bytes = b""
    content_type: str = web.JSON_TYPE
    version: int = 0


# Return the response, or None to continue waiting; the argument is True at the timeout.
PollCheck = Callable[[bool], Response | None]


class PollArgs(NamedTuple):
    """Hold the arguments of a long poll."""

    prefix: str
    since: int
    wait_ms: int


def error_response(status: int, reason: str) -> Response:
    """Make an error response with a reason."""
    return Response(status, msgspec.json.encode({"error": reason}))


def read_object(objects: ObjectStore, request: Request) -> Response:
    """Handle GET /objects/KEY."""
    found = objects.get(_key_of(request))
    if isinstance(found, Err):
        return error_response(404, "no such object")
    return Response(200, found.ok_value.value, VALUE_TYPE, found.ok_value.version)


def list_objects(objects: ObjectStore, request: Request) -> Response:
    """Handle GET /list."""
    limit = web.query(request, "limit", str(LIST_LIMIT))
    if not limit.isdigit():
        return error_response(400, "limit must be a number")
    page = objects.list(web.query(request, "prefix"), web.query(request, "after"), int(limit))
    listed = [{"key": entry.key, "version": entry.version} for entry in page.objects]
    body = {"objects": listed, "more": page.more, "revision": page.revision}
    return Response(200, codec.to_json(body))


def write_object(objects: ObjectStore, request: Request) -> Response:
    """Handle PUT and DELETE /objects/KEY."""
    key = _key_of(request)
    if KEY.fullmatch(key) is None:
        return error_response(400, "not a valid key")
    if request.method == b"DELETE":
        return _delete(objects, request, key)
    value = web.body_of(request)
    if len(value) > MAX_VALUE_BYTES:
        return error_response(413, f"the value is larger than {MAX_VALUE_BYTES} bytes")
    if web.header(request, "if-none-match") == "*":
        return _write_response(201, objects.create(key, value))
    version = VERSION.fullmatch(web.header(request, "if-match"))
    if version is None:
        return error_response(428, "neither If-None-Match: * nor If-Match is given")
    return _write_response(200, objects.update(key, value, int(version.group(1))))


def parse_member(request: Request) -> Result[Member, str]:
    """Parse the record that an instance reports about itself."""
    read = codec.from_json(web.body_of(request), Member)
    if isinstance(read, Ok) and read.ok_value.id != instance_id_of(request):
        return Err("the id does not match the path")
    return read


def instance_id_of(request: Request) -> str:
    """Return the instance id in the path of a call on /instances/ID."""
    return web.path_of(request)[len(INSTANCE_PATH) :]


def poll_args_of(request: Request) -> PollArgs | None:
    """Parse the arguments of a long poll; return None when they are malformed."""
    since, wait_ms = web.query(request, "since", "0"), web.query(request, "wait_ms", "0")
    if not (since.isdigit() and wait_ms.isdigit()):
        return None
    return PollArgs(web.query(request, "prefix"), int(since), min(int(wait_ms), MAX_WAIT_MS))


def make_changes_check(objects: ObjectStore, args: PollArgs) -> PollCheck:
    """Make the function that checks a watch for changes."""

    def check(timed_out: bool) -> Response | None:
        found = objects.changes(args.prefix, args.since)
        if isinstance(found, Err):
            return error_response(410, "the history no longer has these changes: list again")
        if not found.ok_value.changes and not timed_out:
            return None
        changes = [
            {"key": change.key, "version": change.version, "deleted": change.deleted}
            for change in found.ok_value.changes
        ]
        return Response(
            200, codec.to_json({"changes": changes, "revision": found.ok_value.revision})
        )

    return check


def make_members_check(instances: InstanceList, args: PollArgs) -> PollCheck:
    """Make the function that checks whether the instance list has changed."""

    def check(timed_out: bool) -> Response | None:
        if instances.revision == args.since and not timed_out:
            return None
        return _members_response(instances.listed(), instances.revision)

    return check


def _members_response(members: list[Member], revision: int) -> Response:
    records = [member._asdict() for member in members]
    for record in records:
        del record["static"]
    return Response(200, msgspec.json.encode({"instances": records, "revision": revision}))


def _delete(objects: ObjectStore, request: Request, key: str) -> Response:
    version = VERSION.fullmatch(web.header(request, "if-match"))
    if version is None:
        return error_response(428, "If-Match is not given")
    return _write_response(200, objects.delete(key, int(version.group(1))))


def _write_response(status: int, result: Result[int, StoreError]) -> Response:
    if isinstance(result, Err):
        return error_response(412, "the condition does not hold")
    return Response(status, version=result.ok_value)


def _key_of(request: Request) -> str:
    return web.path_of(request)[len(OBJECT_PATH) :]
