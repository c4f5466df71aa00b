"""Test that callers who read and send slowly do not exhaust a process's memory."""

import time
from typing import Any, Final

import pytest
from result import Ok
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred, gatherResults
from twisted.trial.unittest import TestCase
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from papayapier import events
from papayapier.clock import real_clock
from papayapier.entry.unread_watch import REVIEW_MS, UnreadWatch
from papayapier.listen import listen_resource
from papayapier.metrics import make_metrics
from papayapier.policy.buffered_bytes import COPIES_PER_BODY, UNBOUNDED, BufferedBytes, Unread
from tests.log_capture import LogCapture
from tests.raw_client import RawClient, connect, post

reactor: Any = installed
_Resource: Any = Resource

MAX_BYTES: Final = 2_000_000
# Enough to fill the kernel's buffers of a connection.
PIECE: Final = b"x" * 100_000
SLOW_READERS: Final = 40
SLOW_SENDERS: Final = 40


def test_longest_unread_is_dropped_first() -> None:
    """Guard against dropping a caller that has read recently."""
    buffered = BufferedBytes(100)
    unread = [Unread(1, 50, 60), Unread(2, 10, 30), Unread(3, 90, 40)]
    assert [entry.caller for entry in buffered.callers_to_drop(unread)] == [2]
    assert buffered.total() == 100


@pytest.mark.parametrize("gone", [1, 2, 3, 4])
def test_unread_bytes_count_until_disconnect(gone: int) -> None:
    """Guard against counting a disconnected caller's bytes, or subtracting them twice."""
    buffered = BufferedBytes(200)
    unread = {1: 60, 2: 30, 3: 40}
    assert (
        buffered.callers_to_drop(Unread(number, 0, size) for number, size in unread.items()) == []
    )
    buffered.on_disconnected(gone)
    buffered.on_disconnected(gone)
    assert buffered.total() == sum(unread.values()) - unread.get(gone, 0)


def test_bodies_count_until_they_end() -> None:
    """Guard against bodies beyond the bound, and against counting them after their end."""
    buffered = BufferedBytes(100)
    buffered.on_body(30)
    assert buffered.total() == 30 * COPIES_PER_BODY
    assert not buffered.has_capacity(30)
    buffered.on_body(-30)
    assert buffered.has_capacity(50)
    assert not buffered.has_capacity(51)


def test_without_a_bound_everything_is_buffered() -> None:
    """Guard against refusing bodies where no bound is set."""
    buffered = BufferedBytes(UNBOUNDED)
    buffered.on_body(1_000_000_000)
    assert buffered.has_capacity(1_000_000_000)
    assert buffered.callers_to_drop([Unread(1, 0, 1_000_000_000)]) == []


class _Answers(_Resource):  # type: ignore[misc]
    """Answer /calm and /body at once, and stream without end to other paths."""

    isLeaf = True  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self.streaming: list[Any] = []

    def render(self, request: Any) -> Any:
        if request.path == b"/calm":
            return b"whole"
        if request.path == b"/body":
            return b"%d" % len(request.take_body())
        request.notifyFinish().addErrback(lambda _: self.streaming.remove(request))
        self.streaming.append(request)
        request.write(b"")
        return NOT_DONE_YET

    def feed(self) -> None:
        for request in list(self.streaming):
            request.write_now(PIECE)


