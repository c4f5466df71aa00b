"""Detect from peers' heartbeats that configuration is missing here, and decide to request it.

A heartbeat carries the sender's digest. Digests differ briefly after every change, while the
push is in flight, so only a difference that persists is a gap. If the same pair of digests
remains after a reply, because the peer is the one that lacks an object or an object cannot be
decoded here, the peer is requested with exponential backoff.
"""

from collections.abc import Collection
from typing import Final, NamedTuple

MIN_GAP_MS: Final = 250
RETRY_MS: Final = 1_000
MAX_RETRY_MS: Final = 60_000


class _Difference(NamedTuple):
    """Hold a pair of digests that differ, the time of the next request, and the backoff."""

    theirs: int
    ours: int
    request_at_ms: int
    backoff_ms: int


class GapDetector:
    """Decide from digests whether to send a request to a peer now."""

    __slots__ = ("_differences",)

    def __init__(self) -> None:
        self._differences: dict[str, _Difference] = {}

    def should_request(self, peer: str, theirs: int, ours: int, now: int, complete: bool) -> bool:
        """Return whether to request the peer's configuration now.

        While this instance's configuration is not complete, the first request is immediate.
        """
        if theirs == ours and complete:
            self._differences.pop(peer, None)
            return False
        known = self._differences.get(peer)
        if known is None or (known.theirs, known.ours) != (theirs, ours):
            backoff_ms = MIN_GAP_MS if complete else 0
            known = _Difference(theirs, ours, now + backoff_ms, RETRY_MS)
        if now < known.request_at_ms:
            self._differences[peer] = known
            return False
        next_backoff_ms = min(known.backoff_ms * 2, MAX_RETRY_MS)
        self._differences[peer] = known._replace(
            request_at_ms=now + known.backoff_ms, backoff_ms=next_backoff_ms
        )
        return True

    def retain(self, peers: Collection[str]) -> None:
        """Drop the state of removed peers, since instances are replaced continually."""
        if len(self._differences) > len(peers):
            self._differences = {p: d for p, d in self._differences.items() if p in peers}
