"""Test the store's call budget, and following objects and the instance list."""

import random
from collections.abc import Callable

import logbook
import pytest
from result import Err, Ok

from papayapier.settings import PlatformSettings
from papayapier.store.api import LEAVING, Change, StoreError
from papayapier.store.breaker import FAILURES_UNTIL_DOWN
from papayapier.store.bucket import TokenBucket
from papayapier.store.budget import Budget, Priority, make_budget
from papayapier.store.members import MemberFollower, MemberReporter, MembersChanged
from papayapier.store.watch import SHORT_GAP_MS, Follower, FollowIntervals
from tests.fake_store import Fault, make_member
from tests.test_store import Bench, started

PLATFORM = PlatformSettings("127.0.0.1", 1, reads_per_s=100, writes_per_s=20)


@pytest.fixture
def bench() -> Bench:
    return Bench()


def make_budgets(bench: Bench, count: int) -> list[Budget]:
    return [
        make_budget(bench.platform.store(str(i)), bench.fake.clock, random.Random(i), PLATFORM)
        for i in range(count)
    ]


def test_calls_get_permits_by_priority(bench: Bench) -> None:
    bucket = TokenBucket(bench.fake.clock, 20)
    order: list[str] = []

    async def call(name: str, priority: Priority) -> None:
        assert await bucket.acquire(priority, 5_000)
        order.append(name)

    for _ in range(2):
        started(call("burst", Priority.BULK))
    for name, priority in (("bulk", Priority.BULK), ("claim", Priority.CLAIM)):
        started(call(name, priority))
    started(call("lease", Priority.LEASE))
    bench.pass_time(1_000)
    assert order == ["burst", "burst", "lease", "claim", "bulk"]


def test_call_without_a_permit_is_limited(bench: Bench) -> None:
    (budget,) = make_budgets(bench, 1)
    bulk = budget.view(Priority.BULK)
    outcomes = [started(bulk.create(f"k{i}", b"")) for i in range(100)]
    bench.pass_time(5_000)
    assert outcomes.count([Err(StoreError.LIMITED)]) == 100 - len(bench.platform.objects)
    # Two seconds of waiting at 20 per second, after a burst of two.
    assert len(bench.platform.objects) == pytest.approx(42, abs=2)


def test_refused_sizes_do_not_stop_other_calls(bench: Bench) -> None:
    """Guard against values that are too large and make the store look down to all other calls."""
    (budget,) = make_budgets(bench, 1)
    bench.platform.fail(Fault.TOO_LARGE, "create", times=FAILURES_UNTIL_DOWN)
    bulk = budget.view(Priority.BULK)
    refused = [started(bulk.create(f"k{i}", b"")) for i in range(FAILURES_UNTIL_DOWN)]
    bench.pass_time(1_000)
    assert refused == [[Err(StoreError.TOO_LARGE)]] * FAILURES_UNTIL_DOWN
    assert budget.down_since() is None
    assert isinstance(bench.run(budget.view(Priority.LEASE).create("lease", b"")), Ok)


