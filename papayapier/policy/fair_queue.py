"""Order the queued requests of one upstream fairly.

Start-time fair queueing, on two levels: between ranks by weight, and within a rank between callers.
Each has a tag, the virtual time at which its next request may start; the lowest tag is served and
advances by cost / weight. A caller that sends again after being idle starts at the present virtual
time instead of in the past, so that idling earns no burst, and keeps the tag of its last request,
so that sending one request at a time gives no advantage. A weight, unlike strict priority, cannot
starve anybody. A caller's own requests are ordered by due time.

Requests that can no longer be in time rank behind all that can: served first, each of them would
make one more late.
"""

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from itertools import accumulate
from typing import Final, NamedTuple

from papayapier.config.profiles import Urgency

RANKS: Final[dict[Urgency, int]] = {"urgent": 0, "normal": 1, "batch": 2}
# Weights of the ranks; each further rank has half the weight of the one before.
WEIGHTS: Final = (8.0, 2.0, 1.0)
MAX_IDLE_TAGS: Final = 256


class QueuedRequest(NamedTuple):
    """Describe one queued request; all times are ms on the monotonic clock.

    rank 0 is the most urgent. Until give_up_ms an answer is still wanted although due_ms has
    passed; 0 says that it is not. Until retry_by_ms a refused caller can retry in time; None says
    that it always can. late says that the request can no longer be in time.
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
    retry_by_ms: int | None = None
    late: bool = False

    def can_retry(self, now: int) -> bool:
        """Tell whether its caller, if refused now, can still retry in time."""
        return self.retry_by_ms is None or now < self.retry_by_ms

    def as_late(self) -> "QueuedRequest":
        """Return a copy marked late that is due when its caller gives up."""
        return self._replace(due_ms=self.give_up_ms, late=True)


def weight_of(rank: int) -> float:
    """Return the weight of a rank relative to the others."""
    if rank < len(WEIGHTS):
        return WEIGHTS[max(0, rank)]
    return float(WEIGHTS[-1] / 2 ** (rank - len(WEIGHTS) + 1))


class _Caller:
    """Hold one caller's requests of one rank; serial identifies its entry in the heap."""

    __slots__ = ("cost", "serial", "sorted_requests", "tag")

    def __init__(self, tag: float, serial: int) -> None:
        self.sorted_requests: list[tuple[int, int]] = []
        self.cost = 0.0
        self.tag = tag
        self.serial = serial


