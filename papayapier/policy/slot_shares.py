"""Divide the slots of each replica among the instances.

The slots are dealt in rotation, starting at a position that rendezvous hashing gives the replica.
So all instances agree without a message, each has its share of every replica, the shares of any
number of slots differ by one at most and add up exactly, and when an instance departs no share of
another shrinks. Giving whole replicas to instances by rendezvous hashing leaves some without any:
with six instances and nine replicas in 82 of 100 fleets (misc/slot_ownership.py).

Instances that have recently reported no batch calls are excluded, so that a job which runs on few
instances gets all the idle slots. That is safe only when every instance with batch calls has
reported them. So an instance excludes others only after its own batch calls have been open for
longer than the others need to report theirs: when all begin at once, after a burst for example,
none of them takes more than its share among all.
"""

from collections.abc import Sequence
from typing import Final

from papayapier.policy.loads import LoadTracker
from papayapier.policy.rendezvous import score

LEAVE_OUT_AFTER_MS: Final = 1_500
BATCH_REPORT_MS: Final = 1_500
REVIEW_MS: Final = 100


class SlotShares:
    """Keep track of the instances that share the slots."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._live: tuple[str, ...] = (instance_id,)
        self._sharing: tuple[str, ...] = (instance_id,)
        self._last_review_ms = -REVIEW_MS
        self._ranks_by_replica: dict[str, dict[str, int]] = {}

    def set_live(self, instances: Sequence[str]) -> None:
        """Set the live instances; this one is always included."""
        self._live = tuple(sorted({*instances, self._instance_id}))
        self._share_among(self._live)

    def review(self, load_tracker: LoadTracker, now: int) -> None:
        """Exclude the instances without batch calls, or include all again."""
        if now < self._last_review_ms + REVIEW_MS:
            return
        self._last_review_ms = now
        if load_tracker.batch_open_ms(now) < LEAVE_OUT_AFTER_MS:
            self._share_among(self._live)
            return
        with_batch = load_tracker.batch_peers(now, BATCH_REPORT_MS)
        self._share_among(
            tuple(name for name in self._live if name == self._instance_id or name in with_batch)
        )

    def live(self) -> int:
        """Return how many instances are live."""
        return len(self._live)

    def sharing(self) -> tuple[str, ...]:
        """Return the instances that have a share at present."""
        return self._sharing

    def share(self, replica_id: str, slots: int, instance: str = "") -> int:
        """Return an instance's share (this one's by default) of the first slots of a replica."""
        ranks = self._ranks_by_replica.get(replica_id)
        if ranks is None:
            ranked = sorted(self._sharing, key=lambda name: score(replica_id, name))
            ranks = self._ranks_by_replica[replica_id] = {name: i for i, name in enumerate(ranked)}
        rank = ranks.get(instance or self._instance_id)
        if rank is None:
            return 0
        return (slots + len(ranks) - 1 - rank) // len(ranks)

    def _share_among(self, instances: tuple[str, ...]) -> None:
        if instances != self._sharing:
            self._sharing = instances
            self._ranks_by_replica.clear()
