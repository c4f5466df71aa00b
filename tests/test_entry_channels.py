"""Test kept channels of callers beside their timeouts and changes of the configured limits."""

import tempfile
import time
from typing import Any

from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource

from papayapier.clock import real_clock
from papayapier.entry.site import MAX_MEMORY_BODY_BYTES
from papayapier.listen import listen_resource, make_body_limit
from tests.raw_client import RawClient, connect, post

reactor: Any = installed
_Resource: Any = Resource

HEADER_BYTES = 4_000
LONG_IDLE_MS = 15_000
IDLE_MS = 100
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Answering(_Resource):  # type: ignore[misc]
    """Answer every request with the size of its body."""

    isLeaf = True  # noqa: N815

    def render(self, request: Any) -> bytes:
        return b"{%d}" % len(request.take_body())


def get(header_bytes: int) -> bytes:
    """Return a request with a header of some size."""
    return b"GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + b"y" * header_bytes + b"\r\n\r\n"


class EntryChannels(TestCase):
    """Serve callers' channels on a loopback port."""

    timeout = 30

    def setUp(self) -> None:
        self.clients: list[RawClient] = []
        limit = make_body_limit(10_000)
        self.listening = listen_resource(
            reactor, Answering(), "port", "127.0.0.1", 0, limit
        ).unwrap()
        self.site = self.listening.site
        self.addCleanup(lambda: Deferred.fromCoroutine(self._stop()))

    async def _stop(self) -> None:
        for client in self.clients:
            client.abort()
            await client.closed
        await maybeDeferred(self.listening.handle.stopListening)
        while self.site.connections:
            await real_clock().sleep(1)

    async def _connect(self) -> RawClient:
        client = await connect(self.listening.port)
        self.clients.append(client)
        return client

    async def _kept(self) -> RawClient:
        """Return a channel on which a request was answered."""
        client = await self._connect()
        client.write(GET)
        await client.until(b"{0}")
        client.received.clear()
        return client

    def test_an_idle_channel_with_an_unread_request_is_served(self) -> Any:
        """Guard against closing a channel whose next request came while this process was busy."""

        async def run() -> None:
            self.site.set_limits(IDLE_MS, HEADER_BYTES)
            client = await self._kept()
            transport: Any = client.transport
            transport.getHandle().send(GET)
            time.sleep(2 * IDLE_MS / 1_000)
            await client.until(b"{0}")
            client.received.clear()
            await client.closed
            assert not client.received

        return Deferred.fromCoroutine(run())

    def test_a_channel_that_reads_no_answer_times_out(self) -> Any:
        """Guard against channels that stay open for ever since unread requests lie on them."""

        async def run() -> None:
            self.site.set_limits(IDLE_MS, HEADER_BYTES)
            client = await self._kept()
            (connection,) = self.site.connections
            connection.pauseProducing()
            client.write(GET)
            for _ in range(100):
                if connection.transport.disconnecting or not self.site.connections:
                    return
                await real_clock().sleep(IDLE_MS / 10)
            raise AssertionError("the channel is still open")

        return Deferred.fromCoroutine(run())

    def test_a_raised_header_limit_holds_for_open_channels(self) -> Any:
        """Guard against a 400 for a head that the configuration in force allows."""

        async def run() -> None:
            self.site.set_limits(LONG_IDLE_MS, HEADER_BYTES)
            client = await self._kept()
            self.site.set_limits(LONG_IDLE_MS, 2 * HEADER_BYTES)
            client.write(get(HEADER_BYTES + 1_000))
            await client.until(b"\r\n\r\n")
            assert client.status() == 200

        return Deferred.fromCoroutine(run())

    def test_a_lowered_header_limit_holds_for_new_channels(self) -> Any:
        """Guard against a 400 for a head that was on its way when its limit was lowered."""

        async def run() -> None:
            self.site.set_limits(LONG_IDLE_MS, 2 * HEADER_BYTES)
            kept = await self._kept()
            self.site.set_limits(LONG_IDLE_MS, HEADER_BYTES)
            new = await self._connect()
            for client in (kept, new):
                client.write(get(HEADER_BYTES + 1_000))
                await client.until(b"\r\n\r\n")
            assert (kept.status(), new.status()) == (200, 400)

        return Deferred.fromCoroutine(run())

    def test_a_raised_idle_timeout_holds_for_open_channels(self) -> Any:
        """Guard against closing channels that callers may use for longer now."""

        async def run() -> None:
            self.site.set_limits(IDLE_MS, HEADER_BYTES)
            client = await self._kept()
            self.site.set_limits(LONG_IDLE_MS, HEADER_BYTES)
            await real_clock().sleep(3 * IDLE_MS)
            client.write(GET)
            await client.until(b"{0}")

        return Deferred.fromCoroutine(run())

    def test_a_raised_idle_timeout_holds_after_the_answer_under_way(self) -> Any:
        """Guard against the old idle timeout after an answer that was under way at the change."""

        async def run() -> None:
            self.site.set_limits(IDLE_MS, HEADER_BYTES)
            client = await self._connect()
            client.write(post("/a", b"x" * 10)[:-5])
            await real_clock().sleep(IDLE_MS / 4)
            self.site.set_limits(LONG_IDLE_MS, HEADER_BYTES)
            client.write(b"x" * 5)
            await client.until(b"{10}")
            await real_clock().sleep(3 * IDLE_MS)
            client.write(GET)
            await client.until(b"{0}")

        return Deferred.fromCoroutine(run())

    def test_a_body_may_pause_for_longer_than_a_channel_may_be_idle(self) -> Any:
        """Guard against closing a channel in the middle of a request by a short idle timeout."""

        async def run() -> None:
            self.site.set_limits(IDLE_MS, HEADER_BYTES)
            client = await self._connect()
            request = post("/a", b"x" * 10, "X-Long: " + "y" * 100)
            for part in (request[:30], request[30:-8], request[-8:-4], request[-4:]):
                client.write(part)
                await real_clock().sleep(2 * IDLE_MS)
            await client.until(b"{10}")

        return Deferred.fromCoroutine(run())

    def test_a_request_that_never_ends_times_out(self) -> Any:
        """Guard against channels that stay open for ever since a request never arrives whole."""

        async def run() -> None:
            self.site.set_limits(IDLE_MS, HEADER_BYTES, 3 * IDLE_MS)
            for rest in (8, 40):
                client = await self._connect()
                client.write(post("/a", b"x" * 10)[:-rest])
                await client.closed

        return Deferred.fromCoroutine(run())

    async def _status_of_large_body(self) -> int:
        """Send a body that is too large for memory, on a machine that has no disk."""
        self.site.body_limit = make_body_limit(2 * MAX_MEMORY_BODY_BYTES)
        folder, tempfile.tempdir = tempfile.tempdir, "/nonexistent"
        half = MAX_MEMORY_BODY_BYTES // 2 + 1
        body = b"%x\r\n%b\r\n" % (half, b"x" * half) * 2 + b"0\r\n\r\n"
        client = await self._connect()
        client.write(b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
        try:
            await client.until(b"\r\n\r\n")
        finally:
            tempfile.tempdir = folder
        return client.status()

    def test_a_large_body_is_refused_where_no_file_can_be_written(self) -> Any:
        """Guard against a channel without an answer where a body cannot be stored."""

        async def run() -> None:
            assert await self._status_of_large_body() == 503

        return Deferred.fromCoroutine(run())

    def test_a_large_body_needs_no_disk_at_an_entry(self) -> Any:
        """Guard against refusing bodies within the limit on machines that have no disk."""

        async def run() -> None:
            self.site.bodies_in_memory = True
            assert await self._status_of_large_body() == 200

        return Deferred.fromCoroutine(run())

    def test_a_header_line_may_be_as_long_as_the_limit(self) -> Any:
        """Guard against a channel that ends without an answer at one long header."""

        async def run() -> None:
            self.site.set_limits(LONG_IDLE_MS, 40_000)
            client = await self._connect()
            client.write(get(20_000))
            await client.until(b"{0}")
            client.received.clear()
            client.write(get(50_000))
            await client.until(b"\r\n\r\n")
            assert client.status() == 400

        return Deferred.fromCoroutine(run())
