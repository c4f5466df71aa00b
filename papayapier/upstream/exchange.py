"""Run one HTTP exchange with a replica, and end it in time whatever the replica does.

An exchange has one timer. Bytes only note the time at which they came; when the timer
fires it looks at that note and either ends the exchange or sets itself again. So a stream
costs no timer per token.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.settings import UpstreamSettings
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.pool import ReplicaPool


class Outgoing(NamedTuple):
    """Describe the request; due_ms is on the monotonic clock."""

    method: str
    path: str
    headers: Headers
    body: bytes
    due_ms: int
    fresh: bool


class Head(NamedTuple):
    """Hold what came before the body."""

    status: int
    headers: Headers
    at_ms: int


class Fault(NamedTuple):
    """Say why what was received is not an answer."""

    kind: FailureKind
    reason: str
    status: int = 0


class Sink(NamedTuple):
    """Take the answer as it comes; a Fault ends the exchange.

    on_end is told whether the length of the body was declared, and so is known to be whole.
    """

    on_head: Callable[[Head], Fault | None]
    on_data: Callable[[bytes, int], Fault | None]
    on_end: Callable[[bool], Fault | None]


class Phase(Enum):
    """Name the parts of an exchange that have a time limit of their own."""

    CONNECTING = "connecting"
    WAITING = "waiting"
    RECEIVING = "receiving"
    ENDED = "ended"


class Exchange(Protocol):
    """Hold the state of one exchange; done fires once, also when cancelled."""

    def __init__(
        self,
        clock: Clock,
        cfg: UpstreamSettings,
        pool: ReplicaPool,
        replica: Replica,
        out: Outgoing,
        sink: Sink,
    ) -> None:
        self._clock = clock
        self._cfg = cfg
        self._pool = pool
        self._replica = replica
        self._out = out
        self._sink = sink
        self._lease = pool.lease(self._on_taken)
        self._phase = Phase.CONNECTING
        self._since_ms = int(clock.now())
        self._timer: Timer | None = None
        self._request: Deferred[Any] | None = None
        self.sent = Sent.NO
        self.done: Deferred[Result[None, Failure]] = Deferred(lambda _: self._cancel())

    def start(self) -> None:
        """Send the request."""
        self._arm()
        out = self._out
        agent: Any = self._pool.agent(self._lease, out.fresh)
        url = f"http://{self._replica.host}:{self._replica.port}{out.path}".encode()
        body: Any = _Body(out.body) if out.body else None
        try:
            self._request = agent.request(out.method.encode(), url, out.headers, body)
        except ValueError as exc:
            self._end(Fault(FailureKind.BROKEN, f"request cannot be written: {exc}"))
            return
        self._request.addCallbacks(self._on_response, self._on_request_failed)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._phase is Phase.ENDED:
            return
        self._since_ms = int(self._clock.now())
        fault = self._sink.on_data(data, self._since_ms)
        if fault is not None:
            self._end(fault)

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        if self._phase is Phase.ENDED:
            return
        if reason.check(ResponseDone):
            self._end(self._sink.on_end(True))
        elif reason.check(PotentialDataLoss):
            self._end(self._sink.on_end(False))
        else:
            self._end(Fault(FailureKind.CUT, f"body cut short: {_why(reason)}"))

    def _on_taken(self) -> None:
        self.sent = Sent.MAYBE
        self._enter(Phase.WAITING)

    def _on_response(self, response: Any) -> None:
        if self._phase is Phase.ENDED:
            return
        self._enter(Phase.RECEIVING)
        fault = self._sink.on_head(Head(response.code, response.headers, self._since_ms))
        if fault is not None:
            self._end(fault)
            return
        response.deliverBody(self)

    def _on_request_failed(self, reason: Any) -> None:
        if self._phase is Phase.ENDED:
            return
        if self.sent is Sent.NO:
            self._end(Fault(FailureKind.CONNECT, _why(reason)))
        else:
            self._end(Fault(FailureKind.CUT, f"no answer: {_why(reason)}"))

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        self._since_ms = int(self._clock.now())
        self._arm()

    def _limit_ms(self) -> int:
        if self._phase is Phase.CONNECTING:
            return self._cfg.connect_timeout_ms
        if self._phase is Phase.WAITING:
            return self._cfg.first_byte_ms
        return self._cfg.progress_ms

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        at_ms = min(self._since_ms + self._limit_ms(), self._out.due_ms)
        self._timer = self._clock.call_later(at_ms - self._clock.now(), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now_ms = self._clock.now()
        if now_ms >= self._out.due_ms:
            self._end(Fault(FailureKind.DUE, "due time has passed"))
        elif now_ms < self._since_ms + self._limit_ms():
            self._arm()
        elif self._phase is Phase.CONNECTING:
            self._end(Fault(FailureKind.CONNECT, "connecting took too long"))
        else:
            self._silent()

    def _silent(self) -> None:
        events.emit(
            events.CONNECTION_CONDEMNED,
            replica=self._replica.id,
            phase=self._phase.value,
            fresh=self._lease.fresh,
        )
        if not self._lease.fresh:
            self._pool.retire()
        self._end(Fault(FailureKind.SILENT, f"no bytes while {self._phase.value}"))

    def _cancel(self) -> None:
        self._end(Fault(FailureKind.CANCELLED, "cancelled"))

    def _end(self, fault: Fault | None) -> None:
        if self._phase is Phase.ENDED:
            return
        self._phase = Phase.ENDED
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if fault is None:
            self.done.callback(Ok(None))
            return
        self._lease.condemn()
        if self._lease.protocol is None and self._request is not None:
            self._request.cancel()
        self.done.callback(
            Err(Failure(fault.kind, self.sent, fault.reason, fault.status, self._lease.fresh))
        )


class _Body:
    """Write a body that is already in memory."""

    __slots__ = ("_body", "length")

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass


def _why(reason: Any) -> str:
    """Return the innermost reason of twisted's nested request failures."""
    inner = reason
    while getattr(inner.value, "reasons", None):
        inner = inner.value.reasons[0]
    return f"{inner.type.__name__}: {inner.getErrorMessage()}"
