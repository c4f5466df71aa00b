"""Parse and modify the body of a call to a model engine.

The body belongs to the caller. Only the keys needed for routing and for resuming a stream are
read; every other key is passed on to the engine unchanged.
"""

import hashlib
from typing import Any, Final, NamedTuple, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from papayapier.decoding import DECODE_ERRORS

ENGINE_PATHS: Final = frozenset({"/v1/chat/completions", "/v1/completions"})
PREFIX_CHARS: Final = 256
# 64 bits: among a million parts at once, the probability of a collision is 3 in 10^8.
PART_ID_BYTES: Final = 8


class Generation(NamedTuple):
    """Hold the fields read from a body."""

    model: str
    stream: bool
    prefix: str


class _Part(TypedDict):
    text: NotRequired[str]


class _Message(TypedDict):
    role: str
    content: NotRequired[str | list[_Part] | None]


class _Body(TypedDict):
    model: str
    messages: NotRequired[list[_Message]]
    prompt: NotRequired[str | list[str]]
    max_tokens: NotRequired[int | None]
    stream: NotRequired[bool | None]
    resume_text: NotRequired[str | None]


_BODY_DECODER: Final = msgspec.json.Decoder(_Body)
# msgspec.Raw keeps each value exactly as the caller encoded it.
_KEYS_DECODER: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])
_TEXT_DECODER: Final = msgspec.json.Decoder(str | None)
_MISSING: Final = "Object missing required field "


def parse_generation(body: bytes) -> Result[Generation, str]:
    """Parse a body; the error names the invalid field."""
    try:
        fields = _BODY_DECODER.decode(body)
    except DECODE_ERRORS as exc:
        return Err(_describe_error(exc))
    if "messages" not in fields and "prompt" not in fields:
        return Err("messages: missing, and there is no prompt")
    if (fields.get("max_tokens") or 0) < 0:
        return Err("max_tokens: must not be negative")
    return Ok(Generation(fields["model"], bool(fields.get("stream")), _prefix(fields)))


def streaming_body(body: bytes, received: str) -> bytes:
    """Return the body that requests a stream which continues after the received text.

    A body that is not a JSON object is returned unchanged, and the engine refuses it.
    """
    try:
        keys: dict[str, Any] = dict(_KEYS_DECODER.decode(body))
        # The caller may itself have requested to continue after some text.
        resumed = _TEXT_DECODER.decode(keys.get("resume_text", b"null")) or ""
    except DECODE_ERRORS:
        return body
    keys["stream"] = True
    if received:
        keys["resume_text"] = resumed + received
    return msgspec.json.encode(keys)


def shared_parts(body: bytes) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt that other prompts may share.

    These are its messages except the last, or the start of a long prompt of one text.
    """
    try:
        fields = _BODY_DECODER.decode(body)
    except DECODE_ERRORS:
        return ()
    if "messages" in fields:
        texts = [f"{message['role']}\n{_content(message)}" for message in fields["messages"][:-1]]
    else:
        prefix = _prefix(fields) if "prompt" in fields else ""
        texts = [prefix] if len(prefix) == PREFIX_CHARS else []
    return tuple(dict.fromkeys(_part_id(text) for text in texts))


def _part_id(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=PART_ID_BYTES).hexdigest()


def _prefix(fields: _Body) -> str:
    """Return the start of the prompt; requests with equal prefixes can share an engine's cache."""
    if "messages" in fields:
        return _messages_prefix(fields["messages"])
    prompt = fields["prompt"]
    if isinstance(prompt, str):
        return prompt[:PREFIX_CHARS]
    return prompt[0][:PREFIX_CHARS] if prompt else ""


def _messages_prefix(messages: list[_Message]) -> str:
    parts: list[str] = []
    length = 0
    for message in messages:
        text = f"{message['role']}\n{_content(message)}\n"
        parts.append(text)
        length += len(text)
        if length >= PREFIX_CHARS:
            break
    return "".join(parts)[:PREFIX_CHARS]


def _content(message: _Message) -> str:
    content = message.get("content")
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content)
    return content or ""


def _describe_error(exc: Exception) -> str:
    """Rewrite a msgspec error message so that it starts with the invalid field."""
    message, _, path = str(exc).partition(" - at ")
    where = path.strip("`").removeprefix("$").removeprefix(".")
    if message.startswith(_MISSING):
        name = message.removeprefix(_MISSING).strip("`")
        return f"{where}.{name}: missing".removeprefix(".")
    return f"{where or 'body'}: {message[:1].lower()}{message[1:]}"
