"""Choose the replica for one call.

Two replicas are drawn at random and the less loaded one is taken: that is nearly as even as
taking the least loaded of all, and unlike it does not send every instance to the same
replica when load reports lag. A call with a prompt prefix first tries the replica that
rendezvous hashing gives the prefix, where the engine has it cached, as long as that replica's
load stays within a bound of the average.
"""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.rendezvous import score
from papayapier.upstream.api import Replica

AFFINITY_FACTOR: Final = 1.25
AFFINITY_SLACK: Final = 0.1
AFFINITY_TRIES: Final = 2
NEAR_BONUS: Final = 0.05
BATCH_WEIGHT: Final = 0.5


class RouteRequest(NamedTuple):
    """Describe what routing needs to know of a call."""

    upstream: str
    prefix: str
    data_centre: str
    exclude: frozenset[str] = frozenset()
    batch: bool = False


def choose(
    book: LoadBook, outliers: Outliers, req: RouteRequest, rand: random.Random, now: int
) -> str | None:
    """Return the replica for a call, or None when no replica may take it."""
    usable = [
        replica
        for replica in book.usable(req.upstream, now)
        if replica.id not in req.exclude and not outliers.ejected(replica.id, now)
    ]
    if not usable:
        return None
    if req.prefix and len(usable) > 1:
        near_cache = _affine(book, usable, req, now)
        if near_cache is not None:
            return near_cache
    drawn = usable if len(usable) <= 2 else rand.sample(usable, 2)
    return min(drawn, key=lambda replica: _cost(book, replica, req, now)).id


def subset(replica_ids: Sequence[str], instance_id: str, size: int) -> list[str]:
    """Return the replicas that an instance talks to, at most size of them."""
    ranked = sorted(replica_ids, key=lambda replica_id: -score(instance_id, replica_id))
    return ranked[:size]


def _affine(book: LoadBook, usable: Sequence[Replica], req: RouteRequest, now: int) -> str | None:
    loads = {
        replica.id: book.estimate(replica.id, now) / book.slots(replica.id) for replica in usable
    }
    bound = AFFINITY_FACTOR * sum(loads.values()) / len(loads) + AFFINITY_SLACK
    ranked = sorted(usable, key=lambda replica: -score(req.prefix, replica.id))
    for replica in ranked[:AFFINITY_TRIES]:
        if loads[replica.id] <= bound:
            return replica.id
    return None


def _cost(book: LoadBook, replica: Replica, req: RouteRequest, now: int) -> float:
    slots = book.slots(replica.id)
    cost = book.estimate(replica.id, now) / slots
    if not req.batch:
        cost += BATCH_WEIGHT * book.batch_at(replica.id) / slots
    if replica.data_centre == req.data_centre:
        cost -= NEAR_BONUS
    return cost