class _RankQueue:
    """Hold the requests of one rank."""

    __slots__ = ("callers", "cost", "heap", "serial", "tag", "tags", "virtual_time", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.tag = 0.0
        self.virtual_time = 0.0
        self.cost = 0.0
        self.serial = 0
        self.callers: dict[str, _Caller] = {}
        self.heap: list[tuple[float, int, str]] = []
        self.tags: dict[str, float] = {}

    def add(self, entry: QueuedRequest) -> None:
        caller = self.callers.get(entry.caller)
        if caller is None:
            caller = self._add_caller(entry.caller)
        insort(caller.sorted_requests, (entry.due_ms, entry.ticket))
        caller.cost += entry.cost
        self.cost += entry.cost

    def remove(self, entry: QueuedRequest) -> None:
        caller = self.callers[entry.caller]
        del caller.sorted_requests[
            bisect_left(caller.sorted_requests, (entry.due_ms, entry.ticket))
        ]
        caller.cost -= entry.cost
        self.cost -= entry.cost
        if not caller.sorted_requests:
            del self.callers[entry.caller]
            self._keep_tag(entry.caller, caller.tag)

    def next_caller(self) -> str:
        """Return the caller to serve, with its entry removed from the heap."""
        while True:
            tag, serial, name = heapq.heappop(self.heap)
            caller = self.callers.get(name)
            if caller is not None and caller.serial == serial:
                self.virtual_time = max(self.virtual_time, tag)
                return name

    def served(self, name: str, cost: float) -> None:
        """Advance a caller's tag after its request; call before the request is removed."""
        caller = self.callers[name]
        caller.tag += cost
        heapq.heappush(self.heap, (caller.tag, caller.serial, name))

    def _add_caller(self, name: str) -> _Caller:
        self.serial += 1
        caller = _Caller(max(self.virtual_time, self.tags.pop(name, 0.0)), self.serial)
        self.callers[name] = caller
        heapq.heappush(self.heap, (caller.tag, caller.serial, name))
        return caller

    def _keep_tag(self, name: str, tag: float) -> None:
        self.tags[name] = tag
        if len(self.tags) > MAX_IDLE_TAGS:
            self.tags = {
                key: tag_kept for key, tag_kept in self.tags.items() if tag_kept > self.virtual_time
            }


class _WeightedRanks:
    """Hold the requests that can be in time, or those that cannot."""

    def __init__(self) -> None:
        self._entries: dict[int, QueuedRequest] = {}
        self._rank_queues: dict[int, _RankQueue] = {}
        self._virtual_time = 0.0
        self.cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: QueuedRequest) -> None:
        rank_queue = self._rank_queue(entry.rank)
        if not rank_queue.callers:
            rank_queue.tag = max(rank_queue.tag, self._virtual_time)
        rank_queue.add(entry)
        self.cost += entry.cost
        self._entries[entry.ticket] = entry

    def remove(self, entry: QueuedRequest) -> None:
        del self._entries[entry.ticket]
        self.cost -= entry.cost
        self._rank_queues[entry.rank].remove(entry)

    def take(self) -> QueuedRequest:
        rank_queue = min(
            (queue for queue in self._rank_queues.values() if queue.callers),
            key=lambda queue: queue.tag,
        )
        self._virtual_time = max(self._virtual_time, rank_queue.tag)
        name = rank_queue.next_caller()
        entry = self._entries[rank_queue.callers[name].sorted_requests[0][1]]
        rank_queue.tag += entry.cost / rank_queue.weight
        rank_queue.served(name, entry.cost)
        self.remove(entry)
        return entry

    def cost_ahead(self, entry: QueuedRequest) -> float:
        rank_queue = self._rank_queue(entry.rank)
        caller = rank_queue.callers.get(entry.caller)
        own = entry.cost + (self._due_before(caller, entry) if caller else 0.0)
        others = sum(
            [other.cost if other.cost < own else own for other in rank_queue.callers.values()]
        )
        if caller is not None:
            others -= min(caller.cost, own)
        ahead = own - entry.cost + others
        return ahead + self._cost_of_other_ranks(rank_queue, ahead + entry.cost)

    def costs_ahead(self) -> Iterator[tuple[QueuedRequest, float]]:
        for rank_queue in self._rank_queues.values():
            callers = sorted(caller.cost for caller in rank_queue.callers.values())
            sums = [0.0, *accumulate(callers)]
            for caller in rank_queue.callers.values():
                before = 0.0
                for _, ticket in caller.sorted_requests:
                    entry = self._entries[ticket]
                    own = before + entry.cost
                    smaller = bisect_right(callers, own)
                    others = sums[smaller] + own * (len(callers) - smaller) - own
                    ahead = before + max(0.0, others)
                    yield entry, ahead + self._cost_of_other_ranks(rank_queue, ahead + entry.cost)
                    before = own

    def _rank_queue(self, rank: int) -> _RankQueue:
        rank_queue = self._rank_queues.get(rank)
        if rank_queue is None:
            rank_queue = self._rank_queues[rank] = _RankQueue(weight_of(rank))
        return rank_queue

    def _due_before(self, caller: _Caller, entry: QueuedRequest) -> float:
        index = bisect_left(caller.sorted_requests, (entry.due_ms, entry.ticket))
        return caller.cost * index / len(caller.sorted_requests)

    def _cost_of_other_ranks(self, rank_queue: _RankQueue, ahead: float) -> float:
        """Return the cost that other ranks are served while a rank is served a given cost."""
        others = (other for other in self._rank_queues.values() if other is not rank_queue)
        return sum(min(other.cost, ahead * other.weight / rank_queue.weight) for other in others)


class FairQueue:
    """Hold the queued requests of one upstream."""

    def __init__(self) -> None:
        self._in_time = _WeightedRanks()
        self._late = _WeightedRanks()

    def __len__(self) -> int:
        return len(self._in_time) + len(self._late)

    def add(self, entry: QueuedRequest) -> None:
        """Queue a request."""
        self._queue_of(entry).add(entry)

    def remove(self, entry: QueuedRequest) -> None:
        """Remove a request wherever it is queued."""
        self._queue_of(entry).remove(entry)

    def take(self) -> QueuedRequest:
        """Remove and return the request to serve next; there must be one."""
        queue = self._in_time if len(self._in_time) else self._late
        return queue.take()

    def cost_ahead(self, entry: QueuedRequest) -> float:
        """Return the cost that would be served before a request that is not yet queued."""
        before = self._in_time.cost if entry.late else 0.0
        return before + self._queue_of(entry).cost_ahead(entry)

    def costs_ahead(self) -> Iterator[tuple[QueuedRequest, float]]:
        """Yield each queued request with the cost that is served before it."""
        yield from self._in_time.costs_ahead()
        for entry, ahead in self._late.costs_ahead():
            yield entry, self._in_time.cost + ahead

    def _queue_of(self, entry: QueuedRequest) -> _WeightedRanks:
        return self._late if entry.late else self._in_time
