"""Test calls to replicas over real sockets, against a server that sends raw bytes.

Timers run on a fake clock, so a silence takes no time; only bytes are really waited for.
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
from papayapier.upstream.api import Call, Failure, FailureKind, Replica, Reply, Sent, Token
from papayapier.upstream.cancels import MAX_IN_FLIGHT
from papayapier.upstream.client import make_upstreams
from tests.raw_server import DONE, LAST, RawServer, chunked, framed, piece, whole

reactor = cast(Any, installed_reactor)

CHAT = "/v1/chat/completions"
CFG = UpstreamSettings()


def equal(found: object, expected: object) -> None:
    assert found == expected, f"{found!r} is not {expected!r}"


class UpstreamTestCase(TestCase):
    timeout = 5

    def setUp(self) -> None:
        invariants.raise_on_failure(True)
        self.addCleanup(invariants.raise_on_failure, False)
        self.server = RawServer()
        self.port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.replica = Replica("one", "chat", "127.0.0.1", self.port.getHost().port, "dc1")
        self.fake = fake_clock()
        self.tokens: list[Token] = []
        self.metrics = make_metrics()
        self.ups = make_upstreams(reactor, self.fake.clock, CFG, self.metrics)

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
        ended = await self.send(**changes)
        assert isinstance(ended, Err), ended
        return cast(Failure, ended.err_value)

    async def keep_connection(self) -> None:
        """Leave one kept connection behind, which nothing is known against."""
        self.server.answer_with(framed(whole()))
        await self.reply(stream=False)
        self.fake.elapse(1)


class WholeAnswerTest(UpstreamTestCase):
    async def test_json(self) -> None:
        self.server.answer_with(framed(whole()))
        reply = await self.reply(stream=False)
        equal((reply.text, reply.tokens, reply.finish_reason), ("a b", 2, "stop"))
        equal(reply.load and reply.load[:3], (1, 2, 3))

    async def test_stream(self) -> None:
        self.server.answer_with(chunked(piece("a "), LAST, DONE))
        reply = await self.reply()
        equal((reply.text, reply.tokens, reply.finish_reason), ("a b", 2, "stop"))
        equal([token.text for token in self.tokens], ["a ", "b"])
        equal(self.metrics.upstream_calls.labels("chat", "answered")._value.get(), 1.0)

    async def test_plain_answer_is_passed_on_whatever_its_status(self) -> None:
        self.server.answer_with(framed(b"no such pass", status=404))
        reply = await self.reply(method="DELETE", path="/calls/pass", stream=False)
        equal((reply.status, reply.body, reply.text), (404, b"no such pass", ""))
        equal(self.server.requests[0].split(b"\r\n")[0], b"DELETE /calls/pass HTTP/1.1")

    async def test_engine_refusal_names_its_reason_and_keeps_the_connection(self) -> None:
        self.server.answer_with(framed(b"no such model", status=400), framed(whole()))
        failure = await self.failure()
        equal((failure.kind, failure.status), (FailureKind.STATUS, 400))
        assert "no such model" in failure.reason
        await self.reply(stream=False)
        equal(len(self.server.carriers), 1)

    async def test_load(self) -> None:
        self.server.answer_with(framed(b'{"running":1,"waiting":2,"slots":3,"step_ms":4.5}'))
        load = (await self.ups.load(self.replica)).unwrap()
        equal(load[:4], (1, 2, 3, 4.5))


class NotSentTest(UpstreamTestCase):
    async def test_refused(self) -> None:
        # Symptom: a call fails at once. Sequence: the replica is gone, its port refuses.
        # Cause: no connection, so nothing can have run.
        await maybeDeferred(self.port.stopListening)
        failure = await self.failure()
        equal((failure.kind, failure.sent, failure.fresh), (FailureKind.CONNECT, Sent.NO, True))
        assert failure.closed

    async def test_connecting_takes_too_long(self) -> None:
        # Symptom: a call hangs before it is sent. Sequence: the replica's machine is off and
        # nothing answers the connect. Cause: only a timer can end it.
        self.ups = make_upstreams(
            cast(Any, MemoryReactorClock)(), self.fake.clock, CFG, make_metrics()
        )
        sending = self.send()
        self.fake.elapse(CFG.connect_timeout_ms)
        failure = (await sending).err_value
        equal((failure.kind, failure.sent, failure.fresh), (FailureKind.CONNECT, Sent.NO, True))
        assert not failure.closed

    async def test_due_before_it_is_sent(self) -> None:
        failure = await self.failure(due_ms=0)
        equal((failure.kind, failure.sent), (FailureKind.DUE, Sent.NO))
        equal(self.server.connections, [])

    async def test_unwritable_path(self) -> None:
        failure = await self.failure(path="/a b")
        equal((failure.kind, failure.sent), (FailureKind.BROKEN, Sent.NO))

    async def test_kept_connection_that_the_replica_has_closed(self) -> None:
        # Symptom: a call fails although the replica is well, and nobody knows if it ran.
        # Sequence: the replica closes an idle connection; before the reactor has read that,
        # a call is written to it. Cause: the close is in the socket but was not looked for.
        await self.keep_connection()
        self.server.connections[0].close_at_once()
        self.server.answer_with(framed(whole()))
        await self.reply(stream=False)
        equal(len(self.server.carriers), 2)

    async def test_fresh_call_uses_no_kept_connection(self) -> None:
        await self.keep_connection()
        self.server.answer_with(framed(whole()))
        await self.reply(stream=False, fresh=True)
        equal(len(self.server.carriers), 2)


class SilenceTest(UpstreamTestCase):
    async def test_before_the_first_byte(self) -> None:
        # Symptom: a call never ends. Sequence: the connection opens, the request goes out,
        # no byte comes. Cause: the replica hangs, or the way to it swallows everything.
        sending = self.send()
        conn = await self.server.next_request()
        self.fake.elapse(CFG.first_byte_ms)
        failure = (await sending).err_value
        equal((failure.kind, failure.sent, failure.fresh), (FailureKind.SILENT, Sent.MAYBE, True))
        await conn.closed

    async def test_head_comes_long_before_the_first_token(self) -> None:
        # Symptom: calls fail whenever an engine is busy. Sequence: the engine sends the head
        # at once, and the first token when a slot is free. Cause: the limit between tokens
        # was counted from the head.
        self.server.answer_with(chunked(end=b""))
        sending = self.send()
        conn = await self.server.next_request()
        await deferLater(reactor, 0.01)
        self.fake.elapse(CFG.progress_ms + 1)
        conn.write(chunked(LAST, DONE, head=b""))
        equal((await sending).unwrap().text, "b")

    async def test_amid_a_stream(self) -> None:
        # Symptom: tokens stop and the caller waits. Sequence: after some tokens no byte
        # comes. Cause: as above; first-byte time has long passed, so progress is watched.
        self.server.answer_with(chunked(piece("a "), end=b""))
        sending = self.send()
        await self.server.next_request()
        while not self.tokens:
            await deferLater(reactor, 0)
        self.fake.elapse(CFG.progress_ms - 1)
        equal(sending.called, False)
        self.fake.elapse(1)
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (FailureKind.SILENT, Sent.MAYBE))

    async def test_an_answer_that_came_in_a_pause_is_taken(self) -> None:
        # Symptom: replicas that answer in time are taken for silent, and their connections
        # closed. Sequence: the process is kept from its sockets past a call's limit; the answer
        # is there. Cause: timers that are due go before bytes that have come.
        sending = self.send(stream=False)
        conn = await self.server.next_request()
        conn.write_at_once(framed(whole()))
        self.fake.advance(CFG.first_byte_ms)
        equal((await sending).unwrap().body, whole())

    async def keep_two_and_lose_one(self, limit_ms: int, due_ms: int) -> Failure:
        """Keep two connections, wait in vain on one of them, and send another call."""
        plain: dict[str, Any] = {"path": "/calls/a", "stream": False}
        first, second = self.send(**plain), self.send(**plain)
        while len(self.server.requests) < 2:
            await self.server.next_request()
        for conn in self.server.connections:
            conn.write(framed(b""))
        await first
        await second
        self.fake.elapse(1)
        sending = self.send(due_ms=due_ms, **plain)
        conn = await self.server.next_request()
        self.fake.elapse(limit_ms)
        failure = (await sending).err_value
        await conn.closed
        self.server.answer_with(framed(b""))
        await self.reply(**plain)
        equal(len(self.server.carriers), 3)
        return cast(Failure, failure)

    async def test_kept_connection_is_condemned_and_not_the_replica(self) -> None:
        # Symptom: every call to a healthy replica fails in turn. Sequence: a firewall
        # forgets two open connections; a call on one is silent, so is the next on the other.
        # Cause: only the connection that failed was replaced, not its equally old sibling.
        failure = await self.keep_two_and_lose_one(CFG.first_byte_ms, 60_000)
        equal((failure.kind, failure.fresh), (FailureKind.SILENT, False))

    async def test_call_that_is_due_soon_still_shows_a_silent_connection(self) -> None:
        # As above, but each call is due before its silence has lasted long enough.
        failure = await self.keep_two_and_lose_one(100, 101)
        equal((failure.kind, failure.fresh), (FailureKind.DUE, False))

    async def test_due(self) -> None:
        # Symptom: an answer comes after its due time, when nobody can use it any more.
        # Sequence: the replica is slow; due time passes first. Cause: the first-byte limit
        # alone knows nothing of the due time.
        sending = self.send(due_ms=100)
        conn = await self.server.next_request()
        self.fake.elapse(100)
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (FailureKind.DUE, Sent.MAYBE))
        await conn.closed

    async def test_late_answer_reaches_nobody(self) -> None:
        # Symptom: a caller gets the answer to an earlier request. Sequence: a call passes its
        # due time; its answer comes later, on the connection that the next call now uses.
        # Cause: the connection was reused while an answer was still to come.
        sending = self.send(stream=False, due_ms=100)
        conn = await self.server.next_request()
        self.fake.elapse(100)
        await sending
        conn.write(framed(whole()))
        self.server.answer_with(framed(whole("r2"), "r2"))
        reply = await self.reply(stream=False, request_id="r2")
        equal(reply.body, whole("r2"))
        equal(len(self.server.carriers), 2)


class BrokenAnswerTest(UpstreamTestCase):
    async def check_broken(self, answer: bytes, kind: FailureKind, **changes: Any) -> None:
        """Expect the failure, and that its connection is never used again."""
        self.server.answer_with(answer)
        requested = self.server.next_request()
        sending = self.send(**changes)
        conn = await requested
        if kind is FailureKind.CUT:
            conn.close()
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (kind, Sent.MAYBE))
        await conn.closed

    async def test_cut_json(self) -> None:
        # Symptom: a caller gets half an answer. Sequence: the replica dies amid a body.
        # Cause: the length that was declared is not compared with what came.
        await self.check_broken(framed(whole())[:-5], FailureKind.CUT, stream=False)

    async def test_cut_stream(self) -> None:
        # As above, for a stream; its end mark alone would not show that bytes are missing.
        await self.check_broken(chunked(piece("a "), end=b""), FailureKind.CUT)
        await self.check_broken(chunked(LAST, DONE, end=b""), FailureKind.CUT)

    async def test_cut_before_an_answer(self) -> None:
        await self.check_broken(b"", FailureKind.CUT)

    async def test_stream_without_its_end(self) -> None:
        # Symptom: an answer lacks its end and looks whole. Sequence: the engine ends the body
        # in good order, but without [DONE] or a finish_reason. Cause: its work was aborted.
        await self.check_broken(chunked(piece("a "), LAST), FailureKind.CUT)
        await self.check_broken(chunked(piece("a "), DONE), FailureKind.BROKEN)

    async def test_wrong_id(self) -> None:
        # Symptom: a caller reads another's answer. Sequence: the replica mixes up two
        # requests, in the header, the body or amid a stream. Cause: ids not compared.
        crossed = piece("x", request_id="r2")
        wrong = FailureKind.WRONG_ID
        await self.check_broken(framed(whole(), "r2"), wrong, stream=False)
        await self.check_broken(framed(whole("r2")), wrong, stream=False)
        await self.check_broken(chunked(piece("a"), crossed, LAST, DONE), wrong)
        equal([token.text for token in self.tokens], ["a"])
        await self.check_broken(framed(b"pass 7", "r2"), wrong, stream=False, path="/calls/a")
        await self.check_broken(framed(b"busy", "r2", 503), wrong)

    async def test_connection_with_a_wrong_answer_is_not_given_to_the_next_call(self) -> None:
        # Symptom: two callers in a row read each other's answers. Sequence: an answer ends,
        # its connection goes back to the pool, its id turns out wrong, and in the same turn
        # the next call is sent. Cause: closing takes effect only in the reactor's next turn.
        plain: dict[str, Any] = {"path": "/calls/a", "stream": False}
        self.server.answer_with(framed(b"", "r2"), framed(b""))
        second = await self.send(**plain).addCallback(lambda _: self.send(**plain))
        equal((second.unwrap().status, len(self.server.carriers)), (200, 2))

    async def test_no_id(self) -> None:
        answer = framed(whole()).replace(b"X-Request-Id: r1\r\n", b"")
        await self.check_broken(answer, FailureKind.WRONG_ID, stream=False)

    async def test_unreadable(self) -> None:
        await self.check_broken(framed(b'{"id":"r1"}'), FailureKind.BROKEN, stream=False)
        await self.check_broken(chunked(b"data: {}\n\n"), FailureKind.BROKEN)
        await self.check_broken(chunked(LAST, DONE, piece("more")), FailureKind.BROKEN)

    def bound(self, module: object, name: str, value: int) -> None:
        cast(Any, self).patch(module, name, value)

    async def test_bounds(self) -> None:
        # Symptom: an instance runs out of memory. Sequence: a replica sends without end.
        # Cause: what has been received is kept without a bound.
        self.bound(replies, "MAX_BODY_BYTES", 10)
        self.bound(sse, "MAX_EVENT_BYTES", 10)
        await self.check_broken(framed(whole()), FailureKind.BROKEN, stream=False)
        await self.check_broken(chunked(b"data: 0123456789"), FailureKind.BROKEN)
        self.bound(sse, "MAX_TEXT_CHARS", 3)
        await self.check_broken(chunked(piece("abcd")), FailureKind.BROKEN)

    async def test_bytes_nobody_asked_for(self) -> None:
        # Symptom: a caller gets an answer to nothing it asked. Sequence: a replica sends a
        # second answer on an idle connection. Cause: it would be read as the next call's.
        await self.keep_connection()
        self.server.connections[0].write_at_once(framed(whole()))
        self.server.answer_with(framed(whole()))
        await self.reply(stream=False)
        equal(len(self.server.carriers), 2)


class CancelTest(UpstreamTestCase):
    async def test_cancel_closes_the_connection_and_tells_the_engine(self) -> None:
        # Symptom: an engine generates for a caller that has gone, and its slot stays taken.
        # Sequence: the caller goes away amid a stream. Cause: nobody told the engine.
        sending = self.send()
        conn = await self.server.next_request()
        sending.cancel()
        failure = (await sending).err_value
        equal((failure.kind, failure.sent), (FailureKind.CANCELLED, Sent.MAYBE))
        await conn.closed
        while not self.server.cancels:
            await deferLater(reactor, 0)

    async def test_cancels_do_not_come_in_a_burst(self) -> None:
        # Symptom: online requests are slow whenever batch gives way. Sequence: many streams
        # are cancelled at once, each with a message. Cause: all were sent at the same time.
        self.server.answers_cancels = False
        sends = [self.send() for _ in range(8)]
        while len(self.server.requests) < 8:
            await self.server.next_request()
        for sending in sends:
            sending.cancel()
        while self.server.cancels < MAX_IN_FLIGHT:
            await deferLater(reactor, 0)
        equal(self.server.cancels, MAX_IN_FLIGHT)
