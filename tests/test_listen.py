"""Test that a port is not closed by an event of an earlier descriptor with the same number.

The reactor polls all events of an iteration before it handles the first. If a handler closes a
descriptor and opens another one, the new one gets the same number, and an event of the closed
descriptor is delivered to it.
"""

import socket
from collections.abc import Callable
from typing import Any, cast

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource

from papayapier.clock import real_clock
from papayapier.listen import listen_resource, make_body_limit, next_reactor_iteration

HOST = "127.0.0.1"
SETTLE_MS = 100


class QuietFactory(ClientFactory):
    noisy = False
    protocol = Protocol

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Do nothing, because the test cancels the attempt."""


class StaleEventTestCase(TestCase):
    """Cancel a connection attempt after its event was polled and before it is handled."""

    timeout = 20

    def setUp(self) -> None:
        self.clock = real_clock()
        self.peer = socket.create_server((HOST, 0))
        self.target = socket.create_server((HOST, 0))
        self.addCleanup(self.peer.close)
        self.addCleanup(self.target.close)
        # With its first port the reactor opens an additional descriptor, so do this first.
        first = cast(Any, reactor).listenTCP(0, Factory.forProtocol(Protocol), interface=HOST)
        self.addCleanup(first.stopListening)

    async def run_in_handler(self, call: Callable[[], Any]) -> None:
        """Run a call in the iteration in which a connection attempt is cancelled."""
        done: Deferred[None] = Deferred()
        core = cast(Any, reactor)

        class FirstHandler(Protocol):
            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                attempt.stopConnecting()
                call()
                cast(Any, self.transport).loseConnection()
                core.callLater(SETTLE_MS / 1_000, done.callback, None)

        factory = QuietFactory.forProtocol(FirstHandler)
        core.connectTCP(HOST, self.peer.getsockname()[1], factory)
        await self.clock.sleep(SETTLE_MS)
        conn, _ = self.peer.accept()
        self.addCleanup(conn.close)
        # Both events are ready at the reactor's next poll, and this one is handled first.
        core.callLater(0, conn.send, b"x")
        attempt = core.connectTCP(HOST, self.target.getsockname()[1], QuietFactory())
        await done

    async def test_new_port_stays_open(self) -> None:
        """Guard against "doWrite called on a twisted.internet.tcp.Port", which closes the port."""
        opened: list[Any] = []

        async def open_port() -> None:
            await next_reactor_iteration(self.clock)
            limit = make_body_limit(1)
            opened.append(listen_resource(reactor, Resource(), "port", HOST, 0, limit).unwrap())

        await self.run_in_handler(lambda: Deferred.fromCoroutine(open_port()))
        (listening,) = opened
        with socket.create_connection((HOST, listening.port), timeout=1):
            await self.clock.sleep(SETTLE_MS)
        await listening.handle.stopListening()
        await self.clock.sleep(SETTLE_MS)
