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


class Disconnect(NamedTuple):
    """Close the connection to a peer that is no longer a neighbour."""

    peer_id: str


class Change(Enum):
    """Name the changes of a peer's state.

    REPORTS_CHANGED means that the set of instances that the peer reports as unavailable has
    changed.
    """

    UP = "up"
    RESTARTED = "restarted"
    DOWN = "down"
    LEAVING = "leaving"
    REMOVED = "gone"
    REPORTS_CHANGED = "tells"


class PeerChange(NamedTuple):
    """Report a change of one peer."""

    peer_id: str
    change: Change


Step = Redial | Disconnect | PeerChange


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

    picked means that this instance's plan includes the peer, picked_by_peer that the peer's plan
    includes this instance, and lost that the peer became silent as a neighbour and no heartbeat
    has arrived since. expected_since is the time since which heartbeats are expected.
    """

    __slots__ = (
        "boot",
        "dialled_at",
        "expected_since",
        "last_heartbeat",
        "last_received_at",
        "listed",
        "listed_record",
        "lost",
        "member",
        "picked",
        "picked_by_peer",
        "up",
    )

    def __init__(self, member: Member, now: Millis) -> None:
        self.member = member
        self.listed_record: Member | None = member
        self.listed = True
        self.picked = False
        self.picked_by_peer = False
        self.up = False
        # An instance that restarts need not detect again that a listed peer is lost.
        self.lost = member.state == LOST
        self.boot = 0
        self.expected_since = now
        self.last_received_at: Millis | None = None
        self.dialled_at = now
        self.last_heartbeat: Heartbeat | None = None

    def is_neighbour(self) -> bool:
        """Return whether heartbeats are exchanged with this peer."""
        return self.picked or self.picked_by_peer

    def is_leaving(self) -> bool:
        """Return whether the list or the peer itself says that it is leaving."""
        reported_leaving = (
            self.last_heartbeat is not None and self.last_heartbeat.state not in SERVING_STATES
        )
        return reported_leaving or self.member.state == LEAVING

    def is_silent(self) -> bool:
        """Return whether this neighbour is unreachable and has not reported that it leaves."""
        return self.is_neighbour() and not self.up and not self.is_leaving()


def is_serving(peer_id: str, peer: Peer, reported_unavailable: Sequence[frozenset[str]]) -> bool:
    """Return whether a peer serves, as far as this instance can know.

    reported_unavailable holds the set of instances that each live hub reports as unavailable. For
    a peer that is not a neighbour the list decides, unless it may be a hub and a majority of the
    live hubs report it as unavailable.
    """
    if peer.is_leaving():
        return False
    if peer.is_neighbour():
        return peer.up
    if not peer.member.hub:
        return peer.listed
    if reported_unavailable:
        return peer.listed and is_live_by_majority(peer_id, reported_unavailable)
    return peer.listed and not peer.lost


def is_live_by_majority(peer_id: str, reported_unavailable: Sequence[frozenset[str]]) -> bool:
    return 2 * sum(peer_id in reported for reported in reported_unavailable) <= len(
        reported_unavailable
    )


def view_of(peer_id: str, peer: Peer, now: Millis) -> PeerView:
    return PeerView(
        id=peer_id,
        neighbour=peer.is_neighbour(),
        up=peer.up,
        leaving=peer.is_leaving(),
        boot=peer.boot,
        config_version=0 if peer.last_heartbeat is None else peer.last_heartbeat.config_version,
        data_centre=peer.member.data_centre,
        region=peer.member.region,
        heard_ms_ago=-1 if peer.last_received_at is None else now - peer.last_received_at,
    )
