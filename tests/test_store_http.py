"""Test the HTTP adapter of the store against a small scripted server."""

from collections.abc import Callable, Coroutine
from typing import Any, cast

from result import Err, Ok
from twisted.internet import reactor as global_reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.trial.unittest import TestCase

from papayapier.clock import real_clock
from papayapier.metrics import make_metrics
from papayapier.settings import PlatformSettings
from papayapier.standin.platform import PlatformParams, start_platform
from papayapier.store.api import (
    Change,
    Changes,
    Entry,
    Listing,
    Members,
    Store,
    Stored,
    StoreError,
)
from papayapier.store.http import http_store
from tests.fake_store import make_member

REACTOR = cast(Any, global_reactor)
SILENT = b""
CUT = b"CUT"


def answer(status: str, body: bytes = b"", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Scripted(Protocol):
    """Answer each request on a connection with the next scripted bytes."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        factory = cast(Any, self.factory)
        factory.seen.append(data)
        transport = cast(Any, self.transport)
        reply = factory.replies.pop(0)
        if reply == CUT:
            transport.abortConnection()
        elif reply != SILENT:
            transport.write(reply)


class HttpStoreTest(TestCase):
    """Test the adapter over real sockets."""

    timeout = 20

    def setUp(self) -> None:
        self.server = cast(Any, Factory.forProtocol(Scripted))
        self.server.replies = []
        self.server.seen = []
        self.port = REACTOR.listenTCP(0, self.server, interface="127.0.0.1")
        self.metrics = make_metrics()
        self.store = self.make_store(self.port.getHost().port)

    def make_store(self, port: int, timeout_ms: int = 2_000) -> Store:
        platform = PlatformSettings("127.0.0.1", port, timeout_ms)
        store = http_store(REACTOR, real_clock(), platform, self.metrics)
        self.addCleanup(lambda: Deferred.fromCoroutine(cast(Any, store.close())))
        return store

    async def tearDown(self) -> None:  # type: ignore[override]
        await self.port.stopListening()

    async def check_outcomes(
        self, call: Callable[[], Any], replies: list[bytes], expected: list[object]
    ) -> None:
        self.server.replies = list(replies)
        assert [await call() for _ in replies] == expected

    def test_no_call_is_open_or_sent_after_close(self) -> Any:
        # Symptom: an instance that has been closed continues to call the platform, and its
        # connection attempts outlive it.
        # Sequence: a call waits for its answer; the store is closed; the task whose call has
        # failed sends the next one.
        # Cause: closing dropped the idle connections only.
        async def run() -> None:
            self.server.replies = [SILENT]
            waiting = Deferred.fromCoroutine(cast(Any, self.store.get("a")))
            while not self.server.seen:
                await real_clock().sleep(1)
            await self.store.close()
            assert waiting.called
            assert await waiting == Err(StoreError.UNAVAILABLE)
            assert await self.store.create("a", b"1") == Err(StoreError.UNAVAILABLE)
            assert len(self.server.seen) == 1

        return Deferred.fromCoroutine(run())

    def test_outcomes_of_writes(self) -> Any:
        async def case() -> None:
            await self.check_outcomes(
                lambda: self.store.update("a/b", b"v", 3),
                [
                    answer("200 OK", headers='ETag: "7"\r\n'),
                    answer("412 Precondition Failed"),
                    answer("413 Content Too Large"),
                    answer("429 Too Many Requests"),
                    answer("503 Service Unavailable"),
                    answer("502 Bad Gateway"),
                    answer("200 OK"),
                    CUT,
                ],
                [
                    Ok(7),
                    Err(StoreError.CONFLICT),
                    Err(StoreError.TOO_LARGE),
                    Err(StoreError.LIMITED),
                    Err(StoreError.UNAVAILABLE),
                    Err(StoreError.LOST),
                    Err(StoreError.LOST),
                    Err(StoreError.LOST),
                ],
            )
            assert b'If-Match: "3"' in self.server.seen[0]
            assert self.server.seen[0].startswith(b"PUT /objects/a/b HTTP/1.1")

        return started(case())

    def test_a_status_that_refuses_nothing_leaves_a_write_unknown(self) -> Any:
        # Failure: a write that was carried out is taken for one that changed nothing.
        statuses = ["202 Accepted", "204 No Content", "206 Part", "302 Found", "304 Same"]

        async def case() -> None:
            replies = [answer(status) for status in statuses]
            for call, error in (
                (lambda: self.store.create("k", b"v"), StoreError.LOST),
                (lambda: self.store.update("k", b"v", 3), StoreError.LOST),
                (lambda: self.store.delete("k", 3), StoreError.LOST),
                (lambda: self.store.get("k"), StoreError.UNAVAILABLE),
            ):
                await self.check_outcomes(call, replies, [Err(error)] * len(replies))
            replies = [answer("403 Forbidden"), answer("428 Precondition Required")]
            unchanged: list[object] = [Err(StoreError.UNAVAILABLE)] * len(replies)
            await self.check_outcomes(lambda: self.store.create("k", b"v"), replies, unchanged)

        return started(case())

    def test_create_and_delete_conditions(self) -> Any:
        async def case() -> None:
            self.server.replies = [answer("201 Created", headers='ETag: "1"\r\n'), answer("200 OK")]
            assert await self.store.create("k", b"v") == Ok(1)
            assert await self.store.delete("k", 1) == Ok(1)
            assert b"If-None-Match: *" in self.server.seen[0]
            assert self.server.seen[1].startswith(b"DELETE /objects/k HTTP/1.1")

        return started(case())

    def test_outcomes_of_reads(self) -> Any:
        async def case() -> None:
            self.server.replies = [
                answer("200 OK", b"value", 'ETag: "4"\r\n'),
                answer("404 Not Found"),
                CUT,
                answer("200 OK", b"cut", 'ETag: "4"\r\n')[:-1].replace(b" 3", b" 9"),
            ]
            assert cast(Any, await self.store.get("k")).ok_value.value == b"value"
            assert await self.store.get("k") == Err(StoreError.NOT_FOUND)
            assert await self.store.get("k") == Err(StoreError.UNAVAILABLE)
            short = self.make_store(self.port.getHost().port, timeout_ms=100)
            assert await short.get("k") == Err(StoreError.UNAVAILABLE)

        return started(case())

    def test_listings(self) -> Any:
        async def case() -> None:
            listing = b'{"objects":[{"key":"a","version":2}],"more":false,"revision":9,"new":1}'
            changes = b'{"changes":[{"key":"a","version":3,"deleted":true}],"revision":9}'
            member = (
                b'{"id":"e1","kind":"entry","upstream":"","host":"127.0.0.1","port":8080,'
                b'"peer_port":8082,"data_centre":"dc-a","region":"local","state":"live"}'
            )
            self.server.replies = [
                answer("200 OK", listing),
                answer("200 OK", changes),
                answer("410 Gone"),
                answer("200 OK", b'{"instances":[' + member + b'],"revision":5}'),
                answer("200 OK", b"{}"),
            ]
            assert await self.store.list("a", "", 10) == Ok(Listing([Entry("a", 2)], False, 9))
            assert await self.store.watch("a", 2, 10) == Ok(Changes([Change("a", 3, True)], 9))
            assert await self.store.watch("a", 2, 10) == Err(StoreError.TOO_OLD)
            assert await self.store.members(0, 0) == Ok(Members([make_member("e1")], 5))
            assert await self.store.list("a", "", 10) == Err(StoreError.UNAVAILABLE)

        return started(case())

    def test_refused_connection_changes_nothing(self) -> Any:
        async def case() -> None:
            spare = REACTOR.listenTCP(0, self.server, interface="127.0.0.1")
            port = spare.getHost().port
            await spare.stopListening()
            store = self.make_store(port)
            assert await store.update("k", b"v", 1) == Err(StoreError.UNAVAILABLE)

        return started(case())

    def test_silent_connection_is_replaced(self) -> Any:
        # Symptom: every call times out although the platform answers others.
        # Sequence: a persistent connection becomes silent; calls keep taking it from the pool.
        # Cause: a device between the two ends has dropped the connection's state.
        async def case() -> None:
            store = self.make_store(self.port.getHost().port, timeout_ms=100)
            ok = answer("200 OK", headers='ETag: "7"\r\n')
            self.server.replies = [ok, SILENT, ok]
            assert await store.update("k", b"v", 1) == Ok(7)
            assert await store.update("k", b"v", 7) == Err(StoreError.LOST)
            assert await store.update("k", b"v", 7) == Ok(7)

        return started(case())

    def test_counts_calls_and_bytes(self) -> Any:
        async def case() -> None:
            self.server.replies = [answer("412 Precondition Failed")]
            await self.store.update("k", b"four", 1)
            sample = self.metrics.registry.get_sample_value
            labels = {"call": "update", "end": "conflict"}
            assert sample("papayapier_store_calls_total", labels) == 1
            assert sample("papayapier_store_bytes_total", {"direction": "out"}) == 4

        return started(case())


def started(case: Coroutine[Deferred[Any], Any, None]) -> Deferred[None]:
    return Deferred.fromCoroutine(case)


class StandInPlatformTest(TestCase):
    """Test the adapter against the stand-in, which implements the platform's side."""

    timeout = 20

    def test_every_call(self) -> Any:
        async def case() -> None:
            clock = real_clock()
            params = PlatformParams(list_lag_ms=0)
            server = await start_platform(REACTOR, clock, params, "127.0.0.1", 0)
            platform = PlatformSettings("127.0.0.1", server.port, 1_000)
            store = http_store(REACTOR, clock, platform, make_metrics())
            try:
                await self.objects(store)
                await self.instances(store)
                server.control({"lose_answers": 1})
                assert await store.create("lost", b"v") == Err(StoreError.LOST)
                assert isinstance(await store.get("lost"), Ok)
                server.control({"outage": True})
                assert await store.get("lost") == Err(StoreError.UNAVAILABLE)
            finally:
                await store.close()
                await server.close()

        return started(case())

    async def objects(self, store: Store) -> None:
        first = (await store.create("p/a", b"1")).unwrap()
        assert await store.create("p/a", b"1") == Err(StoreError.CONFLICT)
        second = (await store.update("p/a", b"2", first)).unwrap()
        assert await store.update("p/a", b"3", first) == Err(StoreError.CONFLICT)
        assert (await store.get("p/a")).unwrap() == Stored("p/a", second, b"2")
        listing = (await store.list("p/", "", 10)).unwrap()
        assert listing == Listing([Entry("p/a", second)], False, second)
        waiting = Deferred.fromCoroutine(cast(Any, store.watch("p/", second, 5_000)))
        deleted = (await store.delete("p/a", second)).unwrap()
        (change,) = (await waiting).unwrap().changes
        assert (change.key, change.deleted, change.version >= deleted) == ("p/a", True, True)
        assert await store.get("p/a") == Err(StoreError.NOT_FOUND)

    async def instances(self, store: Store) -> None:
        assert await store.report(make_member("e1")) == Ok(None)
        known = (await store.members(0, 0)).unwrap()
        assert known.instances == [make_member("e1")]
        assert await store.withdraw("e1") == Ok(None)
        assert (await store.members(0, 0)).unwrap().instances == []
