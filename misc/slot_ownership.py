"""Compute how unevenly rendezvous hashing assigns replicas, and slots, to instances.

Run as: python -m misc.slot_ownership [--instances N] [--replicas R] [--slots S]
Over many generated fleets it counts how often an instance gets no replica when whole replicas
are assigned to instances. For single slots it prints the smallest and the largest number per
instance, once with rendezvous hashing of each slot and once round robin (slot_shares.py).
"""

import argparse
from collections import Counter
from typing import Final

from papayapier.policy.ownership import rendezvous_owner
from papayapier.policy.slot_shares import SlotShares

FLEET_COUNT: Final = 2_000


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=9)
    parser.add_argument("--slots", type=int, default=32)
    args = parser.parse_args()
    incomplete_fleets = 0
    empty_instances = 0
    for fleet in range(FLEET_COUNT):
        instances = [f"f{fleet}-i{i}" for i in range(args.instances)]
        owners = {rendezvous_owner(f"f{fleet}-r{r}", instances) for r in range(args.replicas)}
        incomplete_fleets += len(owners) < args.instances
        empty_instances += args.instances - len(owners)
    print(
        f"whole replicas: in {incomplete_fleets / FLEET_COUNT:.1%} of fleets an instance has none,"
    )
    print(f"  {empty_instances / FLEET_COUNT / args.instances:.1%} of instances have none")
    instances = [f"i{i}" for i in range(args.instances)]
    replica_ids = [f"r{r}" for r in range(args.replicas)]
    hashed = Counter(
        rendezvous_owner(f"{replica_id}/{s}", instances)
        for replica_id in replica_ids
        for s in range(args.slots)
    )
    print(f"slots by hashing: {min(hashed.values())} to {max(hashed.values())} per instance")
    slot_counts = [
        _round_robin_slots(instance, instances, replica_ids, args.slots) for instance in instances
    ]
    print(f"slots by round robin: {min(slot_counts)} to {max(slot_counts)} per instance")


def _round_robin_slots(
    instance: str, instances: list[str], replica_ids: list[str], slots: int
) -> int:
    shares = SlotShares(instance)
    shares.set_live(instances)
    return sum(shares.share(replica_id, slots) for replica_id in replica_ids)


if __name__ == "__main__":
    main()
