"""Decide who shares a replica's batch slots, and of which replicas a hub tells the open calls.

Whoever runs batch may share a replica, a hub or not. The first sharers of a replica have a part of
its slots each and hear of its online calls at once. The others hear of them by the totals, and
run there only what could not start elsewhere. Each replica's totals are told by one hub,
which rendezvous hashing gives it to, so that the bytes of all hubs together are one row a replica
and beat, however many hubs there are.
"""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from papayapier.policy.loads import LoadBook, ReplicaUse
from papayapier.policy.rendezvous import score

# Instances that have a part of the batch slots of one replica of a large fleet, and so must know of
# its online calls at once: each of them costs a message for every change of those. Three, since one
# that owns many jobs needs more replicas than its part, and one in three may be lost.
SHARERS: Final = 3
# Of all that run batch one in so many may use a replica, so that each may use some of few replicas.
MAY_USE_ONE_IN: Final = 3
# Up to so many all share every replica; where everybody hears everybody (16 instances), a third or
# so run batch. With three of four at each of five replicas, hashing left one a single replica: of
# its 42 items it ran 6 at a time while 40 slots elsewhere were idle.
ALL_SHARE: Final = 6
# Replicas for which the sharers are kept: all of a large fleet, for a few sets of instances.
KEPT: Final = 4_096


def sharers_of(replica_id: str, running: Sequence[str]) -> Sequence[str]:
    """Return those that may run batch at a replica, of all that run batch, the first ones first."""
    return _sharers(replica_id, tuple(running))


def first_sharers(replica_id: str, running: Sequence[str]) -> Sequence[str]:
    """Return the sharers that have a part of a replica's slots and hear of its calls at once."""
    return sharers_of(replica_id, running)[: parts_among(len(running))]


def parts_among(running: int) -> int:
    """Return how many of those that run batch have a part of a replica's slots."""
    return running if running <= ALL_SHARE else SHARERS


@lru_cache(KEPT)
def _sharers(replica_id: str, running: tuple[str, ...]) -> tuple[str, ...]:
    """Rank once for each set: 13 us among 30, asked for each replica in each round."""
    most = max(parts_among(len(running)), len(running) // MAY_USE_ONE_IN)
    return tuple(sorted(running, key=lambda one: score(replica_id, one), reverse=True)[:most])


def totals_of(book: LoadBook, hubs: Sequence[str], own_id: str) -> tuple[ReplicaUse, ...]:
    """Return the totals at the replicas that are this hub's to tell of."""
    hubs = hubs if own_id in hubs else [*hubs, own_id]
    return tuple(
        ReplicaUse(replica_id, book.online_at(replica_id), book.batch_at(replica_id))
        for replica_id in book.used()
        if max(hubs, key=lambda hub: score(replica_id, hub)) == own_id
    )
