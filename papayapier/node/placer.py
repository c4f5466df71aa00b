"""Place the calls of all instances, and queue requests while no replica has capacity.

A request that waits longer than NOTIFY_AFTER_MS gets a notification that it is queued, and further
ones before the previous expires: a requester takes silence for a lost hub and asks the next one.
If such an answer is lost, the call waits longer but never takes two places, because a requester's
calls are counted only once it reports them itself.
"""

import heapq
import random
from collections.abc import Callable
from itertools import count
from typing import Final, NamedTuple

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.metrics import Metrics
from papayapier.peer.hub import PeerHub
from papayapier.peer.placing_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.place_queue import Asked, Decided, Given, PlaceQueue
from papayapier.policy.placers import Parts, Wanting, upstream_of
from papayapier.policy.replica_room import ReplicaRoom
from papayapier.policy.routing import RouteRequest, choose
from papayapier.policy.shared_blame import SharedBlame

NONE: Final = ""
TICK_MS: Final = 8
# Calls begin and end too often to check all replicas of a partition each time.
LOOK_MS: Final = 8
# Requests that are answered within this time need no notification. Together with a tick and a round
# trip it must stay far below the time after which a requester gives up on a silent hub.
HELD_AFTER_MS: Final = 12
HELD_MS: Final = 400
# Interval between log lines about one full partition.
TOLD_AGAIN_MS: Final = 1_000
# In the largest fleet a partition gets 600 requests per second, each of which waits up to 5 s.
MOST_HELD: Final = 4_000


class PlacerDeps(NamedTuple):
    """Hold the dependencies of placement for other instances.

    parts returns the partitions of the replicas. empty_ms is how long a slot stays empty between
    the calls that are placed there.
    """

    clock: Clock
    rand: random.Random
    hub: PeerHub
    book: LoadBook
    outliers: Outliers
    parts: Callable[[], Parts]
    metrics: Metrics
    empty_ms: int


class _From(NamedTuple):
    """Identify the requester of a placement, and when the request arrived."""

    peer: str
    ask_id: int
    asked_ms: int


