"""Test reads of jobs through a keeper: what they spare the store, and whom they depend on."""

from collections.abc import Callable
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.jobs.desk import Page
from papayapier.node.job_reading import (
    MAX_ANSWER_CHARS,
    SKIP_SILENT_MS,
    make_job_reader,
    serve_reads,
)
from papayapier.peer.messages import Message, ResultsAsk, ResultsTell
from papayapier.peer.questions import PeerError
from papayapier.peer.topology import Plan
from papayapier.store.api import StoreError
from tests.jobs_world import JOB, DeskWorld, MemoryStore

KEEPERS = ["keeper-1", "keeper-2", "keeper-3"]


class Net:
    """Carry questions of entries to the desks of keepers."""

    def __init__(self, memory: MemoryStore) -> None:
        self.desks = {name: DeskWorld(memory) for name in KEEPERS}
        self.handlers: dict[str, Callable[[str, Any], None]] = {}
        self.silent: set[str] = set()
        self.asked: list[str] = []
        self.full_mesh = False
        self._open: Deferred[Message] | None = None
        for name, world in self.desks.items():
            self._name = name
            serve_reads(cast(Any, self), world.desk)

    def plan(self) -> Plan:
        return Plan(frozenset(), False, self.full_mesh)

    def subscribe(self, _kind: type[Message], handler: Callable[[str, Any], None]) -> None:
        self.handlers[self._name] = handler

    def tell(self, _peer: str, message: Message) -> bool:
        assert self._open is not None
        self._open.callback(message)
        return True

    async def ask(
        self, peer: str, make: Callable[[int], Message], _limit_ms: int
    ) -> Result[Message, PeerError]:
        self.asked.append(peer)
        if peer in self.silent:
            return Err(PeerError.TIMEOUT)
        self._open = Deferred()
        self.handlers[peer]("entry", make(1))
        return Ok(await self._open)


class Entry(DeskWorld):
    """An entry that reads through the keepers of a net."""

    def __init__(self, net: Net, memory: MemoryStore) -> None:
        super().__init__(memory)
        read = make_job_reader(cast(Any, net), self.time.clock, lambda: KEEPERS)
        self.desk._deps = self.desk._deps._replace(elsewhere=read)

    def read(self, after: int = 0) -> Page:
        return self.begin(self.desk.results(JOB, after, 0)).end().unwrap()


def test_reads_at_many_entries_are_one_look_in_a_while() -> None:
    # Load: a caller reads a job thirty times, each time at another entry, within half a second.
    # Before: 30 reads of the record and 30 looks at the store. After: one of each.
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    for _ in range(30):
        assert Entry(net, memory).read().results == []
    assert len(set(net.asked)) == 1
    assert len(memory.calls) == 2


def test_what_one_keeper_has_shown_all_show_a_second_later() -> None:
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    entry = Entry(net, memory)
    assert entry.read().results == []
    net.desks[KEEPERS[0]].has_group(0, "a")
    for world in net.desks.values():
        world.time.advance(1_000)
    assert [one.id for one in entry.read().results] == ["a"]
    assert [one.id for one in entry.read(1).results] == []


def test_an_entry_whose_keeper_is_silent_reads_itself_and_asks_another() -> None:
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    net.desks[KEEPERS[0]].has_group(0, "a")
    entry = Entry(net, memory)
    entry.read()
    first = net.asked[0]
    net.silent = {first}
    for _ in range(2):
        assert [one.id for one in entry.read().results] == ["a"]
    assert net.asked[1] == first != net.asked[2]
    entry.time.advance(SKIP_SILENT_MS)
    net.silent = set()
    entry.read()
    assert net.asked[-1] == first


@pytest.mark.parametrize("fault", [StoreError.UNAVAILABLE, StoreError.NOT_FOUND])
def test_what_a_keeper_cannot_read_is_read_here(fault: StoreError) -> None:
    # A keeper that the store turns away says nothing of the job, neither that it is missing.
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    faults = iter([fault])
    memory.fault = lambda _call, _key: next(faults, None)
    assert Entry(net, memory).read().total == 2


def test_a_full_mesh_reads_at_the_store() -> None:
    memory = MemoryStore()
    net = Net(memory)
    net.full_mesh = True
    net.desks[KEEPERS[0]].has_job("a", "b")
    assert Entry(net, memory).read().total == 2
    assert net.asked == []


def test_long_results_come_in_several_answers() -> None:
    memory = MemoryStore()
    net = Net(memory)
    world = net.desks[KEEPERS[0]]
    world.has_job("a", "b", "c")
    world.has_group(0, "a", "b", "c")
    entry = Entry(net, memory)
    assert len(entry.read().results) == 3
    told: list[Message] = []
    net.tell = lambda _peer, message: told.append(message) or True  # type: ignore[method-assign,func-returns-value]
    long = MAX_ANSWER_CHARS // 2 + 1
    name = net.asked[0]
    view = net.desks[name].desk._views[JOB]
    view.results = [one._replace(text="x" * long) for one in view.results]
    net.handlers[name]("entry", ResultsAsk(1, JOB, 0, 0))
    assert isinstance(told[0], ResultsTell)
    assert [one.id for one in told[0].results] == ["a"]
    assert told[0].total == 3
