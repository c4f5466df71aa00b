"""Serve HTTP connections within limits, and close them without truncating answers.

twisted.web buffers a complete request body before any route runs, and does not support a planned
stop. This site refuses a body that is too large while it is still arriving, answers errors outside
the routes in the same JSON form as the routes, and tracks its connections, so that a planned stop
can wait until every answer has been sent.
"""

import tempfile
from collections.abc import Callable
from io import BytesIO
from typing import IO, Any, Final, cast
from urllib.parse import unquote_to_bytes

from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.http_headers import Headers
from twisted.web.server import Request, Site

from papayapier import events
from papayapier.clock import MS_PER_S
from papayapier.entry.answers import refusal_body, refuse, with_content_length
from papayapier.errors import ErrorKind, Refusal, not_run_refusal, unknown_refusal
from papayapier.policy.buffered_bytes import UNBOUNDED, BufferedBytes
from papayapier.sockets import is_idle

IDLE_TIMEOUT_S: Final = 75
# How long a caller may pause within a request.
RECEIVE_MS: Final = 3_000
FLUSH_TIMEOUT_S: Final = 15
LINGER_S: Final = 5
NEW_CONNECTION_IDLE_CHECKS: Final = 20
MAX_HEADER_BYTES: Final = 16_384
MAX_MEMORY_BODY_BYTES: Final = 1_000_000
STREAM_TYPE: Final = "text/event-stream"
MEMORY_RETRY_MS: Final = 1_000

# Returns the maximum body size of a path, in bytes.
BodyLimit = Callable[[bytes], int]

# Twisted's annotations of these classes are incomplete.
_Channel: Any = HTTPChannel
_Request: Any = Request
_Site: Any = Site


