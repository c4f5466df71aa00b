"""Find out from peers' heartbeats that configuration is missing here, and ask for it.

A heartbeat carries the sender's digest. Digests differ for a moment after every change,
while the push is on its way, so only a difference that lasts is a gap. The same pair of
digests that remains after an answer (the peer is the one that lacks something, or an
object is unreadable here) is asked about ever more rarely.
"""

from collections.abc import Collection
from typing import Final, NamedTuple

LASTING_MS: Final = 250
ASK_AGAIN_MS: Final = 1_000
ASK_AGAIN_MOST_MS: Final = 60_000


class _Difference(NamedTuple):
    """Remember a pair of digests, since when, and when to ask about it."""

    theirs: int
    ours: int
    ask_at: int
    wait_ms: int


class GapFinder:
    """Decide from digests whether a peer should be asked now."""

    __slots__ = ("_differences",)

    def __init__(self) -> None:
        self._differences: dict[str, _Difference] = {}

    def should_ask(self, peer: str, theirs: int, ours: int, now: int, complete: bool) -> bool:
        """Take a peer's digest; complete tells that this instance is only catching up."""
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
        """Forget peers that are gone; instances are replaced all the time."""
        if len(self._differences) > len(peers):
            self._differences = {p: d for p, d in self._differences.items() if p in peers}
