"""Write a generated answer to the caller, as one JSON body or as a stream of events.

Upstream events are passed through unchanged, because decoding and re-encoding each token would
take most of an instance's processor time.
"""

from typing import TYPE_CHECKING, Final, TypedDict

import msgspec
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from papayapier import events
from papayapier.decoding import DECODE_ERRORS
from papayapier.entry.answers import JSON_TYPE, refusal_body, with_content_length

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.entry.web import WebRequest
    from papayapier.errors import Refusal
    from papayapier.upstream.api import Reply, Token

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
STREAM_TYPE: Final = b"text/event-stream"
STREAM_END: Final = b"data: [DONE]\n\n"
# In addition to the buffers of the transport and the kernel; some thousand tokens.
MAX_UNREAD_BYTES: Final = 256_000


class ChatMessage(TypedDict):
    """Hold the message of a chat answer."""

    role: str
    content: str


class ChatChoice(TypedDict):
    """Hold the single choice of a chat answer."""

    index: int
    message: ChatMessage
    finish_reason: str


class TextChoice(TypedDict):
    """Hold the single choice of a completion."""

    index: int
    text: str
    finish_reason: str


class Delta(TypedDict):
    """Hold the delta of a chat stream, which is empty in the last event."""


class ChatEnd(TypedDict):
    """Hold the single choice of the event that ends a chat stream."""

    index: int
    delta: Delta
    finish_reason: str


class Usage(TypedDict):
    """Count the tokens generated."""

    completion_tokens: int


class Completion(TypedDict):
    """Hold a complete answer, or the event that ends a stream, in the OpenAI form."""

    id: str
    model: str
    choices: list[ChatChoice | ChatEnd | TextChoice]
    usage: Usage
    object: str


class _EventChoice(TypedDict, total=False):
    finish_reason: str | None


class _Event(TypedDict):
    choices: list[_EventChoice]


_EVENT: Final = msgspec.json.Decoder(_Event)


class ChatAnswer:
    """Write one generated answer to its caller."""

    __slots__ = (
        "_caller_stream",
        "_last_event",
        "_model",
        "_now",
        "_path",
        "_request",
        "_stream",
        "first_ms",
    )

    def __init__(
        self,
        request: "WebRequest",
        path: str,
        model: str,
        stream: bool,
        now: "Callable[[], int]",
    ) -> None:
        self._request = request
        self._path = path
        self._model = model
        self._stream = stream
        self._now = now
        self._caller_stream: _CallerStream | None = None
        self._last_event = b""
        self.first_ms = 0

    def on_token(self, token: "Token") -> None:
        """Pass one event of the stream on to the caller."""
        if not self.first_ms:
            self.first_ms = self._now()
        if not self._stream:
            return
        if self._caller_stream is None:
            self._caller_stream = self._start()
        self._last_event = token.data
        self._caller_stream.write(b"data: " + token.data + b"\n\n")

    def _start(self) -> "_CallerStream":
        self._request.setHeader(b"Content-Type", STREAM_TYPE)
        self._request.setHeader(b"Cache-Control", b"no-store")
        return _CallerStream(self._request)

    def started(self) -> bool:
        """Return whether part of the answer has been sent."""
        return self._caller_stream is not None

    def finish(self, call_id: str, reply: "Reply") -> bytes:
        """Return the last bytes of the answer; [DONE] marks a stream as complete."""
        if not self._stream:
            self._request.setHeader(b"Content-Type", JSON_TYPE)
            return with_content_length(
                self._request, msgspec.json.encode(self._complete_answer(call_id, reply))
            )
        if self._caller_stream is None:
            self._caller_stream = self._start()
        self._caller_stream.end()
        if _has_finish_reason(self._last_event):
            return STREAM_END
        # An engine may send the finish reason in an event without a token, which is not passed on.
        return (
            b"data: " + msgspec.json.encode(self._end_event(call_id, reply)) + b"\n\n" + STREAM_END
        )

    def _complete_answer(self, call_id: str, reply: "Reply") -> Completion:
        kind = "chat.completion" if self._path == CHAT_PATH else "text_completion"
        return self._completion(call_id, reply, self._choice(reply), kind)

    def _choice(self, reply: "Reply") -> ChatChoice | TextChoice:
        reason = reply.finish_reason
        if self._path == CHAT_PATH:
            message = ChatMessage(role="assistant", content=reply.text)
            return ChatChoice(index=0, message=message, finish_reason=reason)
        return TextChoice(index=0, text=reply.text, finish_reason=reason)

    def _end_event(self, call_id: str, reply: "Reply") -> Completion:
        reason = reply.finish_reason
        if self._path == CHAT_PATH:
            chat_end = ChatEnd(index=0, delta=Delta(), finish_reason=reason)
            return self._completion(call_id, reply, chat_end, "chat.completion.chunk")
        text_end = TextChoice(index=0, text="", finish_reason=reason)
        return self._completion(call_id, reply, text_end, "text_completion")

    def _completion(
        self, call_id: str, reply: "Reply", choice: ChatChoice | ChatEnd | TextChoice, kind: str
    ) -> Completion:
        usage = Usage(completion_tokens=reply.tokens)
        return Completion(id=call_id, model=self._model, choices=[choice], usage=usage, object=kind)

    def end_incomplete(self, refusal: "Refusal") -> bytes:
        """End a stream that has begun with the refusal and without [DONE]."""
        if self._caller_stream is not None:
            self._caller_stream.end()
        return b"data: " + refusal_body(refusal) + b"\n\n"


def _has_finish_reason(event: bytes) -> bool:
    if not event:
        return False
    try:
        choices = _EVENT.decode(event)["choices"]
    except DECODE_ERRORS:
        return False
    return bool(choices and choices[0].get("finish_reason"))


@implementer(IPushProducer)
class _CallerStream:
    """Write a stream to a caller, and disconnect it if it falls too far behind.

    Generation cannot be slowed down to the pace of its caller, so the unread bytes of stalled
    callers would accumulate in this process's memory. Closing the connection also cancels the
    request at the upstream.
    """

    def __init__(self, request: "WebRequest") -> None:
        self._request = request
        self._paused = False
        self._unread_bytes = 0
        self._open = True
        request.registerProducer(self, True)

    def write(self, data: bytes) -> None:
        if self._paused:
            self._unread_bytes += len(data)
            if self._unread_bytes > MAX_UNREAD_BYTES:
                self._close()
        if self._open:
            self._request.write_now(data)

    def end(self) -> None:
        if self._open:
            self._open = False
            self._request.unregisterProducer()

    def _close(self) -> None:
        if self._open:
            self._open = False
            events.emit(events.CALLER_SLOW, unread_bytes=self._unread_bytes)
            self._request.transport.abortConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self._paused = False
        self._unread_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        self._open = False
