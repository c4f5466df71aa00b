"""Compare methods of propagating a change to all instances by bytes, calls and delay.

Methods that use peer links are evaluated on the real topology (papayapier.peer.topology),
gossip is simulated, and the watches are calculated. The caller provides the time of a hop,
which is processing plus network time.
"""

import random
from collections import deque
from typing import Final, NamedTuple

from papayapier.peer.topology import Limits, Place, make_plan

GOSSIP_FANOUT: Final = 4
GOSSIP_ROUND_MS: Final = 200
WATCH_WAIT_S: Final = 10.0
WATCH_BYTES: Final = 400
PLATFORM_READS_PER_S: Final = 2_000


class Sizes(NamedTuple):
    """Hold the size of a fleet, and the size and rate of changes."""

    instances: int
    data_centres: int
    regions: int
    change_bytes: int
    changes_per_s: float


class Hops(NamedTuple):
    """Hold the time of one hop inside a region and between regions, processing included."""

    near_ms: float
    far_ms: float


class Way(NamedTuple):
    """Hold the cost of one propagation method; copies are per change and instance."""

    name: str
    copies: float
    bytes_per_s: float
    platform_calls_per_s: float
    delay_ms: float
    missed_share: float


def compare(sizes: Sizes, limits: Limits, hops: Hops, store_ms: float) -> list[Way]:
    """Return the cost of every propagation method."""
    places = _places(sizes)
    links = _links(places, limits)
    return [
        _direct(sizes, store_ms),
        _relays_only(sizes, limits, hops, store_ms),
        _flood(sizes, links, places, hops),
        _tree(sizes, links, places, hops),
        _gossip(sizes, hops),
    ]


def degrees(sizes: Sizes, limits: Limits) -> tuple[float, int]:
    """Return the mean and the largest number of neighbours."""
    links = _links(_places(sizes), limits)
    counts = [len(names) for names in links.values()]
    return sum(counts) / len(counts), max(counts)


def _places(sizes: Sizes) -> dict[str, Place]:
    found = {}
    for index in range(sizes.instances):
        centre = index % sizes.data_centres
        name = f"i{index}"
        found[name] = Place(name, f"dc-{centre}", f"region-{centre % sizes.regions}")
    return found


def _links(places: dict[str, Place], limits: Limits) -> dict[str, set[str]]:
    links: dict[str, set[str]] = {name: set() for name in places}
    for name, place in places.items():
        others = [other for other in places.values() if other is not place]
        for neighbour in make_plan(place, others, limits).neighbours:
            links[name].add(neighbour)
            links[neighbour].add(name)
    return links


def _direct(sizes: Sizes, store_ms: float) -> Way:
    """Let every instance watch the store, read each change and start a new watch."""
    calls = sizes.instances * (1 / WATCH_WAIT_S + 2 * sizes.changes_per_s)
    size = sizes.change_bytes + 2 * WATCH_BYTES
    each = size * sizes.changes_per_s + WATCH_BYTES / WATCH_WAIT_S
    # The platform's rate limits its replies to the watches and the reads that follow them.
    delay = 2 * store_ms + 2 * sizes.instances * 1_000 / PLATFORM_READS_PER_S
    return Way("direct watches", 1.0, each, calls, delay, 0.0)


def _relays_only(sizes: Sizes, limits: Limits, hops: Hops, store_ms: float) -> Way:
    """Let relays watch the store and send changes to all instances of their data centre."""
    relays = sizes.data_centres * limits.relays
    calls = relays * (1 / WATCH_WAIT_S + 2 * sizes.changes_per_s)
    each = sizes.instances / sizes.data_centres
    sent = each * sizes.change_bytes * sizes.changes_per_s
    return Way("relays, one level", 1.0, sent, calls, 2 * store_ms + hops.near_ms, 0.0)


def _flood(sizes: Sizes, links: dict[str, set[str]], places: dict[str, Place], hops: Hops) -> Way:
    """Forward a change on every link except the one that it arrived on."""
    copies = (sum(len(names) - 1 for names in links.values()) + 1) / sizes.instances
    return _peers("all links", copies, sizes, links, places, hops)


def _tree(sizes: Sizes, links: dict[str, set[str]], places: dict[str, Place], hops: Hops) -> Way:
    """Forward a change on the links that were not pruned, one copy for each instance."""
    copies = (sizes.instances - 1) / sizes.instances
    return _peers("pruned tree (built)", copies, sizes, links, places, hops)


def _peers(
    name: str,
    copies: float,
    sizes: Sizes,
    links: dict[str, set[str]],
    places: dict[str, Place],
    hops: Hops,
) -> Way:
    # Factor 2: each copy counts as sent by one instance and as received by another.
    each = 2 * copies * sizes.change_bytes * sizes.changes_per_s
    relays = sizes.data_centres * 2
    calls = relays * (1 / WATCH_WAIT_S + 2 * sizes.changes_per_s)
    reached = _delays(links, places, hops, next(iter(links)))
    missed = 1 - len(reached) / sizes.instances
    return Way(name, copies, each, calls, max(reached.values()), missed)


def _delays(
    links: dict[str, set[str]], places: dict[str, Place], hops: Hops, origin: str
) -> dict[str, float]:
    """Return the time at which each instance first receives the change."""
    at = {origin: 0.0}
    waiting = deque([origin])
    while waiting:
        name = waiting.popleft()
        for neighbour in sorted(links[name]):
            same = places[name].region == places[neighbour].region
            when = at[name] + (hops.near_ms if same else hops.far_ms)
            if when < at.get(neighbour, float("inf")):
                at[neighbour] = when
                waiting.append(neighbour)
    return at


def _gossip(sizes: Sizes, hops: Hops) -> Way:
    """Let each instance send a change once, to a few random others, a round after it arrives."""
    rng = random.Random(1)
    known = {0}
    fresh = {0}
    rounds = 0
    copies = 0
    while fresh:
        told = set()
        for _ in fresh:
            told.update(rng.sample(range(sizes.instances), GOSSIP_FANOUT))
            copies += GOSSIP_FANOUT
        fresh = told - known
        known |= told
        rounds += 1
    per_instance = copies / sizes.instances
    each = 2 * per_instance * sizes.change_bytes * sizes.changes_per_s
    delay = rounds * (GOSSIP_ROUND_MS / 2 + hops.far_ms)
    missed = 1 - len(known) / sizes.instances
    return Way(f"gossip, fanout {GOSSIP_FANOUT}", per_instance, each, 0.0, delay, missed)
