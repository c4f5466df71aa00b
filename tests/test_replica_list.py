"""Test which replicas are used while the store comes and goes."""

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import fake_clock
from papayapier.node.replica_list import (
    ENTRIES_BACK_MS,
    ListedReplica,
    ReplicaList,
    ReplicaListDeps,
)
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.store.api import Change
from papayapier.upstream.api import Replica
from tests.log_catcher import LogCatcher


def read(replica_id: str, value: bytes) -> Result[ListedReplica, str]:
    if value == b"bad":
        return Err("bad")
    replica = Replica(replica_id, "lm", "h", 1, "dc")
    if value.startswith(b"born "):
        replica = replica._replace(id=f"{replica_id}/{value[5:].decode()}", known_as=replica_id)
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
    world.time.advance(ENTRIES_BACK_MS)
    assert world.names() == ["a"]


def test_an_entry_removed_long_after_the_return_is_gone() -> None:
    world = World()
    world.back_ms = world.time.clock.now()
    world.time.advance(ENTRIES_BACK_MS + 1)
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


def test_an_entry_that_became_unreadable_names_no_replica() -> None:
    # Symptom: requests go to an address that the platform's list no longer gives to a replica.
    # Events: another writer replaces an entry by one that cannot be read.
    # Cause: the entry as it was before stayed in use, for as long as the bad one stood.
    world = World()
    logs = LogCatcher()
    with logs.applicationbound():
        world.change("a", b"bad")
    assert world.names() == ["b"]
    assert [one["used_before"] for one in logs.fields(events.REPLICA_UNREADABLE)] == [True]
    assert len(logs.seen) == 1
    world.change("a", b"ready")
    assert world.names() == ["a", "b"]


def test_an_unreadable_entry_of_nobody_changes_nothing() -> None:
    world = World()
    told = len(world.told)
    world.change("c", b"bad")
    assert (world.names(), len(world.told)) == (["a", "b"], told)


def test_a_boot_under_the_same_name_is_another_replica() -> None:
    # Symptom: a replica that has just started is avoided, or taken for full.
    # Events: it starts again under its name while calls to it are open and after it failed some.
    # Cause: what was learnt of it was kept under the name alone.
    world = World()
    book, outliers = LoadBook(), Outliers()
    before = Replica("a/1", "lm", "h", 1, "dc", "a")
    after = before._replace(id="a/2")
    book.on_listed([before], set(), {"a/1": 8})
    outliers.on_listed([before])
    for _ in range(8):
        book.on_sent("a/1", False, 0)
        outliers.on_end("a/1", False, None, 0)
    world.change("a", b"born 1")
    world.change("a", b"born 2")
    told = [one.replica for one in world.told[-1] if one.replica.own_name() == "a"]
    assert [one.id for one in told] == ["a/2"]
    book.on_listed([after], set(), {"a/2": 8})
    outliers.on_listed([after])
    assert (book.online_at("a/2"), outliers.ejected("a/2", 0)) == (0, False)
    assert [one.id for one in book.usable("lm", 0)] == ["a/2"]
    world.list.on_moved("a/1")
    assert "a/2" in world.names()
    world.list.on_moved("a/2")
    assert world.names() == ["b"]


def test_a_listing_of_thousands_is_told_once_and_in_one_line() -> None:
    # Symptom: processes among 300 before 3,000 replicas are out of processor time before traffic
    # starts. Cause: each entry of a listing was told by itself, and each time all were dealt out
    # anew: nine seconds of processor time a process.
    time = fake_clock()
    told: list[list[ListedReplica]] = []
    deps = ReplicaListDeps(
        time.clock, "s/", read, lambda: 0, told.append, lambda call: time.clock.call_later(0, call)
    )
    listed = ReplicaList(deps)
    logs = LogCatcher()
    with logs.applicationbound():
        for number in range(3_000):
            listed.on_change(Change(f"s/i-{number}", number + 1, False, b"ready"))
        time.elapse(1)
        assert [len(one) for one in told] == [3_000]
        assert logs.fields(events.REPLICAS_ADDED) == [{"count": 3_000}]
        assert not logs.fields(events.REPLICA_ADDED)
        # Entries that say the same again are no news.
        listed.on_change(Change("s/i-7", 4_000, False, b"ready"))
        time.elapse(1)
        assert len(told) == 1
        listed.on_change(Change("s/i-7", 4_001, False, b"leaving"))
        time.elapse(1)
        assert len(told) == 2


def test_a_moved_replica_is_out_of_use_at_once() -> None:
    time = fake_clock()
    told: list[list[ListedReplica]] = []
    deps = ReplicaListDeps(
        time.clock, "s/", read, lambda: 0, told.append, lambda call: time.clock.call_later(0, call)
    )
    listed = ReplicaList(deps)
    listed.on_change(Change("s/a", 1, False, b"ready"))
    listed.on_moved("a")
    assert told[-1] == []


def test_what_is_not_told_yet_is_not_listed() -> None:
    # Symptom: the first request after a start is refused, "no usable replica", once in some runs of
    # test_an_entry_listens_at_once. Events: requests wait until replicas are listed; a listing has
    # been read and is told a moment later. Cause: it counted as listed before whoever chooses
    # replicas had it.
    time = fake_clock()
    told: list[list[ListedReplica]] = []
    deps = ReplicaListDeps(
        time.clock, "s/", read, lambda: 0, told.append, lambda call: time.clock.call_later(0, call)
    )
    listed = ReplicaList(deps)
    listed.on_change(Change("s/a", 1, False, b"ready"))
    assert (listed.listed(), told) == ([], [])
    time.elapse(1)
    assert listed.listed() == told[-1]
    assert len(told[-1]) == 1
