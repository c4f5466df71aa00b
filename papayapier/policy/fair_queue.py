"""Order the queued requests of one upstream fairly.

Start-time fair queueing, twice: between ranks by weight, and inside a rank between callers.
Each has a tag, the virtual time at which its next request may start; the lowest tag is served
and moves on by cost / weight. Someone who comes back after being idle starts at the
present virtual time and not in the past, so idling earns no burst, and keeps the tag of its
last request, so asking one request at a time gives no advantage. A weight, unlike a strict
order, cannot starve anybody. A caller's own requests go in the order of their due times.

Those that can no longer be in time stand behind all that can: served first, they would make
one more late for each of them.
"""

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from itertools import accumulate
from typing import Final, NamedTuple

from papayapier.config.profiles import Urgency

RANKS: Final[dict[Urgency, int]] = {"urgent": 0, "normal": 1, "batch": 2}
# Parts of the ranks; each one beyond them has half of the one before.
WEIGHTS: Final = (8.0, 2.0, 1.0)
MAX_IDLE_TAGS: Final = 256


class Waiting(NamedTuple):
    """Describe one queued request; all times but cost are ms on the monotonic clock.

    rank 0 is the most urgent. Until give_up_ms an answer is still wanted though due_ms has
    passed; 0 says that it is not. Until return_by_ms a refusal lets its caller come back in
    time; None says that it always does. late says that it can no longer be in time.
    """

    ticket: int
    caller: str
    upstream: str
    profile: str
    rank: int
    due_ms: int
    cost: float
    enqueued_ms: int
    give_up_ms: int = 0
    return_by_ms: int | None = None
    late: bool = False

    def may_return(self, now: int) -> bool:
        """Tell whether refusing it now still lets its caller come back in time."""
        return self.return_by_ms is None or now < self.return_by_ms

    def as_late(self) -> "Waiting":
        """Return it as one that is due when its caller gives up."""
        return self._replace(due_ms=self.give_up_ms, late=True)


def weight_of(rank: int) -> float:
    """Return the part of a rank in what is served, against those of the others."""
    if rank < len(WEIGHTS):
        return WEIGHTS[max(0, rank)]
    return float(WEIGHTS[-1] / 2 ** (rank - len(WEIGHTS) + 1))


class _Caller:
    """Hold one caller's requests of one rank; serial tells its place in the heap."""

    __slots__ = ("cost", "order", "serial", "tag")

    def __init__(self, tag: float, serial: int) -> None:
        self.order: list[tuple[int, int]] = []
        self.cost = 0.0
        self.tag = tag
        self.serial = serial


