"""Parse a stream of tokens sent as server-sent events.

Events are separated by blank lines and each has one line that starts with "data: ". This is the
hot path of an instance, so received bytes are split in one call, and only the fields of an
event that are checked or passed on are decoded.
"""

from typing import Final, NotRequired, TypedDict

import msgspec

from papayapier.decoding import DECODE_ERRORS
from papayapier.upstream.answers import ParsedAnswer, wrong_id_fault
from papayapier.upstream.api import FailureKind, OnToken, Token
from papayapier.upstream.phases import Fault

DATA: Final = b"data:"
DONE: Final = b"[DONE]"
MAX_EVENT_BYTES: Final = 262_144
# What ends an event. A line feed may follow a carriage return.
BLANK_LINES: Final = (b"\n\n", b"\n\r\n")
MAX_BLANK_LINE_BYTES: Final = max(map(len, BLANK_LINES))
MAX_TEXT_CHARS: Final = 4_000_000


class Delta(TypedDict):
    """Hold the delta of a chat chunk; the first and the last chunk may have no content."""

    content: NotRequired[str | None]


class StreamChoice(TypedDict):
    """Hold one choice of a chunk: chat has delta, completions have text."""

    finish_reason: NotRequired[str | None]
    delta: NotRequired[Delta]
    text: NotRequired[str]


class Chunk(TypedDict):
    """Hold one chunk of a stream."""

    id: str
    choices: list[StreamChoice]


_CHUNK: Final = msgspec.json.Decoder(Chunk)


class StreamReader:
    """Parse the bytes of one stream into tokens, and detect an incomplete stream."""

    __slots__ = (
        "_buffer",
        "_chars",
        "_complete",
        "_finish_reason",
        "_on_token",
        "_request_id",
        "_texts",
        "events",
        "first_ms",
    )

    def __init__(self, request_id: str, on_token: OnToken) -> None:
        self._request_id = request_id
        self._finish_reason = ""
        self._on_token = on_token
        self._buffer = bytearray()
        self._texts: list[str] = []
        self._chars = 0
        self._complete = False
        # The number of events with data.
        self.events = 0
        self.first_ms = 0

    def parsed(self) -> ParsedAnswer:
        """Return the text, token count and finish reason received so far."""
        return ParsedAnswer("".join(self._texts), len(self._texts), self._finish_reason)

    def feed(self, data: bytes, now_ms: int) -> Fault | None:
        """Process received bytes and call back for each token in them."""
        # An event may arrive byte by byte, so the bytes before are not searched again.
        searched = bytes(self._buffer[-MAX_BLANK_LINE_BYTES:]) + data
        self._buffer += data
        if not any(blank in searched for blank in BLANK_LINES):
            return self._check_length()
        parts = bytes(self._buffer).replace(b"\r\n", b"\n").split(b"\n\n")
        self._buffer = bytearray(parts.pop())
        fault = self._check_length()
        if fault is not None:
            return fault
        for part in parts:
            payload = _event_data(part)
            fault = self._process(payload, now_ms) if payload else None
            if fault is not None:
                return fault
        return None

    def _check_length(self) -> Fault | None:
        if len(self._buffer) <= MAX_EVENT_BYTES:
            return None
        return Fault(FailureKind.INVALID, f"event longer than {MAX_EVENT_BYTES} bytes")

    def end(self) -> Fault | None:
        """Check that the stream ended with [DONE] and a finish_reason."""
        if not self._complete:
            return Fault(FailureKind.TRUNCATED, "stream ended without [DONE]")
        if not self._finish_reason:
            return Fault(FailureKind.INVALID, "stream has no finish_reason")
        return None

    def _process(self, payload: bytes, now_ms: int) -> Fault | None:
        self.events += 1
        if self._complete:
            return Fault(FailureKind.INVALID, "stream continues after [DONE]")
        if payload == DONE:
            self._complete = True
            return None
        try:
            chunk = _CHUNK.decode(payload)
        except DECODE_ERRORS as exc:
            return Fault(FailureKind.INVALID, f"stream chunk cannot be decoded: {exc}")
        if chunk["id"] != self._request_id:
            return wrong_id_fault(chunk["id"])
        if not chunk["choices"]:
            return None
        return self._process_choice(chunk["choices"][0], payload, now_ms)

    def _process_choice(self, choice: StreamChoice, payload: bytes, now_ms: int) -> Fault | None:
        delta = choice.get("delta")
        text = delta.get("content") if delta else choice.get("text")
        finish_reason = choice.get("finish_reason")
        if finish_reason:
            self._finish_reason = finish_reason
        if text:
            return self._process_text(text, payload, now_ms)
        return None

    def _process_text(self, text: str, payload: bytes, now_ms: int) -> Fault | None:
        if not self._texts:
            self.first_ms = now_ms
        self._texts.append(text)
        self._chars += len(text)
        if self._chars > MAX_TEXT_CHARS:
            return Fault(FailureKind.INVALID, f"answer longer than {MAX_TEXT_CHARS} characters")
        self._on_token(Token(text, payload, now_ms))
        return None


def _event_data(event: bytes) -> bytes:
    """Return the data of an event; comments and other fields are ignored."""
    if event.startswith(DATA) and b"\n" not in event:
        return event[len(DATA) :].strip()
    lines = [line for line in event.split(b"\n") if line.startswith(DATA)]
    return b"\n".join(line[len(DATA) :].strip() for line in lines)
