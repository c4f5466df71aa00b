"""Send calls to replicas and return complete answers or the reason for the failure.

A call that must not run twice requires a new connection. An idle connection from the pool is
not safe for it: the replica may be closing it at that moment, and if the connection ends after
the request was written, it is unknown whether the replica had read the request. On a new
connection, a refused or timed-out connect proves that nothing was sent, and any later failure
is caused by the replica itself.
"""

from typing import Any, Final

from result import Err, Ok, Result
from twisted.web.http_headers import Headers

from papayapier.clock import Clock
from papayapier.metrics import Metrics
from papayapier.settings import UpstreamSettings
from papayapier.upstream.answers import parse_load
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
from papayapier.upstream.cancels import Cancels
from papayapier.upstream.control import Question, make_ask
from papayapier.upstream.exchange import Outgoing
from papayapier.upstream.links import Links
from papayapier.upstream.replies import ReplyReader, is_engine_call

ANSWERED: Final = "answered"


def make_upstreams(
    reactor: Any, clock: Clock, cfg: UpstreamSettings, metrics: Metrics
) -> Upstreams:
    """Create the functions that send requests to replicas."""
    links = Links(reactor, clock, cfg)
    ask = make_ask(links)
    cancels = Cancels(ask)

    async def send(replica: Replica, call: Call, on_token: OnToken) -> Result[Reply, Failure]:
        reader = ReplyReader(call, on_token, int(clock.now()))
        ended = await links.run(replica, _outgoing(call), reader.sink())
        if isinstance(ended, Ok):
            metrics.upstream_calls.labels(replica.upstream, ANSWERED).inc()
            return Ok(reader.reply(int(clock.now())))
        failure = ended.err_value
        metrics.upstream_calls.labels(replica.upstream, failure.kind.value).inc()
        if _may_still_run(call, failure):
            cancels.add(replica, call.request_id)
        return ended

    async def load(replica: Replica) -> Result[Load, Failure]:
        answer = await ask(replica, Question("GET", "/load"))
        if isinstance(answer, Err):
            return answer
        return parse_load(answer.ok_value.status, answer.ok_value.body, int(clock.now()))

    async def close() -> None:
        cancels.clear()
        await links.close()

    return Upstreams(send, load, cancels.send, close)


def _outgoing(call: Call) -> Outgoing:
    headers = Headers(
        {
            "Content-Type": [call.content_type],
            "X-Request-Id": [call.request_id],
            "X-Papayapier-Call": [call.call_id],
        }
    )
    return Outgoing(
        call.method,
        call.path,
        headers,
        call.body,
        call.due_ms,
        call.fresh,
        call.first_byte_ms,
    )


def _may_still_run(call: Call, failure: Failure) -> bool:
    if failure.sent is Sent.NO or failure.kind is FailureKind.STATUS:
        return False
    return is_engine_call(call)
