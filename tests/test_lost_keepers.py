"""Test that a starting process knows which keepers are gone for good.

Failure: for two seconds after a restart of all processes, requests of some teams are refused, jobs
do not run, and calls wait for placers. Keepers were replaced for good before the restart. If their
objects in the store stay unchanged, a process that has just started takes every listed keeper for
live.
"""

import random
from typing import Any, cast

import msgspec
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.node.lost_keepers import SILENT_MS, LostKeepers, mark_lost_keepers
from papayapier.node.processes import NODES_PREFIX, NodeList, NodeRecord, Role, register_node
from papayapier.store.api import LOST, Change
from tests.fleet_model import Model
from tests.jobs_world import MemoryStore

SILENT = frozenset({"k3"})


def test_only_long_silence_is_marked_and_once() -> None:
    """Guard against marking a keeper as lost after a short silence, or twice in one silence."""
    lost = LostKeepers()
    assert lost.due(SILENT, 0) == []
    assert lost.due(SILENT, SILENT_MS - 1) == []
    assert lost.due(SILENT, SILENT_MS) == ["k3"]
    lost.on_marked("k3")
    assert lost.due(SILENT, SILENT_MS + 1_000) == []
    assert lost.due(frozenset(), SILENT_MS + 2_000) == []
    assert lost.due(SILENT, SILENT_MS + 3_000) == []
    assert lost.due(SILENT, 2 * SILENT_MS + 3_000) == ["k3"]


class Hub:
    """Fake the peer links of the first hub."""

    class Plan:
        hubs = ("k1", "k2")

    def __init__(self, agreed_live: set[str]) -> None:
        self._agreed_live = agreed_live

    def plan(self) -> "Hub.Plan":
        return self.Plan()

    def silent_hub_candidates(self) -> frozenset[str]:
        return SILENT

    def agreed_live(self) -> frozenset[str]:
        return frozenset(self._agreed_live)


class World:
    def __init__(self, me: str, agreed_live: set[str]) -> None:
        self.time = fake_clock()
        self.memory = MemoryStore()
        self.registered_again: list[str] = []
        self.nodes = NodeList(
            lambda _: None, me="k3", on_lost=lambda: self.registered_again.append("k3")
        )
        for name in ("k1", "k2", "k3"):
            record = NodeRecord(Role.KEEPER, "h", 1, "dc", "r")
            registration = register_node(
                self.memory.store(), self.time.clock, random.Random(1), name, record
            )
            Deferred.fromCoroutine(registration)
        self.read()
        hub = Hub(agreed_live)
        Deferred.fromCoroutine(
            mark_lost_keepers(cast(Any, hub), self.time.clock, self.nodes, self.memory.store(), me)
        )

    def read(self) -> None:
        for key, (version, value) in self.memory.objects.items():
            self.nodes.on_change(Change(key, version, False, value))

    def lost(self) -> list[str]:
        self.read()
        return [member.id for member in self.nodes.members() if member.state == LOST]


def test_first_hub_marks_lost_keepers_if_it_reaches_most() -> None:
    """Guard against marks by hubs that are not the first, or that are disconnected themselves."""
    for me, agreed_live, written in [
        ("k1", {"k1", "k2"}, ["k3"]),
        ("k2", {"k1", "k2"}, []),
        ("k1", {"k1"}, []),
    ]:
        world = World(me, agreed_live)
        for _ in range(8):
            world.time.jump(1_000)
        assert world.lost() == written
        assert world.registered_again == written


def test_returned_keeper_is_no_longer_lost() -> None:
    """Guard against a keeper that stays marked as lost after it has registered again."""
    world = World("k1", {"k1", "k2"})
    for _ in range(8):
        world.time.jump(1_000)
    assert world.lost() == ["k3"]
    record = NodeRecord(Role.KEEPER, "h", 1, "dc", "r")
    world.memory.put(NODES_PREFIX + "k3", msgspec.json.encode(record))
    assert world.lost() == []


def test_starting_process_ignores_lost_keepers() -> None:
    """Guard against a starting process that takes a keeper marked as lost for live."""
    model = Model(61, 12)
    model.run(2_000)
    lost = set(model.hubs("entry-0")[:2])
    model.lose(lost)
    model.members = [
        member._replace(state=LOST) if member.id in lost else member for member in model.members
    ]
    names = list(model.rosters)
    for name in names:
        model.start(name)
        model.list_to(name)
    model.run(400)
    for name in names:
        assert not lost & set(model.hubs(name))
        assert not lost & model.rosters[name].agreed_live(model.now)
    # A keeper whose heartbeats arrive is live again, even if it is marked as lost.
    returned = min(lost)
    model.start(returned)
    model.list_to(returned)
    model.run(2_000)
    assert all(
        returned in model.rosters[name].agreed_live(model.now) for name in names if "keeper" in name
    )
