"""Keep connections to one replica and know which one a call is on.

Twisted's HTTPConnectionPool gives a call any connection it has kept, and puts a connection
back before the answer on it has been checked. Both hide what a truthful refusal needs: on
which connection a call went, and whether that connection was new. A Lease stands between
the pool and the endpoint, and records it.

A kept connection is used only if bytes have come on it since another connection to the same
replica was last seen silent. What went silent was not the replica but something between the
two ends, and that may have lost track of every connection that was open at that time.
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

from papayapier.sockets import is_quiet

# Connections in use are never bounded: a bound would let a call wait for another's answer.
KEPT_MAX: Final = 4_096
# Shorter than the 5 s after which common servers close an idle connection. A call written
# to a connection that is being closed fails, and nobody can tell whether it ran.
KEPT_IDLE_S: Final = 4

KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
USER_TIMEOUT_MS: Final = 5_000

# What the library calls the state of a connection with no request on it.
IDLE: Final = "QUIESCENT"

# The library has no annotations here.
_Agent: Any = Agent


class Lease:
    """Connect for one call, and record the connection that the call is on.

    take is called just before the request is written, and returns False if it must not be.
    """

    __slots__ = ("_endpoint", "_take", "fresh", "protocol")

    def __init__(self, endpoint: TCP4ClientEndpoint, take: Callable[[], bool]) -> None:
        self._endpoint = endpoint
        self._take = take
        self.fresh = False
        self.protocol: Any = None

    def endpointForURI(self, uri: object) -> "Lease":  # noqa: N802
        """Return itself, whatever the address in the URI."""
        return self

    def connect(self, protocolFactory: Any) -> Deferred[Any]:  # noqa: N803
        """Open a new connection."""
        self.fresh = True
        done: Deferred[Any] = self._endpoint.connect(protocolFactory)
        return done.addCallback(_tune)

    def use(self, protocol: Any) -> Any:
        """Record the connection; the request is written to it right after this.

        Up to here not one byte of the request was given to a connection, so a failure can
        truthfully be reported as not sent. After it, that is never certain again.
        """
        if protocol.state != IDLE:
            raise ConnectionAborted("the connection was lost before it was used")
        if not self._take():
            _abort(protocol)
            raise ConnectionAborted("the call has ended before it was sent")
        self.protocol = protocol
        return protocol

    def was_reset(self) -> bool:
        """Tell whether the connection has ended in another way than by its peer's close."""
        return self.protocol is not None and bool(self.protocol.was_reset)

    def condemn(self) -> None:
        """Close the connection at once, so that nothing else is ever read from it."""
        if self.protocol is not None:
            _abort(self.protocol)


class ReplicaPool:
    """Hold the kept connections to one address."""

    __slots__ = ("_endpoint", "_kept", "_reactor", "_single", "used_ms")

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self.used_ms = 0
        self._reactor = reactor
        # The call's own timer bounds connecting; the endpoint's is not on our clock.
        self._endpoint = TCP4ClientEndpoint(reactor, host, port)
        self._single = _make_pool(reactor, persistent=False)
        self._kept = _make_pool(reactor, persistent=True)

    def agent(self, lease: Lease, new_connection: bool) -> IAgent:
        """Return an agent for one request."""
        pool = self._single if new_connection else self._kept
        agent: IAgent = _Agent.usingEndpointFactory(self._reactor, lease, pool)
        return agent

    def lease(self, take: Callable[[], bool]) -> Lease:
        """Return a lease for one request."""
        return Lease(self._endpoint, take)

    def trust(self, lease: Lease, at_ms: int) -> None:
        """Note that a connection still carried bytes at a time."""
        self._kept.alive_ms[lease.protocol] = at_ms

    def distrust(self, before_ms: int) -> None:
        """Use no kept connection that has carried nothing after a time."""
        self._kept.distrusted_ms = max(self._kept.distrusted_ms, before_ms)

    def close(self) -> Deferred[None]:
        """Close the kept connections."""
        done: Deferred[None] = self._kept.closeCachedConnections()
        return done


class _LeasingPool(HTTPConnectionPool):
    """Tell the lease which connection it was given, and give only trusted ones."""

    maxPersistentPerHost = KEPT_MAX  # noqa: N815
    cachedConnectionTimeout = KEPT_IDLE_S  # noqa: N815
    # The pool would send a request again by itself, and a replica would run it twice.
    retryAutomatically = False  # noqa: N815

    def __init__(self, reactor: Any, persistent: bool) -> None:
        base: Any = super()
        base.__init__(reactor, persistent=persistent)
        self.alive_ms: WeakKeyDictionary[Any, int] = WeakKeyDictionary()
        self.distrusted_ms = -1

    def getConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:  # noqa: N802
        while True:
            given: Deferred[Any] = super().getConnection(key, endpoint)
            if endpoint.fresh or self._usable(given.result):
                return given.addCallback(endpoint.use)
            _abort(given.result)

    def _usable(self, protocol: Any) -> bool:
        if self.alive_ms.get(protocol, 0) <= self.distrusted_ms:
            return False
        # A replica that has closed it shows here before the reactor has come round to it. Bytes
        # that nobody asked for would be taken as the start of the next answer.
        return is_quiet(protocol.transport.getHandle())


def _make_pool(reactor: Any, persistent: bool) -> Any:
    return _LeasingPool(reactor, persistent)


def _abort(protocol: Any) -> None:
    # abort() alone first sends what is still buffered; abortConnection() alone leaves the
    # protocol looking idle until the next turn of the reactor, and a pool that already
    # holds it would give it to the next call.
    protocol.abort()
    protocol.transport.abortConnection()


def _note_end(protocol: Any) -> None:
    """Keep how a connection ends.

    The library ends a body without a declared length alike, whether the replica closed the
    connection or it was reset on the way; taken for whole, a half answer would be passed on.
    """
    lost = protocol.connectionLost

    def on_lost(reason: Any) -> None:
        protocol.was_reset = not reason.check(ConnectionDone)
        lost(reason)

    protocol.was_reset = False
    protocol.connectionLost = on_lost


def _tune(protocol: Any) -> Any:
    """Let the kernel notice a peer that is gone while nothing is due from it.

    Without this, a connection that something in between has forgotten stays open on our
    side; keepalive probes and the limit on unacknowledged data close it within seconds.
    """
    _note_end(protocol)
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
