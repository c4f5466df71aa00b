"""Track the load of each replica as far as this instance knows it, and estimate the present load.

A replica's load report is old when it arrives. Until the next one, every instance that relies on it
sends to the same replica that looked idle, and overloads it (herd behaviour). So an estimate is the
report plus every change known to be newer: this instance's own sends and completions at their time,
and the peers' open calls as they report them. A peer reports a total from time to time; the
difference is spread evenly over the time since its last report. Without a recent report from the
replica the estimate is the sum of the calls known to be open.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping, Sequence
from typing import Final, NamedTuple

from papayapier.upstream.api import Load, Replica

REPORT_LAG_MS: Final = 200
REPORT_STALE_MS: Final = 2_000
ASSUMED_SLOTS: Final = 8
# A peer's report that arrives this long after a call was placed for it includes the call: the reply
# takes some 2 ms to the peer, and the report as long back.
PLACED_REPORTED_MS: Final = 15
NO_SLOTS: Final[Mapping[str, int]] = {}


class ReplicaUse(NamedTuple):
    """Count the calls that one instance has open at one replica."""

    replica: str
    online: int
    batch: int


class _Change(NamedTuple):
    """Record a change in the number of open calls that happened between two times."""

    begin: int
    end: int
    amount: int
    own_online: bool


class _ReplicaLoad:
    """Record what is known of the load on one replica."""

    __slots__ = (
        "batch",
        "change_since_report",
        "changes",
        "load",
        "online",
        "own_change_since_report",
        "peer_batch",
        "peer_online",
        "peers",
        "placed",
        "total_batch",
        "total_others",
    )

    def __init__(self) -> None:
        self.load: Load | None = None
        self.online = 0
        self.batch = 0
        self.peers: dict[str, tuple[int, int, int]] = {}
        self.peer_online = 0
        self.peer_batch = 0
        self.changes: deque[_Change] = deque()
        self.change_since_report = 0.0
        self.own_change_since_report = 0
        self.total_others = 0
        self.total_batch = 0
        self.placed = 0


class _PlacedCall(NamedTuple):
    """Record a call that this instance has placed for a peer."""

    replica: str
    at_ms: int


class LoadTracker:
    """Track the open calls and load reports of every listed replica."""

    def __init__(self, report_lag_ms: int = REPORT_LAG_MS) -> None:
        self._report_lag_ms = report_lag_ms
        self._rows: dict[str, _ReplicaLoad] = {}
        self._slots: Mapping[str, int] = NO_SLOTS
        self._listed: dict[str, list[Replica]] = {}
        self._usable: dict[str, list[Replica]] = {}
        # Incremented whenever the set of replicas that may get new calls changes.
        self.usable_changes = 0
        self._batch_open = 0
        self._batch_since = 0
        self._batch_reported_ms: dict[str, int] = {}
        self._totals_named: dict[str, frozenset[str]] = {}
        self._peer_reports: dict[str, tuple[int, frozenset[str]]] = {}
        self._placed: dict[str, list[_PlacedCall]] = {}

    def on_listed(
        self,
        replicas: Sequence[Replica],
        leaving: Collection[str],
        slots: Mapping[str, int] = NO_SLOTS,
    ) -> None:
        """Replace the list of replicas; leaving ones get no new calls.

        slots holds how many calls a replica runs at once, where the list states it.
        """
        self._slots = slots
        self._listed = {}
        usable_before, self._usable = self._usable, {}
        for replica in replicas:
            self._listed.setdefault(replica.upstream, []).append(replica)
            self._usable.setdefault(replica.upstream, [])
            if replica.id not in leaving:
                self._usable[replica.upstream].append(replica)
        if self._usable != usable_before:
            self.usable_changes += 1
        self._forget_unlisted({replica.id for replica in replicas})

    def on_report(self, replica_id: str, load: Load) -> None:
        """Record a load report, unless a newer one is known.

        The response to a stream carries the load at the stream's start. Recorded as new at the
        stream's end, it would show the replica as it was seconds ago.
        """
        row = self._row(replica_id)
        measured_ms = self._measured_ms(load)
        if row.load is not None and measured_ms < self._measured_ms(row.load):
            return
        row.load = load
        while row.changes and row.changes[0].end <= measured_ms:
            row.changes.popleft()
        row.change_since_report = sum(
            _change_after(change, measured_ms) for change in row.changes if not change.own_online
        )
        own_changes = (
            change for change in row.changes if change.own_online and change.end > measured_ms
        )
        row.own_change_since_report = sum(change.amount for change in own_changes)

    def on_sent(self, replica_id: str, batch: bool, now: int) -> None:
        """Count a call that this instance has opened."""
        self._count(replica_id, batch, 1, now)

    def on_finished(self, replica_id: str, batch: bool, now: int) -> None:
        """Count the end of a call that this instance had opened."""
        self._count(replica_id, batch, -1, now)

    def on_peer_calls(self, peer: str, uses: Sequence[ReplicaUse], now: int) -> None:
        """Replace the open calls of a peer; it has none at a replica that is not named."""
        self._remove_placed(peer, now - PLACED_REPORTED_MS)
        reported_ms, named_before = self._peer_reports.get(peer, (now, frozenset()))
        named = frozenset(use.replica for use in uses)
        if any(use.batch for use in uses):
            self._batch_reported_ms[peer] = now
        for use in uses:
            self._set_peer(peer, use, reported_ms, now)
        for removed in named_before - named:
            self._set_peer(peer, ReplicaUse(removed, 0, 0), reported_ms, now)
        self._peer_reports[peer] = (now, named)

    def on_peer_departed(self, peer: str) -> None:
        """Forget the open calls of a departed peer, and the totals that it reported."""
        self.on_totals(peer, ())
        self._totals_named.pop(peer, None)
        self._batch_reported_ms.pop(peer, None)
        self._remove_placed(peer)
        now, named = self._peer_reports.pop(peer, (0, frozenset()))
        for replica_id in named:
            self._set_peer(peer, ReplicaUse(replica_id, 0, 0), now, now)

    def on_totals(self, hub: str, totals: Sequence[ReplicaUse]) -> None:
        """Replace the calls of all instances at the replicas that a hub reports on.

        Beyond a full mesh an instance receives heartbeats of few peers itself, and would take
        replicas for idle that others have filled. Its own calls are known better here than at the
        hub.
        """
        named = {use.replica for use in totals}
        for removed in self._totals_named.get(hub, frozenset()) - named:
            self._set_total(ReplicaUse(removed, 0, 0))
        for use in totals:
            self._set_total(use)
        self._totals_named[hub] = frozenset(named)

    def on_placed(self, peer: str, replica_id: str, now: int) -> None:
        """Count a call that was placed for a peer until the peer reports it itself."""
        self._row(replica_id).placed += 1
        self._placed.setdefault(peer, []).append(_PlacedCall(replica_id, now))

    def _remove_placed(self, peer: str, until_ms: float = math.inf) -> None:
        remaining = []
        for call in self._placed.pop(peer, ()):
            if call.at_ms > until_ms:
                remaining.append(call)
            elif call.replica in self._rows:
                row = self._rows[call.replica]
                row.placed = max(0, row.placed - 1)
        if remaining:
            self._placed[peer] = remaining

    def _set_total(self, use: ReplicaUse) -> None:
        row = self._row(use.replica)
        row.total_others = max(0, use.online - row.online)
        row.total_batch = use.batch

    def estimate(self, replica_id: str, now: int) -> float:
        """Estimate the calls running and waiting at a replica."""
        row = self._rows.get(replica_id)
        if row is None:
            return 0.0
        own = row.online + row.batch
        load = row.load
        if load is None or now - load.at_ms > REPORT_STALE_MS:
            return float(own + row.peer_online + row.peer_batch)
        return max(
            float(own),
            load.running + load.waiting + row.change_since_report + row.own_change_since_report,
        )

    def online_pressure(self, replica_id: str, now: int) -> float:
        """Estimate the online calls at a replica as if all instances had sent like this one.

        Only what this instance sent since the last report is known at once. When a replica is
        nearly full, the other instances send at the same moment, and together they would exceed its
        limit by as many calls as there are instances.
        """
        row = self._rows.get(replica_id)
        if row is None:
            return 0.0
        batch = row.batch + row.peer_batch
        unseen = max(0, row.own_change_since_report) * len(row.peers)
        return max(float(row.online), self.estimate(replica_id, now) - batch + unseen)

    def online_calls(self, replica_id: str) -> int:
        """Return the online calls known to be open, this instance's and the peers'."""
        row = self._rows.get(replica_id)
        return row.online + max(row.peer_online, row.total_others) + row.placed if row else 0

    def peers_online(self, replica_id: str) -> dict[str, int]:
        """Return the online calls that each peer has open at a replica."""
        row = self._rows.get(replica_id)
        return {peer: use[0] for peer, use in row.peers.items()} if row else {}

    def batch_peers(self, now: int, within_ms: int) -> frozenset[str]:
        """Return the peers that have recently reported open batch calls."""
        reported = self._batch_reported_ms.items()
        return frozenset(peer for peer, at in reported if now - at <= within_ms)

    def batch_open_ms(self, now: int) -> int:
        """Return for how long this instance has had batch calls open without interruption."""
        return now - self._batch_since if self._batch_open else 0

    def batch_calls(self, replica_id: str) -> int:
        """Return the batch calls known to be open, this instance's and the peers'."""
        row = self._rows.get(replica_id)
        return max(row.batch + row.peer_batch, row.total_batch) if row else 0

    def used_replicas(self) -> list[str]:
        """Return the replicas at which any instance is known to have calls open."""
        return [
            replica_id
            for replica_id, row in self._rows.items()
            if row.online + row.batch + row.peer_online + row.peer_batch
        ]

    def own_calls(self, replica_id: str) -> ReplicaUse:
        """Return the calls that this instance has open."""
        row = self._rows.get(replica_id)
        return (
            ReplicaUse(replica_id, row.online, row.batch) if row else ReplicaUse(replica_id, 0, 0)
        )

    def instance_count(self, replica_id: str) -> int:
        """Return how many instances are known to use a replica, this one included."""
        row = self._rows.get(replica_id)
        return 1 + len(row.peers) if row else 1

    def change_count(self, replica_id: str) -> int:
        """Return how many changes are kept to correct a replica's report."""
        row = self._rows.get(replica_id)
        return len(row.changes) if row else 0

    def slots(self, replica_id: str) -> int:
        """Return how many calls a replica runs at once."""
        row = self._rows.get(replica_id)
        if row and row.load and row.load.slots > 0:
            return row.load.slots
        return self._slots.get(replica_id, ASSUMED_SLOTS)

    def reported_ms(self, replica_id: str) -> int:
        """Return when a replica's last report was made, or 0."""
        load = self._row(replica_id).load
        return 0 if load is None else load.at_ms

    def replicas(self, upstream: str) -> list[Replica]:
        """Return the listed replicas of an upstream, including leaving ones."""
        return self._listed.get(upstream, [])

    def usable_replicas(self, upstream: str, now: int) -> list[Replica]:
        """Return the replicas of an upstream that may get new calls."""
        return self._usable.get(upstream, [])

    def usable_replica_ids(self, upstream: str) -> list[str]:
        """Return the ids of the replicas of an upstream that may get new calls."""
        return [replica.id for replica in self._usable.get(upstream, ())]

    def own_uses(self) -> list[ReplicaUse]:
        """Return this instance's open calls, for its heartbeat."""
        rows = self._rows.items()
        return [
            ReplicaUse(replica_id, row.online, row.batch)
            for replica_id, row in rows
            if row.online + row.batch
        ]

    def _row(self, replica_id: str) -> _ReplicaLoad:
        row = self._rows.get(replica_id)
        if row is None:
            row = self._rows[replica_id] = _ReplicaLoad()
        return row

    def _count(self, replica_id: str, batch: bool, change: int, now: int) -> None:
        row = self._row(replica_id)
        _forget_old(row, now)
        row.changes.append(_Change(now, now, change, not batch))
        if batch:
            row.batch += change
            row.change_since_report += change
            if self._batch_open == 0:
                self._batch_since = now
            self._batch_open += change
        else:
            row.online += change
            row.own_change_since_report += change

    def _set_peer(self, peer: str, use: ReplicaUse, reported_ms: int, now: int) -> None:
        row = self._row(use.replica)
        online, batch, _ = row.peers.pop(peer, (0, 0, 0))
        row.peer_online += use.online - online
        row.peer_batch += use.batch - batch
        if use.online or use.batch:
            row.peers[peer] = (use.online, use.batch, now)
        difference = use.online + use.batch - online - batch
        if difference == 0 or row.load is None:
            return
        change = _Change(reported_ms, now, difference, False)
        _forget_old(row, now)
        row.changes.append(change)
        row.change_since_report += _change_after(change, self._measured_ms(row.load))

    def _measured_ms(self, load: Load) -> int:
        return load.at_ms - self._report_lag_ms if load.delayed else load.at_ms

    def _forget_unlisted(self, listed: set[str]) -> None:
        for replica_id in [known for known in self._rows if known not in listed]:
            row = self._rows[replica_id]
            if row.online + row.batch == 0:
                del self._rows[replica_id]


def _forget_old(row: _ReplicaLoad, now: int) -> None:
    """Drop changes that no estimate uses, so that they do not pile up while reports fail."""
    while row.changes and row.changes[0].end < now - 2 * REPORT_STALE_MS:
        row.changes.popleft()


def _change_after(change: _Change, measured_ms: int) -> float:
    if change.begin >= measured_ms:
        return float(change.amount)
    if change.end <= measured_ms:
        return 0.0
    return change.amount * (change.end - measured_ms) / (change.end - change.begin)
