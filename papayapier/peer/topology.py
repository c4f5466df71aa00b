"""Decide with whom an instance exchanges heartbeats and pushes.

A small site is a full mesh: every instance hears every other one directly. A large one
cannot be, because heartbeats then cost each instance bytes in proportion to the fleet. So
beyond a bound:

- Inside a data centre each instance picks a few others by rendezvous hashing and keeps a
  link to those and to whoever picked it. Each picks on its own from the instance list, so no
  agreement is needed, and a join or loss changes only a few links. A random graph in which
  everybody picks at least three is connected with high probability.
- A few relays per data centre, again the winners of rendezvous hashing, are linked with the
  relays of equal rank in the data centres of their region; and for each rank one data centre
  of a region is its gateway to the other regions. A rank is a plane of its own, so that two
  planes have no relay and mostly no gateway in common.

- A few hubs, where there are any, are linked with everybody. They hear of every open call, place
  online calls and tell the totals (policy/loads.py). Instances that may be hubs are many, and
  what each instance exchanges with hubs must not grow with the fleet, so a bounded number is
  chosen by rendezvous hashing. One that is not heard is left out, and the next takes its place;
  where views differ for a moment, two instances place by themselves and nothing else. What the
  hubs hear they pass on, so that nobody else needs a link: with links inside data centres too, an
  entry among 195 instances had eleven in place of five.

The relays also watch the platform's store for their data centre; the others hear from them.
docs/CAPACITY.md compares this with direct watches and with gossip.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from papayapier.policy.rendezvous import score

# One may be lost and one cut off, and three still share the placing of online calls and watch the
# store for all. With 30 hubs among 195 instances, nine of ten messages were heartbeats to and
# from them: 117 a second an entry by count of paces, where it takes 0.041 of a core in all.
HUBS: Final = 5
HUB_KEY: Final = "hub"
RELAY_KEY: Final = "relay"
GATEWAY_KEY: Final = "gateway"


class Place(NamedTuple):
    """Say where an instance runs, and whether it may be a hub."""

    id: str
    data_centre: str
    region: str
    hub: bool = False


class Limits(NamedTuple):
    """Bound the links of an instance."""

    full_mesh: int
    picks: int
    relays: int


class Plan(NamedTuple):
    """Hold the neighbours that an instance picks, whether it is a relay, and who the hubs are."""

    neighbours: frozenset[str]
    relay: bool
    full_mesh: bool
    hubs: tuple[str, ...] = ()


def make_plan(
    me: Place, others: Sequence[Place], limits: Limits, silent: Collection[str] = ()
) -> Plan:
    """Pick the neighbours of an instance among all listed ones; silent ones are no hubs."""
    hubs = choose_hubs([me, *(place for place in others if place.id not in silent)])
    if len(others) < limits.full_mesh:
        return Plan(frozenset(place.id for place in others), True, True, hubs)
    if hubs:
        everybody = frozenset(place.id for place in others)
        return Plan(everybody if me.id in hubs else frozenset(hubs), False, False, hubs)
    centres = _by_data_centre([me, *others])
    near = [place.id for place in centres[me.data_centre] if place.id != me.id]
    rank = _rank(me, centres[me.data_centre], limits.relays)
    picked = set(_near_picks(me.id, near, limits))
    if rank is not None:
        picked |= _relay_links(me, rank, centres)
    return Plan(frozenset(picked), rank is not None, False)


def choose_hubs(places: Sequence[Place]) -> tuple[str, ...]:
    """Choose the hubs among the instances that may be one, in as many data centres as there are."""
    centres = _by_data_centre(place for place in places if place.hub)
    ranked = [
        (rank, -score(HUB_KEY, name), name)
        for centre in centres.values()
        for rank, name in enumerate(_top(HUB_KEY, [place.id for place in centre], HUBS))
    ]
    return tuple(name for _, _, name in sorted(ranked)[:HUBS])


def relays(data_centre: str, ids: Collection[str], count: int) -> list[str]:
    """Return the relays of a data centre, by rank."""
    return _top(f"{RELAY_KEY}/{data_centre}", ids, count)


def _near_picks(own_id: str, near: Sequence[str], limits: Limits) -> Iterable[str]:
    if len(near) < limits.full_mesh:
        return near
    return _top(own_id, near, limits.picks)


def _relay_links(me: Place, rank: int, centres: Mapping[str, Sequence[Place]]) -> set[str]:
    """Return the relays of the same rank elsewhere that a relay is linked with."""
    regions = defaultdict(set)
    for centre, places in centres.items():
        regions[places[0].region].add(centre)
    targets = set(regions[me.region])
    gateways = {region: _gateway(region, rank, names) for region, names in regions.items()}
    if gateways[me.region] == me.data_centre:
        targets |= set(gateways.values())
    targets.discard(me.data_centre)
    return {_relay_of(centre, rank, centres[centre]) for centre in targets}


def _gateway(region: str, rank: int, centres: Collection[str]) -> str:
    return _top(f"{GATEWAY_KEY}/{rank}/{region}", centres, 1)[0]


def _relay_of(centre: str, rank: int, places: Sequence[Place]) -> str:
    """Return the relay of a rank; a data centre with fewer instances lends its last one."""
    ranked = relays(centre, [place.id for place in places], rank + 1)
    return ranked[-1]


def _rank(me: Place, places: Sequence[Place], count: int) -> int | None:
    ranked = relays(me.data_centre, [place.id for place in places], count)
    return ranked.index(me.id) if me.id in ranked else None


def _by_data_centre(places: Iterable[Place]) -> dict[str, list[Place]]:
    centres: dict[str, list[Place]] = defaultdict(list)
    for place in places:
        centres[place.data_centre].append(place)
    return centres


def _top(key: str, members: Iterable[str], count: int) -> list[str]:
    return sorted(members, key=lambda name: (-score(key, name), name))[:count]
