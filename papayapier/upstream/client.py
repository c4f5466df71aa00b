"""Send calls to replicas, and give back whole answers or what is known of the failure."""

from typing import Any, Final, TypedDict

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, gatherResults
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import Clock
from papayapier.metrics import Metrics
from papayapier.settings import UpstreamSettings
from papayapier.upstream import answers
from papayapier.upstream.api import (
    Call,
    Failure,
    FailureKind,
    Load,
    OnToken,
    Replica,
    Reply,
    Sent,
    Upstreams,
)
from papayapier.upstream.engine_calls import ENGINE_PATHS
from papayapier.upstream.exchange import Exchange, Fault, Head, Outgoing, Sink
from papayapier.upstream.pool import ReplicaPool
from papayapier.upstream.sse import StreamReader

MAX_BODY_BYTES: Final = 32_000_000
MAX_REASON_CHARS: Final = 300
CONTROL_TIMEOUT_MS: Final = 2_000
CALL_ID: Final = "X-Papayapier-Call"
JSON: Final = "application/json"


class LoadReport(TypedDict):
    """Hold the body of an answer to GET /load."""

    running: int
    waiting: int
    slots: int


def make_upstreams(
    reactor: Any, clock: Clock, cfg: UpstreamSettings, metrics: Metrics
) -> Upstreams:
    """Make the calls that reach replicas."""
    client = _Client(reactor, clock, cfg)
    return Upstreams(client.send, client.load, client.cancel, client.close)


class _Client:
    """Hold the connections of one instance, by replica address."""

    def __init__(self, reactor: Any, clock: Clock, cfg: UpstreamSettings) -> None:
        self._reactor = reactor
        self._clock = clock
        self._cfg = cfg
        self._pools: dict[tuple[str, int], ReplicaPool] = {}

    async def send(self, replica: Replica, call: Call, on_token: OnToken) -> Result[Reply, Failure]:
        """Send a call; cancelling the Deferred around this cancels it at the replica."""
        answer = _Answer(call, on_token, int(self._clock.now()))
        ended = await self._run(replica, _outgoing(call), answer.sink())
        if isinstance(ended, Ok):
            return Ok(answer.reply(int(self._clock.now())))
        failure = ended.err_value
        if failure.sent is Sent.MAYBE and failure.kind in _MAY_STILL_RUN and _is_engine_call(call):
            self._cancel_later(replica, call.request_id)
        return ended

    async def load(self, replica: Replica) -> Result[Load, Failure]:
        """Read the replica's load report."""
        body = await self._control(replica, "GET", "/load", b"")
        if isinstance(body, Err):
            return body
        try:
            report = msgspec.json.decode(body.ok_value, type=LoadReport)
        except msgspec.MsgspecError as exc:
            return Err(Failure(FailureKind.BROKEN, Sent.MAYBE, f"load cannot be read: {exc}"))
        step_ms = 0.0
        return Ok(
            Load(
                report["running"],
                report["waiting"],
                report["slots"],
                step_ms,
                int(self._clock.now()),
            )
        )

    async def cancel(self, replica: Replica, request_id: str) -> None:
        """Tell the replica to stop a request; nobody learns whether it did."""
        body = msgspec.json.encode({"request_id": request_id})
        await self._control(replica, "POST", "/cancel", body)

    async def close(self) -> None:
        """Close all kept connections."""
        pools = list(self._pools.values())
        self._pools.clear()
        await gatherResults([pool.close() for pool in pools])

    async def _control(
        self, replica: Replica, method: str, path: str, body: bytes
    ) -> Result[bytes, Failure]:
        collected = _Collected()
        due_ms = int(self._clock.now()) + CONTROL_TIMEOUT_MS
        headers = Headers({"Content-Type": [JSON]})
        out = Outgoing(method, path, headers, body, due_ms, False)
        sink = Sink(_refuse_errors, collected.add, collected.end)
        ended = await self._run(replica, out, sink)
        return ended.map(lambda _: collected.body())

    def _run(self, replica: Replica, out: Outgoing, sink: Sink) -> Deferred[Result[None, Failure]]:
        exchange = Exchange(self._clock, self._cfg, self._pool(replica), replica, out, sink)
        exchange.start()
        return exchange.done

    def _pool(self, replica: Replica) -> ReplicaPool:
        key = (replica.host, replica.port)
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = ReplicaPool(self._reactor, *key)
        return pool

    def _cancel_later(self, replica: Replica, request_id: str) -> None:
        done = Deferred.fromCoroutine(self.cancel(replica, request_id))
        done.addErrback(
            lambda why: events.emit(events.BROKEN_ANSWER, replica=replica.id, reason=why.value)
        )


