"""Match the replies of peers with the requests that they answer."""

from collections.abc import Callable
from enum import Enum
from random import Random
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, Timer
from papayapier.peer.messages import (
    AllowTell,
    ClaimTell,
    ConfigTell,
    KeepTell,
    Message,
    ResultsTell,
    StoreTell,
    TakeOverTell,
)
from papayapier.peer.permit_messages import PermitReply
from papayapier.peer.placement_messages import PlaceTell
from papayapier.peer.run_messages import RunsTell
from papayapier.peer.version_messages import VersionTell

REQUEST_ID_BITS: Final = 32

MakeRequest = Callable[[int], Message]
# The kinds of replies that complete a request. MembersTell is none: MembersExchange handles it.
Answer = (
    ConfigTell
    | ClaimTell
    | StoreTell
    | PlaceTell
    | KeepTell
    | ResultsTell
    | RunsTell
    | AllowTell
    | TakeOverTell
    | PermitReply
    | VersionTell
)


class PeerError(Enum):
    """Name each way in which a request to a peer can fail."""

    NO_PEER = "no_peer"
    BUSY = "busy"
    TIMEOUT = "timeout"
    CLOSED = "closed"


class _OpenRequest(NamedTuple):
    peer_id: str
    reply: Deferred[Result[Message, PeerError]]
    timer: Timer


class OpenRequests:
    """Hold the requests that wait for their replies.

    Ids start at a random number, so that a reply to a request made before a restart of this
    instance, which a peer may still send, matches no request made after it.
    """

    def __init__(self, clock: Clock, rand: Random) -> None:
        self._clock = clock
        self._last_request_id = rand.getrandbits(REQUEST_ID_BITS)
        self._open_requests: dict[int, _OpenRequest] = {}

    def next_id(self) -> int:
        """Return a new request id."""
        self._last_request_id += 1
        return self._last_request_id

    async def wait_reply(
        self, correlation_id: int, peer_id: str, timeout_ms: int
    ) -> Result[Message, PeerError]:
        """Wait for a peer's reply to a request that was just sent."""
        timer = self._clock.call_later(
            timeout_ms, lambda: self._finish(correlation_id, Err(PeerError.TIMEOUT))
        )
        reply: Deferred[Result[Message, PeerError]] = Deferred(lambda _: self._drop(correlation_id))
        self._open_requests[correlation_id] = _OpenRequest(peer_id, reply, timer)
        return await reply

    def complete(self, sender: str, message: Message) -> bool:
        """Complete the request that a message answers; return False if there is none."""
        if not isinstance(message, Answer):
            return False
        request = self._open_requests.get(message.correlation_id)
        if request is None or request.peer_id != sender:
            return False
        self._finish(message.correlation_id, Ok(message))
        return True

    def close(self) -> None:
        """Fail every open request with PeerError.CLOSED."""
        for correlation_id in list(self._open_requests):
            self._finish(correlation_id, Err(PeerError.CLOSED))

    def _finish(self, correlation_id: int, outcome: Result[Message, PeerError]) -> None:
        request = self._open_requests.get(correlation_id)
        if request is None:
            return
        self._drop(correlation_id)
        request.reply.callback(outcome)

    def _drop(self, correlation_id: int) -> None:
        request = self._open_requests.pop(correlation_id, None)
        if request is not None and request.timer.active():
            request.timer.cancel()
