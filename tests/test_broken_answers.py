"""Test that no reader of answers takes one whose head or end breaks the protocol."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, cast

from result import Err, Ok, Result
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import real_clock
from papayapier.dispatch.relayed_stream import RelayedStream
from papayapier.jobs.item_run import ItemReceiver
from papayapier.jobs.owned_job import ItemState
from papayapier.jobs.records import JobItem
from papayapier.metrics import make_metrics
from papayapier.operate.client import Client
from papayapier.platform.headers import decode_facts
from papayapier.platform.store import platform_store
from papayapier.settings import PlatformSettings, UpstreamSettings
from papayapier.store.api import StoreError
from papayapier.store.http import http_store
from papayapier.upstream.api import Call, Failure, FailureKind, Replica, Sent
from papayapier.upstream.client import make_upstream_client
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.engine_control import Order, OrderKind, make_engine_control
from papayapier.upstream.event_splitter import NO_EVENT
from papayapier.upstream.forward_call import (
    ForwardCall,
    ForwardCallDeps,
    StreamConsumer,
    make_forward_call_sender,
)
from tests.broken_answers import (
    FIELDS,
    FRAMINGS,
    NAMES,
    OTHER_IDS,
    STATUS_LINE,
    STATUS_LINES,
    VALUES,
    answer_all,
    make_answer,
    make_framed,
    request_id,
)
from tests.early_answers import PARTS, EarlyServer, End
from tests.forward_world import Caller
from tests.log_capture import LogCapture
from tests.raw_server import DONE, LAST_EVENT, RawConnection, RawServer, complete_body

reactor: Any = installed

REQUEST: Final = "r1"
DUE_MS: Final = 5_000
CHAT: Final = "/v1/chat/completions"
EVENT: Final = b"id: 1\ndata: 1\n\n"
# One that the kernels' buffers hold, and one that they do not.
UPLOAD_BYTES: Final = (200_000, 12_000_000)
CFG: Final = UpstreamSettings()


class Reader(NamedTuple):
    """Describe what reads answers: a call, the body of its sound answer, and its header lines.

    error is what a broken answer must become; None allows any error. may_end_by_close says that the
    close of its connection ends a body without a length, states_id that an answer must name its
    request.
    """

    call: Callable[[], Awaitable[Result[Any, Any]]]
    body: bytes
    fields: bytes = b""
    error: object = None
    may_end_by_close: bool = False
    states_id: bool = False


class BrokenAnswersCase(TestCase):
    """Call a server that sends raw bytes with everything in the program that reads answers."""

    timeout = 60

    def setUp(self) -> None:
        self.clock = real_clock()
        self.server = RawServer()
        self.port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        number = self.port.getHost().port
        self.replica = Replica("i-1", "lm", "127.0.0.1", number, "z")
        self.pools = ConnectionPools(reactor, self.clock, CFG)
        self.client = make_upstream_client(reactor, self.clock, CFG, make_metrics())
        self.control = make_engine_control(reactor, self.clock, CFG)
        platform = PlatformSettings("127.0.0.1", number, 2_000)
        self.store = http_store(reactor, self.clock, platform, make_metrics())
        self.platform = platform_store(reactor, self.clock, platform, make_metrics())
        self.operator = Client(f"127.0.0.1:{number}", "")
        self.caller = Caller()
        self.item = ItemState(JobItem("i-1", "/j", {}, "", 10))

    def tearDown(self) -> Any:
        async def close() -> None:
            parts = (self.pools, self.client, self.control, self.store, self.platform)
            for part in parts:
                await cast(Any, part).close()
            for conn in self.server.connections:
                conn.abort()
            await self.port.stopListening()
            await self.clock.sleep(50)

        return Deferred.fromCoroutine(close())

    async def forward(
        self, fresh: bool, consumer: StreamConsumer | None = None, body: bytes = b""
    ) -> Result[Any, Failure]:
        deps = ForwardCallDeps(
            self.pools, decode_facts, lambda _i, _l: None, lambda _i: None, make_metrics()
        )
        due_ms = self.clock.now() + DUE_MS
        stream = consumer is not None
        call = ForwardCall(REQUEST, "POST", "/x", Headers({}), body, due_ms, fresh, stream)
        call.headers.setRawHeaders("X-Request-Id", [REQUEST])
        return await make_forward_call_sender(deps)(self.replica, call, consumer)

    async def forward_stream(self) -> Result[Any, Failure]:
        self.caller = Caller()
        stream = RelayedStream(self.caller, NO_EVENT, True, lambda: None)
        return await self.forward(True, stream)

    async def run_item(self) -> Result[Any, Failure]:
        self.item = ItemState(JobItem("i-1", "/j", {}, "", 10))
        return await self.forward(True, ItemReceiver(self.item, "v1"))

    async def send(self, path: str, stream: bool) -> Result[Any, Failure]:
        due_ms = self.clock.now() + DUE_MS
        call = Call("c1", REQUEST, "POST", path, b"{}", "application/json", stream, due_ms)
        return await self.client.send(self.replica, call, lambda _token: None)

    def readers(self) -> dict[str, Reader]:
        """Return all that reads answers, by name."""
        order = Order("o-1", 1, OrderKind.LOAD_MODEL, "m")
        etag = b'ETag: "1"\r\n'
        named = b'{"metadata":{"name":"n","revision":1},"spec":"v"}'
        page = b'{"items":[],"truncated":false,"currentRev":1}'
        lost, unavailable = StoreError.LOST, StoreError.UNAVAILABLE
        return {
            "a request on a new connection": Reader(
                lambda: self.forward(True), b"whole", may_end_by_close=True, states_id=True
            ),
            "a request on a kept connection": Reader(
                lambda: self.forward(False), b"whole", may_end_by_close=True, states_id=True
            ),
            "a stream": Reader(self.forward_stream, EVENT, may_end_by_close=True, states_id=True),
            "an item": Reader(self.run_item, EVENT, may_end_by_close=True, states_id=True),
            "a chat": Reader(lambda: self.send(CHAT, False), complete_body(), states_id=True),
            "a chat's stream": Reader(
                lambda: self.send(CHAT, True), LAST_EVENT + DONE, states_id=True
            ),
            "a plain service": Reader(
                lambda: self.send("/calls/x", False), b"whole", states_id=True
            ),
            "a load poll": Reader(
                lambda: self.client.load(self.replica), b'{"running":0,"waiting":0,"slots":4}'
            ),
            "an order": Reader(
                lambda: self.control.send_order(self.replica, order), b'{"accepted":true}'
            ),
            "a store's read": Reader(lambda: self.store.get("k"), b"v", etag, unavailable),
            "a store's write": Reader(lambda: self.store.create("k", b"v"), b"", etag, lost),
            "the platform's read": Reader(
                lambda: self.platform.get("k/n"), named, error=unavailable
            ),
            "the platform's listing": Reader(
                lambda: self.platform.list("k/", "", 10), page, error=unavailable
            ),
            "the platform's write": Reader(
                lambda: self.platform.create("k/n", b"v"), named, error=lost
            ),
            "the operator's client": Reader(lambda: self.operator.call("GET", "/status"), b"{}"),
        }

    async def refuses(self, reader: Reader, answer: bytes) -> bool:
        """Return whether a reader takes an answer for none, and passes nothing of it on."""
        answer_all(self.server, answer)
        self.caller = Caller()
        self.item = ItemState(JobItem("i-1", "/j", {}, "", 10))
        result = await reader.call()
        if isinstance(result, Ok) or reader.error not in (None, result.err_value):
            return False
        if self.caller.heads or self.caller.body or self.item.texts:
            return False
        error = result.err_value
        return not isinstance(error, Failure) or (
            error.sent is Sent.MAYBE and error.kind in (FailureKind.INVALID, FailureKind.TRUNCATED)
        )

    async def check_refused(self, answers: Callable[[Reader], list[bytes]]) -> None:
        """Check that every reader refuses all answers."""
        taken = [
            (name, answer)
            for name, reader in self.readers().items()
            for answer in answers(reader)
            if not await self.refuses(reader, answer)
        ]
        assert not taken, (len(taken), taken)

    async def check_taken(self, name: str, reader: Reader, answer: bytes) -> None:
        """Check that a reader takes an answer that the protocol allows."""
        answer_all(self.server, answer)
        result = await reader.call()
        assert isinstance(result, Ok), (name, answer, result)


class StatusLinesTest(BrokenAnswersCase):
    """Answer with status lines."""

    def test_a_status_that_the_protocol_does_not_know_is_no_answer(self) -> Any:
        # Failure: callers get the status 000 of a replica in trouble, and a write of the store that
        # was carried out is taken for one that was not.
        return Deferred.fromCoroutine(
            self.check_refused(
                lambda reader: [
                    make_answer(reader.body, line, reader.fields) for line in STATUS_LINES
                ]
            )
        )

    async def _sound(self) -> None:
        lines = (
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 200 ",
            b"HTTP/1.1 200",
            b"HTTP/1.0 200 OK",
            b"HTTP/1.1 200 \xe7a va\t!",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK",
        )
        for name, reader in self.readers().items():
            for line in lines:
                await self.check_taken(name, reader, make_answer(reader.body, line, reader.fields))

    def test_status_lines_that_the_protocol_knows_are_taken(self) -> Any:
        # Failure: a check of status lines refuses sound answers.
        return Deferred.fromCoroutine(self._sound())

    async def _statuses(self) -> None:
        for status in (299, 301, 404, 422, 499, 500, 599):
            answer_all(self.server, make_answer(b"no", b"HTTP/1.1 %d Of Its Own" % status))
            result = await self.forward(True)
            assert isinstance(result, Ok), (status, result)
            assert result.ok_value.status == status

    def test_each_status_that_the_protocol_knows_is_passed_on(self) -> Any:
        # Failure: a replica's own answer is replaced by a refusal.
        return Deferred.fromCoroutine(self._statuses())


class LogLinesTest(BrokenAnswersCase):
    """Answer with an invalid head, and read the log."""

    async def _lines(self, log: LogCapture) -> None:
        answer_all(self.server, make_answer(b"whole", b"HTTP/1.1 000 Trouble"))
        reason = "invalid status line: b'HTTP/1.1 000 Trouble'"
        await self.forward(True)
        (line,) = log.fields_of(events.BROKEN_ANSWER)
        assert (line["request"], line["replica"], line["reason"]) == (REQUEST, "i-1", reason)
        await self.platform.create("k/n", b"v")
        assert log.fields_of(events.STORE_ODD_ANSWER) == [{"call": "create", "reason": reason}]
        answer_all(self.server, make_answer(b"whole", fields=b"Set-Cookie: sec\x00ret\r\n"))
        result = await self.forward(True)
        assert isinstance(result, Err)
        reason = result.err_value.reason
        assert log.fields_of(events.BROKEN_ANSWER)[-1]["reason"] == reason
        assert "Set-Cookie" in reason
        assert "ret" not in reason

    def test_an_invalid_head_leaves_a_line(self) -> Any:
        # Failure: a request fails, or a write counts as lost, and no line says why.
        log = LogCapture()
        log.push_application()
        self.addCleanup(log.pop_application)
        return Deferred.fromCoroutine(self._lines(log))


class FieldNamesTest(BrokenAnswersCase):
    """Answer with header lines whose names the protocol does not allow."""

    def _answers(self, reader: Reader) -> list[bytes]:
        return [
            make_answer(reader.body, fields=reader.fields + line + b"\r\n", framed=framed)
            for line in NAMES
            for framed in (True, False)
        ]

    def test_a_head_with_an_invalid_name_is_no_answer(self) -> Any:
        # Failure: the line is passed on to callers, or a length that it states is ignored, so that
        # a body that is not the replica's reaches them.
        return Deferred.fromCoroutine(self.check_refused(self._answers))


class FieldValuesTest(BrokenAnswersCase):
    """Answer with header lines whose values hold control bytes."""

    def _answers(self, reader: Reader) -> list[bytes]:
        return [make_answer(reader.body, fields=reader.fields + line + b"\r\n") for line in VALUES]

    def test_a_head_with_a_control_byte_in_a_value_is_no_answer(self) -> Any:
        # Failure: control bytes of a replica in trouble are passed on to callers.
        return Deferred.fromCoroutine(self.check_refused(self._answers))

    async def _sound(self) -> None:
        lines = (
            b"X-Note:",
            b"X-Note: \t a \t b \t ",
            b'X-Note: \xe7a va, ("quoted")',
            b"X-Note: a\r\n\tcontinued\r\n again",
            b"X-Note: a\nX-Other: b",
        )
        for name, reader in self.readers().items():
            for line in lines:
                fields = reader.fields + line + b"\r\n"
                await self.check_taken(name, reader, make_answer(reader.body, fields=fields))

    def test_values_that_the_protocol_knows_are_taken(self) -> Any:
        # Failure: a check of values refuses sound answers.
        return Deferred.fromCoroutine(self._sound())


class FramingTest(BrokenAnswersCase):
    """Answer with heads that leave open where the body ends."""

    def _answers(self, reader: Reader) -> list[bytes]:
        return [
            make_framed(reader.body, line, reader.fields + fields + b"\r\n")
            for line, fields in FRAMINGS
        ]

    def test_a_head_that_leaves_the_end_of_the_body_open_is_no_answer(self) -> Any:
        # Failure: callers get a body that is still encoded, or that ends where the replica did not
        # mean it to.
        return Deferred.fromCoroutine(self.check_refused(self._answers))

    async def _sound(self) -> None:
        framings = (
            b"Transfer-Encoding: chunked",
            b"transfer-encoding: Chunked",
            b"Content-Length: LENGTH",
            b"Content-Length: LENGTH\r\nContent-Length: LENGTH",
            b"Content-Length: LENGTH, LENGTH",
        )
        for name, reader in self.readers().items():
            length = str(len(reader.body)).encode()
            for framing in framings:
                fields = reader.fields + framing.replace(b"LENGTH", length) + b"\r\n"
                answer = make_framed(reader.body, b"HTTP/1.1 200 OK", fields)
                await self.check_taken(name, reader, answer)

    def test_framings_that_the_protocol_knows_are_taken(self) -> Any:
        # Failure: a check of framings refuses sound answers.
        return Deferred.fromCoroutine(self._sound())


class RequestIdsTest(BrokenAnswersCase):
    """Answer with the ids of two requests."""

    async def _ids(self, after: bool) -> None:
        wrong = []
        for name, reader in self.readers().items():
            if not reader.states_id:
                continue
            for line in OTHER_IDS:
                # FIELDS has the request's own id.
                lines = (FIELDS, line + b"\r\n") if after else (line + b"\r\n", FIELDS)
                length = b"Content-Length: %d\r\n\r\n" % len(reader.body)
                head = STATUS_LINE + b"\r\n" + b"".join(lines) + reader.fields + length
                answer_all(self.server, head + reader.body)
                result = await reader.call()
                kind = result.err_value.kind if isinstance(result, Err) else None
                if kind is not FailureKind.WRONG_ID:
                    wrong.append((name, line, result))
        assert not wrong, (len(wrong), wrong)
        assert (self.caller.heads, self.caller.body) == (0, b"")

    def test_an_answer_with_the_id_of_another_request_too_is_no_answer(self) -> Any:
        # Failure: an answer that may be another request's is passed on.
        return Deferred.fromCoroutine(self._ids(after=True))

    def test_an_answer_with_the_id_of_another_request_first_is_no_answer(self) -> Any:
        # Failure: an answer that may be another request's is passed on.
        return Deferred.fromCoroutine(self._ids(after=False))

    async def _one_id(self) -> None:
        for name, reader in self.readers().items():
            fields = reader.fields + b"X-Request-Id: REQUEST\r\n"
            await self.check_taken(name, reader, make_answer(reader.body, fields=fields))

    def test_an_answer_with_its_id_twice_is_taken(self) -> Any:
        # Failure: a sound answer that passed a proxy is refused.
        return Deferred.fromCoroutine(self._one_id())


class UnframedAnswersTest(BrokenAnswersCase):
    """Answer without a length, and close the connection in order."""

    async def _takes(self, reader: Reader) -> bool:
        answer = make_answer(reader.body, fields=reader.fields, framed=False)

        def respond(conn: RawConnection, head: bytes) -> None:
            conn.write(answer.replace(b"REQUEST", request_id(head)))
            conn.close()

        self.server.respond = respond
        return isinstance(await reader.call(), Ok)

    async def _unframed(self) -> None:
        readers = self.readers()
        taken = {name for name, reader in readers.items() if await self._takes(reader)}
        # Replicas on the platform may end an answer with its connection, and a chat's stream has an
        # end of its own.
        forwarded = {name for name, reader in readers.items() if reader.may_end_by_close}
        assert taken == forwarded | {"a chat's stream"}, taken

    def test_an_answer_without_a_length_is_taken_only_from_replicas_on_the_platform(self) -> Any:
        # Failure: a part of an answer is taken for all of it.
        return Deferred.fromCoroutine(self._unframed())


class EarlyAnswersTest(BrokenAnswersCase):
    """Answer before the request has arrived, and end the connection."""

    def setUp(self) -> None:
        super().setUp()
        self.early = EarlyServer()
        self.early_port = self.early.listen()
        self.replica = self.replica._replace(port=self.early_port.getHost().port)

    def tearDown(self) -> Any:
        closed = super().tearDown()
        return closed.addCallback(lambda _: self.early_port.stopListening())

    async def _uploads(self, end: End) -> None:
        for name, part in PARTS.items():
            self.early.play(part, end)
            for size in UPLOAD_BYTES:
                for fresh in (True, False):
                    result = await self.forward(fresh, body=b"u" * size)
                    assert isinstance(result, Err), (name, size, fresh, result)
                    failure = result.err_value
                    assert failure.kind is FailureKind.TRUNCATED, (name, size, fresh, failure)
                    assert failure.sent is Sent.MAYBE
                item = await self._run_item(b"u" * size)
                assert isinstance(item, Err), (name, size, item)
        assert self.early.answered == len(PARTS) * len(UPLOAD_BYTES) * 3

    async def _run_item(self, body: bytes) -> Result[Any, Failure]:
        state = ItemState(JobItem("i-1", "/j", {}, "", 10))
        return await self.forward(True, ItemReceiver(state, "v1"), body)

    def test_an_answer_reset_during_its_upload_is_incomplete(self) -> Any:
        # Failure: a part of an answer without a length is passed on as complete.
        return Deferred.fromCoroutine(self._uploads(End.RESET))

    def test_an_answer_closed_during_its_upload_is_incomplete(self) -> Any:
        # Failure: a replica's process ends during an upload, the kernel closes its connection in
        # order, and a part of an answer without a length is passed on as complete.
        return Deferred.fromCoroutine(self._uploads(End.CLOSE))

    async def _closed_after_uploads(self) -> None:
        for size in UPLOAD_BYTES:
            for fresh in (True, False):
                answer = make_answer(b"whole", framed=False).replace(b"REQUEST", b"r1")

                def respond(conn: RawConnection, _head: bytes, answer: bytes = answer) -> None:
                    conn.write(answer)
                    conn.close()

                self.server.respond = respond
                self.replica = self.replica._replace(port=self.port.getHost().port)
                result = await self.forward(fresh, body=b"u" * size)
                assert isinstance(result, Ok), (size, fresh, result)
                assert result.ok_value.body == b"whole"

    def test_an_answer_closed_after_its_upload_is_complete(self) -> Any:
        # Failure: an answer without a length is refused although its request was read.
        return Deferred.fromCoroutine(self._closed_after_uploads())

    async def _complete(self) -> None:
        self.early.play(make_answer(b"whole"), End.KEEP)
        for size in UPLOAD_BYTES:
            uploads = [bytes([number]) * size for number in range(3)]
            for upload in uploads:
                result = await self.forward(False, body=upload)
                assert isinstance(result, Ok), (size, result)
                assert result.ok_value.body == b"whole"
            # The answer to a request without a body comes after all that was sent before it.
            assert isinstance(await self.forward(False), Ok)
            await self.clock.sleep(200)
            assert self.early.bodies == [*uploads, b""]
            self.early.bodies.clear()

    def test_requests_after_early_answers_arrive_whole(self) -> Any:
        # Failure: a request is written into the rest of the upload before it.
        return Deferred.fromCoroutine(self._complete())
