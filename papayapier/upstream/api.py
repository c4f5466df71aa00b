"""Define what the rest of the program knows of an upstream.

A Call goes to one replica and ends in a Reply or a Failure. A Failure says whether the
replica may have run the call; only the upstream package can know that.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

from result import Result


class Replica(NamedTuple):
    """Address one replica of an upstream.

    id names one boot of it, so that nothing learnt of one boot is taken for the next; known_as
    is the name that the replica itself answers to, where that is another.
    """

    id: str
    upstream: str
    host: str
    port: int
    data_centre: str
    known_as: str = ""

    def own_name(self) -> str:
        """Return the name that the replica itself answers to."""
        return self.known_as or self.id


class Call(NamedTuple):
    """Describe one request to a replica; text parts go out as they are.

    path starts with a slash. stream asks for SSE and calls back per token. due_ms is on
    the monotonic clock. fresh asks for a new connection, never a kept one. plain says that
    the replica is a plain service also where the path is one of a model engine; the answer of
    a plain service is passed on as it is, whatever its status.
    """

    call_id: str
    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str
    stream: bool
    due_ms: int
    fresh: bool = False
    plain: bool = False
    first_byte_ms: int = 0


class Sent(Enum):
    """Say whether the replica can have seen the call."""

    NO = "no"
    MAYBE = "maybe"


class FailureKind(Enum):
    """Name each way a call to a replica can fail."""

    CONNECT = "connect"
    SILENT = "silent"
    CUT = "cut"
    BROKEN = "broken"
    WRONG_ID = "wrong_id"
    STATUS = "status"
    DUE = "due"
    CANCELLED = "cancelled"


class Failure(NamedTuple):
    """Say why a call has no answer.

    fresh says that the connection was new. A silence on one that is not fresh says nothing
    about the replica itself, and should be followed by another try before it is blamed. closed
    says that nobody listens at the replica's address, which a cut of the network does not show.
    """

    kind: FailureKind
    sent: Sent
    reason: str
    status: int = 0
    fresh: bool = False
    closed: bool = False


class Load(NamedTuple):
    """Hold a replica's own report of its load; at_ms is when it was received.

    lagging is False for a report known to be of that very moment, as an answer carries it.
    """

    running: int
    waiting: int
    slots: int
    step_ms: float
    at_ms: int
    lagging: bool = True


class Reply(NamedTuple):
    """Hold a whole answer; for a stream, text is all its tokens joined."""

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
    """Hold one piece of a stream; data is the SSE payload as received."""

    text: str
    data: bytes
    at_ms: int


OnToken = Callable[[Token], None]
Send = Callable[[Replica, Call, OnToken], Awaitable[Result[Reply, Failure]]]


class Upstreams(NamedTuple):
    """Group the calls that reach replicas.

    send ends at the latest at the call's due time. Cancelling the Deferred that wraps it
    cancels the call at the replica. load reads the replica's report. cancel names a
    request id that a lost connection may have left running.
    """

    send: Send
    load: Callable[[Replica], Awaitable[Result[Load, Failure]]]
    cancel: Callable[[Replica, str], Awaitable[None]]
    close: Callable[[], Awaitable[None]]
