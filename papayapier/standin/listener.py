"""Serve HTTP for the stand-ins, on connections that can be delayed, reset or silenced.

twisted.web implements the protocol. Each connection is wrapped, because the simulated faults
happen below HTTP: a silent connection still looks open to both ends, so a client detects it
only by its own timeouts; a reset connection loses bytes that were already written.
"""

from collections.abc import Callable
from io import BytesIO
from typing import Any, Final, cast

from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.internet.protocol import connectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from papayapier.standin.link import Link

Handler = Callable[[Request], None]

IDLE_TIMEOUT_S: Final = 300


class Traffic:
    """Count the bytes received and sent on the connections of one listener."""

    __slots__ = ("bytes_in", "bytes_out")

    def __init__(self) -> None:
        self.bytes_in = 0
        self.bytes_out = 0


class Connection(ProtocolWrapper):
    """Pass bytes in both directions over a link; once silenced, pass none and stay open."""

    silent = False
    _aborted = False
    _host_and_peer: tuple[Any, Any]

    def connectionMade(self) -> None:  # noqa: N802
        # The link can deliver a request after its client has disconnected. twisted.web asks
        # for the addresses then, and a closed socket no longer has them.
        transport = cast(Any, self.transport)
        self._host_and_peer = (transport.getHost(), transport.getPeer())
        # Without this, Nagle's algorithm delays a token until the client's delayed
        # acknowledgement, which adds 40 ms steps to the time between tokens.
        transport.setTcpNoDelay(True)

    def getHost(self) -> Any:  # noqa: N802
        return self._host_and_peer[0]

    def getPeer(self) -> Any:  # noqa: N802
        return self._host_and_peer[1]

    def silence(self) -> None:
        """Stop reading and writing permanently, without closing the connection."""
        self.silent = True
        cast(Any, self.transport).stopReading()

    def abort(self) -> None:
        """Reset the connection; bytes in transit in either direction are lost."""
        self._aborted = True
        cast(Any, self.transport).abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._connection_table().link.deliver(self._receive_bytes, data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        # Passed over the link too, so that it is handled after the data received before it.
        self._connection_table().link.deliver(cast(Any, super()).connectionLost, reason)

    def write(self, data: bytes) -> None:
        self._connection_table().link.deliver(self._send_bytes, data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        self.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        self._connection_table().link.deliver(self._close_connection, None)

    def resumeProducing(self) -> None:  # noqa: N802
        if not self.silent:
            cast(Any, self.transport).resumeProducing()

    def _receive_bytes(self, data: bytes) -> None:
        self._connection_table().traffic.bytes_in += len(data)
        if not (self.silent or self._aborted):
            cast(Any, super()).dataReceived(data)

    def _send_bytes(self, data: bytes) -> None:
        if not (self.silent or self._aborted):
            self._connection_table().traffic.bytes_out += len(data)
            cast(Any, self.transport).write(data)

    def _close_connection(self, _: None) -> None:
        if not self.silent:
            cast(Any, super()).loseConnection()

    def _connection_table(self) -> "ConnectionTable":
        return cast(ConnectionTable, self.factory)


class ConnectionTable(WrappingFactory[Connection]):
    """Track the open connections of one listener."""

    protocol = Connection
    noisy = False

    def __init__(self, site: Site, link: Link) -> None:
        cast(Any, super()).__init__(site)
        self.link = link
        self.traffic = Traffic()
        self._empty_waiters: list[Deferred[None]] = []

    def connections(self) -> list[Connection]:
        """Return the open connections."""
        return list(self.protocols)

    def when_empty(self) -> Deferred[None]:
        """Return a Deferred that fires when no connection is open."""
        if not self.protocols:
            return succeed(None)
        done: Deferred[None] = Deferred()
        self._empty_waiters.append(done)
        return done

    def unregisterProtocol(self, p: Connection) -> None:  # noqa: N802
        cast(Any, super()).unregisterProtocol(p)
        if self.protocols:
            return
        waiting, self._empty_waiters = self._empty_waiters, []
        for done in waiting:
            done.callback(None)


class _QuietSite(Site):
    """Serve without an access log."""

    noisy = False
    displayTracebacks = False  # noqa: N815

    def log(self, request: HttpRequest) -> None:
        """Do nothing."""


class _MemoryRequest(Request):
    """Keep every request body in memory; twisted would write a large one to a file.

    Writing a file blocks the reactor, so on a busy disk the stand-in would respond late.
    """

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        self.content = BytesIO()


class _Root(Resource):
    """Pass every request to one function, which finishes it now or later."""

    isLeaf = True  # noqa: N815

    def __init__(self, handler: Handler) -> None:
        cast(Any, super()).__init__()
        self._handler = handler

    def render(self, request: Request) -> int:
        self._handler(request)
        return NOT_DONE_YET


class Listener:
    """Own a listening port and its connections; it can be closed and reopened."""

    __slots__ = ("_listening", "_reactor", "_stopped", "host", "port", "table")

    def __init__(self, reactor: Any, handler: Handler, host: str, port: int, link: Link) -> None:
        site = cast(Any, _QuietSite)(
            _Root(handler), timeout=IDLE_TIMEOUT_S, reactor=reactor, requestFactory=_MemoryRequest
        )
        self.table = ConnectionTable(site, link)
        self.host = host
        self.port = port
        self._reactor = reactor
        self._listening: Any = None
        self._stopped: Deferred[None] = succeed(None)

    def open(self) -> None:
        """Start listening; raises CannotListenError when the address is in use."""
        self._listening = self._reactor.listenTCP(self.port, self.table, interface=self.host)
        self.port = self._listening.getHost().port

    def is_open(self) -> bool:
        """Return whether the port accepts connections."""
        return self._listening is not None

    def silence_all(self, except_for: Connection | None = None) -> None:
        """Silence every open connection except one."""
        for conn in self.table.connections():
            if conn is not except_for:
                conn.silence()

    def abort_all(self) -> None:
        """Reset every open connection."""
        for conn in self.table.connections():
            conn.abort()

    async def close(self) -> None:
        """Stop listening, reset all connections and wait until they are closed."""
        if self._listening is not None:
            listening, self._listening = self._listening, None
            self._stopped = maybeDeferred(listening.stopListening)
        self.abort_all()
        await self._until_stopped()
        await self.table.when_empty()

    async def reopen(self) -> None:
        """Listen again on the same port, unless it is already open."""
        await self._until_stopped()
        if self._listening is None:
            self.open()

    async def _until_stopped(self) -> None:
        """Wait until the port is released; several calls may wait at once."""
        if self._stopped.called:
            return
        freed: Deferred[None] = Deferred()

        def notify(result: Any) -> Any:
            freed.callback(result)
            return result

        self._stopped.addBoth(notify)
        await freed
