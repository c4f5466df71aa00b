"""Serve HTTP connections within bounds, and close them without cutting anything off.

twisted.web keeps a whole request body before any route runs, and knows nothing of a planned
stop. This site refuses a body that is too large while it is still coming, answers what goes
wrong outside the routes in the same JSON form as they do, and counts its connections, so
that a planned stop can wait for each answer to have left this process.
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
from papayapier.entry.answers import refusal_body, refuse, whole_body
from papayapier.errors import ErrorKind, Refusal, not_run, unknown
from papayapier.policy.held_bytes import UNBOUNDED, HeldBytes
from papayapier.sockets import is_quiet

IDLE_TIMEOUT_S: Final = 75
FLUSH_LIMIT_S: Final = 15
LINGER_S: Final = 5
NEW_CONNECTION_LOOKS: Final = 20
HEADER_BYTES: Final = 16_384
MEMORY_BODY_BYTES: Final = 1_000_000
STREAM_TYPE: Final = "text/event-stream"
MEMORY_RETRY_MS: Final = 1_000

# Returns the largest body that a path takes.
BodyLimit = Callable[[bytes], int]

# The library's own annotations of these are incomplete.
_Channel: Any = HTTPChannel
_Request: Any = Request
_Site: Any = Site


class BoundedRequest(_Request):  # type: ignore[misc]
    """Take a request body up to a limit, and refuse the rest of it unread."""

    # The library would add a type of its own to an answer that states none.
    defaultContentType = None  # noqa: N815
    # The caller has closed its connection; nothing may be written any more.
    gone = False
    # The id by which log lines name the request, where its route knows one.
    log_id = ""
    # What is done for the request goes on without its caller.
    see_through = False
    _limit = 0
    _taken = 0
    _counted = 0
    _refused = False
    _site: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Choose where the body is kept, before any of it has come."""
        self._site = self.channel.site
        self._limit = self._site.body_limit(self.channel.path())
        if length is not None and length > self._limit:
            # Else the library would still ask for the body, after the answer.
            self.requestHeaders.removeHeader(b"Expect")
            self._refuse_body(self._too_large())
            return
        if length is not None and not self._site.held.takes(length):
            self.requestHeaders.removeHeader(b"Expect")
            self._refuse_body(_no_memory())
            return
        if length is not None and length <= MEMORY_BODY_BYTES:
            self.content: IO[bytes] = BytesIO()
        else:
            self.content = tempfile.SpooledTemporaryFile(MEMORY_BODY_BYTES)  # noqa: SIM115

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the body."""
        if self._refused:
            return
        self._taken += len(data)
        if self._taken > self._limit:
            self._refuse_body(self._too_large())
            return
        if not self._site.held.takes(len(data)):
            self._refuse_body(_no_memory())
            return
        self._count(len(data))
        self.content.write(data)

    def take_body(self) -> bytes:
        """Return the body and hold it here no longer; it counts until the request has ended."""
        body: bytes = self.content.read()
        self.content.close()
        self.content = BytesIO()
        return body

    def finish(self) -> None:
        """End the answer; what its body took is free."""
        super().finish()
        self._count(-self._counted)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Take that the caller is gone; what its body took is free."""
        super().connectionLost(reason)
        self._count(-self._counted)

    def write_now(self, data: bytes) -> None:
        """Write a part of a streamed answer, and hand it to the kernel at once if it takes it.

        The library writes when the reactor next comes round, which costs two changes of the
        poll set and an event of its own for each token of each stream.
        """
        if self.chunked and not self._disconnected:
            self.channel.send_now(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.write(data)

    def process(self) -> None:
        """Pass the request on to its route, once it has come whole."""
        try:
            unquote_to_bytes(self.path).decode()
        except UnicodeDecodeError:
            self._answer(not_run(ErrorKind.BAD_REQUEST, "URL: not in UTF-8"))
            return
        super().process()

    def processingFailed(self, reason: Failure) -> None:  # noqa: N802
        """Answer a request whose route has raised, and log why."""
        events.emit(
            events.REQUEST_CRASHED,
            request=self.log_id,
            path=self.path.decode("ascii", "replace"),
            error=repr(reason.value),
            traceback=reason.getTraceback(),
        )
        # How far the route had come is not known, so neither is whether the work has run.
        refusal = unknown(ErrorKind.INTERNAL, "the instance failed on this request")
        if not self.startedWriting:
            self._answer(refusal)
        elif self._streams_events():
            if self.producer is not None:
                self.unregisterProducer()
            self.write(b"data: " + refusal_body(refusal) + b"\n\n")
            self.finish()
        else:
            # A body cut short must not look whole.
            self.loseConnection()

    def _streams_events(self) -> bool:
        return STREAM_TYPE in (self.responseHeaders.getRawHeaders("content-type") or ())

    def _count(self, body_bytes: int) -> None:
        if body_bytes:
            self._counted += body_bytes
            self._site.held.on_body(body_bytes)

    def _too_large(self) -> Refusal:
        return not_run(ErrorKind.TOO_LARGE, f"the body is over {self._limit} bytes")

    def _refuse_body(self, refusal: Refusal) -> None:
        self._refused = True
        self.channel.drop_rest(self)
        self._answer(refusal)

    def _answer(self, refusal: Refusal) -> None:
        self.write(whole_body(self, refuse(self, refusal)))
        self.finish()


def _no_memory() -> Refusal:
    reason = "the instance holds as many bytes as it may"
    return not_run(ErrorKind.NO_MEMORY, reason, MEMORY_RETRY_MS)


class Connection(_Channel):  # type: ignore[misc]
    """Serve one connection, and know whether it is idle."""

    def __init__(self) -> None:
        super().__init__()
        self._dropping = False
        self._served = False
        self._looks = 0
        self._abort_timer: Any = None

    def path(self) -> bytes:
        """Return the path of the request whose head has just come."""
        target: bytes = self._path
        return target.partition(b"?")[0]

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self.totalHeadersSize = self.site.header_bytes
        self.site.connections.add(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        if self._abort_timer is not None:
            self._abort_timer.cancel()
            self._abort_timer = None
        # First the requests are told, so that what they leave is done when this is not counted.
        super().connectionLost(reason)
        self.site.connections.discard(self)
        self.site.held.on_gone(id(self))

    def drop_rest(self, request: BoundedRequest) -> None:
        """Drop what the caller still sends; the answer that follows is the last one.

        The request has not come whole, so what the answer needs of it is set here.
        """
        request.method = self._command
        request.uri = request.path = self._path
        request.clientproto = self._version
        self._dropping = True
        self.persistent = False

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self._dropping:
            super().rawDataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        if not self._dropping:
            super().allContentReceived()

    def writeHeaders(  # noqa: N802
        self, version: bytes, code: bytes, reason: bytes, headers: Headers
    ) -> None:
        """Write the head of an answer; while leaving, it is the last on its connection."""
        self._served = True
        if self.site.leaving or self._dropping:
            headers.setRawHeaders(b"Connection", [b"close"])
            self.persistent = False
        super().writeHeaders(version, code, reason, headers)

    def send_now(self, data: bytes) -> None:
        """Send some bytes, without waiting for the reactor unless others wait already."""
        transport = self.transport
        sent = 0
        if not (transport.dataBuffer or transport._tempDataBuffer):
            sent = transport.writeSomeData(data)
        if sent == len(data):
            return
        # A failed connection is left for the reactor to find, as with every other write.
        rest = data[sent:] if isinstance(sent, int) and sent > 0 else data
        transport.write(rest)

    def unsent(self) -> int:
        """Return how many bytes wait here for the caller to read."""
        transport = self.transport
        return int(len(transport.dataBuffer) + transport._tempDataLen)

    def loseConnection(self) -> None:  # noqa: N802
        """Close once everything written has been sent; abort if that takes too long.

        When a connection with unread bytes is closed, the kernel resets it, and the caller
        may lose the answer that was on its way. A caller that is still sending its body when
        it is refused would see a reset connection in place of the refusal. So only the
        sending side is closed then, and what comes is read and dropped for some time.
        """
        if self._abort_timer is not None:
            return
        limit_s = LINGER_S if self._dropping else FLUSH_LIMIT_S
        self._abort_timer = self.site.reactor.callLater(limit_s, self._abort)
        if self._dropping:
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()
        else:
            super().loseConnection()

    def _abort(self) -> None:
        self._abort_timer = None
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection if no request is on it, not even one still unread.

        On a new connection the first request may be a moment behind; it is given some looks.
        """
        if self.requests or self._buffer or not is_quiet(self.transport.getHandle()):
            return
        self._looks += 1
        if self._served or self._looks > NEW_CONNECTION_LOOKS:
            self.loseConnection()


class CountingSite(_Site):  # type: ignore[misc]
    """Hold the open connections of one listening port."""

    protocol = Connection
    noisy = False

    def __init__(self, resource: object, reactor: Any, body_limit: BodyLimit) -> None:
        super().__init__(
            resource,
            BoundedRequest,
            timeout=IDLE_TIMEOUT_S,
            reactor=reactor,
            # Forms are read by the route that wants them, in pieces.
            parsePOSTFormSubmission=False,
        )
        self.body_limit = body_limit
        self.held = HeldBytes(UNBOUNDED)
        self.leaving = False
        self.header_bytes = HEADER_BYTES
        self.connections: set[Connection] = set()

    def log(self, request: object) -> None:
        """Write no access log: nothing reads it, and events and metrics say what matters."""

    def set_limits(self, idle_ms: int, header_bytes: int) -> None:
        """Bound how long new connections may be idle and how large a request's head may be."""
        self.timeOut = idle_ms / MS_PER_S
        self.header_bytes = header_bytes

    def open_requests(self) -> int:
        """Return how many requests are being read, run or answered."""
        return sum(len(one.requests) for one in self.connections)

    def close_idle(self) -> None:
        """Close the connections that have no request on them."""
        for one in list(self.connections):
            one.close_if_idle()

    def close_all(self) -> None:
        """Close every connection at once, whatever is on it."""
        for one in list(self.connections):
            cast(Any, one.transport).abortConnection()
