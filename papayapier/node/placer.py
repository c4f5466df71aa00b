"""Place the calls of all instances, and hold the asks that find no room until it is their turn.

An ask that waits for longer than a moment is told so, and again before that word grows old: who
asked takes silence for a lost hub and asks the next one. An answer that is lost so costs a wait,
and never a second place: whoever asked counts for no call until it tells of one itself.
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
# Calls begin and end more often than a look at all replicas of a part is worth.
LOOK_MS: Final = 8
# Some asks are answered within this, and cost no word of their own. With a tick and the way there
# and back it must stay far below the time in which an asker gives a silent hub up.
HELD_AFTER_MS: Final = 12
HELD_MS: Final = 400
# Between lines on one part that is full.
TOLD_AGAIN_MS: Final = 1_000
# At the largest size asked for a part sees 600 asks a second, each wanted for five seconds.
MOST_HELD: Final = 4_000


class PlacerDeps(NamedTuple):
    """Group what placing for others works with; parts deals the replicas out.

    empty_ms is how long a place stays empty between two calls that are given it.
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
    """Tell who asked, and when."""

    peer: str
    ask_id: int
    asked_ms: int


class Placer:
    """Own the asks that wait here."""

    def __init__(self, deps: PlacerDeps) -> None:
        self._deps = deps
        self._room = ReplicaRoom(deps.empty_ms)
        self._blame = SharedBlame()
        # Parts in which so many are blamed that nobody is.
        self._unblamed: set[str] = set()
        self._queue = PlaceQueue(MOST_HELD, self._in_use, self._takes, self._choose)
        self._tickets = count(1)
        self._from: dict[int, _From] = {}
        self._ticket_of: dict[tuple[str, int], int] = {}
        # When each waiting ask is told again that it waits.
        self._words: list[tuple[int, int]] = []
        self._leaving = False
        self._timer: Timer | None = None
        self._look: Timer | None = None
        self._full_told: dict[str, int] = {}
        deps.metrics.places_held.set_function(self._queue.depth)

    def start(self) -> None:
        """Answer asks from now on."""
        self._deps.hub.subscribe(PlaceAsk, self._on_ask)
        self._deps.hub.subscribe(PlaceLeft, self._on_left)
        self._deps.hub.subscribe(Unanswered, self._on_unanswered)
        self._deps.hub.on_change(self._on_peers)

    def on_listed(self, listed: frozenset[str]) -> None:
        """Forget the replicas that are gone."""
        self._room.on_listed(listed)
        self._blame.on_listed(listed)

    def on_calls(self) -> None:
        """Look for room soon, because calls have begun or ended."""
        if self._queue.depth() and self._look is None:
            self._look = self._deps.clock.call_later(LOOK_MS, self._look_now)

    def _look_now(self) -> None:
        self._look = None
        self._answer()

    def waiting(self) -> int:
        """Return how many asks wait here."""
        return self._queue.depth()

    def leave(self) -> None:
        """Send those that wait, and those that come from now on, to the next hub.

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
            # Else there was no room at the last look, and the next one is some ms away.
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
        """Drop the asks of instances that are gone."""
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
        # If all are ejected, trying one is better than waiting.
        in_use = frozenset(one for one in found if not self._deps.outliers.ejected(one, now))
        kept = frozenset(one for one in in_use if not self._blame.avoided(one, now))
        # Where most look bad, the cause is more likely the load or the network.
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
        """Tell those that still wait that they do."""
        while self._words and self._words[0][0] <= now:
            _, ticket = heapq.heappop(self._words)
            asker = self._from.get(ticket)
            if asker is None:
                continue
            # Ever more seldom, so that a long queue does not cost ever more words.
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
