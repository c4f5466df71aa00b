"""Write down which keepers have been silent for long, so that whoever starts knows it.

The load this answers: all processes start again at once, and some of the listed keepers are gone
for good. Until they are missed everybody takes these for owners of jobs, hubs, and granters of
allowances, and whatever falls to them waits or is refused.

The first hub does it, where it hears most keepers; with two that believe to be the first the
second write fails. A keeper that is only cut off writes that it is there when it reads of itself.
"""

from typing import Final

import msgspec
from result import Ok

from papayapier import events
from papayapier.clock import Clock
from papayapier.node.processes import NODES, NodeList, Role
from papayapier.peer.hub import PeerHub
from papayapier.store.api import Store

LOOK_MS: Final = 1_000
# Longer than a start takes, also one after a loss of power.
SILENT_MS: Final = 5_000


class LostKeepers:
    """Hold since when keepers are silent, and which of them were written down in this silence."""

    def __init__(self) -> None:
        self._since: dict[str, int] = {}
        self._written: set[str] = set()

    def due(self, silent: frozenset[str], now: int) -> list[str]:
        """Take who is silent now; return whom to write down."""
        self._since = {one: self._since.get(one, now) for one in silent}
        self._written &= silent
        return sorted(
            one
            for one, since in self._since.items()
            if now - since >= SILENT_MS and one not in self._written
        )

    def on_written(self, keeper: str) -> None:
        """Take that one was written down, by whomever."""
        self._written.add(keeper)


async def write_lost_down(
    hub: PeerHub, clock: Clock, nodes: NodeList, store: Store, me: str
) -> None:
    """Write lost keepers down for as long as this process lives."""
    lost = LostKeepers()
    while True:
        await clock.sleep(LOOK_MS)
        due = lost.due(hub.lost_hubs(), clock.now())
        hubs = hub.plan().hubs
        listed = nodes.with_role(Role.KEEPER)
        if not due or not hubs or hubs[0] != me or 2 * len(listed & hub.vouched()) <= len(listed):
            continue
        for keeper in due:
            stored = nodes.stored(keeper)
            if stored is None:
                continue
            record, version = stored
            value = msgspec.json.encode(record._replace(lost=True))
            done = await store.update(NODES + keeper, value, version)
            events.emit(events.KEEPER_LOST, keeper=keeper, written=isinstance(done, Ok))
            lost.on_written(keeper)
