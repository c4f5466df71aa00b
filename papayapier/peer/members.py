"""Exchange the instance list with peers while the platform cannot be read.

An instance that starts during a platform outage knows no replica, because only the platform
holds the list, but its peers have read the list before. So until its own first successful
read, an instance requests the list from each peer whose heartbeats arrive, and uses the most
recently read one. Lists are forwarded with their age, so that an instance that restarts later
in the same outage still gets one, and an old list stays marked as old. A request carries the
age and the digest of the list that the requester has; a peer whose list is not newer, or has
the same digest, replies with an empty list, so that repeated requests cost little. The age
alone is not enough for that, because the transit time of each forwarding makes a list seem
newer.
"""

import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import xxhash

from papayapier import codec, events
from papayapier.clock import Clock
from papayapier.peer.messages import Heartbeat, MembersAsk, MembersTell, Message
from papayapier.peer.parts import split_parts
from papayapier.store.api import Member
from papayapier.store.members import MemberFollower

REQUEST_ID_BITS: Final = 32
RETRY_MS: Final = 5_000
REPLY_TIMEOUT_MS: Final = 1_000
MAX_MEMBERS: Final = 100_000
NO_LIST: Final = -1


class MembersDeps(NamedTuple):
    """Group what the exchange needs; send returns False if a message could not be sent."""

    clock: Clock
    rand: random.Random
    send: Callable[[str, Message], bool]
    follower: MemberFollower


class _OpenRequest(NamedTuple):
    """Hold the open request and the parts of its reply received so far."""

    correlation_id: int
    peer: str
    at_ms: int
    parts: list[Member]


class MembersExchange:
    """Exchange the instance list with peers."""

    def __init__(self, deps: MembersDeps) -> None:
        self._deps = deps
        self._last_request_id = deps.rand.getrandbits(REQUEST_ID_BITS)
        self._open_request: _OpenRequest | None = None
        self._last_requested_ms: dict[str, int] = {}

    def on_peer(self, peer: str, message: Message) -> None:
        """Handle a message from a peer."""
        match message:
            case Heartbeat():
                self._request_if_needed(peer)
            case MembersAsk():
                self._answer(peer, message)
            case MembersTell():
                self._on_reply(peer, message)

    def _request_if_needed(self, peer: str) -> None:
        """Request the list from a peer, one at a time, until the platform has been read."""
        if self._deps.follower.last_read_ms is not None:
            self._open_request = None
            self._last_requested_ms.clear()
            return
        now = self._deps.clock.now()
        if self._open_request is not None and now - self._open_request.at_ms < REPLY_TIMEOUT_MS:
            return
        if peer in self._last_requested_ms and now - self._last_requested_ms[peer] < RETRY_MS:
            return
        self._last_request_id += 1
        if self._deps.send(peer, MembersAsk(self._last_request_id, self._age_ms(), self._digest())):
            self._open_request = _OpenRequest(self._last_request_id, peer, now, [])
            self._last_requested_ms[peer] = now

    def _answer(self, peer: str, request: MembersAsk) -> None:
        age_ms = self._age_ms()
        members = self._members() if self._is_newer(request, age_ms) else []
        for part in split_parts(members, lambda member: len(codec.pack(member))):
            self._deps.send(peer, MembersTell(request.correlation_id, part, len(members), age_ms))

    def _is_newer(self, request: MembersAsk, age_ms: int) -> bool:
        if age_ms == NO_LIST:
            return False
        younger = request.age_ms == NO_LIST or age_ms < request.age_ms
        return younger and request.digest != self._digest()

    def _on_reply(self, peer: str, reply: MembersTell) -> None:
        open_request = self._open_request
        if open_request is None or (open_request.correlation_id, open_request.peer) != (
            reply.correlation_id,
            peer,
        ):
            return
        open_request.parts.extend(reply.members)
        count = len(open_request.parts)
        if count < reply.total <= MAX_MEMBERS:
            # A part can be lost when the link is replaced between two parts. An incomplete
            # list would drop members, so it is used only once all parts have arrived.
            return
        self._open_request = None
        if not 0 < reply.total == count:
            return
        now = self._deps.clock.now()
        if self._deps.follower.use_list(open_request.parts, now - reply.age_ms):
            events.emit(events.MEMBERS_FROM_PEER, peer=peer, members=count, age_ms=reply.age_ms)

    def _members(self) -> list[Member]:
        return list(self._deps.follower.known.values())

    def _digest(self) -> int:
        return members_digest(self._members())

    def _age_ms(self) -> int:
        age_ms = self._deps.follower.age_ms()
        return NO_LIST if age_ms is None else age_ms


def members_digest(members: Iterable[Member]) -> int:
    """Return a digest of an instance list that does not depend on its order."""
    return xxhash.xxh3_64_intdigest(codec.pack(sorted(members)))
