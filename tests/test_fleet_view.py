"""Test which replicas an instance uses."""

from collections import Counter
from typing import TYPE_CHECKING

from papayapier.fleet_view import FleetListeners, FleetView, OwnInstance, ReplicaPolicies
from papayapier.metrics import make_metrics
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.store.api import ENTRY, LEAVING, LIVE, REPLICA, Member
from papayapier.store.members import MembersChanged

if TYPE_CHECKING:
    from papayapier.upstream.api import Replica

SUBSET_SIZE = 8


def entry(name: str) -> Member:
    return Member(name, ENTRY, "", "127.0.0.1", 1, 2, "dc", "north", LIVE)


def replica(name: str, region: str = "north", state: str = LIVE) -> Member:
    return Member(name, REPLICA, "lm", "127.0.0.1", 1, 0, "dc", region, state)


def make_view(own_id: str, members: list[Member]) -> tuple[FleetView, set[str]]:
    """Return the view of an instance, and the ids of the replicas that it polls."""
    view = FleetView(
        OwnInstance(own_id, "north", SUBSET_SIZE),
        ReplicaPolicies(LoadTracker(), OutlierDetector(), BatchShare(own_id)),
        make_metrics(),
    )
    polled: list[Replica] = []
    view.set_listeners(
        FleetListeners(polled.extend, lambda _: None, lambda: None, lambda _l, _g: None)
    )
    view.on_members_changed(MembersChanged(members, []))
    return view, {polled_replica.id for polled_replica in polled}


def test_small_site_uses_every_replica() -> None:
    """Guard against replicas that get no calls although the upstream has few of them."""
    members = [entry("a"), *(replica(f"lm-{n}") for n in range(SUBSET_SIZE))]
    assert make_view("a", members)[1] == {f"lm-{n}" for n in range(SUBSET_SIZE)}


def test_subsets_of_a_large_region_contain_every_replica() -> None:
    """Guard against load polling that grows with the product of instances and replicas.

    With thousands of replicas, an idle instance that polled all of them spent more than a core
    on load reports.
    """
    names = [f"i{n}" for n in range(40)]
    members = [*map(entry, names), *(replica(f"lm-{n}") for n in range(100))]
    users: Counter[str] = Counter()
    for name in names:
        used = make_view(name, members)[1]
        assert SUBSET_SIZE // 2 <= len(used) <= 2 * SUBSET_SIZE
        users.update(used)
    assert len(users) == 100
    assert min(users.values()) >= 3


def test_other_regions_are_used_only_if_the_own_region_has_no_replica() -> None:
    """Guard against calls to other regions, whose connections can fail for minutes."""
    south = [replica(f"s-{n}", "south") for n in range(3)]
    assert make_view("a", [entry("a"), *south])[1] == {"s-0", "s-1", "s-2"}
    assert make_view("a", [entry("a"), replica("n-0"), *south])[1] == {"n-0"}


def test_controller_gets_all_replicas_that_are_not_leaving() -> None:
    """Guard against orders that only reach the subset used by the controller's instance."""
    members = [entry("a"), *(replica(f"lm-{n}") for n in range(30)), replica("x", state=LEAVING)]
    view, _ = make_view("a", members)
    assert {r.replica.id for r in view.listed_replicas(0)} == {f"lm-{n}" for n in range(30)}
