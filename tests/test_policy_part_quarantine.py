"""Test the quarantine of prompt parts that crash replicas, by playing the load without I/O."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.policy.part_quarantine import (
    ANSWERED_KEPT_MS,
    FORGET_MS,
    JOINT_PAUSE_MS,
    MAX_OCCASIONS,
    MAX_PARTS,
    MAX_REPLICAS,
    OCCASION_MS,
    PROBE_PAUSES_MS,
    UNANSWERED_MS,
    LostReplica,
    PartAnswer,
    PartTracker,
)

UP: Final = "lm"
START: Final = 1_000_000
# The users' bounds.
MAX_LATE: Final = 3
CONTACT_MS: Final = 3_000
UNCOUNTED: Final = 5


def lose(
    tracker: PartTracker,
    *parts: str,
    at: int,
    replica: str = "",
    upstream: str = UP,
    probed: tuple[str, ...] = (),
) -> None:
    name = replica or f"r{at}"
    tracker.on_lost(LostReplica(name, upstream, 0, parts, probed), at)


def lose_often(tracker: PartTracker, *parts: str, count: int = MAX_OCCASIONS) -> int:
    """Lose a replica on some occasions; return the time of the last one."""
    for number in range(count):
        lose(tracker, *parts, at=START + number * OCCASION_MS)
    return START + (count - 1) * OCCASION_MS


@pytest.mark.parametrize("count", [1, MAX_OCCASIONS - 1, MAX_OCCASIONS])
def test_part_is_quarantined_from_the_last_occasion(count: int) -> None:
    """Guard against a part that ends more replicas than it takes to be blamed."""
    tracker = PartTracker()
    now = lose_often(tracker, "b", count=count)
    assert bool(tracker.blocked(("a", "b"), UP, now)) == (count == MAX_OCCASIONS)


def test_replicas_that_end_together_are_one_occasion() -> None:
    """Guard against blaming a part that was open when a few replicas ended at the same time."""
    tracker = PartTracker()
    for number in range(MAX_REPLICAS - 1):
        lose(tracker, "a", at=START + number, replica=f"r{number}")
    assert not tracker.blocked(("a",), UP, START + 2 * UNANSWERED_MS)


@pytest.mark.parametrize("answered", [False, True])
def test_part_of_many_lost_replicas_is_blamed_if_it_is_not_answered(answered: bool) -> None:
    """Guard against a part of which many requests are under way when the first replica ends."""
    tracker = PartTracker()
    for number in range(MAX_REPLICAS):
        lose(tracker, "a", at=START, replica=f"r{number}")
    assert not tracker.blocked(("a",), UP, START + UNANSWERED_MS - 1)
    if answered:
        assert tracker.on_answered(["a"], UP, START + 10) == ["a"]
    assert bool(tracker.blocked(("a",), UP, START + UNANSWERED_MS)) != answered


def test_answer_releases_a_part() -> None:
    """Guard against a wrong blame that lasts."""
    tracker = PartTracker()
    now = lose_often(tracker, "a", "b")
    assert tracker.on_answered(["a", "c"], UP, now + 1) == ["a"]
    assert tracker.blocked(("a", "b", "c"), UP, now + 1) == ("b",)
    assert tracker.on_answered(["a"], UP, now + 2) == []


def test_answer_before_the_losses_releases_nothing() -> None:
    """Guard against reports in another order than what they report."""
    tracker = PartTracker()
    now = lose_often(tracker, "b")
    assert tracker.on_answered(["b"], UP, START - 1) == []
    assert tracker.blocked(("b",), UP, now)


def test_answers_count_for_their_upstream() -> None:
    """Guard against an upstream that answers what crashes the replicas of another one."""
    tracker = PartTracker()
    now = lose_often(tracker, "b")
    assert tracker.blocked(("b",), "other", now)
    tracker.on_answered(["b"], "other", now + 1)
    assert tracker.blocked(("b",), UP, now + 1)
    assert not tracker.blocked(("b",), "other", now + 1)


def test_part_answered_where_it_had_losses_is_free_at_a_new_upstream() -> None:
    """Guard against losses of a sound part that add up for an upstream which never served it."""
    tracker = PartTracker()
    for number in range(2 * MAX_OCCASIONS):
        lose(tracker, "a", at=START + number * 2_000)
        tracker.on_answered(["a"], UP, START + number * 2_000 + 1)
    assert not tracker.blocked(("a",), "new", START + 20_000)


def test_loss_that_several_instances_report_counts_once() -> None:
    """Guard against instances that count the end of one replica several times."""
    tracker = PartTracker()
    for number in range(MAX_OCCASIONS):
        lose(tracker, "b", at=START + number * OCCASION_MS, replica="r")
    assert not tracker.blocked(("b",), UP, START + 1_000)


def wait_ms(tracker: PartTracker, *parts: str, now: int) -> int:
    return tracker.probe_wait_ms(tracker.blocked(parts, UP, now), UP, now)


def test_pauses_grow_with_each_lost_probe() -> None:
    """Guard against more sends of a crashing part than the bound allows."""
    tracker = PartTracker()
    now = lose_often(tracker, "b")
    for pause_ms in (*PROBE_PAUSES_MS, FORGET_MS):
        assert wait_ms(tracker, "b", now=now) == pause_ms
        now += pause_ms
        lose(tracker, "b", at=now, probed=("b",))
    assert sum(PROBE_PAUSES_MS) + FORGET_MS > 600_000


def test_request_with_one_quarantined_part_is_probed_first() -> None:
    """Guard against a sound part that waits as long as the crashing one it was seen beside."""
    tracker = PartTracker()
    now = lose_often(tracker, "b", "c")
    assert wait_ms(tracker, "b", "c", now=now) == JOINT_PAUSE_MS
    now += JOINT_PAUSE_MS
    lose(tracker, "b", "c", at=now, probed=("b", "c"))
    assert wait_ms(tracker, "c", now=now) == 0
    tracker.on_answered(["c"], UP, now + 1)
    assert wait_ms(tracker, "b", "c", now=now + 1) == 0
    lose(tracker, "b", "c", at=now + 2_000, probed=("b",))
    assert wait_ms(tracker, "b", now=now + 2_000) == PROBE_PAUSES_MS[2]


def test_probe_of_other_parts_is_not_delayed_by_a_lost_one() -> None:
    """Guard against a shared part that stays refused because a crashing request was its probe."""
    tracker = PartTracker()
    now = lose_often(tracker, "s", "b", "d")
    lose(tracker, "s", "b", at=now, replica="probe", probed=("b", "s"))
    assert wait_ms(tracker, "s", "d", now=now) == JOINT_PAUSE_MS
    assert wait_ms(tracker, "s", "b", now=now) == PROBE_PAUSES_MS[1]
    assert wait_ms(tracker, "s", "b", "d", now=now) == PROBE_PAUSES_MS[1]


def test_part_of_several_lost_probes_is_delayed() -> None:
    """Guard against probes of a crashing part beside ever other parts."""
    tracker = PartTracker()
    now = lose_often(tracker, "b", "c", "d", "e")
    lose(tracker, "b", "c", at=now, replica="p1", probed=("b", "c"))
    lose(tracker, "b", "d", at=now, replica="p2", probed=("b", "d"))
    assert wait_ms(tracker, "b", "e", now=now) == PROBE_PAUSES_MS[2]
    assert wait_ms(tracker, "e", now=now) == 0


def test_parts_are_forgotten() -> None:
    """Guard against records that stay, and against answered parts that are blamed again."""
    tracker = PartTracker()
    now = lose_often(tracker, "a", "b")
    tracker.on_answered(["a"], UP, now + 1)
    tracker.sweep(now + ANSWERED_KEPT_MS - 1)
    lose(tracker, "a", at=now, replica="late report")
    assert tracker.blocked(("a", "b"), UP, now + 1) == ("b",)
    tracker.sweep(now + ANSWERED_KEPT_MS + 1)
    assert [lost.parts for lost in tracker.snapshot(now).losses] == [("b",)] * MAX_OCCASIONS
    tracker.sweep(now + FORGET_MS)
    assert tracker.is_empty()


def test_recorded_parts_are_bounded() -> None:
    """Guard against memory that grows with the ids that callers make up."""
    tracker = PartTracker()
    now = lose_often(tracker, "b")
    for number in range(3 * MAX_PARTS):
        lose(tracker, f"p{number}", at=now + number)
    assert len({part for lost in tracker.snapshot(now).losses for part in lost.parts}) <= MAX_PARTS
    assert tracker.blocked(("b",), UP, now + 3 * MAX_PARTS)


def test_snapshot_restores_what_is_known() -> None:
    """Guard against an instance that starts without the quarantines and probes of the others."""
    tracker, other = PartTracker(), PartTracker()
    now = lose_often(tracker, "a", "b")
    tracker.on_answered(["a"], UP, now + 1)
    lose(tracker, "b", at=now + 500, probed=("b",))
    reports = tracker.snapshot(now + 1_000)
    for lost in reports.losses:
        other.on_lost(lost, now + 1_000)
    assert reports.answers == (PartAnswer("a", UP, 999),)
    for parts in (("a",), ("b",), ("a", "b")):
        later = now + 2_000
        assert other.blocked(parts, UP, later) == tracker.blocked(parts, UP, later)
        assert wait_ms(other, *parts, now=later) == wait_ms(tracker, *parts, now=later)


class Kind(NamedTuple):
    """Describe requests: how many arrive each second, and the shared parts of their prompts."""

    name: str
    per_s: float
    parts: Callable[[int], tuple[str, ...]]


class Played:
    """Play requests at replicas of one service, with the quarantine and one probe at a time.

    A replica that begins to answer a request with a bad part ends, and is back after restart_ms.
    All replicas of a share end at the mass_ms times. Reports take spread_ms.
    """

    def __init__(
        self,
        rng: random.Random,
        kinds: list[Kind],
        bad: frozenset[str],
        replicas: int = 12,
        mass_ms: tuple[int, ...] = (),
        mass_share: float = 0.33,
        spread_ms: int = 200,
        answer_ms: int = 700,
        restart_ms: int = 4_000,
    ) -> None:
        self.rng, self.kinds, self.bad = rng, kinds, bad
        self.spread_ms, self.answer_ms, self.restart_ms = spread_ms, answer_ms, restart_ms
        self.mass_share = mass_share
        self.tracker = PartTracker()
        self.names = itertools.count()
        self.up: dict[str, dict[int, tuple[str, tuple[str, ...], tuple[str, ...]]]] = {}
        for _ in range(replicas):
            self.up[f"r{next(self.names)}"] = {}
        self.probing: set[str] = set()
        self.bad_sends: dict[str, list[int]] = {part: [] for part in bad}
        self.crashes_ms: list[int] = []
        # Time, kind and whether it was served.
        self.ended: list[tuple[int, str, bool]] = []
        self._events: list[tuple[int, int, Callable[[int], None]]] = []
        self._order = itertools.count()
        for at in mass_ms:
            self.at(START + at, self._mass_crash)

    def at(self, when: int, call: Callable[[int], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), call))

    def request_at(self, when: int, kind: Kind) -> None:
        self.at(when, lambda now: self._request(kind, kind.parts(0), now))

    def run(self, seconds: int) -> None:
        for kind in self.kinds:
            self._arrive(kind, START, 0)
        end = START + seconds * 1_000
        while self._events and self._events[0][0] < end:
            now, _, call = heapq.heappop(self._events)
            call(now)

    def _arrive(self, kind: Kind, when: int, number: int) -> None:
        def arrived(now: int) -> None:
            self._request(kind, kind.parts(number), now)
            self._arrive(
                kind, now + max(1, round(self.rng.expovariate(kind.per_s) * 1_000)), number + 1
            )

        self.at(when, arrived)

    def _request(self, kind: Kind, parts: tuple[str, ...], now: int) -> None:
        blocked = self.tracker.blocked(parts, UP, now)
        waits = self.tracker.probe_wait_ms(blocked, UP, now)
        if blocked and (waits or not self.probing.isdisjoint(blocked)):
            self.ended.append((now, kind.name, False))
            return
        if not self.up:
            self.ended.append((now, kind.name, False))
            return
        self.probing.update(blocked)
        replica = self.rng.choice(sorted(self.up))
        number = next(self._order)
        self.up[replica][number] = (kind.name, parts, blocked)
        for part in self.bad.intersection(parts):
            self.bad_sends[part].append(now)
        if self.bad.intersection(parts):
            self.at(now + 100, lambda then: self._end(replica, then))
        else:
            lasts = round(self.answer_ms * self.rng.uniform(0.5, 1.5))
            self.at(now + lasts, lambda then: self._answer(replica, number, now, then))

    def _answer(self, replica: str, number: int, sent: int, now: int) -> None:
        sent_at = self.up.get(replica, {}).pop(number, None)
        if sent_at is None:
            return
        name, parts, blocked = sent_at
        self.ended.append((sent, name, True))
        self.probing.difference_update(blocked)

        def told(_then: int) -> None:
            self.tracker.on_answered(parts, UP, now)

        self.at(now + self.spread_ms, told)

    def _mass_crash(self, now: int) -> None:
        for replica in sorted(self.up):
            if self.rng.random() < self.mass_share:
                self._end(replica, now)

    def _end(self, replica: str, now: int) -> None:
        lost = self.up.pop(replica, None)
        if lost is None:
            return
        self.crashes_ms.append(now)
        for name, parts, blocked in lost.values():
            self.ended.append((now, name, False))
            self._report(LostReplica(replica, UP, 0, parts, blocked), now)
        self.at(now + self.restart_ms, lambda _: self._restart())

    def _report(self, lost: LostReplica, now: int) -> None:
        def told(then: int) -> None:
            self.tracker.on_lost(lost._replace(age_ms=then - now), then)
            self.probing.difference_update(lost.probed)

        self.at(now + self.spread_ms, told)

    def _restart(self) -> None:
        self.up[f"r{next(self.names)}"] = {}

    def late(self, part: str) -> int:
        """Return how many sends of a part are counted."""
        sends = self.bad_sends[part]
        if len(sends) < UNCOUNTED:
            return 0
        return sum(at > sends[UNCOUNTED - 1] + CONTACT_MS for at in sends)

    def served(self, name: str, since_ms: int, until_ms: int = 10**9) -> float:
        """Return the share of a kind's requests that were served in a time."""
        found = [
            served
            for at, kind, served in self.ended
            if kind == name and START + since_ms <= at < START + until_ms
        ]
        return sum(found) / len(found) if found else 1.0


