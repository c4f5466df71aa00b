"""Place the calls of all instances, and queue requests while no replica has capacity.

A request that waits longer than NOTIFY_AFTER_MS gets a notification that it is queued, and further
ones before the previous expires: a requester takes silence for a lost hub and sends the request to
the next one. If such an answer is lost, the call waits longer but never takes two places, because a
requester's calls are counted only once it reports them itself.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.lasting_tasks import call_guarded
from papayapier.metrics import Metrics
from papayapier.peer.hub import PeerHub
from papayapier.peer.placement_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.policy.failure_reports import FailureReports
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.place_queue import Assigned, PlacementOutcome, PlacementRequest, PlaceQueue
from papayapier.policy.placers import Partitions, PlacementNeeds, upstream_of
from papayapier.policy.replica_limits import ReplicaLimits
from papayapier.policy.routing import RouteRequest, choose_replica

NO_REPLICA: Final = ""
TICK_MS: Final = 8
# Calls begin and end too often to check all replicas of a partition each time.
CHECK_DELAY_MS: Final = 8
# Requests that are answered within this time need no notification. Together with a tick and a round
# trip it must stay far below the time after which a requester gives up on a silent hub.
NOTIFY_AFTER_MS: Final = 12
MIN_NOTIFY_INTERVAL_MS: Final = 400
# Interval between log lines about one full partition.
LOG_INTERVAL_MS: Final = 1_000
# In the largest fleet a partition gets 600 requests per second, each of which waits up to 5 s.
MAX_QUEUED: Final = 4_000


class PlacerDeps(NamedTuple):
    """Hold the dependencies of placement for other instances.

    partitions returns the partitions of the replicas. turnaround_ms is how long a slot stays empty
    between the calls that are placed there.
    """

    clock: Clock
    rand: random.Random
    hub: PeerHub
    load_tracker: LoadTracker
    outliers: OutlierDetector
    partitions: Callable[[], Partitions]
    metrics: Metrics
    turnaround_ms: int


class _Requester(NamedTuple):
    """Identify the requester of a placement, and when the request arrived."""

    peer: str
    correlation_id: int
    requested_ms: int


class Placer:
    """Answer placement requests, and track those that are queued."""

    def __init__(self, deps: PlacerDeps) -> None:
        self._deps = deps
        self._replica_capacity = ReplicaLimits(deps.turnaround_ms)
        self._unanswered_reports = FailureReports()
        # Partitions with so many suspect replicas that the reports about them are ignored.
        self._ignored_reports: set[str] = set()
        self._queue = PlaceQueue(
            MAX_QUEUED, self._usable_replicas, self._has_capacity, self._choose
        )
        self._tickets = count(1)
        self._requesters: dict[int, _Requester] = {}
        self._ticket_of: dict[tuple[str, int], int] = {}
        # Heap of the times at which queued requests get the next notification, with their tickets.
        self._next_notifications: list[tuple[int, int]] = []
        self._leaving = False
        self._timer: Timer | None = None
        self._check_timer: Timer | None = None
        self._next_full_log: dict[str, int] = {}
        deps.metrics.places_held.set_function(self._queue.depth)

    def start(self) -> None:
        """Start to answer placement requests."""
        self._deps.hub.subscribe(PlaceAsk, self._on_request)
        self._deps.hub.subscribe(PlaceLeft, self._on_left)
        self._deps.hub.subscribe(Unanswered, self._on_unanswered)
        self._deps.hub.on_change(self._on_peers)

    def on_listed(self, listed: frozenset[str]) -> None:
        """Drop the state of replicas that are no longer listed."""
        self._replica_capacity.on_listed(listed)
        self._unanswered_reports.on_listed(listed)

    def on_calls(self) -> None:
        """Schedule a check for free capacity, because calls have begun or ended."""
        if self._queue.depth() and self._check_timer is None:
            self._check_timer = self._deps.clock.call_later(CHECK_DELAY_MS, self._check_now)

    def _check_now(self) -> None:
        self._check_timer = None
        self._answer()

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return self._queue.depth()

    def leave(self) -> None:
        """Redirect queued and future requests to the next hub.

        If all queued requests were dropped at once, each requester would choose a replica by its
        own state, and together they would overload the replicas.
        """
        if not self._leaving and self._requesters:
            events.emit(events.PLACES_HANDED_OVER, waiting=self.waiting())
        self._leaving = True
        for ticket, requester in list(self._requesters.items()):
            self._queue.remove(ticket)
            self._remove(ticket)
            self._deps.hub.send(
                requester.peer, PlaceTell(requester.correlation_id, NO_REPLICA, leaving=True)
            )

    def close(self) -> None:
        """Stop."""
        for timer in (self._timer, self._check_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.leave()

    def _on_request(self, peer_id: str, request: PlaceAsk) -> None:
        members = self._deps.partitions().members.get(request.partition, frozenset())
        now = self._deps.clock.now()
        placement = _to_placement(request, next(self._tickets))
        if not members or not request.objective_ms:
            chosen = self._choose(placement, members, now) if members else None
            self._assign(peer_id, request.correlation_id, chosen or NO_REPLICA, now)
            return
        if self._leaving:
            self._deps.hub.send(
                peer_id, PlaceTell(request.correlation_id, NO_REPLICA, leaving=True)
            )
            return
        others_wait = self._queue.queued(request.partition) > 0
        refused = self._queue.offer(placement, now)
        if refused is not None:
            self._refuse(
                _Requester(peer_id, request.correlation_id, now),
                placement,
                refused.retry_after_ms,
                0,
            )
            return
        requester = _Requester(peer_id, request.correlation_id, now)
        self._requesters[placement.ticket] = requester
        self._ticket_of[peer_id, request.correlation_id] = placement.ticket
        if not others_wait:
            # Otherwise the last check found no capacity, and the next is due within a few ms.
            self._answer()
        if self._queue.is_queued(placement.ticket):
            heapq.heappush(self._next_notifications, (now + NOTIFY_AFTER_MS, placement.ticket))
            self._log_full(request.partition, now)
            self._keep_ticking()

    def _on_left(self, peer_id: str, message: PlaceLeft) -> None:
        ticket = self._ticket_of.get((peer_id, message.correlation_id))
        if ticket is not None:
            self._queue.remove(ticket)
            self._remove(ticket)

    def _on_unanswered(self, peer_id: str, message: Unanswered) -> None:
        if self._unanswered_reports.on_failed(message.replica, peer_id, self._deps.clock.now()):
            events.emit(events.REPLICA_AVOIDED, replica=message.replica, told_by=peer_id)

    def _on_peers(self) -> None:
        """Drop the queued requests of unreachable instances."""
        if not self._requesters:
            return
        unreachable = self._deps.hub.silent()
        for ticket, requester in list(self._requesters.items()):
            if requester.peer in unreachable:
                self._queue.remove(ticket)
                self._remove(ticket)

    def _answer(self) -> None:
        now = self._deps.clock.now()
        for decided in self._queue.outcomes(now):
            self._reply(decided, now)

    def _reply(self, decided: PlacementOutcome, now: int) -> None:
        ticket = decided.request.ticket
        requester = self._requesters[ticket]
        self._remove(ticket)
        if isinstance(decided, Assigned):
            self._assign(requester.peer, requester.correlation_id, decided.replica, now)
        else:
            self._refuse(requester, decided.request, decided.retry_after_ms, decided.waited_ms)

    def _assign(self, peer_id: str, correlation_id: int, replica: str, now: int) -> None:
        if replica:
            self._deps.load_tracker.on_placed(peer_id, replica, now)
            self._replica_capacity.on_sent(replica, now)
            self._unanswered_reports.on_sent(replica, now)
        self._deps.hub.send(peer_id, PlaceTell(correlation_id, replica))

    def _refuse(
        self, requester: _Requester, placement: PlacementRequest, after_ms: int, waited_ms: int
    ) -> None:
        self._deps.metrics.places_refused.labels(upstream_of(placement.partition)).inc()
        events.emit(
            events.PLACE_REFUSED,
            part=placement.partition,
            caller=placement.needs.caller,
            rank=placement.needs.rank,
            asker=requester.peer,
            waited_ms=waited_ms,
            waiting=self._queue.queued(placement.partition),
            after_ms=after_ms,
        )
        self._deps.hub.send(
            requester.peer, PlaceTell(requester.correlation_id, NO_REPLICA, 0, after_ms)
        )

    def _remove(self, ticket: int) -> None:
        requester = self._requesters.pop(ticket)
        del self._ticket_of[requester.peer, requester.correlation_id]

    def _usable_replicas(self, partition: str, now: int) -> frozenset[str]:
        members = self._deps.partitions().members.get(partition, frozenset())
        usable = [
            replica.id
            for replica in self._deps.load_tracker.usable_replicas(upstream_of(partition), now)
        ]
        usable_members = frozenset(members.intersection(usable))
        # If all replicas are ejected, it is better to try one than to wait.
        in_use = frozenset(
            replica
            for replica in usable_members
            if not self._deps.outliers.is_ejected(replica, now)
        )
        not_avoided = frozenset(
            replica for replica in in_use if not self._unanswered_reports.is_avoided(replica, now)
        )
        # If most replicas look faulty, overload or the network is the more likely cause.
        if 2 * len(not_avoided) < len(usable_members):
            self._ignored_reports.add(partition)
            return in_use or usable_members
        self._ignored_reports.discard(partition)
        return not_avoided

    def _has_capacity(self, replica: str, now: int) -> bool:
        reports_apply = self._deps.partitions().key_of.get(replica) not in self._ignored_reports
        if reports_apply and self._unanswered_reports.is_avoided(replica, now):
            return False
        load_tracker = self._deps.load_tracker
        return self._replica_capacity.has_capacity(
            replica, load_tracker.online_calls(replica), load_tracker.slots(replica), now
        )

    def _choose(self, placement: PlacementRequest, within: frozenset[str], now: int) -> str | None:
        route_request = RouteRequest(
            upstream_of(placement.partition),
            placement.prompt,
            placement.data_centre,
            placement.excluded,
            includes_peers=True,
            fresh=True,
            candidates=within,
        )
        return choose_replica(
            self._deps.load_tracker, self._deps.outliers, route_request, self._deps.rand, now
        )

    def _keep_ticking(self) -> None:
        if self._timer is None and self._queue.depth():
            self._timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self._check_timer is None:
            call_guarded("placer", self._answer)
        call_guarded("placer", self._notify_queued, self._deps.clock.now())
        self._keep_ticking()

    def _notify_queued(self, now: int) -> None:
        """Notify the requesters whose requests are still queued."""
        while self._next_notifications and self._next_notifications[0][0] <= now:
            _, ticket = heapq.heappop(self._next_notifications)
            requester = self._requesters.get(ticket)
            if requester is None:
                continue
            # The interval doubles, so that a long queue does not cause ever more messages.
            within_ms = max(MIN_NOTIFY_INTERVAL_MS, 2 * (now - requester.requested_ms))
            self._deps.hub.send(
                requester.peer, PlaceTell(requester.correlation_id, NO_REPLICA, within_ms)
            )
            heapq.heappush(self._next_notifications, (now + within_ms // 2, ticket))

    def _log_full(self, partition: str, now: int) -> None:
        if now < self._next_full_log.get(partition, 0):
            return
        self._next_full_log[partition] = now + LOG_INTERVAL_MS
        members = self._deps.partitions().members.get(partition, frozenset())
        events.emit(
            events.PART_FULL,
            part=partition,
            waiting=self._queue.queued(partition),
            replicas=len(members),
            calls=sum(self._deps.load_tracker.online_calls(replica) for replica in members),
        )


def _to_placement(request: PlaceAsk, ticket: int) -> PlacementRequest:
    needs = PlacementNeeds(
        request.caller,
        request.rank,
        request.objective_ms,
        request.timeout_ms,
        request.retry_within_ms,
    )
    return PlacementRequest(
        ticket,
        request.partition,
        request.prompt,
        request.data_centre,
        frozenset(request.excluded),
        needs,
    )
