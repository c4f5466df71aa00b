"""Send control requests to a replica: small JSON requests with small answers."""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.web.http_headers import Headers

from papayapier.upstream.answers import Collected
from papayapier.upstream.api import Failure, Replica
from papayapier.upstream.exchange import Head, OnData, Outgoing, Sink
from papayapier.upstream.links import Links
from papayapier.upstream.phases import Fault

MAX_ANSWER_BYTES: Final = 4_000_000
JSON_TYPE: Final = "application/json"


class Question(NamedTuple):
    """Describe a control request."""

    method: str
    path: str
    body: bytes = b""


class Answer(NamedTuple):
    """Hold the complete answer to a control request, whatever its status."""

    status: int
    body: bytes


Ask = Callable[[Replica, Question], Awaitable[Result[Answer, Failure]]]


def make_ask(links: Links) -> Ask:
    """Create the function that sends control requests.

    A control request times out after the progress limit of a stream. A load poll that hangs on
    an idle connection therefore reveals that the connections to a replica are dead long before
    the first-byte limit of a call.
    """

    async def ask(replica: Replica, question: Question) -> Result[Answer, Failure]:
        collected = Collected(MAX_ANSWER_BYTES)
        statuses: list[int] = []

        def on_head(head: Head) -> Result[OnData, Fault]:
            statuses.append(head.status)
            return Ok(collected.add)

        due_ms = int(links.clock.now()) + links.cfg.progress_ms
        headers = Headers({"Content-Type": [JSON_TYPE]})
        out = Outgoing(question.method, question.path, headers, question.body, due_ms, False)
        ended = await links.run(replica, out, Sink(on_head, collected.end))
        if isinstance(ended, Err):
            return ended
        return Ok(Answer(statuses[0], collected.body()))

    return ask