PLAY: Final = settings(derandomize=True, deadline=None, database=None, max_examples=40)


def shared(number: int) -> tuple[str, ...]:
    return ("s", f"subject{number % 8}")


@PLAY
@given(st.integers(0, 10**6), st.sampled_from([0.5, 2.0, 4.0, 20.0]), st.sampled_from([2.0, 10.0]))
def test_bad_part_is_contained_and_shared_parts_are_served(
    seed: int, bad_per_s: float, sound_per_s: float
) -> None:
    """Guard against a crashing part that goes on, and against blaming what others share with it."""
    kinds = [
        Kind("bad", bad_per_s, lambda number: ("s", "b", f"own{number}")),
        Kind("sound", sound_per_s, shared),
    ]
    played = Played(random.Random(seed), kinds, frozenset({"b"}))
    played.run(90)
    assert played.late("b") <= MAX_LATE
    assert played.served("sound", 30_000) >= 0.9


@PLAY
@given(st.integers(0, 10**6), st.booleans())
def test_companion_and_rare_parts_are_served(seed: int, first: bool) -> None:
    """Guard against blaming a part that is mostly seen beside the bad one, or seldom at all."""
    bad_parts = ("b", "c") if first else ("s", "b", "c")
    kinds = [
        Kind("bad", 4.0, lambda _number: bad_parts),
        Kind("companion", 1.0, lambda _number: ("s", "c")),
        Kind("rare", 0.3, lambda _number: ("s", "rare")),
        Kind("sound", 8.0, shared),
    ]
    played = Played(random.Random(seed), kinds, frozenset({"b"}))
    played.run(90)
    assert played.late("b") <= MAX_LATE
    for name in ("companion", "rare", "sound"):
        assert played.served(name, 30_000) >= 0.8, name


