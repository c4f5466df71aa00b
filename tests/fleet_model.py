"""Simulate the rosters of all instances of a fleet in one process, without sockets.

Frames arrive at once, unless one end is lost or the two are partitioned from each other.
"""

from collections.abc import Iterable
from typing import Final
from zlib import crc32

from papayapier.clock import Millis
from papayapier.peer.messages import Heartbeat, Hello
from papayapier.peer.peer_state import Redial, Step
from papayapier.peer.roster import Roster
from papayapier.peer.topology import InstanceLocation, LinkLimits
from papayapier.store.api import ENTRY, LIVE, Member

LIMITS: Final = LinkLimits(full_mesh=16, picks=3, relays=2)
SILENT_AFTER_MS: Final = 2_000
STEP_MS: Final = 200
ENTRY_MS: Final = 1_000
KEEPER_MS: Final = 400
HUB_MS: Final = 500
CENTRES: Final = 5


class Model:
    """Hold the running instances; all of them have the same list."""

    def __init__(self, entries: int, keepers: int) -> None:
        self.now = Millis(0)
        self.members = [_member(f"entry-{n}", n, False) for n in range(entries)]
        self.members += [_member(f"keeper-{n}", n, True) for n in range(keepers)]
        self._places = {
            listed.id: InstanceLocation(listed.id, listed.data_centre, listed.region, listed.hub)
            for listed in self.members
        }
        self.rosters: dict[str, Roster] = {}
        self.boots: dict[str, int] = {}
        self.sent: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self._next_heartbeat_ms: dict[str, int] = {}
        for member in self.members:
            self.start(member.id)
        for member in self.members:
            self.list_to(member.id)

    def start(self, name: str) -> None:
        """Start an instance that knows no others."""
        self.rosters[name] = Roster(self._places[name], LIMITS, SILENT_AFTER_MS)
        self.boots[name] = self.boots.get(name, 0) + 1
        self.sent[name] = 0
        self._next_heartbeat_ms[name] = self.now + crc32(name.encode()) % ENTRY_MS

    def list_to(self, name: str, count: int | None = None) -> None:
        """Let an instance read the list, or its first part."""
        self._do(name, self.rosters[name].set_members(self.members[:count], self.now))

    def lose(self, names: Iterable[str]) -> None:
        """End instances without notification."""
        for name in names:
            del self.rosters[name]

    def run(self, ms: int) -> None:
        """Let time pass."""
        for _ in range(ms // STEP_MS):
            self.now = Millis(self.now + STEP_MS)
            for name in list(self.rosters):
                if self._next_heartbeat_ms[name] <= self.now:
                    self._send_heartbeats(name)
                self._do(name, self.rosters[name].tick(self.now))

    def hubs(self, name: str) -> tuple[str, ...]:
        """Return the hubs in an instance's view."""
        return self.rosters[name].plan().hubs

    def links(self, name: str) -> int:
        """Return with how many peers an instance exchanges heartbeats."""
        return sum(view.neighbour for view in self.rosters[name].views(self.now))

    def _send_heartbeats(self, name: str) -> None:
        interval_ms = self._heartbeat_ms(name)
        self._next_heartbeat_ms[name] = self.now + interval_ms
        for view in self.rosters[name].views(self.now):
            if view.neighbour:
                self.sent[name] += 1
                self._deliver_heartbeat(name, view.id)

    def _deliver_heartbeat(self, name: str, target: str) -> None:
        if self._reaches(name, target):
            roster = self.rosters[name]
            hub = not roster.plan().full_mesh and name in roster.plan().hubs
            heartbeat = Heartbeat(
                name,
                self.boots[name],
                "draining" if name in self.leaving else LIVE,
                0,
                unreachable=roster.unreachable(self.now),
                interval_ms=self._heartbeat_ms(name),
                unavailable=roster.unavailable(self.now) if hub else (),
                picked=roster.picks(target),
            )
            self._do(target, self.rosters[target].on_heartbeat(name, heartbeat, self.now))

    def _do(self, name: str, steps: Iterable[Step]) -> None:
        for step in steps:
            if isinstance(step, Redial) and self._reaches(name, step.peer_id):
                place = self._places[name]
                picked = self.rosters[name].picks(step.peer_id)
                hello = Hello(
                    name,
                    self.boots[name],
                    "h",
                    1,
                    place.data_centre,
                    place.region,
                    picked,
                    place.hub,
                )
                self._do(step.peer_id, self.rosters[step.peer_id].on_hello(hello, self.now))
                self._deliver_heartbeat(name, step.peer_id)

    def _reaches(self, name: str, target: str) -> bool:
        return name in self.rosters and target in self.rosters and {name, target} not in self.cut

    def _heartbeat_ms(self, name: str) -> int:
        if name.startswith("entry"):
            return ENTRY_MS
        return HUB_MS if name in self.rosters[name].plan().hubs else KEEPER_MS


def _member(name: str, number: int, hub: bool) -> Member:
    return Member(
        id=name,
        kind=ENTRY,
        upstream="",
        host="h",
        port=0,
        peer_port=1,
        data_centre=f"dc-{number % CENTRES}",
        region="r",
        state=LIVE,
        hub=hub,
    )
