"""Test how many of the shared slots of a replica an instance may use."""

import random

import pytest

from papayapier.jobs.free_slots import ReplicaFinder, SlotSnapshot, replica_use
from papayapier.policy.batch_limits import SPARE_SLOTS, start_limit
from papayapier.policy.batch_sharers import ALL_SHARE_UP_TO, MAX_SHARERS, sharers_of
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.upstream.api import Replica

SLOTS = 8


def snapshot(sharing: list[str], unreachable: list[str]) -> SlotSnapshot:
    load_tracker = LoadTracker()
    replica = Replica("r", "lm", "h", 1, "dc")
    load_tracker.on_listed([replica], (), {"r": SLOTS})
    outliers = OutlierDetector()
    outliers.on_listed([replica])
    return SlotSnapshot(random.Random(1), "a", load_tracker, outliers, sharing, unreachable)


def test_idle_slots_of_a_reachable_instance_are_used() -> None:
    assert start_limit(replica_use(snapshot(["a", "b"], []), "r")) == SLOTS - SPARE_SLOTS


def test_an_unreachable_instance_keeps_its_share() -> None:
    # Guards against online streams that wait a second at full replicas while two keepers cannot
    # reach each other, because each uses all slots without knowing of the other's streams.
    assert start_limit(replica_use(snapshot(["a", "b"], ["b"]), "r")) == (SLOTS - SPARE_SLOTS) // 2


@pytest.mark.parametrize("hubs", range(1, ALL_SHARE_UP_TO + 1))
def test_every_hub_of_a_small_fleet_may_use_every_idle_slot(hubs: int) -> None:
    # Guards against 37 items that wait for 25 s and finish late or never, while 40 of 48 slots are
    # idle. A keeper is added to three others and owns five jobs, without any online call in
    # progress. If hashing chose three keepers to share each replica, the fourth had only one
    # replica.
    names = [f"storage-{number}" for number in range(hubs)]
    for me in names:
        for replica in range(8):
            assert me in sharers_of(f"i-{replica}", names)


def test_few_hubs_share_a_replica_of_a_large_fleet() -> None:
    names = [f"storage-{number}" for number in range(ALL_SHARE_UP_TO + 3)]
    assert len(sharers_of("i-1", names)) == MAX_SHARERS


def test_a_replica_with_free_slots_is_found() -> None:
    finder = ReplicaFinder(snapshot(["a"], []))
    found = finder.find("lm", 0)
    assert found is not None
    assert found.id == "r"
    assert finder.find("none", 0) is None


def test_every_keeper_of_a_large_fleet_has_a_replica_to_run_items_at() -> None:
    # Guards against a keeper that has no share at any replica of a service, so that the jobs it
    # owns never run.
    keepers = [f"keeper-{number}" for number in range(30)]
    for fleet in range(40):
        replicas = [f"i-{fleet}-{number}" for number in range(47)]
        sharing = {keeper for replica in replicas for keeper in sharers_of(replica, keepers)}
        assert sharing == set(keepers), fleet