@PLAY
@given(st.integers(0, 10**6), st.booleans())
def test_two_bad_parts_are_contained(seed: int, together: bool) -> None:
    """Guard against a second bad part that hides behind the first."""

    def bad(number: int) -> tuple[str, ...]:
        if together and number % 3 == 0:
            return ("s", "b1", "b2")
        return ("s", "b1" if number % 2 else "b2")

    kinds = [Kind("bad", 6.0, bad), Kind("sound", 8.0, shared)]
    played = Played(random.Random(seed), kinds, frozenset({"b1", "b2"}))
    played.run(90)
    assert max(played.late("b1"), played.late("b2")) <= MAX_LATE
    assert played.served("sound", 30_000) >= 0.9


@PLAY
@given(
    st.integers(0, 10**6),
    st.sampled_from([0.2, 0.33, 1.0]),
    st.lists(st.integers(2_000, 40_000), min_size=1, max_size=6),
    st.sampled_from([5.0, 40.0]),
)
def test_mass_crashes_blame_no_part_for_long(
    seed: int, share: float, mass_ms: list[int], per_s: float
) -> None:
    """Guard against refusing sound requests because many replicas end at once."""
    kinds = [Kind("sound", per_s, shared), Kind("rare", 0.5, lambda _number: ("s", "rare"))]
    played = Played(
        random.Random(seed),
        kinds,
        frozenset(),
        replicas=30,
        mass_ms=tuple(sorted(mass_ms)),
        mass_share=share,
    )
    played.run(60)
    assert played.served("sound", 50_000) >= 0.99
    assert played.served("rare", 50_000) >= 0.9