class BoundedRequest(_Request):  # type: ignore[misc]
    """Receive a request body up to a limit, and refuse a larger one without reading the rest."""

    # Twisted would add its default type to an answer without a Content-Type.
    defaultContentType = None  # noqa: N815
    # The caller has closed its connection; nothing more may be written.
    is_disconnected = False
    # The request id for log lines, if the route knows one.
    log_id = ""
    # The request runs to completion even if its caller disconnects.
    detached = False
    _limit = 0
    received_bytes = 0
    _counted_bytes = 0
    _refused = False
    _site: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Choose where the body is stored, before any of it has arrived."""
        self._site = self.channel.site
        self._limit = self._site.body_limit(self.channel.path())
        if length is not None and length > self._limit:
            # Otherwise twisted would still request the body, after the answer.
            self.requestHeaders.removeHeader(b"Expect")
            self._refuse_body(self._too_large())
            return
        if length is not None and not self._site.buffered_bytes.has_capacity(length):
            self.requestHeaders.removeHeader(b"Expect")
            self._refuse_body(_no_memory())
            return
        is_small = length is not None and length <= MAX_MEMORY_BODY_BYTES
        if is_small or self._site.bodies_in_memory:
            self.content: IO[bytes] = BytesIO()
        else:
            self.content = tempfile.SpooledTemporaryFile(MAX_MEMORY_BODY_BYTES)  # noqa: SIM115

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body."""
        if self._refused:
            return
        self.received_bytes += len(data)
        if self.received_bytes > self._limit:
            self._refuse_body(self._too_large())
            return
        if not self._site.buffered_bytes.has_capacity(len(data)):
            self._refuse_body(_no_memory())
            return
        self._count(len(data))
        try:
            self.content.write(data)
        except OSError:
            self._refuse_body(_no_memory())

    def take_body(self) -> bytes:
        """Return the body and release it here; it counts as buffered until the request finishes."""
        body: bytes = self.content.read()
        self.content.close()
        self.content = BytesIO()
        return body

    def finish(self) -> None:
        """Finish the answer, and stop counting its body as buffered."""
        super().finish()
        self._count(-self._counted_bytes)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Handle the disconnect of the caller, and stop counting its body as buffered."""
        super().connectionLost(reason)
        self._count(-self._counted_bytes)

    def write_now(self, data: bytes) -> None:
        """Write a part of a streamed answer, and pass it to the kernel at once if possible.

        Twisted would write in the next iteration of the reactor, which costs two changes of the
        poll set and one event for each token of each stream.
        """
        if self.chunked and not self._disconnected:
            self.channel.send_now(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.write(data)

    def process(self) -> None:
        """Pass the complete request to its route."""
        try:
            unquote_to_bytes(self.path).decode()
        except UnicodeDecodeError:
            self._write_refusal(not_run_refusal(ErrorKind.BAD_REQUEST, "URL: not in UTF-8"))
            return
        super().process()

    def processingFailed(self, reason: Failure) -> None:  # noqa: N802
        """Answer a request whose route raised an exception, and log the exception."""
        events.emit(
            events.REQUEST_CRASHED,
            request=self.log_id,
            path=self.path.decode("ascii", "replace"),
            error=repr(reason.value),
            traceback=reason.getTraceback(),
        )
        # How far the route got is unknown, so it is also unknown whether the request has run.
        refusal = unknown_refusal(
            ErrorKind.INTERNAL, "an internal error occurred while the request ran"
        )
        if not self.startedWriting:
            self._write_refusal(refusal)
        elif self._streams_events():
            if self.producer is not None:
                self.unregisterProducer()
            self.write(b"data: " + refusal_body(refusal) + b"\n\n")
            self.finish()
        else:
            # A truncated body must not look complete.
            self.loseConnection()

    def _streams_events(self) -> bool:
        return STREAM_TYPE in (self.responseHeaders.getRawHeaders("content-type") or ())

    def _count(self, body_bytes: int) -> None:
        if body_bytes:
            self._counted_bytes += body_bytes
            self._site.buffered_bytes.on_body(body_bytes)

    def _too_large(self) -> Refusal:
        return not_run_refusal(ErrorKind.TOO_LARGE, f"the body is over {self._limit} bytes")

    def _refuse_body(self, refusal: Refusal) -> None:
        self._refused = True
        self.channel.discard_rest(self)
        self._write_refusal(refusal)

    def _write_refusal(self, refusal: Refusal) -> None:
        self.write(with_content_length(self, refuse(self, refusal)))
        self.finish()


def _no_memory() -> Refusal:
    reason = "the instance cannot buffer more bytes"
    return not_run_refusal(ErrorKind.NO_MEMORY, reason, MEMORY_RETRY_MS)


class Connection(_Channel):  # type: ignore[misc]
    """Serve one connection, and detect whether it is idle."""

    timeOut: Any = None  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self._savedTimeOut: float | None = None
        self._discarding = False
        self._served = False
        self._idle_checks = 0
        self._abort_timer: Any = None
        # How much of a request had arrived when its caller was given more time.
        self._extended_at: tuple[int, ...] = ()

    def path(self) -> bytes:
        """Return the path of the request whose head has just arrived."""
        target: bytes = self._path
        return target.partition(b"?")[0]

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._allow_heads(self.site.header_bytes)
        self.site.connections.add(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        if self._abort_timer is not None:
            self._abort_timer.cancel()
            self._abort_timer = None
        # The requests are notified first, so that they are cleaned up before this is not counted.
        super().connectionLost(reason)
        self.site.connections.discard(self)
        self.site.buffered_bytes.on_disconnected(id(self))

    def raise_limits(self, idle_s: float, header_bytes: int) -> None:
        """Apply higher limits; lower ones could affect a request that is on its way."""
        self._allow_heads(max(self.totalHeadersSize, header_bytes))
        if self.timeOut is None:
            # A request is under way; the timeout is restored after its answer.
            self._savedTimeOut = max(self._savedTimeOut or 0.0, idle_s)
        elif idle_s > self.timeOut:
            self.setTimeout(idle_s)

    def _allow_heads(self, header_bytes: int) -> None:
        self.totalHeadersSize = header_bytes
        # Twisted's limit of a single line.
        self.MAX_LENGTH = max(header_bytes, MAX_HEADER_BYTES)

    def lineLengthExceeded(self, _line: bytes) -> None:  # noqa: N802
        """Refuse a head with a line that is too long; twisted would close the connection."""
        self._respondToBadRequestAndDisconnect()

    def discard_rest(self, request: BoundedRequest) -> None:
        """Discard what the caller still sends; the next answer is the last on this connection.

        The request is incomplete, so the attributes that the answer needs are set here.
        """
        request.method = self._command
        request.uri = request.path = self._path
        request.clientproto = self._version
        self._discarding = True
        self.persistent = False

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._discarding:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        if not self._discarding:
            self._extended_at = ()
            super().allContentReceived()

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Write the head of an answer; during a planned stop it is the last on its connection."""
        self._served = True
        if self.site.leaving or self._discarding:
            headers.setRawHeaders(b"Connection", [b"close"])
            self.persistent = False
        super().writeHeaders(version, code, reason, headers)

    def send_now(self, data: bytes) -> None:
        """Send bytes without waiting for the reactor, unless others are already queued."""
        transport = self.transport
        sent = 0
        if not (transport.dataBuffer or transport._tempDataBuffer):
            sent = transport.writeSomeData(data)
        if sent == len(data):
            return
        # The reactor detects a failed connection, as with every other write.
        rest = data[sent:] if isinstance(sent, int) and sent > 0 else data
        transport.write(rest)

    def unsent_bytes(self) -> int:
        """Return how many bytes are buffered here until the caller reads them."""
        transport = self.transport
        return int(len(transport.dataBuffer) + transport._tempDataLen)

    def loseConnection(self) -> None:  # noqa: N802
        """Close once everything written has been sent; abort if that takes too long.

        The kernel resets a connection that is closed with unread bytes, and the caller may lose
        an answer in transit. A caller that is still sending its body when it is refused would
        see a reset connection instead of the refusal. So only the sending side is closed then,
        and incoming bytes are read and discarded for some time.
        """
        if self._abort_timer is not None:
            return
        timeout_s = LINGER_S if self._discarding else FLUSH_TIMEOUT_S
        self._abort_timer = self.site.reactor.callLater(timeout_s, self._abort)
        if self._discarding:
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
        else:
            super().loseConnection()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection, unless the next request has arrived and was not read yet.

        The reactor runs timers before it reads sockets, so a timer that is late because the
        process was busy fires before a request that arrived in time is read.
        """
        may_read = not self._waitingForTransport
        if may_read and not is_idle(self.transport.getHandle()):
            self.setTimeout(self.timeOut)
            return
        if not self._extend_pause():
            super().timeoutConnection()

    def _extend_pause(self) -> bool:
        """Let the caller pause for longer within a request than between requests, but only once."""
        if not self.requests and not self._buffer:
            return False
        arrived_bytes = self.requests[-1].received_bytes if self.requests else 0
        received = (self._receivedHeaderSize, len(self._buffer), arrived_bytes)
        idle_s, extra_s = self.timeOut, self.site.receive_s - self.timeOut
        if extra_s <= 0 or received == self._extended_at:
            return False
        self._extended_at = received
        self.setTimeout(extra_s)
        # Bytes that arrive restart the timer with this value.
        self.timeOut = idle_s
        return True

    def _abort(self) -> None:
        self._abort_timer = None
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection if it has no open request and no unread bytes.

        The first request of a new connection may arrive a moment later, so a new connection is
        closed only after several checks.
        """
        if self.requests or self._buffer or not is_idle(self.transport.getHandle()):
            return
        self._idle_checks += 1
        if self._served or self._idle_checks > NEW_CONNECTION_IDLE_CHECKS:
            self.loseConnection()


