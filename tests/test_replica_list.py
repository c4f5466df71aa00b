"""Test which replicas are used while the store comes and goes."""

from result import Err, Ok, Result

from papayapier.clock import fake_clock
from papayapier.node.replica_list import (
    RETURN_MS,
    ListedReplica,
    ReplicaList,
    ReplicaListDeps,
)
from papayapier.store.api import Change
from papayapier.upstream.api import Replica


def read(replica_id: str, value: bytes) -> Result[ListedReplica, str]:
    if value == b"bad":
        return Err("bad")
    replica = Replica(replica_id, "lm", "h", 1, "dc")
    return Ok(ListedReplica(replica, 8, value == b"leaving"))


class World:
    def __init__(self) -> None:
        self.time = fake_clock()
        self.back_ms: int | None = 0
        self.told: list[list[ListedReplica]] = []
        self.list = ReplicaList(
            ReplicaListDeps(self.time.clock, "s/", read, lambda: self.back_ms, self.told.append)
        )
        for name in ("a", "b"):
            self.change(name, b"ready")

    def change(self, name: str, value: bytes) -> None:
        self.list.on_change(Change(f"s/{name}", 1, False, value))

    def remove(self, name: str) -> None:
        self.list.on_change(Change(f"s/{name}", 2, True))

    def names(self) -> list[str]:
        return sorted(one.replica.id for one in self.list.listed() if not one.leaving)


def test_a_removed_replica_gets_nothing_at_once() -> None:
    world = World()
    world.remove("a")
    assert world.names() == ["b"]
    assert [one.replica.id for one in world.told[-1]] == ["b"]


def test_a_leaving_replica_gets_nothing() -> None:
    world = World()
    world.change("a", b"leaving")
    assert world.names() == ["b"]


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_may_be_back() -> None:
    # Symptom: nobody to send to for seconds after each outage of the store.
    # Events: the store is away longer than entries live; on its return the list is empty, and
    # the replicas, alive all the while, write themselves down again within two seconds.
    world = World()
    world.time.advance(10_000)
    world.back_ms = world.time.clock.now()
    world.remove("a")
    world.remove("b")
    assert world.names() == ["a", "b"]
    world.time.advance(500)
    world.change("a", b"ready")
    world.time.advance(RETURN_MS)
    assert world.names() == ["a"]


def test_an_entry_removed_long_after_the_return_is_gone() -> None:
    world = World()
    world.back_ms = world.time.clock.now()
    world.time.advance(RETURN_MS + 1)
    world.remove("a")
    assert world.names() == ["b"]


def test_a_replica_whose_address_has_moved_is_not_asked_again() -> None:
    # Symptom: one item is sent to the wrong replica again and again, and refused each time.
    # Events: the list lags; the replica at the address says that it is another one.
    world = World()
    world.list.on_moved("a")
    assert world.names() == ["b"]
    world.list.on_moved("a")
    world.change("a", b"ready")
    assert world.names() == ["a", "b"]


def test_an_unreadable_entry_leaves_the_last_good_one() -> None:
    world = World()
    world.change("a", b"bad")
    assert world.names() == ["a", "b"]
