"""Decide which instances share a replica's batch slots, and which hub reports its open calls.

Any instance that runs batch jobs may share a replica, whether it is a hub or not. The first sharers
of a replica each have a share of its slots and are notified of its online calls at once. The others
know of them from the totals, and run there only items that could not start elsewhere. Each
replica's totals are reported by one hub, chosen by rendezvous hashing, so that all hubs together
send one row per replica and heartbeat, however many hubs there are.
"""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.rendezvous import score

# Instances that have a share of the batch slots of one replica of a large fleet, and so must be
# notified of its online calls at once: each of them costs a message for every change. Three, since
# an instance that owns many jobs needs more replicas than its share of them, and one in three may
# be lost.
MAX_SHARERS: Final = 3
# Of all instances that run batch, one in this many may use a replica, so that each may use some of
# a small number of replicas.
ONE_SHARER_IN: Final = 3
# Up to this many instances all share every replica; in a full mesh (16 instances), a third or so
# run batch. With three of four at each of five replicas, hashing left one instance a single
# replica: of its 42 items it ran 6 at a time while 40 slots elsewhere were idle.
ALL_SHARE_UP_TO: Final = 6
# Replicas for which the sharers are cached: all of a large fleet, for a few sets of instances.
CACHED_REPLICAS: Final = 4_096


def sharers_of(replica_id: str, running: Sequence[str]) -> Sequence[str]:
    """Return the instances that may run batch at a replica, in order of precedence."""
    return _ranked_sharers(replica_id, tuple(running))


def first_sharers(replica_id: str, running: Sequence[str]) -> Sequence[str]:
    """Return the sharers that have a share of the slots and are notified of calls at once."""
    return sharers_of(replica_id, running)[: share_count(len(running))]


def share_count(running: int) -> int:
    """Return how many of the instances that run batch have a share of a replica's slots."""
    return running if running <= ALL_SHARE_UP_TO else MAX_SHARERS


@lru_cache(CACHED_REPLICAS)
def _ranked_sharers(replica_id: str, running: tuple[str, ...]) -> tuple[str, ...]:
    """Rank the instances; cached, as ranking 30 takes 13 us for each replica in each round."""
    count = max(share_count(len(running)), len(running) // ONE_SHARER_IN)
    return tuple(
        sorted(running, key=lambda instance: score(replica_id, instance), reverse=True)[:count]
    )


def totals_to_report(
    load_tracker: LoadTracker, hubs: Sequence[str], own_id: str
) -> tuple[ReplicaUse, ...]:
    """Return the totals of the replicas that this hub reports on."""
    hubs = hubs if own_id in hubs else [*hubs, own_id]
    return tuple(
        ReplicaUse(
            replica_id, load_tracker.online_calls(replica_id), load_tracker.batch_calls(replica_id)
        )
        for replica_id in load_tracker.used_replicas()
        if max(hubs, key=lambda hub: score(replica_id, hub)) == own_id
    )
