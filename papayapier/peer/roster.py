"""Keep what is known of the other instances: listed, heard from, silent, leaving.

A peer is live while its own heartbeats arrive; the instance list, which lags and is lost in
an outage of the platform, only says whom to dial. So a peer that drops out of the list while
its heartbeats go on is kept: after an outage the list is empty for a moment, and an instance
that believed it would take itself for the only one and take over everybody's work.

This module decides only; the hub owns the sockets.
"""

from enum import Enum
from typing import NamedTuple

from papayapier.clock import Millis
from papayapier.peer.messages import Heartbeat, Hello
from papayapier.store.api import ENTRY, LEAVING, LIVE, Member


class Redial(NamedTuple):
    """Replace the outgoing connection to a peer."""

    peer_id: str


class Change(Enum):
    """Name what can happen to a peer."""

    UP = "up"
    RESTARTED = "restarted"
    DOWN = "down"
    LEAVING = "leaving"
    GONE = "gone"


class Noted(NamedTuple):
    """Report a change of one peer."""

    peer_id: str
    change: Change


class PeerView(NamedTuple):
    """Show one peer to the rest of the program."""

    id: str
    up: bool
    leaving: bool
    boot: int
    config_version: int
    data_centre: str
    region: str
    heard_ms_ago: int


class Peer:
    """Hold the state of one peer."""

    __slots__ = ("boot", "dialled_at", "heard_at", "known_at", "last", "listed", "member", "up")

    def __init__(self, member: Member, now: Millis) -> None:
        self.member = member
        self.listed = True
        self.up = False
        self.boot = 0
        self.known_at = now
        self.heard_at: Millis | None = None
        self.dialled_at = now
        self.last: Heartbeat | None = None

    def leaving(self) -> bool:
        """Tell whether the list or the peer itself says that it is leaving."""
        said = self.last is not None and self.last.state == LEAVING
        return said or self.member.state == LEAVING


