"""Test that several keepers together run every item of the jobs that were accepted."""

import random

import pytest

from papayapier.policy.totals import first_sharers
from tests.keepers_world import DUE_MS, SLOTS, KeepersWorld


def names(rand: random.Random, prefix: str, count: int) -> list[str]:
    return [f"{prefix}-{rand.getrandbits(48):012x}" for _ in range(count)]


def make_world(seed: int, keepers: int, replicas: int) -> KeepersWorld:
    rand = random.Random(seed)
    return KeepersWorld(names(rand, "keeper", keepers), names(rand, "i", replicas))


@pytest.mark.parametrize(
    ("keepers", "replicas"), [(1, 1), (3, 2), (7, 1), (8, 3), (12, 5), (30, 5), (30, 24)]
)
def test_every_item_is_run_once_and_in_time(keepers: int, replicas: int) -> None:
    # Failure: a keeper shares no replica of a service, and the jobs that fall to it lie for good.
    world = make_world(5, keepers, replicas)
    for number in range(2 * replicas):
        world.submit(f"job-{number}", 2)
    world.run(DUE_MS)
    assert world.undone() == {}
    assert set(world.runs.values()) == {1}
    # Whoever ran a job deletes it in the end.
    for job_id in world.jobs:
        assert any(one.runner.has_closed(job_id) for one in world.keepers.values())


def test_jobs_are_run_on_while_replicas_go() -> None:
    # Failure: an owner that shares none of the replicas that are left keeps its jobs.
    world = make_world(6, 30, 12)
    for number in range(12):
        world.submit(f"job-{number}", 2)
    while len(world.listed) > 2:
        world.list_replicas(world.listed[1:])
        world.run(500)
    world.run(DUE_MS - 10 * 500)
    assert world.undone() == {}


def test_jobs_are_run_on_while_keepers_go() -> None:
    # Failure: those that may start items at the last replica are lost, and nobody else does.
    world = make_world(7, 12, 2)
    for number in range(6):
        world.submit(f"job-{number}", 2)
    while len(world.live) > 1:
        world.lose(world.live[0])
        world.run(300)
    world.run(DUE_MS - 11 * 300)
    assert world.undone() == {}


def owner_of(world: KeepersWorld, job_id: str) -> str:
    """Return the keeper that runs a job."""
    return next(name for name, one in world.keepers.items() if one.runner.runs_of([job_id]).runs)


def parts_of(world: KeepersWorld, keeper: str) -> list[str]:
    """Return the replicas of whose slots a keeper has a part."""
    return [one for one in world.listed if keeper in first_sharers(one, world.live)]


@pytest.mark.parametrize(("keepers", "replicas"), [(12, 15), (30, 47)])
def test_a_job_does_not_wait_for_the_replicas_of_its_owner(keepers: int, replicas: int) -> None:
    # Failure: all replicas that an owner shares are full of online calls for long, and its jobs
    # lie while others have free slots.
    world = make_world(8, keepers, replicas)
    world.submit("job", 2)
    for replica in parts_of(world, owner_of(world, "job")):
        world.fill(replica, SLOTS)
    world.run(DUE_MS)
    assert world.undone() == {}
