"""Test that a job which nobody runs is taken by one of those next in line, and by no more.

Symptom: accepted jobs are left lying. Cause: keepers whose views of who lives differ each take
another for the owner.
"""

import random
from functools import partial

import pytest

from papayapier.policy.orphans import CHECK_INTERVAL_MS, MAX_WATCHERS, Answered, OrphanWatch
from papayapier.policy.ownership import owner
from papayapier.policy.rendezvous import score

KEEPERS = [f"keeper-{n}" for n in range(12)]
JOBS = [f"job-{n}" for n in range(60)]
TICK_MS = 100


class Fleet:
    """Hold keepers with views of their own; dead ones answer nothing."""

    def __init__(self, views: dict[str, list[str]]) -> None:
        self.views = views
        self.watches = {one: OrphanWatch(one) for one in views}
        self.now = 0
        self.asked = 0

    def runs(self, name: str, job: str) -> bool:
        return owner(job, self.views[name]) == name or self.watches[name].taken(job)

    def run(self, ms: int) -> None:
        for _ in range(0, ms, TICK_MS):
            self.now += TICK_MS
            for name, watch in self.watches.items():
                owners = {job: owner(job, self.views[name]) for job in JOBS}
                for asked, jobs in watch.asks(owners, partial(self.line, name), self.now).items():
                    self.asked += 1
                    if asked in self.views:
                        runs = frozenset(job for job in jobs if self.runs(asked, job))
                        watch.on_answer(jobs, Answered(runs, frozenset()), self.now)
                    else:
                        watch.on_silence(jobs, self.now)

    def line(self, name: str, _job: str) -> list[str]:
        return self.views[name]

    def runners(self, job: str) -> list[str]:
        return [name for name in self.views if self.runs(name, job)]


def test_agreeing_keepers_take_nothing() -> None:
    fleet = Fleet(dict.fromkeys(KEEPERS, KEEPERS))
    fleet.run(60_000)
    assert all(fleet.runners(job) == [owner(job, KEEPERS)] for job in JOBS)
    # Each job is looked after by three, each six seconds.
    assert (
        fleet.asked <= 10 * min(MAX_WATCHERS * len(JOBS), len(KEEPERS) * (len(KEEPERS) - 1)) + 132
    )


@pytest.mark.parametrize("dead", [1, 2])
def test_a_dead_keeper_that_some_take_for_live(dead: int) -> None:
    gone, rest = KEEPERS[:dead], KEEPERS[dead:]
    for believers in range(1, len(rest) + 1):
        views = {n: (KEEPERS if i < believers else rest) for i, n in enumerate(rest)}
        fleet = Fleet(views)
        fleet.run(12_000)
        for job in JOBS:
            runners = fleet.runners(job)
            assert 1 <= len(runners) <= 1 + dead, (gone, believers, job)


def test_any_views_leave_no_job() -> None:
    rand = random.Random(7)
    for _ in range(40):
        live = KEEPERS[2:]
        views = {n: sorted({n, *(k for k in KEEPERS if rand.random() < 0.7)}) for n in live}
        fleet = Fleet(views)
        fleet.run(12_000)
        for job in JOBS:
            first = max(live, key=lambda one: score(job, one))
            dead_before = sum(score(job, k) > score(job, first) for k in KEEPERS[:2])
            assert fleet.runners(job), (views, job, dead_before)


def test_a_job_is_given_back_once_its_owner_runs_it() -> None:
    watch = OrphanWatch("a")
    owners = {"job": "b"}
    now = 0
    while not watch.taken("job"):
        now += TICK_MS
        if watch.asks(owners, lambda _job: ["a", "b"], now):
            watch.on_silence(["job"], now)
    assert now <= 3_000
    while not watch.asks(owners, lambda _job: ["a", "b"], now):
        now += TICK_MS
    watch.on_answer(["job"], Answered(frozenset(["job"]), frozenset()), now)
    assert not watch.taken("job")


def test_a_job_that_is_over_is_asked_for_once() -> None:
    watch = OrphanWatch("a")
    asked = 0
    for now in range(0, 60_000, TICK_MS):
        if watch.asks({"job": "b"}, lambda _job: ["a", "b"], now):
            asked += 1
            watch.on_answer(["job"], Answered(frozenset(), frozenset(["job"])), now)
    assert (asked, watch.taken("job")) == (1, False)


def look_until_due(watch: OrphanWatch, now: int) -> int:
    while not watch.asks({"job": "b"}, lambda _job: ["a", "b"], now):
        now += TICK_MS
    return now


def test_a_job_that_stalls_here_too_goes_back() -> None:
    watch = OrphanWatch("a")
    watch.take("job", "b", 0)
    assert watch.taken("job")
    assert look_until_due(watch, 0) == CHECK_INTERVAL_MS
    watch.give_back("job", CHECK_INTERVAL_MS)
    assert not watch.taken("job")
    assert look_until_due(watch, CHECK_INTERVAL_MS) == CHECK_INTERVAL_MS
