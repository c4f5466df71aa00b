"""Model continuous batching as a state machine without I/O or clock.

All running sequences share each step, and each sequence whose prompt is prefilled generates
one token in it. A step takes a base time, a time for each running sequence, and the time to
prefill the prompt tokens that are not in the prefix cache. Prefill is split into chunks, so
that a long prompt slows many steps slightly instead of one step greatly. Sequences wait in
order of arrival for a slot and for space in the KV cache: the engine has no priorities.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from papayapier.standin.prefix_cache import CacheParams, PrefixCache

NORMAL_STRIDE: Final = 1


class WeightSource(NamedTuple):
    """Set where an engine reads its weights (HOST:PORT), and how often it retries.

    Without an address an engine has all weights on its local disk.
    """

    address: str = ""
    tries: int = 5
    retry_ms: int = 500


class EngineParams(NamedTuple):
    """Set an engine's normal behaviour; link_delay_ms is the one-way network delay.

    With checks_models, a request for a model or adapter that is not loaded is refused.
    """

    slots: int = 32
    base_ms: float = 5.0
    per_sequence_ms: float = 0.06
    prefill_ms: float = 0.02
    prefill_per_step: int = 512
    kv_total: int = 65_536
    load_lag_ms: int = 200
    cache: CacheParams = CacheParams()
    checks_fence: bool = True
    order_ms: int = 300
    models: tuple[str, ...] = ("base",)
    checks_models: bool = False
    version: str = "1"
    seed: int = 1
    link_delay_ms: float = 0.0
    weights: WeightSource = WeightSource()


class Sequence:
    """Hold one request inside the engine; with stride 3 it gets a token every third step."""

    __slots__ = (
        "blocks",
        "kv_tokens",
        "new_tokens_left",
        "on_start",
        "on_token",
        "prefill_left",
        "prompt_tokens",
        "steps",
        "stride",
    )

    def __init__(
        self,
        blocks: list[str],
        prompt_tokens: int,
        new_tokens_left: int,
        on_start: Callable[[], None],
        on_token: Callable[[bool], None],
        stride: int = NORMAL_STRIDE,
    ) -> None:
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.new_tokens_left = new_tokens_left
        self.on_start = on_start
        self.on_token = on_token
        self.stride = stride
        self.kv_tokens = prompt_tokens + new_tokens_left
        self.prefill_left = prompt_tokens
        self.steps = 0


class Batch:
    """Hold the running and the waiting sequences of one engine."""

    __slots__ = ("_cache", "_params", "_running", "_waiting", "kv_used", "step_ms")

    def __init__(self, params: EngineParams, cache: PrefixCache) -> None:
        self._params = params
        self._cache = cache
        self._running: dict[Sequence, None] = {}
        self._waiting: OrderedDict[Sequence, None] = OrderedDict()
        self.kv_used = 0
        self.step_ms = params.base_ms

    @property
    def running(self) -> int:
        """Return the number of sequences that occupy a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of sequences that wait for a slot."""
        return len(self._waiting)

    def submit(self, seq: Sequence) -> None:
        """Append a sequence to the waiting queue."""
        self._waiting[seq] = None

    def remove(self, seq: Sequence) -> bool:
        """Remove an unfinished sequence; return whether it was present."""
        if seq in self._waiting:
            del self._waiting[seq]
            return True
        if seq in self._running:
            self._release(seq)
            return True
        return False

    def clear(self) -> None:
        """Drop all sequences, as a crash does."""
        self._running.clear()
        self._waiting.clear()
        self.kv_used = 0

    def begin_step(self, admitting: bool = True) -> float | None:
        """Admit waiting sequences and return the step's duration, or None if none is running."""
        if admitting:
            self._admit()
        if not self._running:
            return None
        prefill = self._prefill()
        params = self._params
        self.step_ms = params.base_ms + params.per_sequence_ms * len(self._running)
        return self.step_ms + params.prefill_ms * prefill

    def end_step(self) -> int:
        """Generate the tokens of the step and return their number."""
        generated = 0
        for seq in list(self._running):
            # A token's callback may have removed another sequence.
            if seq not in self._running or seq.prefill_left > 0:
                continue
            seq.steps += 1
            if seq.steps % seq.stride:
                continue
            generated += 1
            self._generate_token(seq)
        return generated

    def _generate_token(self, seq: Sequence) -> None:
        seq.new_tokens_left -= 1
        last = seq.new_tokens_left == 0
        if last:
            self._release(seq)
        seq.on_token(last)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._params.slots:
            seq = next(iter(self._waiting))
            if self._running and self.kv_used + seq.kv_tokens > self._params.kv_total:
                return
            del self._waiting[seq]
            self._start(seq)

    def _start(self, seq: Sequence) -> None:
        self._running[seq] = None
        self.kv_used += seq.kv_tokens
        # The last prompt token is always computed, because the first new token depends on it.
        seq.prefill_left -= min(self._cache.match(seq.blocks), seq.prompt_tokens - 1)
        seq.on_start()

    def _prefill(self) -> int:
        """Spend the step's prefill budget in order of arrival, and return the tokens prefilled."""
        budget = self._params.prefill_per_step
        for seq in self._running:
            if seq.prefill_left == 0:
                continue
            chunk_tokens = min(budget, seq.prefill_left)
            seq.prefill_left -= chunk_tokens
            budget -= chunk_tokens
            if seq.prefill_left == 0:
                self._cache.store(seq.blocks)
            if budget == 0:
                break
        return self._params.prefill_per_step - budget

    def _release(self, seq: Sequence) -> None:
        del self._running[seq]
        self.kv_used -= seq.kv_tokens
