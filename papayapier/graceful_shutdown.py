"""Shut down an instance gracefully, without aborting requests and in bounded time.

The steps are those of policy.drain. While leaving, the instance continues to serve, and each
answer tells its caller to close the connection. Once the balancer has taken the instance out,
it stops listening and closes connections as soon as they carry no request; a request that
still arrives on one is refused as not run. The shutdown is complete when no connection is
left, because only then has the last answer left this process. Batch work is handed over
concurrently, because other instances can take it over at once.
"""

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from twisted.internet.defer import Deferred, maybeDeferred

from papayapier import events
from papayapier.invariants import Invariant, check_invariant
from papayapier.listen import BACKLOG

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.python.failure import Failure

    from papayapier.clock import Clock
    from papayapier.listen import ListeningPort
    from papayapier.policy.drain import Drain

DRAIN_TICK_MS: Final = 50


class UnfinishedWork(NamedTuple):
    """Count what still keeps an instance from exiting."""

    connections: int
    requests: int
    online: int
    items: int
    handing_over: int

    def is_empty(self) -> bool:
        """Return whether nothing is left."""
        return sum(self) == 0


class ShutdownDeps(NamedTuple):
    """Group the dependencies of a graceful shutdown.

    online_count and item_count return the number of unfinished requests and batch items;
    hand_over hands batch work over to other instances.
    """

    clock: "Clock"
    drain: "Drain"
    listening: "tuple[ListeningPort, ...]"
    online_count: "Callable[[], int]"
    item_count: "Callable[[], int]"
    hand_over: "Callable[[], Awaitable[None]]"


class GracefulShutdown:
    """Run the steps of the graceful shutdown of one instance."""

    def __init__(self, deps: ShutdownDeps) -> None:
        self._deps = deps
        self._handing_over = 0

    async def run(self) -> None:
        """Shut down; return when no work is left, or at the time limit."""
        clock, drain = self._deps.clock, self._deps.drain
        drain.leave(clock.now())
        events.emit(events.PROCESS_LEAVING, **self.count_unfinished()._asdict())
        for port in self._deps.listening:
            port.site.leaving = True
        self._start_hand_over()
        left = await self._wait_drained()
        if not left.is_empty():
            events.emit(events.DRAIN_LIMIT, **left._asdict())
        check_invariant(left.is_empty(), Invariant.DRAIN_WHOLE, **left._asdict())

    def count_unfinished(self) -> UnfinishedWork:
        """Count the work that is not finished."""
        sites = [port.site for port in self._deps.listening]
        return UnfinishedWork(
            connections=sum(len(site.connections) for site in sites),
            requests=sum(site.open_requests() for site in sites),
            online=self._deps.online_count(),
            items=self._deps.item_count(),
            handing_over=self._handing_over,
        )

    def _start_hand_over(self) -> None:
        self._handing_over = 1
        # Not awaited: a store that hangs must not delay the shutdown past its time limit.
        handover = maybeDeferred(Deferred.fromCoroutine, _as_coroutine(self._deps.hand_over))
        handover.addErrback(_log_hand_over_failure)
        handover.addCallback(self._on_handed_over)

    def _on_handed_over(self, _: None) -> None:
        self._handing_over = 0

    async def _wait_drained(self) -> UnfinishedWork:
        clock, drain = self._deps.clock, self._deps.drain
        listening = True
        while True:
            left = self.count_unfinished()
            state = drain.tick(clock.now(), sum(left))
            if state == "stopped":
                return left
            if state == "draining":
                if listening:
                    await stop_listening(self._deps.listening)
                    listening = False
                for port in self._deps.listening:
                    port.site.close_idle()
            await clock.sleep(DRAIN_TICK_MS)


async def stop_listening(listening: "tuple[ListeningPort, ...]") -> None:
    """Close the listening ports, and keep the established connections."""
    for listener in listening:
        # Twisted closes the port in the reactor's next iteration. Callers may have connected
        # by then, and the kernel resets every connection that has not been accepted.
        listener.site.reactor.callLater(0, _accept_pending, listener.handle)
        await maybeDeferred(listener.handle.stopListening)


def _accept_pending(port: Any) -> None:
    """Accept all connections in the backlog of a port."""
    if port.connected:
        port.numberAccepts = BACKLOG
        port.doRead()


async def _as_coroutine(call: "Callable[[], Awaitable[None]]") -> None:
    await call()


def _log_hand_over_failure(failure: "Failure") -> None:
    events.emit(events.HAND_OVER_FAILED, error=repr(failure.value))
