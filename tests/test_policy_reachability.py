"""Test which instances count as alive where some cannot reach each other."""

import pytest

from papayapier.policy.reachability import ReachabilityReports

ENTRIES = ["e1", "e2", "e3"]


def reports_of(*unreachable: tuple[str, ...]) -> ReachabilityReports:
    reports = ReachabilityReports()
    for entry, names in zip(ENTRIES, unreachable, strict=True):
        reports.on_report(entry, names)
    return reports


@pytest.mark.parametrize(
    ("unreachable", "reachable"),
    [
        (((), (), ()), True),
        ((("k2",), (), ()), True),
        ((("k2",), ("k2",), ()), False),
        ((("k2",), ("k2",), ("k2",)), False),
        ((("k3",), ("k3",), ("k3",)), True),
    ],
)
def test_keeper_that_entries_reach_is_alive(
    unreachable: tuple[tuple[str, ...], ...], reachable: bool
) -> None:
    """Guard against two keepers that run the same jobs, fill all slots and delay online streams.

    The two are partitioned from each other, and both reach the entries. A keeper that a single
    other instance cannot reach must not be considered dead.
    """
    assert reports_of(*unreachable).is_reachable("k2", ENTRIES) is reachable


def test_only_reports_of_live_instances_count() -> None:
    """Guard against decisions by reports of instances that are not live."""
    assert reports_of(("k2",), ("k2",), ()).is_reachable("k2", ["e3"])


def test_unreachable_peer_without_reports_is_dead() -> None:
    """Guard against taking a peer for alive that nobody is known to reach."""
    assert not ReachabilityReports().is_reachable("k2", ENTRIES)
    assert not reports_of((), (), ()).is_reachable("k2", [])
