"""Split an uploaded JSONL file into checked items, in bounded memory.

Bytes come in pieces of any size. A line is decoded once to check its fields; its body is
kept as the bytes that came, so that the upstream gets exactly what the caller wrote.
"""

from typing import Annotated, Final, NamedTuple

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from papayapier.batch.records import LINE_BYTES, InputItem

ENGINE_URLS: Final = ("/v1/chat/completions", "/v1/completions")
SERVICE_URL: Final = "/services/"
METHODS: Final = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
OBJECT_START: Final = b"{"


class _Line(msgspec.Struct):
    """Mirror one line for decoding; msgspec keeps a Raw body undecoded."""

    custom_id: Annotated[str, Meta(min_length=1, max_length=256)]
    url: Annotated[str, Meta(min_length=1, max_length=1024)]
    body: msgspec.Raw
    method: str = "POST"


class LineError(NamedTuple):
    """Name the line at fault; the first line is 1."""

    line: int
    reason: str


class LineSplitter:
    """Cut a stream of bytes into lines and keep the unfinished last one."""

    __slots__ = ("_parts", "_size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now."""
        first, *rest = data.split(b"\n")
        self._keep(first)
        if not rest:
            return []
        lines = [b"".join(self._parts), *rest[:-1]]
        self._parts = []
        self._size = 0
        self._keep(rest[-1])
        return lines

    def rest(self) -> bytes:
        """Return the unfinished last line."""
        return b"".join(self._parts)

    def too_long(self) -> bool:
        """Tell whether the unfinished line is over the bound already."""
        return self._size > LINE_BYTES

    def _keep(self, part: bytes) -> None:
        self._parts.append(part)
        self._size += len(part)


def parse_line(line: bytes, number: int) -> Result[InputItem | None, LineError]:
    """Check one line; a blank line is no item."""
    if len(line) > LINE_BYTES:
        return Err(LineError(number, f"over {LINE_BYTES} bytes"))
    text = line.strip()
    if not text:
        return Ok(None)
    try:
        parsed = _DECODER.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return Err(LineError(number, str(exc)))
    body = bytes(parsed.body)
    reason = _fault(parsed, body)
    if reason:
        return Err(LineError(number, reason))
    return Ok(InputItem(parsed.custom_id, parsed.method, parsed.url, body))


def endpoint_of(url: str) -> str:
    """Return the endpoint that a URL belongs to, or nothing when it is not served."""
    if url in ENGINE_URLS:
        return url
    if not url.startswith(SERVICE_URL):
        return ""
    name = url[len(SERVICE_URL) :].partition("/")[0]
    return SERVICE_URL + name if name else ""


def _fault(parsed: _Line, body: bytes) -> str:
    if parsed.method not in METHODS:
        return f"method: {parsed.method} is not served"
    endpoint = endpoint_of(parsed.url)
    if not endpoint:
        return f"url: {parsed.url} is not served"
    if endpoint in ENGINE_URLS and parsed.method != "POST":
        return f"method: {endpoint} takes POST"
    if endpoint in ENGINE_URLS and not body.startswith(OBJECT_START):
        return "body: expected an object"
    return ""


_DECODER: Final = msgspec.json.Decoder(_Line)
