"""Hold the state of one peer, and define the steps that follow from its changes."""

from collections.abc import Sequence
from enum import Enum
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.clock import Millis
from papayapier.store.api import LEAVING, LIVE, LOST, Member

if TYPE_CHECKING:
    from papayapier.peer.messages import Heartbeat

SERVING_STATES: Final = frozenset({LIVE, "serving"})


class Redial(NamedTuple):
    """Open a permanent connection to a neighbour, replacing an existing one."""

    peer_id: str


class HangUp(NamedTuple):
    """Close the connection to a peer that is no longer a neighbour."""

    peer_id: str


class Change(Enum):
    """Name the changes of a peer's state.

    TELLS means that the set of instances that the peer reports as gone has changed.
    """

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
    """Describe one peer to the rest of the program."""

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

    picked means that this instance's plan includes the peer, adopted that the peer's plan
    includes this instance, and lost that it became silent as a neighbour and no heartbeat has
    arrived since.
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
        # An instance that restarts need not detect again that a listed peer is lost.
        self.lost = member.state == LOST
        self.boot = 0
        self.known_at = now
        self.heard_at: Millis | None = None
        self.dialled_at = now
        self.last: Heartbeat | None = None

    def neighbour(self) -> bool:
        """Return whether heartbeats are exchanged with this peer."""
        return self.picked or self.adopted

    def leaving(self) -> bool:
        """Return whether the list or the peer itself says that it is leaving."""
        said = self.last is not None and self.last.state not in SERVING_STATES
        return said or self.member.state == LEAVING

    def silent(self) -> bool:
        """Return whether this neighbour is unreachable and has not reported that it leaves."""
        return self.neighbour() and not self.up and not self.leaving()


def serves(peer_id: str, peer: Peer, told: Sequence[frozenset[str]]) -> bool:
    """Return whether a peer serves, as far as this instance can know.

    told holds the set of gone instances that each live hub reports. For a peer that is not a
    neighbour the list decides, unless it may be a hub and a majority of the live hubs report it
    as gone.
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
