"""Compute how unevenly rendezvous hashing assigns replicas, and slots, to instances.

Run as: python -m misc.slot_ownership [--instances N] [--replicas R] [--slots S]
Over many generated fleets it counts how often an instance gets no replica when whole replicas
are assigned to instances. For single slots it prints the smallest and the largest number per
instance, once with rendezvous hashing of each slot and once round robin (slot_shares.py).
"""

import argparse
from collections import Counter
from typing import Final

from papayapier.policy.ownership import owner
from papayapier.policy.slot_shares import SlotShares

FLEETS: Final = 2_000


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--replicas", type=int, default=9)
    parser.add_argument("--slots", type=int, default=32)
    args = parser.parse_args()
    left_out = 0
    without = 0
    for fleet in range(FLEETS):
        instances = [f"f{fleet}-i{i}" for i in range(args.instances)]
        owners = {owner(f"f{fleet}-r{r}", instances) for r in range(args.replicas)}
        left_out += len(owners) < args.instances
        without += args.instances - len(owners)
    print(f"whole replicas: in {left_out / FLEETS:.1%} of fleets an instance has none,")
    print(f"  {without / FLEETS / args.instances:.1%} of instances have none")
    instances = [f"i{i}" for i in range(args.instances)]
    keys = [f"r{r}" for r in range(args.replicas)]
    hashed = Counter(owner(f"{key}/{s}", instances) for key in keys for s in range(args.slots))
    print(f"slots by hashing: {min(hashed.values())} to {max(hashed.values())} per instance")
    dealt = [_dealt(instance, instances, keys, args.slots) for instance in instances]
    print(f"slots by round robin: {min(dealt)} to {max(dealt)} per instance")


def _dealt(instance: str, instances: list[str], keys: list[str], slots: int) -> int:
    shares = SlotShares(instance)
    shares.set_live(instances)
    return sum(shares.part(key, slots) for key in keys)


if __name__ == "__main__":
    main()
