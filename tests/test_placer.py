"""Test what a placer tells those that ask, and what they make of its silence."""

import random
import time
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier.clock import fake_clock
from papayapier.errors import ErrorKind, Outcome
from papayapier.metrics import make_metrics
from papayapier.node.placement import (
    ANSWER_MS,
    MAX_REQUESTS,
    PlacementDeps,
    make_place,
    queues_at_hub,
)
from papayapier.node.placer import (
    CHECK_DELAY_MS,
    MIN_NOTIFY_INTERVAL_MS,
    NOTIFY_AFTER_MS,
    Placer,
    PlacerDeps,
)
from papayapier.peer.messages import Message
from papayapier.peer.placing_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.peer.questions import PeerError, Questions
from papayapier.peer.topology import Plan
from papayapier.policy.loads import LoadBook, ReplicaUse
from papayapier.policy.outliers import Outliers
from papayapier.policy.placers import NOT_PLACED, Placed, Wanting, make_parts, placer_of
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import Replica

SLOTS = 2
WANTING = Wanting("team", 0, 300, 5_000, 0)
REQ = RouteRequest("lm", "", "dc")
HUBS = ("hub-1", "hub-2")
FIRST = placer_of("lm/0", HUBS) or ""
SECOND = next(one for one in HUBS if one != FIRST)


class Wires:
    """Carry messages between an entry and two hubs; cut ones hear and say nothing."""

    def __init__(self, replicas: int = 1) -> None:
        self.time = fake_clock()
        self.cut: set[str] = set()
        self.sent: list[tuple[str, str, Message]] = []
        listed = [Replica(f"r{n}", "lm", "h", n, "dc") for n in range(replicas)]
        self.replicas = listed
        self.parts = make_parts(listed)
        self.ends: dict[str, End] = {}
        self.books: dict[str, LoadBook] = {}
        self.placers: dict[str, Placer] = {}
        for name in HUBS:
            book = LoadBook()
            book.on_listed(listed, (), {one.id: SLOTS for one in listed})
            end = End(self, name)
            deps = PlacerDeps(
                self.time.clock,
                random.Random(1),
                cast(Any, end),
                book,
                Outliers(),
                lambda: self.parts,
                make_metrics(),
                0,
            )
            placer = Placer(deps)
            placer.start()
            self.ends[name], self.books[name], self.placers[name] = end, book, placer
        self.entry = End(self, "entry")
        self.ends["entry"] = self.entry
        book = LoadBook()
        book.on_listed(listed, ())
        self.deps = PlacementDeps(
            self.time.clock,
            random.Random(1),
            cast(Any, self.entry),
            book,
            Outliers(),
            lambda: list(HUBS),
            lambda: self.parts,
            True,
        )
        self.place = make_place(self.deps)

    def carry(self, sender: str, to: str, message: Message) -> None:
        self.sent.append((sender, to, message))
        if sender not in self.cut and to not in self.cut:
            self.ends[to].hear(sender, message)

    def call(self) -> "Call":
        return Call(self)

    def ended(self, hub: str, calls: int) -> None:
        """Let a hub hear how many calls the entry has open at the first replica."""
        self.books[hub].on_peer_uses("entry", (ReplicaUse("r0", calls, 0),), self.time.clock.now())
        self.placers[hub].on_calls()
        self.time.advance(20)


class End:
    """Stand for one instance's links."""

    def __init__(self, wires: Wires, name: str) -> None:
        self.wires = wires
        self.name = name
        self.handlers: dict[type[Message], list[Any]] = {}
        self.listeners: list[Any] = []
        self.gone: frozenset[str] = frozenset()
        self.questions = Questions(wires.time.clock, random.Random(2))

    def plan(self) -> Plan:
        return Plan(frozenset(), False, False, HUBS)

    def silent(self) -> frozenset[str]:
        return self.gone

    def subscribe(self, kind: type[Message], handler: Any) -> None:
        self.handlers.setdefault(kind, []).append(handler)

    def on_change(self, call: Any) -> None:
        self.listeners.append(call)

    def tell(self, peer: str, message: Message) -> bool:
        self.wires.carry(self.name, peer, message)
        return True

    async def ask(self, peer: str, make: Any, limit: int) -> Result[Message, PeerError]:
        ask_id = self.questions.next_id()
        message = make(ask_id)
        # As over a network, the answer comes after the question is noted.
        waiting = Deferred.fromCoroutine(self.questions.wait(ask_id, peer, limit))
        self.tell(peer, message)
        return await waiting

    async def ask_on(self, peer: str, ask_id: int, limit: int) -> Result[Message, PeerError]:
        return await self.questions.wait(ask_id, peer, limit)

    def hear(self, sender: str, message: Message) -> None:
        if self.questions.settle(sender, message):
            return
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)