class Roster:
    """Decide who is live from the instance list, heartbeats and the passing of time."""

    def __init__(self, own_id: str, silent_after_ms: int) -> None:
        self._own_id = own_id
        self._silent_after_ms = silent_after_ms
        self._peers: dict[str, Peer] = {}
        self._ticked_at: Millis | None = None
        self._awake_since = Millis(0)

    def get(self, peer_id: str) -> Peer | None:
        """Return a peer's state."""
        return self._peers.get(peer_id)

    def ids(self) -> list[str]:
        """Return all known peers, in order."""
        return sorted(self._peers)

    def live(self) -> list[str]:
        """Return this instance and the peers that are heard from and not leaving, in order."""
        up = [peer_id for peer_id, peer in self._peers.items() if peer.up and not peer.leaving()]
        return sorted([self._own_id, *up])

    def unheard(self, now: Millis) -> tuple[str, ...]:
        """Return the peers whose heartbeats are missing although they had time to send some."""
        return tuple(i for i in self.ids() if self._is_silent(self._peers[i], now))

    def views(self, now: Millis) -> list[PeerView]:
        """Return what there is to show of each peer."""
        return [_view(peer_id, self._peers[peer_id], now) for peer_id in self.ids()]

    def set_members(self, members: list[Member], now: Millis) -> list[Noted | Redial]:
        """Take over a new instance list."""
        listed = {m.id: m for m in members if _is_peer(m, self._own_id)}
        steps: list[Noted | Redial] = []
        for member in listed.values():
            steps.extend(self._list(member, now))
        for peer_id in self.ids():
            self._peers[peer_id].listed = peer_id in listed
        return [*steps, *self._forget_gone()]

    def hello(self, hello: Hello, now: Millis) -> list[Noted | Redial]:
        """Learn the address of a peer that dialled this instance.

        An instance that restarts while the platform is down has no list and could reach
        nobody; the peers that still know its address introduce themselves instead.
        """
        known = self._peers.get(hello.instance)
        state = LIVE if known is None else known.member.state
        member = Member(
            id=hello.instance,
            kind=ENTRY,
            upstream="",
            host=hello.host,
            port=0,
            peer_port=hello.peer_port,
            data_centre=hello.data_centre,
            region=hello.region,
            state=state,
        )
        return self._list(member, now) if _is_peer(member, self._own_id) else []

    def heard(self, sender: str, heartbeat: Heartbeat, now: Millis) -> list[Noted | Redial]:
        """Take over a heartbeat."""
        peer = self._peers.get(sender)
        if peer is None:
            return []
        steps: list[Noted | Redial] = []
        was_leaving = peer.leaving()
        if peer.up and peer.boot != heartbeat.boot:
            steps.append(Noted(sender, Change.RESTARTED))
        if not peer.up:
            steps.append(Noted(sender, Change.UP))
        peer.up = True
        peer.boot = heartbeat.boot
        peer.heard_at = now
        peer.last = heartbeat
        if peer.leaving() and not was_leaving:
            steps.append(Noted(sender, Change.LEAVING))
        if self._own_id in heartbeat.unheard and self._may_redial(peer, now):
            steps.append(self._redial(sender, peer, now))
        return steps

    def tick(self, now: Millis) -> list[Noted | Redial]:
        """Find the peers that have fallen silent.

        A connection can go silent for good although both ends live, because something
        between them has forgotten it. From here that looks like a dead peer. A new
        connection distinguishes the two and costs little, so it is tried at once and again
        while the silence lasts. The peer does the same for its own direction, because it
        reads in our heartbeats that it is not heard.
        """
        self._notice_pause(now)
        steps: list[Noted | Redial] = []
        for peer_id in self.ids():
            peer = self._peers[peer_id]
            if not self._is_silent(peer, now):
                continue
            if peer.up:
                peer.up = False
                steps.append(Noted(peer_id, Change.DOWN))
            if self._may_redial(peer, now):
                steps.append(self._redial(peer_id, peer, now))
        return [*steps, *self._forget_gone()]

    def _list(self, member: Member, now: Millis) -> list[Noted | Redial]:
        peer = self._peers.get(member.id)
        if peer is None:
            self._peers[member.id] = Peer(member, now)
            return [Redial(member.id)]
        before = peer.member
        was_leaving = peer.leaving()
        peer.member = member
        peer.listed = True
        steps: list[Noted | Redial] = []
        if peer.leaving() and not was_leaving:
            steps.append(Noted(member.id, Change.LEAVING))
        if (before.host, before.peer_port) != (member.host, member.peer_port):
            steps.append(self._redial(member.id, peer, now))
        return steps

    def _notice_pause(self, now: Millis) -> None:
        """Start counting silence anew after this process itself was paused.

        The heartbeats that came meanwhile are still unread. Judged by the clock alone every
        peer would be down, and this instance would act as the only one until it reads them.
        """
        if self._ticked_at is not None and now - self._ticked_at >= self._silent_after_ms // 2:
            self._awake_since = now
        self._ticked_at = now

    def _is_silent(self, peer: Peer, now: Millis) -> bool:
        since = peer.heard_at if peer.heard_at is not None else peer.known_at
        return now - max(since, self._awake_since) >= self._silent_after_ms

    def _may_redial(self, peer: Peer, now: Millis) -> bool:
        return now - peer.dialled_at >= self._silent_after_ms

    def _redial(self, peer_id: str, peer: Peer, now: Millis) -> Redial:
        peer.dialled_at = now
        return Redial(peer_id)

    def _forget_gone(self) -> list[Noted | Redial]:
        gone = [i for i in self.ids() if not self._peers[i].listed and not self._peers[i].up]
        for peer_id in gone:
            del self._peers[peer_id]
        return [Noted(peer_id, Change.GONE) for peer_id in gone]


def _is_peer(member: Member, own_id: str) -> bool:
    return member.kind == ENTRY and member.id != own_id and member.peer_port != 0


def _view(peer_id: str, peer: Peer, now: Millis) -> PeerView:
    return PeerView(
        id=peer_id,
        up=peer.up,
        leaving=peer.leaving(),
        boot=peer.boot,
        config_version=0 if peer.last is None else peer.last.config_version,
        data_centre=peer.member.data_centre,
        region=peer.member.region,
        heard_ms_ago=-1 if peer.heard_at is None else now - peer.heard_at,
    )
