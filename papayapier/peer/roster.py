"""Track the state of the other instances: listed, live, silent or leaving.

A neighbour is live while its own heartbeats arrive; the instance list, which lags and is
unavailable in an outage of the platform, only says whom to dial. So a neighbour that is
removed from the list while its heartbeats continue is kept: after an outage the list is
empty for a moment, and an instance that relied on it would conclude that it is the only one
and take over all work. For instances that are not neighbours the list is the only source.

This module only makes decisions; the hub owns the sockets.
"""

from collections.abc import Sequence
from typing import Final

from papayapier.clock import Millis
from papayapier.peer.messages import Heartbeat, Hello
from papayapier.peer.peer_state import (
    Change,
    Disconnect,
    Peer,
    PeerChange,
    PeerView,
    Redial,
    Step,
    is_live_by_majority,
    is_serving,
    view_of,
)
from papayapier.peer.topology import InstanceLocation, LinkLimits, LinkPlan, make_plan
from papayapier.store.api import ENTRY, LIVE, LOST, Member

SILENT_INTERVALS: Final = 4


class Roster:
    """Decide who is live from the instance list, heartbeats and the passing of time."""

    def __init__(self, me: InstanceLocation, limits: LinkLimits, silent_after_ms: int) -> None:
        self._me = me
        self._limits = limits
        self._silent_after_ms = silent_after_ms
        self._peers: dict[str, Peer] = {}
        self._plan = LinkPlan(frozenset(), True, True)
        self._has_list = False
        self._ticked_at: Millis | None = None
        self._awake_since = Millis(0)

    def get(self, peer_id: str) -> Peer | None:
        """Return a peer's state."""
        return self._peers.get(peer_id)

    def plan(self) -> LinkPlan:
        """Return the current plan of links."""
        return self._plan

    def live(self) -> list[str]:
        """Return the sorted ids of this instance and of the live peers."""
        reported_unavailable = self._reported_unavailable()
        serving = (
            i for i, peer in self._peers.items() if is_serving(i, peer, reported_unavailable)
        )
        return sorted([self._me.id, *serving])

    def agreed_live(self, now: Millis) -> frozenset[str]:
        """Return which of the instances that may be hubs are live by a majority of the hubs.

        All instances that run batch, hubs or not, must agree on the owner of each job. Only hubs
        have links to all instances and notice each departure, so the majority of their reports
        takes precedence over what this instance observes itself.
        """
        # In a full mesh hubs report nobody: there each instance gets everybody's heartbeats.
        reported_unavailable = [] if self._plan.full_mesh else self._reported_unavailable()
        if not self._plan.full_mesh and self._me.id in self._plan.hubs:
            reported_unavailable.append(frozenset(self.unavailable(now)))
        own = {self._me.id} if self._me.hub else set()
        if not reported_unavailable:
            reachable = (i for i in self.live() if i in self._peers)
            return frozenset(i for i in reachable if self._peers[i].member.hub) | own
        others = (
            i
            for i, peer in self._peers.items()
            if peer.member.hub
            and (peer.listed or peer.up)
            and not peer.is_leaving()
            and is_live_by_majority(i, reported_unavailable)
        )
        return frozenset(others) | own

    def unavailable(self, now: Millis) -> tuple[str, ...]:
        """Return the neighbours that may be hubs and are silent or leaving, for a hub to report."""
        return tuple(
            i
            for i, peer in self._neighbours()
            if peer.member.hub and (peer.is_leaving() or peer.lost or self._is_silent(peer, now))
        )

    def silent_hub_candidates(self) -> frozenset[str]:
        """Return the neighbours that may be hubs and are silent, but are not listed as lost."""
        return frozenset(
            i
            for i, peer in self._neighbours()
            if peer.member.hub and peer.lost and not peer.is_leaving() and peer.member.state != LOST
        )

    def unreachable(self, now: Millis) -> tuple[str, ...]:
        """Return the neighbours whose heartbeats have been missing for the silence limit."""
        return tuple(i for i, peer in self._neighbours() if self._is_silent(peer, now))

    def silent(self) -> frozenset[str]:
        """Return the neighbours that are unreachable and have not reported that they leave."""
        return frozenset(i for i, peer in self._peers.items() if peer.is_silent())

    def views(self, now: Millis) -> list[PeerView]:
        """Return a view of each peer."""
        return [view_of(peer_id, self._peers[peer_id], now) for peer_id in sorted(self._peers)]

    def set_members(self, members: Sequence[Member], now: Millis) -> list[Step]:
        """Apply a new instance list."""
        self._has_list = True
        listed = {m.id: m for m in members if _is_peer(m, self._me.id)}
        steps: list[Step] = []
        for member in listed.values():
            if self._record_changed(member):
                steps.extend(self._apply_record(member, now))
        for peer_id, peer in self._peers.items():
            peer.listed = peer_id in listed
        return [*steps, *self._remove_departed(), *self._follow_plan(now)]

    def add_unlisted(self, members: Sequence[Member], now: Millis) -> list[Step]:
        """Add instances named in the settings; the next list decides whether they are kept."""
        steps: list[Step] = []
        for member in members:
            known = self._peers.get(member.id)
            if _is_peer(member, self._me.id) and (known is None or not known.up):
                steps.extend(self._apply_record(member, now))
        return [*steps, *self._follow_plan(now)]

    def on_hello(self, hello: Hello, now: Millis) -> list[Step]:
        """Handle the Hello of a peer that dialled this instance as its neighbour.

        An instance that restarts while the platform is down has no list and could reach
        nobody; the peers that still know its address introduce themselves instead.
        """
        known = self._peers.get(hello.instance)
        member = Member(
            id=hello.instance,
            kind=ENTRY,
            upstream="",
            host=hello.host,
            port=0 if known is None else known.member.port,
            peer_port=hello.peer_port,
            data_centre=hello.data_centre,
            region=hello.region,
            state=LIVE if known is None else known.member.state,
            hub=hello.hub or (known is not None and known.member.hub),
        )
        if not _is_peer(member, self._me.id):
            return []
        new_hub = member.hub and (known is None or not known.member.hub)
        steps = self._apply_record(member, now)
        if hello.picked:
            steps.extend(self._set_picked_by_peer(member.id, now))
        # The list reaches instances at different times; if only it made an instance a hub, some
        # instances would treat it as a hub before others do.
        return [*steps, *self._follow_plan(now)] if new_hub else steps

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat, now: Millis) -> list[Step]:
        """Handle a heartbeat and return the steps that it requires."""
        peer = self._peers.get(sender)
        if peer is None:
            return []
        steps = (
            self._set_picked_by_peer(sender, now)
            if heartbeat.picked
            else self._clear_picked_by_peer(sender)
        )
        if not peer.is_neighbour():
            return steps
        was_leaving = peer.is_leaving()
        reported_before = () if peer.last_heartbeat is None else peer.last_heartbeat.unavailable
        if heartbeat.unavailable != reported_before:
            steps.append(PeerChange(sender, Change.REPORTS_CHANGED))
        if peer.up and peer.boot != heartbeat.boot:
            steps.append(PeerChange(sender, Change.RESTARTED))
        if not peer.up:
            steps.append(PeerChange(sender, Change.UP))
        peer.up = True
        peer.boot = heartbeat.boot
        peer.last_received_at = now
        peer.last_heartbeat = heartbeat
        if peer.is_leaving() and not was_leaving:
            steps.append(PeerChange(sender, Change.LEAVING))
        if self._me.id in heartbeat.unreachable and self._may_redial(peer, now):
            steps.append(_redial(sender, peer, now))
        if peer.lost:
            peer.lost = False
            if peer.member.hub:
                steps.extend(self._follow_plan(now))
        return steps

    def tick(self, now: Millis) -> list[Step]:
        """Detect the neighbours that have become silent.

        A connection can stop delivering for good although both ends are alive, because a device
        between them has dropped its state. To this instance that looks like a dead peer. A new
        connection distinguishes the two and costs little, so one is opened at once and again
        while the silence lasts. The peer does the same for its own direction, because this
        instance's heartbeats report that the peer's do not arrive.
        """
        self._detect_pause(now)
        steps: list[Step] = []
        lost_hub = False
        for peer_id, peer in self._neighbours():
            if self._is_silent(peer, now):
                lost_hub = lost_hub or (peer.member.hub and peer.picked and not peer.lost)
                steps.extend(self._on_silent(peer_id, peer, now))
        if lost_hub:
            steps.extend(self._follow_plan(now))
        return [*steps, *self._remove_departed()]

    def picks(self, peer_id: str) -> bool:
        """Return whether this instance's own plan includes a peer."""
        peer = self._peers.get(peer_id)
        return peer is not None and peer.picked

    def _reported_unavailable(self) -> list[frozenset[str]]:
        """Return the instances that each live hub reports as unavailable."""
        heartbeats = [self._peers[i].last_heartbeat for i in self._plan.hubs if self._is_up(i)]
        return [
            frozenset(heartbeat.unavailable) for heartbeat in heartbeats if heartbeat is not None
        ]

    def _is_up(self, peer_id: str) -> bool:
        peer = self._peers.get(peer_id)
        return peer is not None and peer.is_neighbour() and peer.up

    def _neighbours(self) -> list[tuple[str, Peer]]:
        return [(i, peer) for i, peer in sorted(self._peers.items()) if peer.is_neighbour()]

    def _record_changed(self, member: Member) -> bool:
        """Return whether the list's record of a member has changed since the last list.

        The list lags. A peer that has restarted elsewhere and has announced its new address
        must not be dialled at its old one each time the old record is read.
        """
        known = self._peers.get(member.id)
        if known is None:
            return True
        changed = known.listed_record != member
        known.listed_record = member
        return changed

    def _apply_record(self, member: Member, now: Millis) -> list[Step]:
        peer = self._peers.get(member.id)
        if peer is None:
            self._peers[member.id] = Peer(member, now)
            return []
        before = peer.member
        was_leaving = peer.is_leaving()
        peer.member = member
        peer.lost = peer.lost or (member.state == LOST and not peer.up)
        steps: list[Step] = []
        if peer.is_leaving() and not was_leaving:
            steps.append(PeerChange(member.id, Change.LEAVING))
        address_changed = (before.host, before.peer_port) != (member.host, member.peer_port)
        if address_changed and peer.is_neighbour():
            steps.append(_redial(member.id, peer, now))
        return steps

    def _follow_plan(self, now: Millis) -> list[Step]:
        """Open links to the peers that the topology wants now, and close the other links."""
        locations = [
            _location_of(peer.member) for peer in self._peers.values() if not peer.is_leaving()
        ]
        lost = {i for i, peer in self._peers.items() if peer.lost}
        self._plan = make_plan(self._me, locations, self._limits, lost)
        steps: list[Step] = []
        for peer_id, peer in sorted(self._peers.items()):
            wanted = peer_id in self._plan.neighbours or (peer.picked and peer.is_leaving())
            was = peer.is_neighbour()
            peer.picked = wanted
            if peer.is_neighbour() and not was:
                peer.expected_since = now
                steps.append(_redial(peer_id, peer, now))
            if was and not peer.is_neighbour():
                steps.append(_disconnect(peer_id, peer))
        return steps

    def _set_picked_by_peer(self, peer_id: str, now: Millis) -> list[Step]:
        """Reciprocate the link of a peer that picked this instance: send it heartbeats too."""
        peer = self._peers[peer_id]
        was = peer.is_neighbour()
        peer.picked_by_peer = True
        if was:
            return []
        peer.expected_since = now
        return [_redial(peer_id, peer, now)]

    def _clear_picked_by_peer(self, peer_id: str) -> list[Step]:
        """Close a link that neither side picks.

        If receiving heartbeats were enough to keep a link, two instances once linked would keep
        the link for ever: 27 links in place of 13 after a start in which the list arrived in
        several steps.
        """
        peer = self._peers[peer_id]
        if not peer.picked_by_peer:
            return []
        peer.picked_by_peer = False
        return [] if peer.picked else [_disconnect(peer_id, peer)]

    def _on_silent(self, peer_id: str, peer: Peer, now: Millis) -> list[Step]:
        if not peer.picked:
            # It may have died, or only have other neighbours now. The instances that pick it
            # find out, and the instance list follows, if one has been received.
            peer.picked_by_peer = False
            peer.listed = peer.listed and self._has_list
            return [_disconnect(peer_id, peer)]
        steps: list[Step] = []
        peer.lost = True
        if peer.up:
            peer.up = False
            steps.append(PeerChange(peer_id, Change.DOWN))
        if self._may_redial(peer, now):
            steps.append(_redial(peer_id, peer, now))
        return steps

    def _detect_pause(self, now: Millis) -> None:
        """Restart the silence timers after this process itself was paused.

        The heartbeats that arrived meanwhile are still unread. By the clock alone every peer
        would be down, and this instance would act as the only one until it reads them.
        """
        if self._ticked_at is not None and now - self._ticked_at >= self._silent_after_ms // 2:
            self._awake_since = now
        self._ticked_at = now

    def _is_silent(self, peer: Peer, now: Millis) -> bool:
        interval_ms = 0 if peer.last_heartbeat is None else peer.last_heartbeat.interval_ms
        limit = max(self._silent_after_ms, interval_ms * SILENT_INTERVALS)
        since = (
            peer.expected_since
            if peer.last_received_at is None
            else max(peer.expected_since, peer.last_received_at)
        )
        return now - max(since, self._awake_since) >= limit

    def _may_redial(self, peer: Peer, now: Millis) -> bool:
        return now - peer.dialled_at >= self._silent_after_ms

    def _remove_departed(self) -> list[Step]:
        departed = [
            i for i, p in self._peers.items() if not p.listed and not (p.is_neighbour() and p.up)
        ]
        for peer_id in departed:
            del self._peers[peer_id]
        return [PeerChange(peer_id, Change.REMOVED) for peer_id in departed]


def _redial(peer_id: str, peer: Peer, now: Millis) -> Redial:
    peer.dialled_at = now
    return Redial(peer_id)


def _disconnect(peer_id: str, peer: Peer) -> Disconnect:
    peer.up = False
    peer.last_heartbeat = None
    return Disconnect(peer_id)


def _is_peer(member: Member, own_id: str) -> bool:
    return member.kind == ENTRY and member.id != own_id and member.peer_port != 0


def _location_of(member: Member) -> InstanceLocation:
    return InstanceLocation(member.id, member.data_centre, member.region, member.hub)