class Call:
    """Hold one ask for a place."""

    def __init__(self, wires: Wires) -> None:
        self.ends: list[Placed] = []
        self.task = Deferred.fromCoroutine(cast(Any, wires.place(REQ, WANTING)))
        self.task.addCallback(self.ends.append)
        self.task.addErrback(lambda failure: failure.trap(CancelledError))

    @property
    def replica(self) -> str | None:
        return self.ends[0].replica if self.ends else None


def full(wires: Wires) -> None:
    """Take all places of the first replica."""
    assert [wires.call().replica for _ in range(SLOTS)] == ["r0"] * SLOTS
    for hub in HUBS:
        wires.time.advance(20)
        wires.ended(hub, SLOTS)


def told(wires: Wires, kind: type[Message], to: str = "entry") -> int:
    return sum(isinstance(one, kind) and at == to for _, at, one in wires.sent)


def test_two_messages_where_there_is_room() -> None:
    wires = Wires()
    assert wires.call().replica == "r0"
    assert [type(one) for _, _, one in wires.sent] == [PlaceAsk, PlaceTell]


def test_an_ask_waits_until_a_call_ends() -> None:
    # Failure: the hub names a replica although all are full.
    wires = Wires()
    full(wires)
    call = wires.call()
    assert call.replica is None
    wires.time.advance(ANSWER_MS * 3)
    assert call.replica is None
    wires.ended(FIRST, SLOTS - 1)
    assert call.replica == "r0"


def test_a_replica_that_its_asker_does_not_list_is_not_named_to_others() -> None:
    # Failure: a hub that hears late which replicas are gone takes them for idle and names them for
    # seconds, and whoever asks falls back to its own choice.
    wires = Wires(replicas=3)
    gone, kept = wires.replicas[2], wires.replicas[:2]
    wires.deps.load_tracker.on_listed(kept, ())
    for hub in HUBS:
        busy = tuple(ReplicaUse(one.id, 1, 0) for one in kept)
        wires.books[hub].on_peer_uses("other", busy, wires.time.clock.now())
    call = wires.call()
    assert call.replica in {one.id for one in kept}
    assert [one for _, to, one in wires.sent if to == FIRST][1] == Unanswered(gone.id)
    # As it would be told by another instance.
    for teller in ("entry-2", "entry-3"):
        wires.ends[FIRST].hear(teller, Unanswered(gone.id))
    before = len(wires.sent)
    assert wires.call().replica in {one.id for one in kept}
    assert len(wires.sent) == before + 2


def test_a_hub_that_knows_other_replicas_only_is_asked_no_more_than_twice() -> None:
    wires = Wires(replicas=3)
    wires.deps.load_tracker.on_listed([], ())
    assert wires.call().ends[0] == NOT_PLACED
    assert told(wires, PlaceAsk, FIRST) == MAX_REQUESTS


