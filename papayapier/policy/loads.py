"""Keep what this instance knows of the load on each replica, and estimate what it is now.

A replica's report is old when it arrives. Until the next one comes, every instance that
believes it sends to the same idle-looking replica, and the replica is flooded (a herd). So
an estimate is the report plus every change that we know to be newer than the report: our
own sends and ends at their time, and the peers' open calls as they tell them. A peer tells
a total now and then; its change is spread evenly over the time since it last told.
Without a fresh report the estimate is the sum of the calls known to be open.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping, Sequence
from typing import Final, NamedTuple

from papayapier.upstream.api import Load, Replica

REPORT_LAG_MS: Final = 200
REPORT_STALE_MS: Final = 2_000
ASSUMED_SLOTS: Final = 8
# What a peer tells this long after a call was placed for it counts the call: the answer takes
# some 2 ms to the peer, and the word as long back.
PLACED_SEEN_MS: Final = 15
NO_SLOTS: Final[Mapping[str, int]] = {}


class ReplicaUse(NamedTuple):
    """Hold how many calls one instance has open at one replica."""

    replica: str
    online: int
    batch: int


class _Step(NamedTuple):
    """Hold a change of the open calls that happened between two times."""

    begin: int
    end: int
    change: int
    own_online: bool


class _Row:
    """Hold what is known of one replica."""

    __slots__ = (
        "batch",
        "load",
        "online",
        "peer_batch",
        "peer_online",
        "peers",
        "placed",
        "since",
        "since_own",
        "steps",
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
        self.steps: deque[_Step] = deque()
        self.since = 0.0
        self.since_own = 0
        self.total_others = 0
        self.total_batch = 0
        self.placed = 0


class _Placed(NamedTuple):
    """Hold a call that this instance has placed for a peer."""

    replica: str
    at: int


class LoadBook:
    """Track the open calls and load reports of every listed replica."""

    def __init__(self, report_lag_ms: int = REPORT_LAG_MS) -> None:
        self._lag_ms = report_lag_ms
        self._rows: dict[str, _Row] = {}
        self._slots: Mapping[str, int] = NO_SLOTS
        self._listed: dict[str, list[Replica]] = {}
        self._open: dict[str, list[Replica]] = {}
        # Grows whenever other replicas may get new work.
        self.usable_changes = 0
        self._batch_open = 0
        self._batch_since = 0
        self._batch_told: dict[str, int] = {}
        self._totals_told: dict[str, frozenset[str]] = {}
        self._peer_told: dict[str, tuple[int, frozenset[str]]] = {}
        self._placed: dict[str, list[_Placed]] = {}

    def on_listed(
        self,
        replicas: Sequence[Replica],
        leaving: Collection[str],
        slots: Mapping[str, int] = NO_SLOTS,
    ) -> None:
        """Take the instance list's replicas; those leaving get nothing new.

        slots holds how many calls a replica runs at once, where the list says so.
        """
        self._slots = slots
        self._listed = {}
        open_before, self._open = self._open, {}
        for replica in replicas:
            self._listed.setdefault(replica.upstream, []).append(replica)
            self._open.setdefault(replica.upstream, [])
            if replica.id not in leaving:
                self._open[replica.upstream].append(replica)
        if self._open != open_before:
            self.usable_changes += 1
        self._forget_unlisted({replica.id for replica in replicas})

    def on_report(self, replica_id: str, load: Load) -> None:
        """Take a load report, unless a newer one is known.

        A stream's answer brings the load of when the stream began. Taken as new at its end,
        it would show a replica as it was seconds ago.
        """
        row = self._row(replica_id)
        taken = self._taken_ms(load)
        if row.load is not None and taken < self._taken_ms(row.load):
            return
        row.load = load
        while row.steps and row.steps[0].end <= taken:
            row.steps.popleft()
        row.since = sum(_part_after(step, taken) for step in row.steps if not step.own_online)
        own = (step for step in row.steps if step.own_online and step.end > taken)
        row.since_own = sum(step.change for step in own)

    def on_sent(self, replica_id: str, batch: bool, now: int) -> None:
        """Count a call that this instance has opened."""
        self._count(replica_id, batch, 1, now)

    def on_done(self, replica_id: str, batch: bool, now: int) -> None:
        """Count the end of a call that this instance had opened."""
        self._count(replica_id, batch, -1, now)

    def on_peer_uses(self, peer: str, uses: Sequence[ReplicaUse], now: int) -> None:
        """Take all the open calls of a peer; a replica not named has none."""
        self._forget_placed(peer, now - PLACED_SEEN_MS)
        told_at, named_before = self._peer_told.get(peer, (now, frozenset()))
        named = frozenset(use.replica for use in uses)
        if any(use.batch for use in uses):
            self._batch_told[peer] = now
        for use in uses:
            self._set_peer(peer, use, told_at, now)
        for gone in named_before - named:
            self._set_peer(peer, ReplicaUse(gone, 0, 0), told_at, now)
        self._peer_told[peer] = (now, named)

    def on_peer_gone(self, peer: str) -> None:
        """Forget the open calls of a peer, and what it told of others."""
        self.on_totals(peer, ())
        self._totals_told.pop(peer, None)
        self._batch_told.pop(peer, None)
        self._forget_placed(peer)
        now, named = self._peer_told.pop(peer, (0, frozenset()))
        for replica_id in named:
            self._set_peer(peer, ReplicaUse(replica_id, 0, 0), now, now)

    def on_totals(self, hub: str, totals: Sequence[ReplicaUse]) -> None:
        """Take what all instances have open at the replicas of which a hub tells.

        Beyond a full mesh an instance hears few peers itself, and would take replicas for
        free that others have filled. Own calls are known better here than there.
        """
        named = {use.replica for use in totals}
        for gone in self._totals_told.get(hub, frozenset()) - named:
            self._set_total(ReplicaUse(gone, 0, 0))
        for use in totals:
            self._set_total(use)
        self._totals_told[hub] = frozenset(named)

    def on_placed(self, peer: str, replica_id: str, now: int) -> None:
        """Count a call that was placed for a peer until the peer tells of it itself."""
        self._row(replica_id).placed += 1
        self._placed.setdefault(peer, []).append(_Placed(replica_id, now))

    def _forget_placed(self, peer: str, until: float = math.inf) -> None:
        kept = []
        for one in self._placed.pop(peer, ()):
            if one.at > until:
                kept.append(one)
            elif one.replica in self._rows:
                row = self._rows[one.replica]
                row.placed = max(0, row.placed - 1)
        if kept:
            self._placed[peer] = kept

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
        return max(float(own), load.running + load.waiting + row.since + row.since_own)

    def online_pressure(self, replica_id: str, now: int) -> float:
        """Estimate the online calls at a replica as if all instances had sent like this one.

        Only what this instance sent since the last report is known at once. At the limit of
        a replica the others do the same in the same moment, and together they would pass it
        by their number.
        """
        row = self._rows.get(replica_id)
        if row is None:
            return 0.0
        batch = row.batch + row.peer_batch
        unseen = max(0, row.since_own) * len(row.peers)
        return max(float(row.online), self.estimate(replica_id, now) - batch + unseen)

    def online_at(self, replica_id: str) -> int:
        """Return the online calls known to be open, ours and the peers'."""
        row = self._rows.get(replica_id)
        return row.online + max(row.peer_online, row.total_others) + row.placed if row else 0

    def peers_online(self, replica_id: str) -> dict[str, int]:
        """Return the online calls that each peer has open at a replica."""
        row = self._rows.get(replica_id)
        return {peer: use[0] for peer, use in row.peers.items()} if row else {}

    def batch_peers(self, now: int, within_ms: int) -> frozenset[str]:
        """Return the peers that have told of open batch calls lately."""
        told = self._batch_told.items()
        return frozenset(peer for peer, at in told if now - at <= within_ms)

    def batch_open_ms(self, now: int) -> int:
        """Return for how long this instance has had batch calls open without a break."""
        return now - self._batch_since if self._batch_open else 0

    def batch_at(self, replica_id: str) -> int:
        """Return the batch calls known to be open, ours and the peers'."""
        row = self._rows.get(replica_id)
        return max(row.batch + row.peer_batch, row.total_batch) if row else 0

    def used(self) -> list[str]:
        """Return the replicas at which any instance is known to have calls open."""
        return [
            key
            for key, row in self._rows.items()
            if row.online + row.batch + row.peer_online + row.peer_batch
        ]

    def own(self, replica_id: str) -> ReplicaUse:
        """Return the calls that this instance has open."""
        row = self._rows.get(replica_id)
        return (
            ReplicaUse(replica_id, row.online, row.batch) if row else ReplicaUse(replica_id, 0, 0)
        )

    def sharers(self, replica_id: str) -> int:
        """Return how many instances are known to have calls open at a replica, and this one."""
        row = self._rows.get(replica_id)
        return 1 + len(row.peers) if row else 1

    def step_count(self, replica_id: str) -> int:
        """Return how many changes are kept to correct a replica's report."""
        row = self._rows.get(replica_id)
        return len(row.steps) if row else 0

    def slots(self, replica_id: str) -> int:
        """Return how many calls a replica runs at once."""
        row = self._rows.get(replica_id)
        if row and row.load and row.load.slots > 0:
            return row.load.slots
        return self._slots.get(replica_id, ASSUMED_SLOTS)

    def reported_at(self, replica_id: str) -> int:
        """Return when the last report of a replica arrived, or 0."""
        load = self._row(replica_id).load
        return 0 if load is None else load.at_ms

    def replicas(self, upstream: str) -> list[Replica]:
        """Return the listed replicas of an upstream, leaving ones included."""
        return self._listed.get(upstream, [])

    def usable(self, upstream: str, now: int) -> list[Replica]:
        """Return the replicas of an upstream that may get new work."""
        return self._open.get(upstream, [])

    def usable_ids(self, upstream: str) -> list[str]:
        """Return the ids of the replicas of an upstream that may get new work."""
        return [replica.id for replica in self._open.get(upstream, ())]

    def uses(self) -> list[ReplicaUse]:
        """Return this instance's open calls for a heartbeat."""
        rows = self._rows.items()
        return [
            ReplicaUse(key, row.online, row.batch) for key, row in rows if row.online + row.batch
        ]

    def _row(self, replica_id: str) -> _Row:
        row = self._rows.get(replica_id)
        if row is None:
            row = self._rows[replica_id] = _Row()
        return row

    def _count(self, replica_id: str, batch: bool, change: int, now: int) -> None:
        row = self._row(replica_id)
        _forget_old(row, now)
        row.steps.append(_Step(now, now, change, not batch))
        if batch:
            row.batch += change
            row.since += change
            if self._batch_open == 0:
                self._batch_since = now
            self._batch_open += change
        else:
            row.online += change
            row.since_own += change

    def _set_peer(self, peer: str, use: ReplicaUse, told_at: int, now: int) -> None:
        row = self._row(use.replica)
        online, batch, _ = row.peers.pop(peer, (0, 0, 0))
        row.peer_online += use.online - online
        row.peer_batch += use.batch - batch
        if use.online or use.batch:
            row.peers[peer] = (use.online, use.batch, now)
        change = use.online + use.batch - online - batch
        if change == 0 or row.load is None:
            return
        step = _Step(told_at, now, change, False)
        _forget_old(row, now)
        row.steps.append(step)
        row.since += _part_after(step, self._taken_ms(row.load))

    def _taken_ms(self, load: Load) -> int:
        return load.at_ms - self._lag_ms if load.lagging else load.at_ms

    def _forget_unlisted(self, listed: set[str]) -> None:
        for replica_id in [key for key in self._rows if key not in listed]:
            row = self._rows[replica_id]
            if row.online + row.batch == 0:
                del self._rows[replica_id]


def _forget_old(row: _Row, now: int) -> None:
    """Drop steps that no estimate uses, so that they do not pile up while reports fail."""
    while row.steps and row.steps[0].end < now - 2 * REPORT_STALE_MS:
        row.steps.popleft()


def _part_after(step: _Step, taken: int) -> float:
    if step.begin >= taken:
        return float(step.change)
    if step.end <= taken:
        return 0.0
    return step.change * (step.end - taken) / (step.end - step.begin)
