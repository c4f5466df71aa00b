"""Test answers that begin before their requests have arrived, and how their connections end."""

from typing import Any, Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.jobs.item_run import ItemReceiver
from papayapier.jobs.owned_job import ItemState
from papayapier.jobs.records import JobItem
from papayapier.upstream.api import Failure, FailureKind, Sent
from tests.answer_readers import AnswerReadersCase
from tests.broken_answers import make_answer
from tests.early_answers import PARTS, EarlyServer, End
from tests.raw_server import RawConnection

# One that the kernels' buffers hold, and one that they do not.
UPLOAD_BYTES: Final = (200_000, 12_000_000)


class EarlyAnswersTest(AnswerReadersCase):
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
