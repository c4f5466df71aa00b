"""Send one request to an instance and measure its latency.

Latency is measured from the intended send time. If sending falls behind (a busy client, a
stalled connection), measuring from the actual send time would hide the delay ("coordinated
omission"). The send lag is reported as well, since a slow client invalidates the measurement.

The pool never delays a request: it opens a connection when none is idle.
"""

from typing import Any, Final, NamedTuple, cast

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError, ConnectionClosed, ConnectionLost
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (  # type: ignore[attr-defined]
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer

from papayapier.clock import Clock
from papayapier.load.request_mix import Request
from papayapier.load.responses import (
    ExpectedText,
    RequestOutcome,
    StreamReader,
    Verdict,
    classify_response,
    classify_stream,
)

US_PER_S: Final = 1_000_000
CONNECT_TIMEOUT_S: Final = 5
IDLE_PER_HOST: Final = 256
IDLE_TIMEOUT_S: Final = 20

CONNECTION_ERRORS: Final = (
    ConnectError,
    ConnectionClosed,
    ConnectionLost,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseFailed,
    ResponseNeverReceived,
)


class Timing(NamedTuple):
    """Hold the times of a request in microseconds, measured from its intended send time.

    first_us is -1 without a token. gaps_us are the intervals between tokens.
    """

    lag_us: int
    first_us: int
    total_us: int
    gaps_us: list[int]


class RequestRecord(NamedTuple):
    """Hold the outcome and timing of one request; call_id is the id given by the instance.

    A request whose connection broke before the response headers has no call_id.
    """

    verdict: Verdict
    timing: Timing
    call_id: str = ""


class Client(NamedTuple):
    """Hold what is needed to send requests."""

    clock: Clock
    agent: Agent
    pool: HTTPConnectionPool
    expected: ExpectedText
    give_up_ms: int

    async def close(self) -> None:
        """Close the idle connections."""
        await cast(Any, self.pool).closeCachedConnections()


def make_client(
    clock: Clock, expected: ExpectedText, give_up_ms: int, *, fresh_connections: bool
) -> Client:
    """Make a client with its own connection pool."""
    from twisted.internet import reactor

    # Any: twisted's own annotations of these two are incomplete.
    pool: Any = cast(Any, HTTPConnectionPool)(reactor, persistent=not fresh_connections)
    pool.maxPersistentPerHost = IDLE_PER_HOST
    pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
    pool.retryAutomatically = False
    agent = cast(Any, Agent)(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
    return Client(clock, agent, pool, expected, give_up_ms)


def monotonic_us(clock: Clock) -> int:
    """Return the monotonic time in microseconds, since gaps between tokens are only a few ms."""
    return int(clock.timers.seconds() * US_PER_S)


async def send_request(
    client: Client, target: str, req: Request, intended_us: int
) -> RequestRecord:
    """Send a request to "HOST:PORT" and return its outcome; never raises."""
    started_us = monotonic_us(client.clock)
    receiver = _Receiver(req, client, intended_us)
    exchange = Deferred.fromCoroutine(_exchange(client, target, req, receiver))
    cancellation = _Cancellation()
    timers = [
        client.clock.call_later(
            client.give_up_ms, lambda: cancellation.cancel_as(RequestOutcome.TIMED_OUT, exchange)
        )
    ]
    if req.leave_after_ms >= 0:
        timers.append(
            client.clock.call_later(
                req.leave_after_ms,
                lambda: cancellation.cancel_as(RequestOutcome.ABANDONED, exchange),
            )
        )
    try:
        verdict = await exchange
    except CancelledError:
        verdict = Verdict(cancellation.outcome, reason="no answer in time")
    except CONNECTION_ERRORS as exc:
        verdict = Verdict(cancellation.outcome, reason=f"{type(exc).__name__}: {exc}")
    for timer in timers:
        if timer.active():
            timer.cancel()
    total_us = monotonic_us(client.clock) - intended_us
    lag_us = started_us - intended_us
    timing = Timing(lag_us, receiver.first_us, total_us, receiver.gaps_us)
    return RequestRecord(verdict, timing, receiver.call_id)


class _Cancellation:
    """Record why a request was cancelled; otherwise its failure counts as DISCONNECTED."""

    def __init__(self) -> None:
        self.outcome = RequestOutcome.DISCONNECTED

    def cancel_as(self, outcome: RequestOutcome, exchange: "Deferred[Verdict]") -> None:
        self.outcome = outcome
        exchange.cancel()


async def _exchange(client: Client, target: str, req: Request, receiver: "_Receiver") -> Verdict:
    url = f"http://{target}{req.path}".encode()
    response: Any = await client.agent.request(
        b"POST", url, _headers(req), cast(IBodyProducer, BytesBody(req.body))
    )
    receiver.status = response.code
    receiver.streams = _header(response, "content-type").startswith("text/event-stream")
    receiver.call_id = _header(response, "x-papayapier-call")
    response.deliverBody(receiver)
    await receiver.done
    response_id = _header(response, "x-request-id")
    if response_id and response_id != req.request_id:
        return Verdict(
            RequestOutcome.WRONG, reason=f"the response has the id of request {response_id}"
        )
    return receiver.verdict()


def _headers(req: Request) -> Headers:
    fields = {
        "Content-Type": "application/json",
        "X-Request-Id": req.request_id,
        "X-Papayapier-Caller": req.caller,
    }
    if req.cls.profile:
        fields["X-Papayapier-Profile"] = req.cls.profile
    if req.key:
        fields["Idempotency-Key"] = req.key
    if req.cls.due_ms:
        fields["X-Papayapier-Due-Ms"] = str(req.cls.due_ms)
    return Headers({name: [value] for name, value in fields.items()})


def _header(response: Any, name: str) -> str:
    values: list[str] = response.headers.getRawHeaders(name, [""])
    return values[0]


class _Receiver(Protocol):
    """Collect one response body and record when its tokens arrived."""

    def __init__(self, req: Request, client: Client, intended_us: int) -> None:
        self._req = req
        self._client = client
        self._intended_us = intended_us
        self._last_us = -1
        self._body: list[bytes] = []
        self._reader = StreamReader()
        self.status = 0
        self.streams = False
        self.call_id = ""
        self.first_us = -1
        self.gaps_us: list[int] = []
        self.done: Deferred[None] = Deferred(self._abort)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.streams:
            self._body.append(data)
            return
        tokens = self._reader.feed(data)
        if not tokens:
            return
        at_us = monotonic_us(self._client.clock)
        if self._last_us >= 0:
            self.gaps_us.append(at_us - self._last_us)
        else:
            self.first_us = at_us - self._intended_us
        # Tokens that arrive in one read have no gap between them.
        self.gaps_us.extend([0] * (tokens - 1))
        self._last_us = at_us

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.done.called:
            return
        if isinstance(reason.value, ResponseDone):
            self.done.callback(None)
        else:
            self.done.errback(reason)

    def verdict(self) -> Verdict:
        """Classify the complete response."""
        if self.streams:
            return classify_stream(self._req, self._reader, self._client.expected)
        return classify_response(
            self._req, self.status, b"".join(self._body), self._client.expected
        )

    def _abort(self, _cancelled: "Deferred[None]") -> None:
        """Abort the connection, as a caller does that disconnects without reading the rest."""
        abort = getattr(self.transport, "abortConnection", None)
        if abort is not None:
            abort()


class BytesBody:
    """Produce a request body that is already in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> "Deferred[None]":  # noqa: N802
        consumer.write(self._body)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: everything was written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: everything was written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: everything was written at once."""