@PLAY
@given(st.integers(0, 10**6))
def test_bad_part_is_contained_beside_mass_crashes(seed: int) -> None:
    """Guard against mass crashes that hide a bad part, or that blame what is sound beside it."""
    kinds = [Kind("bad", 4.0, lambda _number: ("s", "b")), Kind("sound", 10.0, shared)]
    played = Played(
        random.Random(seed), kinds, frozenset({"b"}), mass_ms=(5_000, 8_000, 11_000, 20_000)
    )
    played.run(90)
    assert played.late("b") <= MAX_LATE
    assert played.served("sound", 40_000) >= 0.9


@PLAY
@given(st.integers(0, 10**6), st.booleans())
def test_parts_seen_together_only_are_told_apart(seed: int, burst: bool) -> None:
    """Guard against sound requests all of whose parts are quarantined, with no answer of them."""
    bad = Kind("bad", 2.0, lambda _number: ("s", "b"))
    kinds = [bad, Kind("sound", 2.0, lambda _number: ("s", "d"))]
    played = Played(random.Random(seed), kinds, frozenset({"b"}), replicas=10)
    for number in range(16 if burst else 0):
        played.request_at(START, kinds[number % 2])
    played.run(90)
    assert played.late("b") <= MAX_LATE
    assert played.served("sound", 30_000) >= 0.9


@PLAY
@given(st.integers(0, 10**6), st.sampled_from([8, 16, 40]))
def test_bursts_of_a_bad_part_are_contained(seed: int, size: int) -> None:
    """Guard against requests with a bad part that are all under way when the first replica ends."""
    kinds = [Kind("sound", 10.0, shared)]
    played = Played(random.Random(seed), kinds, frozenset({"b"}), replicas=16)
    bad = Kind("bad", 1.0, lambda _number: ("s", "b"))
    for began in range(1_000, 60_000, 4_000):
        for _ in range(size):
            played.request_at(START + began, bad)
    played.run(90)
    assert played.late("b") <= MAX_LATE
    assert played.served("sound", 30_000) >= 0.9
