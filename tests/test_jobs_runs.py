"""Test which items run, which give way, and what becomes of their runs."""

import random
from typing import TYPE_CHECKING, Any, cast

from result import Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.jobs.records import JobItem, JobRecord
from papayapier.jobs.runs import RunDeps, Runs
from papayapier.jobs.work import Item, JobWork
from papayapier.policy.batch_room import SPARE_SLOTS
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.upstream.api import Failure, Replica
from papayapier.upstream.raw import RawAnswer, RawCall

if TYPE_CHECKING:
    from papayapier.config.route_table import Route

SLOTS = 4
ROOM = SLOTS - SPARE_SLOTS
EVENTS = 100
RUN_MS = 3_000
SOON_MS = 1_000
FAR_MS = 60_000


class Share:
    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class RouteTo:
    attempts = 3

    def __init__(self, upstream: str) -> None:
        self.shares = [Share(upstream)]


class Answer:
    """Stand for a good answer."""

    def good(self) -> bool:
        return True


class World:
    """Hold one instance that runs batch alone, at one replica of each upstream."""

    def __init__(self, *upstreams: str) -> None:
        self.time = fake_clock()
        self.book = LoadBook()
        replicas = [Replica(f"{name}-1", name, "h", 1, "dc") for name in upstreams]
        self.book.on_listed(replicas, (), {one.id: SLOTS for one in replicas})
        outliers = Outliers()
        outliers.on_listed(replicas)
        self.sent: dict[str, Deferred[Any]] = {}
        self.done: list[str] = []
        self.jobs: list[tuple[JobWork, Route]] = []
        self.deps = deps = RunDeps(
            clock=self.time.clock,
            rand=random.Random(1),
            me="a",
            book=self.book,
            outliers=outliers,
            send=self._send,
            head=lambda headers, _replica, _left, _last: headers,
            body=lambda _item: b"",
            request_id=b"X-Request-Id",
            sharing=lambda: ["a"],
            hidden=lambda: (),
            uses_changed=lambda: None,
        )
        self.runs = Runs(deps, lambda work: self.done.append(work.job_id), lambda: None)

    async def _send(
        self, _replica: Replica, call: RawCall, _taker: Any
    ) -> Result[RawAnswer, Failure]:
        self.sent[call.request_id] = Deferred(lambda _: None)
        try:
            sent: Result[RawAnswer, Failure] = await self.sent[call.request_id]
            return sent
        finally:
            del self.sent[call.request_id]

    def job(self, name: str, items: int, due_in_ms: int, upstream: str = "lm") -> JobWork:
        listed = tuple(JobItem(f"{name}-{n}", "/j", {}, "", 10) for n in range(items))
        work = JobWork(name, JobRecord("w", "h", "/j", 0, listed, items))
        work.due_ms = self.time.clock.wall() + due_in_ms
        self.jobs.append((work, cast(Any, RouteTo(upstream))))
        self.jobs.sort(key=lambda job: job[0].due_ms)
        return work

    def learn(self, upstream: str = "lm") -> None:
        """Run one whole item, so that it is known how long items take."""
        (item,) = self.job("first", 1, FAR_MS, upstream).items.values()
        self.pump()
        self.time.advance(RUN_MS)
        self.end(item)
        self.jobs.clear()

    def end(self, one: Item) -> None:
        one.texts = ["x"] * EVENTS
        self.sent[one.item.id].callback(Ok(Answer()))

    def pump(self) -> None:
        self.runs.give_way_and_start(self.jobs)


def test_an_item_that_can_be_done_in_time_goes_first() -> None:
    world = World("lm")
    world.learn()
    world.job("hopeless", 5, SOON_MS)
    world.job("later", 5, FAR_MS)
    world.pump()
    assert sorted(world.sent) == [f"later-{n}" for n in range(ROOM)]


def test_late_items_run_where_nothing_else_waits() -> None:
    world = World("lm")
    world.learn()
    world.job("hopeless", 5, SOON_MS)
    world.pump()
    assert len(world.sent) == ROOM


def test_a_late_run_gives_its_slot_to_an_item_that_can_be_done_in_time() -> None:
    # Symptom: all results come just after they are due, though slots enough were there.
    # Events: items that have no chance took the slots before; a job with time enough comes.
    # Cause: a run kept its slot whatever became of it.
    world = World("lm")
    world.learn()
    world.job("hopeless", ROOM, SOON_MS)
    world.pump()
    world.job("later", 1, FAR_MS)
    world.pump()
    world.pump()
    assert "later-0" in world.sent
    assert len(world.sent) == ROOM


def test_a_full_upstream_holds_up_no_other() -> None:
    # Symptom: items of one service wait while its replicas idle.
    # Cause: the search for room ended at the first item that found none.
    world = World("lm", "app")
    world.job("many", 9, SOON_MS)
    world.job("other", 1, FAR_MS, "app")
    world.pump()
    assert "other-0" in world.sent


def test_the_run_with_the_most_time_gives_way() -> None:
    world = World("lm")
    world.job("urgent", 1, RUN_MS)
    world.job("patient", 1, FAR_MS)
    world.pump()
    assert len(world.sent) == 2
    for _ in range(SLOTS - 1):
        world.book.on_sent("lm-1", False, world.time.clock.now())
    world.pump()
    assert sorted(world.sent) == ["urgent-0"]


def test_a_whole_item_is_finished_once() -> None:
    world = World("lm")
    work = world.job("job", 1, FAR_MS)
    world.pump()
    world.end(work.items["job-0"])
    assert world.done == ["job"]
    assert list(work.unwritten) == ["job-0"]
    assert world.runs.count() == 0
