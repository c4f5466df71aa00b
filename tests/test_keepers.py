"""Test that several keepers together run every item of the jobs that were accepted."""

import random

import pytest

from papayapier.policy.job_owners import able_to_own
from papayapier.policy.ownership import owner
from papayapier.policy.totals import first_sharers
from tests.keepers_world import DUE_MS, SLOTS, KeepersWorld, names


def make_world(seed: int, keepers: int, replicas: int) -> KeepersWorld:
    rand = random.Random(seed)
    return KeepersWorld(names(rand, "keeper", keepers), names(rand, "i", replicas))


@pytest.mark.parametrize(
    ("keepers", "replicas"), [(1, 1), (3, 2), (7, 1), (8, 3), (12, 5), (30, 5), (30, 24)]
)
def test_every_item_is_run_once_and_in_time(keepers: int, replicas: int) -> None:
    # Failure: a keeper shares no replica of a service, and the jobs that fall to it never start.
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
    """Return the keeper that a job falls to."""
    return owner(job_id, able_to_own(world.live, world.listed))


def cut_off(world: KeepersWorld, keeper: str) -> None:
    """Cut a keeper off from all replicas, but from no other keeper."""
    world.cut = {(keeper, replica) for replica in world.listed}


def runs_job(world: KeepersWorld, job_id: str) -> list[str]:
    """Return the keepers that run a job."""
    return [name for name, one in world.keepers.items() if job_id in one.runner._owned]


def parts_of(world: KeepersWorld, keeper: str) -> list[str]:
    """Return the replicas of whose slots a keeper has a part."""
    return [one for one in world.listed if keeper in first_sharers(one, world.live)]


@pytest.mark.parametrize(("keepers", "replicas"), [(12, 15), (30, 47)])
def test_a_job_does_not_wait_for_the_replicas_of_its_owner(keepers: int, replicas: int) -> None:
    # Failure: all replicas that an owner shares are full of online calls for long, and its jobs
    # wait while others have free slots.
    world = make_world(8, keepers, replicas)
    for replica in parts_of(world, owner_of(world, "job")):
        world.fill(replica, SLOTS)
    world.submit("job", 2)
    world.run(DUE_MS)
    assert world.undone() == {}


@pytest.mark.parametrize(("keepers", "replicas"), [(2, 3), (12, 15), (30, 47)])
def test_a_keeper_that_reaches_no_replica_hands_its_jobs_on(keepers: int, replicas: int) -> None:
    # Failure: a keeper is cut off from the replicas and heard by all others, and its jobs wait.
    world = make_world(9, keepers, replicas)
    cut_off(world, owner_of(world, "job"))
    world.submit("job", 2)
    world.run(DUE_MS)
    assert world.undone() == {}
    assert set(world.runs.values()) == {1}


@pytest.mark.parametrize("back_ms", [1_000, 3_000, 5_000])
def test_a_job_that_was_handed_on_is_run_by_one(back_ms: int) -> None:
    # Failure: the owner reaches its replicas again, and both run every item.
    world = make_world(9, 12, 15)
    cut_off(world, owner_of(world, "job"))
    world.submit("job", 2)
    world.run(back_ms)
    world.cut = set()
    world.run(DUE_MS - back_ms)
    assert world.undone() == {}
    assert set(world.runs.values()) == {1}


def test_a_job_goes_back_where_its_new_keeper_is_lost() -> None:
    # Failure: a keeper takes a job in its owner's place and is lost, and nobody runs it.
    world = make_world(10, 12, 15)
    first = owner_of(world, "job")
    cut_off(world, first)
    world.submit("job", 8)
    world.run(3_000)
    (second,) = runs_job(world, "job")
    assert second != first
    world.cut = set()
    world.lose(second)
    world.run(DUE_MS - 3_000)
    assert world.undone() == {}


def disturb(world: KeepersWorld, rand: random.Random) -> None:
    """Let one thing go wrong, or be well again."""
    replica, keeper = rand.choice(world.listed), rand.choice(world.live)
    kind = rand.randrange(7)
    if kind == 0 and len(world.listed) > 1:
        world.list_replicas([one for one in world.listed if one != replica])
    elif kind == 1:
        world.list_replicas([*world.listed, f"i-new-{rand.getrandbits(48):012x}"])
    elif kind == 2:
        world.dark.add(replica)
    elif kind == 3:
        cut_off(world, keeper)
    elif kind == 4:
        world.fill(replica, SLOTS)
    elif kind == 5 and len(world.live) > 1:
        world.lose(keeper)
    else:
        world.submit(f"job-{len(world.jobs)}", rand.randint(1, 6))


@pytest.mark.parametrize("seed", range(12))
def test_no_series_of_losses_leaves_an_item(seed: int) -> None:
    # Failure: items of accepted jobs never start, though replicas are idle and keepers live.
    rand = random.Random(seed)
    world = make_world(seed, rand.choice([2, 7, 12, 30]), rand.choice([1, 3, 5, 15, 30]))
    for number in range(3):
        world.submit(f"first-{number}", 3)
    for _ in range(12):
        disturb(world, rand)
        world.run(500)
    # From here on some are dark, cut off or full for good; one of all is well.
    world.dark.discard(world.listed[0])
    world.cut = {pair for pair in world.cut if pair[1] != world.listed[0]}
    world.fill(world.listed[0], 0)
    world.run(2 * DUE_MS)
    assert world.undone() == {}
