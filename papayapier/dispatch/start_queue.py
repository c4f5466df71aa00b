"""Queue requests until a replica can run them, in the order of the admission policy.

A request waits on a Deferred of its own. Whatever ends the wait (start, refusal, disconnect of
the caller) first removes the ticket from the queue, so that a request refused as not_run cannot
be started later.
"""

from typing import TYPE_CHECKING, Final, NamedTuple, Protocol, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import MS_PER_S
from papayapier.dispatch.caller_limits import CallerLimits
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.invariants import Invariant, check_invariant
from papayapier.lasting_tasks import call_guarded
from papayapier.policy.admission import QueuedRequest
from papayapier.policy.fair_queue import RANKS
from papayapier.policy.routing import free_capacity

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.clock import Clock, Timer
    from papayapier.config.profiles import Profile
    from papayapier.metrics import Metrics
    from papayapier.policy.admission import AdmissionQueue
    from papayapier.policy.loads import LoadTracker
    from papayapier.policy.outliers import OutlierDetector

T = TypeVar("T")

TICK_MS: Final = 10
REQUEST_COST: Final = 1.0
NO_REPLICA_RETRY_MS: Final = 1_000

Admission = Result[None, Refusal]


class StartRequest(NamedTuple):
    """Describe a request that waits to start; after due_ms it is refused.

    With rank None, the rank of the profile applies.
    """

    profile: "Profile"
    caller: str
    due_ms: int
    rank: int | None = None


class QueueDeps(Protocol):
    """Describe what a queue depends on."""

    @property
    def clock(self) -> "Clock":
        """Return the clock."""

    @property
    def queue(self) -> "AdmissionQueue":
        """Return the policy that decides the order and the refusals."""

    @property
    def load_tracker(self) -> "LoadTracker":
        """Return the load of the replicas."""

    @property
    def outliers(self) -> "OutlierDetector":
        """Return the ejected replicas."""

    @property
    def metrics(self) -> "Metrics":
        """Return the metrics."""


class _Waiter(NamedTuple):
    """Hold the waiting request of one ticket."""

    admission: Deferred[Admission]
    profile: str


