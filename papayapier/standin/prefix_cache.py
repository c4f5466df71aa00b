"""Model an engine's prefix cache: a limited number of blocks with LRU eviction.

A prompt is split into blocks of BLOCK_TOKENS words. A block's name is the xxh64 hash (hex) of
all words up to its end, joined by single spaces, so two prompts share a block only if they
also share everything before it. The cache events carry these names.
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
    """Report that a block was stored or evicted; at_ms is the time of the change."""

    seq: int
    kind: EventKind
    prefix: str
    at_ms: int


class CacheParams(NamedTuple):
    """Set the size of the cache, and the lag and the loss rate of its events."""

    blocks: int = 2_048
    event_lag_ms: int = 500
    event_loss: float = 0.02


class PrefixCache:
    """Hold the names of the cached blocks and the events about them."""

    __slots__ = ("_blocks", "_events", "_next_seq", "_now", "_params", "_rng")

    def __init__(self, params: CacheParams, now: Callable[[], int], rng: random.Random) -> None:
        self._params = params
        self._now = now
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENT_HISTORY)
        self._next_seq = 1

    def match(self, names: list[str]) -> int:
        """Return how many tokens of a prompt are cached, and mark their blocks as recently used."""
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
        """Drop all blocks without an event, as a crash does."""
        self._blocks.clear()

    def events_since(self, since: int) -> tuple[list[CacheEvent], int]:
        """Return the events from a number on that are older than the lag, and the next number."""
        limit = self._now() - self._params.event_lag_ms
        found = [event for event in self._events if event.seq >= since and event.at_ms <= limit]
        return found, found[-1].seq + 1 if found else since

    def _record(self, kind: EventKind, name: str) -> None:
        seq = self._next_seq
        self._next_seq += 1
        if self._rng.random() >= self._params.event_loss:
            self._events.append(CacheEvent(seq, kind, name, self._now()))


def block_names(words: list[str]) -> list[str]:
    """Return the names of the complete blocks of a prompt, in order."""
    hasher = xxhash.xxh64()
    names: list[str] = []
    for start in range(0, len(words) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        text = " ".join(words[start : start + BLOCK_TOKENS])
        hasher.update((text if start == 0 else " " + text).encode())
        names.append(hasher.hexdigest())
    return names
