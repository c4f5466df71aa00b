"""Send control requests to a replica: small JSON requests with small answers."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.web.http_headers import Headers

from papayapier.upstream.answers import BodyCollector
from papayapier.upstream.api import Failure, Replica
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.exchange import AnswerHandler, OnData, OutgoingRequest, ResponseHead
from papayapier.upstream.phases import Fault

MAX_ANSWER_BYTES: Final = 4_000_000
JSON_TYPE: Final = "application/json"


class ControlRequest(NamedTuple):
    """Describe a control request."""

    method: str
    path: str
    body: bytes = b""


class ControlAnswer(NamedTuple):
    """Hold the complete answer to a control request, whatever its status."""

    status: int
    body: bytes


SendControl = Callable[[Replica, ControlRequest], Awaitable[Result[ControlAnswer, Failure]]]


def make_control_sender(pools: ConnectionPools) -> SendControl:
    """Create the function that sends control requests.

    A control request times out after the progress limit of a stream. A load poll that hangs on
    an idle connection therefore reveals that the connections to a replica are dead long before
    the first-byte limit of a call.
    """

    async def send_control(
        replica: Replica, request: ControlRequest
    ) -> Result[ControlAnswer, Failure]:
        collector = BodyCollector(MAX_ANSWER_BYTES)
        statuses: list[int] = []

        def on_head(head: ResponseHead) -> Result[OnData, Fault]:
            statuses.append(head.status)
            return Ok(collector.add)

        due_ms = int(pools.clock.now()) + pools.cfg.progress_ms
        headers = Headers({"Content-Type": [JSON_TYPE]})
        out = OutgoingRequest(request.method, request.path, headers, request.body, due_ms, False)
        result = await pools.run(
            replica, out, AnswerHandler(on_head, collector.end, collector.progress)
        )
        if isinstance(result, Err):
            return result
        return Ok(ControlAnswer(statuses[0], collector.body()))

    return send_control
