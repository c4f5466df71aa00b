"""Play jobs for which there is no room, and check what is accepted and what of it is in time."""

import random
from typing import NamedTuple

import pytest

from papayapier.peer.messages import JobLoad, ReplicaUse
from papayapier.policy.batch_order import LISTING_MS, RunTimes, standing
from papayapier.policy.batch_room import SPARE_SLOTS
from papayapier.policy.job_room import (
    GRANT_SEEN_MS,
    GRANTED,
    LEAST_RETRY_MS,
    LEAST_SEEN_MS,
    LONGEST_RETRY_MS,
    TOLD_STANDS_MS,
    JobAsked,
    JobRoom,
    slots_left,
)
from papayapier.policy.loads import LoadBook
from papayapier.upstream.api import Replica

DUE_MS = 18_000
EVENTS = 169
EVENT_MS = 28
TICK_MS = 50
TOLD_EACH_MS = 400
# Online calls take all slots for 2.4 s of each 6 s.
ROUND_MS = 6_000
CALM_MS = 3_600
SLOTS = 120
BEGIN_MS = 12_000


class Work:
    def __init__(self, number: int, due_ms: int, events: int) -> None:
        self.number = number
        self.due_ms = due_ms
        self.size = events
        self.events = 0
        self.ran_ms = 0
        self.began_ms: int | None = None


class Played(NamedTuple):
    came: int
    accepted: int
    in_time: int


class Play:
    """One upstream, whose slots are taken by online calls now and then."""

    def __init__(self, admit: bool, seed: int) -> None:
        self.rand = random.Random(seed)
        self.admit = admit
        self.room = JobRoom(lambda: ["keeper"])
        self.times = RunTimes()
        self.waiting: list[Work] = []
        self.running: list[Work] = []
        self.came = self.accepted = self.in_time = 0

    def run(self, load: float, loaded_ms: int) -> Played:
        """Bring so many slots' worth of items for a time, after a calm minute's worth of others."""
        rate = SLOTS * CALM_MS / ROUND_MS / (EVENTS * EVENT_MS) / 10
        end_ms = BEGIN_MS + loaded_ms
        for now in range(0, end_ms + 2 * DUE_MS, TICK_MS):
            free = SLOTS if now % ROUND_MS < CALM_MS else 0
            share = load if now >= BEGIN_MS else 0.5
            if now < end_ms and self.rand.random() < rate * share * TICK_MS:
                self._job(now, counted=now >= BEGIN_MS)
            self._tick(now, free)
            if now % 200 == 0:
                self.room.on_slots("lm", free, now)
            if now % TOLD_EACH_MS == 0:
                self.room.on_loads("keeper", [self._load(now)], now)
        return Played(self.came, self.accepted, self.in_time)

    def _job(self, now: int, counted: bool) -> None:
        items = max(1, round(self.rand.gauss(10, 4)))
        asked = JobAsked(f"job-{now}-{self.rand.random()}", "lm", items, DUE_MS)
        granted = self.room.retry_ms(asked, now) == GRANTED or not self.admit
        self.came += items * counted
        self.accepted += items * granted * counted
        for _ in range(items * granted):
            size = max(10, int(self.rand.gauss(EVENTS, EVENTS / 4)))
            number = self.accepted if counted else -1
            self.waiting.append(Work(number, now + DUE_MS, size))

    def _load(self, now: int) -> JobLoad:
        left = 0.0
        for one in self.waiting + self.running:
            if not standing(self.times, one.events, one.due_ms, now).late:
                left += self.times.mean_left_ms(one.events)
        times = self.times
        return JobLoad("lm", round(left), round(times.run_ms()), round(times.taken_ms()))

    def _tick(self, now: int, free: int) -> None:
        for one in list(self.running):
            one.ran_ms += TICK_MS
            one.events = one.ran_ms // EVENT_MS
            if one.events >= one.size:
                self.running.remove(one)
                assert one.began_ms is not None
                self.times.on_done(one.size, one.ran_ms, now - one.began_ms)
                self.in_time += now + LISTING_MS <= one.due_ms and one.number >= 0
        ranked = self.waiting + self.running
        ranked.sort(key=lambda one: standing(self.times, one.events, one.due_ms, now))
        self.running, self.waiting = ranked[:free], ranked[free:]
        for one in self.running:
            one.began_ms = now if one.began_ms is None else one.began_ms


