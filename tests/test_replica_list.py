"""Test which replicas are used during and after outages of the store."""

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import fake_clock
from papayapier.node.replica_list import (
    ENTRIES_BACK_MS,
    ListedReplica,
    ReplicaList,
    ReplicaListDeps,
)
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.store.api import Change
from papayapier.upstream.api import Replica
from tests.log_capture import LogCapture


def read(replica_id: str, value: bytes) -> Result[ListedReplica, str]:
    if value == b"bad":
        return Err("bad")
    replica = Replica(replica_id, "lm", "h", 1, "dc")
    if value.startswith(b"born "):
        replica = replica._replace(
            id=f"{replica_id}/{value[5:].decode()}", announced_name=replica_id
        )
    return Ok(ListedReplica(replica, 8, value == b"leaving"))


class World:
    def __init__(self) -> None:
        self.time = fake_clock()
        self.back_ms: int | None = 0
        self.reported: list[list[ListedReplica]] = []
        self.list = ReplicaList(
            ReplicaListDeps(self.time.clock, "s/", read, lambda: self.back_ms, self.reported.append)
        )
        for name in ("a", "b"):
            self.change(name, b"ready")

    def change(self, name: str, value: bytes) -> None:
        self.list.on_change(Change(f"s/{name}", 1, False, value))

    def remove(self, name: str) -> None:
        self.list.on_change(Change(f"s/{name}", 2, True))

    def names(self) -> list[str]:
        return sorted(entry.replica.id for entry in self.list.listed() if not entry.leaving)


def test_removed_replica_is_dropped_immediately() -> None:
    """Guard against calls to a replica after its entry was removed."""
    world = World()
    world.remove("a")
    assert world.names() == ["b"]
    assert [entry.replica.id for entry in world.reported[-1]] == ["b"]


def test_leaving_replica_is_not_used() -> None:
    """Guard against new calls to a replica that is leaving."""
    world = World()
    world.change("a", b"leaving")
    assert world.names() == ["b"]


def test_entries_expired_in_outage_are_kept_until_deadline() -> None:
    """Guard against having no replica for seconds after each outage of the store.

    The store is unreachable for longer than entries live. On its return the list is empty, and the
    replicas, which were live throughout, register again within two seconds.
    """
    world = World()
    world.time.jump(10_000)
    world.back_ms = world.time.clock.now()
    world.remove("a")
    world.remove("b")
    assert world.names() == ["a", "b"]
    world.time.jump(500)
    world.change("a", b"ready")
    world.time.jump(ENTRIES_BACK_MS)
    assert world.names() == ["a"]


def test_removal_long_after_outage_is_immediate() -> None:
    """Guard against deferring a removal that has nothing to do with an outage."""
    world = World()
    world.back_ms = world.time.clock.now()
    world.time.jump(ENTRIES_BACK_MS + 1)
    world.remove("a")
    assert world.names() == ["b"]


def test_replica_with_moved_address_gets_no_more_calls() -> None:
    """Guard against sending an item to the wrong replica repeatedly, to be refused each time.

    The list is outdated, and the replica at the address answers that it is another one.
    """
    world = World()
    world.list.on_moved("a")
    assert world.names() == ["b"]
    world.list.on_moved("a")
    world.change("a", b"ready")
    assert world.names() == ["a", "b"]


def test_unreadable_entry_removes_replica() -> None:
    """Guard against requests to an address that the platform no longer assigns to a replica.

    Another writer replaces an entry by one that cannot be decoded. The previous entry must not stay
    in use while the new one stands.
    """
    world = World()
    logs = LogCapture()
    with logs.applicationbound():
        world.change("a", b"bad")
    assert world.names() == ["b"]
    assert [fields["used_before"] for fields in logs.fields_of(events.REPLICA_UNREADABLE)] == [True]
    assert len(logs.records) == 1
    world.change("a", b"ready")
    assert world.names() == ["a", "b"]


def test_unreadable_entry_of_unknown_replica_is_ignored() -> None:
    """Guard against a change of the list by an unreadable entry of an unknown replica."""
    world = World()
    reported = len(world.reported)
    world.change("c", b"bad")
    assert (world.names(), len(world.reported)) == (["a", "b"], reported)


