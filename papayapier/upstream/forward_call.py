"""Forward a caller's request to one replica unchanged, and check that the answer is complete.

On platforms that forward arbitrary paths to replicas, the format of an answer is up to the
replica. Only what identifies the complete answer to the caller's request is checked: the
request id that the replica repeats, its signature, and the end of the body.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, Protocol

from result import Err, Ok, Result
from twisted.web.http_headers import Headers

from papayapier.metrics import Metrics
from papayapier.upstream.answers import BodyCollector, RejectionBody, wrong_id_fault
from papayapier.upstream.api import Failure, FailureKind, Load, OnSilence, Replica, Sent
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.exchange import (
    AnswerHandler,
    OnData,
    OutgoingRequest,
    ResponseHead,
)
from papayapier.upstream.phases import Fault

# Far above the size of real answers; bounds the memory that one faulty replica can use.
MAX_BODY_BYTES: Final = 8_000_000
ANSWERED: Final = "answered"


class AnswerMetadata(NamedTuple):
    """Hold what the status and headers of an answer say about the request.

    signed: the replica itself produced the answer. not_run: the replica states that it did not and
    will not run the request. address_reassigned: the address now belongs to another replica.
    encoded: the body was changed on its way from the replica. load_unreadable: the answer contains
    a load report that cannot be parsed.
    """

    request_id: str
    signed: bool
    not_run: bool
    address_reassigned: bool
    encoded: bool
    load: Load | None
    load_unreadable: bool = False


class ForwardCall(NamedTuple):
    """Describe one request to forward; first_byte_ms of 0 applies the limit of the settings.

    on_silence is that of Call.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    due_ms: int
    fresh: bool
    stream: bool
    first_byte_ms: int = 0
    on_silence: OnSilence | None = None


class ForwardAnswer(NamedTuple):
    """Hold a complete answer of which nothing has been passed on to the caller yet."""

    status: int
    headers: Headers
    body: bytes

    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return is_success(self.status)


class StreamedAnswer(NamedTuple):
    """Report a complete successful answer that was already passed on to its StreamConsumer."""

    status: int


ForwardedAnswer = ForwardAnswer | StreamedAnswer


def is_success(status: int) -> bool:
    """Return whether a status is a success."""
    return 200 <= status < 300


class StreamConsumer(Protocol):
    """Consume a streamed answer; a Fault ends the stream."""

    def on_head(self, head: ResponseHead) -> None:
        """Handle the status and headers of a successful answer."""

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        """Handle received bytes of the body."""

    def on_end(self, declared: bool) -> Fault | None:
        """Handle the end of the body; declared: its length or its last chunk confirmed the end."""

    def progress(self) -> int:
        """Return a number that grows with each event that has data."""


ReadMetadata = Callable[[int, Headers, int], AnswerMetadata]
OnLoad = Callable[[str, Load], None]
ForwardCallSender = Callable[
    [Replica, ForwardCall, StreamConsumer | None], Awaitable[Result[ForwardedAnswer, Failure]]
]


class ForwardCallDeps(NamedTuple):
    """Group the dependencies of make_forward_call_sender.

    on_load is called with the load that an answer reports, on_address_reassigned with the id
    of a replica whose address now belongs to another replica.
    """

    pools: ConnectionPools
    read_metadata: ReadMetadata
    on_load: OnLoad
    on_address_reassigned: Callable[[str], None]
    metrics: Metrics


def make_forward_call_sender(deps: ForwardCallDeps) -> ForwardCallSender:
    """Create the function that forwards a request to a replica."""
    pools, metrics = deps.pools, deps.metrics

    async def send(
        replica: Replica, call: ForwardCall, consumer: StreamConsumer | None
    ) -> Result[ForwardedAnswer, Failure]:
        reader = _AnswerReader(call, consumer, deps.read_metadata)
        outgoing = OutgoingRequest(
            call.method,
            call.target,
            call.headers,
            call.body,
            call.due_ms,
            call.fresh,
            call.first_byte_ms,
            call.request_id,
            call.on_silence,
        )
        result = await pools.run(replica, outgoing, reader.handler())
        if reader.metadata is not None and reader.metadata.load is not None:
            deps.on_load(replica.id, reader.metadata.load)
        if reader.metadata is not None and reader.metadata.load_unreadable:
            metrics.loads_unread.labels(replica.upstream).inc()
        if reader.metadata is not None and reader.metadata.address_reassigned:
            deps.on_address_reassigned(replica.id)
        if isinstance(result, Ok):
            metrics.upstream_calls.labels(replica.upstream, ANSWERED).inc()
            return Ok(reader.answer())
        failure = result.err_value
        metrics.upstream_calls.labels(replica.upstream, failure.kind.value).inc()
        if reader.metadata is not None and reader.metadata.not_run:
            return Err(failure._replace(sent=Sent.NO))
        return result

    return send


class _AnswerReader:
    """Process the parts of one answer as they are received."""

    __slots__ = (
        "_body",
        "_call",
        "_consumer",
        "_consuming",
        "_head",
        "_progress",
        "_read_metadata",
        "metadata",
    )

    def __init__(
        self, call: ForwardCall, consumer: StreamConsumer | None, read_metadata: ReadMetadata
    ) -> None:
        self._call = call
        self._consumer = consumer
        self._read_metadata = read_metadata
        self._head: ResponseHead | None = None
        self._body = BodyCollector(MAX_BODY_BYTES)
        self._progress: Callable[[], int] = self._body.progress
        self._consuming = False
        self.metadata: AnswerMetadata | None = None

    def handler(self) -> AnswerHandler:
        """Return the callbacks that process the answer."""
        return AnswerHandler(self._on_head, self._on_end, lambda: self._progress())

    def answer(self) -> ForwardedAnswer:
        """Return the answer after a successful exchange."""
        assert self._head is not None
        if self._consuming:
            return StreamedAnswer(self._head.status)
        return ForwardAnswer(self._head.status, self._head.headers, self._body.body())

    def _on_head(self, head: ResponseHead) -> Result[OnData, Fault]:
        metadata = self._read_metadata(head.status, head.headers, head.at_ms)
        self._head = head
        if metadata.request_id and metadata.request_id != self._call.request_id:
            return Err(wrong_id_fault(metadata.request_id))
        self.metadata = metadata
        if metadata.not_run:
            rejection = RejectionBody(head.at_ms)
            self._progress = rejection.progress
            return Ok(rejection.add)
        if not metadata.signed:
            return Err(
                Fault(FailureKind.INVALID, f"status {head.status} without replica signature")
            )
        if metadata.encoded:
            return Err(Fault(FailureKind.INVALID, "the body has a content encoding"))
        if self._consumer is None or not is_success(head.status):
            return Ok(self._body.add)
        self._consuming = True
        self._progress = self._consumer.progress
        self._consumer.on_head(head)
        return Ok(self._consumer.on_data)

    def _on_end(self, declared: bool) -> Fault | None:
        assert self._head is not None
        if self.metadata is not None and self.metadata.not_run:
            reason = f"the replica did not run the request, status {self._head.status}"
            return Fault(FailureKind.STATUS, reason, self._head.status)
        return (
            self._consumer.on_end(declared)
            if self._consuming and self._consumer is not None
            else None
        )
