"""Queue online requests, start them in the order the admission policy gives, and end them.

The queue's owner is OnlineDispatch; a request waits on a Deferred of its own. Whatever ends
the wait (start, refusal, caller gone) first takes the ticket out of the queue, so that
"not run" cannot be contradicted by a later start.
"""

from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import MS_PER_S
from papayapier.dispatch.attempts import send_until_answered
from papayapier.dispatch.caller_limits import CallerLimits
from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.invariants import Promise, check
from papayapier.policy.admission import Waiting
from papayapier.policy.routing import free_calls

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.clock import Timer
    from papayapier.dispatch.api import DispatchDeps, OnlineRequest, OnToken
    from papayapier.upstream.api import Reply

TICK_MS: Final = 10
ONE_REQUEST: Final = 1.0
# Longer than a claim usually takes, shorter than any request would notice.
CLAIM_HOLDS_SLOT_MS: Final = 50
NOT_LISTED_RETRY_MS: Final = 1_000

Admission = Result[None, Refusal]


class _Waiter(NamedTuple):
    """Hold who waits for one ticket."""

    fired: Deferred[Admission]
    profile: str


class _Claiming:
    """Count the slots meant for admitted requests whose claims are being written.

    A claim takes some milliseconds, in which nothing shows the slot as taken. Without this
    count, every queued request would be admitted for one free slot. It shows as requests
    that wait in an engine, where no urgent one can overtake them. A claim that takes longer
    than usual no longer holds its slot: while the store is slow, requests that need no claim
    must not wait for those that do.
    """

    def __init__(self) -> None:
        self._began: dict[str, dict[int, int]] = {}

    def add(self, upstream: str, ticket: int, now: int) -> None:
        self._began.setdefault(upstream, {})[ticket] = now

    def remove(self, upstream: str, ticket: int) -> None:
        self._began[upstream].pop(ticket, None)

    def count(self, upstream: str, now: int) -> int:
        began = self._began.get(upstream)
        while began:
            oldest = next(iter(began))
            if now < began[oldest] + CLAIM_HOLDS_SLOT_MS:
                return len(began)
            del began[oldest]
        return 0