class StartQueue:
    """Own the queued and running online requests of one instance.

    reserved returns how many starts at an upstream are decided but not yet counted as open calls;
    queued_at_peer returns whether requests of an upstream are queued at a peer instead.
    """

    def __init__(
        self,
        deps: QueueDeps,
        reserved: "Callable[[str, int], int]" = lambda _upstream, _now: 0,
        queued_at_peer: "Callable[[str], bool]" = lambda _upstream: False,
    ) -> None:
        self._deps = deps
        self._reserved = reserved
        self._queued_at_peer = queued_at_peer
        self._callers = CallerLimits()
        self._waiters: dict[int, _Waiter] = {}
        self._next_ticket = 1
        self._pumping = False
        self._timer: Timer | None = None
        self._running = 0
        deps.metrics.queue_depth.set_function(deps.queue.depth)

    def unfinished_count(self) -> int:
        """Return how many requests are queued or running."""
        return self._running + len(self._waiters)

    def queued_for_profile(self, profile: str) -> int:
        """Return how many queued requests use a profile."""
        return sum(1 for waiter in self._waiters.values() if waiter.profile == profile)

    async def run(
        self,
        request: StartRequest,
        run_request: "Callable[[], Awaitable[Result[T, Refusal]]]",
        learn_duration: bool = True,
    ) -> Result[T, Refusal]:
        """Call run_request once the request is admitted, or return its refusal.

        learn adds the duration of the run to the estimate for later waits, which is right where
        due_ms is the due time of the complete answer.
        """
        admitted = await self._admit(request)
        if isinstance(admitted, Err):
            return admitted
        upstream = request.profile.upstream
        started_ms = self._deps.clock.now()
        self._deps.queue.on_started(upstream, REQUEST_COST, started_ms)
        self._running += 1
        self._callers.running(request.profile, request.caller, 1)
        learnt_profile = ""
        try:
            result = await run_request()
            if learn_duration and isinstance(result, Ok):
                learnt_profile = request.profile.name
            return result
        finally:
            self._running -= 1
            self._callers.running(request.profile, request.caller, -1)
            now = self._deps.clock.now()
            self._deps.queue.on_ended(upstream, REQUEST_COST, started_ms, now, learnt_profile)
            self.pump()

    async def _admit(self, request: StartRequest) -> Admission:
        now = self._deps.clock.now()
        refusal = self._immediate_refusal(request, now)
        if refusal is not None:
            return Err(refusal)
        waiting = self._waiting(request, now)
        offered = self._deps.queue.offer(waiting, now)
        if isinstance(offered, Err):
            return offered
        ticket = waiting.ticket
        waiter: Deferred[Admission] = Deferred(lambda _: self._leave(ticket))
        self._waiters[ticket] = _Waiter(waiter, request.profile.name)
        self._callers.queued(request.profile, request.caller, 1)
        try:
            self.pump()
            admitted = await waiter
        finally:
            self._callers.queued(request.profile, request.caller, -1)
        waited_s = (self._deps.clock.now() - now) / MS_PER_S
        self._deps.metrics.queue_wait.labels(request.profile.name).observe(waited_s)
        return admitted

    def _immediate_refusal(self, request: StartRequest, now: int) -> Refusal | None:
        if now >= request.due_ms:
            return not_run_refusal(ErrorKind.DEADLINE, "the due time has passed")
        upstream = request.profile.upstream
        if not self._deps.load_tracker.usable_replicas(upstream, now):
            # Waiting for a replica that is not listed would only use up the time until due_ms.
            reason = f"upstream {upstream} has no usable replica"
            return not_run_refusal(ErrorKind.NO_UPSTREAM, reason, NO_REPLICA_RETRY_MS)
        return self._callers.refusal(request.profile, request.caller)

    def take_ticket(self) -> int:
        """Return a new unique ticket number."""
        ticket = self._next_ticket
        self._next_ticket += 1
        return ticket

    def _waiting(self, request: StartRequest, now: int) -> QueuedRequest:
        return QueuedRequest(
            ticket=self.take_ticket(),
            caller=request.caller,
            upstream=request.profile.upstream,
            profile=request.profile.name,
            rank=RANKS[request.profile.urgency] if request.rank is None else request.rank,
            due_ms=request.due_ms,
            cost=REQUEST_COST,
            enqueued_ms=now,
        )

    def _leave(self, ticket: int) -> None:
        """Remove a request whose caller has disconnected from the queue."""
        self._deps.queue.remove(ticket)
        self._waiters.pop(ticket, None)

    def pump(self) -> None:
        """Start the requests that can start now, and refuse those that would be late."""
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
            check_invariant(waiter is not None, Invariant.NOT_RUN_TRUE, ticket=waiting.ticket)
            if waiter is not None:
                waiter.admission.callback(Err(_expired_refusal(waiting, now)))

    def _start_ready(self) -> None:
        while self._waiters:
            waiting = self._deps.queue.take(self._deps.clock.now(), self._can_start)
            if waiting is None:
                return
            self._waiters.pop(waiting.ticket).admission.callback(Ok(None))

    def _can_start(self, upstream: str) -> bool:
        """Return whether the replicas could start one more online request now."""
        if self._queued_at_peer(upstream):
            return True
        now = self._deps.clock.now()
        free = free_capacity(self._deps.load_tracker, self._deps.outliers, upstream, now)
        return free >= self._reserved(upstream, now) + REQUEST_COST

    def _keep_ticking(self) -> None:
        if self._timer is None and self._waiters:
            self._timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        call_guarded("start queue", self.pump)
        self._keep_ticking()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _expired_refusal(waiting: QueuedRequest, now: int) -> Refusal:
    if now >= waiting.due_ms:
        return not_run_refusal(ErrorKind.DEADLINE, "the due time has passed in the queue")
    reason = "the wait would pass the due time"
    return not_run_refusal(ErrorKind.OVERLOADED, reason, now - waiting.enqueued_ms)
