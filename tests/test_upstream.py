"""Test calls to replicas over real sockets, against a server that sends raw bytes.

Timers run on a fake clock, so timeouts take no real time; only socket I/O does.
"""

from typing import Any, cast

from result import Err
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import deferLater
from twisted.internet.testing import MemoryReactorClock
from twisted.trial.unittest import TestCase

from papayapier import invariants
from papayapier.clock import fake_clock
from papayapier.metrics import make_metrics
from papayapier.settings import UpstreamSettings
from papayapier.upstream import replies, sse
from papayapier.upstream.api import Call, Failure, FailureKind, Replica, Reply, Sent, Silence, Token
from papayapier.upstream.cancels import MAX_IN_FLIGHT
from papayapier.upstream.client import make_upstream_client
from papayapier.upstream.exchange import SILENCE_REPEAT_MS
from tests.raw_server import (
    DONE,
    LAST_EVENT,
    RawServer,
    chunked,
    complete_body,
    stream_event,
    with_length,
)

reactor = cast(Any, installed_reactor)

CHAT = "/v1/chat/completions"
CFG = UpstreamSettings()


def equal(found: object, expected: object) -> None:
    assert found == expected, f"{found!r} is not {expected!r}"


class UpstreamTestCase(TestCase):
    """Connect the upstream client to a raw server, on a fake clock."""

    timeout = 5

    def setUp(self) -> None:
        invariants.raise_on_violation(True)
        self.addCleanup(invariants.raise_on_violation, False)
        self.server = RawServer()
        self.port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.replica = Replica("one", "chat", "127.0.0.1", self.port.getHost().port, "dc1")
        self.fake = fake_clock()
        self.tokens: list[Token] = []
        self.metrics = make_metrics()
        self.ups = make_upstream_client(reactor, self.fake.clock, CFG, self.metrics)

    def tearDown(self) -> Any:
        return Deferred.fromCoroutine(self.close_all())

    async def close_all(self) -> None:
        await self.ups.close()
        await maybeDeferred(self.port.stopListening)
        for conn in self.server.connections:
            conn.abort()
            await conn.closed
        await deferLater(reactor, 0)

    def call(self, **changes: Any) -> Call:
        due_ms = int(self.fake.clock.now()) + 60_000
        call = Call("c1", "r1", "POST", CHAT, b"{}", "application/json", True, due_ms)
        return call._replace(**changes)

    def send(self, **changes: Any) -> "Deferred[Any]":
        sending = self.ups.send(self.replica, self.call(**changes), self.tokens.append)
        return Deferred.fromCoroutine(cast(Any, sending))

    async def reply(self, **changes: Any) -> Reply:
        return cast(Reply, (await self.send(**changes)).unwrap())

    async def failure(self, **changes: Any) -> Failure:
        result = await self.send(**changes)
        assert isinstance(result, Err), result
        return cast(Failure, result.err_value)

    async def leave_idle_connection(self) -> None:
        """Leave one idle connection in the pool that may be reused."""
        self.server.answer_with(with_length(complete_body()))
        await self.reply(stream=False)
        self.fake.run_for(1)