class Placer:
    """Answer placement requests, and hold those that are queued."""

    def __init__(self, deps: PlacerDeps) -> None:
        self._deps = deps
        self._room = ReplicaRoom(deps.empty_ms)
        self._blame = SharedBlame()
        # Partitions with so many suspect replicas that the reports about them are ignored.
        self._unblamed: set[str] = set()
        self._queue = PlaceQueue(MOST_HELD, self._in_use, self._takes, self._choose)
        self._tickets = count(1)
        self._from: dict[int, _From] = {}
        self._ticket_of: dict[tuple[str, int], int] = {}
        # Heap of the times at which queued requests get the next notification, with their tickets.
        self._words: list[tuple[int, int]] = []
        self._leaving = False
        self._timer: Timer | None = None
        self._look: Timer | None = None
        self._full_told: dict[str, int] = {}
        deps.metrics.places_held.set_function(self._queue.depth)

    def start(self) -> None:
        """Start to answer placement requests."""
        self._deps.hub.subscribe(PlaceAsk, self._on_ask)
        self._deps.hub.subscribe(PlaceLeft, self._on_left)
        self._deps.hub.subscribe(Unanswered, self._on_unanswered)
        self._deps.hub.on_change(self._on_peers)

    def on_listed(self, listed: frozenset[str]) -> None:
        """Drop the state of replicas that are no longer listed."""
        self._room.on_listed(listed)
        self._blame.on_listed(listed)

    def on_calls(self) -> None:
        """Schedule a check for free capacity, because calls have begun or ended."""
        if self._queue.depth() and self._look is None:
            self._look = self._deps.clock.call_later(LOOK_MS, self._look_now)

    def _look_now(self) -> None:
        self._look = None
        self._answer()

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return self._queue.depth()

    def leave(self) -> None:
        """Redirect queued and future requests to the next hub.

        Let go all at once, they would choose by what each of their instances knows.
        """
        if not self._leaving and self._from:
            events.emit(events.PLACES_HANDED_OVER, waiting=self.waiting())
        self._leaving = True
        for ticket, asker in list(self._from.items()):
            self._queue.leave(ticket)
            self._forget(ticket)
            self._deps.hub.tell(asker.peer, PlaceTell(asker.ask_id, NONE, leaving=True))

    def close(self) -> None:
        """Stop."""
        for timer in (self._timer, self._look):
            if timer is not None and timer.active():
                timer.cancel()
        self.leave()

    def _on_ask(self, peer_id: str, ask: PlaceAsk) -> None:
        members = self._deps.parts().members.get(ask.part, frozenset())
        now = self._deps.clock.now()
        asked = _asked(ask, next(self._tickets))
        if not members or not ask.aim_ms:
            chosen = self._choose(asked, members, now) if members else None
            self._give(peer_id, ask.ask_id, chosen or NONE, now)
            return
        if self._leaving:
            self._deps.hub.tell(peer_id, PlaceTell(ask.ask_id, NONE, leaving=True))
            return
        others_wait = self._queue.waiting(ask.part) > 0
        refused = self._queue.offer(asked, now)
        if refused is not None:
            self._refuse(_From(peer_id, ask.ask_id, now), asked, refused.after_ms, 0)
            return
        asker = _From(peer_id, ask.ask_id, now)
        self._from[asked.ticket] = asker
        self._ticket_of[peer_id, ask.ask_id] = asked.ticket
        if not others_wait:
            # Otherwise the last check found no capacity, and the next is due within a few ms.
            self._answer()
        if self._queue.held(asked.ticket):
            heapq.heappush(self._words, (now + HELD_AFTER_MS, asked.ticket))
            self._tell_full(ask.part, now)
            self._keep_ticking()

    def _on_left(self, peer_id: str, left: PlaceLeft) -> None:
        ticket = self._ticket_of.get((peer_id, left.ask_id))
        if ticket is not None:
            self._queue.leave(ticket)
            self._forget(ticket)

    def _on_unanswered(self, peer_id: str, told: Unanswered) -> None:
        if self._blame.on_failed(told.replica, peer_id, self._deps.clock.now()):
            events.emit(events.REPLICA_AVOIDED, replica=told.replica, told_by=peer_id)

    def _on_peers(self) -> None:
        """Drop the queued requests of unreachable instances."""
        if not self._from:
            return
        gone = self._deps.hub.silent()
        for ticket, asker in list(self._from.items()):
            if asker.peer in gone:
                self._queue.leave(ticket)
                self._forget(ticket)

    def _answer(self) -> None:
        now = self._deps.clock.now()
        for decided in self._queue.decided(now):
            self._tell(decided, now)

    def _tell(self, decided: Decided, now: int) -> None:
        ticket = decided.asked.ticket
        asker = self._from[ticket]
        self._forget(ticket)
        if isinstance(decided, Given):
            self._give(asker.peer, asker.ask_id, decided.replica, now)
        else:
            self._refuse(asker, decided.asked, decided.after_ms, decided.waited_ms)

    def _give(self, peer_id: str, ask_id: int, replica: str, now: int) -> None:
        if replica:
            self._deps.book.on_placed(peer_id, replica, now)
            self._room.on_given(replica, now)
            self._blame.on_given(replica, now)
        self._deps.hub.tell(peer_id, PlaceTell(ask_id, replica))

    def _refuse(self, asker: _From, asked: Asked, after_ms: int, waited_ms: int) -> None:
        self._deps.metrics.places_refused.labels(upstream_of(asked.part)).inc()
        events.emit(
            events.PLACE_REFUSED,
            part=asked.part,
            caller=asked.wanting.caller,
            rank=asked.wanting.rank,
            asker=asker.peer,
            waited_ms=waited_ms,
            waiting=self._queue.waiting(asked.part),
            after_ms=after_ms,
        )
        self._deps.hub.tell(asker.peer, PlaceTell(asker.ask_id, NONE, 0, after_ms))

    def _forget(self, ticket: int) -> None:
        asker = self._from.pop(ticket)
        del self._ticket_of[asker.peer, asker.ask_id]

    def _in_use(self, part: str, now: int) -> frozenset[str]:
        members = self._deps.parts().members.get(part, frozenset())
        usable = [one.id for one in self._deps.book.usable(upstream_of(part), now)]
        found = frozenset(members.intersection(usable))
        # If all replicas are ejected, it is better to try one than to wait.
        in_use = frozenset(one for one in found if not self._deps.outliers.ejected(one, now))
        kept = frozenset(one for one in in_use if not self._blame.avoided(one, now))
        # If most replicas look faulty, overload or the network is the more likely cause.
        if 2 * len(kept) < len(found):
            self._unblamed.add(part)
            return in_use or found
        self._unblamed.discard(part)
        return kept

    def _takes(self, replica: str, now: int) -> bool:
        heeded = self._deps.parts().key_of.get(replica) not in self._unblamed
        if heeded and self._blame.avoided(replica, now):
            return False
        book = self._deps.book
        return self._room.takes(replica, book.online_at(replica), book.slots(replica), now)

    def _choose(self, asked: Asked, within: frozenset[str], now: int) -> str | None:
        req = RouteRequest(
            upstream_of(asked.part),
            asked.prompt,
            asked.data_centre,
            asked.shunned,
            told=True,
            fresh=True,
            within=within,
        )
        return choose(self._deps.book, self._deps.outliers, req, self._deps.rand, now)

    def _keep_ticking(self) -> None:
        if self._timer is None and self._queue.depth():
            self._timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self._look is None:
            self._answer()
        self._tell_held(self._deps.clock.now())
        self._keep_ticking()

    def _tell_held(self, now: int) -> None:
        """Notify the requesters whose requests are still queued."""
        while self._words and self._words[0][0] <= now:
            _, ticket = heapq.heappop(self._words)
            asker = self._from.get(ticket)
            if asker is None:
                continue
            # The interval doubles, so that a long queue does not cause ever more messages.
            within_ms = max(HELD_MS, 2 * (now - asker.asked_ms))
            self._deps.hub.tell(asker.peer, PlaceTell(asker.ask_id, NONE, within_ms))
            heapq.heappush(self._words, (now + within_ms // 2, ticket))

    def _tell_full(self, part: str, now: int) -> None:
        if now < self._full_told.get(part, 0):
            return
        self._full_told[part] = now + TOLD_AGAIN_MS
        members = self._deps.parts().members.get(part, frozenset())
        events.emit(
            events.PART_FULL,
            part=part,
            waiting=self._queue.waiting(part),
            replicas=len(members),
            calls=sum(self._deps.book.online_at(one) for one in members),
        )


def _asked(ask: PlaceAsk, ticket: int) -> Asked:
    wanting = Wanting(ask.caller, ask.rank, ask.aim_ms, ask.left_ms, ask.return_ms)
    return Asked(ticket, ask.part, ask.prompt, ask.data_centre, frozenset(ask.shunned), wanting)