class CountingSite(_Site):  # type: ignore[misc]
    """Track the open connections of one listening port."""

    protocol = Connection
    noisy = False

    def __init__(self, resource: object, reactor: Any, body_limit: BodyLimit) -> None:
        super().__init__(
            resource,
            BoundedRequest,
            timeout=IDLE_TIMEOUT_S,
            reactor=reactor,
            # The routes that need forms read them in pieces.
            parsePOSTFormSubmission=False,
        )
        self.body_limit = body_limit
        self.buffered_bytes = BufferedBytes(UNBOUNDED)
        # Large bodies are kept in memory, too; buffered_bytes bounds them.
        self.bodies_in_memory = False
        self.leaving = False
        self.header_bytes = MAX_HEADER_BYTES
        self.receive_s = RECEIVE_MS / MS_PER_S
        self.connections: set[Connection] = set()

    def log(self, request: object) -> None:
        """Write no access log; events and metrics replace it."""

    def set_limits(self, idle_ms: int, header_bytes: int, receive_ms: int = RECEIVE_MS) -> None:
        """Set the idle timeout, the maximum size of a head, and of a pause within a request.

        Open connections get higher limits at once, and keep higher ones.
        """
        self.receive_s = receive_ms / MS_PER_S
        self.timeOut = idle_ms / MS_PER_S
        self.header_bytes = header_bytes
        for connection in self.connections:
            connection.raise_limits(self.timeOut, header_bytes)

    def open_requests(self) -> int:
        """Return how many requests are being received, run or answered."""
        return sum(len(connection.requests) for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without requests."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_all(self) -> None:
        """Abort every connection at once, also those with open requests."""
        for connection in list(self.connections):
            cast(Any, connection.transport).abortConnection()
