"""Read requests and write responses, for the handlers of the stand-ins."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple, cast
from urllib.parse import unquote

import msgspec
from twisted.web.server import Request

from papayapier.standin.listener import Connection

JSON_TYPE: Final = "application/json"


class JsonResponse(NamedTuple):
    """Hold a status and a value to be sent as JSON."""

    status: int
    value: object


def connection_of(request: Request) -> Connection:
    """Return the connection on which a request arrived."""
    return cast(Connection, cast(Any, request).channel.transport)


def path_of(request: Request) -> str:
    """Return the decoded path of a request, without its query."""
    return unquote(request.path.decode("ascii", "replace"))


def body_of(request: Request) -> bytes:
    """Return the complete body of a request."""
    return cast(bytes, cast(Any, request).content.read())


def header(request: Request, name: str) -> str:
    """Return a request header, or an empty string."""
    return request.getHeader(name) or ""


def query(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a query argument."""
    values = cast(dict[bytes, list[bytes]], request.args).get(name.encode())
    return values[0].decode("utf-8", "replace") if values else default


def set_header(request: Request, name: str, value: str) -> None:
    """Set a header of the response."""
    cast(Any, request).setHeader(name.encode(), value.encode())


def write(request: Request, data: bytes) -> None:
    """Write a part of the response body."""
    cast(Any, request).write(data)


def finish(request: Request) -> None:
    """End the response body."""
    cast(Any, request).finish()


def send_json(request: Request, response: JsonResponse) -> None:
    """Finish a request with a JSON response."""
    send(request, response.status, msgspec.json.encode(response.value), JSON_TYPE)


def send(request: Request, status: int, body: bytes, content_type: str) -> None:
    """Finish a request with a body, unless its connection has closed."""
    if is_closed(request):
        return
    request.setResponseCode(status)
    set_header(request, "content-type", content_type)
    set_header(request, "content-length", str(len(body)))
    write(request, body)
    finish(request)


def send_truncated(request: Request, body: bytes, content_type: str) -> None:
    """Send half of a body with the content length of all of it, and close the connection."""
    set_header(request, "content-type", content_type)
    set_header(request, "content-length", str(len(body)))
    write(request, body[: len(body) // 2])
    connection_of(request).loseConnection()


def is_closed(request: Request) -> bool:
    """Return whether the connection of a request closed before the response was complete."""
    return cast(Any, request).channel is None


def on_closed(request: Request, call: Callable[[], None]) -> None:
    """Run a call when the connection closes before the request is finished."""
    request.notifyFinish().addErrback(lambda _: call())
