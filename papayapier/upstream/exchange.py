"""Run one HTTP exchange with a replica within its time limits.

An exchange has one timer. Progress only updates a timestamp; when the timer fires, it compares the
timestamp with the limit and either acts or restarts itself. So a stream needs no timer per token.

Progress is what the reader of the answer can use, not each byte: a replica that sends a byte now
and then is as silent as one that sends none.

A replica may fall silent and go on. A request with on_silence is therefore not ended by silence:
its sender is notified, and decides whether something better can be done than to wait. A new
connection that is not established has carried nothing, and is always given up.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.head_guard import MAX_HEAD_BYTES, find_invalid_answer
from papayapier.invariants import Invariant, check_invariant
from papayapier.settings import UpstreamSettings
from papayapier.upstream.api import Failure, FailureKind, OnSilence, Replica, Sent, Silence
from papayapier.upstream.phases import Fault, make_phases
from papayapier.upstream.pool import ReplicaPool


class OutgoingRequest(NamedTuple):
    """Describe a request; due_ms is monotonic, first_byte_ms of 0 means the settings' limit.

    request_id names it in log lines, if it has one. on_silence is called when the replica is
    silent beyond the limit, and again while it remains so. Without it, silence ends the exchange.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    due_ms: int
    new_connection: bool
    first_byte_ms: int = 0
    request_id: str = ""
    on_silence: OnSilence | None = None


class ResponseHead(NamedTuple):
    """Hold the status and headers of an answer; at_ms is when they were received."""

    status: int
    headers: Headers
    at_ms: int


# Called with bytes of the body and the time at which they were received.
OnData = Callable[[bytes, int], Fault | None]


class AnswerHandler(NamedTuple):
    """Group the callbacks that process a received answer; a Fault ends the exchange.

    on_head returns the callback for the body. on_end is called with True if the body had a
    declared length and is therefore known to be complete. progress returns a number that grows as
    the reader receives what it can use.
    """

    on_head: Callable[[ResponseHead], Result[OnData, Fault]]
    on_end: Callable[[bool], Fault | None]
    progress: Callable[[], int]


ExchangeResult = Result[None, Failure]

# What an answer may have beside its head and body, and a share of the body's size in addition. Each
# chunk costs its reader the same, however short it is.
MAX_FRAMING_BYTES: Final = 65_536
FRAMING_SHARE: Final = 0.25
# Interval between notifications of one silence.
SILENCE_REPEAT_MS: Final = 500

# Events that are logged for failures caused by the replica or by the network path to it.
_FAILURE_EVENTS: Final = {
    FailureKind.TIMED_OUT: events.CONNECTION_CONDEMNED,
    FailureKind.WRONG_ID: events.CONNECTION_CONDEMNED,
    FailureKind.TRUNCATED: events.BROKEN_ANSWER,
    FailureKind.INVALID: events.BROKEN_ANSWER,
}


