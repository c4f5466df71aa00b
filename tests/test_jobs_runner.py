"""Test what a keeper does with jobs that it knows from its own disk before the store has them."""

from typing import Any, cast

import pytest
from result import Ok

from papayapier.jobs.news import GroupsTold
from papayapier.jobs.progress import ItemProgress
from papayapier.jobs.records import JobRecord, encode, group_key, job_key, read_group
from papayapier.jobs.runner import RECALL_MS, JobRunner, RunnerDeps
from papayapier.store.api import Change, StoreError
from papayapier.upstream.raw import PassedOn
from tests.jobs_run_world import EVENTS, RouteTo, World
from tests.jobs_world import JOB, MemoryStore, group, record


class TimedRoute(RouteTo):
    due_ms = 18_000
    give_up_ms = 60_000


class Table:
    def find(self, _host: str, _path: str) -> Any:
        return TimedRoute("lm")


class RunnerWorld(World):
    """Hold one keeper's runner, its replica and a store that may be away."""

    def __init__(self) -> None:
        super().__init__("lm")
        self.memory = MemoryStore()
        table = cast(Any, Table())
        self.runner = JobRunner(
            RunnerDeps(
                self.deps, self.memory.store(), lambda: table, lambda _j, _g, _w: None, GroupsTold()
            )
        )
        self.runner.start()

    def away(self) -> None:
        self.memory.fault = lambda _call, _key: StoreError.UNAVAILABLE

    def back(self) -> None:
        self.memory.fault = lambda _call, _key: None

    def record(self, *names: str) -> JobRecord:
        return record(*names)._replace(accepted_ms=int(self.time.clock.wall()))

    def finish(self, item_id: str) -> None:
        work = self.runner._owned[JOB]
        work.items[item_id].texts = ["x"] * EVENTS
        self.sent[item_id].callback(Ok(PassedOn(200)))

    def listed(self, number: int) -> list[str]:
        read = read_group(self.memory.objects[group_key(JOB, number)][1]).unwrap()
        return [one.id for one in read.results]


def test_a_held_job_runs_while_the_store_is_away() -> None:
    # Symptom: a job that was accepted in an outage waits for its end, and is late.
    # Cause: a job began to run when its record was read from the store.
    world = RunnerWorld()
    world.away()
    world.runner.on_held(JOB, world.record("a"))
    world.time.advance(200)
    assert sorted(world.sent) == ["a"]
    world.finish("a")
    world.time.advance(1_000)
    world.back()
    world.memory.put(job_key(JOB), encode(world.record("a")))
    world.time.advance(2_000)
    assert world.listed(0) == ["a"]
    assert world.runner.has_closed(JOB)


def test_what_another_has_listed_of_a_held_job_is_listed_once() -> None:
    world = RunnerWorld()
    world.away()
    world.runner.on_held(JOB, world.record("a", "b"))
    world.time.advance(200)
    world.finish("a")
    world.back()
    world.memory.put(group_key(JOB, 0), encode(group("a")))
    world.time.advance(2_000)
    world.finish("b")
    world.time.advance(2_000)
    assert (world.listed(0), world.listed(1)) == (["a"], ["b"])


@pytest.mark.parametrize("step_ms", [-3_600_000, 30_000, 3_600_000])
def test_a_clock_that_jumps_gives_no_item_up(step_ms: int) -> None:
    # Symptom: an item is listed as given up long before it may be (clocks-and-resets, seed
    # 759149388742 of a small site).
    # Events: the wall clock of a keeper, or of the entry that accepted the job, jumps.
    # Cause: a job's age was the difference of two machines' wall clocks.
    world = RunnerWorld()
    early = world.record("a")
    early = early._replace(accepted_ms=early.accepted_ms - step_ms)
    world.memory.put(job_key(JOB), encode(early))
    world.runner.on_change(Change(job_key(JOB), 1, False, encode(early)))
    world.time.advance(TimedRoute.give_up_ms - 1_000)
    assert group_key(JOB, 0) not in world.memory.objects
    for _ in range(4):
        world.time.advance(1_000)
    assert world.listed(0) == ["a"]


def test_an_ended_job_does_not_come_back_from_a_disk() -> None:
    # Symptom: items of a job run after its caller has ended it.
    world = RunnerWorld()
    ended = encode(world.record("a")._replace(ended=True))
    world.runner.on_change(Change(job_key(JOB), 1, False, ended))
    world.runner.on_held(JOB, world.record("a"))
    world.time.advance(500)
    assert world.sent == {}


def test_what_the_disk_holds_of_jobs_that_are_gone_is_dropped() -> None:
    # Symptom: texts of jobs deleted long ago are written to the disk each second.
    world = RunnerWorld()
    world.runner.recall([ItemProgress("gone", "a", 7, ("x",), 400, 0)])
    world.time.advance(RECALL_MS - 1)
    assert len(world.runner.progress()) == 1
    world.time.advance(1)
    assert world.runner.progress() == []


def test_a_start_goes_on_from_the_disk() -> None:
    # Symptom: all items that ran begin again after a loss of power.
    world = RunnerWorld()
    world.runner.recall([ItemProgress(JOB, "a", 7, ("x",) * 8, 400, 0)])
    world.memory.put(job_key(JOB), encode(world.record("a")))
    world.runner.on_change(Change(job_key(JOB), 1, False, encode(world.record("a"))))
    world.time.advance(500)
    assert "a" in world.sent
    assert world.runner._owned[JOB].items["a"].last_event == 7
    assert [one.last_event for one in world.runner.progress()] == [7]


def test_a_job_that_falls_to_this_keeper_is_run_whoever_notices_first() -> None:
    # Failure: a look at other keepers' jobs notes that a keeper is lost, and the jobs of that one
    # are not taken.
    world = RunnerWorld()
    live = ["a", "b"]
    deps = world.deps._replace(sharing=lambda: list(live))
    table = cast(Any, Table())
    world.runner.close()
    world.runner = JobRunner(
        RunnerDeps(deps, world.memory.store(), lambda: table, lambda _j, _g, _w: None, GroupsTold())
    )
    jobs = [f"job-{number}" for number in range(8)]
    for job_id in jobs:
        world.runner.on_held(job_id, world.record(f"{job_id}-a"))
    assert len(world.runner._owned) < len(jobs)
    live.remove("b")
    world.runner.looks.asks()
    assert set(world.runner._owned) == set(jobs)
