"""Test that the outcome of writes whose answer was lost is determined."""

import random
from collections.abc import Awaitable
from typing import TypeVar

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import FakeClock, fake_clock
from papayapier.store.api import StoreError
from papayapier.store.writes import (
    ALREADY_DELETED,
    SettleDeps,
    create_settled,
    delete_settled,
    update_settled,
)
from tests.fake_store import FakePlatform, Fault

T = TypeVar("T")
LOST = Err(StoreError.LOST)


class Bench:
    """Hold a fake platform, its clock and a Store."""

    def __init__(self) -> None:
        self.fake: FakeClock = fake_clock()
        self.platform = FakePlatform(self.fake.clock)
        self.store = self.platform.store("a")
        self.settling = SettleDeps(self.store, self.fake.clock, random.Random(1))

    def run(self, call: Awaitable[T], for_ms: int = 20_000) -> T:
        """Run a coroutine to its end while time passes."""
        done = started(call)
        end = self.fake.clock.now() + for_ms
        while not done and self.fake.clock.now() < end:
            self.fake.jump(5)
        return done[0]

    def pass_time(self, for_ms: int, step_ms: int = 100) -> None:
        """Advance the time in steps, because a timer set by a timer starts at the step's end."""
        for _ in range(for_ms // step_ms):
            self.fake.jump(step_ms)

    def due(self, in_ms: int = 5_000) -> int:
        return self.fake.clock.now() + in_ms


def started(call: Awaitable[T]) -> list[T]:
    """Start a coroutine; its result is appended to the returned list."""
    done: list[T] = []

    async def finish() -> None:
        done.append(await call)

    Deferred.fromCoroutine(finish())
    return done


@pytest.fixture
def bench() -> Bench:
    return Bench()


@pytest.mark.parametrize("fault", [Fault.LOST_BEFORE, Fault.LOST_AFTER, Fault.LOST_DELAYED])
def test_lost_writes_are_settled(bench: Bench, fault: Fault) -> None:
    for call in ("create", "update", "delete"):
        bench.platform.fail(fault, call, times=2, delay_ms=15)
    created = bench.run(create_settled(bench.settling, "k", b"id1", bench.due()))
    assert isinstance(created, Ok)
    updated = bench.run(update_settled(bench.settling, "k", b"id2", created.ok_value, bench.due()))
    assert isinstance(updated, Ok)
    assert updated.ok_value == bench.platform.objects["k"].version
    gone = bench.run(delete_settled(bench.settling, "k", updated.ok_value, bench.due()))
    assert isinstance(gone, Ok)
    assert "k" not in bench.platform.objects


def test_late_write_cannot_undo_a_settled_one(bench: Bench) -> None:
    # Symptom: an object reverts to a value whose write was reported as failed.
    # Sequence: a write is delayed in transit, its answer is lost, a read shows the old
    # version, the write is reported as failed, and then it takes effect.
    # Cause: the read was treated as proof.
    bench.platform.fail(Fault.LOST_DELAYED, "update", delay_ms=60_000)
    version = bench.run(bench.store.create("k", b"old")).unwrap()
    done = bench.run(update_settled(bench.settling, "k", b"id1", version, bench.due()))
    after = bench.run(bench.store.update("k", b"next", done.unwrap())).unwrap()
    bench.fake.jump(60_000)
    assert bench.platform.objects["k"].value == b"next"
    assert bench.platform.objects["k"].version == after


def test_definite_outcomes_are_returned_unchanged(bench: Bench) -> None:
    bench.run(bench.store.create("k", b"old"))
    stale = bench.run(update_settled(bench.settling, "k", b"id1", 99, bench.due()))
    assert stale == Err(StoreError.CONFLICT)
    bench.platform.down = True
    refused = bench.run(create_settled(bench.settling, "n", b"id2", bench.due()))
    assert refused == Err(StoreError.UNAVAILABLE)


def test_outage_after_a_lost_write_stays_lost(bench: Bench) -> None:
    bench.platform.fail(Fault.LOST_AFTER, "create")
    bench.platform.fail(Fault.UNAVAILABLE, "create", times=1_000)
    due = bench.due(3_000)
    assert bench.run(create_settled(bench.settling, "k", b"id1", due)) == LOST
    assert bench.fake.clock.now() <= due + 5


def test_a_lost_write_of_a_value_that_is_too_large_had_no_effect(bench: Bench) -> None:
    """Guard against a value that is repeated as lost although the store always refuses it."""
    bench.platform.fail(Fault.LOST_BEFORE, "create")
    bench.platform.fail(Fault.TOO_LARGE, "create", times=1_000)
    done = bench.run(create_settled(bench.settling, "k", b"id1", bench.due()))
    assert done == Err(StoreError.TOO_LARGE)


def test_replaced_value_is_not_reported_as_a_conflict(bench: Bench) -> None:
    # Symptom: a writer repeats a change that had taken effect, because it got CONFLICT.
    # Sequence: the write takes effect, its answer is lost, another writer replaces the value.
    # Cause: another value in the store does not prove that the written one was never there.
    version = bench.run(bench.store.create("k", b"old")).unwrap()
    bench.platform.fail(Fault.LOST_AFTER, "update", delay_ms=100)
    done: list[Result[int, StoreError]] = started(
        update_settled(bench.settling, "k", b"id1", version, bench.due())
    )
    written = bench.platform.objects["k"].version
    bench.run(bench.platform.store("b").update("k", b"theirs", written))
    bench.fake.jump(100)
    assert done == [LOST]


def test_repeated_delete_of_a_deleted_object_succeeds(bench: Bench) -> None:
    version = bench.run(bench.store.create("k", b"v")).unwrap()
    bench.platform.fail(Fault.LOST_AFTER, "delete")
    assert bench.run(delete_settled(bench.settling, "k", version, bench.due())) == Ok(
        ALREADY_DELETED
    )
