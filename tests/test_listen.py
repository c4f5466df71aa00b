"""Test that what is opened in a turn of the reactor outlives the late events of that turn.

Events of a turn are read before the first is handled. A handler that closes a descriptor and opens
another gets the same number, and the event of the closed one goes to the new one.
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
from papayapier.listen import listen_resource, make_body_limit, next_turn

HOST = "127.0.0.1"
WAIT_MS = 100


class Quiet(ClientFactory):
    noisy = False
    protocol = Protocol

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Do nothing: the attempt is cancelled."""


class LateEventTestCase(TestCase):
    """Cancel an attempt to connect whose event is read and not yet handled."""

    timeout = 20

    def setUp(self) -> None:
        self.clock = real_clock()
        self.peer = socket.create_server((HOST, 0))
        self.target = socket.create_server((HOST, 0))
        self.addCleanup(self.peer.close)
        self.addCleanup(self.target.close)
        # With its first port the reactor opens a descriptor of its own.
        first = cast(Any, reactor).listenTCP(0, Factory.forProtocol(Protocol), interface=HOST)
        self.addCleanup(first.stopListening)

    async def in_handler(self, call: Callable[[], Any]) -> None:
        """Run a call in the turn in which an attempt is cancelled."""
        done: Deferred[None] = Deferred()
        core = cast(Any, reactor)

        class First(Protocol):
            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                attempt.stopConnecting()
                call()
                cast(Any, self.transport).loseConnection()
                core.callLater(WAIT_MS / 1_000, done.callback, None)

        factory = Quiet.forProtocol(First)
        core.connectTCP(HOST, self.peer.getsockname()[1], factory)
        await self.clock.sleep(WAIT_MS)
        conn, _ = self.peer.accept()
        self.addCleanup(conn.close)
        # Both are ready when the reactor looks next, this one first.
        core.callLater(0, conn.send, b"x")
        attempt = core.connectTCP(HOST, self.target.getsockname()[1], Quiet())
        await done

    async def test_a_port_stays_open(self) -> None:
        # Failure: "doWrite called on a twisted.internet.tcp.Port" closes a port just opened.
        opened: list[Any] = []

        async def open_port() -> None:
            await next_turn(self.clock)
            limit = make_body_limit(1)
            opened.append(listen_resource(reactor, Resource(), "port", HOST, 0, limit).unwrap())

        await self.in_handler(lambda: Deferred.fromCoroutine(open_port()))
        (listening,) = opened
        with socket.create_connection((HOST, listening.port), timeout=1):
            await self.clock.sleep(WAIT_MS)
        await listening.handle.stopListening()
        await self.clock.sleep(WAIT_MS)
