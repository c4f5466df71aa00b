"""Detect from peers' heartbeats that configuration is missing here, and decide to request it.

A heartbeat carries the sender's digest. Digests differ briefly after every change, while the
push is in flight, so only a difference that persists is a gap. If the same pair of digests
remains after a reply, because the peer is the one that lacks an object or an object cannot be
decoded here, the peer is requested with exponential backoff.
"""

from collections.abc import Collection
from typing import Final, NamedTuple

LASTING_MS: Final = 250
ASK_AGAIN_MS: Final = 1_000
ASK_AGAIN_MOST_MS: Final = 60_000


class _Difference(NamedTuple):
    """Hold a pair of digests that differ, the time of the next request, and the backoff."""

    theirs: int
    ours: int
    ask_at: int
    wait_ms: int


class GapFinder:
    """Decide from digests whether to send a request to a peer now."""

    __slots__ = ("_differences",)

    def __init__(self) -> None:
        self._differences: dict[str, _Difference] = {}

    def should_ask(self, peer: str, theirs: int, ours: int, now: int, complete: bool) -> bool:
        """Return whether to request the peer's configuration now.

        While this instance's configuration is not complete, the first request is immediate.
        """
        if theirs == ours and complete:
            self._differences.pop(peer, None)
            return False
        known = self._differences.get(peer)
        if known is None or (known.theirs, known.ours) != (theirs, ours):
            wait_ms = LASTING_MS if complete else 0
            known = _Difference(theirs, ours, now + wait_ms, ASK_AGAIN_MS)
        if now < known.ask_at:
            self._differences[peer] = known
            return False
        longer_ms = min(known.wait_ms * 2, ASK_AGAIN_MOST_MS)
        self._differences[peer] = known._replace(ask_at=now + known.wait_ms, wait_ms=longer_ms)
        return True

    def keep(self, peers: Collection[str]) -> None:
        """Drop the state of removed peers, since instances are replaced continually."""
        if len(self._differences) > len(peers):
            self._differences = {p: d for p, d in self._differences.items() if p in peers}
