"""Test which replicas an instance follows."""

from collections import Counter
from typing import TYPE_CHECKING

from papayapier.fleet_view import FleetListeners, FleetView, Place, Policies
from papayapier.metrics import make_metrics
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.store.api import ENTRY, LEAVING, LIVE, REPLICA, Member
from papayapier.store.members import MembersChanged

if TYPE_CHECKING:
    from papayapier.upstream.api import Replica

SUBSET = 8


def entry(name: str) -> Member:
    return Member(name, ENTRY, "", "127.0.0.1", 1, 2, "dc", "north", LIVE)


def replica(name: str, region: str = "north", state: str = LIVE) -> Member:
    return Member(name, REPLICA, "lm", "127.0.0.1", 1, 0, "dc", region, state)


def follow(own: str, members: list[Member]) -> tuple[FleetView, set[str]]:
    view = FleetView(
        Place(own, "north", SUBSET),
        Policies(LoadBook(), Outliers(), BatchShare(own)),
        make_metrics(),
    )
    polled: list[Replica] = []
    view.connect(FleetListeners(polled.extend, lambda _: None, lambda: None, lambda _l, _g: None))
    view.on_members(MembersChanged(members, []))
    return view, {one.id for one in polled}


def test_small_site_follows_every_replica() -> None:
    members = [entry("a"), *(replica(f"lm-{n}") for n in range(SUBSET))]
    assert follow("a", members)[1] == {f"lm-{n}" for n in range(SUBSET)}


def test_large_region_is_followed_by_subsets_that_leave_no_replica_out() -> None:
    # Symptom: an idle instance spends more than a core on load reports.
    # Sequence: the fleet grows to thousands of replicas.
    # Cause: every instance asked every replica.
    names = [f"i{n}" for n in range(40)]
    members = [*map(entry, names), *(replica(f"lm-{n}") for n in range(100))]
    seen: Counter[str] = Counter()
    for name in names:
        followed = follow(name, members)[1]
        assert SUBSET // 2 <= len(followed) <= 2 * SUBSET
        seen.update(followed)
    assert len(seen) == 100
    assert min(seen.values()) >= 3


def test_other_regions_are_used_only_when_the_own_has_none() -> None:
    south = [replica(f"s-{n}", "south") for n in range(3)]
    assert follow("a", [entry("a"), *south])[1] == {"s-0", "s-1", "s-2"}
    assert follow("a", [entry("a"), replica("n-0"), *south])[1] == {"n-0"}


def test_orders_see_all_replicas_that_are_not_leaving() -> None:
    members = [entry("a"), *(replica(f"lm-{n}") for n in range(30)), replica("x", state=LEAVING)]
    view, _ = follow("a", members)
    assert {one.replica.id for one in view.listed_replicas(0)} == {f"lm-{n}" for n in range(30)}