class CompleteAnswerTest(UpstreamTestCase):
    """Test complete answers, which must be parsed or passed on."""

    async def test_json(self) -> None:
        """Text, token count, finish reason and load of a JSON answer are parsed."""
        self.server.answer_with(with_length(complete_body()))
        reply = await self.reply(stream=False)
        equal((reply.text, reply.tokens, reply.finish_reason), ("a b", 2, "stop"))
        equal(reply.load and reply.load[:3], (1, 2, 3))

    async def test_stream(self) -> None:
        """Tokens of a stream are reported one by one and joined in the reply."""
        self.server.answer_with(chunked(stream_event("a "), LAST_EVENT, DONE))
        reply = await self.reply()
        equal((reply.text, reply.tokens, reply.finish_reason), ("a b", 2, "stop"))
        equal([token.text for token in self.tokens], ["a ", "b"])
        equal(self.metrics.upstream_calls.labels("chat", "answered")._value.get(), 1.0)

    async def test_plain_answer_is_passed_on_whatever_its_status(self) -> None:
        """A plain service's error status must not become a failure of the call."""
        self.server.answer_with(with_length(b"no such pass", status=404))
        reply = await self.reply(method="DELETE", path="/calls/pass", stream=False)
        equal((reply.status, reply.body, reply.text), (404, b"no such pass", ""))
        equal(self.server.requests[0].split(b"\r\n")[0], b"DELETE /calls/pass HTTP/1.1")

    async def test_engine_refusal_has_its_reason_and_keeps_the_connection(self) -> None:
        """A refusal must contain the engine's reason, and its connection must be reused."""
        self.server.answer_with(
            with_length(b"no such model", status=400), with_length(complete_body())
        )
        failure = await self.failure()
        equal((failure.kind, failure.status), (FailureKind.STATUS, 400))
        assert "no such model" in failure.reason
        await self.reply(stream=False)
        equal(len(self.server.carriers), 1)

    async def test_load(self) -> None:
        """The load report of GET /load is parsed."""
        self.server.answer_with(with_length(b'{"running":1,"waiting":2,"slots":3,"step_ms":4.5}'))
        load = (await self.ups.load(self.replica)).unwrap()
        equal(load[:4], (1, 2, 3, 4.5))


class NotSentTest(UpstreamTestCase):
    """Test failures before the request is written, and connections that must not be used."""

    async def test_refused(self) -> None:
        """A refused connect must be reported as not sent, because nothing can have run."""
        await maybeDeferred(self.port.stopListening)
        failure = await self.failure()
        equal(
            (failure.kind, failure.sent, failure.new_connection),
            (FailureKind.CONNECT, Sent.NO, True),
        )
        assert failure.connection_refused

    async def test_connect_timeout(self) -> None:
        """A call must not hang when the replica's machine is off and nothing answers the connect.

        It is reported as not sent, and not as a refused connection.
        """
        self.ups = make_upstream_client(
            cast(Any, MemoryReactorClock)(), self.fake.clock, CFG, make_metrics()
        )
        sending = self.send()
        self.fake.run_for(CFG.connect_timeout_ms)
        failure = (await sending).err_value
        equal(
            (failure.kind, failure.sent, failure.new_connection),
            (FailureKind.CONNECT, Sent.NO, True),
        )
        assert not failure.connection_refused

    async def test_due_before_it_is_sent(self) -> None:
        """A call whose due time has passed must not open a connection."""
        failure = await self.failure(due_ms=0)
        equal((failure.kind, failure.sent), (FailureKind.DEADLINE, Sent.NO))
        equal(self.server.connections, [])

    async def test_unencodable_path(self) -> None:
        """A path that cannot be encoded must be reported as not sent."""
        failure = await self.failure(path="/a b")
        equal((failure.kind, failure.sent), (FailureKind.INVALID, Sent.NO))

    async def test_idle_connection_that_the_replica_has_closed(self) -> None:
        """A call must not be written to an idle connection that the replica has closed.

        The close is in the socket, but the reactor has not read it yet. Without a check of the
        socket the call fails, and it is unknown whether it ran.
        """
        await self.leave_idle_connection()
        self.server.connections[0].close_at_once()
        self.server.answer_with(with_length(complete_body()))
        await self.reply(stream=False)
        equal(len(self.server.carriers), 2)

    async def test_fresh_call_uses_no_idle_connection(self) -> None:
        """A call that requires a new connection must open a new connection."""
        await self.leave_idle_connection()
        self.server.answer_with(with_length(complete_body()))
        await self.reply(stream=False, new_connection=True)
        equal(len(self.server.carriers), 2)


