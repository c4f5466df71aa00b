"""Draw online requests from the classes of an experiment.

Two random generators are used. shape draws class, caller, lengths and misuse; it has the same
seed in every phase of a round, so that phases are compared under the same load. words draws
the prompts and differs between phases: repeated prompts would hit the engines' prefix caches
and favour the later phase.
"""

import hashlib
import math
import random
from bisect import bisect
from itertools import accumulate
from typing import Final, NamedTuple

import msgspec

from papayapier.load.experiment_file import Lengths, RequestClass

CHAT_PATH: Final = "/v1/chat/completions"
VOCABULARY: Final = tuple(f"w{number}" for number in range(2_000))


class Request(NamedTuple):
    """Describe one request to send.

    key is empty without an idempotency key. resend_after_ms and leave_after_ms are -1 when the
    caller does not resend the request or disconnect early.
    """

    cls: RequestClass
    request_id: str
    key: str
    caller: str
    path: str
    body: bytes
    prompt: str
    max_tokens: int
    resend_after_ms: int = -1
    leave_after_ms: int = -1
    is_resend: bool = False

    def make_resend(self) -> "Request":
        """Return the request as a caller resends it: with a new id and the same key."""
        return self._replace(
            request_id=f"{self.request_id}-again", resend_after_ms=-1, is_resend=True
        )

    def body_sha256(self) -> str:
        """Return what the stand-in service echoes for this request."""
        return hashlib.sha256(self.body).hexdigest()


class Mix:
    """Draw requests; run_id makes their ids unique between runs and phases."""

    def __init__(
        self,
        classes: tuple[RequestClass, ...],
        run_id: str,
        shape: random.Random,
        words: random.Random,
    ) -> None:
        self._classes = classes
        self._edges = list(accumulate(cls.weight for cls in classes))
        self._run_id = run_id
        self._shape = shape
        self._words = words
        self._drawn = 0

    def draw(self) -> Request:
        """Return the next request."""
        self._drawn += 1
        index = bisect(self._edges, self._shape.random() * self._edges[-1])
        cls = self._classes[min(index, len(self._classes) - 1)]
        return self._make_request(cls, f"{self._run_id}-{self._drawn}")

    def _make_request(self, cls: RequestClass, request_id: str) -> Request:
        prompt_words = draw_length(cls.prompt_words, self._shape)
        max_tokens = draw_length(cls.max_tokens, self._shape)
        caller = self._draw_caller(cls)
        resend = self._shape.random() < cls.misuse.resend_share
        leave = self._shape.random() < cls.misuse.leave_share
        prompt = self._prompt(cls, caller, prompt_words)
        return Request(
            cls,
            request_id,
            f"key-{request_id}" if cls.keyed else "",
            caller,
            cls.path if cls.kind == "service" else CHAT_PATH,
            self._body(cls, prompt, max_tokens),
            prompt,
            max_tokens,
            cls.misuse.resend_after_ms if resend else -1,
            cls.misuse.leave_after_ms if leave else -1,
        )

    def _draw_caller(self, cls: RequestClass) -> str:
        callers = cls.callers
        if self._shape.random() < callers.heavy_share:
            return f"{cls.name}-0"
        first_light = 1 if callers.heavy_share and callers.number > 1 else 0
        return f"{cls.name}-{self._shape.randrange(first_light, callers.number)}"

    def _prompt(self, cls: RequestClass, caller: str, count: int) -> str:
        """Return a prompt that starts with the prefix shared by all prompts of a caller."""
        prefix = random.Random(caller).choices(VOCABULARY, k=min(cls.prefix_words, count))
        return " ".join(prefix + draw_words(count - len(prefix), self._words))

    def _body(self, cls: RequestClass, prompt: str, max_tokens: int) -> bytes:
        if cls.kind == "service":
            return self._words.randbytes(cls.body_bytes // 2).hex().encode()
        return chat_body(cls.model, prompt, max_tokens, stream=cls.stream)


def chat_body(model: str, prompt: str, max_tokens: int, *, stream: bool) -> bytes:
    """Return the body of a chat completion."""
    return msgspec.json.encode(
        {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
    )


def draw_length(lengths: Lengths, rng: random.Random) -> int:
    """Draw an integer length from a distribution."""
    drawn = round(rng.lognormvariate(math.log(lengths.median), lengths.sigma))
    return max(lengths.min, min(lengths.max, drawn))


def draw_words(count: int, rng: random.Random) -> list[str]:
    """Draw the words of a prompt."""
    return rng.choices(VOCABULARY, k=max(0, count))
