"""Decide how many batch streams this instance may have on each replica.

Engines admit as they come and know no priority, so batch must never fill a replica's slots.
Batch slot j of a replica belongs to the live instance that wins rendezvous hashing for
(replica, j): every instance owns a share on each replica, no two use the same slot, and an
instance gives way locally without a message.
"""

from collections.abc import Sequence
from typing import Final

from papayapier.config.profiles import BatchRule
from papayapier.policy.loads import LoadBook
from papayapier.policy.ownership import owner
from papayapier.upstream.api import Load

HEADROOM_SLOTS: Final = 4


class BatchShare:
    """Track the online signal of each replica and bound this instance's batch streams."""

    def __init__(self, instance_id: str) -> None:
        self._instance = instance_id
        self._instances: tuple[str, ...] = (instance_id,)
        self._rules: dict[str, BatchRule] = {}
        self._upstreams: dict[str, str] = {}
        self._owned: dict[str, list[int]] = {}

    def set_instances(self, instances: Sequence[str]) -> None:
        """Take the live instances that run batch, this one included."""
        self._instances = tuple(sorted({*instances, self._instance}))
        self._owned.clear()

    def set_rule(self, upstream: str, rule: BatchRule) -> None:
        """Take the batch rule in force for an upstream."""
        self._rules[upstream] = rule

    def set_upstream(self, replica_id: str, upstream: str) -> None:
        """Take which upstream a replica belongs to."""
        self._upstreams[replica_id] = upstream

    def on_online_signal(
        self,
        replica_id: str,
        first_token_ms: float | None,
        token_gap_ms: float | None,
        now: int,
    ) -> None:
        """Take how fast a replica answered an online call."""

    def on_report(self, replica_id: str, load: Load) -> None:
        """Take a load report."""

    def room(self, replica_id: str, book: LoadBook, now: int) -> int:
        """Return how many more batch streams this instance may open on a replica now."""
        return max(0, self._limit(replica_id, book) - book.own(replica_id).batch)

    def to_yield(self, replica_id: str, book: LoadBook, now: int) -> int:
        """Return how many batch streams this instance must cancel on a replica now."""
        return max(0, book.own(replica_id).batch - self._limit(replica_id, book))

    def limit(self, replica_id: str, book: LoadBook, now: int) -> int:
        """Return how many batch streams this instance may have on a replica now."""
        return self._limit(replica_id, book)

    def _limit(self, replica_id: str, book: LoadBook) -> int:
        rule = self._rules.get(self._upstreams.get(replica_id, ""), BatchRule())
        slots = book.slots(replica_id)
        total = int(slots * rule.share)
        if rule.isolation in ("tail", "throughput"):
            total = min(total, slots - HEADROOM_SLOTS - book.online_at(replica_id))
        return sum(1 for slot in self._slots_owned(replica_id, slots) if slot < total)

    def _slots_owned(self, replica_id: str, slots: int) -> list[int]:
        owned = self._owned.get(replica_id)
        if owned is None or len(owned) > slots:
            owned = [
                slot
                for slot in range(slots)
                if owner(f"{replica_id}/{slot}", self._instances) == self._instance
            ]
            self._owned[replica_id] = owned
        return owned
