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
from papayapier.upstream.answers import Collected
from papayapier.upstream.api import Failure, FailureKind, Load, Replica, Sent
from papayapier.upstream.exchange import Head, OnData, Outgoing, Sink
from papayapier.upstream.links import Links
from papayapier.upstream.phases import Fault

# Far above the size of real answers; bounds the memory that one faulty replica can use.
MAX_BODY_BYTES: Final = 8_000_000
ANSWERED: Final = "answered"


class AnswerFacts(NamedTuple):
    """Hold what the status and headers of an answer say about the request.

    signed: the replica itself produced the answer. not_run: the replica states that it did not
    and will not run the request. moved: the address now belongs to another replica. encoded:
    the body was changed on its way from the replica. load_unread: the answer contains a load
    report that cannot be parsed.
    """

    request_id: str
    signed: bool
    not_run: bool
    moved: bool
    encoded: bool
    load: Load | None
    load_unread: bool = False


class RawCall(NamedTuple):
    """Describe one request to forward; first_byte_ms of 0 applies the limit of the settings."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    due_ms: int
    fresh: bool
    stream: bool
    first_byte_ms: int = 0


class RawAnswer(NamedTuple):
    """Hold a complete answer of which nothing has been passed on to the caller yet."""

    status: int
    headers: Headers
    body: bytes

    def good(self) -> bool:
        """Return whether the status is a success."""
        return is_good(self.status)


class PassedOn(NamedTuple):
    """Report a complete successful answer that was already passed on to its StreamTaker."""

    status: int


Answered = RawAnswer | PassedOn


def is_good(status: int) -> bool:
    """Return whether a status is a success."""
    return 200 <= status < 300


class StreamTaker(Protocol):
    """Consume a streamed answer; a Fault ends the stream."""

    def on_head(self, head: Head) -> None:
        """Handle the status and headers of a successful answer."""

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        """Handle received bytes of the body."""

    def on_end(self, declared: bool) -> Fault | None:
        """Handle the end of the body; declared: its length or its last chunk confirmed the end."""


ReadFacts = Callable[[int, Headers, int], AnswerFacts]
OnLoad = Callable[[str, Load], None]
SendRaw = Callable[[Replica, RawCall, StreamTaker | None], Awaitable[Result[Answered, Failure]]]


class RawDeps(NamedTuple):
    """Group the dependencies of make_raw_send.

    on_load is called with the load that an answer reports, on_moved with the id of a replica
    whose address now belongs to another replica.
    """

    links: Links
    read_facts: ReadFacts
    on_load: OnLoad
    on_moved: Callable[[str], None]
    metrics: Metrics


def make_raw_send(deps: RawDeps) -> SendRaw:
    """Create the function that forwards a request to a replica."""
    links, metrics = deps.links, deps.metrics

    async def send(
        replica: Replica, call: RawCall, taker: StreamTaker | None
    ) -> Result[Answered, Failure]:
        reader = _Reader(call, taker, deps.read_facts)
        out = Outgoing(
            call.method,
            call.target,
            call.headers,
            call.body,
            call.due_ms,
            call.fresh,
            call.first_byte_ms,
        )
        ended = await links.run(replica, out, reader.sink())
        if reader.facts is not None and reader.facts.load is not None:
            deps.on_load(replica.id, reader.facts.load)
        if reader.facts is not None and reader.facts.load_unread:
            metrics.loads_unread.labels(replica.upstream).inc()
        if reader.facts is not None and reader.facts.moved:
            deps.on_moved(replica.id)
        if isinstance(ended, Ok):
            metrics.upstream_calls.labels(replica.upstream, ANSWERED).inc()
            return Ok(reader.answer())
        failure = ended.err_value
        metrics.upstream_calls.labels(replica.upstream, failure.kind.value).inc()
        if reader.facts is not None and reader.facts.not_run:
            return Err(failure._replace(sent=Sent.NO))
        return ended

    return send


class _Reader:
    """Process the parts of one answer as they are received."""

    __slots__ = ("_body", "_call", "_head", "_read_facts", "_taker", "_taking", "facts")

    def __init__(self, call: RawCall, taker: StreamTaker | None, read_facts: ReadFacts) -> None:
        self._call = call
        self._taker = taker
        self._read_facts = read_facts
        self._head: Head | None = None
        self._body = Collected(MAX_BODY_BYTES)
        self._taking = False
        self.facts: AnswerFacts | None = None

    def sink(self) -> Sink:
        """Return the callbacks that process the answer."""
        return Sink(self._on_head, self._on_end)

    def answer(self) -> Answered:
        """Return the answer after a successful exchange."""
        assert self._head is not None
        if self._taking:
            return PassedOn(self._head.status)
        return RawAnswer(self._head.status, self._head.headers, self._body.body())

    def _on_head(self, head: Head) -> Result[OnData, Fault]:
        facts = self._read_facts(head.status, head.headers, head.at_ms)
        self._head = head
        if facts.request_id and facts.request_id != self._call.request_id:
            return Err(Fault(FailureKind.WRONG_ID, f"answer belongs to request {facts.request_id}"))
        self.facts = facts
        if facts.not_run:
            return Ok(self._body.add)
        if not facts.signed:
            return Err(Fault(FailureKind.BROKEN, f"status {head.status} without replica signature"))
        if facts.encoded:
            return Err(Fault(FailureKind.BROKEN, "the body has a content encoding"))
        if self._taker is None or not is_good(head.status):
            return Ok(self._body.add)
        self._taking = True
        self._taker.on_head(head)
        return Ok(self._taker.on_data)

    def _on_end(self, declared: bool) -> Fault | None:
        assert self._head is not None
        if self.facts is not None and self.facts.not_run:
            reason = f"the replica did not run the request, status {self._head.status}"
            return Fault(FailureKind.STATUS, reason, self._head.status)
        return self._taker.on_end(declared) if self._taking and self._taker is not None else None
