"""Decide which instance should hold which shard, by rendezvous hashing with bounded loads.

Plain rendezvous hashing gives each shard to the instance with the highest score. With a few
dozen shards the shares then differ by up to half, and an instance with too few shards leaves
capacity unused that no other instance can use. Therefore an instance that has its full share
is skipped. The result depends only on the set of live instances, so all instances agree
without communication; when an instance joins or leaves, few more shards move than necessary.
"""

from collections import Counter
from collections.abc import Collection

from papayapier.policy.rendezvous import score


def assign_shards(shards: int, instances: Collection[str]) -> list[str]:
    """Return the instance that should hold each shard."""
    share = -(-shards // len(instances))
    loads: Counter[str] = Counter()
    assigned: list[str] = []
    for shard in range(shards):
        free = [instance for instance in instances if loads[instance] < share]
        _, chosen = max((score(str(shard), instance), instance) for instance in free)
        loads[chosen] += 1
        assigned.append(chosen)
    return assigned
