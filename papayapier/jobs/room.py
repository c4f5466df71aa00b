"""Know how many batch streams this instance may have at each replica, and find one with room."""

import random
from collections.abc import Collection, Sequence
from typing import NamedTuple

from papayapier.policy.batch_room import NO_PART, Use, start_limit
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.totals import parts_among, sharers_of
from papayapier.upstream.api import Replica


class Shared(NamedTuple):
    """Group what is known of the replicas at one moment.

    sharing names the live instances that run batch, hidden those of them whose open calls are
    not heard of here. Both are worked out once for all replicas: asking for each of them took,
    with the order of who shares, half of a hub's processor time among 29 instances.
    """

    rand: random.Random
    me: str
    book: LoadBook
    outliers: Outliers
    sharing: Sequence[str]
    hidden: Collection[str]


def use_of(deps: Shared, replica_id: str) -> Use:
    """Return what is known of the open calls at a replica, and this instance's place there.

    A replica's slots are shared by few instances. What one leaves unused the others may take,
    and with many that would all take it before they hear of each other.
    """
    may_use = sharers_of(replica_id, deps.sharing)
    sharing = may_use[: parts_among(len(deps.sharing))]
    own = deps.book.own(replica_id).batch
    slots = deps.book.slots(replica_id)
    batch = deps.book.batch_at(replica_id)
    if not set(deps.hidden).isdisjoint(sharing):
        # What a hidden one leaves unused cannot be known, so everybody keeps to a fair part.
        batch = own + slots
    return Use(
        slots if deps.me in may_use else 0,
        deps.book.online_at(replica_id),
        own,
        batch,
        sharing.index(deps.me) if deps.me in sharing else NO_PART,
        len(sharing),
    )


class Room:
    """Find replicas with room, looking at the use of each one once."""

    def __init__(self, deps: Shared) -> None:
        self._deps = deps
        self._uses: dict[str, Use] = {}

    def take(self, upstream: str, now: int, part: bool = True) -> Replica | None:
        """Return the replica with the most room, or None.

        One that has failed lately looks fuller, since failing is quick. With part only replicas
        count of whose slots this instance has a part, without it only others.
        """
        best: tuple[float, float, Replica] | None = None
        for replica in self._deps.book.usable(upstream, now):
            if self._deps.outliers.ejected(replica.id, now):
                continue
            use = self._use(replica.id)
            if (use.place != NO_PART) is not part:
                continue
            room = start_limit(use) - self._deps.book.own(replica.id).batch
            if room <= 0:
                continue
            likely = room - self._deps.outliers.penalty(replica.id, now)
            ranked = (likely, self._deps.rand.random(), replica)
            if best is None or ranked[:2] > best[:2]:
                best = ranked
        return best[2] if best is not None else None

    def _use(self, replica_id: str) -> Use:
        if replica_id not in self._uses:
            self._uses[replica_id] = use_of(self._deps, replica_id)
        return self._uses[replica_id]
