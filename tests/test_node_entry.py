"""Test when an entry may say that there is no such job."""

from typing import Any, NamedTuple, cast

import pytest
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, fake_clock
from papayapier.node.entry import BRINGING_MS, MAX_STARTUP_WAIT_MS, _local_jobs_written, _Readiness

STARTED_MS = 50_000


class Outages:
    def __init__(self, back: int | None) -> None:
        self._back = back

    def last_return_ms(self) -> int | None:
        return self._back


class Base(NamedTuple):
    clock: Clock
    outage_tracker: Outages


@pytest.mark.parametrize(
    ("back", "after_ms", "sure"),
    [
        # The store is away: keepers may hold the job.
        (None, 60_000, False),
        # Never away as far as is known, but the process has just started.
        (0, BRINGING_MS - 1, False),
        (0, BRINGING_MS, True),
        # Back for a moment only, and back for long enough.
        (STARTED_MS + 9_000, 9_000 + BRINGING_MS - 1, False),
        (STARTED_MS + 9_000, 9_000 + BRINGING_MS, True),
    ],
)
def test_a_job_is_called_missing_only_when_no_disk_can_hold_it(
    back: int | None, after_ms: int, sure: bool
) -> None:
    # Symptom: a caller is told that its accepted job does not exist, and gives it up.
    # Events: the job was accepted on disks; the store is back and all processes have started.
    # Cause: an entry that has just started does not know that the store was away.
    time = fake_clock()
    time.advance(STARTED_MS - time.clock.now())
    base = cast(Any, Base(time.clock, Outages(back)))
    time.advance(after_ms)
    assert _local_jobs_written(base, STARTED_MS) is sure


class Fleet(NamedTuple):
    """Stand for what a process knows of the others just after its start."""

    processes: int
    hubs: int
    queue: bool = True
    told: bool = True


@pytest.mark.parametrize(
    ("fleet", "waits"),
    [
        (Fleet(84, 0), True),
        (Fleet(84, 1), False),
        # Nobody is known yet.
        (Fleet(0, 0), True),
        # Nobody has told of work that ends replicas, and somebody may know.
        (Fleet(84, 1, told=False), True),
        (Fleet(2, 0, told=False), True),
        (Fleet(1, 0, told=False), False),
        # Each instance places for itself.
        (Fleet(10, 0), False),
        (Fleet(84, 0, queue=False), False),
    ],
)
def test_first_requests_wait_for_what_others_know(fleet: Fleet, waits: bool) -> None:
    # Failure: after a loss of all machines each entry places its part of the backlog by itself,
    # and the replicas' own queues fill; an entry that starts sends work that has ended replicas.
    time = fake_clock()

    class Part:
        pass

    base: Any = Part()
    for name in ("drain", "routing", "replicas", "placement_deps", "nodes", "cfg", "loss_news"):
        setattr(base, name, Part())
    base.clock = time.clock
    base.drain.state = lambda: "serving"
    base.routing.table = lambda: object()
    base.replicas.listed = lambda: [object()]
    base.placement_deps.queue = fleet.queue
    base.placement_deps.hubs = lambda: ["hub"] * fleet.hubs
    base.loss_news.caught_up = lambda: fleet.told
    base.nodes.count = lambda: fleet.processes
    base.cfg.peer = Part()
    base.cfg.peer.full_mesh = 16
    ended: list[None] = []
    known = _Readiness(base, cast(Any, None)).wait_until_routable()
    Deferred.fromCoroutine(cast(Any, known)).addCallback(ended.append)
    assert bool(ended) is not waits
    time.advance(MAX_STARTUP_WAIT_MS)
    assert ended