class OnlineDispatch:
    """Own the queued and running online requests of one instance.

    make_room is told the replica of each send before it is made.
    """

    def __init__(self, deps: "DispatchDeps", make_room: "Callable[[str], None]") -> None:
        self._deps = deps
        self._make_room = make_room
        self._claiming = _Claiming()
        self._callers = CallerLimits()
        self._waiters: dict[int, _Waiter] = {}
        self._next_ticket = 1
        self._pumping = False
        self._timer: Timer | None = None
        self._running = 0
        deps.metrics.queue_depth.set_function(deps.queue.depth)

    def under_way(self) -> int:
        """Return how many requests are queued or running."""
        return self._running + len(self._waiters)

    def queued_under(self, profile: str) -> int:
        """Return how many queued requests use a profile."""
        return sum(1 for waiter in self._waiters.values() if waiter.profile == profile)

    async def run(
        self,
        req: "OnlineRequest",
        on_token: "OnToken",
        claim: "Callable[[], Awaitable[Result[None, Refusal]]] | None" = None,
    ) -> "Result[Reply, Refusal]":
        """Return the whole answer of a request, or the refusal it gets.

        claim, if given, runs after admission and before the first send; its refusal ends the
        request unsent.
        """
        admitted = await self._admit(req)
        if isinstance(admitted, Err):
            return admitted
        upstream = req.profile.upstream
        started = self._deps.clock.now()
        self._deps.queue.on_started(upstream, ONE_REQUEST, started)
        self._running += 1
        self._callers.running(req.profile, req.caller, 1)
        learnt = ""
        try:
            ended = await self._run(req, on_token, claim)
            if isinstance(ended, Ok):
                learnt = req.profile.name
            return ended
        finally:
            self._running -= 1
            self._callers.running(req.profile, req.caller, -1)
            now = self._deps.clock.now()
            self._deps.queue.on_ended(upstream, ONE_REQUEST, started, now, learnt)
            self.pump()

    async def _run(
        self,
        req: "OnlineRequest",
        on_token: "OnToken",
        claim: "Callable[[], Awaitable[Result[None, Refusal]]] | None",
    ) -> "Result[Reply, Refusal]":
        if claim is not None:
            claimed = await self._claim(req.profile.upstream, claim)
            if isinstance(claimed, Err):
                return claimed
        return await send_until_answered(self._deps, req, on_token, self._make_room)

    async def _claim(
        self, upstream: str, claim: "Callable[[], Awaitable[Result[None, Refusal]]]"
    ) -> Result[None, Refusal]:
        ticket = self._take_ticket()
        self._claiming.add(upstream, ticket, self._deps.clock.now())
        try:
            return await claim()
        finally:
            self._claiming.remove(upstream, ticket)

    async def _admit(self, req: "OnlineRequest") -> Admission:
        now = self._deps.clock.now()
        refusal = self._at_once_refused(req, now)
        if refusal is not None:
            return Err(refusal)
        waiting = self._waiting(req, now)
        offered = self._deps.queue.offer(waiting, now)
        if isinstance(offered, Err):
            return offered
        ticket = waiting.ticket
        waiter: Deferred[Admission] = Deferred(lambda _: self._leave(ticket))
        self._waiters[ticket] = _Waiter(waiter, req.profile.name)
        self._callers.queued(req.profile, req.caller, 1)
        try:
            self.pump()
            admitted = await waiter
        finally:
            self._callers.queued(req.profile, req.caller, -1)
        waited_s = (self._deps.clock.now() - now) / MS_PER_S
        self._deps.metrics.queue_wait.labels(req.profile.name).observe(waited_s)
        return admitted

    def _at_once_refused(self, req: "OnlineRequest", now: int) -> Refusal | None:
        if now >= req.due_ms:
            return not_run(ErrorKind.DEADLINE, "the due time has passed")
        upstream = req.profile.upstream
        if not self._deps.book.usable(upstream, now):
            # Waiting for a replica that is not there would only use up the due time.
            reason = f"upstream {upstream} has no usable replica"
            return not_run(ErrorKind.NO_UPSTREAM, reason, NOT_LISTED_RETRY_MS)
        return self._callers.refusal(req.profile, req.caller)

    def _take_ticket(self) -> int:
        ticket = self._next_ticket
        self._next_ticket += 1
        return ticket

    def _waiting(self, req: "OnlineRequest", now: int) -> Waiting:
        return Waiting(
            ticket=self._take_ticket(),
            caller=req.caller,
            upstream=req.profile.upstream,
            profile=req.profile.name,
            urgency=req.profile.urgency,
            due_ms=req.due_ms,
            cost=ONE_REQUEST,
            enqueued_ms=now,
        )

    def _leave(self, ticket: int) -> None:
        """Take a request whose caller has gone out of the queue."""
        self._deps.queue.leave(ticket)
        self._waiters.pop(ticket, None)

    def pump(self) -> None:
        """Start and refuse whatever can be started or must be refused now."""
        if self._pumping or not self._waiters:
            return
        self._pumping = True
        try:
            self._start_ready()
            self._refuse_late()
        finally:
            self._pumping = False
        self._keep_ticking()

    def _refuse_late(self) -> None:
        now = self._deps.clock.now()
        for waiting in self._deps.queue.expired(now):
            waiter = self._waiters.pop(waiting.ticket, None)
            check(waiter is not None, Promise.NOT_RUN_TRUE, ticket=waiting.ticket)
            if waiter is not None:
                waiter.fired.callback(Err(_late(waiting, now)))

    def _start_ready(self) -> None:
        while self._waiters:
            waiting = self._deps.queue.take(self._deps.clock.now(), self._can_start)
            if waiting is None:
                return
            self._waiters.pop(waiting.ticket).fired.callback(Ok(None))

    def _can_start(self, upstream: str) -> bool:
        """Tell whether the replicas could run one more online request at once."""
        now = self._deps.clock.now()
        free = free_calls(self._deps.book, self._deps.outliers, upstream, now)
        return free >= self._claiming.count(upstream, now) + ONE_REQUEST

    def _keep_ticking(self) -> None:
        if self._timer is None and self._waiters:
            self._timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.pump()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _late(waiting: Waiting, now: int) -> Refusal:
    if now >= waiting.due_ms:
        return not_run(ErrorKind.DEADLINE, "the due time has passed in the queue")
    reason = "the wait would pass the due time"
    return not_run(ErrorKind.OVERLOADED, reason, now - waiting.enqueued_ms)
