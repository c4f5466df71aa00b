"""Parse generate requests and encode their responses, as JSON or as server-sent events.

The constant bytes around a chunk's word are encoded once per request, because a chunk is
written for every token.
"""

from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.web.server import Request

from papayapier.standin import web
from papayapier.standin.answers import DEFAULT_MAX_TOKENS, GenerateBody, prompt_text

MAX_TOKENS: Final = 100_000
SSE_TYPE: Final = "text/event-stream"
END_MARKER: Final = b"data: [DONE]\n\n"
CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
LENGTH_REASON: Final = "length"
PLACEHOLDER: Final = "@"


class Generation(NamedTuple):
    """Hold one generate request; done_words is the number of words in its resume text."""

    request_id: str
    call_id: str
    chat: bool
    stream: bool
    model: str
    prompt: str
    max_tokens: int
    done_words: int

    @property
    def new_tokens_left(self) -> int:
        """Return how many tokens remain to be generated."""
        return max(0, self.max_tokens - self.done_words)


class ChunkFrame(NamedTuple):
    """Hold the constant bytes before and after the word of a chunk."""

    before: bytes
    after: bytes


def parse_generation(request: Request) -> Result[Generation, str]:
    """Parse a generate request, or return what is wrong with it."""
    try:
        body = msgspec.json.decode(web.body_of(request), type=GenerateBody)
    except msgspec.MsgspecError as exc:
        return Err(str(exc))
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not 1 <= max_tokens <= MAX_TOKENS:
        return Err(f"max_tokens must be from 1 to {MAX_TOKENS}")
    request_id = web.header(request, "x-request-id")
    return Ok(
        Generation(
            request_id=request_id,
            call_id=web.header(request, "x-papayapier-call") or request_id,
            chat=web.path_of(request) == CHAT_PATH,
            stream=body.get("stream", False),
            model=body.get("model", ""),
            prompt=prompt_text(body),
            max_tokens=max_tokens,
            done_words=len(body.get("resume_text", "").split()),
        )
    )


def chunk_frame(generation: Generation) -> ChunkFrame:
    """Encode the parts of a chunk that are the same for every token."""
    before, after = _sse_event(_chunk(generation, PLACEHOLDER, None)).rsplit(
        PLACEHOLDER.encode(), 1
    )
    return ChunkFrame(before, after)


def final_chunks(generation: Generation) -> bytes:
    """Encode the final chunk of a stream, and the end marker."""
    chunk = _chunk(generation, "", LENGTH_REASON)
    chunk["usage"] = _usage(generation)
    return _sse_event(chunk) + END_MARKER


def json_body(generation: Generation, text: str) -> bytes:
    """Encode a response that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": LENGTH_REASON}
    if generation.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": generation.request_id,
            "object": "chat.completion" if generation.chat else "text_completion",
            "model": generation.model,
            "choices": [choice],
            "usage": _usage(generation),
        }
    )


def _chunk(generation: Generation, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0}
    if generation.chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = finish_reason
    kind = "chat.completion.chunk" if generation.chat else "text_completion"
    return {"id": generation.request_id, "object": kind, "choices": [choice]}


def _sse_event(value: object) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _usage(generation: Generation) -> dict[str, int]:
    return {
        "prompt_tokens": len(generation.prompt.split()),
        "completion_tokens": generation.new_tokens_left,
    }
