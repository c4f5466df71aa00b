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
    UpstreamClient,
)
from papayapier.upstream.cancels import CancelQueue
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.control import ControlRequest, make_control_sender
from papayapier.upstream.exchange import OutgoingRequest
from papayapier.upstream.replies import ReplyReader, is_engine_call

ANSWERED: Final = "answered"


def make_upstream_client(
    reactor: Any, clock: Clock, cfg: UpstreamSettings, metrics: Metrics
) -> UpstreamClient:
    """Create the functions that send requests to replicas."""
    pools = ConnectionPools(reactor, clock, cfg)
    send_control = make_control_sender(pools)
    cancels = CancelQueue(send_control)

    async def send(replica: Replica, call: Call, on_token: OnToken) -> Result[Reply, Failure]:
        reader = ReplyReader(call, on_token, int(clock.now()))
        result = await pools.run(replica, _outgoing_request(call), reader.handler())
        if isinstance(result, Ok):
            metrics.upstream_calls.labels(replica.upstream, ANSWERED).inc()
            return Ok(reader.reply(int(clock.now())))
        failure = result.err_value
        metrics.upstream_calls.labels(replica.upstream, failure.kind.value).inc()
        if _may_still_run(call, failure):
            cancels.add(replica, call.request_id)
        return result

    async def load(replica: Replica) -> Result[Load, Failure]:
        answer = await send_control(replica, ControlRequest("GET", "/load"))
        if isinstance(answer, Err):
            return answer
        return parse_load(answer.ok_value.status, answer.ok_value.body, int(clock.now()))

    async def close() -> None:
        cancels.clear()
        await pools.close()

    return UpstreamClient(send, load, cancels.send, close)


def _outgoing_request(call: Call) -> OutgoingRequest:
    headers = Headers(
        {
            "Content-Type": [call.content_type],
            "X-Request-Id": [call.request_id],
            "X-Papayapier-Call": [call.call_id],
        }
    )
    return OutgoingRequest(
        call.method,
        call.path,
        headers,
        call.body,
        call.due_ms,
        call.new_connection,
        call.first_byte_ms,
        call.request_id,
        call.on_silence,
    )


def _may_still_run(call: Call, failure: Failure) -> bool:
    if failure.sent is Sent.NO or failure.kind is FailureKind.STATUS:
        return False
    return is_engine_call(call)
