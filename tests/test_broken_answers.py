"""Test that no reader of answers takes one whose head breaks the protocol, or that has no end."""

from typing import Any

from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.upstream.api import FailureKind
from tests.answer_readers import REQUEST, AnswerReadersCase, Reader
from tests.broken_answers import (
    FIELDS,
    FRAMINGS,
    NAMES,
    OTHER_IDS,
    STATUS_LINE,
    STATUS_LINES,
    UNKNOWN_STATUS,
    VALUES,
    answer_all,
    make_answer,
    make_framed,
    make_unknown_status,
    request_id,
)
from tests.log_capture import LogCapture
from tests.raw_server import RawConnection

CHUNKED = b"Transfer-Encoding: chunked\r\n"


class StatusLinesTest(AnswerReadersCase):
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

    def test_the_status_000_in_any_form_is_no_answer(self) -> Any:
        # Failure: the same, where the answer has no length, has chunks or follows an interim one.
        return Deferred.fromCoroutine(
            self.check_refused(
                lambda reader: [
                    make_unknown_status(reader.body, (line, reader.fields + fields, framed))
                    for line, fields, framed in UNKNOWN_STATUS
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


class LogLinesTest(AnswerReadersCase):
    """Answer with an invalid head, and read the log."""

    async def _lines(self, log: LogCapture) -> None:
        answer_all(self.server, make_answer(b"whole", b"HTTP/1.1 000 Trouble"))
        reason = "invalid status line: b'HTTP/1.1 000 Trouble'"
        await self.forward(True)
        (line,) = log.fields_of(events.BROKEN_ANSWER)
        assert (line["request"], line["replica"], line["reason"]) == (REQUEST, "i-1", reason)
        await self.platform.create("k/n", b"v")
        assert log.fields_of(events.STORE_ODD_ANSWER) == [{"call": "create", "reason": reason}]

    async def _texts(self) -> None:
        for answer in (
            make_answer(b"whole", fields=b"Set-Cookie: sec\x00ret\r\n"),
            make_answer(b"whole", fields=b"a secret line\r\n"),
            make_answer(b"whole", b"of another answer: secret"),
            make_answer(b"whole", b"HTTP/1.1 200 a reason with a \x00secret"),
            make_answer(b"whole", b"HTTP/1.1 000 secret"),
            make_answer(b"whole", b"HTTP/1.1 secret"),
            make_answer(b"whole", fields=b"Secret: a\x00b\r\n"),
            make_answer(b"whole", fields=b"Content-Length: secret\r\n"),
            make_answer(b"whole", fields=b"Transfer-Encoding: secret\r\n"),
            make_answer(b"5;sec\x00ret\r\nwhole\r\n", fields=CHUNKED, framed=False),
            make_answer(b"secret\r\nwhole\r\n", fields=CHUNKED, framed=False),
            make_answer(b"whole", fields=b"X-Request-Id: secret\r\n"),
        ):
            answer_all(self.server, answer)
            result = await self.forward(True)
            assert isinstance(result, Err), answer
            assert "ret" not in result.err_value.reason, result

    def test_the_text_of_an_error_has_nothing_of_the_answer(self) -> Any:
        # Failure: a secret, or a part of another caller's answer, gets into refusals.
        return Deferred.fromCoroutine(self._texts())

    def test_an_invalid_head_leaves_a_line(self) -> Any:
        # Failure: a request fails, or a write counts as lost, and no line says why.
        log = LogCapture()
        log.push_application()
        self.addCleanup(log.pop_application)
        return Deferred.fromCoroutine(self._lines(log))


class FieldNamesTest(AnswerReadersCase):
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


class FieldValuesTest(AnswerReadersCase):
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


class FramingTest(AnswerReadersCase):
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


class RequestIdsTest(AnswerReadersCase):
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


class UnframedAnswersTest(AnswerReadersCase):
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
