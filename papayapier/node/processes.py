"""Let the processes of one deployment find each other through the platform's store.

Each writes one object about itself at its start. Objects of processes that are gone for good
stay; they cost a silent peer and nothing else, because who lives is told by heartbeats.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok

from papayapier import events
from papayapier.clock import Clock
from papayapier.store.api import ENTRY, LIVE, Change, Member, Store, StoreError
from papayapier.store.watch import Pauses

NODES: Final = "papayapier-nodes/"
ANY_VERSION: Final = 0
NOBODY: Final[frozenset[str]] = frozenset()


class Role(Enum):
    """Name what a process does."""

    ENTRY = "entry"
    KEEPER = "keeper"


class NodeRecord(NamedTuple):
    """Hold what a process says of itself."""

    role: Role
    host: str
    peer_port: int
    data_centre: str
    region: str


_RECORD: Final = msgspec.json.Decoder(NodeRecord)


class NodeList:
    """Hold the processes that have written themselves down."""

    def __init__(
        self,
        changed: Callable[[list[Member]], None],
        soon: Callable[[Callable[[], None]], object] = lambda call: call(),
    ) -> None:
        """Make an empty list; soon makes a call after what is under way.

        A listing tells its objects one by one, and each look at all of them costs time in
        proportion to the fleet: with 195 processes half a second of every start.
        """
        self._changed = changed
        self._soon = soon
        self._telling = False
        self._nodes: dict[str, NodeRecord] = {}
        # Asked for with each message of a peer, so kept ready.
        self._by_role: dict[Role, frozenset[str]] = {}

    def on_change(self, change: Change) -> None:
        """Take a change of one object."""
        node_id = change.key.removeprefix(NODES)
        if change.deleted:
            self._nodes.pop(node_id, None)
        else:
            try:
                record = _RECORD.decode(change.value)
            except msgspec.MsgspecError as exc:
                events.emit(events.STORE_ODD_ANSWER, call=change.key, reason=str(exc))
                return
            if self._nodes.get(node_id) == record:
                # A process that has started again says the same of itself.
                return
            self._nodes[node_id] = record
        for role in Role:
            ids = (key for key, record in self._nodes.items() if record.role is role)
            self._by_role[role] = frozenset(ids)
        if not self._telling:
            self._telling = True
            self._soon(self._tell)

    def _tell(self) -> None:
        self._telling = False
        self._changed(self.members())

    def members(self) -> list[Member]:
        """Return the processes as peers."""
        return [_member(node_id, record) for node_id, record in self._nodes.items()]

    def with_role(self, role: Role) -> frozenset[str]:
        """Return the ids of the processes that have a role."""
        return self._by_role.get(role, NOBODY)


def _member(node_id: str, record: NodeRecord) -> Member:
    return Member(
        id=node_id,
        kind=ENTRY,
        upstream="",
        host=record.host,
        port=0,
        peer_port=record.peer_port,
        data_centre=record.data_centre,
        region=record.region,
        state=LIVE,
        hub=record.role is Role.KEEPER,
    )


async def write_down(
    store: Store, clock: Clock, rand: random.Random, node_id: str, record: NodeRecord
) -> None:
    """Write this process's object, however long the store is away."""
    value = msgspec.json.encode(record)
    pauses = Pauses(rand)
    while True:
        done = await store.create(NODES + node_id, value)
        if done == Err(StoreError.CONFLICT):
            done = await store.update(NODES + node_id, value, ANY_VERSION)
        if isinstance(done, Ok):
            return
        await clock.sleep(pauses.next_ms())
