"""Parse generate requests and encode their responses, as JSON or as server-sent events.

The constant bytes around a chunk's word are encoded once per request, because a chunk is
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
    def left(self) -> int:
        """Return how many tokens remain to be generated."""
        return max(0, self.max_tokens - self.done_words)


class ChunkFrame(NamedTuple):
    """Hold the constant bytes before and after the word of a chunk."""

    before: bytes
    after: bytes


def read_job(request: Request) -> Result[Job, str]:
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
    """Encode the parts of a chunk that are the same for every token."""
    before, after = _event(_chunk(job, PLACE, None)).rsplit(PLACE.encode(), 1)
    return ChunkFrame(before, after)


def last_chunks(job: Job) -> bytes:
    """Encode the final chunk of a stream, and the end marker."""
    chunk = _chunk(job, "", LENGTH)
    chunk["usage"] = _usage(job)
    return _event(chunk) + END_MARK


def whole_answer(job: Job, text: str) -> bytes:
    """Encode a response that is not streamed."""
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
