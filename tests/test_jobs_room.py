"""Test what an instance takes of the slots that it shares with one that it cannot hear."""

import random

import pytest

from papayapier.jobs.room import ReplicaFinder, SlotSnapshot, replica_use
from papayapier.policy.batch_room import SPARE_SLOTS, start_limit
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.totals import ALL_SHARE, SHARERS, sharers_of
from papayapier.upstream.api import Replica

SLOTS = 8


def shared(sharing: list[str], hidden: list[str]) -> SlotSnapshot:
    book = LoadBook()
    replica = Replica("r", "lm", "h", 1, "dc")
    book.on_listed([replica], (), {"r": SLOTS})
    outliers = Outliers()
    outliers.on_listed([replica])
    return SlotSnapshot(random.Random(1), "a", book, outliers, sharing, hidden)


def test_unused_slots_of_one_that_is_heard_are_taken() -> None:
    assert start_limit(replica_use(shared(["a", "b"], []), "r")) == SLOTS - SPARE_SLOTS


def test_a_hidden_one_keeps_its_part() -> None:
    # Symptom: online streams wait a second at full replicas while two keepers are cut from
    # each other. Cause: each took all slots, since it saw none of the other's streams.
    assert start_limit(replica_use(shared(["a", "b"], ["b"]), "r")) == (SLOTS - SPARE_SLOTS) // 2


@pytest.mark.parametrize("hubs", range(1, ALL_SHARE + 1))
def test_every_hub_of_a_small_fleet_may_use_every_idle_slot(hubs: int) -> None:
    # Symptom: 37 items wait for 25 s while 40 of 48 slots are idle, and end late or never.
    # Events: a keeper is added to three; it owns five jobs; no online call is under way.
    # Cause: three keepers shared each replica, whom hashing chose; the fourth had one replica.
    names = [f"storage-{number}" for number in range(hubs)]
    for me in names:
        for replica in range(8):
            assert me in sharers_of(f"i-{replica}", names)


def test_few_hubs_share_a_replica_of_a_large_fleet() -> None:
    names = [f"storage-{number}" for number in range(ALL_SHARE + 3)]
    assert len(sharers_of("i-1", names)) == SHARERS


def test_room_is_found_where_there_is_some() -> None:
    finder = ReplicaFinder(shared(["a"], []))
    found = finder.find("lm", 0)
    assert found is not None
    assert found.id == "r"
    assert finder.find("none", 0) is None


def test_every_keeper_of_a_large_fleet_has_a_replica_to_run_items_at() -> None:
    # Failure: a keeper shares no replica of a service, and the jobs that fall to it lie for good.
    keepers = [f"keeper-{number}" for number in range(30)]
    for fleet in range(40):
        replicas = [f"i-{fleet}-{number}" for number in range(47)]
        sharing = {one for replica in replicas for one in sharers_of(replica, keepers)}
        assert sharing == set(keepers), fleet
