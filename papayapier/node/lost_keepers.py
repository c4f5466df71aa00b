"""Mark keepers as lost in the store after a long silence, so that starting processes know it.

Motivation: when all processes restart at once, some of the listed keepers may never return.
Until their silence is detected, all processes take them for job owners, hubs and granters of
allowances, and the work assigned to them waits or is refused.

The first hub marks them, and only while it reaches most keepers; if two processes each consider
themselves the first hub, the second write fails. A keeper that was only disconnected registers
again when it reads that it is marked as lost.
"""

from typing import Final

import msgspec
from result import Ok

from papayapier import events
from papayapier.clock import Clock
from papayapier.node.processes import NODES_PREFIX, NodeList, Role
from papayapier.peer.hub import PeerHub
from papayapier.store.api import Store

CHECK_INTERVAL_MS: Final = 1_000
# Longer than a start, including a start after a power loss.
SILENT_MS: Final = 5_000


class LostKeepers:
    """Track since when keepers are silent, and which are already marked in this silence."""

    def __init__(self) -> None:
        self._silent_since: dict[str, int] = {}
        self._marked: set[str] = set()

    def due(self, silent: frozenset[str], now: int) -> list[str]:
        """Update the set of silent keepers; return those to mark as lost."""
        self._silent_since = {keeper: self._silent_since.get(keeper, now) for keeper in silent}
        self._marked &= silent
        return sorted(
            keeper
            for keeper, since in self._silent_since.items()
            if now - since >= SILENT_MS and keeper not in self._marked
        )

    def on_marked(self, keeper: str) -> None:
        """Record that a keeper was marked as lost, by this process or another."""
        self._marked.add(keeper)


async def mark_lost_keepers(
    hub: PeerHub, clock: Clock, nodes: NodeList, store: Store, me: str
) -> None:
    """Mark lost keepers in the store for as long as this process runs."""
    lost = LostKeepers()
    while True:
        await clock.sleep(CHECK_INTERVAL_MS)
        due = lost.due(hub.silent_hub_candidates(), clock.now())
        hubs = hub.plan().hubs
        listed = nodes.with_role(Role.KEEPER)
        if (
            not due
            or not hubs
            or hubs[0] != me
            or 2 * len(listed & hub.agreed_live()) <= len(listed)
        ):
            continue
        for keeper in due:
            stored = nodes.stored(keeper)
            if stored is None:
                continue
            record, version = stored
            value = msgspec.json.encode(record._replace(lost=True))
            done = await store.update(NODES_PREFIX + keeper, value, version)
            events.emit(events.KEEPER_LOST, keeper=keeper, written=isinstance(done, Ok))
            lost.on_marked(keeper)
