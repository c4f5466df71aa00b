"""Decide which instances may own an upstream's jobs: those that may start items at its replicas.

Jobs are assigned to instances by the jobs' ids, and replicas' batch slots by the replicas' ids.
With few replicas an instance may share the slots of none, and a job that was assigned to it would
never start.
"""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from papayapier.policy.batch_sharers import first_sharers

# Cache size: upstreams with jobs, for a few sets of instances and replicas.
CACHED_SETS: Final = 64


def possible_owners(running: Sequence[str], replicas: Sequence[str]) -> Sequence[str]:
    """Return the instances that share a replica's batch slots, or all where there is no replica.

    running names the live instances that run batch, replicas those that may get new calls.
    """
    return _able(tuple(running), tuple(replicas))


@lru_cache(CACHED_SETS)
def _able(running: tuple[str, ...], replicas: tuple[str, ...]) -> tuple[str, ...]:
    found: set[str] = set()
    for replica_id in replicas:
        found.update(first_sharers(replica_id, running))
        # Of thousands of replicas the first few hundred name every instance.
        if len(found) == len(running):
            break
    return tuple(instance for instance in running if instance in found) or running
