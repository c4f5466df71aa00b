"""Make the control calls of a run: to operator addresses, stand-ins and the platform."""

from typing import Any, Final

import msgspec
import treq
from result import Err, Ok, Result
from twisted.internet.error import ConnectError, ConnectionClosed, TimeoutError
from twisted.web.client import ResponseFailed, ResponseNeverReceived
from twisted.web.http_headers import Headers

TIMEOUT_S: Final = 20
OK_STATUSES: Final = (200, 201, 202)

CALL_ERRORS: Final = (
    ConnectError,
    ConnectionClosed,
    TimeoutError,
    ResponseFailed,
    ResponseNeverReceived,
)


async def http_call(
    method: str, url: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Result[bytes, str]:
    """Make a call and return the response body, or an error text."""
    try:
        fields = Headers({name: [value] for name, value in (headers or {}).items()})
        response = await treq.request(
            method, url, data=body, headers=fields, persistent=False, timeout=TIMEOUT_S
        )
        content: bytes = await response.content()
    except CALL_ERRORS as exc:
        return Err(f"{method} {url}: {type(exc).__name__}: {exc}")
    if response.code not in OK_STATUSES:
        return Err(
            f"{method} {url}: status {response.code}: {content[:300].decode(errors='replace')}"
        )
    return Ok(content)


async def http_call_json(
    method: str, url: str, document: object = None, headers: dict[str, str] | None = None
) -> Result[Any, str]:
    """Make a call with a JSON body and return the decoded response."""
    body = b"" if document is None else msgspec.json.encode(document)
    fields = {"Content-Type": "application/json", **(headers or {})}
    decoded = await http_call(method, url, body, fields)
    return decoded.and_then(lambda content: _decode(url, content))


def _decode(url: str, content: bytes) -> Result[Any, str]:
    try:
        return Ok(msgspec.json.decode(content))
    except msgspec.MsgspecError as exc:
        return Err(f"{url}: the response is not JSON: {exc}")
