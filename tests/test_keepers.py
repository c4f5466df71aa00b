"""Test that several keepers together run every item of the jobs that were accepted."""

import random

import pytest

from papayapier.policy.batch_sharers import first_sharers
from papayapier.policy.job_owners import possible_owners
from papayapier.policy.ownership import rendezvous_owner
from tests.keepers_world import DUE_MS, SLOTS, KeepersWorld, instance_names


def make_world(seed: int, keepers: int, replicas: int) -> KeepersWorld:
    rand = random.Random(seed)
    return KeepersWorld(
        instance_names(rand, "keeper", keepers), instance_names(rand, "i", replicas)
    )


@pytest.mark.parametrize(
    ("keepers", "replicas"), [(1, 1), (3, 2), (7, 1), (8, 3), (12, 5), (30, 5), (30, 24)]
)
def test_every_item_is_run_once_and_in_time(keepers: int, replicas: int) -> None:
    """Guard against a keeper that shares no replica of a service and never starts its jobs."""
    world = make_world(5, keepers, replicas)
    for number in range(2 * replicas):
        world.submit(f"job-{number}", 2)
    world.run(DUE_MS)
    assert world.unfinished_items() == {}
    assert set(world.runs.values()) == {1}
    # The keeper that ran a job closes it in the end.
    for job_id in world.jobs:
        assert any(keeper.runner.owns_closed(job_id) for keeper in world.keepers.values())


def test_jobs_continue_while_replicas_are_removed() -> None:
    """Guard against an owner that keeps its jobs but shares none of the remaining replicas."""
    world = make_world(6, 30, 12)
    for number in range(12):
        world.submit(f"job-{number}", 2)
    while len(world.listed) > 2:
        world.list_replicas(world.listed[1:])
        world.run(500)
    world.run(DUE_MS - 10 * 500)
    assert world.unfinished_items() == {}


def test_jobs_continue_while_keepers_crash() -> None:
    """Guard against no keeper starting items at the last replica after the loss of its sharers."""
    world = make_world(7, 12, 2)
    for number in range(6):
        world.submit(f"job-{number}", 2)
    while len(world.live) > 1:
        world.lose(world.live[0])
        world.run(300)
    world.run(DUE_MS - 11 * 300)
    assert world.unfinished_items() == {}


def owner_of(world: KeepersWorld, job_id: str) -> str:
    """Return the keeper that a job is assigned to."""
    return rendezvous_owner(job_id, possible_owners(world.live, world.listed))


def disconnect(world: KeepersWorld, keeper: str) -> None:
    """Disconnect a keeper from all replicas, but from no other keeper."""
    world.cut = {(keeper, replica) for replica in world.listed}


def runners_of(world: KeepersWorld, job_id: str) -> list[str]:
    """Return the keepers that run a job."""
    return [name for name, keeper in world.keepers.items() if job_id in keeper.runner._owned]


def shared_replicas(world: KeepersWorld, keeper: str) -> list[str]:
    """Return the replicas whose slots a keeper shares."""
    return [replica for replica in world.listed if keeper in first_sharers(replica, world.live)]


@pytest.mark.parametrize(("keepers", "replicas"), [(12, 15), (30, 47)])
def test_job_does_not_wait_for_its_owners_replicas(keepers: int, replicas: int) -> None:
    """Guard against jobs that wait while other keepers have free slots.

    All replicas that the owner shares are full of online calls for a long time.
    """
    world = make_world(8, keepers, replicas)
    for replica in shared_replicas(world, owner_of(world, "job")):
        world.fill(replica, SLOTS)
    world.submit("job", 2)
    world.run(DUE_MS)
    assert world.unfinished_items() == {}


@pytest.mark.parametrize(("keepers", "replicas"), [(2, 3), (12, 15), (30, 47)])
def test_keeper_without_reachable_replicas_hands_over_jobs(keepers: int, replicas: int) -> None:
    """Guard against waiting jobs of a keeper that reaches all other keepers but no replica."""
    world = make_world(9, keepers, replicas)
    disconnect(world, owner_of(world, "job"))
    world.submit("job", 2)
    world.run(DUE_MS)
    assert world.unfinished_items() == {}
    assert set(world.runs.values()) == {1}


@pytest.mark.parametrize("back_ms", [1_000, 3_000, 5_000])
def test_job_is_run_once_after_handover(back_ms: int) -> None:
    """Guard against items that run twice when the former owner reaches its replicas again."""
    world = make_world(9, 12, 15)
    disconnect(world, owner_of(world, "job"))
    world.submit("job", 2)
    world.run(back_ms)
    world.cut = set()
    world.run(DUE_MS - back_ms)
    assert world.unfinished_items() == {}
    assert set(world.runs.values()) == {1}


def test_job_returns_after_crash_of_its_new_keeper() -> None:
    """Guard against a job that nobody runs after the keeper that took it over has crashed."""
    world = make_world(10, 12, 15)
    first = owner_of(world, "job")
    disconnect(world, first)
    world.submit("job", 8)
    world.run(3_000)
    (second,) = runners_of(world, "job")
    assert second != first
    world.cut = set()
    world.lose(second)
    world.run(DUE_MS - 3_000)
    assert world.unfinished_items() == {}


def disturb(world: KeepersWorld, rand: random.Random) -> None:
    """Inject one random fault, or change the load or the replicas."""
    replica, keeper = rand.choice(world.listed), rand.choice(world.live)
    kind = rand.randrange(7)
    if kind == 0 and len(world.listed) > 1:
        world.list_replicas([other for other in world.listed if other != replica])
    elif kind == 1:
        world.list_replicas([*world.listed, f"i-new-{rand.getrandbits(48):012x}"])
    elif kind == 2:
        world.unresponsive.add(replica)
    elif kind == 3:
        disconnect(world, keeper)
    elif kind == 4:
        world.fill(replica, SLOTS)
    elif kind == 5 and len(world.live) > 1:
        world.lose(keeper)
    else:
        world.submit(f"job-{len(world.jobs)}", rand.randint(1, 6))


@pytest.mark.parametrize("seed", range(12))
def test_no_item_remains_after_a_series_of_faults(seed: int) -> None:
    """Guard against items that never start although replicas are idle and keepers are live."""
    rand = random.Random(seed)
    world = make_world(seed, rand.choice([2, 7, 12, 30]), rand.choice([1, 3, 5, 15, 30]))
    for number in range(3):
        world.submit(f"first-{number}", 3)
    for _ in range(12):
        disturb(world, rand)
        world.run(500)
    # From here on replicas stay unresponsive, disconnected or full, except for one healthy replica.
    world.unresponsive.discard(world.listed[0])
    world.cut = {pair for pair in world.cut if pair[1] != world.listed[0]}
    world.fill(world.listed[0], 0)
    world.run(2 * DUE_MS)
    assert world.unfinished_items() == {}
