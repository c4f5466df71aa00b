"""Read generate requests and write their answers, as JSON or as SSE.

The bytes of a chunk around its word are encoded once for each request, because a chunk is
written for every token.
"""

from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.web.server import Request

from papayapier.standin import web
from papayapier.standin.answers import DEFAULT_MAX_TOKENS, GenerateBody, prompt_of

MAX_TOKENS: Final = 100_000
SSE_TYPE: Final = "text/event-stream"
END_MARK: Final = b"data: [DONE]\n\n"
CHAT_PATH: Final = "/v1/chat/completions"
COMPLETIONS_PATH: Final = "/v1/completions"
LENGTH: Final = "length"
PLACE: Final = "@"


class Job(NamedTuple):
    """Hold one generate request; done_words are those already in its resume text."""

    request_id: str
    call_id: str
    chat: bool
    stream: bool
    model: str
    prompt: str
    max_tokens: int
    done_words: int

    @property
    def left(self) -> int:
        """Return how many tokens are still to be made."""
        return max(0, self.max_tokens - self.done_words)


class ChunkFrame(NamedTuple):
    """Hold the bytes before and after the word of a chunk."""

    before: bytes
    after: bytes


def read_job(request: Request) -> Result[Job, str]:
    """Read a generate request, or say what is wrong with it."""
    try:
        body = msgspec.json.decode(web.body_of(request), type=GenerateBody)
    except msgspec.MsgspecError as exc:
        return Err(str(exc))
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not 1 <= max_tokens <= MAX_TOKENS:
        return Err(f"max_tokens must be from 1 to {MAX_TOKENS}")
    request_id = web.header(request, "x-request-id")
    return Ok(
        Job(
            request_id=request_id,
            call_id=web.header(request, "x-papayapier-call") or request_id,
            chat=web.path_of(request) == CHAT_PATH,
            stream=body.get("stream", False),
            model=body.get("model", ""),
            prompt=prompt_of(body),
            max_tokens=max_tokens,
            done_words=len(body.get("resume_text", "").split()),
        )
    )


def chunk_frame(job: Job) -> ChunkFrame:
    """Encode the parts of a chunk that do not change from token to token."""
    before, after = _event(_chunk(job, PLACE, None)).rsplit(PLACE.encode(), 1)
    return ChunkFrame(before, after)


def last_chunks(job: Job) -> bytes:
    """Encode the chunk that ends a stream, and the end mark."""
    chunk = _chunk(job, "", LENGTH)
    chunk["usage"] = _usage(job)
    return _event(chunk) + END_MARK


def whole_answer(job: Job, text: str) -> bytes:
    """Encode a JSON answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": LENGTH}
    if job.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return msgspec.json.encode(
        {
            "id": job.request_id,
            "object": "chat.completion" if job.chat else "text_completion",
            "model": job.model,
            "choices": [choice],
            "usage": _usage(job),
        }
    )


def _chunk(job: Job, text: str, finish_reason: str | None) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0}
    if job.chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    choice["finish_reason"] = finish_reason
    kind = "chat.completion.chunk" if job.chat else "text_completion"
    return {"id": job.request_id, "object": kind, "choices": [choice]}


def _event(value: object) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _usage(job: Job) -> dict[str, int]:
    return {"prompt_tokens": len(job.prompt.split()), "completion_tokens": job.left}
