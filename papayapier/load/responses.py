"""Classify a response: a complete and correct answer, a refusal, or a faulty response.

This module does no I/O: the client feeds status and bytes, and gets a verdict at the end.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple, TypedDict

import msgspec

from papayapier.load.request_mix import Request

OK_STATUS: Final = 200
DATA: Final = b"data:"
DONE: Final = b"[DONE]"
NO_FINISH_REASON: Final = "stream without a finish_reason"


class RequestOutcome(Enum):
    """List the outcomes of a request as its caller sees them.

    WRONG is an answer that belongs to another request or is incomplete, and yet looks
    successful. DISCONNECTED is a connection that closed early, which a caller can detect.
    TIMED_OUT is a request without a complete answer in time. ABANDONED means that the caller
    itself disconnected.
    """

    COMPLETE = "whole"
    REFUSED = "refused"
    WRONG = "wrong"
    DISCONNECTED = "cut"
    TIMED_OUT = "hung"
    ABANDONED = "left"


class Verdict(NamedTuple):
    """Hold the outcome of a request; kind and outcome are those of a refusal.

    flaw describes how a complete answer deviates from the protocol's format.
    """

    request_outcome: RequestOutcome
    kind: str = ""
    outcome: str = ""
    reason: str = ""
    retry_after_ms: int = 0
    tokens: int = 0
    flaw: str = ""


class RefusalBody(TypedDict, total=False):
    """Describe the fields of a refusal that callers read."""

    kind: str
    outcome: str
    reason: str
    retry_after_ms: int


class Message(TypedDict, total=False):
    """Describe the text of a choice."""

    content: str


class Choice(TypedDict, total=False):
    """Describe the fields of one choice, in a JSON response or a stream."""

    message: Message
    delta: Message
    finish_reason: str | None


class Document(TypedDict, total=False):
    """Describe the fields that are read from any JSON response."""

    choices: list[Choice]
    error: RefusalBody
    echo: str


ExpectedText = Callable[[str, int], str]

_DECODER: Final = msgspec.json.Decoder(Document)


class StreamReader:
    """Parse server-sent events as they arrive."""

    __slots__ = ("_buffer", "document", "finished", "parts", "terminated")

    def __init__(self) -> None:
        self._buffer = b""
        self.parts: list[str] = []
        self.finished = False
        self.terminated = False
        self.document: Document | None = None

    def feed(self, data: bytes) -> int:
        """Parse received bytes and return how many tokens they completed."""
        lines = (self._buffer + data).split(b"\n")
        self._buffer = lines.pop()
        before = len(self.parts)
        for line in lines:
            if line.startswith(DATA):
                self._on_event(line[len(DATA) :].strip())
        return len(self.parts) - before

    def _on_event(self, payload: bytes) -> None:
        if payload == DONE:
            self.terminated = True
            return
        document = decode(payload)
        if document is None or "error" in document:
            self.document = document
            return
        for choice in document.get("choices", []):
            if text := choice.get("delta", {}).get("content", ""):
                self.parts.append(text)
            if choice.get("finish_reason"):
                self.finished = True


def decode(payload: bytes) -> Document | None:
    """Return the JSON document of a response, or None when it is malformed."""
    try:
        return _DECODER.decode(payload)
    except msgspec.MsgspecError:
        return None


def classify_response(req: Request, status: int, body: bytes, expected: ExpectedText) -> Verdict:
    """Classify a response that was not streamed."""
    document = decode(body)
    if document is None:
        return Verdict(RequestOutcome.WRONG, reason=f"status {status}, body is not JSON")
    if "error" in document:
        return _refusal(document["error"], status)
    if status != OK_STATUS:
        return Verdict(RequestOutcome.WRONG, reason=f"status {status} without an error")
    if req.cls.kind == "service":
        return _classify_echo(req, document)
    choices = document.get("choices", [])
    text = choices[0].get("message", {}).get("content", "") if choices else ""
    return _classify_text(req, text, expected)


def classify_stream(req: Request, reader: StreamReader, expected: ExpectedText) -> Verdict:
    """Classify a stream whose response ended without a connection error."""
    if reader.document is not None and "error" in reader.document:
        return _refusal(reader.document["error"], OK_STATUS)
    if not reader.terminated:
        return Verdict(
            RequestOutcome.DISCONNECTED,
            reason="the stream has no end marker",
            tokens=len(reader.parts),
        )
    verdict = _classify_text(req, "".join(reader.parts), expected)
    return verdict if reader.finished else verdict._replace(flaw=NO_FINISH_REASON)


def _classify_echo(req: Request, document: Document) -> Verdict:
    if document.get("echo") != req.body_sha256():
        return Verdict(
            RequestOutcome.WRONG, reason="the service's echo does not match the request body"
        )
    return Verdict(RequestOutcome.COMPLETE)


def _classify_text(req: Request, text: str, expected: ExpectedText) -> Verdict:
    expected_answer = expected(req.prompt, req.max_tokens)
    if text.split() != expected_answer.split():
        return Verdict(
            RequestOutcome.WRONG,
            reason=f"unexpected text: {text[:60]!r}, expected {expected_answer[:60]!r}",
        )
    return Verdict(RequestOutcome.COMPLETE, tokens=req.max_tokens)


def _refusal(error: RefusalBody, status: int) -> Verdict:
    kind = error.get("kind", "")
    outcome = error.get("outcome", "")
    reason = error.get("reason", "")
    if not kind or outcome not in ("not_run", "unknown"):
        return Verdict(
            RequestOutcome.WRONG, reason=f"status {status}, refusal without kind and outcome"
        )
    return Verdict(RequestOutcome.REFUSED, kind, outcome, reason, error.get("retry_after_ms", 0))
