"""Keep what is known of one peer, and name what a change of it asks for."""

from collections.abc import Sequence
from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.clock import Millis
from papayapier.store.api import LEAVING, LIVE, LOST, Member

if TYPE_CHECKING:
    from papayapier.peer.messages import Heartbeat

SERVING_STATES: Final = frozenset({LIVE, "serving"})


class Redial(NamedTuple):
    """Open a lasting connection to a neighbour, in place of the one there may be."""

    peer_id: str


class HangUp(NamedTuple):
    """Close the connection to a peer that is no neighbour any more."""

    peer_id: str


class Change(Enum):
    """Name what can happen to a peer."""

    UP = "up"
    RESTARTED = "restarted"
    DOWN = "down"
    LEAVING = "leaving"
    GONE = "gone"
    TELLS = "tells"


class Noted(NamedTuple):
    """Report a change of one peer."""

    peer_id: str
    change: Change


Step = Redial | HangUp | Noted


class PeerView(NamedTuple):
    """Show one peer to the rest of the program."""

    id: str
    neighbour: bool
    up: bool
    leaving: bool
    boot: int
    config_version: int
    data_centre: str
    region: str
    heard_ms_ago: int


class Peer:
    """Hold the state of one peer.

    adopted means that it picked this instance, lost that it has been silent as a neighbour and
    has not been heard since.
    """

    __slots__ = (
        "adopted",
        "boot",
        "dialled_at",
        "heard_at",
        "known_at",
        "last",
        "listed",
        "lost",
        "member",
        "picked",
        "record",
        "up",
    )

    def __init__(self, member: Member, now: Millis) -> None:
        self.member = member
        self.record: Member | None = member
        self.listed = True
        self.picked = False
        self.adopted = False
        self.up = False
        # Whoever starts anew need not find out again who is gone for good.
        self.lost = member.state == LOST
        self.boot = 0
        self.known_at = now
        self.heard_at: Millis | None = None
        self.dialled_at = now
        self.last: Heartbeat | None = None

    def neighbour(self) -> bool:
        """Tell whether heartbeats are exchanged with this peer."""
        return self.picked or self.adopted

    def leaving(self) -> bool:
        """Tell whether the list or the peer itself says that it is leaving."""
        said = self.last is not None and self.last.state not in SERVING_STATES
        return said or self.member.state == LEAVING

    def silent(self) -> bool:
        """Tell whether this neighbour is not heard and has not said that it leaves."""
        return self.neighbour() and not self.up and not self.leaving()


def serves(peer_id: str, peer: Peer, told: Sequence[frozenset[str]]) -> bool:
    """Tell whether a peer serves, as far as this instance can know.

    Of one that is no neighbour the list is all there is, but where hubs are heard, most of them
    must not say that it is gone.
    """
    if peer.leaving():
        return False
    if peer.neighbour():
        return peer.up
    if not peer.member.hub:
        return peer.listed
    if told:
        return peer.listed and most_hear(peer_id, told)
    return peer.listed and not peer.lost


def most_hear(peer_id: str, told: Sequence[frozenset[str]]) -> bool:
    return 2 * sum(peer_id in one for one in told) <= len(told)


def view_of(peer_id: str, peer: Peer, now: Millis) -> PeerView:
    return PeerView(
        id=peer_id,
        neighbour=peer.neighbour(),
        up=peer.up,
        leaving=peer.leaving(),
        boot=peer.boot,
        config_version=0 if peer.last is None else peer.last.config_version,
        data_centre=peer.member.data_centre,
        region=peer.member.region,
        heard_ms_ago=-1 if peer.heard_at is None else now - peer.heard_at,
    )
