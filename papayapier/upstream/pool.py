"""Keep connections to one replica and know which one a call is on.

Twisted's HTTPConnectionPool gives a call any connection it has kept, and puts a connection
back before the answer on it has been checked. Both hide what a truthful refusal needs: on
which connection a call went, and whether that connection was new. A Lease stands between
the pool and the endpoint, and records it.

Connections that were open when one of them went silent are not trusted any more: what lies
between the two ends may have lost track of all of them. The pool is then retired as a
whole, and calls begin again with new connections.
"""

import socket
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgent

# Connections in use are never bounded: a bound would let a call wait for another's answer.
KEPT_MAX: Final = 4_096
KEPT_IDLE_S: Final = 60

KEEPALIVE_IDLE_S: Final = 2
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 3
USER_TIMEOUT_MS: Final = 5_000

# The library has no annotations here.
_Agent: Any = Agent


class Lease:
    """Connect for one call, and record the connection that the call is on."""

    __slots__ = ("_endpoint", "_taken", "fresh", "protocol")

    def __init__(self, endpoint: TCP4ClientEndpoint, taken: Any) -> None:
        self._endpoint = endpoint
        self._taken = taken
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
        """Record the connection; the request is written to it right after this."""
        self.protocol = protocol
        self._taken()
        return protocol

    def condemn(self) -> None:
        """Close the connection at once, so that nothing else is ever read from it."""
        if self.protocol is None:
            return
        # abort() alone first sends what is still buffered; abortConnection() alone leaves
        # the protocol looking idle until the next turn of the reactor, and a pool that
        # already holds it would hand it to the next call.
        self.protocol.abort()
        self.protocol.transport.abortConnection()


class ReplicaPool:
    """Hold the kept connections to one address."""

    __slots__ = ("_endpoint", "_kept", "_reactor", "_single")

    def __init__(self, reactor: Any, host: str, port: int) -> None:
        self._reactor = reactor
        # The call's own timer bounds connecting; the endpoint's is not on our clock.
        self._endpoint = TCP4ClientEndpoint(reactor, host, port)
        self._single = _new_pool(reactor, persistent=False)
        self._kept = _new_pool(reactor, persistent=True)

    def agent(self, lease: Lease, new_connection: bool) -> IAgent:
        """Return an agent for one request."""
        pool = self._single if new_connection else self._kept
        agent: IAgent = _Agent.usingEndpointFactory(self._reactor, lease, pool)
        return agent

    def lease(self, taken: Any) -> Lease:
        """Return a lease for one request; taken is called just before it is written."""
        return Lease(self._endpoint, taken)

    def retire(self) -> None:
        """Stop using every connection that is open now."""
        old = self._kept
        self._kept = _new_pool(self._reactor, persistent=True)
        # Calls that still run on the old connections come back to the old pool, which
        # then closes them at once.
        old.cachedConnectionTimeout = 0
        old.closeCachedConnections()

    def close(self) -> Deferred[None]:
        """Close the kept connections."""
        done: Deferred[None] = self._kept.closeCachedConnections()
        return done


def _new_pool(reactor: Any, persistent: bool) -> Any:
    make: Any = _LeasingPool
    pool = make(reactor, persistent=persistent)
    pool.maxPersistentPerHost = KEPT_MAX
    pool.cachedConnectionTimeout = KEPT_IDLE_S
    # The pool would send a request again by itself, and a replica would run it twice.
    pool.retryAutomatically = False
    return pool


class _LeasingPool(HTTPConnectionPool):
    """Tell the lease which connection it was given."""

    def getConnection(self, key: Any, endpoint: Any) -> Deferred[Any]:  # noqa: N802
        given: Deferred[Any] = super().getConnection(key, endpoint)
        return given.addCallback(endpoint.use)


def _tune(protocol: Any) -> Any:
    """Let the kernel notice a peer that is gone while nothing is due from it.

    Without this, a connection that something in between has forgotten stays open on our
    side; keepalive probes and the limit on unacknowledged data close it within seconds.
    """
    transport = protocol.transport
    transport.setTcpKeepAlive(True)
    sock: socket.socket = transport.getHandle()
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