class SilenceTest(UpstreamTestCase):
    """Test the time limits of a call after its request was written."""

    async def test_before_the_first_byte(self) -> None:
        """A call must end when no byte is received after the request was written.

        The replica hangs, or the network path drops all packets.
        """
        sending = self.send()
        conn = await self.server.next_request()
        self.fake.run_for(CFG.first_byte_ms)
        failure = (await sending).err_value
        equal(
            (failure.kind, failure.sent, failure.new_connection),
            (FailureKind.TIMED_OUT, Sent.MAYBE, True),
        )
        await conn.closed

    async def test_head_arrives_long_before_the_first_token(self) -> None:
        """The progress limit must not be counted from the head of an answer.

        An engine sends the head at once, and the first token when a slot becomes free. Calls to
        busy engines would fail.
        """
        self.server.answer_with(chunked(end=b""))
        sending = self.send()
        conn = await self.server.next_request()
        await deferLater(reactor, 0.01)
        self.fake.run_for(CFG.progress_ms + 1)
        conn.write(chunked(LAST_EVENT, DONE, head=b""))
        equal((await sending).unwrap().text, "b")

    async def test_within_a_stream(self) -> None:
        """A stream that stops after some tokens must end when the progress limit has passed."""
        self.server.answer_with(chunked(stream_event("a "), end=b""))
        sending = self.send()
        await self.server.next_request()
        while not self.tokens:
            await deferLater(reactor, 0)
        self.fake.run_for(CFG.progress_ms - 1)
        equal(sending.called, False)
        self.fake.run_for(1)
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (FailureKind.TIMED_OUT, Sent.MAYBE))

    async def test_bytes_without_an_event_are_silence(self) -> None:
        """A stream must end when bytes keep arriving, but no further event is completed."""
        for piece in (b"x", b":\n\n", b"\n\n"):
            self.server.answer_with(chunked(stream_event("a "), end=b""))
            sending = self.send()
            conn = await self.server.next_request()
            while not self.tokens:
                await deferLater(reactor, 0)
            for _ in range(10):
                equal(sending.called, False)
                self.fake.run_for(CFG.progress_ms // 10)
                conn.write(chunked(piece, head=b"", end=b""))
                await deferLater(reactor, 0.01)
            failure = (await sending).err_value
            equal((failure.kind, failure.sent), (FailureKind.TIMED_OUT, Sent.MAYBE))
            self.tokens.clear()

    async def test_a_notified_call_outlasts_a_silence(self) -> None:
        """A silence must not end a call whose sender is notified of it, before the due time."""
        silences: list[Silence] = []
        self.server.answer_with(chunked(stream_event("a "), end=b""))
        sending = self.send(on_silence=silences.append)
        conn = await self.server.next_request()
        while not self.tokens:
            await deferLater(reactor, 0)
        self.fake.run_for(CFG.progress_ms + 2 * SILENCE_REPEAT_MS)
        equal([silence.reused for silence in silences], [False] * 3)
        equal(silences[-1].silent_ms, CFG.progress_ms + 2 * SILENCE_REPEAT_MS)
        equal(sending.called, False)
        conn.write(chunked(LAST_EVENT, DONE, head=b""))
        equal((await sending).unwrap().text, "a b")
        equal(silences[-1].end(), False)

    async def test_a_notified_call_ends_as_silent(self) -> None:
        """A notified sender must be able to end a silent call, and only while it is silent."""
        silences: list[Silence] = []
        self.server.answer_with(chunked(stream_event("a "), end=b""))
        sending = self.send(on_silence=silences.append)
        conn = await self.server.next_request()
        while not self.tokens:
            await deferLater(reactor, 0)
        self.fake.run_for(CFG.progress_ms)
        conn.write(chunked(stream_event("b "), head=b"", end=b""))
        while len(self.tokens) < 2:
            await deferLater(reactor, 0)
        equal(silences[0].end(), False)
        self.fake.run_for(CFG.progress_ms)
        equal(silences[1].end(), True)
        equal((await sending).err_value.kind, FailureKind.TIMED_OUT)

    async def test_a_notified_call_ends_at_its_due_time(self) -> None:
        """A call to a silent replica must end at its due time."""
        silences: list[Silence] = []
        sending = self.send(on_silence=silences.append)
        await self.server.next_request()
        self.fake.run_for(60_000)
        equal((await sending).err_value.kind, FailureKind.DEADLINE)
        equal(silences[0].silent_ms, CFG.first_byte_ms)

    async def test_answer_that_arrived_in_a_pause_is_used(self) -> None:
        """An answer that arrived while the process was paused must be used.

        The pause lasts beyond the call's limit. If due timers ran before received bytes were
        read, the replica would be treated as silent and its connection closed.
        """
        sending = self.send(stream=False)
        conn = await self.server.next_request()
        conn.write_at_once(with_length(complete_body()))
        self.fake.jump(CFG.first_byte_ms)
        equal((await sending).unwrap().body, complete_body())

    async def time_out_on_one_of_two(self, limit_ms: int, due_ms: int) -> Failure:
        """Leave two idle connections, let a call time out on one, and send another call."""
        plain: dict[str, Any] = {"path": "/calls/a", "stream": False}
        first, second = self.send(**plain), self.send(**plain)
        while len(self.server.requests) < 2:
            await self.server.next_request()
        for conn in self.server.connections:
            conn.write(with_length(b""))
        await first
        await second
        self.fake.run_for(1)
        sending = self.send(due_ms=due_ms, **plain)
        conn = await self.server.next_request()
        self.fake.run_for(limit_ms)
        failure = (await sending).err_value
        await conn.closed
        self.server.answer_with(with_length(b""))
        await self.reply(**plain)
        equal(len(self.server.carriers), 3)
        return cast(Failure, failure)

    async def test_silence_drops_all_idle_connections(self) -> None:
        """After silence on an idle connection, other idle connections must not be used either.

        A firewall drops its state of two open connections. If only the silent one were replaced,
        the next call would fail on the other, although the replica is healthy.
        """
        failure = await self.time_out_on_one_of_two(CFG.first_byte_ms, 60_000)
        equal((failure.kind, failure.new_connection), (FailureKind.TIMED_OUT, False))

    async def test_call_that_is_due_soon_drops_all_idle_connections(self) -> None:
        """The same must hold when the call's due time passes before the silence limit."""
        failure = await self.time_out_on_one_of_two(100, 101)
        equal((failure.kind, failure.new_connection), (FailureKind.DEADLINE, False))

    async def test_due(self) -> None:
        """A call must end at its due time, even if that is before the first-byte limit."""
        sending = self.send(due_ms=100)
        conn = await self.server.next_request()
        self.fake.run_for(100)
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (FailureKind.DEADLINE, Sent.MAYBE))
        await conn.closed

    async def test_late_answer_is_dropped(self) -> None:
        """The late answer to a call must not be read as the answer to the next call.

        A call passes its due time, and its answer arrives later. Its connection must not be
        reused while that answer is outstanding.
        """
        sending = self.send(stream=False, due_ms=100)
        conn = await self.server.next_request()
        self.fake.run_for(100)
        await sending
        conn.write(with_length(complete_body()))
        self.server.answer_with(with_length(complete_body("r2"), "r2"))
        reply = await self.reply(stream=False, request_id="r2")
        equal(reply.body, complete_body("r2"))
        equal(len(self.server.carriers), 2)


