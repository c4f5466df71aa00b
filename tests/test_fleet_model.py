"""Test which instances are hubs, linked and considered live, in fleets of hundreds of instances.

The rosters of all instances are simulated in one process (fleet_model).
"""

import pytest

from papayapier.peer.messages import Heartbeat
from papayapier.peer.topology import MAX_HUBS
from tests.fleet_model import Model

# The silence after which a hub is considered lost, and a heartbeat of those that report it.
MISSED_MS = 3_000


@pytest.fixture(scope="module")
def fleet_sizes() -> dict[int, Model]:
    models = {30: Model(25, 5), 100: Model(85, 15), 300: Model(254, 46)}
    for model in models.values():
        model.run(2_000)
    return models


def test_links_do_not_grow_with_the_fleet(fleet_sizes: dict[int, Model]) -> None:
    """Guard against links in proportion to the fleet.

    With every keeper a hub an entry had 52 links at 300 instances, and a keeper 299.
    """
    for model in fleet_sizes.values():
        ordinary_keeper = [name for name in model.rosters if name not in model.hubs("entry-0")]
        assert {model.links(name) for name in ordinary_keeper} == {MAX_HUBS}


def test_hubs_are_agreed_on_and_in_different_data_centres(fleet_sizes: dict[int, Model]) -> None:
    """Guard against instances that choose different hubs, and hubs that share a data centre."""
    for model in fleet_sizes.values():
        hub_sets = {model.hubs(name) for name in model.rosters}
        assert len(hub_sets) == 1
        (hubs,) = hub_sets
        centres = {member.data_centre for member in model.members if member.id in hubs}
        assert len(hubs) == len(centres) == MAX_HUBS


def test_lost_hub_is_replaced_everywhere() -> None:
    """Guard against a lost hub that some instances still use, or a restarted one that none use."""
    model = Model(45, 15)
    model.run(2_000)
    lost = model.hubs("entry-0")[0]
    model.lose([lost])
    model.run(MISSED_MS)
    assert all(lost not in model.hubs(name) for name in model.rosters)
    assert {len(model.hubs(name)) for name in model.rosters} == {MAX_HUBS}
    assert all(lost not in roster.live() for roster in model.rosters.values())
    # It restarts, knows the others only from the list, and is a hub again for all.
    model.start(lost)
    model.list_to(lost)
    model.run(MISSED_MS)
    assert all(lost in model.hubs(name) for name in model.rosters)
    assert all(lost in roster.live() for roster in model.rosters.values())


def test_hubs_lost_in_series_leave_hubs() -> None:
    """Guard against fewer hubs after several are lost one by one."""
    model = Model(45, 15)
    model.run(2_000)
    for _ in range(4):
        model.lose([model.hubs("entry-0")[0]])
        model.run(MISSED_MS)
    assert {len(model.hubs(name)) for name in model.rosters} == {MAX_HUBS}
    hubs = set(model.hubs("entry-0"))
    assert hubs <= set(model.rosters)


def test_all_keepers_know_which_keepers_are_lost() -> None:
    """Guard against differing owners of a job.

    The owner is computed over the live keepers, which are no neighbours of each other.
    """
    model = Model(45, 15)
    model.run(2_000)
    ordinary_keepers = [
        n for n in model.rosters if n.startswith("keeper") and n not in model.hubs(n)
    ]
    silent, leaving = ordinary_keepers[0], ordinary_keepers[1]
    model.lose([silent])
    model.leaving.add(leaving)
    model.run(MISSED_MS)
    for name, roster in model.rosters.items():
        assert silent not in roster.live()
        assert name == leaving or leaving not in roster.live()
    model.start(silent)
    model.list_to(silent)
    model.run(1_500)
    assert all(silent in roster.live() for roster in model.rosters.values())


def test_instance_cut_off_from_hubs_reconnects() -> None:
    """Guard against an instance that stays alone after a partition."""
    model = Model(45, 15)
    model.run(2_000)
    model.cut = {frozenset({"entry-3", member.id}) for member in model.members}
    model.run(20_000)
    model.cut = set()
    model.run(MISSED_MS)
    assert model.hubs("entry-3") == model.hubs("entry-4")
    assert len(model.rosters["entry-3"].live()) == 60


def test_partitioned_third_reconnects() -> None:
    """Guard against two sides that disagree on the hubs after a partition.

    Both sides have hubs during the partition.
    """
    model = Model(55, 15)
    model.run(2_000)
    names = [member.id for member in model.members]
    minority = set(names[::3])
    model.cut = {frozenset({a, b}) for a in minority for b in names if b not in minority}
    model.run(12_000)
    for name in names:
        others = {hub for hub in model.hubs(name) if (hub in minority) == (name in minority)}
        assert others, "no hub on this side"
    model.cut = set()
    model.run(2 * MISSED_MS)
    assert len({model.hubs(name) for name in names}) == 1
    assert all(len(roster.live()) == 70 for roster in model.rosters.values())


def test_links_that_no_end_picks_are_closed() -> None:
    """Guard against links that are kept for ever: 27 at an entry in place of 13 after a start.

    The list arrives piece by piece, each piece with other picks. Both ends of a link that neither
    picks any more took each other's heartbeats for a pick, as a heartbeat did not state whether its
    sender picks.
    """
    model = Model(45, 15)
    for count in (20, 30, 40, 50, None):
        for name in model.rosters:
            model.list_to(name, count)
        model.run(400)
    model.run(6_000)
    fresh = Model(45, 15)
    fresh.run(6_000)
    assert [model.links(name) for name in model.rosters] == [
        fresh.links(name) for name in fresh.rosters
    ]


def test_heartbeat_that_only_replies_keeps_no_link() -> None:
    """Guard against the same at one instance: entry-2 receives a keeper that it does not pick."""
    model = Model(45, 15)
    model.run(2_000)
    ordinary_keeper = next(
        n for n in model.rosters if n.startswith("keeper") and n not in model.hubs(n)
    )
    roster = model.rosters["entry-2"]

    def linked() -> bool:
        return next(
            view.neighbour for view in roster.views(model.now) if view.id == ordinary_keeper
        )

    heartbeat = Heartbeat(ordinary_keeper, model.boots[ordinary_keeper], "live", 0)
    roster.on_heartbeat(ordinary_keeper, heartbeat._replace(picked=False), model.now)
    assert not linked()
    roster.on_heartbeat(ordinary_keeper, heartbeat, model.now)
    assert linked()
    roster.on_heartbeat(ordinary_keeper, heartbeat._replace(picked=False), model.now)
    assert not linked()
