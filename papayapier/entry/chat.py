"""Write a generated answer to the caller, as one JSON body or as a stream of events.

Upstream events are passed through as they came, because decoding and encoding each token
again would be most of an instance's processor time.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.dispatch.lanes import ENGINE_PATHS
from papayapier.entry.answers import refusal_body, reply_json

if TYPE_CHECKING:
    from twisted.web.iweb import IRequest

    from papayapier.errors import Refusal
    from papayapier.upstream.api import Reply, Token

STREAM_TYPE: Final = b"text/event-stream"
STREAM_END: Final = b"data: [DONE]\n\n"


class ChatMessage(NamedTuple):
    """Hold the answer of a chat."""

    content: str
    role: str = "assistant"


class ChatChoice(NamedTuple):
    """Hold the one choice of a chat answer."""

    message: ChatMessage
    finish_reason: str
    index: int = 0


class TextChoice(NamedTuple):
    """Hold the one choice of a completion."""

    text: str
    finish_reason: str
    index: int = 0


class Usage(NamedTuple):
    """Count the tokens generated."""

    completion_tokens: int


class Completion(NamedTuple):
    """Hold a whole answer in the OpenAI form."""

    id: str
    model: str
    choices: tuple[ChatChoice | TextChoice, ...]
    usage: Usage
    object: str


class ChatAnswer:
    """Own the caller's side of one generated answer."""

    __slots__ = ("_model", "_path", "_request", "_stream", "started")

    def __init__(self, request: "IRequest", path: str, model: str, stream: bool) -> None:
        self._request = request
        self._path = path
        self._model = model
        self._stream = stream
        self.started = False

    def on_token(self, token: "Token") -> None:
        """Pass one event of the stream on to the caller."""
        if not self._stream:
            return
        if not self.started:
            self.started = True
            self._request.setHeader(b"Content-Type", STREAM_TYPE)
            self._request.setHeader(b"Cache-Control", b"no-store")
        self._request.write(b"data: " + token.data + b"\n\n")

    def finish(self, call_id: str, reply: "Reply") -> bytes | None:
        """End the answer; the end mark tells the caller that it is whole."""
        if self._stream:
            return STREAM_END
        if self._path == ENGINE_PATHS[0]:
            choice: ChatChoice | TextChoice = ChatChoice(
                ChatMessage(reply.text), reply.finish_reason
            )
            kind = "chat.completion"
        else:
            choice = TextChoice(reply.text, reply.finish_reason)
            kind = "text_completion"
        usage = Usage(reply.tokens)
        body = Completion(call_id, self._model, (choice,), usage, kind)
        return reply_json(self._request, body)

    def break_off(self, refusal: "Refusal") -> bytes:
        """End a stream that has begun, without its end mark and with the reason."""
        return b"data: " + refusal_body(refusal) + b"\n\n"