class BrokenAnswerTest(UpstreamTestCase):
    """Test incomplete, malformed and misdirected answers, which must end in a failure."""

    async def check_broken(self, answer: bytes, kind: FailureKind, **changes: Any) -> None:
        """Expect the failure, and that the connection is closed."""
        self.server.answer_with(answer)
        requested = self.server.next_request()
        sending = self.send(**changes)
        conn = await requested
        if kind is FailureKind.TRUNCATED:
            conn.close()
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (kind, Sent.MAYBE))
        await conn.closed

    async def test_truncated_json(self) -> None:
        """A body shorter than its declared length must not be passed on.

        The replica crashes while it sends the body.
        """
        await self.check_broken(
            with_length(complete_body())[:-5], FailureKind.TRUNCATED, stream=False
        )

    async def test_truncated_stream(self) -> None:
        """A stream without its last HTTP chunk is incomplete, even after [DONE]."""
        await self.check_broken(chunked(stream_event("a "), end=b""), FailureKind.TRUNCATED)
        await self.check_broken(chunked(LAST_EVENT, DONE, end=b""), FailureKind.TRUNCATED)

    async def test_connection_lost_before_an_answer(self) -> None:
        """A connection that closes before the answer must be reported as possibly sent."""
        await self.check_broken(b"", FailureKind.TRUNCATED)

    async def test_stream_without_its_end(self) -> None:
        """A stream without [DONE] or a finish_reason must not count as complete.

        The engine aborts the generation but ends the HTTP body in order.
        """
        await self.check_broken(chunked(stream_event("a "), LAST_EVENT), FailureKind.TRUNCATED)
        await self.check_broken(chunked(stream_event("a "), DONE), FailureKind.INVALID)

    async def test_wrong_id(self) -> None:
        """An answer to another request must not reach the caller.

        The replica mixes up two requests, in the header, in the body or within a stream.
        """
        crossed = stream_event("x", request_id="r2")
        wrong = FailureKind.WRONG_ID
        await self.check_broken(with_length(complete_body(), "r2"), wrong, stream=False)
        await self.check_broken(with_length(complete_body("r2")), wrong, stream=False)
        await self.check_broken(chunked(stream_event("a"), crossed, LAST_EVENT, DONE), wrong)
        equal([token.text for token in self.tokens], ["a"])
        await self.check_broken(with_length(b"pass 7", "r2"), wrong, stream=False, path="/calls/a")
        await self.check_broken(with_length(b"busy", "r2", 503), wrong)

    async def test_connection_with_a_wrong_answer_is_not_reused(self) -> None:
        """A connection that carried an answer with a wrong id must not be reused.

        It is back in the pool when the id is checked, and the next call is sent in the same
        reactor iteration, before a normal close takes effect.
        """
        plain: dict[str, Any] = {"path": "/calls/a", "stream": False}
        self.server.answer_with(with_length(b"", "r2"), with_length(b""))
        second = await self.send(**plain).addCallback(lambda _: self.send(**plain))
        equal((second.unwrap().status, len(self.server.carriers)), (200, 2))

    async def test_no_id(self) -> None:
        """An answer without a request id must not be passed on."""
        answer = with_length(complete_body()).replace(b"X-Request-Id: r1\r\n", b"")
        await self.check_broken(answer, FailureKind.WRONG_ID, stream=False)

    async def test_malformed(self) -> None:
        """Answers with missing fields, and data after the end of a stream, must be rejected."""
        await self.check_broken(with_length(b'{"id":"r1"}'), FailureKind.INVALID, stream=False)
        await self.check_broken(chunked(b"data: {}\n\n"), FailureKind.INVALID)
        await self.check_broken(
            chunked(LAST_EVENT, DONE, stream_event("more")), FailureKind.INVALID
        )

    def bound(self, module: object, name: str, value: int) -> None:
        cast(Any, self).patch(module, name, value)

    async def test_bounds(self) -> None:
        """An endless answer must not exhaust the instance's memory."""
        self.bound(replies, "MAX_BODY_BYTES", 10)
        self.bound(sse, "MAX_EVENT_BYTES", 10)
        await self.check_broken(with_length(complete_body()), FailureKind.INVALID, stream=False)
        await self.check_broken(chunked(b"data: 0123456789"), FailureKind.INVALID)
        self.bound(sse, "MAX_TEXT_CHARS", 3)
        await self.check_broken(chunked(stream_event("abcd")), FailureKind.INVALID)

    async def test_unsolicited_bytes(self) -> None:
        """A second answer on an idle connection must not be read as the answer to the next call."""
        await self.leave_idle_connection()
        self.server.connections[0].write_at_once(with_length(complete_body()))
        self.server.answer_with(with_length(complete_body()))
        await self.reply(stream=False)
        equal(len(self.server.carriers), 2)


class CancelTest(UpstreamTestCase):
    """Test the cancellation of calls."""

    async def test_cancel_closes_the_connection_and_notifies_the_engine(self) -> None:
        """An engine must not continue to generate, and hold a slot, for a departed caller."""
        sending = self.send()
        conn = await self.server.next_request()
        sending.cancel()
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (FailureKind.CANCELLED, Sent.MAYBE))
        await conn.closed
        while not self.server.cancels:
            await deferLater(reactor, 0)

    async def test_cancels_are_not_sent_in_a_burst(self) -> None:
        """Cancelling many streams at once must not send all cancel requests at the same time.

        The burst would slow down the online requests for which the batch streams are preempted.
        """
        self.server.answers_cancels = False
        sends = [self.send() for _ in range(8)]
        while len(self.server.requests) < 8:
            await self.server.next_request()
        for sending in sends:
            sending.cancel()
        while self.server.cancels < MAX_IN_FLIGHT:
            await deferLater(reactor, 0)
        equal(self.server.cancels, MAX_IN_FLIGHT)
