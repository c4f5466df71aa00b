"""Poll the load reports of a changing set of replicas.

Each replica is asked again a jittered interval after its last answer, so that at most one
question to it is open and a slow replica is asked less often. A plain service whose load
arrived with the answer to a call meanwhile is not asked: that costs nothing, while polls are
most of what an idle instance does. An engine is asked all the same, because only the
polled report tells its step time, by which batch work is bounded; the gaps between tokens
that an instance sees itself are too uneven for that. The polls of idle replicas also keep a
connection to each in use, and so find out early when connections to it go silent.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Final, NamedTuple

from result import Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure as TwistedFailure

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.upstream.api import Failure, Load, Replica

JITTER: Final = 0.2

ReadLoad = Callable[[Replica], Awaitable[Result[Load, Failure]]]
HeardAt = Callable[[Replica], int]


class OnReport(NamedTuple):
    """Take what the polls find."""

    on_load: Callable[[Replica, Load], None]
    on_failure: Callable[[Replica, Failure], None]


class Reports(NamedTuple):
    """Group the calls that steer the polls.

    poll names the whole set of replicas to be polled from now on; close ends all polls.
    """

    poll: Callable[[Sequence[Replica]], None]
    close: Callable[[], None]


def make_reports(
    clock: Clock,
    rand: random.Random,
    every_ms: int,
    read_load: ReadLoad,
    on_report: OnReport,
    heard_at: HeardAt = lambda _replica: 0,
) -> Reports:
    """Make polls of no replica yet; heard_at tells when a load last arrived, or 0."""
    polls = _Polls(clock, rand, every_ms, read_load, on_report, heard_at)
    return Reports(polls.poll, partial(polls.poll, ()))


class _Polls:
    """Hold what is under way for each polled replica."""

    def __init__(
        self,
        clock: Clock,
        rand: random.Random,
        every_ms: int,
        read_load: ReadLoad,
        on_report: OnReport,
        heard_at: HeardAt,
    ) -> None:
        self._clock = clock
        self._rand = rand
        self._every_ms = every_ms
        self._read_load = read_load
        self._on_report = on_report
        self._heard_at = heard_at
        self._polls: dict[Replica, _Poll] = {}

    def poll(self, replicas: Sequence[Replica]) -> None:
        wanted = set(replicas)
        for replica in [known for known in self._polls if known not in wanted]:
            self._polls.pop(replica).stop()
        for replica in replicas:
            if replica not in self._polls:
                self._polls[replica] = poll = _Poll()
                # The first polls are spread, or all replicas would be asked in one turn.
                self._later(replica, poll, self._rand.uniform(0, self._every_ms))

    def _later(self, replica: Replica, poll: "_Poll", delay_ms: float) -> None:
        poll.timer = self._clock.call_later(delay_ms, partial(self._start, replica, poll))

    def _again(self, replica: Replica, poll: "_Poll") -> None:
        self._later(replica, poll, self._every_ms * self._rand.uniform(1 - JITTER, 1 + JITTER))

    def _start(self, replica: Replica, poll: "_Poll") -> None:
        poll.timer = None
        heard = self._heard_at(replica)
        recent = heard and self._clock.now() - heard < self._every_ms * (1 - JITTER)
        if recent and not poll.tells_steps:
            self._again(replica, poll)
            return
        poll.asking = Deferred.fromCoroutine(self._ask(replica, poll))
        poll.asking.addErrback(_report, replica)

    async def _ask(self, replica: Replica, poll: "_Poll") -> None:
        load = await self._read_load(replica)
        poll.asking = None
        if poll.stopped:
            return
        self._again(replica, poll)
        if isinstance(load, Ok):
            poll.tells_steps = load.ok_value.step_ms > 0
            self._on_report.on_load(replica, load.ok_value)
        else:
            self._on_report.on_failure(replica, load.err_value)


class _Poll:
    """Hold the timer or the open question of one replica."""

    __slots__ = ("asking", "stopped", "tells_steps", "timer")

    def __init__(self) -> None:
        self.asking: Deferred[None] | None = None
        self.stopped = False
        self.tells_steps = True
        self.timer: Timer | None = None

    def stop(self) -> None:
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
        if self.asking is not None:
            self.asking.cancel()


def _report(why: TwistedFailure, replica: Replica) -> None:
    if not isinstance(why.value, CancelledError):
        events.emit(events.POLL_FAILED, replica=replica.id, reason=why.getErrorMessage())