def test_restart_under_same_name_is_another_replica() -> None:
    """Guard against treating a replica that has just started as ejected or full.

    It restarts under its name while calls to it are open and after some of its calls failed. State
    that was kept under the name alone would apply to the new boot.
    """
    world = World()
    load_tracker, outliers = LoadTracker(), OutlierDetector()
    before = Replica("a/1", "lm", "h", 1, "dc", "a")
    after = before._replace(id="a/2")
    load_tracker.on_listed([before], set(), {"a/1": 8})
    outliers.on_listed([before])
    for _ in range(8):
        load_tracker.on_sent("a/1", False, 0)
        outliers.on_end("a/1", False, None, 0)
    world.change("a", b"born 1")
    world.change("a", b"born 2")
    reported = [
        entry.replica for entry in world.reported[-1] if entry.replica.effective_name() == "a"
    ]
    assert [entry.id for entry in reported] == ["a/2"]
    load_tracker.on_listed([after], set(), {"a/2": 8})
    outliers.on_listed([after])
    assert (load_tracker.online_calls("a/2"), outliers.is_ejected("a/2", 0)) == (0, False)
    assert [entry.id for entry in load_tracker.usable_replicas("lm", 0)] == ["a/2"]
    world.list.on_moved("a/1")
    assert "a/2" in world.names()
    world.list.on_moved("a/2")
    assert world.names() == ["b"]


def test_large_listing_is_reported_once_and_in_one_line() -> None:
    """Guard against starts that use up their processor time before traffic begins.

    With 300 processes and 3,000 replicas, each entry of a listing was reported by itself and each
    time all partitions were computed again: nine seconds of processor time for each process.
    """
    time = fake_clock()
    reported: list[list[ListedReplica]] = []
    deps = ReplicaListDeps(
        time.clock,
        "s/",
        read,
        lambda: 0,
        reported.append,
        lambda call: time.clock.call_later(0, call),
    )
    listed = ReplicaList(deps)
    logs = LogCapture()
    with logs.applicationbound():
        for number in range(3_000):
            listed.on_change(Change(f"s/i-{number}", number + 1, False, b"ready"))
        time.run_for(1)
        assert [len(entries) for entries in reported] == [3_000]
        assert logs.fields_of(events.REPLICAS_ADDED) == [{"count": 3_000}]
        assert not logs.fields_of(events.REPLICA_ADDED)
        # An entry that is written again without a change is not reported.
        listed.on_change(Change("s/i-7", 4_000, False, b"ready"))
        time.run_for(1)
        assert len(reported) == 1
        listed.on_change(Change("s/i-7", 4_001, False, b"leaving"))
        time.run_for(1)
        assert len(reported) == 2


def test_moved_replica_is_removed_immediately() -> None:
    """Guard against choosing a moved replica again before the deferred notification."""
    time = fake_clock()
    reported: list[list[ListedReplica]] = []
    deps = ReplicaListDeps(
        time.clock,
        "s/",
        read,
        lambda: 0,
        reported.append,
        lambda call: time.clock.call_later(0, call),
    )
    listed = ReplicaList(deps)
    listed.on_change(Change("s/a", 1, False, b"ready"))
    listed.on_moved("a")
    assert reported[-1] == []


def test_unreported_entries_are_not_listed() -> None:
    """Guard against a refusal "no usable replica" of the first request after a start.

    Requests wait until replicas are listed. A listing that has been read but not yet reported must
    not count as listed, because the component that chooses replicas has not received it.
    """
    time = fake_clock()
    reported: list[list[ListedReplica]] = []
    deps = ReplicaListDeps(
        time.clock,
        "s/",
        read,
        lambda: 0,
        reported.append,
        lambda call: time.clock.call_later(0, call),
    )
    listed = ReplicaList(deps)
    listed.on_change(Change("s/a", 1, False, b"ready"))
    assert (listed.listed(), reported) == ([], [])
    time.run_for(1)
    assert listed.listed() == reported[-1]
    assert len(reported[-1]) == 1
