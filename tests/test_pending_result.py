"""Test that those who wait for one result do not affect each other."""

from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from papayapier.clock import fake_clock
from papayapier.node.list_catch_up import ListCatchUp
from papayapier.pending_result import PendingResult

WAIT_MS = 1_000


def test_a_waiter_that_is_cancelled_takes_nobody_with_it() -> None:
    """Guard against requests that end together when one of their callers leaves."""
    time = fake_clock()
    source: Deferred[int] = Deferred()
    pending = PendingResult(time.clock, source)
    waits = [pending.wait(), pending.wait_at_most(WAIT_MS), pending.wait_at_most(WAIT_MS)]
    waiting: list[Any] = [Deferred.fromCoroutine(wait) for wait in waits]
    results: list[Any] = []
    waiting[0].addErrback(lambda failure: failure.trap(CancelledError))
    waiting[1].addErrback(lambda failure: failure.trap(CancelledError))
    waiting[2].addCallback(results.append)
    waiting[0].cancel()
    waiting[1].cancel()
    source.callback(7)
    assert results == [7]
    assert not time.source.calls


def test_a_caller_that_leaves_does_not_end_the_read_of_the_list() -> None:
    """Guard against streams that cannot be resumed since another caller left meanwhile."""
    time = fake_clock()
    list_catch_up = ListCatchUp(time.clock)
    waiting: list[Any] = [Deferred.fromCoroutine(list_catch_up.run()) for _ in range(2)]
    waiting[0].addErrback(lambda failure: failure.trap(CancelledError))
    results: list[bool] = []
    waiting[1].addCallback(results.append)
    waiting[0].cancel()
    time.run_for(WAIT_MS)
    assert results == [False]
