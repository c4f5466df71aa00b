"""Validate the answer to a call as it is received, and build its Reply."""

from typing import Final

from result import Err, Ok, Result

from papayapier.upstream import answers
from papayapier.upstream.answers import BodyCollector
from papayapier.upstream.api import Call, FailureKind, Load, OnToken, Reply
from papayapier.upstream.engine_calls import ENGINE_PATHS
from papayapier.upstream.exchange import AnswerHandler, OnData, ResponseHead
from papayapier.upstream.phases import Fault
from papayapier.upstream.sse import StreamReader

MAX_BODY_BYTES: Final = 8_000_000
MAX_ERROR_BYTES: Final = 100_000
MAX_REASON_CHARS: Final = 300
OK_STATUS: Final = 200
FIRST_SERVER_ERROR: Final = 500


def is_engine_call(call: Call) -> bool:
    """Return whether the answer must have the format of a model engine's."""
    return call.stream or (call.path in ENGINE_PATHS and not call.plain_service)


class ReplyReader:
    """Process the parts of one answer as they are received."""

    __slots__ = ("_body", "_call", "_head", "_load", "_parsed", "_start_ms", "_stream")

    def __init__(self, call: Call, on_token: OnToken, start_ms: int) -> None:
        self._call = call
        self._start_ms = start_ms
        self._head: ResponseHead | None = None
        self._load: Load | None = None
        self._body = BodyCollector(MAX_BODY_BYTES)
        self._parsed = answers.EMPTY_ANSWER
        self._stream = StreamReader(call.request_id, on_token) if call.stream else None

    def handler(self) -> AnswerHandler:
        """Return the callbacks that process the answer."""
        return AnswerHandler(self._on_head, self._on_end, self._progress)

    def reply(self, now_ms: int) -> Reply:
        """Return the complete answer after a successful exchange."""
        assert self._head is not None
        total_ms = now_ms - self._start_ms
        parsed = self._stream.parsed() if self._stream else self._parsed
        first_ms = (self._stream.first_ms if self._stream else 0) or now_ms
        return Reply(
            status=self._head.status,
            content_type=answers.header_text(self._head.headers, b"Content-Type"),
            body=self._body.body(),
            text=parsed.text,
            tokens=parsed.tokens,
            finish_reason=parsed.finish_reason,
            load=self._load,
            first_token_ms=first_ms - self._start_ms,
            total_ms=total_ms,
        )

    def _on_head(self, head: ResponseHead) -> Result[OnData, Fault]:
        self._head = head
        self._load = answers.parse_load_header(head.headers, head.at_ms)
        answer_id = answers.stated_ids(head.headers, answers.REQUEST_ID_HEADER)
        is_refusal = self._is_refusal(head)
        if answer_id != self._call.request_id and (answer_id or not is_refusal):
            return Err(answers.wrong_id_fault(answer_id))
        if is_refusal:
            # The body holds the reason. It is read to its end so that the connection can be reused.
            self._stream = None
            self._body = BodyCollector(MAX_ERROR_BYTES)
        return Ok(self._body.add if self._stream is None else self._stream.feed)

    def _on_end(self, declared: bool) -> Fault | None:
        assert self._head is not None
        if self._is_refusal(self._head):
            return self._refusal_fault(self._head)
        if self._stream is not None:
            return self._stream.end()
        fault = self._body.end(declared)
        if fault is not None or not is_engine_call(self._call):
            return fault
        parsed = answers.parse_complete(self._body.body(), self._call.request_id)
        if isinstance(parsed, Err):
            return parsed.err_value
        self._parsed = parsed.ok_value
        return None

    def _progress(self) -> int:
        return self._body.progress() if self._stream is None else self._stream.events

    def _is_refusal(self, head: ResponseHead) -> bool:
        """Return whether the status means that the replica did not answer the call.

        A plain service's answer is passed to the caller whatever its status. A server error
        without the request id comes from a proxy in front of the service, not from the service.
        """
        if is_engine_call(self._call):
            return head.status != OK_STATUS
        has_id = bool(answers.header_text(head.headers, answers.REQUEST_ID_HEADER))
        return head.status >= FIRST_SERVER_ERROR and not has_id

    def _refusal_fault(self, head: ResponseHead) -> Fault:
        text = self._body.body().decode("utf-8", "replace")[:MAX_REASON_CHARS]
        return Fault(FailureKind.STATUS, f"status {head.status}: {text}", head.status)
