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
from papayapier.peer.placing_messages import PlaceTell
from papayapier.peer.run_messages import RunsTell

ASK_ID_BITS: Final = 32

MakeAsk = Callable[[int], Message]
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
)


class PeerError(Enum):
    """Name each way in which a request to a peer can fail."""

    NO_PEER = "no_peer"
    BUSY = "busy"
    TIMEOUT = "timeout"
    CLOSED = "closed"


class _Question(NamedTuple):
    peer_id: str
    answered: Deferred[Result[Message, PeerError]]
    timer: Timer


class Questions:
    """Hold the requests that wait for their replies.

    Ids start at a random number, so that a reply to a request made before a restart of this
    instance, which a peer may still send, matches no request made after it.
    """

    def __init__(self, clock: Clock, rand: Random) -> None:
        self._clock = clock
        self._last_id = rand.getrandbits(ASK_ID_BITS)
        self._open: dict[int, _Question] = {}

    def next_id(self) -> int:
        """Return a new request id."""
        self._last_id += 1
        return self._last_id

    async def wait(self, ask_id: int, peer_id: str, timeout_ms: int) -> Result[Message, PeerError]:
        """Wait for a peer's reply to a request that was just sent."""
        timer = self._clock.call_later(
            timeout_ms, lambda: self._end(ask_id, Err(PeerError.TIMEOUT))
        )
        answered: Deferred[Result[Message, PeerError]] = Deferred(lambda _: self._drop(ask_id))
        self._open[ask_id] = _Question(peer_id, answered, timer)
        return await answered

    def settle(self, sender: str, message: Message) -> bool:
        """Complete the request that a message answers; return False if there is none."""
        if not isinstance(message, Answer):
            return False
        question = self._open.get(message.ask_id)
        if question is None or question.peer_id != sender:
            return False
        self._end(message.ask_id, Ok(message))
        return True

    def close(self) -> None:
        """Fail every open request with PeerError.CLOSED."""
        for ask_id in list(self._open):
            self._end(ask_id, Err(PeerError.CLOSED))

    def _end(self, ask_id: int, outcome: Result[Message, PeerError]) -> None:
        question = self._open.get(ask_id)
        if question is None:
            return
        self._drop(ask_id)
        question.answered.callback(outcome)

    def _drop(self, ask_id: int) -> None:
        question = self._open.pop(ask_id, None)
        if question is not None and question.timer.active():
            question.timer.cancel()