def play_all(admit: bool, load: float, loaded_ms: int) -> Played:
    """Play twelve seeds, and add them up."""
    played = [Play(admit, seed).run(load, loaded_ms) for seed in range(1, 13)]
    return Played(*(sum(one[part] for one in played) for part in range(3)))


def test_what_is_accepted_is_in_time_under_three_times_the_room() -> None:
    # Load: for ten seconds three times as many items come as the slots beside online calls can run.
    # Before, all accepted: 0.59 of them are in time. After: 0.91, and more of all that came.
    before = play_all(False, 3.0, 10_000)
    after = play_all(True, 3.0, 10_000)
    assert before.in_time < 0.65 * before.accepted
    assert after.in_time > 0.9 * after.accepted
    assert after.in_time / after.came > before.in_time / before.came


def test_hardly_a_job_that_fits_is_refused() -> None:
    # What comes is nine tenths of what can be run, with luck more for some seconds.
    played = play_all(True, 0.9, 30_000)
    assert played.accepted > 0.97 * played.came


class Known:
    """A room in which everything is known: ten slots, items of four seconds."""

    def __init__(self, left_ms: int = 0) -> None:
        self.live = ["k1", "k2"]
        self.room = JobRoom(lambda: self.live)
        self.room.on_slots("lm", 10, 0)
        self.room.on_slots("lm", 10, LEAST_SEEN_MS)
        self.now = LEAST_SEEN_MS
        self.load = JobLoad("lm", left_ms, 4_000, 4_000)
        self.room.on_loads("k1", [self.load], self.now)

    def ask(self, items: int, job_id: str = "", later_ms: int = 0) -> int:
        asked = JobAsked(job_id or f"job-{items}-{later_ms}", "lm", items, 18_000)
        return self.room.retry_ms(asked, self.now + later_ms)


@pytest.mark.parametrize(
    ("left_ms", "items", "granted"),
    [
        (0, 2, True),
        (0, 200, False),
        (0, 36, True),
        (130_000, 2, True),
        (180_000, 2, False),
    ],
)
def test_a_job_has_room_if_its_last_item_can_be_in_time(
    left_ms: int, items: int, granted: bool
) -> None:
    assert (Known(left_ms).ask(items) == GRANTED) is granted


def test_jobs_of_one_second_are_counted_before_keepers_tell_of_them() -> None:
    # Many entries ask within the second in which no keeper has seen the first of the jobs.
    known = Known()
    answers = [known.ask(10, f"job-{n}") for n in range(12)]
    assert answers[:4] == [GRANTED] * 4
    assert GRANTED not in answers[5:]
    assert all(LEAST_RETRY_MS <= one <= LONGEST_RETRY_MS for one in answers[5:])
    # Keepers tell of them by then; what they tell is what counts.
    assert known.ask(10, "later", GRANT_SEEN_MS) == GRANTED


def test_a_job_that_was_granted_and_comes_again_is_granted() -> None:
    known = Known(140_000)
    assert known.ask(1, "job") == GRANTED
    known.room.on_loads("k1", [JobLoad("lm", 900_000, 4_000, 4_000)], known.now)
    assert known.ask(1, "job", 5_000) == GRANTED
    assert known.ask(1, "other", 1_000) != GRANTED


def test_the_work_of_a_lost_keeper_is_not_counted_twice() -> None:
    known = Known(100_000)
    known.room.on_loads("k2", [known.load], known.now)
    assert known.ask(2, "a") != GRANTED
    known.live = ["k1"]
    assert known.ask(2, "b") == GRANTED


def test_nothing_is_refused_by_what_is_not_known() -> None:
    room = JobRoom(lambda: ["k1"])
    asked = JobAsked("job", "lm", 10_000, 18_000)
    assert room.retry_ms(asked, 0) == GRANTED
    known = Known(900_000)
    # Keepers have not told anything for long, as in an outage of the ways between them.
    assert known.ask(10_000, later_ms=TOLD_STANDS_MS) == GRANTED


def test_slots_are_what_online_calls_leave() -> None:
    book = LoadBook()
    book.on_listed([Replica(f"i-{n}", "lm", "h", 1, "dc") for n in range(3)], [], {})
    slots = book.slots("i-0")
    assert slots_left(book, "lm", 0) == 3 * (slots - SPARE_SLOTS)
    uses = [ReplicaUse("i-0", slots, 0), ReplicaUse("i-1", 2, slots - 2)]
    book.on_peer_uses("entry", uses, 0)
    assert slots_left(book, "lm", 0) == 0 + (slots - 2) + (slots - SPARE_SLOTS)
