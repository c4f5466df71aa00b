"""Pass the state of replicas and peers to the policies that depend on it.

The instance list contains the replicas, load reports and answers contain their load, and
heartbeats contain the calls that peers have open at them. All three are combined only here,
so that every policy uses the same set of replicas.
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
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.subsets import subset
from papayapier.store.api import ENTRY, LEAVING, LIVE, REPLICA, Member
from papayapier.store.members import MembersChanged
from papayapier.upstream.api import Load, Replica

TARGET_UTILISATION: Final = 0.7
STRICTEST_FIRST: Final = ("tail", "static", "throughput", "none")


class ReplicaPolicies(NamedTuple):
    """Group the policies that track every replica."""

    load_tracker: LoadTracker
    outliers: OutlierDetector
    share: BatchShare


class OwnInstance(NamedTuple):
    """Identify this instance, its region, and how many replicas of an upstream it uses."""

    id: str
    region: str
    subset_size: int


class FleetListeners(NamedTuple):
    """Group the callbacks for changes.

    on_polled receives the replicas to poll for load, on_entries the listed entry instances;
    on_live is called when the set of live entry instances may have changed; on_replicas
    receives the ids of all listed replicas, including those that this instance does not use,
    and the ids of the leaving ones.
    """

    on_polled: Callable[[list[Replica]], None]
    on_entries: Callable[[list[Member]], None]
    on_live: Callable[[], None]
    on_replicas: Callable[[Collection[str], Collection[str]], None]


class FleetView:
    """Hold the instance list as known to this instance."""

    def __init__(self, own: OwnInstance, policies: ReplicaPolicies, metrics: Metrics) -> None:
        self._own_id = own.id
        self._own = own
        self._policies = policies
        self._metrics = metrics
        self._members: dict[str, Member] = {}
        self._upstream_names: list[str] = []
        self._live_peers: set[str] = set()
        self._silent_peers: set[str] = set()
        self._ejected: dict[str, set[str]] = {}
        self._listeners: FleetListeners | None = None

    def set_listeners(self, listeners: FleetListeners) -> None:
        """Set the callbacks for changes."""
        self._listeners = listeners

    def live_entries(self) -> list[str]:
        """Return the live entry instances, this one included.

        The list still contains a crashed instance for some time; missing heartbeats show the
        crash sooner. The list may also lack live instances: during a long outage the platform
        drops all of them, and an instance that relied on the list would take all batch work
        and all slots for itself. Without a peer link to an instance, the list decides.
        """
        listed = {m.id for m in self._members.values() if m.kind == ENTRY and m.state == LIVE}
        return sorted((listed - self._silent_peers) | self._live_peers | {self._own_id})

    def publish(self, now: int) -> None:
        """Update the metrics of each replica, and log ejections and their ends."""
        load_tracker, outliers, share = self._policies
        for upstream in self.upstream_names():
            usable = load_tracker.usable_replicas(upstream, now)
            in_use = [replica for replica in usable if outliers.is_healthy(replica.id)]
            self._metrics.replicas_usable.labels(upstream).set(len(in_use))
            self._log_ejections(upstream, {r.id for r in usable} - {r.id for r in in_use})
            for replica in usable:
                own = load_tracker.own_calls(replica.id)
                in_flight = self._metrics.replica_in_flight
                in_flight.labels(replica.id, "online").set(own.online)
                in_flight.labels(replica.id, "batch").set(own.batch)
                limit = share.max_streams(replica.id, load_tracker, now)
                self._metrics.batch_limit.labels(replica.id).set(limit)

    def _log_ejections(self, upstream: str, ejected: set[str]) -> None:
        before = self._ejected.get(upstream, set())
        for replica_id in sorted(ejected - before):
            events.emit(events.REPLICA_EJECTED, replica=replica_id, upstream=upstream)
        for replica_id in sorted(before - ejected):
            events.emit(events.REPLICA_RETURNED, replica=replica_id, upstream=upstream)
        self._ejected[upstream] = ejected

    def listed_replicas(self, now: int) -> list[ListedReplica]:
        """Return the replicas that are not leaving, each with whether it is in use."""
        outliers = self._policies.outliers
        return [
            ListedReplica(_replica(member), not outliers.is_ejected(member.id, now))
            for member in self._members.values()
            if member.kind == REPLICA and member.state != LEAVING
        ]

    def replicas_needed(self, upstream: str, now: int) -> int:
        """Return how many replicas the current online load of an upstream requires."""
        load_tracker = self._policies.load_tracker
        replicas = load_tracker.usable_replicas(upstream, now)
        slots = [load_tracker.slots(replica.id) for replica in replicas]
        if not slots:
            return 1
        running = [
            load_tracker.estimate(r.id, now) - load_tracker.batch_calls(r.id) for r in replicas
        ]
        listed = sum(1 for m in self._members.values() if m.upstream == upstream)
        # The replicas used here are a representative sample of the listed ones.
        return max(1, math.ceil(listed * sum(running) / (TARGET_UTILISATION * sum(slots))))

    def on_peers_changed(self, live: Collection[str], silent: Collection[str]) -> None:
        """Record the peers whose heartbeats arrive and those whose heartbeats do not."""
        for departed in self._live_peers - set(live):
            self._policies.load_tracker.on_peer_departed(departed)
        self._live_peers = set(live)
        self._silent_peers = set(silent)
        self._on_live_changed()

    def _on_live_changed(self) -> None:
        self._policies.share.set_instances(self.live_entries())
        if self._listeners is not None:
            self._listeners.on_live()

    def upstream_names(self) -> list[str]:
        """Return the names of all upstreams with a listed replica."""
        return self._upstream_names

    def on_members_changed(self, change: MembersChanged) -> None:
        """Apply a change of the instance list."""
        for member in change.changed:
            self._log_replica(member)
            self._members[member.id] = member
        for removed in change.removed:
            if self._members.pop(removed).kind == REPLICA:
                events.emit(events.REPLICA_REMOVED, replica=removed)
        self._update_policies()
        if self._listeners is not None:
            self._listeners.on_entries([m for m in self._members.values() if m.kind == ENTRY])
        self._on_live_changed()

    def _log_replica(self, member: Member) -> None:
        if member.kind != REPLICA:
            return
        known = self._members.get(member.id)
        if known is not None and known.state == member.state:
            return
        if member.state == LEAVING:
            events.emit(events.REPLICA_LEAVING, replica=member.id)
        else:
            events.emit(
                events.REPLICA_ADDED,
                replica=member.id,
                upstream=member.upstream,
                version=member.version,
            )

    def _update_policies(self) -> None:
        listed = [member for member in self._members.values() if member.kind == REPLICA]
        self._upstream_names = sorted({member.upstream for member in listed})
        members = [m for name in self._upstream_names for m in self._used_replicas(name, listed)]
        replicas = [_replica(member) for member in members]
        leaving = {member.id for member in members if member.state == LEAVING}
        load_tracker, outliers, share = self._policies
        load_tracker.on_listed(replicas, leaving)
        outliers.on_listed(replicas)
        for replica in replicas:
            share.set_upstream(replica.id, replica.upstream)
        if self._listeners is not None:
            self._listeners.on_polled(replicas)
            all_leaving = [member.id for member in listed if member.state == LEAVING]
            self._listeners.on_replicas([member.id for member in listed], all_leaving)

    def _used_replicas(self, upstream: str, listed: list[Member]) -> list[Member]:
        """Return the replicas of an upstream that this instance sends to and polls for load.

        If every instance used every replica, connections and load reports would grow with the
        product of both numbers. Replicas of other regions are excluded while the own region
        has some, because connections between regions can fail for minutes.
        """
        region = self._own.region
        members = [member for member in listed if member.upstream == upstream]
        members = [member for member in members if member.region == region] or members
        if len(members) <= self._own.subset_size:
            return members
        entries = {
            member.id
            for member in self._members.values()
            if member.kind == ENTRY and member.region == region
        }
        ids = sorted(member.id for member in members)
        instances = sorted(entries | {self._own_id})
        chosen = set(subset(ids, instances, self._own_id, self._own.subset_size))
        return [member for member in members if member.id in chosen]

    def on_load(self, replica: Replica, load: Load) -> None:
        """Pass a load report to the policies."""
        self._policies.load_tracker.on_report(replica.id, load)
        self._policies.share.on_report(replica.id, load)

    def on_profiles(self, profiles: Collection[Profile]) -> None:
        """Apply the batch rules of the profiles in force.

        Batch items of several profiles share a replica, and its online requests are protected
        only as well as the most permissive rule allows; so the strictest rule applies to all.
        """
        rules: dict[str, BatchRule] = {}
        for profile in profiles:
            if profile.urgency == "batch":
                previous = rules.get(profile.upstream, profile.batch)
                rules[profile.upstream] = _strictest(previous, profile.batch)
        for upstream, rule in rules.items():
            self._policies.share.set_rule(upstream, rule)


def _replica(member: Member) -> Replica:
    return Replica(
        member.id,
        member.upstream,
        member.host,
        member.port,
        member.data_centre,
        version=member.version,
    )


def _strictest(first: BatchRule, second: BatchRule) -> BatchRule:
    isolation = min(first.isolation, second.isolation, key=STRICTEST_FIRST.index)
    return BatchRule(min(first.share, second.share), isolation)


def make_peer_calls_handler(
    load_tracker: LoadTracker, now: Callable[[], int]
) -> Callable[[str, Message], None]:
    """Return the handler that records peers' open calls from their heartbeats."""

    def on_heartbeat(peer_id: str, message: Message) -> None:
        if isinstance(message, Heartbeat):
            load_tracker.on_peer_calls(peer_id, message.uses, now())

    return on_heartbeat
