"""Stop an instance gracefully: cut off no request, and end in bounded time.

The steps are those of policy.drain. While leaving, the instance goes on serving, and each
answer tells its caller to use another connection next time. Once the balancer has noticed,
nothing new is listened for, and connections are closed as soon as no request is on them;
a request that still comes on one is refused as not run. The stop is whole when no connection
is left, because only then has the last answer left this process. Batch work is handed over
at the same time as the rest goes on, since others can take it up at once.
"""

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from twisted.internet.defer import Deferred, maybeDeferred

from papayapier import events
from papayapier.invariants import Promise, check
from papayapier.listen import BACKLOG

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.python.failure import Failure

    from papayapier.clock import Clock
    from papayapier.listen import Listening
    from papayapier.policy.drain import Drain

DRAIN_TICK_MS: Final = 50


class Left(NamedTuple):
    """Count what still keeps an instance from ending."""

    connections: int
    requests: int
    online: int
    items: int
    handing_over: int

    def nothing(self) -> bool:
        """Tell whether nothing is left."""
        return sum(self) == 0


class StopDeps(NamedTuple):
    """Group what a planned stop needs.

    online and items tell what the dispatch has under way; hand_over gives batch work to the
    other instances.
    """

    clock: "Clock"
    drain: "Drain"
    listening: "tuple[Listening, ...]"
    online: "Callable[[], int]"
    items: "Callable[[], int]"
    hand_over: "Callable[[], Awaitable[None]]"


class PlannedStop:
    """Take one instance through the steps of a planned stop."""

    def __init__(self, deps: StopDeps) -> None:
        self._deps = deps
        self._handing_over = 0

    async def run(self) -> None:
        """Return when nothing is left under way, or when the limit has passed."""
        clock, drain = self._deps.clock, self._deps.drain
        drain.leave(clock.now())
        events.emit(events.PROCESS_LEAVING, **self.left()._asdict())
        for one in self._deps.listening:
            one.site.leaving = True
        self._begin_hand_over()
        left = await self._drained()
        if not left.nothing():
            events.emit(events.DRAIN_LIMIT, **left._asdict())
        check(left.nothing(), Promise.DRAIN_WHOLE, **left._asdict())

    def left(self) -> Left:
        """Count what is under way."""
        sites = [one.site for one in self._deps.listening]
        return Left(
            connections=sum(len(site.connections) for site in sites),
            requests=sum(site.open_requests() for site in sites),
            online=self._deps.online(),
            items=self._deps.items(),
            handing_over=self._handing_over,
        )

    def _begin_hand_over(self) -> None:
        self._handing_over = 1
        # Not awaited: a store that hangs must not keep the stop from ending at its limit.
        work = maybeDeferred(Deferred.fromCoroutine, _as_coroutine(self._deps.hand_over))
        work.addErrback(_hand_over_failed)
        work.addCallback(self._handed_over)

    def _handed_over(self, _: None) -> None:
        self._handing_over = 0

    async def _drained(self) -> Left:
        clock, drain = self._deps.clock, self._deps.drain
        listening = True
        while True:
            left = self.left()
            state = drain.tick(clock.now(), sum(left))
            if state == "stopped":
                return left
            if state == "draining":
                if listening:
                    await stop_listening(self._deps.listening)
                    listening = False
                for one in self._deps.listening:
                    one.site.close_idle()
            await clock.sleep(DRAIN_TICK_MS)


async def stop_listening(listening: "tuple[Listening, ...]") -> None:
    """Close the listening ports, and keep the connections that were made."""
    for one in listening:
        # The library closes the port when the reactor next comes round. By then callers may
        # have connected, and the kernel resets every connection that nobody has taken.
        one.site.reactor.callLater(0, _take_waiting, one.handle)
        await maybeDeferred(one.handle.stopListening)


def _take_waiting(port: Any) -> None:
    """Take all connections that the kernel has made for a port."""
    if port.connected:
        port.numberAccepts = BACKLOG
        port.doRead()


async def _as_coroutine(call: "Callable[[], Awaitable[None]]") -> None:
    await call()


def _hand_over_failed(failure: "Failure") -> None:
    events.emit(events.HAND_OVER_FAILED, error=repr(failure.value))