class BufferedBytesTest(TestCase):
    """Open many slow connections to one port."""

    timeout = 60

    def setUp(self) -> None:
        self.clock = real_clock()
        self.logs = LogCapture()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        self.answers = _Answers()
        opened = listen_resource(
            reactor, self.answers, "t", "127.0.0.1", 0, lambda _path: 10_000_000
        )
        assert isinstance(opened, Ok)
        self.listening = opened.ok_value
        self.buffered = BufferedBytes(MAX_BYTES)
        self.watch = UnreadWatch(self.clock, self.listening.site, self.buffered, make_metrics())
        self.watch.start()
        self.clients: list[RawClient] = []
        self.max_buffered = 0

    def tearDown(self) -> Any:
        async def close() -> None:
            self.watch.close()
            for client in self.clients:
                client.abort()
            await self.clock.sleep(50)
            self.listening.site.close_all()
            await self.listening.handle.stopListening()
            await self.clock.sleep(50)

        return Deferred.fromCoroutine(close())

    async def _connect(self) -> RawClient:
        client = await connect(self.listening.port)
        self.clients.append(client)
        return client

    async def _connect_many(self, number: int) -> list[RawClient]:
        calls = [Deferred.fromCoroutine(self._connect()) for _ in range(number)]
        clients: list[RawClient] = await gatherResults(calls)
        return clients

    async def _response_ms(self, calls: int) -> list[float]:
        """Return how long calm requests take, shortest first; record the buffered bytes."""
        client = await self._connect()
        durations_ms = []
        for _ in range(calls):
            client.received.clear()
            began = time.monotonic()
            client.write(b"GET /calm HTTP/1.1\r\nHost: x\r\n\r\n")
            await client.until(b"whole")
            durations_ms.append((time.monotonic() - began) * 1_000)
            self.answers.feed()
            self.max_buffered = max(self.max_buffered, self._unread() + self.buffered.total())
            await self.clock.sleep(10)
        return sorted(durations_ms)

    def _unread(self) -> int:
        return sum(connection.unsent_bytes() for connection in self.listening.site.connections)

    def test_slow_readers_are_closed_and_others_are_served(self) -> Any:
        """Guard against unread answers that exhaust a machine with 200 MB and end its process."""

        async def run() -> None:
            before_ms = await self._response_ms(60)
            slow = await self._connect_many(SLOW_READERS)
            for client in slow:
                client.shrink_receive_buffer()
                client.stop_reading()
                client.write(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
            await self.clock.sleep(200)
            under_load_ms = await self._response_ms(150)
            ended = self.logs.fields_of(events.CALLER_SLOW)
            assert ended
            assert all(event["unread_ms"] >= 0 for event in ended)
            # Bytes that arrive between two reviews may exceed the bound.
            await self.clock.sleep(2 * REVIEW_MS)
            assert self.buffered.total() <= MAX_BYTES
            assert under_load_ms[len(under_load_ms) // 2] <= max(
                5.0, 3 * before_ms[len(before_ms) // 2]
            )

        return Deferred.fromCoroutine(run())

    def test_slow_bodies_leave_memory_for_small_ones(self) -> Any:
        """Guard against large bodies that never end and use up the memory."""

        async def run() -> None:
            slow = await self._connect_many(SLOW_SENDERS)
            for client in slow:
                client.write(post("/body", b"y" * 400_000)[:-300_000])
            await self.clock.sleep(300)
            assert self.buffered.total() <= MAX_BYTES
            refused = [refused_client for refused_client in slow if refused_client.received]
            assert refused
            assert {refused_client.status() for refused_client in refused} == {503}
            assert all(
                refused_client.json()["error"]["outcome"] == "not_run" for refused_client in refused
            )
            for client in slow:
                client.abort()
            await self.clock.sleep(100)
            assert self.buffered.total() == 0
            complete = await self._connect()
            complete.write(post("/body", b"y" * 400_000))
            await complete.until(b"400000")

        return Deferred.fromCoroutine(run())

    def test_disconnected_callers_buffer_nothing(self) -> Any:
        """Guard against refusing bodies for lack of memory that disconnected callers used."""

        async def run() -> None:
            slow = await self._connect_many(SLOW_READERS)
            for client in slow:
                client.shrink_receive_buffer()
                client.stop_reading()
                client.write(b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
            while not self.buffered.total():
                self.answers.feed()
                await self.clock.sleep(10)
            # No review follows this one.
            self.watch.close()
            for client in slow:
                client.abort()
            deadline_ms = self.clock.now() + 5_000
            while self.listening.site.connections and self.clock.now() < deadline_ms:
                await self.clock.sleep(10)
            assert self.buffered.total() == 0

        return Deferred.fromCoroutine(run())
