"""Split an uploaded JSONL file into validated items, in bounded memory.

Input arrives in pieces of any size. A line is decoded once to check its fields; its body is
kept as the received bytes, so that the upstream gets exactly what the caller wrote.
"""

from typing import Annotated, Final, NamedTuple

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from papayapier.batch.records import MAX_LINE_BYTES, InputItem
from papayapier.decoding import DECODE_ERRORS

ENGINE_URLS: Final = ("/v1/chat/completions", "/v1/completions")
SERVICE_URL: Final = "/services/"
METHODS: Final = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})
OBJECT_START: Final = b"{"


class _Line(msgspec.Struct):
    """Define one line for decoding; msgspec keeps a Raw body undecoded."""

    custom_id: Annotated[str, Meta(min_length=1, max_length=256)]
    url: Annotated[str, Meta(min_length=1, max_length=1024)]
    body: msgspec.Raw
    method: str = "POST"


class LineError(NamedTuple):
    """Hold the number of an invalid line, from 1, and the reason."""

    line: int
    reason: str


class LineSplitter:
    """Split a stream of bytes into lines and buffer the incomplete last line."""

    __slots__ = ("_parts", "_size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now."""
        first, *rest = data.split(b"\n")
        self._buffer(first)
        if not rest:
            return []
        lines = [b"".join(self._parts), *rest[:-1]]
        self._parts = []
        self._size = 0
        self._buffer(rest[-1])
        return lines

    def remainder(self) -> bytes:
        """Return the incomplete last line."""
        return b"".join(self._parts)

    def too_long(self) -> bool:
        """Return whether the incomplete line already exceeds the limit."""
        return self._size > MAX_LINE_BYTES

    def _buffer(self, part: bytes) -> None:
        self._parts.append(part)
        self._size += len(part)


def parse_line(line: bytes, number: int) -> Result[InputItem | None, LineError]:
    """Validate one line; a blank line gives None."""
    if len(line) > MAX_LINE_BYTES:
        return Err(LineError(number, f"over {MAX_LINE_BYTES} bytes"))
    text = line.strip()
    if not text:
        return Ok(None)
    try:
        parsed = _DECODER.decode(text)
    except DECODE_ERRORS as exc:
        return Err(LineError(number, str(exc)))
    body = bytes(parsed.body)
    reason = _invalid_reason(parsed, body)
    if reason:
        return Err(LineError(number, reason))
    return Ok(InputItem(parsed.custom_id, parsed.method, parsed.url, body))


def endpoint_of(url: str) -> str:
    """Return the endpoint of a URL, or an empty string if it is not served."""
    if url in ENGINE_URLS:
        return url
    if not url.startswith(SERVICE_URL):
        return ""
    name = url[len(SERVICE_URL) :].partition("/")[0]
    return SERVICE_URL + name if name else ""


def _invalid_reason(parsed: _Line, body: bytes) -> str:
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
