"""Decide how many bytes a process holds for its callers, and who is given up beyond that.

The load this answers: thousands of callers that read a byte a second or send large bodies as
slowly, at a machine of 200 MB. A replica's answer is always read on, since the replica cuts off
what stays unread; so what waits for slow callers grows here, and is bounded by ending those that
have left bytes unread for longest. A new body is refused before the bound is passed.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

UNBOUNDED: Final = 0
# A body is held as it came and once more on its way to a replica that does not read it yet.
BODY_COPIES: Final = 2


class Unread(NamedTuple):
    """Hold what one caller has not read, and since when it has read nothing or too little."""

    caller: int
    since_ms: int
    held_bytes: int


class HeldBytes:
    """Count the bytes held; most_bytes UNBOUNDED holds whatever comes."""

    def __init__(self, most_bytes: int) -> None:
        self._most = most_bytes
        self._bodies = 0
        self._unread = 0
        # What each caller had not read at the last look; _unread is their sum.
        self._unread_by: dict[int, int] = {}

    def takes(self, body_bytes: int) -> bool:
        """Tell whether so much more of bodies fits."""
        return not self._most or self.held() + BODY_COPIES * body_bytes <= self._most

    def on_body(self, body_bytes: int) -> None:
        """Count a part of a body, or with a negative number its end."""
        self._bodies += BODY_COPIES * body_bytes
        assert self._bodies >= 0

    def held(self) -> int:
        """Return how many bytes are held."""
        return self._bodies + self._unread

    def on_gone(self, caller: int) -> None:
        """Count no longer what a caller has not read, since it has gone."""
        self._unread -= self._unread_by.pop(caller, 0)

    def given_up(self, unread: Iterable[Unread]) -> list[Unread]:
        """Take what all callers have left unread; return those to end, longest unread first."""
        waiting = sorted(unread, key=lambda one: (one.since_ms, -one.held_bytes))
        self._unread_by = {one.caller: one.held_bytes for one in waiting}
        self._unread = sum(self._unread_by.values())
        ended = []
        for one in waiting:
            if not self._most or self.held() <= self._most:
                break
            self.on_gone(one.caller)
            ended.append(one)
        return ended
