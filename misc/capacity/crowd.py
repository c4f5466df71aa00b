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
from papayapier.peer.topology import InstanceLocation, LinkLimits, make_plan
from papayapier.settings import PeerSettings
from papayapier.store.api import ENTRY, LIVE, Member

DATA_CENTRES: Final = ("dc-a", *(f"dc-{number}" for number in range(1, 14)))
REGIONS: Final = 6
MEASURED_INSTANCE: Final = "entry-1"
CLOSED_PORT: Final = 9


def main(args: list[str]) -> None:
    """Register the peers and run those that are neighbours of the measured instance."""
    platform, peer_port, count = args[0], int(args[1]), int(args[2])
    measured_location = InstanceLocation(MEASURED_INSTANCE, DATA_CENTRES[0], _region(0))
    locations = [
        InstanceLocation(
            f"listed-{i}", DATA_CENTRES[i % len(DATA_CENTRES)], _region(i % len(DATA_CENTRES))
        )
        for i in range(count)
    ]
    cfg = PeerSettings(port=0)
    plan = make_plan(measured_location, locations, LinkLimits(cfg.full_mesh, cfg.picks, cfg.relays))
    measured = _make_member(measured_location, peer_port)
    for location in locations:
        port = CLOSED_PORT
        if location.id in plan.neighbours:
            port = _start_hub(location, cfg, measured)
        url = f"http://{platform}/instances/{location.id}"
        fleets.request("PUT", url, codec.to_json(_make_member(location, port)))
    print(codec.to_json(sorted(plan.neighbours)).decode(), flush=True)
    cast(Any, reactor).run()


def _start_hub(location: InstanceLocation, cfg: PeerSettings, measured: Member) -> int:
    """Start the hub of one neighbour and return its port."""
    identity = Identity(location.id, 1, fleets.HOST, location.data_centre, location.region)

    def heartbeat() -> Heartbeat:
        return Heartbeat(location.id, 1, "serving", 1)

    rand = random.Random(location.id)
    hub = PeerHub(cast(Any, reactor), real_clock(), cfg, identity, heartbeat, make_metrics(), rand)
    port = hub.start().unwrap()
    hub.set_members([measured])
    return port


def _make_member(location: InstanceLocation, port: int) -> Member:
    return Member(
        location.id,
        ENTRY,
        "",
        fleets.HOST,
        port,
        port,
        location.data_centre,
        location.region,
        LIVE,
        True,
    )


def _region(centre_index: int) -> str:
    """Return a data centre's region; the region of the measured instance is called local."""
    return "local" if centre_index % REGIONS == 0 else f"region-{centre_index % REGIONS}"


if __name__ == "__main__":
    main(sys.argv[1:])
