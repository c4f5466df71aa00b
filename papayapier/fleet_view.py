"""Hand what is learnt of replicas and peers to the policies that decide by it.

The instance list says which replicas there are, reports and answers say how loaded they are,
and peers' heartbeats say what other instances have open at them. All three meet here, and
nowhere else, so that every policy sees the same set of replicas.
"""

import math
from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from papayapier import events
from papayapier.config.profiles import BatchRule, Profile
from papayapier.metrics import Metrics
from papayapier.orders.controller import ListedReplica
from papayapier.peer.messages import Heartbeat, Message
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.subsets import subset
from papayapier.store.api import ENTRY, LEAVING, LIVE, REPLICA, Member
from papayapier.store.members import MembersChanged
from papayapier.upstream.api import Load, Replica

COMFORTABLE_SHARE: Final = 0.7
STRICTEST_FIRST: Final = ("tail", "static", "throughput", "none")


class Policies(NamedTuple):
    """Group the policies that must know of every replica."""

    book: LoadBook
    outliers: Outliers
    share: BatchShare


class Place(NamedTuple):
    """Name this instance, its region, and how many replicas of an upstream it follows."""

    id: str
    region: str
    subset: int


class FleetListeners(NamedTuple):
    """Group those who are told of changes.

    poll takes the replicas to poll, entries the listed entry instances; live is called when
    the set of live entry instances may have changed; replicas takes the ids of all listed
    replicas, also those not followed, and of those of them that leave.
    """

    poll: Callable[[list[Replica]], None]
    entries: Callable[[list[Member]], None]
    live: Callable[[], None]
    replicas: Callable[[Collection[str], Collection[str]], None]


