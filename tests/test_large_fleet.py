"""Test whom a changed call concerns in a large fleet, and what is known of the store's return."""

from typing import Any, cast

import pytest

from papayapier.clock import fake_clock
from papayapier.config.route_table import RouteTable
from papayapier.node.large_fleet import LargeFleet
from papayapier.node.outage_tracker import OutageTracker
from papayapier.node.processes import NodeList
from papayapier.peer.messages import NEVER_AWAY
from papayapier.policy.totals import SHARERS, sharers_of
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
    made = LargeFleet(
        nodes, lambda: live, lambda: HUBS, lambda: HUBS[1:], lambda: cast(RouteTable, table)
    )
    made.on_replicas([Replica("i-1", "lm", "h", 1, "dc"), Replica("i-2", "app", "h", 1, "dc")])
    return made


def test_hubs_are_those_that_are_heard() -> None:
    assert fleet(Table()).hubs() == HUBS[1:]


@pytest.mark.parametrize(
    ("replica", "table", "most"),
    [("i-1", Table(), SHARERS + 1), ("i-2", Table(), 1), ("i-2", None, SHARERS + 1)],
)
def test_a_change_concerns_few(replica: str, table: Any, most: int) -> None:
    # A replica whose upstream runs no jobs concerns its placer only; while no configuration is
    # known any may run some.
    concerned = fleet(table).concerned_keepers([replica])
    assert 1 <= len(concerned) <= most
    assert concerned <= set(HUBS[1:])


def test_a_keeper_hears_of_calls_or_goes_by_totals() -> None:
    # Failure: two hubs that take each other's totals tell each other of calls that have ended.
    keepers = [f"keeper-{n:02}" for n in range(30)]
    nodes = NodeList(lambda _members: None)
    for name in keepers:
        nodes.on_change(Change(f"papayapier-nodes/{name}", 1, False, b'["keeper","h",1,"dc","r"]'))
    made = LargeFleet(nodes, lambda: keepers, lambda: keepers[:3], lambda: keepers, lambda: None)
    made.on_replicas([Replica("i-1", "lm", "h", 1, "dc")])
    by_totals = {one for one in keepers if made.uses_by_totals("i-1", one)}
    assert by_totals <= set(sharers_of("i-1", keepers)) - set(keepers[:3])
    assert by_totals.isdisjoint(made.concerned_keepers(["i-1"]))


def test_a_replica_that_is_not_listed_concerns_no_placer() -> None:
    assert fleet(Table()).concerned_keepers(["i-9"]) == set()


class Budget:
    def __init__(self) -> None:
        self.down: int | None = None
        self.back: int | None = None

    def down_since(self) -> int | None:
        return self.down

    def back_ms(self) -> int | None:
        return self.back


def test_what_a_hub_tells_of_an_outage_counts() -> None:
    # Symptom: no replica is left for two seconds after an outage.
    # Events: an entry that makes no calls does not see the outage; entries lapse in it; the hub
    # tells of their removal.
    time = fake_clock()
    budget = Budget()
    known = OutageTracker(time.clock, cast(Any, budget))
    assert (known.last_return_ms(), known.ms_since_return()) == (0, NEVER_AWAY)
    time.advance(5_000)
    now = time.clock.now()
    known.on_reported(1_000)
    assert (known.last_return_ms(), known.ms_since_return()) == (now - 1_000, 1_000)
    budget.down = now
    assert (known.last_return_ms(), known.ms_since_return()) == (None, 0)
