"""Decide which instance should own a shard, and whether a lease may still be acted on.

Plain rendezvous hashing moves only the shards of an instance that departs, but is uneven: of 32
shards one of six instances has 4 and another 8. Here all pairs of shard and instance are processed
in the order of their scores, and a pair is assigned if the shard is free and the instance is below
its quota: the even share rounded down, or up for as many instances as the remainder needs. The
result is even to within one and depends only on which instances are live. The price is that a few
more shards move than necessary: when one of six departs, about two beyond its own five.
"""

from collections.abc import Collection, Iterable

from papayapier.policy.rendezvous import score


def rendezvous_owner(shard: int | str, instances: Collection[str]) -> str:
    """Return the instance that wins rendezvous hashing for a shard."""
    return max(instances, key=lambda instance: (score(str(shard), instance), instance))


def assign_shards(instances: Collection[str], shards: Collection[int]) -> dict[int, str]:
    """Return the instance that should hold each shard, even to within one."""
    if not instances:
        return {}
    quota, remainder = divmod(len(shards), len(instances))
    pairs = sorted(
        (
            (score(str(shard), instance), shard, instance)
            for shard in shards
            for instance in instances
        ),
        reverse=True,
    )
    assigned: dict[int, str] = {}
    counts = dict.fromkeys(instances, 0)
    for _, shard, instance in pairs:
        if shard in assigned or counts[instance] > quota:
            continue
        if counts[instance] == quota:
            if remainder == 0:
                continue
            remainder -= 1
        assigned[shard] = instance
        counts[instance] += 1
    return assigned


def wanted_shards(
    instance: str, instances: Collection[str], shards: Iterable[int]
) -> frozenset[int]:
    """Return the shards that an instance should hold."""
    assigned = assign_shards(instances, list(shards))
    return frozenset(shard for shard, holder in assigned.items() if holder == instance)


def holder_may_act(sent_ms: int, lease_ms: int, now: int, margin: int) -> bool:
    """Tell whether a lease is still held whose last successful renewal was sent at sent_ms.

    The lease runs from when the renewal was sent, not from its answer: observers may have read the
    new version as early as that. Check again after every pause and before every send; a holder that
    was paused and relies on an earlier check would work alongside its successor.
    """
    return now < sent_ms + lease_ms - margin


class LeaseView:
    """Judge another holder's lease by this process's own monotonic clock.

    Wall clocks of two machines differ, so no time that the holder wrote is used: the lease is over
    when its version has stayed the same for the lease's whole duration as observed from here.
    """

    __slots__ = ("_since", "_version")

    def __init__(self) -> None:
        self._version = 0
        self._since = 0

    def observe(self, version: int, now: int) -> None:
        """Record the lease's version as read now."""
        if version != self._version:
            self._version = version
            self._since = now

    def expired(self, lease_ms: int, now: int, margin: int) -> bool:
        """Tell whether the version has stayed the same for the whole duration of the lease."""
        return self._version > 0 and now >= self._since + lease_ms + margin
