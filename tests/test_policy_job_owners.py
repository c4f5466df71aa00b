"""Test that each job has an owner that can start its items, for any number of replicas."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.policy.batch_sharers import sharers_of
from papayapier.policy.job_owners import possible_owners
from papayapier.policy.ownership import rendezvous_owner
from tests.keepers_world import instance_names

FLEETS = 40
JOBS = 50


def jobs_never_started(keepers: list[str], replicas: list[str]) -> list[str]:
    """Return the jobs owned by a keeper that may start items at no replica."""
    able = possible_owners(keepers, replicas)
    owners = {f"job-{n}": rendezvous_owner(f"job-{n}", able) for n in range(JOBS)}
    able_to_start = {keeper for replica in replicas for keeper in sharers_of(replica, keepers)}
    return [job_id for job_id, keeper in owners.items() if keeper not in able_to_start]


@pytest.mark.parametrize(
    ("keepers", "replicas"),
    [(30, 47), (30, 32), (30, 24), (30, 5), (13, 15), (12, 5), (8, 5), (7, 5), (200, 1), (1, 1)],
)
def test_owner_can_start_items(keepers: int, replicas: int) -> None:
    """Guard against a job that never starts as its owner shares no replica of the upstream."""
    rand = random.Random(7)
    for _ in range(FLEETS):
        running = sorted(instance_names(rand, "keeper", keepers))
        assert jobs_never_started(running, instance_names(rand, "i", replicas)) == []


@settings(deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 40), st.integers(1, 60))
def test_no_job_is_stranded_while_replicas_and_keepers_depart(
    seed: int, keepers: int, replicas: int
) -> None:
    """Guard against an owner that keeps its jobs but shares none of the remaining replicas."""
    rand = random.Random(seed)
    running, listed = sorted(instance_names(rand, "keeper", keepers)), instance_names(
        rand, "i", replicas
    )
    while running and listed:
        assert jobs_never_started(running, listed) == []
        shrinking = rand.choice([running, listed])
        shrinking.remove(rand.choice(shrinking))


def test_all_may_own_jobs_without_replicas() -> None:
    """Guard against jobs without an owner while no replica is listed."""
    assert possible_owners(["a", "b"], []) == ("a", "b")


def test_departed_replica_moves_no_owner_in_large_fleet() -> None:
    """Guard against moving jobs in a large fleet whenever a replica departs."""
    rand = random.Random(7)
    running, listed = sorted(instance_names(rand, "keeper", 30)), instance_names(rand, "i", 300)
    assert (
        possible_owners(running, listed) == possible_owners(running, listed[1:]) == tuple(running)
    )
