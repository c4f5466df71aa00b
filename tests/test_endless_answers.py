"""Test that bytes that are no answer, without end, cost a process a bounded amount."""

from typing import Any, cast

from result import Err, Ok
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.http_headers import Headers

from papayapier.clock import real_clock
from papayapier.dispatch.relayed_stream import CallerStream, RelayedStream
from papayapier.head_guard import MAX_HEAD_BYTES
from papayapier.metrics import make_metrics
from papayapier.platform.headers import decode_facts
from papayapier.platform.store import platform_store
from papayapier.settings import PlatformSettings, UpstreamSettings
from papayapier.store.api import StoreError
from papayapier.upstream.answers import PROGRESS_BYTES
from papayapier.upstream.api import FailureKind, OnSilence, Replica, Sent, Silence
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.control import ControlRequest, make_control_sender
from papayapier.upstream.event_splitter import NO_EVENT
from papayapier.upstream.forward_call import ForwardCall, ForwardCallDeps, make_forward_call_sender
from tests.endless_server import ANSWERS, PIECE_BYTES, REJECTED, TRICKLES, EndlessServer
from tests.raw_server import RawServer, with_length

reactor: Any = installed

DUE_MS = 10_000
# Far less than the due time, and far more than reading what a connection may send.
SOON_MS = 3_000
STORE_MS = 1_200
FIRST_BYTE_MS = 300
TRICKLE_PAUSE_S = 0.05
# Within the progress limit, and more than once until the due time.
SLOW_PAUSE_S = 1.5
SLOW_DUE_MS = 4_000
HEADS = [
    "header lines",
    "short header lines",
    "one header line",
    "a folded header line",
    "interim answers",
    "interim answers with headers",
    "a status line",
    "no protocol",
    "blank lines",
]


class IgnoredStream:
    """Ignore what a caller would receive."""

    def begin(self, answer: object) -> None:
        pass

    def write(self, data: bytes) -> None:
        pass


def resumed_stream() -> RelayedStream:
    """Return a stream of which another replica has sent an event."""
    caller_stream: CallerStream = IgnoredStream()
    stream = RelayedStream(caller_stream, NO_EVENT, True, lambda: None)
    assert stream.on_data(b"id: 1\ndata: 1\n\n", 1) is None
    stream.restart()
    return stream


