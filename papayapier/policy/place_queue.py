"""Decide which call gets a replica next, where one instance places the calls of all.

The load this answers: a team sends five times its usual while a part of the replicas is gone, so
that for seconds more is asked than they can run. Callers that compete for too little room are in
one queue, kept by the only one that knows the room: a replica gets nothing that it cannot run at
once, and who goes first is decided here and not by the order of arrival at some replica.

The order is that of AdmissionQueue: ranks by weight, callers of a rank alike, a caller's own by
what is left of the objective, and behind them those that can no longer be in time. An ask is
refused at once where it would be late and its caller can come back, or where it would not even be
answered within its time; else it waits for its turn.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from result import Err

from papayapier.policy.admission import AdmissionQueue, Waiting
from papayapier.policy.placers import Wanting
from papayapier.policy.retry_times import Returns
from papayapier.policy.waiting import RETURN_SHARE

ONE_CALL: Final = 1.0
# Asks that want none of the replicas with room are passed over in one look, up to so many.
PASSED_OVER_MOST: Final = 8


class Asked(NamedTuple):
    """Hold one ask for a replica of a part; shunned ones are not wanted."""

    ticket: int
    part: str
    prompt: str
    data_centre: str
    shunned: frozenset[str]
    wanting: Wanting


class Given(NamedTuple):
    """Tell which replica an ask gets."""

    asked: Asked
    replica: str
    waited_ms: int


class Refused(NamedTuple):
    """Tell that an ask gets none, and when its caller should come again."""

    asked: Asked
    after_ms: int
    waited_ms: int


Decided = Given | Refused
# Returns the replicas of a part that are in use.
InUse = Callable[[str, int], frozenset[str]]
# Tells whether a replica takes another call now.
Takes = Callable[[str, int], bool]
# Chooses one of some replicas for an ask, or returns None if it wants none of them.
Choose = Callable[[Asked, frozenset[str], int], str | None]


class PlaceQueue:
    """Hold the asks that wait for a replica.

    Whoever owns it counts each call that is given out before the next look at the room.
    """

    def __init__(self, most: int, in_use: InUse, takes: Takes, choose: Choose) -> None:
        self._queue = AdmissionQueue(most)
        self._in_use = in_use
        self._takes = takes
        self._choose = choose
        self._asked: dict[int, Asked] = {}
        self._returns: dict[str, Returns] = {}

    def offer(self, asked: Asked, now: int) -> Refused | None:
        """Take an ask, or refuse it at once; decided() tells what becomes of those taken."""
        waiting = _waiting(asked, now)
        offered = self._queue.offer(waiting, now)
        if isinstance(offered, Err):
            return self._refused(asked, offered.err_value.retry_after_ms, 0, now)
        self._asked[asked.ticket] = asked
        return None

    def decided(self, now: int) -> Iterator[Decided]:
        """Decide whatever can be decided now, one ask after the other."""
        yield from self._given(now)
        for waiting in self._queue.expired(now):
            after_ms = self._queue.retry_after_ms(waiting, now)
            asked = self._asked.pop(waiting.ticket)
            yield self._refused(asked, after_ms, now - waiting.enqueued_ms, now)

    def leave(self, ticket: int) -> bool:
        """Take out an ask that nobody waits for; False says that it was not waiting."""
        self._asked.pop(ticket, None)
        return self._queue.leave(ticket)

    def waiting(self, part: str) -> int:
        """Return how many asks for a part wait."""
        return self._queue.waiting(part)

    def depth(self) -> int:
        """Return how many asks wait."""
        return len(self._asked)

    def held(self, ticket: int) -> bool:
        """Tell whether an ask waits."""
        return ticket in self._asked

    def _given(self, now: int) -> Iterator[Given]:
        passed_over: list[Waiting] = []
        with_room: dict[str, set[str]] = {}

        def room(part: str) -> set[str]:
            if part not in with_room:
                in_use = self._in_use(part, now)
                with_room[part] = {one for one in in_use if self._takes(one, now)}
            return with_room[part]

        while self._asked and len(passed_over) < PASSED_OVER_MOST:
            waiting = self._queue.take(now, lambda part: bool(room(part)))
            if waiting is None:
                break
            asked = self._asked[waiting.ticket]
            replica = self._choose(asked, frozenset(room(asked.part)), now)
            if replica is None:
                passed_over.append(waiting)
                continue
            del self._asked[waiting.ticket]
            yield Given(asked, replica, now - waiting.enqueued_ms)
            if not self._takes(replica, now):
                room(asked.part).discard(replica)
        for waiting in passed_over:
            self._queue.put_back(waiting)

    def _refused(self, asked: Asked, backlog_ms: int, waited_ms: int, now: int) -> Refused:
        returns = self._returns.setdefault(asked.part, Returns())
        rate = self._queue.rate_per_ms(asked.part, now)
        longest_ms = int(asked.wanting.left_ms * RETURN_SHARE)
        return Refused(asked, returns.after_ms(backlog_ms, rate, longest_ms, now), waited_ms)


def _waiting(asked: Asked, now: int) -> Waiting:
    wanting = asked.wanting
    return Waiting(
        ticket=asked.ticket,
        caller=wanting.caller,
        upstream=asked.part,
        profile="",
        rank=wanting.rank,
        due_ms=now + wanting.aim_ms,
        cost=ONE_CALL,
        enqueued_ms=now,
        give_up_ms=now + wanting.left_ms,
        return_by_ms=now + wanting.return_ms,
    )
