"""Decide with which peers an instance exchanges heartbeats and pushes.

A small site is a full mesh: every instance has a link to every other one. A large site cannot
be one, because heartbeats would cost each instance bytes in proportion to the fleet. So
beyond a bound:

- Inside a data centre each instance picks a few others by rendezvous hashing and keeps a
  link to those and to the instances that picked it. Each picks on its own from the instance
  list, so no agreement is needed, and a join or loss changes only a few links. A random graph
  in which each node picks at least three others is connected with high probability.
- A few relays per data centre, also chosen by rendezvous hashing, are linked with the relays
  of equal rank in the data centres of their region; and for each rank one data centre of a
  region is its gateway to the other regions. The relays of each rank form a separate plane, so
  that two planes have no relay and mostly no gateway in common.

- A few hubs, if instances may be hubs, are linked with everybody. They receive every open call,
  place online calls and send the totals (policy/loads.py). Many instances may be hubs, and what
  each instance exchanges with hubs must not grow with the fleet, so a bounded number is chosen by
  rendezvous hashing. A silent hub is left out, and the next one takes its place; where views
  differ for a moment, the only effect is that two instances place calls independently. Hubs
  forward what they receive, so that nobody else needs a link: with links inside data centres too,
  an entry among 195 instances had eleven links in place of five.

The relays also watch the platform's store for their data centre and notify the others.
docs/CAPACITY.md compares this with direct watches and with gossip.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from papayapier.policy.rendezvous import score

# With one hub lost and one cut off, three still share the placement of online calls and watch the
# store for all. With 30 hubs among 195 instances, nine of ten messages were heartbeats to and
# from hubs: 117 per second and entry by the heartbeat intervals, and an entry uses 0.041 of a core
# in all.
MAX_HUBS: Final = 5
HUB_KEY: Final = "hub"
RELAY_KEY: Final = "relay"
GATEWAY_KEY: Final = "gateway"


class InstanceLocation(NamedTuple):
    """Describe where an instance runs, and whether it may be a hub."""

    id: str
    data_centre: str
    region: str
    hub: bool = False


class LinkLimits(NamedTuple):
    """Bound the links of an instance."""

    full_mesh: int
    picks: int
    relays: int


class LinkPlan(NamedTuple):
    """Hold the neighbours that an instance picks, whether it is a relay, and the chosen hubs."""

    neighbours: frozenset[str]
    relay: bool
    full_mesh: bool
    hubs: tuple[str, ...] = ()


def make_plan(
    me: InstanceLocation,
    others: Sequence[InstanceLocation],
    limits: LinkLimits,
    silent: Collection[str] = (),
) -> LinkPlan:
    """Pick the neighbours of an instance among all listed; silent instances are not hubs."""
    hubs = choose_hubs([me, *(location for location in others if location.id not in silent)])
    if len(others) < limits.full_mesh:
        return LinkPlan(frozenset(location.id for location in others), True, True, hubs)
    if hubs:
        everybody = frozenset(location.id for location in others)
        return LinkPlan(everybody if me.id in hubs else frozenset(hubs), False, False, hubs)
    centres = _by_data_centre([me, *others])
    local = [location.id for location in centres[me.data_centre] if location.id != me.id]
    rank = _rank(me, centres[me.data_centre], limits.relays)
    picked = set(_local_picks(me.id, local, limits))
    if rank is not None:
        picked |= _relay_links(me, rank, centres)
    return LinkPlan(frozenset(picked), rank is not None, False)


def choose_hubs(locations: Sequence[InstanceLocation]) -> tuple[str, ...]:
    """Choose the hubs among the instances that may be hubs.

    The hubs are in as many different data centres as possible.
    """
    centres = _by_data_centre(location for location in locations if location.hub)
    ranked = [
        (rank, -score(HUB_KEY, name), name)
        for centre in centres.values()
        for rank, name in enumerate(_top(HUB_KEY, [location.id for location in centre], MAX_HUBS))
    ]
    return tuple(name for _, _, name in sorted(ranked)[:MAX_HUBS])


def relays(data_centre: str, ids: Collection[str], count: int) -> list[str]:
    """Return the relays of a data centre, by rank."""
    return _top(f"{RELAY_KEY}/{data_centre}", ids, count)


def _local_picks(own_id: str, local: Sequence[str], limits: LinkLimits) -> Iterable[str]:
    if len(local) < limits.full_mesh:
        return local
    return _top(own_id, local, limits.picks)


def _relay_links(
    me: InstanceLocation, rank: int, centres: Mapping[str, Sequence[InstanceLocation]]
) -> set[str]:
    """Return the relays of the same rank in other data centres that a relay is linked with."""
    regions = defaultdict(set)
    for centre, locations in centres.items():
        regions[locations[0].region].add(centre)
    targets = set(regions[me.region])
    gateways = {region: _gateway(region, rank, names) for region, names in regions.items()}
    if gateways[me.region] == me.data_centre:
        targets |= set(gateways.values())
    targets.discard(me.data_centre)
    return {_relay_of(centre, rank, centres[centre]) for centre in targets}


def _gateway(region: str, rank: int, centres: Collection[str]) -> str:
    return _top(f"{GATEWAY_KEY}/{rank}/{region}", centres, 1)[0]


def _relay_of(centre: str, rank: int, locations: Sequence[InstanceLocation]) -> str:
    """Return the relay of a rank; with too few instances the last one serves the rank too."""
    ranked = relays(centre, [location.id for location in locations], rank + 1)
    return ranked[-1]


def _rank(me: InstanceLocation, locations: Sequence[InstanceLocation], count: int) -> int | None:
    ranked = relays(me.data_centre, [location.id for location in locations], count)
    return ranked.index(me.id) if me.id in ranked else None


def _by_data_centre(locations: Iterable[InstanceLocation]) -> dict[str, list[InstanceLocation]]:
    centres: dict[str, list[InstanceLocation]] = defaultdict(list)
    for location in locations:
        centres[location.data_centre].append(location)
    return centres


def _top(key: str, members: Iterable[str], count: int) -> list[str]:
    return sorted(members, key=lambda name: (-score(key, name), name))[:count]
