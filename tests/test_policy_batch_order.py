"""Simulate batch overload, and check how many items are done in time."""

import random
from collections.abc import Callable
from typing import NamedTuple

import pytest

from papayapier.policy.batch_order import (
    PUBLISH_MS,
    ItemRank,
    RunTimeEstimator,
    preempted,
    rank_item,
)

DUE_MS = 18_000
EVENTS = 140
EVENT_MS = 23
TICK_MS = 50


class Job(NamedTuple):
    at_ms: int
    items: int


class Item:
    def __init__(self, number: int, due_ms: int, events: int) -> None:
        self.number = number
        self.due_ms = due_ms
        self.size = events
        self.events = 0
        self.ran_ms = 0


Rank = Callable[[RunTimeEstimator, Item, int], object]


def feasible_first(times: RunTimeEstimator, item: Item, now: int) -> object:
    return rank_item(times, item.events, item.due_ms, now)


def by_due(_times: RunTimeEstimator, item: Item, _now: int) -> object:
    return item.due_ms


def simulate(rank: Rank, slots: int, load: float, seconds: int = 60) -> float:
    """Return the share of items done in time, at a load relative to the slots."""
    rand = random.Random(3)
    gap_ms = 10 * EVENTS * EVENT_MS / (slots * load)
    arriving = [Job(int(n * gap_ms), 10) for n in range(int(seconds * 1_000 / gap_ms))]
    times = RunTimeEstimator()
    waiting: list[Item] = []
    running: list[Item] = []
    total = in_time = 0
    for now in range(0, seconds * 1_000 + DUE_MS, TICK_MS):
        while arriving and arriving[0].at_ms <= now:
            job = arriving.pop(0)
            for _ in range(job.items):
                size = max(10, int(rand.gauss(EVENTS, EVENTS / 4)))
                waiting.append(Item(total, job.at_ms + DUE_MS, size))
                total += 1
        for item in list(running):
            item.ran_ms += TICK_MS
            item.events = item.ran_ms // EVENT_MS
            if item.events >= item.size:
                running.remove(item)
                times.on_done(item.size, item.ran_ms)
                in_time += now + PUBLISH_MS <= item.due_ms
        waiting += running
        waiting.sort(key=lambda item: (rank(times, item, now), item.number))
        running, waiting = waiting[:slots], waiting[slots:]
    return in_time / total


def test_most_items_are_in_time_in_overload() -> None:
    """Guard against items that all finish just after their due time in overload.

    For a minute 1.7 times as many items arrive as the slots can run: 0.37 are in time in order of
    due time, 0.65 with those first that can still be in time.
    """
    assert simulate(by_due, 40, 1.7) < 0.45
    assert simulate(feasible_first, 40, 1.7) > 0.6


def test_all_items_are_in_time_without_overload() -> None:
    """Guard against late items where the slots suffice."""
    assert simulate(feasible_first, 40, 0.9) == 1.0


@pytest.mark.parametrize(
    ("events", "now", "late"),
    [(0, 0, False), (0, 15_000, True), (130, 17_000, False), (200, 17_900, True)],
)
def test_item_that_cannot_be_in_time_is_late(events: int, now: int, late: bool) -> None:
    """Guard against a wrong estimate of the remaining run time."""
    times = RunTimeEstimator()
    times.on_done(EVENTS, EVENTS * EVENT_MS)
    assert rank_item(times, events, DUE_MS, now).late is late


def test_no_item_is_late_early_without_estimate() -> None:
    """Guard against late items while no run time is known."""
    times = RunTimeEstimator()
    times.on_done(0, 5)
    assert not rank_item(times, 0, DUE_MS, DUE_MS - PUBLISH_MS).late


def test_late_runs_are_preempted_first() -> None:
    """Guard against preempting runs that can be in time before late ones."""
    runs = [
        (ItemRank(False, 9_000), "soon"),
        (ItemRank(False, 30_000), "much time"),
        (ItemRank(True, 2_000), "late"),
    ]
    assert preempted(runs, 1) == ["late"]
    assert preempted(runs, 2) == ["late", "much time"]