class _Class:
    """Hold the requests of one rank."""

    __slots__ = ("callers", "cost", "heap", "now", "serial", "tag", "tags", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.tag = 0.0
        self.now = 0.0
        self.cost = 0.0
        self.serial = 0
        self.callers: dict[str, _Caller] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.tags: dict[str, float] = {}

    def add(self, entry: Waiting) -> None:
        caller = self.callers.get(entry.caller)
        if caller is None:
            caller = self._enter(entry.caller)
        insort(caller.order, (entry.due_ms, entry.ticket))
        caller.cost += entry.cost
        self.cost += entry.cost

    def remove(self, entry: Waiting) -> None:
        caller = self.callers[entry.caller]
        del caller.order[bisect_left(caller.order, (entry.due_ms, entry.ticket))]
        caller.cost -= entry.cost
        self.cost -= entry.cost
        if not caller.order:
            del self.callers[entry.caller]
            self._keep_tag(entry.caller, caller.tag)

    def next_caller(self) -> str:
        """Return the caller to serve, with its entry taken off the heap."""
        while True:
            tag, serial, name = heapq.heappop(self.heap)
            caller = self.callers.get(name)
            if caller is not None and caller.serial == serial:
                self.now = max(self.now, tag)
                return name

    def served(self, name: str, cost: float) -> None:
        """Move a caller on after its request; call before the request is removed."""
        caller = self.callers[name]
        caller.tag += cost
        heapq.heappush(self.heap, (caller.tag, caller.serial, name))

    def _enter(self, name: str) -> _Caller:
        self.serial += 1
        caller = _Caller(max(self.now, self.tags.pop(name, 0.0)), self.serial)
        self.callers[name] = caller
        heapq.heappush(self.heap, (caller.tag, caller.serial, name))
        return caller

    def _keep_tag(self, name: str, tag: float) -> None:
        self.tags[name] = tag
        if len(self.tags) > MAX_IDLE_TAGS:
            self.tags = {key: kept for key, kept in self.tags.items() if kept > self.now}


class _Line:
    """Hold the requests that can be in time, or those that cannot."""

    def __init__(self) -> None:
        self._entries: dict[int, Waiting] = {}
        self._classes: dict[int, _Class] = {}
        self._now = 0.0
        self.cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: Waiting) -> None:
        group = self._class(entry.rank)
        if not group.callers:
            group.tag = max(group.tag, self._now)
        group.add(entry)
        self.cost += entry.cost
        self._entries[entry.ticket] = entry

    def remove(self, entry: Waiting) -> None:
        del self._entries[entry.ticket]
        self.cost -= entry.cost
        self._classes[entry.rank].remove(entry)

    def take(self) -> Waiting:
        group = min((g for g in self._classes.values() if g.callers), key=lambda g: g.tag)
        self._now = max(self._now, group.tag)
        name = group.next_caller()
        entry = self._entries[group.callers[name].order[0][1]]
        group.tag += entry.cost / group.weight
        group.served(name, entry.cost)
        self.remove(entry)
        return entry

    def cost_ahead(self, entry: Waiting) -> float:
        group = self._class(entry.rank)
        caller = group.callers.get(entry.caller)
        own = entry.cost + (self._due_before(caller, entry) if caller else 0.0)
        others = sum([one.cost if one.cost < own else own for one in group.callers.values()])
        if caller is not None:
            others -= min(caller.cost, own)
        ahead = own - entry.cost + others
        return ahead + self._other_classes(group, ahead + entry.cost)

    def costs_ahead(self) -> Iterator[tuple[Waiting, float]]:
        for group in self._classes.values():
            callers = sorted(caller.cost for caller in group.callers.values())
            sums = [0.0, *accumulate(callers)]
            for caller in group.callers.values():
                before = 0.0
                for _, ticket in caller.order:
                    entry = self._entries[ticket]
                    own = before + entry.cost
                    smaller = bisect_right(callers, own)
                    others = sums[smaller] + own * (len(callers) - smaller) - own
                    ahead = before + max(0.0, others)
                    yield entry, ahead + self._other_classes(group, ahead + entry.cost)
                    before = own

    def _class(self, rank: int) -> _Class:
        group = self._classes.get(rank)
        if group is None:
            group = self._classes[rank] = _Class(weight_of(rank))
        return group

    def _due_before(self, caller: _Caller, entry: Waiting) -> float:
        place = bisect_left(caller.order, (entry.due_ms, entry.ticket))
        return caller.cost * place / len(caller.order)

    def _other_classes(self, group: _Class, ahead: float) -> float:
        """Return what other ranks are served while a class is served that much."""
        others = (other for other in self._classes.values() if other is not group)
        return sum(min(other.cost, ahead * other.weight / group.weight) for other in others)


class FairQueue:
    """Hold the queued requests of one upstream."""

    def __init__(self) -> None:
        self._in_time = _Line()
        self._late = _Line()

    def __len__(self) -> int:
        return len(self._in_time) + len(self._late)

    def add(self, entry: Waiting) -> None:
        """Queue a request."""
        self._line(entry).add(entry)

    def remove(self, entry: Waiting) -> None:
        """Take a request out wherever it stands."""
        self._line(entry).remove(entry)

    def take(self) -> Waiting:
        """Take out the request that is to be served next; there must be one."""
        line = self._in_time if len(self._in_time) else self._late
        return line.take()

    def cost_ahead(self, entry: Waiting) -> float:
        """Return the cost that would be served before a request that is not yet queued."""
        before = self._in_time.cost if entry.late else 0.0
        return before + self._line(entry).cost_ahead(entry)

    def costs_ahead(self) -> Iterator[tuple[Waiting, float]]:
        """Return each queued request with the cost that is served before it."""
        yield from self._in_time.costs_ahead()
        for entry, ahead in self._late.costs_ahead():
            yield entry, self._in_time.cost + ahead

    def _line(self, entry: Waiting) -> _Line:
        return self._late if entry.late else self._in_time