class Exchange(Protocol):
    """Hold the state of one exchange; done fires exactly once, also after cancellation."""

    def __init__(
        self,
        clock: Clock,
        cfg: UpstreamSettings,
        pool: ReplicaPool,
        replica: Replica,
        outgoing: OutgoingRequest,
        handler: AnswerHandler,
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._replica = replica
        self._outgoing = outgoing
        self._handler = handler
        first_byte_ms = outgoing.first_byte_ms or cfg.first_byte_ms
        self._phases = make_phases(cfg._replace(first_byte_ms=first_byte_ms))
        self._active = True
        self._head_received = False
        self._refused = False
        self._body_started = False
        self._body_bytes = 0
        self._progress = 0
        self._has_progressed = False
        self._sent = Sent.NO
        self._lease = pool.lease(self._before_write)
        self._last_progress_ms = int(clock.now())
        self._last_received_ms = self._last_progress_ms
        self._on_data: OnData = _ignore_data
        self._timer: Timer | None = None
        self._timer_at_ms = 0
        self._request: Deferred[Any] | None = None
        self.done: Deferred[ExchangeResult] = Deferred(lambda _: self.cancel())

    def start(self) -> None:
        """Send the request."""
        if self._last_progress_ms >= self._outgoing.due_ms:
            self._finish(
                Fault(FailureKind.DEADLINE, "the due time passed before the request was sent")
            )
            return
        self._start_timer()
        outgoing = self._outgoing
        agent: Any = self._pool.agent(self._lease, outgoing.new_connection)
        url = f"http://{self._replica.host}:{self._replica.port}{outgoing.path}"
        body = _Body(outgoing.body) if outgoing.body else None
        try:
            self._request = agent.request(
                outgoing.method.encode(), url.encode(), outgoing.headers, body
            )
        except ValueError as exc:
            self._finish(Fault(FailureKind.INVALID, f"request cannot be encoded: {exc}"))
            return
        self._request.addCallbacks(self._on_response, self._on_request_failed)
        self._request.addErrback(self._on_handler_failed)

    def cancel(self) -> None:
        """End the exchange and close its connection."""
        self._finish(Fault(FailureKind.CANCELLED, "cancelled"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._active:
            return
        now_ms = int(self._clock.now())
        self._last_received_ms = now_ms
        if not self._body_started:
            self._start_body()
        self._body_bytes += len(data)
        fault = self._framing_fault() or self._on_data(data, now_ms)
        if fault is not None:
            self._finish(fault)
            return
        progress = self._handler.progress()
        if progress > self._progress and self._active:
            self._update_progress(progress)

    def _framing_fault(self) -> Fault | None:
        """Return a fault if most of the answer is framing, with next to nothing in its chunks."""
        framing_bytes = self._lease.answer_bytes() - self._body_bytes
        allowed_bytes = MAX_FRAMING_BYTES + self._body_bytes * FRAMING_SHARE
        if framing_bytes <= MAX_HEAD_BYTES + allowed_bytes:
            return None
        return Fault(FailureKind.INVALID, f"the answer has {framing_bytes} bytes beside its body")

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Handle the end of the body; the connection itself may remain open."""
        if not self._active:
            return
        if reason.check(ResponseDone):
            self._finish(self._handler.on_end(True))
        elif reason.check(PotentialDataLoss) and self._lease.request_was_cut():
            # What the replica would have answered to the whole request is unknown.
            text = "the replica closed the connection before it had received the request"
            self._finish(self._phases.connection_lost_fault(text))
        elif reason.check(PotentialDataLoss) and not self._lease.was_reset():
            self._finish(self._handler.on_end(False))
        else:
            self._finish(self._lost_fault(reason))

    def _lost_fault(self, reason: Any) -> Fault:
        """Return the fault of an answer that has failed; a broken one is no lost connection."""
        invalid = find_invalid_answer(reason.value)
        if invalid is not None:
            return Fault(FailureKind.INVALID, invalid.reason, quoted=invalid.quoted)
        return self._phases.connection_lost_fault(_describe(reason))

    def _before_write(self) -> bool:
        """Record that the request is about to be written; from now on the replica may run it."""
        if not self._active:
            return False
        self._sent = Sent.MAYBE
        self._phases.request_written()
        self._last_progress_ms = self._last_received_ms = int(self._clock.now())
        self._start_timer()
        return True

    def _on_response(self, response: Any) -> None:
        if not self._active:
            return
        self._head_received = True
        self._last_progress_ms = self._last_received_ms = int(self._clock.now())
        data_handler = self._handler.on_head(
            ResponseHead(response.code, response.headers, self._last_progress_ms)
        )
        if isinstance(data_handler, Err):
            self._finish(data_handler.err_value)
            return
        self._on_data = data_handler.ok_value
        response.deliverBody(self)

    def _start_body(self) -> None:
        """Apply the progress limit from now on.

        An engine may send the head of a stream at once and the first token much later, when a
        slot becomes free. So the limit between parts applies only after the first byte of the
        body.
        """
        self._body_started = True
        self._last_progress_ms = self._last_received_ms
        self._progress = self._handler.progress()
        self._phases.body_started()
        self._start_timer()

    def _update_progress(self, progress: int) -> None:
        if not self._has_progressed:
            self._has_progressed = True
            self._phases.progressed()
        self._progress = progress
        self._last_progress_ms = self._last_received_ms

    def _on_request_failed(self, reason: Any) -> None:
        if not self._active:
            return
        self._refused = _innermost(reason).check(ConnectionRefusedError) is not None
        if self._lease.head_was_too_long():
            text = f"the head of the answer is longer than {MAX_HEAD_BYTES} bytes"
            self._finish(Fault(FailureKind.INVALID, text))
            return
        self._finish(self._lost_fault(reason))

    def _on_handler_failed(self, reason: Any) -> None:
        """End the exchange at once; otherwise it would last until its due time."""
        self._finish(Fault(FailureKind.INVALID, f"answer cannot be processed: {reason.value!r}"))

    def _start_timer(self) -> None:
        """Start the timer, unless it already fires early enough and can be extended then."""
        at_ms = min(self._last_progress_ms + self._phases.limit_ms(), self._outgoing.due_ms)
        if self._timer is not None:
            if self._timer_at_ms <= at_ms:
                return
            self._timer.cancel()
        self._timer_at_ms = at_ms
        self._timer = self._clock.start_timeout(at_ms - self._clock.now(), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        now_ms = self._clock.now()
        if now_ms >= self._outgoing.due_ms:
            self._finish(Fault(FailureKind.DEADLINE, "the due time has passed"))
        elif now_ms < self._last_progress_ms + self._phases.limit_ms():
            self._start_timer()
        elif self._outgoing.on_silence is None or self._sent is Sent.NO:
            self._finish(self._phases.timeout_fault())
        else:
            self._notify_of_silence(self._outgoing.on_silence, now_ms)

    def _notify_of_silence(self, on_silence: OnSilence, now_ms: int) -> None:
        last_progress_ms = self._last_progress_ms

        def end() -> bool:
            if not self._active or self._last_progress_ms != last_progress_ms:
                return False
            self._finish(self._phases.timeout_fault())
            return True

        self._timer_at_ms = min(now_ms + SILENCE_REPEAT_MS, self._outgoing.due_ms)
        self._timer = self._clock.start_timeout(self._timer_at_ms - now_ms, self._on_timer)
        reused = not self._lease.is_new
        on_silence(Silence(now_ms - last_progress_ms, reused, self._head_received, end))

    def _finish(self, fault: Fault | None) -> None:
        if not self._active:
            return
        self._active = False
        self._phases.finish()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if fault is None:
            self._pool.mark_alive(self._lease, self._last_received_ms)
            self.done.callback(Ok(None))
            return
        self._close(fault)
        self.done.callback(Err(self._failure(fault)))

    def _close(self, fault: Fault) -> None:
        """Close the connection, unless the fault is a complete answer with an error status."""
        if fault.kind is FailureKind.STATUS:
            self._pool.mark_alive(self._lease, self._last_received_ms)
            return
        self._lease.abort()
        if self._lease.protocol is None and self._request is not None:
            self._request.cancel()
        if self._sent is Sent.MAYBE and not self._lease.is_new and self._may_be_path_failure(fault):
            self._pool.mark_dead_before(self._last_received_ms)

    def _may_be_path_failure(self, fault: Fault) -> bool:
        """Return whether the failure may be caused by the network path to the replica."""
        if fault.kind is FailureKind.DEADLINE:
            # A call with a close due time ends before the silence reaches its limit.
            return not self._head_received
        return fault.kind in (FailureKind.TIMED_OUT, FailureKind.TRUNCATED)

    def _failure(self, fault: Fault) -> Failure:
        check_invariant(
            self._sent is Sent.MAYBE or self._lease.protocol is None,
            Invariant.NOT_RUN_TRUE,
            replica=self._replica.id,
            reason=fault.reason,
        )
        event = _FAILURE_EVENTS.get(fault.kind)
        if event is not None:
            events.emit(
                event,
                request=self._outgoing.request_id,
                replica=self._replica.id,
                path=self._outgoing.path,
                reason=fault.log_text(),
                fresh=self._lease.is_new,
                silent_ms=self._clock.now() - self._last_progress_ms,
                begun=self._body_started,
            )
        return Failure(
            fault.kind, self._sent, fault.reason, fault.status, self._lease.is_new, self._refused
        )


class _Body:
    """Implement Twisted's IBodyProducer for a body that is already in memory."""

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


def _ignore_data(_data: bytes, _now_ms: int) -> Fault | None:
    return None


def _innermost(reason: Any) -> Any:
    """Return the innermost of Twisted's nested failures."""
    inner = reason
    while getattr(inner.value, "reasons", None):
        inner = inner.value.reasons[0]
    return inner


def _describe(reason: Any) -> str:
    inner = _innermost(reason)
    return f"{inner.type.__name__}: {inner.getErrorMessage()}"
