"""Model an engine's prefix cache: limited blocks, least recently used out first.

A prompt is cut into blocks of BLOCK_TOKENS words. A block is named by the xxh64 hash (hex)
of all words up to its end, joined by single spaces, so that two prompts share a block only
if they share everything before it too. The cache events carry these names.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Final, Literal, NamedTuple

import xxhash

BLOCK_TOKENS: Final = 16
EVENT_HISTORY: Final = 4_096

EventKind = Literal["stored", "evicted"]


class CacheEvent(NamedTuple):
    """Tell that a block has come or gone; at_ms is when it happened."""

    seq: int
    kind: EventKind
    prefix: str
    at_ms: int


class CacheParams(NamedTuple):
    """Set the size of the cache, and how late and how incomplete its events are."""

    blocks: int = 2_048
    event_lag_ms: int = 500
    event_loss: float = 0.02


class PrefixCache:
    """Hold the names of the cached blocks and the events about them."""

    __slots__ = ("_blocks", "_events", "_next", "_now", "_params", "_rng")

    def __init__(self, params: CacheParams, now: Callable[[], int], rng: random.Random) -> None:
        self._params = params
        self._now = now
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENT_HISTORY)
        self._next = 1

    def match(self, names: list[str]) -> int:
        """Return how many tokens of a prompt are cached, and mark them as used."""
        found = 0
        for name in names:
            if name not in self._blocks:
                break
            self._blocks.move_to_end(name)
            found += 1
        return found * BLOCK_TOKENS

    def store(self, names: list[str]) -> None:
        """Cache the blocks of a prompt."""
        for name in names:
            if name in self._blocks:
                self._blocks.move_to_end(name)
                continue
            self._blocks[name] = None
            self._record("stored", name)
        while len(self._blocks) > self._params.blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._record("evicted", oldest)

    def clear(self) -> None:
        """Forget all blocks without a word, as a crash does."""
        self._blocks.clear()

    def events_since(self, since: int) -> tuple[list[CacheEvent], int]:
        """Return the events from a number on that are old enough, and the next number."""
        limit = self._now() - self._params.event_lag_ms
        found = [event for event in self._events if event.seq >= since and event.at_ms <= limit]
        return found, found[-1].seq + 1 if found else since

    def _record(self, kind: EventKind, name: str) -> None:
        seq = self._next
        self._next += 1
        if self._rng.random() >= self._params.event_loss:
            self._events.append(CacheEvent(seq, kind, name, self._now()))


def block_names(words: list[str]) -> list[str]:
    """Name the whole blocks of a prompt, first to last."""
    running = xxhash.xxh64()
    names: list[str] = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(words[start : start + BLOCK_TOKENS])
        running.update((text if start == 0 else " " + text).encode())
        names.append(running.hexdigest())
    return names
