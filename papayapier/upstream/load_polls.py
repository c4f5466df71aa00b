"""Poll the load reports of a changing set of replicas.

Each replica is polled a jittered interval after its last answer, so that at most one request to
it is pending and a slow replica is polled less often. A plain service whose load meanwhile
arrived with the answer to a call is not polled: that report is free, while polls are most of
the work of an idle instance. An engine is polled anyway, because only the polled report
contains its step time, by which batch work is bounded; the gaps between tokens that an instance
observes are too irregular for that. Polling idle replicas also keeps a connection to each in
use, which reveals early that connections to it are dead.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Final, NamedTuple

from result import Ok, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure as TwistedFailure

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.upstream.api import Failure, Load, Replica

JITTER: Final = 0.2

ReadLoad = Callable[[Replica], Awaitable[Result[Load, Failure]]]
GetLastReportMs = Callable[[Replica], int]


class LoadPollHandlers(NamedTuple):
    """Group the callbacks for the results of polls."""

    on_load: Callable[[Replica, Load], None]
    on_failure: Callable[[Replica, Failure], None]


class LoadPolls(NamedTuple):
    """Group the functions that control polling.

    poll replaces the set of replicas to poll; close stops all polls.
    """

    poll: Callable[[Sequence[Replica]], None]
    close: Callable[[], None]


def make_load_polls(
    clock: Clock,
    rand: random.Random,
    every_ms: int,
    read_load: ReadLoad,
    on_report: LoadPollHandlers,
    get_last_report_ms: GetLastReportMs = lambda _replica: 0,
) -> LoadPolls:
    """Create the polls, of no replica at first.

    get_last_report_ms returns when a load of the replica was last received with an answer, or 0.
    """
    polls = _Polls(clock, rand, every_ms, read_load, on_report, get_last_report_ms)
    return LoadPolls(polls.poll, partial(polls.poll, ()))


class _Polls:
    """Hold the state of the polls by replica."""

    def __init__(
        self,
        clock: Clock,
        rand: random.Random,
        every_ms: int,
        read_load: ReadLoad,
        on_report: LoadPollHandlers,
        get_last_report_ms: GetLastReportMs,
    ) -> None:
        self._clock = clock
        self._rand = rand
        self._every_ms = every_ms
        self._read_load = read_load
        self._on_report = on_report
        self._get_last_report_ms = get_last_report_ms
        self._polls: dict[Replica, _Poll] = {}

    def poll(self, replicas: Sequence[Replica]) -> None:
        wanted = set(replicas)
        for replica in [known for known in self._polls if known not in wanted]:
            self._polls.pop(replica).stop()
        for replica in replicas:
            if replica not in self._polls:
                self._polls[replica] = poll = _Poll()
                # Spread the first polls, or all replicas would be polled at the same time.
                self._schedule(replica, poll, self._rand.uniform(0, self._every_ms))

    def _schedule(self, replica: Replica, poll: "_Poll", delay_ms: float) -> None:
        poll.timer = self._clock.call_later(delay_ms, partial(self._start, replica, poll))

    def _schedule_next(self, replica: Replica, poll: "_Poll") -> None:
        self._schedule(replica, poll, self._every_ms * self._rand.uniform(1 - JITTER, 1 + JITTER))

    def _start(self, replica: Replica, poll: "_Poll") -> None:
        poll.timer = None
        last_report_ms = self._get_last_report_ms(replica)
        recent = last_report_ms and self._clock.now() - last_report_ms < self._every_ms * (
            1 - JITTER
        )
        if recent and not poll.reports_step_time:
            self._schedule_next(replica, poll)
            return
        poll.pending = Deferred.fromCoroutine(self._poll_once(replica, poll))
        poll.pending.addErrback(self._on_failed, replica, poll)

    def _on_failed(self, failure: TwistedFailure, replica: Replica, poll: "_Poll") -> None:
        """Log an unexpected error, and poll the replica again as if it had not answered."""
        if poll.stopped:
            return
        events.emit(events.POLL_FAILED, replica=replica.id, reason=failure.getErrorMessage())
        if poll.timer is None:
            self._schedule_next(replica, poll)

    async def _poll_once(self, replica: Replica, poll: "_Poll") -> None:
        load = await self._read_load(replica)
        poll.pending = None
        if poll.stopped:
            return
        self._schedule_next(replica, poll)
        if isinstance(load, Ok):
            poll.reports_step_time = load.ok_value.step_ms > 0
            self._on_report.on_load(replica, load.ok_value)
        else:
            self._on_report.on_failure(replica, load.err_value)


class _Poll:
    """Hold the timer or the pending request of one replica."""

    __slots__ = ("pending", "reports_step_time", "stopped", "timer")

    def __init__(self) -> None:
        self.pending: Deferred[None] | None = None
        self.stopped = False
        self.reports_step_time = True
        self.timer: Timer | None = None

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.pending is not None:
            self.pending.cancel()
