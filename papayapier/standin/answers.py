"""Compute the deterministic text that a stand-in engine generates.

Word i of an answer is a hash of i, seeded with a hash of the prompt, so a check can tell a
complete and correct answer from a truncated one and from the answer to another prompt. Words
are joined by single spaces; a token is one word with the space before it.
"""

from collections.abc import Iterable
from itertools import count, islice
from typing import Final, NotRequired, TypedDict

import xxhash

DEFAULT_MAX_TOKENS: Final = 16


class ChatMessage(TypedDict):
    """Hold one message of a chat request."""

    role: str
    content: str


class GenerateBody(TypedDict):
    """Hold the body of a generate request; other keys are ignored."""

    model: NotRequired[str]
    messages: NotRequired[list[ChatMessage]]
    prompt: NotRequired[str]
    max_tokens: NotRequired[int]
    stream: NotRequired[bool]
    resume_text: NotRequired[str]


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return " ".join(islice(answer_words(prompt), max_tokens))


def answer_words(prompt: str, start: int = 0) -> Iterable[str]:
    """Yield the words of the unbounded answer to a prompt, starting at an index."""
    seed = xxhash.xxh32_intdigest(prompt.encode())
    for index in count(start):
        yield xxhash.xxh32_hexdigest(str(index).encode(), seed)


def prompt_text(body: GenerateBody) -> str:
    """Return the prompt text of a request: its prompt, or its messages joined by newlines."""
    if "messages" in body:
        return "\n".join(message["content"] for message in body["messages"])
    return body.get("prompt", "")
