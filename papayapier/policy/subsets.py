"""Choose which replicas an instance talks to in a large region.

With every instance talking to every replica, connections, load reports and heartbeats grow
with the product of both. So each replica picks as many instances by rendezvous hashing as
make the instances' subsets of the wanted size on average. Letting the instances pick the
replicas is as simple, but then the number of instances that a replica is seen by varies like
any random count, and its load with it. This way that number is the same for all, and what
varies is the size of the subsets, over which routing evens out. An instance that comes or
goes changes only the replicas that picked it.
"""

import heapq
import math
from collections.abc import Sequence

from papayapier.policy.rendezvous import score


def subset(
    replica_ids: Sequence[str], instances: Sequence[str], instance_id: str, size: int
) -> list[str]:
    """Return the replicas of one upstream that an instance talks to, about size of them."""
    if len(replica_ids) <= size:
        return list(replica_ids)
    seen_by = math.ceil(len(instances) * size / len(replica_ids))
    picked = [key for key in replica_ids if _picks(key, instances, instance_id, seen_by)]
    if len(picked) >= size // 2:
        return picked[: 2 * size]
    # Few replicas picked this instance, and it would load them too much: it adds some.
    others = set(replica_ids) - set(picked)
    added = heapq.nlargest(size // 2 - len(picked), others, key=lambda key: score(key, instance_id))
    return picked + added


def _picks(replica_id: str, instances: Sequence[str], instance_id: str, seen_by: int) -> bool:
    """Tell whether an instance is among the seen_by best of a replica.

    It stops at the first proof that it is not, which for most replicas comes early; ranking
    all instances for every replica would hold up the event loop for a tenth of a second.
    """
    own = score(replica_id, instance_id)
    better = 0
    for instance in instances:
        if score(replica_id, instance) > own:
            better += 1
            if better >= seen_by:
                return False
    return True
