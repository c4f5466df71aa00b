"""Run the neighbours of one measured instance as peers in one process.

    python -m misc.capacity.crowd HOST:PORT PEER_PORT NUMBER

Registers NUMBER instances with the platform at HOST:PORT, in as many data centres and regions
as at the target size, as peers of the instance entry-1 in data centre dc-a, whose peer port is
PEER_PORT. Only the instances that it picks as neighbours run, each with its own hub; the others
exist in the list only, since no instance connects to them.
"""

import random
import sys
from typing import Any, Final, cast

from twisted.internet import reactor

from misc.capacity import fleets
from papayapier import codec
from papayapier.clock import real_clock
from papayapier.metrics import make_metrics
from papayapier.peer.hub import Identity, PeerHub
from papayapier.peer.messages import Heartbeat
from papayapier.peer.topology import Limits, Place, make_plan
from papayapier.settings import PeerSettings
from papayapier.store.api import ENTRY, LIVE, Member

CENTRES: Final = ("dc-a", *(f"dc-{number}" for number in range(1, 14)))
REGIONS: Final = 6
SUBJECT: Final = "entry-1"
DEAD_PORT: Final = 9


def main(args: list[str]) -> None:
    """Register the peers and run those that are neighbours of the measured instance."""
    platform, peer_port, number = args[0], int(args[1]), int(args[2])
    me = Place(SUBJECT, CENTRES[0], _region(0))
    places = [
        Place(f"listed-{i}", CENTRES[i % len(CENTRES)], _region(i % len(CENTRES)))
        for i in range(number)
    ]
    cfg = PeerSettings(port=0)
    plan = make_plan(me, places, Limits(cfg.full_mesh, cfg.picks, cfg.relays))
    subject = _member(me, peer_port)
    for place in places:
        port = DEAD_PORT
        if place.id in plan.neighbours:
            port = _start(place, cfg, subject)
        url = f"http://{platform}/instances/{place.id}"
        fleets.request("PUT", url, codec.to_json(_member(place, port)))
    print(codec.to_json(sorted(plan.neighbours)).decode(), flush=True)
    cast(Any, reactor).run()


def _start(place: Place, cfg: PeerSettings, subject: Member) -> int:
    """Start the hub of one neighbour and return its port."""
    me = Identity(place.id, 1, fleets.HOST, place.data_centre, place.region)

    def heartbeat() -> Heartbeat:
        return Heartbeat(place.id, 1, "serving", 1)

    rand = random.Random(place.id)
    hub = PeerHub(cast(Any, reactor), real_clock(), cfg, me, heartbeat, make_metrics(), rand)
    port = hub.start().unwrap()
    hub.set_members([subject])
    return port


def _member(place: Place, port: int) -> Member:
    return Member(
        place.id, ENTRY, "", fleets.HOST, port, port, place.data_centre, place.region, LIVE, True
    )


def _region(centre: int) -> str:
    """Return a data centre's region; the region of the measured instance is called local."""
    return "local" if centre % REGIONS == 0 else f"region-{centre % REGIONS}"


if __name__ == "__main__":
    main(sys.argv[1:])
