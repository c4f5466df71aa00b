"""Exchange one request and its complete answer with the platform over persistent connections.

A persistent connection can stop working for good while new ones work. This shows as a call
that times out; the next call would use another persistent connection, which may be dead too.
So a timeout closes the connection of its call and every idle one.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, NamedTuple, cast

from result import Err, Ok, Result
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web import client as web_client

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.head_guard import GuardedPool, find_invalid_answer
from papayapier.settings import PlatformSettings
from papayapier.store.api import MAX_VALUE_BYTES

MAX_IDLE_CONNECTIONS: Final = 8
MAX_ANSWER_BYTES: Final = 4 * MAX_VALUE_BYTES


class Request(NamedTuple):
    """Describe one call.

    name is the label of its metric; wait_ms is how long the platform may delay the answer.
    """

    name: str
    method: str
    path: str
    params: Mapping[str, str] = {}
    headers: Mapping[str, str] = {}
    body: bytes | None = None
    wait_ms: int = 0


class Reply(NamedTuple):
    """Hold a complete answer."""

    status: int
    etag: str
    body: bytes


class Link(NamedTuple):
    """Group the calls of a pool of connections to the platform."""

    exchange: Callable[[Request], Awaitable[Result[Reply, BaseException]]]
    close: Callable[[], Awaitable[None]]


def make_link(reactor: Any, clock: Clock, platform: PlatformSettings) -> Link:
    """Create a pool of connections to the platform; each exchange has a timeout."""
    pool = cast(Any, GuardedPool)(reactor, persistent=True)
    pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
    # The pool would retry a GET on a stale connection: a hidden second call, outside the
    # budget and the timeout.
    pool.retryAutomatically = False
    connect_s = platform.timeout_ms / MS_PER_S
    agent = cast(Any, web_client.Agent)(reactor, connectTimeout=connect_s, pool=pool)
    http = HTTPClient(agent)
    address = f"http://{platform.host}:{platform.port}"

    async def send_and_read(req: Request) -> Reply:
        response: Any = await http.request(
            req.method,
            address + req.path,
            params=dict(req.params),
            headers=cast(Any, req.headers),
            data=req.body,
            allow_redirects=False,
            unbuffered=True,
            reactor=reactor,
        )
        body = await _read_body(response)
        etag = response.headers.getRawHeaders("ETag", [""])[0]
        return Reply(response.code, etag, body)

    open_calls: set[Deferred[Reply]] = set()
    closed = False

    async def exchange(req: Request) -> Result[Reply, BaseException]:
        if closed:
            return Err(ConnectingCancelledError(address))
        call = Deferred.fromCoroutine(send_and_read(req))
        open_calls.add(call)
        timer = clock.start_timeout(req.wait_ms + platform.timeout_ms, call.cancel)
        try:
            return Ok(await call)
        except Exception as exc:
            # Any exception of twisted or treq is a failed exchange; the caller classifies it.
            if not timer.active():
                events.emit(events.STORE_SILENT, call=req.name)
                pool.closeCachedConnections()
            invalid = find_invalid_answer(exc)
            if invalid is not None:
                events.emit(events.STORE_ODD_ANSWER, call=req.name, reason=invalid.log_text())
            return Err(exc)
        finally:
            open_calls.discard(call)
            if timer.active():
                timer.cancel()

    async def close() -> None:
        """Close the pool and cancel open calls; a task whose call fails must not send another."""
        nonlocal closed
        closed = True
        for call in list(open_calls):
            call.cancel()
        await pool.closeCachedConnections()

    return Link(exchange, close)


def was_never_sent(exc: BaseException) -> bool:
    """Return whether the request was certainly not sent, because no connection was made."""
    return isinstance(exc, ConnectError | ConnectingCancelledError)


def _read_body(response: Any) -> Deferred[bytes]:
    """Read a body to its declared length; cancelling closes the connection."""
    collector = _BodyCollector()
    response.deliverBody(collector)
    return collector.done


class _BodyCollector(Protocol):
    """Collect a body of bounded size.

    twisted reports the end of a body without declared length as PotentialDataLoss, because a
    complete body cannot be distinguished from a truncated one; it counts as truncated.
    """

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred(lambda _: self._abort())
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._abort()
            return
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.done.called:
            return
        complete = isinstance(reason.value, web_client.ResponseDone)
        if complete and self._size <= MAX_ANSWER_BYTES:
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(reason)

    def _abort(self) -> None:
        if self.transport is not None:
            cast(Any, self.transport).loseConnection()
