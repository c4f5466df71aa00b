"""Test that results are listed once and keep their positions when several instances write them.

Guards against an item that is listed at two positions, or a position that changes. This could
happen if two instances run the same job because one wrongly considers the other dead, and responses
to writes are lost, writes take effect late, or calls fail in any order.
"""

import random
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.jobs.commits import CommitDeps, commit, load_groups
from papayapier.jobs.notifications import SentNotifications
from papayapier.jobs.owned_job import OwnedJob
from papayapier.jobs.records import ItemOutcome, groups_prefix, read_group
from papayapier.store.api import StoreError
from tests.jobs_world import BOUND, JOB, MemoryStore, record

NAMES = [f"item-{number}" for number in range(6)]


class Writer:
    """Simulate one instance that runs the job."""

    def __init__(self, memory: MemoryStore, clock: Any, seed: int) -> None:
        self.job = OwnedJob(JOB, record(*NAMES))
        self.deps = CommitDeps(
            clock,
            random.Random(seed),
            memory.store(),
            BOUND,
            lambda _items: None,
            lambda _job, _written: None,
            SentNotifications(),
        )

    def load(self) -> None:
        Deferred.fromCoroutine(load_groups(self.deps, self.job))

    def finish(self, name: str) -> None:
        if name in self.job.items:
            self.job.finish(name, ItemOutcome.DONE)
            Deferred.fromCoroutine(commit(self.deps, self.job))


class TwoWriters(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.time = fake_clock()
        self.memory = MemoryStore()
        self.faults: list[StoreError | None] = []
        self.memory.fault = lambda _call, _key: self.faults.pop(0) if self.faults else None
        self.writers = [Writer(self.memory, self.time.clock, seed) for seed in (1, 2)]
        self.shown: list[str] = []

    @rule(which=st.integers(0, 1), name=st.sampled_from(NAMES))
    def finish(self, which: int, name: str) -> None:
        self.writers[which].finish(name)

    @rule(
        faults=st.lists(
            st.sampled_from([None, StoreError.LOST, StoreError.UNAVAILABLE, StoreError.LIMITED]),
            max_size=4,
        )
    )
    def fail(self, faults: list[StoreError | None]) -> None:
        self.faults = faults

    @rule(ms=st.integers(1, 800))
    def wait(self, ms: int) -> None:
        self.time.jump(ms)

    @rule(which=st.integers(0, 1))
    def restart(self, which: int) -> None:
        self.writers[which] = Writer(self.memory, self.time.clock, which + 10)
        self.writers[which].load()

    def listed(self) -> list[str]:
        keys = sorted(key for key in self.memory.objects if key.startswith(groups_prefix(JOB)))
        groups = [read_group(self.memory.objects[key][1]).unwrap() for key in keys]
        return [result.id for group in groups for result in group.results]

    @invariant()
    def each_item_is_listed_once_and_keeps_its_position(self) -> None:
        listed = self.listed()
        assert len(set(listed)) == len(listed)
        assert listed[: len(self.shown)] == self.shown
        self.shown = listed

    def teardown(self) -> None:
        """Check that all finished items are listed once the store is available again."""
        self.faults = []
        for _ in range(60):
            self.time.jump(300)
        finished = {
            name for writer in self.writers for name in NAMES if name not in writer.job.items
        }
        assert finished <= set(self.listed())
        assert not any(writer.job.unwritten for writer in self.writers)


TwoWriters.TestCase.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
TestTwoWriters = TwoWriters.TestCase
