"""Decide who should own a shard, and whether a lease may still be acted on.

Plain rendezvous hashing moves only the shards of an instance that goes, but is uneven: of 32
shards one of six instances has 4 and another 8. Here all pairs of shard and instance are
taken in the order of their scores, and a pair counts if the shard is free and the instance
is below its quota, the even share rounded down, or up for as many instances as the rest
needs. That is even to within one and depends only on who lives. The price is that a few more
shards move than must: when one of six goes, about two beyond its own five.
"""

from collections.abc import Collection, Iterable

from papayapier.policy.rendezvous import score


def owner(shard: int | str, instances: Collection[str]) -> str:
    """Return the instance that wins rendezvous hashing for a shard."""
    return max(instances, key=lambda instance: (score(str(shard), instance), instance))


def assign(instances: Collection[str], shards: Collection[int]) -> dict[int, str]:
    """Return the instance that should hold each shard, even to within one."""
    if not instances:
        return {}
    quota, rest = divmod(len(shards), len(instances))
    pairs = sorted(
        (
            (score(str(shard), instance), shard, instance)
            for shard in shards
            for instance in instances
        ),
        reverse=True,
    )
    found: dict[int, str] = {}
    held = dict.fromkeys(instances, 0)
    for _, shard, instance in pairs:
        if shard in found or held[instance] > quota:
            continue
        if held[instance] == quota:
            if rest == 0:
                continue
            rest -= 1
        found[shard] = instance
        held[instance] += 1
    return found


def wanted(instance: str, instances: Collection[str], shards: Iterable[int]) -> frozenset[int]:
    """Return the shards that an instance should hold."""
    found = assign(instances, list(shards))
    return frozenset(shard for shard, holder in found.items() if holder == instance)


def holder_may_act(sent_ms: int, lease_ms: int, now: int, margin: int) -> bool:
    """Tell whether the holder still holds a lease whose last good renewal was sent then.

    The lease runs from when the renewal was sent, not from its answer: observers may have
    seen the new version as early as that. Ask again after every pause and before every send;
    a holder that was paused and goes by an earlier answer works beside its successor.
    """
    return now < sent_ms + lease_ms - margin


class LeaseView:
    """Judge another holder's lease by this process's own monotonic clock.

    Wall clocks of two machines differ, so no time that the holder wrote is used: the lease
    is over when its version has stayed the same for its whole length as watched from here.
    """

    __slots__ = ("_since", "_version")

    def __init__(self) -> None:
        self._version = 0
        self._since = 0

    def observe(self, version: int, now: int) -> None:
        """Take the lease's version as read now."""
        if version != self._version:
            self._version = version
            self._since = now

    def expired(self, lease_ms: int, now: int, margin: int) -> bool:
        """Tell whether the version has stayed the same for the whole lease."""
        return self._version > 0 and now >= self._since + lease_ms + margin