def test_a_short_wait_costs_no_word_of_its_own() -> None:
    wires = Wires()
    full(wires)
    before = len(wires.sent)
    call = wires.call()
    wires.time.advance(NOTIFY_AFTER_MS // 3)
    wires.books[FIRST].on_peer_uses("entry", (), wires.time.clock.now())
    wires.placers[FIRST].on_calls()
    for _ in range(CHECK_DELAY_MS):
        wires.time.advance(1)
    assert call.replica == "r0"
    assert len(wires.sent) - before == 2


def test_whoever_waits_hears_so_in_good_time() -> None:
    # Failure: asks that wait for 25 ms without a word are taken elsewhere, and four hubs that know
    # a part of the calls each fill the same replicas.
    wires = Wires()
    full(wires)
    for _ in range(12):
        before = told(wires, PlaceTell)
        call = wires.call()
        wires.time.advance(ANSWER_MS // 2)
        assert told(wires, PlaceTell) > before
        wires.time.advance(3)
        assert call.ends == []
    assert told(wires, PlaceAsk, SECOND) == 0


def test_a_hub_lost_while_it_holds_an_ask_costs_a_wait() -> None:
    # Failure: an ask waits for ever at a hub that is lost, or all that wait leave its queue for
    # the replicas in one jump.
    wires = Wires()
    full(wires)
    call = wires.call()
    wires.time.advance(ANSWER_MS * 2)
    wires.cut.add(FIRST)
    wires.time.advance(MIN_NOTIFY_INTERVAL_MS + 2 * ANSWER_MS)
    assert call.replica is None
    assert any(to == SECOND and isinstance(one, PlaceAsk) for _, to, one in wires.sent)
    wires.ended(SECOND, SLOTS - 1)
    assert call.replica == "r0"


def test_a_hub_that_says_nothing_at_all_costs_a_moment() -> None:
    wires = Wires()
    wires.cut.add(FIRST)
    call = wires.call()
    wires.time.advance(ANSWER_MS)
    assert call.ends == [Placed()]


def test_a_hub_that_starts_with_empty_memory_places_by_what_it_hears() -> None:
    # Failure: a hub that knows of no calls holds asks, or gives the same place for ever.
    wires = Wires()
    assert [wires.call().replica for _ in range(SLOTS)] == ["r0"] * SLOTS
    waiting = wires.call()
    assert waiting.replica is None
    wires.time.advance(20)
    wires.ended(FIRST, 0)
    assert waiting.replica == "r0"


def test_a_caller_that_leaves_frees_its_turn() -> None:
    # Failure: a place goes to who has left, and the next in line waits.
    wires = Wires()
    full(wires)
    gone, stays = wires.call(), wires.call()
    wires.time.advance(ANSWER_MS)
    gone.task.cancel()
    assert told(wires, PlaceLeft, FIRST) == 1
    wires.ended(FIRST, SLOTS - 1)
    assert (gone.ends, stays.replica) == ([], "r0")


def test_the_asks_of_a_lost_instance_are_dropped() -> None:
    wires = Wires()
    full(wires)
    wires.call()
    wires.ends[FIRST].gone = frozenset({"entry"})
    for call in wires.ends[FIRST].listeners:
        call()
    before = told(wires, PlaceTell)
    wires.ended(FIRST, 0)
    assert told(wires, PlaceTell) == before


def test_a_place_given_to_who_died_is_free_again() -> None:
    # Failure: a place stays taken that was given to an instance which is lost.
    wires = Wires()
    full(wires)
    wires.ended(FIRST, SLOTS - 1)
    assert wires.call().replica == "r0"
    waiting = wires.call()
    assert waiting.replica is None
    wires.books[FIRST].on_peer_gone("entry")
    wires.placers[FIRST].on_calls()
    wires.time.advance(20)
    assert waiting.replica == "r0"


def test_an_answer_that_is_lost_gives_no_second_place() -> None:
    # Failure: two asks of one call both count, or neither does.
    wires = Wires()
    full(wires)
    wires.ended(FIRST, SLOTS - 1)
    ask = PlaceAsk(77, "lm/0", "", "dc", (), "team", 0, 300, 5_000, 0)
    wires.ends[FIRST].hear("entry", ask)
    assert wires.books[FIRST].online_at("r0") == SLOTS
    wires.time.advance(20)
    wires.ended(FIRST, SLOTS - 1)
    assert wires.books[FIRST].online_at("r0") == SLOTS - 1


def test_a_replica_that_answers_nobody_gets_no_calls() -> None:
    # Failure: calls given up at a dark replica make it look idle, and draw all others to it.
    wires = Wires(replicas=4)
    for teller in ("entry", "e2", "e3"):
        wires.ends[FIRST].hear(teller, Unanswered("r2"))
    given = {wires.call().replica for _ in range(3 * SLOTS)}
    assert given == {"r0", "r1", "r3"}
    assert wires.call().replica is None


def test_where_most_replicas_are_blamed_none_is() -> None:
    # Failure: a fault of the network takes a whole upstream out of use.
    wires = Wires(replicas=4)
    for replica in ("r0", "r1", "r2"):
        for teller in ("entry", "e2", "e3"):
            wires.ends[FIRST].hear(teller, Unanswered(replica))
    given = {wires.call().replica for _ in range(4 * SLOTS)}
    assert given == {"r0", "r1", "r2", "r3"}


def test_a_planned_stop_hands_those_that_wait_to_the_next_hub() -> None:
    # Failure: all that wait at a hub which stops are let go at once, to replicas that are full.
    wires = Wires()
    full(wires)
    calls = [wires.call() for _ in range(5)]
    wires.time.advance(ANSWER_MS * 2)
    wires.placers[FIRST].leave()
    # Until its heartbeat is heard it is asked still.
    calls += [wires.call() for _ in range(5)]
    wires.time.advance(ANSWER_MS * 2)
    assert [call.replica for call in calls] == [None] * 10
    assert (wires.placers[FIRST].waiting(), wires.placers[SECOND].waiting()) == (0, 10)
    wires.ended(SECOND, SLOTS - 1)
    assert [call.replica for call in calls].count("r0") == 1


def test_a_planned_stop_of_the_only_hub_lets_those_that_wait_go() -> None:
    wires = Wires()
    full(wires)
    wires.cut.add(SECOND)
    call = wires.call()
    wires.time.advance(ANSWER_MS * 2)
    wires.placers[FIRST].leave()
    wires.time.advance(ANSWER_MS)
    assert call.ends == [Placed()]


def test_a_hub_that_stops_places_for_those_that_cannot_wait() -> None:
    # Failure: an instance of an earlier release takes the answer for "there is no replica".
    wires = Wires()
    wires.placers[FIRST].leave()
    wires.ends[FIRST].hear("entry", PlaceAsk(78, "lm/0", "", "dc"))
    assert wires.sent[-1] == (FIRST, "entry", PlaceTell(78, "r0"))


def test_an_ask_without_an_aim_is_answered_at_once() -> None:
    # Failure: an instance of an earlier release, or without the setting, waits for 25 ms.
    wires = Wires()
    full(wires)
    wires.ends[FIRST].hear("entry", PlaceAsk(78, "lm/0", "", "dc"))
    assert wires.sent[-1] == (FIRST, "entry", PlaceTell(78, "r0"))


def test_a_refusal_says_that_nothing_ran_and_when_to_return() -> None:
    wires = Wires()
    full(wires)

    async def refuse(_peer: str, make: Any, _limit: int) -> Result[Message, PeerError]:
        return Ok(PlaceTell(make(1).ask_id, "", 0, 250))

    wires.entry.ask = refuse  # type: ignore[method-assign, assignment]
    refusal = wires.call().ends[0].refusal
    assert refusal is not None
    assert (refusal.kind, refusal.outcome) == (ErrorKind.NO_ROOM, Outcome.NOT_RUN)
    assert refusal.retry_after_ms == 250


@pytest.mark.parametrize(
    ("queue", "hubs", "held"), [(True, 2, True), (False, 2, False), (True, 0, False)]
)
def test_where_calls_wait(queue: bool, hubs: int, held: bool) -> None:
    # Failure: with no placer in touch nobody queues a call.
    wires = Wires()
    deps = wires.deps._replace(queue=queue, hubs=lambda: list(HUBS[:hubs]))
    assert queues_at_hub(deps, "lm") is held
    assert queues_at_hub(deps, "not-listed") is False


def test_no_answer_from_a_closed_link_is_no_place() -> None:
    wires = Wires()

    async def closed(_peer: str, make: Any, _limit: int) -> Result[Message, PeerError]:
        make(1)
        return Err(PeerError.CLOSED)

    wires.entry.ask = closed  # type: ignore[method-assign, assignment]
    assert wires.call().ends == [Placed()]


def test_time_of_a_decision() -> None:
    # Before: 0.1 ms to place a call at once, none waiting. Bound: 0.1 ms an ask, with all looks
    # for room, at 600 asks a second, 64 replicas and 2,000 waiting.
    wires = Wires(replicas=64)
    hub, book, placer = wires.ends[FIRST], wires.books[FIRST], wires.placers[FIRST]
    late = Wanting("", 0, 19_000, 19_000, 0)
    for number in range(2_000 + 64 * SLOTS):
        hub.hear("entry", ask_of(number, late._replace(caller=f"t{number % 80}")))
    wires.time.advance(3_000)
    wires.sent.clear()
    spent: list[float] = []
    for step in range(200):
        began = time.process_time()
        for part in range(3):
            open_at = SLOTS - 1 if part == step % 3 else SLOTS
            use = ReplicaUse(f"r{(3 * step + part) % 64}", open_at, 0)
            book.on_peer_uses(f"e{step % 9}", (use,), wires.time.clock.now())
            placer.on_calls()
            hub.hear("entry", ask_of(9_000 + 3 * step + part, late._replace(caller="calm")))
        wires.time.advance(5)
        spent.append((time.process_time() - began) / 3)
    spent.sort()
    assert told(wires, PlaceTell) > 0
    # Of the steps that nothing else on the machine has disturbed.
    assert spent[len(spent) // 10] * 1e6 < 100


def ask_of(number: int, want: Wanting) -> PlaceAsk:
    times = (want.aim_ms, want.left_ms, want.return_ms)
    return PlaceAsk(number, "lm/0", "", "dc", (), want.caller, want.rank, *times)
