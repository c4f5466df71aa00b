"""Compare methods of propagating a change to all instances by bytes, calls and delay.

Methods that use peer links are evaluated on the real topology (papayapier.peer.topology),
gossip is simulated, and the watches are calculated. The caller provides the time of a hop,
which is processing plus network time.
"""

import random
from collections import deque
from typing import Final, NamedTuple

from papayapier.peer.topology import InstanceLocation, LinkLimits, make_plan

GOSSIP_FANOUT: Final = 4
GOSSIP_ROUND_MS: Final = 200
WATCH_WAIT_S: Final = 10.0
WATCH_BYTES: Final = 400
PLATFORM_READS_PER_S: Final = 2_000


class FleetSize(NamedTuple):
    """Hold the size of a fleet, and the size and rate of changes."""

    instances: int
    data_centres: int
    regions: int
    change_bytes: int
    changes_per_s: float


class HopTimes(NamedTuple):
    """Hold the time of one hop inside a region and between regions, processing included."""

    in_region_ms: float
    cross_region_ms: float


class MethodCost(NamedTuple):
    """Hold the cost of one propagation method; copies are per change and instance."""

    name: str
    copies: float
    bytes_per_s: float
    platform_calls_per_s: float
    delay_ms: float
    missed_share: float


def compare_methods(
    fleet: FleetSize, limits: LinkLimits, hop_times: HopTimes, store_ms: float
) -> list[MethodCost]:
    """Return the cost of every propagation method."""
    locations = _make_locations(fleet)
    links = _make_links(locations, limits)
    return [
        _direct_watches(fleet, store_ms),
        _relays_only(fleet, limits, hop_times, store_ms),
        _flood(fleet, links, locations, hop_times),
        _tree(fleet, links, locations, hop_times),
        _gossip(fleet, hop_times),
    ]


def neighbour_counts(fleet: FleetSize, limits: LinkLimits) -> tuple[float, int]:
    """Return the mean and the largest number of neighbours."""
    links = _make_links(_make_locations(fleet), limits)
    counts = [len(names) for names in links.values()]
    return sum(counts) / len(counts), max(counts)


def _make_locations(fleet: FleetSize) -> dict[str, InstanceLocation]:
    locations = {}
    for index in range(fleet.instances):
        data_centre = index % fleet.data_centres
        name = f"i{index}"
        locations[name] = InstanceLocation(
            name, f"dc-{data_centre}", f"region-{data_centre % fleet.regions}"
        )
    return locations


def _make_links(locations: dict[str, InstanceLocation], limits: LinkLimits) -> dict[str, set[str]]:
    links: dict[str, set[str]] = {name: set() for name in locations}
    for name, location in locations.items():
        others = [other for other in locations.values() if other is not location]
        for neighbour in make_plan(location, others, limits).neighbours:
            links[name].add(neighbour)
            links[neighbour].add(name)
    return links


def _direct_watches(fleet: FleetSize, store_ms: float) -> MethodCost:
    """Let every instance watch the store, read each change and start a new watch."""
    calls_per_s = fleet.instances * (1 / WATCH_WAIT_S + 2 * fleet.changes_per_s)
    size = fleet.change_bytes + 2 * WATCH_BYTES
    bytes_per_s = size * fleet.changes_per_s + WATCH_BYTES / WATCH_WAIT_S
    # The platform's rate limits its replies to the watches and the reads that follow them.
    delay = 2 * store_ms + 2 * fleet.instances * 1_000 / PLATFORM_READS_PER_S
    return MethodCost("direct watches", 1.0, bytes_per_s, calls_per_s, delay, 0.0)


def _relays_only(
    fleet: FleetSize, limits: LinkLimits, hop_times: HopTimes, store_ms: float
) -> MethodCost:
    """Let relays watch the store and send changes to all instances of their data centre."""
    relays = fleet.data_centres * limits.relays
    calls_per_s = relays * (1 / WATCH_WAIT_S + 2 * fleet.changes_per_s)
    instances_per_centre = fleet.instances / fleet.data_centres
    sent = instances_per_centre * fleet.change_bytes * fleet.changes_per_s
    return MethodCost(
        "relays, one level", 1.0, sent, calls_per_s, 2 * store_ms + hop_times.in_region_ms, 0.0
    )


def _flood(
    fleet: FleetSize,
    links: dict[str, set[str]],
    locations: dict[str, InstanceLocation],
    hop_times: HopTimes,
) -> MethodCost:
    """Forward a change on every link except the one that it arrived on."""
    copies = (sum(len(names) - 1 for names in links.values()) + 1) / fleet.instances
    return _peer_links("all links", copies, fleet, links, locations, hop_times)


def _tree(
    fleet: FleetSize,
    links: dict[str, set[str]],
    locations: dict[str, InstanceLocation],
    hop_times: HopTimes,
) -> MethodCost:
    """Forward a change on the links that were not pruned, one copy for each instance."""
    copies = (fleet.instances - 1) / fleet.instances
    return _peer_links("pruned tree (built)", copies, fleet, links, locations, hop_times)


def _peer_links(
    name: str,
    copies: float,
    fleet: FleetSize,
    links: dict[str, set[str]],
    locations: dict[str, InstanceLocation],
    hop_times: HopTimes,
) -> MethodCost:
    # Factor 2: each copy counts as sent by one instance and as received by another.
    bytes_per_s = 2 * copies * fleet.change_bytes * fleet.changes_per_s
    relays = fleet.data_centres * 2
    calls_per_s = relays * (1 / WATCH_WAIT_S + 2 * fleet.changes_per_s)
    reached = _arrival_times(links, locations, hop_times, next(iter(links)))
    missed = 1 - len(reached) / fleet.instances
    return MethodCost(name, copies, bytes_per_s, calls_per_s, max(reached.values()), missed)


def _arrival_times(
    links: dict[str, set[str]],
    locations: dict[str, InstanceLocation],
    hop_times: HopTimes,
    origin: str,
) -> dict[str, float]:
    """Return the time at which each instance first receives the change."""
    arrivals_ms = {origin: 0.0}
    pending = deque([origin])
    while pending:
        name = pending.popleft()
        for neighbour in sorted(links[name]):
            same_region = locations[name].region == locations[neighbour].region
            arrival_ms = arrivals_ms[name] + (
                hop_times.in_region_ms if same_region else hop_times.cross_region_ms
            )
            if arrival_ms < arrivals_ms.get(neighbour, float("inf")):
                arrivals_ms[neighbour] = arrival_ms
                pending.append(neighbour)
    return arrivals_ms


def _gossip(fleet: FleetSize, hop_times: HopTimes) -> MethodCost:
    """Let each instance send a change once, to a few random others, a round after it arrives."""
    rng = random.Random(1)
    reached = {0}
    senders = {0}
    rounds = 0
    copies = 0
    while senders:
        receivers = set()
        for _ in senders:
            receivers.update(rng.sample(range(fleet.instances), GOSSIP_FANOUT))
            copies += GOSSIP_FANOUT
        senders = receivers - reached
        reached |= receivers
        rounds += 1
    per_instance = copies / fleet.instances
    bytes_per_s = 2 * per_instance * fleet.change_bytes * fleet.changes_per_s
    delay = rounds * (GOSSIP_ROUND_MS / 2 + hop_times.cross_region_ms)
    missed = 1 - len(reached) / fleet.instances
    return MethodCost(
        f"gossip, fanout {GOSSIP_FANOUT}", per_instance, bytes_per_s, 0.0, delay, missed
    )
