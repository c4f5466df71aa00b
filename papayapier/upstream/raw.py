"""Pass a caller's request to one replica as it is, and know whether the answer is whole.

Where the platform forwards any path to a replica, the answer's form is the replica's matter.
What is checked is what tells a caller's own whole answer from anything else: the request id
that the replica repeats, its signature, and the end of the body.
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

# Far above any answer seen on the platform; bounds what one broken replica can take.
MAX_BODY_BYTES: Final = 8_000_000
ANSWERED: Final = "answered"


class AnswerFacts(NamedTuple):
    """Hold what the head of an answer says of the run.

    signed: the replica itself made it; not_run: the replica states that it did not and will
    not run the request; moved: another replica has the address now; encoded: the body is not
    as the replica made it; load_unread: it states a load that cannot be read.
    """

    request_id: str
    signed: bool
    not_run: bool
    moved: bool
    encoded: bool
    load: Load | None
    load_unread: bool = False


class RawCall(NamedTuple):
    """Describe one send; first_byte_ms 0 waits as long as the settings say."""

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
    """Hold an answer of which nothing has been passed on yet."""

    status: int
    headers: Headers
    body: bytes

    def good(self) -> bool:
        """Tell whether the replica did what was asked."""
        return is_good(self.status)


class PassedOn(NamedTuple):
    """Say that a whole good answer has been passed on to its taker."""

    status: int


Answered = RawAnswer | PassedOn


def is_good(status: int) -> bool:
    """Tell whether a status says that the replica did what was asked."""
    return 200 <= status < 300


class StreamTaker(Protocol):
    """Take the answer to a stream as it comes; a Fault ends it."""

    def on_head(self, head: Head) -> None:
        """Take the head of a good answer."""

    def on_data(self, data: bytes, now_ms: int) -> Fault | None:
        """Take a part of the body."""

    def on_end(self, declared: bool) -> Fault | None:
        """Take the end of the body; declared tells that its length or last chunk says so."""


ReadFacts = Callable[[int, Headers, int], AnswerFacts]
OnLoad = Callable[[str, Load], None]
SendRaw = Callable[[Replica, RawCall, StreamTaker | None], Awaitable[Result[Answered, Failure]]]


class RawDeps(NamedTuple):
    """Group what sends work with.

    on_load is told each answer's load, on_moved a replica whose address is another's now.
    """

    links: Links
    read_facts: ReadFacts
    on_load: OnLoad
    on_moved: Callable[[str], None]
    metrics: Metrics


def make_raw_send(deps: RawDeps) -> SendRaw:
    """Make the call that sends a request to a replica."""
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
    """Take the parts of one answer."""

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
        """Return the calls that take the answer."""
        return Sink(self._on_head, self._on_end)

    def answer(self) -> Answered:
        """Return the answer, once the exchange has ended well."""
        assert self._head is not None
        if self._taking:
            return PassedOn(self._head.status)
        return RawAnswer(self._head.status, self._head.headers, self._body.body())

    def _on_head(self, head: Head) -> Result[OnData, Fault]:
        facts = self._read_facts(head.status, head.headers, head.at_ms)
        self._head = head
        if facts.request_id and facts.request_id != self._call.request_id:
            return Err(Fault(FailureKind.WRONG_ID, f"answer to request {facts.request_id}"))
        self.facts = facts
        if facts.not_run:
            return Ok(self._body.add)
        if not facts.signed:
            return Err(Fault(FailureKind.BROKEN, f"status {head.status} without signature"))
        if facts.encoded:
            return Err(Fault(FailureKind.BROKEN, "the body is encoded"))
        if self._taker is None or not is_good(head.status):
            return Ok(self._body.add)
        self._taking = True
        self._taker.on_head(head)
        return Ok(self._taker.on_data)

    def _on_end(self, declared: bool) -> Fault | None:
        assert self._head is not None
        if self.facts is not None and self.facts.not_run:
            reason = f"the replica did not run it, status {self._head.status}"
            return Fault(FailureKind.STATUS, reason, self._head.status)
        return self._taker.on_end(declared) if self._taking and self._taker is not None else None
