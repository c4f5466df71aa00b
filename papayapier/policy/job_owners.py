"""Decide who may own the jobs of an upstream: who may start their items at one of its replicas.

Jobs fall to instances by their own ids and replicas' batch slots by the replicas' ids. With few
replicas an instance may share the slots of none, and a job that fell to it would never start.
"""

from collections.abc import Sequence
from functools import lru_cache
from typing import Final

from papayapier.policy.totals import first_sharers

# Upstreams with jobs, for a few sets of instances and replicas.
KEPT: Final = 64


def able_to_own(running: Sequence[str], replicas: Sequence[str]) -> Sequence[str]:
    """Return those that share a replica's batch slots, or all where there is no replica.

    running names the live instances that run batch, replicas those that may get new work.
    """
    return _able(tuple(running), tuple(replicas))


@lru_cache(KEPT)
def _able(running: tuple[str, ...], replicas: tuple[str, ...]) -> tuple[str, ...]:
    found: set[str] = set()
    for replica_id in replicas:
        found.update(first_sharers(replica_id, running))
        # Of thousands of replicas the first few hundred name everybody.
        if len(found) == len(running):
            break
    return tuple(one for one in running if one in found) or running
