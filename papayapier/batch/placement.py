"""Decide which instance should hold which shard: rendezvous hashing with a bounded load.

Plain rendezvous hashing gives each shard to the instance with the highest score. With a few
dozen shards that is uneven by half, and an instance with too few of them leaves capacity
idle that only it may use. So a shard passes over an instance that has its share already.
The result depends only on who lives, so all instances agree without a word; when one comes
or goes, few more shards move than must.
"""

from collections import Counter
from collections.abc import Collection

from papayapier.policy.rendezvous import score


def owners(shards: int, instances: Collection[str]) -> list[str]:
    """Return the instance that should hold each shard."""
    share = -(-shards // len(instances))
    loads: Counter[str] = Counter()
    found: list[str] = []
    for shard in range(shards):
        free = [instance for instance in instances if loads[instance] < share]
        _, owner = max((score(str(shard), instance), instance) for instance in free)
        loads[owner] += 1
        found.append(owner)
    return found