class EndlessTest(TestCase):
    """Call a server whose answers never end."""

    timeout = 60

    def setUp(self) -> None:
        self.clock = real_clock()
        self.server = EndlessServer()
        self.port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.pools = ConnectionPools(reactor, self.clock, UpstreamSettings())
        self.replica = Replica("i-1", "app", "127.0.0.1", self.port.getHost().port, "z")

    def tearDown(self) -> Any:
        async def close() -> None:
            await self.pools.close()
            self.server.close()
            await self.port.stopListening()
            await self.clock.sleep(50)
            # Twisted reports the end of a body on a connection that was aborted within it.
            cast(Any, self).flushLoggedErrors(RuntimeError)

        return Deferred.fromCoroutine(close())

    async def call(
        self,
        fresh: bool = True,
        stream: bool = False,
        on_silence: OnSilence | None = None,
        due_ms: int = DUE_MS,
    ) -> Any:
        deps = ForwardCallDeps(
            self.pools, decode_facts, lambda _i, _l: None, lambda _i: None, make_metrics()
        )
        due_ms += self.clock.now()
        call = ForwardCall(
            "r-1",
            "GET",
            "/x",
            Headers({}),
            b"",
            due_ms,
            fresh,
            stream,
            first_byte_ms=FIRST_BYTE_MS if on_silence else 0,
            on_silence=on_silence,
        )
        relayed = resumed_stream() if stream else None
        return await make_forward_call_sender(deps)(self.replica, call, relayed)

    async def check_closed_soon(self, name: str, began_ms: int) -> None:
        assert self.clock.now() - began_ms < SOON_MS, name
        await self.clock.sleep(200)
        assert not self.server.open, name

    async def _heads(self) -> None:
        for name in HEADS:
            for fresh in (True, False):
                self.server.play(*ANSWERS[name])
                began_ms = self.clock.now()
                result = await self.call(fresh)
                assert isinstance(result, Err), name
                failure = result.err_value
                assert failure.kind in (FailureKind.INVALID, FailureKind.TRUNCATED), (name, failure)
                assert failure.sent is Sent.MAYBE
                await self.check_closed_soon(name, began_ms)

    def test_a_head_without_end_is_given_up_soon(self) -> Any:
        # Symptom: the memory of an entry grows by 160 MB, or its core is spent on one connection,
        # until the requests are due.
        # Sequence: a replica sends header lines or interim answers without end.
        # Cause: only the length of each line was bounded.
        return Deferred.fromCoroutine(self._heads())

    async def _bodies(self) -> None:
        for name in sorted(set(ANSWERS) - set(HEADS)):
            self.server.play(*ANSWERS[name])
            began_ms = self.clock.now()
            result = await self.call()
            whole = name == "a body longer than its length"
            assert isinstance(result, Ok if whole else Err), (name, result)
            await self.check_closed_soon(name, began_ms)

    async def _rejection(self) -> None:
        for piece, pause_s in ((b"busy", 0.0), (b"b", 0.2)):
            self.server.play(REJECTED + b"Content-Length: 1000000\r\n\r\n", piece, pause_s)
            began_ms = self.clock.now()
            result = await self.call()
            assert isinstance(result, Err)
            # It is known that the request has not run, and the replica counts as faulty.
            assert (result.err_value.kind, result.err_value.sent) == (FailureKind.INVALID, Sent.NO)
            assert self.server.connections[-1].written_bytes < PIECE_BYTES * 64
            await self.check_closed_soon("a rejection", began_ms)

    def test_a_rejection_without_end_is_given_up_soon(self) -> Any:
        # Failure: a request that has not run waits for the end of a body that nobody reads.
        return Deferred.fromCoroutine(self._rejection())

    def test_a_body_without_end_is_given_up_soon(self) -> Any:
        return Deferred.fromCoroutine(self._bodies())

    async def _trickles(self) -> None:
        silences: list[Silence] = []

        def end(silence: Silence) -> None:
            silences.append(silence)
            assert silence.end()

        for name, (head, piece) in TRICKLES.items():
            for on_silence in (end, None):
                self.server.play(head, piece, TRICKLE_PAUSE_S)
                silences.clear()
                began_ms = self.clock.now()
                result = await self.call(stream=name != "a body", on_silence=on_silence)
                assert isinstance(result, Err), name
                assert result.err_value.kind is FailureKind.TIMED_OUT, (name, result)
                assert len(silences) == (on_silence is not None)
                await self.check_closed_soon(name, began_ms)

    def test_bytes_that_nobody_can_use_count_as_silence(self) -> Any:
        # Failure: a byte now and then keeps a request at a replica that never answers, until it is
        # due, beside replicas that would.
        return Deferred.fromCoroutine(self._trickles())

    async def _slow_answers(self) -> None:
        slow = {
            "a body": (b"b" * PROGRESS_BYTES, False),
            "events": (b"data: 1\n\n", True),
        }
        for name, (piece, stream) in slow.items():
            chunk = b"%x\r\n%s\r\n" % (len(piece), piece)
            self.server.play(*TRICKLES["an event"], pause_s=SLOW_PAUSE_S)
            self.server.piece = chunk
            result = await self.call(stream=stream, due_ms=SLOW_DUE_MS)
            assert isinstance(result, Err)
            assert result.err_value.kind is FailureKind.DEADLINE, (name, result)

    def test_a_slow_answer_that_grows_is_no_silence(self) -> Any:
        # Failure: an answer that a slow replica or link brings in parts is given up.
        return Deferred.fromCoroutine(self._slow_answers())

    async def _control(self) -> None:
        for name in ANSWERS:
            self.server.play(*ANSWERS[name])
            began_ms = self.clock.now()
            sent = await make_control_sender(self.pools)(
                self.replica, ControlRequest("GET", "/load")
            )
            assert isinstance(sent, Ok if name == "a body longer than its length" else Err), name
            await self.check_closed_soon(name, began_ms)

    def test_load_polls_give_up_answers_without_end(self) -> Any:
        return Deferred.fromCoroutine(self._control())

    async def _store(self) -> None:
        # A call of the store is bounded in time.
        settings = PlatformSettings("127.0.0.1", self.replica.port, STORE_MS, 500, 100, 100)
        store = platform_store(reactor, self.clock, settings, make_metrics())
        for name in ANSWERS:
            self.server.play(*ANSWERS[name])
            began_ms = self.clock.now()
            expected = Err(StoreError.UNAVAILABLE)
            assert await store.list("servers/", "", 1) == expected, name
            assert self.clock.now() - began_ms < SOON_MS, name
        await store.close()
        await self.clock.sleep(200)
        assert not self.server.open

    def test_store_calls_give_up_answers_without_end(self) -> Any:
        return Deferred.fromCoroutine(self._store())


class HeadLimitTest(TestCase):
    """Call a server whose answers have long heads."""

    timeout = 20

    def test_heads_up_to_the_limit_are_read(self) -> Any:
        """Guard against a limit that counts a body, or the answers before on a kept connection."""

        async def run() -> None:
            clock = real_clock()
            server = RawServer()
            port = reactor.listenTCP(0, server, interface="127.0.0.1")
            pools = ConnectionPools(reactor, clock, UpstreamSettings())
            replica = Replica("i-1", "app", "127.0.0.1", port.getHost().port, "z")
            deps = ForwardCallDeps(
                pools, decode_facts, lambda _i, _l: None, lambda _i: None, make_metrics()
            )
            send = make_forward_call_sender(deps)
            body = b"b" * (4 * MAX_HEAD_BYTES)
            plain = with_length(body, "r-1").replace(b"X-Load", b"X-Server-Stamp: s\r\nX-Load")
            head_bytes = len(plain) - len(body)
            for length in (0, 500, MAX_HEAD_BYTES - head_bytes - len(b"X-Note: \r\n")):
                note = b"X-Note: " + b"n" * length + b"\r\n" if length else b""
                server.answer_with(plain.replace(b"X-Load", note + b"X-Load"))
                due_ms = clock.now() + DUE_MS
                call = ForwardCall("r-1", "GET", "/", Headers({}), b"", due_ms, False, False)
                result = await send(replica, call, None)
                assert isinstance(result, Ok), (length, result)
                assert result.ok_value.body == body  # type: ignore[union-attr]
            assert len(server.connections) == 1
            await pools.close()
            for conn in server.connections:
                conn.abort()
            await port.stopListening()
            await clock.sleep(50)

        return Deferred.fromCoroutine(run())
