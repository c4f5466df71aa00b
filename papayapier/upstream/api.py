"""Define the interface of the upstream package.

A Call is sent to one replica and results in a Reply or a Failure. A Failure states whether the
replica may have run the call; only the upstream package can determine that.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

from result import Result


class Replica(NamedTuple):
    """Address one replica of an upstream.

    id identifies one boot of the replica, so that state recorded for one boot is not applied to
    the next. announced_name is the name by which the replica identifies itself, if it differs from
    id. version is the version of its software, empty if the list does not state it.
    """

    id: str
    upstream: str
    host: str
    port: int
    data_centre: str
    announced_name: str = ""
    version: str = ""

    def effective_name(self) -> str:
        """Return the name by which the replica identifies itself."""
        return self.announced_name or self.id


class Silence(NamedTuple):
    """Report that a replica has sent nothing of use for silent_ms after the request was written.

    reused says that the connection was not new, so that it may be at fault instead of the replica,
    answered that the head of the answer has arrived on it, which speaks against that. end ends the
    send as timed out, unless there was progress meanwhile; it returns whether the send has ended by
    it.
    """

    silent_ms: int
    reused: bool
    answered: bool
    end: Callable[[], bool]


OnSilence = Callable[[Silence], None]


class Call(NamedTuple):
    """Describe one request to a replica; its text fields are sent unchanged.

    path starts with a slash. stream requests SSE and a callback per token. due_ms is on the
    monotonic clock. new_connection requires a new connection instead of an idle one from the pool.
    plain_service marks the replica as a plain service even if the path is one of a model engine's;
    the answer of a plain service is passed on unchanged, whatever its status. first_byte_ms of 0
    applies the limit of the settings. on_silence is called when the replica is silent beyond a
    limit, and again while it remains so; without it, silence ends the call.
    """

    call_id: str
    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    due_ms: int
    new_connection: bool = False
    plain_service: bool = False
    first_byte_ms: int = 0
    on_silence: OnSilence | None = None


class Sent(Enum):
    """State whether the replica may have received the call."""

    NO = "no"
    MAYBE = "maybe"


class FailureKind(Enum):
    """List the ways in which a call to a replica can fail."""

    CONNECT = "connect"
    TIMED_OUT = "silent"
    TRUNCATED = "cut"
    INVALID = "broken"
    WRONG_ID = "wrong_id"
    STATUS = "status"
    DEADLINE = "due"
    CANCELLED = "cancelled"


class Failure(NamedTuple):
    """Explain why a call has no answer.

    new_connection states that the connection was new. Silence on a reused connection may be the
    fault of the connection alone, so the call should be retried before the replica is considered
    faulty. connection_refused states that the connection was refused: nothing listens at the
    replica's address. A network partition does not refuse connections.
    """

    kind: FailureKind
    sent: Sent
    reason: str
    status: int = 0
    new_connection: bool = False
    connection_refused: bool = False


class Load(NamedTuple):
    """Hold the load as reported by a replica; at_ms is when the report was received.

    delayed is False for a report that was current when it was received, as in the header of an
    answer.
    """

    running: int
    waiting: int
    slots: int
    step_ms: float
    at_ms: int
    delayed: bool = True


class Reply(NamedTuple):
    """Hold a complete answer; for a stream, text holds all tokens joined."""

    status: int
    content_type: str
    body: bytes
    text: str
    tokens: int
    finish_reason: str
    load: Load | None
    first_token_ms: int
    total_ms: int


class Token(NamedTuple):
    """Hold one chunk of a stream; data is the SSE payload as received."""

    text: str
    data: bytes
    at_ms: int


OnToken = Callable[[Token], None]
Send = Callable[[Replica, Call, OnToken], Awaitable[Result[Reply, Failure]]]


class UpstreamClient(NamedTuple):
    """Group the functions that send requests to replicas.

    send finishes at the call's due time at the latest. Cancelling the Deferred that wraps it
    cancels the call at the replica. load reads the replica's load report. cancel stops a request
    that may still run at the replica after its connection was lost.
    """

    send: Send
    load: Callable[[Replica], Awaitable[Result[Load, Failure]]]
    cancel: Callable[[Replica, str], Awaitable[None]]
    close: Callable[[], Awaitable[None]]
