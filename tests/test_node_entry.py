"""Test when an entry may report a job as missing, and how long first requests wait."""

from typing import Any, NamedTuple, cast

import pytest
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, fake_clock
from papayapier.node.entry import (
    LOCAL_JOBS_WRITTEN_MS,
    MAX_STARTUP_WAIT_MS,
    _local_jobs_written,
    _Readiness,
)

STARTED_MS = 50_000
# After the longest wait for a start.
LATER_MS = STARTED_MS + 2 * MAX_STARTUP_WAIT_MS


class Outages:
    def __init__(self, back_ms: int | None) -> None:
        self._back_ms = back_ms

    def last_return_ms(self) -> int | None:
        return self._back_ms


class Base(NamedTuple):
    clock: Clock
    outage_tracker: Outages


@pytest.mark.parametrize(
    ("back", "after_ms", "expected"),
    [
        # The store is unreachable: keepers may have stored the job.
        (None, 60_000, False),
        # No outage is known, but the process has just started.
        (0, LOCAL_JOBS_WRITTEN_MS - 1, False),
        (0, LOCAL_JOBS_WRITTEN_MS, True),
        # The store has returned just now, and long enough ago.
        (STARTED_MS + 9_000, 9_000 + LOCAL_JOBS_WRITTEN_MS - 1, False),
        (STARTED_MS + 9_000, 9_000 + LOCAL_JOBS_WRITTEN_MS, True),
    ],
)
def test_job_is_missing_only_if_no_disk_can_store_it(
    back: int | None, after_ms: int, expected: bool
) -> None:
    """Guard against telling a caller that its accepted job does not exist.

    The job was stored on keepers' disks during an outage; the store has returned and all processes
    have restarted. An entry that has just started does not know that the store was unreachable.
    """
    time = fake_clock()
    time.jump(STARTED_MS - time.clock.now())
    base = cast(Any, Base(time.clock, Outages(back)))
    time.jump(after_ms)
    assert _local_jobs_written(base, STARTED_MS) is expected


class Fleet(NamedTuple):
    """Hold what a process knows about its peers just after its start."""

    processes: int
    hubs: int
    queue: bool = True
    losses_known: bool = True


@pytest.mark.parametrize(
    ("fleet", "waits"),
    [
        (Fleet(84, 0), True),
        (Fleet(84, 1), False),
        # No process is known yet.
        (Fleet(0, 0), True),
        # No peer has reported replica losses, and a peer may know of some.
        (Fleet(84, 1, losses_known=False), True),
        (Fleet(2, 0, losses_known=False), True),
        (Fleet(1, 0, losses_known=False), False),
        # Each instance places its own calls.
        (Fleet(10, 0), False),
        (Fleet(84, 0, queue=False), False),
    ],
)
def test_first_requests_wait_for_peers_state(fleet: Fleet, waits: bool) -> None:
    """Guard against routing the first requests after a start without the peers' state.

    After a loss of all machines each entry would place its share of the backlog by itself and fill
    the replicas' own queues, and a starting entry would send requests that have crashed replicas.
    """
    time = fake_clock()

    class Part:
        pass

    base: Any = Part()
    for name in (
        "drain",
        "routing",
        "replicas",
        "placement_deps",
        "nodes",
        "cfg",
        "loss_exchange",
    ):
        setattr(base, name, Part())
    base.clock = time.clock
    base.drain.state = lambda: "serving"
    base.routing.table = lambda: object()
    base.replicas.listed = lambda: [object()]
    base.placement_deps.queue = fleet.queue
    base.placement_deps.hubs = lambda: ["hub"] * fleet.hubs
    base.loss_exchange.has_known_losses = lambda: fleet.losses_known
    base.nodes.count = lambda: fleet.processes
    base.cfg.peer = Part()
    base.cfg.peer.full_mesh = 16
    finished: list[None] = []
    waiting = _Readiness(base, cast(Any, None)).wait_until_routable(LATER_MS)
    Deferred.fromCoroutine(cast(Any, waiting)).addCallback(finished.append)
    assert bool(finished) is not waits
    time.jump(MAX_STARTUP_WAIT_MS)
    assert finished
