"""Move a send away from a silent replica, but only once another replica can take it.

A sound replica may fall silent and go on. Ending its answer helps nobody unless the request may be
sent again and a replica has room for it, so that is found first: until then, and for requests that
may not be repeated, the answer stays open until the due time. A replica that does not come back
costs the wait for that time.
"""

from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import CancelledError, Deferred

from papayapier import events

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.metrics import Metrics
    from papayapier.upstream.api import Replica, Silence

# Labels of the metric of silences, and decisions in log lines.
MOVED = "moved"
WAITING = "waiting"
ENDED = "ended"


class SilentSendDeps(NamedTuple):
    """Group the dependencies of one send.

    may_move returns whether the request may be sent again now. find_other returns another replica
    with room for it, or None; on_waiting is called once if the answer stays open. has_ended returns
    whether the replica has certainly ended.
    """

    request_id: str
    replica: "Replica"
    metrics: "Metrics"
    may_move: "Callable[[], bool]"
    find_other: "Callable[[Silence], Awaitable[Replica | None]]"
    on_waiting: "Callable[[Silence], None]"
    has_ended: "Callable[[], bool]"


class SilentSend:
    """Track the silence of one send.

    found is the replica for which it was given up, first_ms how long the first silence was when it
    was noticed.
    """

    __slots__ = (
        "_deps",
        "_has_failed",
        "_search",
        "_searching",
        "_waits",
        "first_ms",
        "found",
        "longest_ms",
    )

    def __init__(self, deps: SilentSendDeps) -> None:
        self._deps = deps
        self._search: Deferred[None] | None = None
        self._searching = False
        self._waits = False
        self._has_failed = False
        self.found: Replica | None = None
        self.first_ms = 0
        self.longest_ms = 0

    def on_silence(self, silence: "Silence") -> None:
        """Look for another replica, unless the request may not be moved."""
        self.first_ms = self.first_ms or silence.silent_ms
        self.longest_ms = max(self.longest_ms, silence.silent_ms)
        if self._deps.has_ended():
            self._log(silence, ENDED, "")
            silence.end()
            return
        if self._searching or self._has_failed:
            return
        if not self._deps.may_move():
            self._wait(silence, "it may not be sent again")
            return
        self._searching = True
        search = Deferred.fromCoroutine(self._move(silence))
        search.addErrback(self._on_failure, silence)
        if self._searching:
            self._search = search

    def close(self) -> None:
        """Stop looking; the send has ended."""
        search, self._search = self._search, None
        if search is not None:
            search.cancel()

    async def _move(self, silence: "Silence") -> None:
        try:
            found = await self._deps.find_other(silence)
        finally:
            self._searching = False
        # Ending the send closes this object, which must not cancel this coroutine.
        self._search = None
        if found is None:
            self._wait(silence, "no other replica has room")
            return
        if not self._deps.may_move():
            self._wait(silence, "it may no longer be sent again")
            return
        # Set first, because ending the send continues the request at once.
        self.found = found
        if silence.end():
            self._log(silence, MOVED, found.id)
        else:
            self.found = None

    def _wait(self, silence: "Silence", reason: str) -> None:
        if self._waits:
            return
        self._waits = True
        self._deps.on_waiting(silence)
        self._log(silence, WAITING, reason)

    def _on_failure(self, failure: Any, silence: "Silence") -> None:
        if failure.check(CancelledError):
            return
        self._has_failed = True
        request_id = self._deps.request_id
        events.emit(events.SEARCH_FAILED, request=request_id, reason=repr(failure.value))
        self._wait(silence, "the search failed")

    def _log(self, silence: "Silence", decision: str, detail: str) -> None:
        self._deps.metrics.silences.labels(self._deps.replica.upstream, decision).inc()
        events.emit(
            events.SEND_SILENT,
            request=self._deps.request_id,
            replica=self._deps.replica.id,
            silent_ms=silence.silent_ms,
            decision=decision,
            detail=detail,
        )