class FleetView:
    """Own the list of members as this instance knows it."""

    def __init__(self, own: Place, policies: Policies, metrics: Metrics) -> None:
        self._own_id = own.id
        self._own = own
        self._policies = policies
        self._metrics = metrics
        self._members: dict[str, Member] = {}
        self._upstream_names: list[str] = []
        self._peers: set[str] = set()
        self._silent: set[str] = set()
        self._ejected: dict[str, set[str]] = {}
        self._listeners: FleetListeners | None = None

    def connect(self, listeners: FleetListeners) -> None:
        """Name those who are told of changes."""
        self._listeners = listeners

    def live_entries(self) -> list[str]:
        """Return the live entry instances, this one included.

        The list alone shows a lost instance for some time yet; its peers' silence tells
        sooner. It may also lack those that live: after a long outage the platform has
        dropped everybody, and an instance that believed this would take all batch work and
        all slots for itself. An instance that no peer link leads to is taken as listed.
        """
        listed = {m.id for m in self._members.values() if m.kind == ENTRY and m.state == LIVE}
        return sorted((listed - self._silent) | self._peers | {self._own_id})

    def publish(self, now: int) -> None:
        """Show each replica's use in the metrics, and log who was ejected or came back."""
        book, outliers, share = self._policies
        for upstream in self.upstream_names():
            usable = book.usable(upstream, now)
            in_use = [replica for replica in usable if outliers.healthy(replica.id)]
            self._metrics.replicas_usable.labels(upstream).set(len(in_use))
            self._note_ejected(upstream, {r.id for r in usable} - {r.id for r in in_use})
            for replica in usable:
                own = book.own(replica.id)
                in_flight = self._metrics.replica_in_flight
                in_flight.labels(replica.id, "online").set(own.online)
                in_flight.labels(replica.id, "batch").set(own.batch)
                limit = share.limit(replica.id, book, now)
                self._metrics.batch_limit.labels(replica.id).set(limit)

    def _note_ejected(self, upstream: str, ejected: set[str]) -> None:
        before = self._ejected.get(upstream, set())
        for replica_id in sorted(ejected - before):
            events.emit(events.REPLICA_EJECTED, replica=replica_id, upstream=upstream)
        for replica_id in sorted(before - ejected):
            events.emit(events.REPLICA_RETURNED, replica=replica_id, upstream=upstream)
        self._ejected[upstream] = ejected

    def listed_replicas(self, now: int) -> list[ListedReplica]:
        """Return the replicas that are not leaving, and whether each is in use."""
        outliers = self._policies.outliers
        return [
            ListedReplica(_replica(member), not outliers.ejected(member.id, now))
            for member in self._members.values()
            if member.kind == REPLICA and member.state != LEAVING
        ]

    def replicas_needed(self, upstream: str, now: int) -> int:
        """Return how many replicas the online load of an upstream asks for at present."""
        book = self._policies.book
        replicas = book.usable(upstream, now)
        slots = [book.slots(replica.id) for replica in replicas]
        if not slots:
            return 1
        running = [book.estimate(r.id, now) - book.batch_at(r.id) for r in replicas]
        listed = sum(1 for m in self._members.values() if m.upstream == upstream)
        # What is followed is a fair sample of what is listed.
        return max(1, math.ceil(listed * sum(running) / (COMFORTABLE_SHARE * sum(slots))))

    def on_peers(self, live: Collection[str], silent: Collection[str]) -> None:
        """Take over which peers are heard from and which are not."""
        for gone in self._peers - set(live):
            self._policies.book.on_peer_gone(gone)
        self._peers = set(live)
        self._silent = set(silent)
        self._tell_live()

    def _tell_live(self) -> None:
        self._policies.share.set_instances(self.live_entries())
        if self._listeners is not None:
            self._listeners.live()

    def upstream_names(self) -> list[str]:
        """Return the names of all upstreams that have a replica."""
        return self._upstream_names

    def on_members(self, change: MembersChanged) -> None:
        """Take over a change of the instance list."""
        for member in change.changed:
            self._log(member)
            self._members[member.id] = member
        for gone in change.gone:
            if self._members.pop(gone).kind == REPLICA:
                events.emit(events.REPLICA_REMOVED, replica=gone)
        self._tell_policies()
        if self._listeners is not None:
            self._listeners.entries([m for m in self._members.values() if m.kind == ENTRY])
        self._tell_live()

    def _log(self, member: Member) -> None:
        if member.kind != REPLICA:
            return
        known = self._members.get(member.id)
        if known is not None and known.state == member.state:
            return
        if member.state == LEAVING:
            events.emit(events.REPLICA_LEAVING, replica=member.id)
        else:
            events.emit(events.REPLICA_ADDED, replica=member.id, upstream=member.upstream)

    def _tell_policies(self) -> None:
        listed = [member for member in self._members.values() if member.kind == REPLICA]
        self._upstream_names = sorted({member.upstream for member in listed})
        members = [m for name in self._upstream_names for m in self._followed(name, listed)]
        replicas = [_replica(member) for member in members]
        leaving = {member.id for member in members if member.state == LEAVING}
        book, outliers, share = self._policies
        book.on_listed(replicas, leaving)
        outliers.on_listed(replicas)
        for replica in replicas:
            share.set_upstream(replica.id, replica.upstream)
        if self._listeners is not None:
            self._listeners.poll(replicas)
            all_leaving = [member.id for member in listed if member.state == LEAVING]
            self._listeners.replicas([member.id for member in listed], all_leaving)

    def _followed(self, upstream: str, listed: list[Member]) -> list[Member]:
        """Return the replicas of an upstream that this instance sends to and asks for load.

        In a large fleet, connections and load reports of all instances with all replicas
        would grow with the product of both. Other regions are left out while the own one has
        replicas, because the regions lose each other for minutes.
        """
        region = self._own.region
        members = [member for member in listed if member.upstream == upstream]
        members = [member for member in members if member.region == region] or members
        if len(members) <= self._own.subset:
            return members
        entries = {
            member.id
            for member in self._members.values()
            if member.kind == ENTRY and member.region == region
        }
        ids = sorted(member.id for member in members)
        instances = sorted(entries | {self._own_id})
        chosen = set(subset(ids, instances, self._own_id, self._own.subset))
        return [member for member in members if member.id in chosen]

    def on_load(self, replica: Replica, load: Load) -> None:
        """Take over a load report."""
        self._policies.book.on_report(replica.id, load)
        self._policies.share.on_report(replica.id, load)

    def on_profiles(self, profiles: Collection[Profile]) -> None:
        """Take over the batch rules in force.

        Batch items of several profiles share a replica, and the online requests there can
        be protected only as well as the least careful of them: the strictest rule holds.
        """
        rules: dict[str, BatchRule] = {}
        for profile in profiles:
            if profile.urgency == "batch":
                held = rules.get(profile.upstream, profile.batch)
                rules[profile.upstream] = _stricter(held, profile.batch)
        for upstream, rule in rules.items():
            self._policies.share.set_rule(upstream, rule)


def _replica(member: Member) -> Replica:
    return Replica(member.id, member.upstream, member.host, member.port, member.data_centre)


def _stricter(one: BatchRule, other: BatchRule) -> BatchRule:
    isolation = min(one.isolation, other.isolation, key=STRICTEST_FIRST.index)
    return BatchRule(min(one.share, other.share), isolation)


def peer_uses_reader(book: LoadBook, now: Callable[[], int]) -> Callable[[str, Message], None]:
    """Make the handler that takes peers' open calls from their heartbeats."""

    def read(peer_id: str, message: Message) -> None:
        if isinstance(message, Heartbeat):
            book.on_peer_uses(peer_id, message.uses, now())

    return read