def test_calls_stop_in_an_outage_and_resume_slowly(bench: Bench) -> None:
    # Symptom: the platform fails again as soon as it recovers.
    # Sequence: an outage; every instance queues calls; the first answer releases all of them.
    # Cause: a rate limit alone lets a full burst through at once.
    budgets = make_budgets(bench, 6)
    stores = [budget.view(Priority.BULK) for budget in budgets]

    def send_updates(for_ms: int) -> int:
        before = bench.platform.calls["update"]
        for _ in range(for_ms // 40):
            for store in stores:
                started(store.update("k", b"", 1))
            bench.fake.jump(40)
        return bench.platform.calls["update"] - before

    bench.platform.down = True
    send_updates(1_000)
    assert all(budget.down_since() is not None for budget in budgets)
    assert send_updates(20_000) < 6 * 20
    bench.platform.down = False
    send_updates(8_000)
    assert all(budget.down_since() is None for budget in budgets)
    bench.platform.down = True
    send_updates(3_000)
    bench.platform.down = False
    first, later = send_updates(1_000), send_updates(15_000) / 15
    assert first < 6 * 20 * 0.4
    assert later > 6 * 20 * 0.5


def test_down_and_up_events_come_in_pairs(bench: Bench) -> None:
    (budget,) = make_budgets(bench, 1)
    store = budget.view(Priority.CONFIG)
    handler = logbook.TestHandler()
    with handler.applicationbound():
        bench.platform.down = True
        for _ in range(20):
            assert bench.run(store.get("k")) == Err(StoreError.UNAVAILABLE)
            bench.fake.jump(100)
        bench.platform.down = False
        bench.pass_time(10_000)
        assert bench.run(store.get("k")) == Err(StoreError.NOT_FOUND)
    names = [record.extra["event"].name for record in handler.records]
    assert names == ["store_down", "store_up"]


def follow(
    bench: Bench,
    reported: list[Change],
    on_seen: Callable[[Change], None] = lambda _change: None,
    watch_ms: int = 10_000,
) -> Follower:
    follower = Follower(
        bench.store,
        bench.fake.clock,
        random.Random(2),
        "p/",
        reported.append,
        FollowIntervals(watch_ms, poll_ms=2_000),
        on_seen=on_seen,
    )
    follower.start()
    return follower


def test_follower_reports_changes_and_deletions(bench: Bench) -> None:
    bench.run(bench.store.create("p/a", b""))
    reported: list[Change] = []
    follower = follow(bench, reported)
    bench.run(bench.store.create("q/other", b""))
    bench.run(bench.store.update("p/a", b"", 1))
    bench.run(bench.store.delete("p/a", 3))
    bench.run(bench.store.create("p/a", b""))
    expected = [(1, False), (3, False), (4, True), (5, False)]
    assert [(change.version, change.deleted) for change in reported] == expected
    bench.pass_time(9_000)
    assert len(reported) == len(expected)
    follower.stop()
    bench.run(bench.store.update("p/a", b"", 5))
    assert len(reported) == len(expected)


def test_poll_finds_changes_that_a_silent_watch_misses(bench: Bench) -> None:
    # Symptom: a change is accepted and one instance never applies it.
    # Sequence: the watch's connection becomes silent; nothing fails for ten seconds.
    # Cause: no answer looks the same as no change.
    reported: list[Change] = []
    bench.run(bench.store.create("p/a", b""))
    bench.run(bench.store.create("p/b", b""))
    follower = follow(bench, reported)
    bench.platform.fail(Fault.SLOW, "watch", delay_ms=60_000)
    bench.run(bench.store.update("p/a", b"", 1))
    bench.run(bench.store.delete("p/b", 2))
    bench.pass_time(2_000)
    assert [(c.key, c.version, c.deleted) for c in reported[2:]] == [
        ("p/a", 3, False),
        ("p/b", 4, True),
    ]
    follower.stop()


def test_follower_lists_again_and_never_reports_an_older_version(bench: Bench) -> None:
    reported: list[Change] = []
    bench.run(bench.store.create("p/a", b""))
    # An old listing arrives late, and the history that the watch needs has been dropped.
    bench.platform.fail(Fault.SLOW_ANSWER, "list", delay_ms=5_000)
    follower = follow(bench, reported)
    for version in (1, 2):
        bench.run(bench.store.update("p/a", b"", version))
    bench.pass_time(2_000)
    bench.run(bench.store.delete("p/a", 3))
    bench.platform.forget_history()
    bench.pass_time(10_000)
    versions = [change.version for change in reported]
    assert versions == sorted(versions)
    assert reported[-1].deleted
    assert bench.platform.calls["list"] < 20
    follower.stop()


def test_cut_watches_do_not_make_a_busy_loop(bench: Bench) -> None:
    bench.platform.fail(Fault.UNAVAILABLE, "watch", times=1_000)
    follower = follow(bench, [])
    bench.pass_time(60_000)
    assert bench.platform.calls["watch"] < 30
    follower.stop()


def test_members_are_followed_and_reported(bench: Bench) -> None:
    reported: list[MembersChanged] = []
    follower = MemberFollower(bench.store, bench.fake.clock, random.Random(3), reported.append)
    follower.start()
    reporter = MemberReporter(bench.store, bench.fake.clock, random.Random(4), make_member("e1"))
    reporter.start()
    bench.pass_time(1_000)
    reporter.mark_leaving()
    bench.pass_time(1_000)
    bench.platform.down = True
    bench.pass_time(10_000)
    bench.platform.down = False
    bench.pass_time(10_000)
    assert bench.run(reporter.withdraw())
    bench.pass_time(1_000)
    assert reported == [
        MembersChanged([make_member("e1")], []),
        MembersChanged([make_member("e1", LEAVING)], []),
        MembersChanged([], ["e1"]),
    ]
    assert bench.platform.instances == {}
    follower.stop()


def test_reports_continue_after_a_failure(bench: Bench) -> None:
    bench.platform.fail(Fault.LOST_BEFORE, "report", times=3)
    reporter = MemberReporter(bench.store, bench.fake.clock, random.Random(4), make_member("e1"))
    reporter.start()
    bench.pass_time(1_000)
    assert "e1" in bench.platform.instances
    bench.pass_time(10_000)
    assert bench.platform.calls["report"] >= 7
    reporter.stop()


def test_a_follower_catches_up_with_a_change_that_its_watch_has_not_reported(bench: Bench) -> None:
    """Guard against a decision by a list that is older than the request it is about."""
    reported: list[Change] = []
    follower = follow(bench, reported)
    bench.platform.fail(Fault.SLOW, "watch", delay_ms=60_000)
    for key in ("p/a", "p/b"):
        bench.run(bench.store.create(key, b""))
    assert reported == []
    assert bench.run(follower.catch_up(bench.store))
    assert [change.key for change in reported] == ["p/a", "p/b"]
    bench.platform.down = True
    assert not bench.run(follower.catch_up(bench.store))
    follower.stop()


def test_changes_during_an_outage_of_the_watch_are_seen_afterwards(bench: Bench) -> None:
    """Guard against an object that came and went while the watch was interrupted."""
    seen: list[Change] = []
    follower = follow(bench, [], seen.append)
    assert follower.complete_since_ms() is not None
    complete_since_ms = follower.complete_since_ms()
    bench.pass_time(SHORT_GAP_MS + 100)
    bench.platform.fail(Fault.UNAVAILABLE, "watch")
    bench.run(bench.store.create("p/other", b""))
    bench.run(bench.store.create("p/a", b""))
    bench.run(bench.store.delete("p/a", 2))
    bench.pass_time(20_000)
    assert [(change.key, change.deleted) for change in seen if change.key == "p/a"] == [
        ("p/a", False),
        ("p/a", True),
    ]
    assert follower.complete_since_ms() == complete_since_ms
    follower.stop()


def test_a_store_that_forgets_its_history_does_not_end_that_of_a_follower(bench: Bench) -> None:
    """Guard against all instances losing their knowledge where the store compacts its history."""
    follower = follow(bench, [])
    complete_since_ms = follower.complete_since_ms()
    bench.pass_time(30_000)
    bench.run(bench.store.create("p/a", b""))
    bench.pass_time(100)
    bench.platform.fail(Fault.UNAVAILABLE, "watch")
    bench.run(bench.store.create("p/b", b""))
    bench.platform.forget_history()
    bench.pass_time(1_000)
    assert follower.complete_since_ms() == complete_since_ms
    follower.stop()


def test_changes_that_are_forgotten_begin_a_new_history(bench: Bench) -> None:
    """Guard against a history that counts as complete although changes in it were never read."""
    follower = follow(bench, [])
    complete_since_ms = follower.complete_since_ms()
    assert complete_since_ms is not None
    bench.pass_time(SHORT_GAP_MS + 100)
    bench.platform.fail(Fault.UNAVAILABLE, "watch")
    for key in ("p/a", "p/b"):
        bench.run(bench.store.create(key, b""))
    bench.platform.forget_history()
    bench.pass_time(20_000)
    began_again_ms = follower.complete_since_ms()
    assert began_again_ms is not None
    assert began_again_ms > complete_since_ms
    follower.stop()
