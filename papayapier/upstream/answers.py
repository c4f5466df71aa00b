"""Validate and parse a replica's answer to a call.

An answer identifies its request twice: in the header X-Request-Id and, from a model engine,
in the field id of the body and of every chunk of a stream. Passing on an incomplete answer, or
one to another request, harms the caller more than an error, so any mismatch ends in a Fault.
"""

from typing import Final, NamedTuple, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result
from twisted.web.http_headers import Headers

from papayapier.decoding import DECODE_ERRORS, parse_number
from papayapier.upstream.api import Failure, FailureKind, Load, Sent
from papayapier.upstream.phases import Fault

REQUEST_ID_HEADER: Final = b"X-Request-Id"
LOAD_HEADER: Final = b"X-Load"
LOAD_FIGURES: Final = 3
# The body of a rejection, after its head. It has a sentence at most.
MAX_REJECTION_BYTES: Final = 16_384
MAX_REJECTION_MS: Final = 250
# Of the id of another request, for logs.
MAX_QUOTED_ID_CHARS: Final = 64
# What a collected body must grow by to count as progress. Its reader can use none of it before its
# end, so that its bytes only show whether the rest will come in time.
PROGRESS_BYTES: Final = 256


class Message(TypedDict):
    """Hold the message of a chat answer."""

    content: str | None


class Choice(TypedDict):
    """Hold one choice of a complete answer: chat has message, completions have text."""

    finish_reason: str | None
    message: NotRequired[Message]
    text: NotRequired[str]


class Usage(TypedDict):
    """Hold the token counts of an answer."""

    completion_tokens: int


class CompletionAnswer(TypedDict):
    """Hold the JSON answer of a model engine to a call that is not streamed."""

    id: str
    choices: list[Choice]
    usage: NotRequired[Usage | None]


class LoadReport(TypedDict):
    """Hold the answer to GET /load; step_ms is missing for a plain service."""

    running: int
    waiting: int
    slots: int
    step_ms: NotRequired[float]


class ParsedAnswer(NamedTuple):
    """Hold the fields read from an engine's answer."""

    text: str
    tokens: int
    finish_reason: str


EMPTY_ANSWER: Final = ParsedAnswer("", 0, "")

_ANSWER_DECODER: Final = msgspec.json.Decoder(CompletionAnswer)
_LOAD_DECODER: Final = msgspec.json.Decoder(LoadReport)


class BodyCollector:
    """Collect a body of bounded size."""

    __slots__ = ("_chunks", "_limit", "_size")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, data: bytes, _now_ms: int) -> Fault | None:
        """Append received bytes; return a Fault when the body exceeds the limit."""
        self._size += len(data)
        if self._size > self._limit:
            return Fault(FailureKind.INVALID, f"answer longer than {self._limit} bytes")
        self._chunks.append(data)
        return None

    def end(self, declared: bool) -> Fault | None:
        """Check that the body had a declared length; without one, truncation is undetectable."""
        if declared:
            return None
        return Fault(FailureKind.TRUNCATED, "answer has no declared length")

    def progress(self) -> int:
        """Return a number that grows with each PROGRESS_BYTES of the body."""
        return self._size // PROGRESS_BYTES

    def body(self) -> bytes:
        """Return the collected body."""
        return b"".join(self._chunks)


class RejectionBody:
    """Skip the body of a rejection, so that its connection can be used again.

    The request has not run, so it must not wait long for the end of a body that nobody reads.
    """

    __slots__ = ("_began_ms", "_size")

    def __init__(self, began_ms: int) -> None:
        self._began_ms = began_ms
        self._size = 0

    def add(self, data: bytes, now_ms: int) -> Fault | None:
        """Skip received bytes; return a Fault when there are too many or they take too long."""
        self._size += len(data)
        if self._size > MAX_REJECTION_BYTES:
            return Fault(FailureKind.INVALID, f"rejection longer than {MAX_REJECTION_BYTES} bytes")
        if now_ms - self._began_ms > MAX_REJECTION_MS:
            return Fault(FailureKind.INVALID, f"rejection takes over {MAX_REJECTION_MS} ms")
        return None

    def progress(self) -> int:
        """Return the size of the body, which is bounded in size and time."""
        return self._size


def wrong_id_fault(answer_id: str) -> Fault:
    """Return the fault for an answer that belongs to another request."""
    quoted = repr(answer_id[:MAX_QUOTED_ID_CHARS])
    return Fault(FailureKind.WRONG_ID, "the answer belongs to another request", quoted=quoted)


def parse_complete(body: bytes, request_id: str) -> Result[ParsedAnswer, Fault]:
    """Parse the complete JSON answer of an engine and check its id."""
    try:
        answer = _ANSWER_DECODER.decode(body)
    except DECODE_ERRORS as exc:
        return Err(Fault(FailureKind.INVALID, f"answer cannot be decoded: {exc}"))
    if answer["id"] != request_id:
        return Err(wrong_id_fault(answer["id"]))
    if not answer["choices"]:
        return Err(Fault(FailureKind.INVALID, "answer has no choices"))
    choice = answer["choices"][0]
    finish_reason = choice["finish_reason"]
    if not finish_reason:
        return Err(Fault(FailureKind.INVALID, "answer has no finish_reason"))
    usage = answer.get("usage")
    tokens = usage["completion_tokens"] if usage else 0
    return Ok(ParsedAnswer(_text(choice), tokens, finish_reason))


def _text(choice: Choice) -> str:
    if "text" in choice:
        return choice["text"]
    if "message" in choice:
        return choice["message"]["content"] or ""
    return ""


def parse_load_header(headers: Headers, now_ms: int) -> Load | None:
    """Parse the header X-Load, RUNNING/WAITING/SLOTS; a malformed header counts as none."""
    parts = header_text(headers, LOAD_HEADER).split("/")
    figures = [figure for figure in map(parse_number, parts) if figure is not None]
    if len(parts) != LOAD_FIGURES or len(figures) != LOAD_FIGURES:
        return None
    running, waiting, slots = figures
    return Load(running, waiting, slots, 0.0, now_ms, delayed=False)


def parse_load(status: int, body: bytes, now_ms: int) -> Result[Load, Failure]:
    """Parse the answer to GET /load."""
    if status != 200:
        return Err(Failure(FailureKind.STATUS, Sent.MAYBE, f"status {status}", status))
    try:
        report = _LOAD_DECODER.decode(body)
    except DECODE_ERRORS as exc:
        return Err(
            Failure(FailureKind.INVALID, Sent.MAYBE, f"load report cannot be decoded: {exc}")
        )
    step_ms = report.get("step_ms", 0.0)
    return Ok(Load(report["running"], report["waiting"], report["slots"], step_ms, now_ms))


def stated_ids(headers: Headers, name: bytes) -> str:
    """Return the request id that a header states, or all of them if it states several."""
    values = dict.fromkeys(headers.getRawHeaders(name, []))
    return b", ".join(values).decode("latin-1")


def header_text(headers: Headers, name: bytes) -> str:
    """Return the last value of a header, or an empty string."""
    values = headers.getRawHeaders(name)
    return values[-1].decode("latin-1") if values else ""
