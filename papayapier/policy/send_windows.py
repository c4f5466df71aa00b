"""Decide when work that one more loss would hold may be sent: one such work at a time.

The load this answers: a common question and a request that ends its replicas are open together at
each of the few replicas of a service. After two ends both have the same losses, and what is sent
next tells them apart only if the other is not there: the one is answered, the other ends a third
replica. Sent together, both are held, and the common question for as long as the other.

So works that were lost at the same replicas take turns, in the order of their names and counted
from their last loss, which every instance knows. Sends begin in the first part of a turn; the rest
is for what was sent in it to be answered, or to end its replica.
"""

from collections.abc import Collection
from typing import Final

# Longer than most calls, as they are answered meanwhile.
TURN_MS: Final = 400
BEGIN_MS: Final = 200
# Bounds how long the first turn of a work may be away; works beyond share turns.
TURNS_MOST: Final = 8


class _Work:
    """Hold where and when a work was lost, and when its last turn was taken here."""

    __slots__ = ("last_ms", "replicas", "taken_ms")

    def __init__(self) -> None:
        self.replicas: frozenset[str] = frozenset()
        self.last_ms = 0
        self.taken_ms: int | None = None

    def pause_ms(self, now: int) -> int:
        """Return how long nothing else is sent here after a turn was taken."""
        return 0 if self.taken_ms is None else max(0, self.taken_ms + TURN_MS - now)


class CrashTurns:
    """Hold the works that one more loss would hold."""

    def __init__(self) -> None:
        self._works: dict[str, _Work] = {}

    def join(self, work: str, replicas: Collection[str], last_ms: int) -> None:
        """Take where a work was lost, and when last."""
        joined = self._works.setdefault(work, _Work())
        joined.replicas = frozenset(replicas)
        joined.last_ms = last_ms

    def leave(self, work: str) -> None:
        """Drop a work that was answered, is held, or forgotten."""
        self._works.pop(work, None)

    def rivals(self, work: str) -> list[str]:
        """Return the works that were lost at a replica where this one was lost."""
        joined = self._works.get(work)
        if joined is None:
            return []
        return [
            name
            for name, other in self._works.items()
            if name != work and not joined.replicas.isdisjoint(other.replicas)
        ]

    def wait_ms(self, work: str, now: int) -> int:
        """Return when a work may be sent, in ms; 0 for now, or where it has no rivals."""
        rivals = self.rivals(work)
        if not rivals:
            return 0
        last_ms = max(self._works[name].last_ms for name in (work, *rivals))
        pause_ms = self._works[work].pause_ms(now)
        return pause_ms + ms_to_turn(work, rivals, now + pause_ms - last_ms)

    def take(self, work: str, now: int) -> bool:
        """Tell whether a work may be sent now, and take its turn if it has rivals."""
        if self.wait_ms(work, now):
            return False
        joined = self._works.get(work)
        if joined is not None:
            joined.taken_ms = now
        return True


def ms_to_turn(work: str, rivals: Collection[str], since_ms: int) -> int:
    """Return when a work's turn begins, in ms from now; 0 within it.

    since_ms counts from the last loss of any of them; nothing is sent in the first TURN_MS, as what
    was sent before is still open.
    """
    turns = min(len(rivals) + 1, TURNS_MOST)
    place = sum(other < work for other in rivals) % turns
    first_ms = TURN_MS * (1 + place)
    if since_ms < first_ms:
        return first_ms - since_ms
    cycle_ms = turns * TURN_MS
    into_ms = (since_ms - first_ms) % cycle_ms
    return 0 if into_ms < BEGIN_MS else cycle_ms - into_ms
