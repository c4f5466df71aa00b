"""Test that a job that no instance runs is taken over by one of the next candidates, and no more.

Accepted jobs were never run where keepers' views of the live instances differ, as each took another
for the owner.
"""

import random
from functools import partial

import pytest

from papayapier.policy.orphans import CHECK_INTERVAL_MS, MAX_WATCHERS, OrphanDetector, RunsReply
from papayapier.policy.ownership import rendezvous_owner
from papayapier.policy.rendezvous import score

KEEPERS = [f"keeper-{n}" for n in range(12)]
JOBS = [f"job-{n}" for n in range(60)]
TICK_MS = 100


class Fleet:
    """Simulate keepers with views of their own; dead ones reply nothing."""

    def __init__(self, views: dict[str, list[str]]) -> None:
        self.views = views
        self.watches = {keeper: OrphanDetector(keeper) for keeper in views}
        self.now = 0
        self.checks_sent = 0

    def runs(self, name: str, job: str) -> bool:
        return rendezvous_owner(job, self.views[name]) == name or self.watches[name].is_taken_over(
            job
        )

    def run(self, ms: int) -> None:
        for _ in range(0, ms, TICK_MS):
            self.now += TICK_MS
            for name, watch in self.watches.items():
                owners = {job: rendezvous_owner(job, self.views[name]) for job in JOBS}
                for recipient, jobs in watch.due_checks(
                    owners, partial(self.candidates, name), self.now
                ).items():
                    self.checks_sent += 1
                    if recipient in self.views:
                        runs = frozenset(job for job in jobs if self.runs(recipient, job))
                        watch.on_reply(jobs, RunsReply(runs, frozenset()), self.now)
                    else:
                        watch.on_no_reply(jobs, self.now)

    def candidates(self, name: str, _job: str) -> list[str]:
        return self.views[name]

    def runners(self, job: str) -> list[str]:
        return [name for name in self.views if self.runs(name, job)]


def test_agreeing_keepers_take_nothing_over() -> None:
    """Guard against needless takeovers, and against more checks than planned."""
    fleet = Fleet(dict.fromkeys(KEEPERS, KEEPERS))
    fleet.run(60_000)
    assert all(fleet.runners(job) == [rendezvous_owner(job, KEEPERS)] for job in JOBS)
    # Each job is checked by three instances, every six seconds.
    assert (
        fleet.checks_sent
        <= 10 * min(MAX_WATCHERS * len(JOBS), len(KEEPERS) * (len(KEEPERS) - 1)) + 132
    )


@pytest.mark.parametrize("dead", [1, 2])
def test_jobs_of_dead_keeper_are_taken_over(dead: int) -> None:
    """Guard against orphaned jobs while some keepers take a dead one for live."""
    dead_keepers, live_keepers = KEEPERS[:dead], KEEPERS[dead:]
    for misled in range(1, len(live_keepers) + 1):
        views = {n: (KEEPERS if i < misled else live_keepers) for i, n in enumerate(live_keepers)}
        fleet = Fleet(views)
        fleet.run(12_000)
        for job in JOBS:
            runners = fleet.runners(job)
            assert 1 <= len(runners) <= 1 + dead, (dead_keepers, misled, job)


def test_any_views_leave_no_orphaned_job() -> None:
    """Guard against orphaned jobs for any differing views."""
    rand = random.Random(7)
    for _ in range(40):
        live = KEEPERS[2:]
        views = {n: sorted({n, *(k for k in KEEPERS if rand.random() < 0.7)}) for n in live}
        fleet = Fleet(views)
        fleet.run(12_000)
        for job in JOBS:
            best = max(live, key=lambda keeper: score(job, keeper))
            better_dead = sum(score(job, k) > score(job, best) for k in KEEPERS[:2])
            assert fleet.runners(job), (views, job, better_dead)


def test_job_is_returned_once_its_owner_runs_it() -> None:
    """Guard against running a job twice for good."""
    watch = OrphanDetector("a")
    owners = {"job": "b"}
    now = 0
    while not watch.is_taken_over("job"):
        now += TICK_MS
        if watch.due_checks(owners, lambda _job: ["a", "b"], now):
            watch.on_no_reply(["job"], now)
    assert now <= 3_000
    while not watch.due_checks(owners, lambda _job: ["a", "b"], now):
        now += TICK_MS
    watch.on_reply(["job"], RunsReply(frozenset(["job"]), frozenset()), now)
    assert not watch.is_taken_over("job")


def test_finished_job_is_checked_once() -> None:
    """Guard against endless checks of a finished job, and its takeover."""
    watch = OrphanDetector("a")
    checks_sent = 0
    for now in range(0, 60_000, TICK_MS):
        if watch.due_checks({"job": "b"}, lambda _job: ["a", "b"], now):
            checks_sent += 1
            watch.on_reply(["job"], RunsReply(frozenset(), frozenset(["job"])), now)
    assert (checks_sent, watch.is_taken_over("job")) == (1, False)


def run_until_next_check(watch: OrphanDetector, now: int) -> int:
    while not watch.due_checks({"job": "b"}, lambda _job: ["a", "b"], now):
        now += TICK_MS
    return now


def test_job_that_stalls_here_too_is_returned() -> None:
    """Guard against keeping a job that stalls at this instance, too."""
    watch = OrphanDetector("a")
    watch.take_over("job", "b", 0)
    assert watch.is_taken_over("job")
    assert run_until_next_check(watch, 0) == CHECK_INTERVAL_MS
    watch.hand_back("job", CHECK_INTERVAL_MS)
    assert not watch.is_taken_over("job")
    assert run_until_next_check(watch, CHECK_INTERVAL_MS) == CHECK_INTERVAL_MS
