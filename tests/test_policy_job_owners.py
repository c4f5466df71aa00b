"""Test that each job has an owner that can start its items, for any number of replicas."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from papayapier.policy.job_owners import able_to_own
from papayapier.policy.ownership import owner
from papayapier.policy.totals import sharers_of
from tests.keepers_world import names

FLEETS = 40
JOBS = 50


def jobs_never_started(keepers: list[str], replicas: list[str]) -> list[str]:
    """Return the jobs that fall to a keeper which may start items at no replica."""
    able = able_to_own(keepers, replicas)
    owners = {f"job-{n}": owner(f"job-{n}", able) for n in range(JOBS)}
    may_start = {one for replica in replicas for one in sharers_of(replica, keepers)}
    return [job_id for job_id, one in owners.items() if one not in may_start]


@pytest.mark.parametrize(
    ("keepers", "replicas"),
    [(30, 47), (30, 32), (30, 24), (30, 5), (13, 15), (12, 5), (8, 5), (7, 5), (200, 1), (1, 1)],
)
def test_a_job_falls_to_a_keeper_that_can_start_its_items(keepers: int, replicas: int) -> None:
    # Failure: a job falls to a keeper that shares no replica of its service, and never starts.
    rand = random.Random(7)
    for _ in range(FLEETS):
        running = sorted(names(rand, "keeper", keepers))
        assert jobs_never_started(running, names(rand, "i", replicas)) == []


@settings(deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 40), st.integers(1, 60))
def test_no_job_is_left_while_replicas_and_keepers_go(
    seed: int, keepers: int, replicas: int
) -> None:
    # Failure: replicas go one after the other, and an owner that shares none of the rest keeps
    # its jobs.
    rand = random.Random(seed)
    running, listed = sorted(names(rand, "keeper", keepers)), names(rand, "i", replicas)
    while running and listed:
        assert jobs_never_started(running, listed) == []
        going = rand.choice([running, listed])
        going.remove(rand.choice(going))


def test_everybody_may_own_jobs_while_no_replica_is_known() -> None:
    assert able_to_own(["a", "b"], []) == ("a", "b")


def test_a_replica_that_goes_moves_few_jobs() -> None:
    # With many replicas all may own jobs whichever of them goes.
    rand = random.Random(7)
    running, listed = sorted(names(rand, "keeper", 30)), names(rand, "i", 300)
    assert able_to_own(running, listed) == able_to_own(running, listed[1:]) == tuple(running)
