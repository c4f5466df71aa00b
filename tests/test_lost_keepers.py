"""Test that whoever starts knows which keepers are gone for good.

Symptom: for two seconds after a start of all, requests of some teams are refused, jobs lie, and
calls wait for placers. Events: keepers were replaced for good before; all processes start again.
Cause: their objects stayed as they were, and who has just started takes whoever is listed for live.
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

GONE = frozenset({"k3"})


def test_only_long_silence_is_written_down_and_once() -> None:
    lost = LostKeepers()
    assert lost.due(GONE, 0) == []
    assert lost.due(GONE, SILENT_MS - 1) == []
    assert lost.due(GONE, SILENT_MS) == ["k3"]
    lost.on_marked("k3")
    assert lost.due(GONE, SILENT_MS + 1_000) == []
    assert lost.due(frozenset(), SILENT_MS + 2_000) == []
    assert lost.due(GONE, SILENT_MS + 3_000) == []
    assert lost.due(GONE, 2 * SILENT_MS + 3_000) == ["k3"]


class Hub:
    """Stand for the peer links of the first hub."""

    class Plan:
        hubs = ("k1", "k2")

    def __init__(self, vouched: set[str]) -> None:
        self._vouched = vouched

    def plan(self) -> "Hub.Plan":
        return self.Plan()

    def lost_hubs(self) -> frozenset[str]:
        return GONE

    def vouched(self) -> frozenset[str]:
        return frozenset(self._vouched)


class World:
    def __init__(self, me: str, vouched: set[str]) -> None:
        self.time = fake_clock()
        self.memory = MemoryStore()
        self.back: list[str] = []
        self.nodes = NodeList(lambda _: None, me="k3", on_lost=lambda: self.back.append("k3"))
        for name in ("k1", "k2", "k3"):
            record = NodeRecord(Role.KEEPER, "h", 1, "dc", "r")
            work = register_node(
                self.memory.store(), self.time.clock, random.Random(1), name, record
            )
            Deferred.fromCoroutine(work)
        self.read()
        hub = Hub(vouched)
        Deferred.fromCoroutine(
            mark_lost_keepers(cast(Any, hub), self.time.clock, self.nodes, self.memory.store(), me)
        )

    def read(self) -> None:
        for key, (version, value) in self.memory.objects.items():
            self.nodes.on_change(Change(key, version, False, value))

    def lost(self) -> list[str]:
        self.read()
        return [one.id for one in self.nodes.members() if one.state == LOST]


def test_the_first_hub_writes_it_where_it_hears_most() -> None:
    for me, vouched, written in [
        ("k1", {"k1", "k2"}, ["k3"]),
        ("k2", {"k1", "k2"}, []),
        ("k1", {"k1"}, []),
    ]:
        world = World(me, vouched)
        for _ in range(8):
            world.time.advance(1_000)
        assert world.lost() == written
        assert world.back == written


def test_who_comes_back_is_lost_no_more() -> None:
    world = World("k1", {"k1", "k2"})
    for _ in range(8):
        world.time.advance(1_000)
    assert world.lost() == ["k3"]
    record = NodeRecord(Role.KEEPER, "h", 1, "dc", "r")
    world.memory.put(NODES_PREFIX + "k3", msgspec.json.encode(record))
    assert world.lost() == []


def test_who_starts_takes_no_lost_keeper_for_live() -> None:
    model = Model(61, 12)
    model.run(2_000)
    lost = set(model.hubs("entry-0")[:2])
    model.lose(lost)
    model.members = [one._replace(state=LOST) if one.id in lost else one for one in model.members]
    names = list(model.rosters)
    for name in names:
        model.start(name)
        model.list_to(name)
    model.run(400)
    for name in names:
        assert not lost & set(model.hubs(name))
        assert not lost & model.rosters[name].vouched(model.now)
    # One that is heard is live again, whatever is written.
    back = min(lost)
    model.start(back)
    model.list_to(back)
    model.run(2_000)
    assert all(back in model.rosters[name].vouched(model.now) for name in names if "keeper" in name)
