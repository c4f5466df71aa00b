"""Pool the connections to one replica and record which connection a call uses.

Twisted's HTTPConnectionPool assigns any idle connection to a call, and returns a connection to
the pool before the answer on it has been validated. A correct refusal needs to know which
connection carried the call and whether it was new, and the pool exposes neither. A Lease wraps
the endpoint that the pool connects with, and records both.

An idle connection is reused only if bytes were received on it after another connection to the
same replica went silent. In that case the cause is assumed to be not the replica but a
middlebox on the path, which may have dropped its state of every connection open at that time.
"""

import socket
from collections.abc import Callable
from typing import Any, Final
from weakref import WeakKeyDictionary

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgent

from papayapier.head_guard import close_at_once, guard_head
from papayapier.sockets import is_idle, unacknowledged_bytes

# Bounds idle connections only. A bound on connections in use would make a call wait until
# another one has its answer.
MAX_IDLE_CONNECTIONS: Final = 4_096
# Shorter than the 5 s after which common servers close an idle connection. A call written to a
# connection that is being closed fails, and it is unknown whether it ran.
MAX_IDLE_S: Final = 4

KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
USER_TIMEOUT_MS: Final = 5_000

# Twisted's name for the state of a connection without a request.
IDLE_STATE: Final = "QUIESCENT"

# Twisted has no type annotations here.
_Agent: Any = Agent


class ConnectionLease:
    """Connect for a single call, and record which connection the call uses.

    before_write is called just before the request is written; if it returns False, the request is
    not written.
    """

    __slots__ = ("_before_write", "_endpoint", "is_new", "protocol")

    def __init__(self, endpoint: TCP4ClientEndpoint, before_write: Callable[[], bool]) -> None:
        self._endpoint = endpoint
        self._before_write = before_write
        self.is_new = False
        self.protocol: Any = None

    def endpointForURI(self, uri: object) -> "ConnectionLease":  # noqa: N802
        """Return this object, whatever the address in the URI."""
        return self

    def connect(self, protocolFactory: Any) -> Deferred[Any]:  # noqa: N803
        """Open a new connection."""
        self.is_new = True
        done: Deferred[Any] = self._endpoint.connect(protocolFactory)
        return done.addCallback(_set_tcp_options)

    def assign(self, protocol: Any) -> Any:
        """Record the connection; the request is written to it immediately afterwards.

        Before this call no byte of the request was passed to a connection, so a failure can be
        reported as not sent. After it, the request may have been sent.
        """
        if protocol.state != IDLE_STATE:
            raise ConnectionAborted("the connection was lost before it was used")
        if not self._before_write():
            close_at_once(protocol)
            raise ConnectionAborted("the call ended before the request was sent")
        self.protocol = protocol
        return protocol

    def was_reset(self) -> bool:
        """Return whether the connection ended other than by an orderly close of the peer."""
        return self.protocol is not None and bool(self.protocol.was_reset)

    def request_was_cut(self) -> bool:
        """Return whether the peer closed the connection before it had received the request."""
        return self.protocol is not None and bool(self.protocol.request_was_cut)

    def head_was_too_long(self) -> bool:
        """Return whether the connection was closed because of the length of an answer's head."""
        return self.protocol is not None and bool(self.protocol.head_too_long)

    def answer_bytes(self) -> int:
        """Return how many bytes of the answer were received, with head and framing."""
        return 0 if self.protocol is None else int(self.protocol.answer_bytes)

    def abort(self) -> None:
        """Abort the connection, so that nothing more is read from it."""
        if self.protocol is not None:
            close_at_once(self.protocol)


