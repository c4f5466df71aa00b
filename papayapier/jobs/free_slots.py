"""Find replicas with free slots for the batch streams of this instance."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from papayapier.policy.batch_limits import NO_SHARE, SlotUse, start_limit
from papayapier.policy.batch_sharers import share_count, sharers_of
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.upstream.api import Replica


class SlotSnapshot(NamedTuple):
    """Hold a snapshot of the state that decides how slots are shared.

    sharing lists the live instances that run batch, unreachable those of them whose open calls are
    not reported here. Both are computed once for all replicas: computing them per replica, with the
    order of the sharing instances, took half of a hub's processor time in a fleet of 29 instances.
    """

    rand: random.Random
    instance_id: str
    load_tracker: LoadTracker
    outliers: OutlierDetector
    sharing: Sequence[str]
    unreachable: Collection[str]


def replica_use(snapshot: SlotSnapshot, replica_id: str) -> SlotUse:
    """Return the open calls at a replica and the share of its slots that this instance has.

    Only a few instances share a replica's slots. Each may use slots that the others leave idle;
    if many did, all of them would take the same idle slots before they learn of each other's calls.
    """
    may_use = sharers_of(replica_id, snapshot.sharing)
    sharing = may_use[: share_count(len(snapshot.sharing))]
    own = snapshot.load_tracker.own_calls(replica_id).batch
    slots = snapshot.load_tracker.slots(replica_id)
    batch = snapshot.load_tracker.batch_calls(replica_id)
    if not set(snapshot.unreachable).isdisjoint(sharing):
        # The slots that an unreachable instance leaves idle are unknown, so each instance keeps to
        # its fair share.
        batch = own + slots
    return SlotUse(
        slots if snapshot.instance_id in may_use else 0,
        snapshot.load_tracker.online_calls(replica_id),
        own,
        batch,
        sharing.index(snapshot.instance_id) if snapshot.instance_id in sharing else NO_SHARE,
        len(sharing),
    )


class ReplicaFinder:
    """Find replicas with free slots; the use of each replica is computed once and cached."""

    def __init__(self, snapshot: SlotSnapshot) -> None:
        self._snapshot = snapshot
        self._uses: dict[str, SlotUse] = {}

    def find(
        self,
        upstream: str,
        now: int,
        has_share: bool = True,
        version: str | None = None,
        alone: bool = False,
    ) -> Replica | None:
        """Return the replica with the most free slots, or None; if alone, with the fewest calls.

        Replicas that failed recently rank lower, because failed calls end fast and free their
        slots. With has_share only replicas are considered at which this instance has a share of
        the slots, otherwise only the other replicas. version, unless None, is the only software
        version to consider.
        """
        best: tuple[float, float, Replica] | None = None
        for replica in self._snapshot.load_tracker.usable_replicas(upstream, now):
            if version not in (None, replica.version):
                continue
            if self._snapshot.outliers.is_ejected(replica.id, now):
                continue
            use = self._use(replica.id)
            if (use.rank != NO_SHARE) is not has_share:
                continue
            free_slots = start_limit(use) - self._snapshot.load_tracker.own_calls(replica.id).batch
            if free_slots <= 0:
                continue
            rank = -(use.online + use.batch) if alone else free_slots
            score = rank - self._snapshot.outliers.penalty(replica.id, now)
            ranked = (score, self._snapshot.rand.random(), replica)
            if best is None or ranked[:2] > best[:2]:
                best = ranked
        return best[2] if best is not None else None

    def _use(self, replica_id: str) -> SlotUse:
        if replica_id not in self._uses:
            self._uses[replica_id] = replica_use(self._snapshot, replica_id)
        return self._uses[replica_id]
