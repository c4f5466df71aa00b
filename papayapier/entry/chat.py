"""Write a generated answer to the caller, as one JSON body or as a stream of events.

Upstream events are passed through as they came, because decoding and encoding each token
again would be most of an instance's processor time.
"""

from typing import TYPE_CHECKING, Final, NamedTuple, TypedDict

from papayapier.entry.answers import refusal_body, reply_json

if TYPE_CHECKING:
    from papayapier.entry.web import WebRequest
    from papayapier.errors import Refusal
    from papayapier.upstream.api import Reply, Token

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
STREAM_TYPE: Final = b"text/event-stream"
STREAM_END: Final = b"data: [DONE]\n\n"


class ChatMessage(TypedDict):
    """Hold the answer of a chat."""

    role: str
    content: str


class ChatChoice(TypedDict):
    """Hold the one choice of a chat answer."""

    index: int
    message: ChatMessage
    finish_reason: str


class TextChoice(TypedDict):
    """Hold the one choice of a completion."""

    index: int
    text: str
    finish_reason: str


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

    def __init__(self, request: "WebRequest", path: str, model: str, stream: bool) -> None:
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
        kind = "chat.completion" if self._path == CHAT_PATH else "text_completion"
        choices = (self._choice(reply),)
        body = Completion(call_id, self._model, choices, Usage(reply.tokens), kind)
        return reply_json(self._request, body)

    def _choice(self, reply: "Reply") -> ChatChoice | TextChoice:
        end = reply.finish_reason
        if self._path == CHAT_PATH:
            message = ChatMessage(role="assistant", content=reply.text)
            return ChatChoice(index=0, message=message, finish_reason=end)
        return TextChoice(index=0, text=reply.text, finish_reason=end)

    def break_off(self, refusal: "Refusal") -> bytes:
        """End a stream that has begun, without its end mark and with the reason."""
        return b"data: " + refusal_body(refusal) + b"\n\n"
