"""Test that a common question is told apart from a request that ends its replicas.

What users saw: a question that many ask is refused for ten minutes, though it ends no replica.
Events: few replicas run a service; the question and a request that ends replicas are open at each;
all of them end before the question was answered anywhere, and what waits goes to the next ones.
Cause: after two ends both were sent again at the same moment, to the same replicas.
"""

import random
from collections.abc import Callable
from typing import Any

import pytest

from papayapier.clock import fake_clock
from papayapier.dispatch.crash_watch import CrashWatch, Hearers
from papayapier.dispatch.lost_sends import name_work
from papayapier.policy.crashes import ITEM_PAUSE_MS, LOSSES_MOST, CrashBook, Loss
from papayapier.policy.send_windows import MAX_WINDOWS, SEND_PERIOD_MS, WINDOW_MS, ms_to_window
from papayapier.upstream.api import FailureKind, Replica, Sent
from tests.dispatch_world import BODY, CHAT, World
from tests.forward_world import Ended, ForwardWorld, Send

STEP_MS = 10
TOLD_MS = 100
PLAY_MS = 6_000
SOUND_GAP_MS = 50
CRASH_GAP_MS = 200
ANSWER_MS = 130
CRASH_MS = 20
# Of the questions asked last, those that have been answered when the play ends.
LAST = 20
UNDER_WAY = 5
SOUND = b"sound"
CRASH = b"crash"
START = 1_000_000


def turns_of(works: list[str], at_ms: int) -> list[str]:
    """Return the works whose turn it is."""
    return [work for work in works if not ms_to_window(work, {*works} - {work}, at_ms)]


@pytest.mark.parametrize("count", range(2, MAX_WINDOWS + 1))
def test_one_work_at_a_time_has_its_turn(count: int) -> None:
    works = [f"w{number}" for number in range(count)]
    begun = set()
    for at_ms in range((count + 1) * WINDOW_MS):
        now = turns_of(works, at_ms)
        assert len(now) <= 1
        begun.update(now)
    assert begun == {*works}


@pytest.mark.parametrize("count", [2, 3, MAX_WINDOWS, MAX_WINDOWS + 1, 100])
def test_each_work_knows_when_its_turn_comes(count: int) -> None:
    works = [f"w{number}" for number in range(count)]
    for work in works:
        rivals = {*works} - {work}
        for at_ms in range(0, 3 * MAX_WINDOWS * WINDOW_MS, 50):
            wait_ms = ms_to_window(work, rivals, at_ms)
            assert wait_ms <= (MAX_WINDOWS + 1) * WINDOW_MS
            assert not ms_to_window(work, rivals, at_ms + wait_ms)


def test_what_was_sent_in_a_turn_has_time_to_end_before_the_next() -> None:
    works = ["w0", "w1"]
    ends = [
        at for at in range(10 * WINDOW_MS) if turns_of(works, at) and not turns_of(works, at + 1)
    ]
    begins = [
        at for at in range(1, 10 * WINDOW_MS) if turns_of(works, at) and not turns_of(works, at - 1)
    ]
    assert all(
        min(begin - end for begin in begins if begin > end) >= WINDOW_MS - SEND_PERIOD_MS
        for end in ends
        if end < begins[-1]
    )


def lost_twice(*works: str) -> CrashBook:
    book = CrashBook()
    for work in works:
        book.on_told([Loss(work, f"r{number}", 0) for number in range(LOSSES_MOST - 1)], START)
    return book


def test_work_without_rivals_waits_for_no_turn() -> None:
    book = lost_twice("w")
    book.on_told(
        [Loss("other", "r0", 0), Loss("elsewhere", "r8", 0), Loss("elsewhere", "r9", 0)], START
    )
    assert [book.turns.wait_ms(work, START) for work in ("w", "other", "elsewhere", "new")] == [
        0
    ] * 4


def test_a_turn_is_taken_once() -> None:
    # Failure: all copies that wait for a turn of one instance end a replica each.
    book = lost_twice("w0", "w1")
    now = START + WINDOW_MS
    assert [book.turns.take("w0", now), book.turns.take("w0", now)] == [True, False]
    assert book.turns.take("w0", now + book.turns.wait_ms("w0", now))


def test_an_answer_ends_the_turns() -> None:
    book = lost_twice("w0", "w1")
    book.on_answered("w0")
    assert [book.turns.wait_ms(work, START) for work in ("w0", "w1")] == [0, 0]


def test_a_third_loss_ends_the_turns() -> None:
    book = lost_twice("w0", "w1")
    book.on_told([Loss("w1", "r7", 0)], START)
    assert not book.turns.wait_ms("w0", START)
    assert book.hold_ms("w1", START)


def test_an_item_waits_until_those_that_are_asked_have_had_their_turns() -> None:
    # Failure: an item that ends replicas does so in the turn of a question beside it.
    book = lost_twice("item", "question")
    assert book.item_hold_ms("item", START) == ITEM_PAUSE_MS
    assert not book.item_hold_ms("item", START + ITEM_PAUSE_MS)
    assert not lost_twice("item").item_hold_ms("item", START)


