"""Decide who should own a shard, and whether a lease may still be acted on."""

from collections.abc import Collection, Iterable

from papayapier.policy.rendezvous import score


def owner(shard: int | str, instances: Collection[str]) -> str:
    """Return the instance that wins rendezvous hashing for a shard."""
    return max(instances, key=lambda instance: (score(str(shard), instance), instance))


def wanted(instance: str, instances: Collection[str], shards: Iterable[int]) -> frozenset[int]:
    """Return the shards that an instance should hold."""
    return frozenset(shard for shard in shards if owner(shard, instances) == instance)


def holder_may_act(sent_ms: int, lease_ms: int, now: int, margin: int) -> bool:
    """Tell whether the holder still holds a lease whose last good renewal was sent then."""
    return now < sent_ms + lease_ms - margin


class LeaseView:
    """Judge another holder's lease by this process's own monotonic clock."""

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
