"""Test reads of jobs through a keeper: the store calls they save, and their fallbacks."""

from collections.abc import Callable
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.jobs.job_service import ResultsPage
from papayapier.node.job_reading import (
    MAX_ANSWER_BYTES,
    SKIP_SILENT_MS,
    make_job_reader,
    serve_reads,
)
from papayapier.peer.messages import Message, ResultsAsk, ResultsTell
from papayapier.peer.open_requests import PeerError
from papayapier.peer.topology import LinkPlan
from papayapier.store.api import StoreError
from tests.jobs_world import JOB, JobServiceWorld, MemoryStore

KEEPERS = ["keeper-1", "keeper-2", "keeper-3"]


class Net:
    """Carry requests of entries to the job services of keepers."""

    def __init__(self, memory: MemoryStore) -> None:
        self.desks = {name: JobServiceWorld(memory) for name in KEEPERS}
        self.handlers: dict[str, Callable[[str, Any], None]] = {}
        self.silent: set[str] = set()
        self.requested: list[str] = []
        self.full_mesh = False
        self._reply: Deferred[Message] | None = None
        for name, world in self.desks.items():
            self._name = name
            serve_reads(cast(Any, self), world.service)

    def plan(self) -> LinkPlan:
        return LinkPlan(frozenset(), False, self.full_mesh)

    def subscribe(self, _kind: type[Message], handler: Callable[[str, Any], None]) -> None:
        self.handlers[self._name] = handler

    def send(self, _peer: str, message: Message) -> bool:
        assert self._reply is not None
        self._reply.callback(message)
        return True

    async def send_request(
        self, peer: str, make: Callable[[int], Message], _limit_ms: int
    ) -> Result[Message, PeerError]:
        self.requested.append(peer)
        if peer in self.silent:
            return Err(PeerError.TIMEOUT)
        self._reply = Deferred()
        self.handlers[peer]("entry", make(1))
        return Ok(await self._reply)


class Entry(JobServiceWorld):
    """An entry that reads through the keepers of a network."""

    def __init__(self, net: Net, memory: MemoryStore) -> None:
        super().__init__(memory)
        read = make_job_reader(cast(Any, net), self.time.clock, lambda: KEEPERS)
        self.service._deps = self.service._deps._replace(read_remote=read)

    def read(self, after: int = 0) -> ResultsPage:
        return self.begin(self.service.results(JOB, after, 0)).end().unwrap()


def test_reads_at_many_entries_cause_one_poll() -> None:
    """Guard against a read of the store for each read of a job at another entry.

    A caller reads a job thirty times within half a second, each time at another entry. Without the
    keeper that is 30 reads of the record and 30 listings of groups; with it, one of each.
    """
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    for _ in range(30):
        assert Entry(net, memory).read().results == []
    assert len(set(net.requested)) == 1
    assert len(memory.calls) == 2


def test_all_keepers_return_new_results_within_a_second() -> None:
    """Guard against a keeper that does not return results that another keeper has returned."""
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    entry = Entry(net, memory)
    assert entry.read().results == []
    net.desks[KEEPERS[0]].has_group(0, "a")
    for world in net.desks.values():
        world.time.jump(1_000)
    assert [result.id for result in entry.read().results] == ["a"]
    assert [result.id for result in entry.read(1).results] == []


def test_silent_keeper_is_skipped() -> None:
    """Guard against failing or slow reads while the keeper of a job does not answer."""
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    net.desks[KEEPERS[0]].has_group(0, "a")
    entry = Entry(net, memory)
    entry.read()
    first = net.requested[0]
    net.silent = {first}
    for _ in range(2):
        assert [result.id for result in entry.read().results] == ["a"]
    assert net.requested[1] == first != net.requested[2]
    entry.time.jump(SKIP_SILENT_MS)
    net.silent = set()
    entry.read()
    assert net.requested[-1] == first


@pytest.mark.parametrize("fault", [StoreError.UNAVAILABLE, StoreError.NOT_FOUND])
def test_failed_read_of_keeper_falls_back_to_store(fault: StoreError) -> None:
    """Guard against reporting a job as missing because the store refuses a keeper."""
    memory = MemoryStore()
    net = Net(memory)
    net.desks[KEEPERS[0]].has_job("a", "b")
    faults = iter([fault])
    memory.fault = lambda _call, _key: next(faults, None)
    assert Entry(net, memory).read().total == 2


def test_full_mesh_reads_the_store_directly() -> None:
    """Guard against reads through keepers in a small fleet."""
    memory = MemoryStore()
    net = Net(memory)
    net.full_mesh = True
    net.desks[KEEPERS[0]].has_job("a", "b")
    assert Entry(net, memory).read().total == 2
    assert net.requested == []


def test_long_results_are_split() -> None:
    """Guard against replies that exceed the maximum frame."""
    memory = MemoryStore()
    net = Net(memory)
    world = net.desks[KEEPERS[0]]
    world.has_job("a", "b", "c")
    world.has_group(0, "a", "b", "c")
    entry = Entry(net, memory)
    assert len(entry.read().results) == 3
    replies: list[Message] = []
    net.send = lambda _peer, message: replies.append(message) or True  # type: ignore[method-assign,func-returns-value]
    long = MAX_ANSWER_BYTES // 2 + 1
    name = net.requested[0]
    view = net.desks[name].service._views[JOB]
    view.results = [result._replace(text="x" * long) for result in view.results]
    net.handlers[name]("entry", ResultsAsk(1, JOB, 0, 0))
    assert isinstance(replies[0], ResultsTell)
    assert [result.id for result in replies[0].results] == ["a"]
    assert replies[0].total == 3