class ReplicaPool:
    """Hold the connections to one address."""

    __slots__ = ("_endpoint", "_persistent", "_reactor", "_single_use", "last_used_ms")

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self.last_used_ms = 0
        self._reactor = reactor
        # The exchange's timer bounds connecting; the endpoint's timeout does not use our clock.
        self._endpoint = TCP4ClientEndpoint(reactor, host, port)
        self._single_use = _make_pool(reactor, persistent=False)
        self._persistent = _make_pool(reactor, persistent=True)

    def agent(self, lease: ConnectionLease, new_connection: bool) -> IAgent:
        """Return an agent for one request."""
        pool = self._single_use if new_connection else self._persistent
        agent: IAgent = _Agent.usingEndpointFactory(self._reactor, lease, pool)
        return agent

    def lease(self, before_write: Callable[[], bool]) -> ConnectionLease:
        """Return a lease for one request."""
        return ConnectionLease(self._endpoint, before_write)

    def mark_alive(self, lease: ConnectionLease, at_ms: int) -> None:
        """Record that the connection carried bytes at this time."""
        self._persistent.alive_ms[lease.protocol] = at_ms

    def mark_dead_before(self, before_ms: int) -> None:
        """Stop reusing idle connections that carried no bytes after this time."""
        self._persistent.dead_before_ms = max(self._persistent.dead_before_ms, before_ms)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        done: Deferred[None] = self._persistent.closeCachedConnections()
        return done


class _RecordingPool(HTTPConnectionPool):
    """Record the assigned connection in the lease, and skip connections that may be dead."""

    maxPersistentPerHost = MAX_IDLE_CONNECTIONS  # noqa: N815
    cachedConnectionTimeout = MAX_IDLE_S  # noqa: N815
    # The pool would otherwise retry a request by itself, and a replica could run it twice.
    retryAutomatically = False  # noqa: N815

    def __init__(self, reactor: Any, persistent: bool) -> None:
        base: Any = super()
        base.__init__(reactor, persistent=persistent)
        self.alive_ms: WeakKeyDictionary[Any, int] = WeakKeyDictionary()
        self.dead_before_ms = -1

    def getConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:  # noqa: N802
        while True:
            given: Deferred[Any] = super().getConnection(key, endpoint)
            if endpoint.is_new or self._is_reusable(given.result):
                return given.addCallback(endpoint.assign)
            close_at_once(given.result)

    def _is_reusable(self, protocol: Any) -> bool:
        if self.alive_ms.get(protocol, 0) <= self.dead_before_ms:
            return False
        # Reading the socket shows a close by the replica before the reactor has processed it.
        # Unsolicited bytes would be parsed as the start of the next answer.
        return is_idle(protocol.transport.getHandle())


def _make_pool(reactor: Any, persistent: bool) -> Any:
    return _RecordingPool(reactor, persistent)


def _record_close(protocol: Any) -> None:
    """Record whether a connection is closed in order or reset, and whether the request arrived.

    Twisted reports the end of a body without a declared length in the same way for all of these. If
    a reset counted as the end of the body, a truncated answer would be passed on as complete. So it
    would after an orderly close by a process that ends while its request is still on the way: the
    reset follows only when more of the request arrives.
    """
    connection_lost = protocol.connectionLost
    transport = protocol.transport
    read_connection_lost = transport.readConnectionLost

    def on_read_lost(reason: Any) -> None:
        unwritten = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        protocol.request_was_cut = bool(unwritten or unacknowledged_bytes(transport.getHandle()))
        read_connection_lost(reason)

    def on_lost(reason: Any) -> None:
        protocol.was_reset = not reason.check(ConnectionDone)
        connection_lost(reason)

    protocol.was_reset = protocol.request_was_cut = False
    protocol.connectionLost = on_lost
    transport.readConnectionLost = on_read_lost


def _set_tcp_options(protocol: Any) -> Any:
    """Set the TCP options that detect a dead peer on an idle connection.

    Without them, a connection whose state a middlebox has dropped stays open on this side.
    Keepalive probes and the limit on unacknowledged data close it within seconds.
    """
    _record_close(protocol)
    guard_head(protocol)
    protocol.transport.setTcpKeepAlive(True)
    sock: socket.socket = protocol.transport.getHandle()
    for name, value in (
        ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
        ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
        ("TCP_KEEPCNT", KEEPALIVE_PROBES),
        ("TCP_USER_TIMEOUT", USER_TIMEOUT_MS),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return protocol
