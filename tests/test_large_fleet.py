"""Test which keepers a change of calls concerns in a large fleet, and the outage tracker."""

from typing import Any, cast

import pytest

from papayapier.clock import fake_clock
from papayapier.config.route_table import RouteTable
from papayapier.node.large_fleet import LargeFleet
from papayapier.node.outage_tracker import OutageTracker
from papayapier.node.processes import NodeList
from papayapier.peer.messages import NO_OUTAGE
from papayapier.policy.batch_sharers import MAX_SHARERS, sharers_of
from papayapier.store.api import Change
from papayapier.upstream.api import Replica

HUBS = [f"hub-{n}" for n in range(8)]


class Table:
    job_upstreams = frozenset({"lm"})


def fleet(table: Any) -> LargeFleet:
    nodes = NodeList(lambda _members: None)
    for name in [*HUBS, "entry-1"]:
        role = "keeper" if name in HUBS else "entry"
        value = f'["{role}","h",1,"dc","r"]'.encode()
        nodes.on_change(Change(f"papayapier-nodes/{name}", 1, False, value))
    live = [*HUBS[1:], "entry-1"]
    fleet_state = LargeFleet(
        nodes, lambda: live, lambda: HUBS, lambda: HUBS[1:], lambda: cast(RouteTable, table)
    )
    fleet_state.on_replicas(
        [Replica("i-1", "lm", "h", 1, "dc"), Replica("i-2", "app", "h", 1, "dc")]
    )
    return fleet_state


def test_hubs_are_the_reachable_selected_instances() -> None:
    """Guard against unreachable hubs in the list of hubs."""
    assert fleet(Table()).hubs() == HUBS[1:]


@pytest.mark.parametrize(
    ("replica", "table", "max_count"),
    [("i-1", Table(), MAX_SHARERS + 1), ("i-2", Table(), 1), ("i-2", None, MAX_SHARERS + 1)],
)
def test_change_concerns_few_keepers(replica: str, table: Any, max_count: int) -> None:
    """Guard against reporting each change of calls to all keepers.

    A replica whose upstream runs no jobs concerns only its placer; until the configuration is
    known, any replica may run jobs.
    """
    concerned = fleet(table).concerned_keepers([replica])
    assert 1 <= len(concerned) <= max_count
    assert concerned <= set(HUBS[1:])


def test_keeper_uses_calls_or_totals() -> None:
    """Guard against two hubs that use each other's totals and repeat calls that have ended."""
    keepers = [f"keeper-{n:02}" for n in range(30)]
    nodes = NodeList(lambda _members: None)
    for name in keepers:
        nodes.on_change(Change(f"papayapier-nodes/{name}", 1, False, b'["keeper","h",1,"dc","r"]'))
    fleet_state = LargeFleet(
        nodes, lambda: keepers, lambda: keepers[:3], lambda: keepers, lambda: None
    )
    fleet_state.on_replicas([Replica("i-1", "lm", "h", 1, "dc")])
    by_totals = {keeper for keeper in keepers if fleet_state.may_batch_by_totals("i-1", keeper)}
    assert by_totals <= set(sharers_of("i-1", keepers)) - set(keepers[:3])
    assert by_totals.isdisjoint(fleet_state.concerned_keepers(["i-1"]))


def test_unlisted_replica_concerns_no_placer() -> None:
    """Guard against a placer for a replica that is not listed."""
    assert fleet(Table()).concerned_keepers(["i-9"]) == set()


class Budget:
    def __init__(self) -> None:
        self.down: int | None = None
        self.back: int | None = None

    def down_since(self) -> int | None:
        return self.down

    def recovered_ms(self) -> int | None:
        return self.back


def test_outage_reported_by_hub_counts() -> None:
    """Guard against having no replica for two seconds after an outage.

    An entry that makes no calls does not notice the outage; entries expire in it, and the hub
    reports their removal.
    """
    time = fake_clock()
    budget = Budget()
    tracker = OutageTracker(time.clock, cast(Any, budget))
    assert (tracker.last_return_ms(), tracker.ms_since_return()) == (0, NO_OUTAGE)
    time.jump(5_000)
    now = time.clock.now()
    tracker.on_reported(1_000)
    assert (tracker.last_return_ms(), tracker.ms_since_return()) == (now - 1_000, 1_000)
    budget.down = now
    assert (tracker.last_return_ms(), tracker.ms_since_return()) == (None, 0)
