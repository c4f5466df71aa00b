"""Decide which call gets a replica next, where one instance places the calls of all.

Motivation: a team sends five times its typical load while some of the replicas are lost, so that
for seconds there are more calls than the replicas can run. All callers that compete for too few
slots are in one queue, at the only instance that knows which slots are free: a replica gets no call
that it cannot run at once, and the order is decided here instead of by the order of arrival at a
replica.

The order is that of AdmissionQueue: ranks by weight, the callers of a rank equally, a caller's own
calls by the time left of the objective, and behind them those that can no longer meet it. A request
is refused at once if it would be late and its caller can still retry in time, or if it would not
even be answered within its timeout; otherwise it waits.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

from result import Err

from papayapier.policy.admission import AdmissionQueue, QueuedRequest
from papayapier.policy.placers import PlacementNeeds
from papayapier.policy.retry_times import RetryTimes
from papayapier.policy.waiting import RETRY_AFTER_SHARE

ONE_CALL: Final = 1.0
# In one pass, up to this many requests are skipped for which no free replica may be chosen.
MAX_SKIPPED: Final = 8


class PlacementRequest(NamedTuple):
    """Describe one request for a replica of a partition; excluded names replicas not to choose."""

    ticket: int
    partition: str
    prompt: str
    data_centre: str
    excluded: frozenset[str]
    needs: PlacementNeeds


class Assigned(NamedTuple):
    """Say which replica a request gets."""

    request: PlacementRequest
    replica: str
    waited_ms: int


class PlacementRefused(NamedTuple):
    """Say that a request gets no replica, and when its caller should retry."""

    request: PlacementRequest
    retry_after_ms: int
    waited_ms: int


PlacementOutcome = Assigned | PlacementRefused
# Returns the replicas of a partition that are in use.
UsedReplicas = Callable[[str, int], frozenset[str]]
# Tells whether a replica has capacity for another call now.
HasCapacity = Callable[[str, int], bool]
# Chooses one of some replicas for a request, or returns None if none of them may be chosen.
ChooseReplica = Callable[[PlacementRequest, frozenset[str], int], str | None]


class PlaceQueue:
    """Queue the placement requests that wait for a replica.

    The owner of the queue counts each placed call before the queue next checks for free capacity.
    """

    def __init__(
        self,
        max_queued: int,
        in_use: UsedReplicas,
        has_capacity: HasCapacity,
        choose: ChooseReplica,
    ) -> None:
        self._queue = AdmissionQueue(max_queued)
        self._in_use = in_use
        self._has_capacity = has_capacity
        self._choose = choose
        self._requests: dict[int, PlacementRequest] = {}
        self._retry_times: dict[str, RetryTimes] = {}

    def offer(self, request: PlacementRequest, now: int) -> PlacementRefused | None:
        """Queue a request, or refuse it at once; outcomes() returns those of queued requests."""
        entry = _queue_entry(request, now)
        result = self._queue.offer(entry, now)
        if isinstance(result, Err):
            return self._refuse(request, result.err_value.retry_after_ms, 0, now)
        self._requests[request.ticket] = request
        return None

    def outcomes(self, now: int) -> Iterator[PlacementOutcome]:
        """Yield the outcome of each request that can be decided now, one after the other."""
        yield from self._place(now)
        for entry in self._queue.expired(now):
            after_ms = self._queue.retry_after_ms(entry, now)
            request = self._requests.pop(entry.ticket)
            yield self._refuse(request, after_ms, now - entry.enqueued_ms, now)

    def remove(self, ticket: int) -> bool:
        """Remove a request whose outcome is no longer needed; return whether it was queued."""
        self._requests.pop(ticket, None)
        return self._queue.remove(ticket)

    def queued(self, partition: str) -> int:
        """Return how many requests for a partition are queued."""
        return self._queue.queued(partition)

    def depth(self) -> int:
        """Return how many requests are queued."""
        return len(self._requests)

    def is_queued(self, ticket: int) -> bool:
        """Tell whether a request is queued."""
        return ticket in self._requests

    def _place(self, now: int) -> Iterator[Assigned]:
        skipped: list[QueuedRequest] = []
        free_by_partition: dict[str, set[str]] = {}

        def free_replicas(partition: str) -> set[str]:
            if partition not in free_by_partition:
                used = self._in_use(partition, now)
                free_by_partition[partition] = {
                    free for free in used if self._has_capacity(free, now)
                }
            return free_by_partition[partition]

        while self._requests and len(skipped) < MAX_SKIPPED:
            entry = self._queue.take(now, lambda partition: bool(free_replicas(partition)))
            if entry is None:
                break
            request = self._requests[entry.ticket]
            replica = self._choose(request, frozenset(free_replicas(request.partition)), now)
            if replica is None:
                skipped.append(entry)
                continue
            del self._requests[entry.ticket]
            yield Assigned(request, replica, now - entry.enqueued_ms)
            if not self._has_capacity(replica, now):
                free_replicas(request.partition).discard(replica)
        for entry in skipped:
            self._queue.put_back(entry)

    def _refuse(
        self, request: PlacementRequest, backlog_ms: int, waited_ms: int, now: int
    ) -> PlacementRefused:
        retry_times = self._retry_times.setdefault(request.partition, RetryTimes())
        rate = self._queue.rate_per_ms(request.partition, now)
        longest_ms = int(request.needs.timeout_ms * RETRY_AFTER_SHARE)
        return PlacementRefused(
            request, retry_times.after_ms(backlog_ms, rate, longest_ms, now), waited_ms
        )


def _queue_entry(request: PlacementRequest, now: int) -> QueuedRequest:
    needs = request.needs
    return QueuedRequest(
        ticket=request.ticket,
        caller=needs.caller,
        upstream=request.partition,
        profile="",
        rank=needs.rank,
        due_ms=now + needs.objective_ms,
        cost=ONE_CALL,
        enqueued_ms=now,
        give_up_ms=now + needs.timeout_ms,
        retry_by_ms=now + needs.retry_within_ms,
    )
