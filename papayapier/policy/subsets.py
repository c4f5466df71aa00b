"""Choose which replicas an instance connects to in a large region.

With every instance connected to every replica, connections, load reports and heartbeats grow with
the product of both. So each replica chooses, by rendezvous hashing, as many instances as make the
instances' subsets of the wanted size on average. Letting the instances choose the replicas is as
simple, but then the number of instances per replica varies like any random count, and its load with
it. This way that number is the same for all, and what varies is the size of the subsets, over which
routing evens out. An instance that joins or departs changes only the replicas that chose it.
"""

import heapq
import math
from collections.abc import Sequence

from papayapier.policy.rendezvous import score


def subset(
    replica_ids: Sequence[str], instances: Sequence[str], instance_id: str, size: int
) -> list[str]:
    """Return the replicas of one upstream that an instance connects to, about size of them."""
    if len(replica_ids) <= size:
        return list(replica_ids)
    instances_per_replica = math.ceil(len(instances) * size / len(replica_ids))
    chosen = [
        replica_id
        for replica_id in replica_ids
        if _is_chosen(replica_id, instances, instance_id, instances_per_replica)
    ]
    if len(chosen) >= size // 2:
        return chosen[: 2 * size]
    # Few replicas chose this instance, and it would load them too much: it adds some.
    others = set(replica_ids) - set(chosen)
    added = heapq.nlargest(
        size // 2 - len(chosen),
        others,
        key=lambda replica_id: score(replica_id, instance_id),
    )
    return chosen + added


def _is_chosen(
    replica_id: str, instances: Sequence[str], instance_id: str, instances_per_replica: int
) -> bool:
    """Tell whether an instance is among the best ranked of a replica.

    It stops as soon as the answer is no, which for most replicas comes early; ranking all instances
    for every replica would block the event loop for a tenth of a second.
    """
    own_score = score(replica_id, instance_id)
    better_ranked = 0
    for instance in instances:
        if score(replica_id, instance) > own_score:
            better_ranked += 1
            if better_ranked >= instances_per_replica:
                return False
    return True