def losses_of(*works: str) -> list[Loss]:
    return [Loss(work, f"gone{n}", 0) for work in works for n in range(LOSSES_MOST - 1)]


def test_the_products_own_requests_take_turns() -> None:
    world = World(lm=4, slots=4)
    world.crashes.on_told(losses_of(name_work("POST", "lm", CHAT, BODY), "rival"), ())
    world.ask()
    assert not world.sends
    world.advance(3 * WINDOW_MS)
    assert len(world.sends) == 1


@pytest.mark.parametrize("due_ms", [100, 600, 5_000])
def test_a_request_waits_half_its_time_for_a_turn_at_most(due_ms: int) -> None:
    world = ForwardWorld()
    world.crashes.on_told(losses_of(name_work("POST", "", "/a", SOUND), "rival"), ())
    world.begin(idempotent=True, body=SOUND, due_ms=due_ms)
    waited_ms = 0
    while not world.sends:
        world.time.advance(STEP_MS)
        waited_ms += STEP_MS
    assert WINDOW_MS <= waited_ms <= 2 * WINDOW_MS or waited_ms == due_ms // 2


class Fleet:
    """Play entries that tell each other of losses after a while, before the same replicas."""

    def __init__(self, seed: int, entries: int, replicas: int, back_ms: int) -> None:
        self._back_ms = back_ms
        self.time = fake_clock()
        self._rand = random.Random(seed)
        self.entries = [ForwardWorld(replicas, seed + n, self.time) for n in range(entries)]
        self._seen: dict[int, int] = {}
        self.ends: dict[bytes, list[list[Ended]]] = {SOUND: [], CRASH: []}
        self.lost = 0
        for entry in self.entries:
            others = [other.crashes for other in self.entries if other is not entry]
            entry.crashes.connect(self._hearers(entry.crashes, others))

    def _hearers(self, watch: CrashWatch, others: list[CrashWatch]) -> Hearers:
        def lost(loss: Loss) -> None:
            self.time.clock.call_later(TOLD_MS, lambda: told([loss._replace(age_ms=TOLD_MS)], ()))

        def told(losses: list[Loss], answered: Any) -> None:
            for other in others:
                other.on_told(losses, answered)

        return Hearers(
            lost, lambda work: told([], [work]), lambda work: told(watch.snapshot([work]), ())
        )

    def ask(self, body: bytes) -> None:
        entry = self._rand.choice(self.entries)
        self.ends[body].append(entry.begin(idempotent=True, body=body))

    def step(self) -> None:
        """Answer what was run, and end the replicas of what ends them."""
        self.time.advance(STEP_MS)
        now = self.time.clock.now()
        for send in [send for entry in self.entries for send in entry.sends]:
            began = self._seen.setdefault(id(send), now)
            if send.done.called:
                continue
            if send.call.body == SOUND and now - began >= ANSWER_MS:
                send.answer()
            elif send.call.body == CRASH and now - began >= CRASH_MS:
                self._end(send)

    def _end(self, send: Send) -> None:
        self.lost += 1
        gone = send.replica
        other = Replica(f"n{self.lost}", "lm", "h", 100 + self.lost, "dc")
        self._list(lambda replicas: [one for one in replicas if one.id != gone.id])
        self.time.clock.call_later(self._back_ms, lambda: self._list(lambda old: [*old, other]))
        for one in [one for entry in self.entries for one in entry.sends]:
            if one.replica.id == gone.id and not one.done.called:
                one.fail(FailureKind.CUT, Sent.MAYBE)

    def _list(self, change: Callable[[list[Replica]], list[Replica]]) -> None:
        for entry in self.entries:
            entry.replicas = change(entry.replicas)
            entry.list_replicas()

    def held(self, body: bytes) -> list[bool]:
        work = name_work("POST", "", "/a", body)
        return [entry.crashes.refusal("r", lambda: work) is not None for entry in self.entries]


def play(seed: int, entries: int, replicas: int, back_ms: int) -> Fleet:
    """Ask the question and send the other request again and again, for six seconds."""
    fleet = Fleet(seed, entries, replicas, back_ms)
    for at_ms in range(0, PLAY_MS, STEP_MS):
        if at_ms % CRASH_GAP_MS == 0:
            fleet.ask(CRASH)
        if at_ms % SOUND_GAP_MS == 0:
            fleet.ask(SOUND)
        fleet.step()
    return fleet


@pytest.mark.parametrize("back_ms", [10, 500, 1_500])
@pytest.mark.parametrize("entries", [1, 2, 5])
@pytest.mark.parametrize("replicas", [1, 2, 3])
def test_a_question_that_nobody_had_answered_is_not_held(
    entries: int, replicas: int, back_ms: int
) -> None:
    # Failure: what many ask is refused for ten minutes, as it was never sent alone.
    for seed in range(3):
        fleet = play(seed, entries, replicas, back_ms)
        assert not any(fleet.held(SOUND)), seed
        assert all(fleet.held(CRASH))
        assert fleet.lost == LOSSES_MOST
        last = fleet.ends[SOUND][-LAST:-UNDER_WAY]
        assert last and all(end.is_ok() for ends in last for end in ends)