# A connection that was closed on our side tells the engine to stop, unless something in
# between swallows the close; then the engine would go on generating for nobody.
_MAY_STILL_RUN: Final = frozenset(
    {FailureKind.SILENT, FailureKind.DUE, FailureKind.CANCELLED, FailureKind.WRONG_ID}
)


class _Collected:
    """Gather a bounded body."""

    __slots__ = ("_parts", "_size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def add(self, data: bytes, _now_ms: int) -> Fault | None:
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            return Fault(FailureKind.BROKEN, f"answer longer than {MAX_BODY_BYTES} bytes")
        self._parts.append(data)
        return None

    def end(self, declared: bool) -> Fault | None:
        if declared:
            return None
        return Fault(FailureKind.CUT, "answer has no declared length")

    def body(self) -> bytes:
        return b"".join(self._parts)


class _Answer:
    """Check the answer to one call as it comes."""

    def __init__(self, call: Call, on_token: OnToken, start_ms: int) -> None:
        self._call = call
        self._engine = _is_engine_call(call)
        self._start_ms = start_ms
        self._first_ms = 0
        self._head: Head | None = None
        self._load: Load | None = None
        self._collected = _Collected()
        self._parsed = answers.Parsed("", 0, "")
        self._stream = StreamReader(call.request_id, on_token) if call.stream else None

    def sink(self) -> Sink:
        if self._stream is not None:
            return Sink(self._on_head, self._on_stream, self._stream.end)
        return Sink(self._on_head, self._on_data, self._on_end)

    def reply(self, now_ms: int) -> Reply:
        assert self._head is not None
        total_ms = now_ms - self._start_ms
        text, tokens, finish_reason = self._parsed
        if self._stream is not None:
            text, tokens = self._stream.text, self._stream.tokens
            finish_reason = self._stream.finish_reason
        content_type = answers.header_text(self._head.headers, b"Content-Type")
        body = self._collected.body()
        return Reply(
            self._head.status,
            content_type,
            body,
            text,
            tokens,
            finish_reason,
            self._load,
            self._first_ms or total_ms,
            total_ms,
        )

    def _on_head(self, head: Head) -> Fault | None:
        self._head = head
        self._load = answers.parse_load_header(head.headers, head.at_ms)
        if self._engine and head.status != 200:
            return Fault(FailureKind.STATUS, f"status {head.status}", head.status)
        return answers.wrong_header_id(head.headers, self._call.request_id)

    def _on_stream(self, data: bytes, now_ms: int) -> Fault | None:
        assert self._stream is not None
        fault = self._stream.feed(data, now_ms)
        if not self._first_ms and self._stream.tokens:
            self._first_ms = now_ms - self._start_ms
        return fault

    def _on_data(self, data: bytes, now_ms: int) -> Fault | None:
        return self._collected.add(data, now_ms)

    def _on_end(self, declared: bool) -> Fault | None:
        fault = self._collected.end(declared)
        if fault is not None or not self._engine:
            return fault
        parsed = answers.parse_whole(self._collected.body(), self._call.request_id)
        if isinstance(parsed, Err):
            return parsed.err_value
        self._parsed = parsed.ok_value
        return None


def _is_engine_call(call: Call) -> bool:
    return call.stream or (call.path in ENGINE_PATHS and not call.plain)


def _outgoing(call: Call) -> Outgoing:
    headers = Headers(
        {
            "Content-Type": [call.content_type],
            "X-Request-Id": [call.request_id],
            CALL_ID: [call.call_id],
        }
    )
    return Outgoing(call.method, call.path, headers, call.body, call.due_ms, call.fresh)


def _refuse_errors(head: Head) -> Fault | None:
    if head.status == 200:
        return None
    return Fault(FailureKind.STATUS, f"status {head.status}", head.status)
