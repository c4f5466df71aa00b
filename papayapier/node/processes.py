"""Let the processes of one deployment find each other through the platform's store.

Each writes one object about itself at its start. Who lives is told by heartbeats; but whoever
starts has heard nobody yet, and would take keepers that are gone for good for owners, hubs and
granters until it has missed them. So one of the keepers writes down who has been silent for long;
whoever finds itself written down as lost writes that it is there.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok

from papayapier import events
from papayapier.clock import Clock
from papayapier.store.api import ENTRY, LIVE, LOST, Change, Member, Store, StoreError
from papayapier.store.watch import Pauses

NODES: Final = "papayapier-nodes/"
ANY_VERSION: Final = 0
# The list is there within some ms of a start where the store answers.
LISTED_MS: Final = 300
LOOK_MS: Final = 10
NOBODY: Final[frozenset[str]] = frozenset()


class Role(Enum):
    """Name what a process does."""

    ENTRY = "entry"
    KEEPER = "keeper"


class NodeRecord(NamedTuple):
    """Hold what a process says of itself; lost is what others say of it."""

    role: Role
    host: str
    peer_port: int
    data_centre: str
    region: str
    lost: bool = False


_RECORD: Final = msgspec.json.Decoder(NodeRecord)


class NodeList:
    """Hold the processes that have written themselves down."""

    def __init__(
        self,
        changed: Callable[[list[Member]], None],
        soon: Callable[[Callable[[], None]], object] = lambda call: call(),
        me: str = "",
        on_lost: Callable[[], object] = lambda: None,
    ) -> None:
        """Make an empty list; soon makes a call after what is under way.

        on_lost is told when this process itself is written down as lost.

        A listing tells its objects one by one, and each look at all of them costs time in
        proportion to the fleet: with 195 processes half a second of every start.
        """
        self._changed = changed
        self._soon = soon
        self._telling = False
        self._me = me
        self._on_lost = on_lost
        self._nodes: dict[str, NodeRecord] = {}
        self._versions: dict[str, int] = {}
        # Asked for with each message of a peer, so kept ready.
        self._by_role: dict[Role, frozenset[str]] = {}

    def on_change(self, change: Change) -> None:
        """Take a change of one object."""
        node_id = change.key.removeprefix(NODES)
        if change.deleted:
            self._nodes.pop(node_id, None)
            self._versions.pop(node_id, None)
        else:
            try:
                record = _RECORD.decode(change.value)
            except msgspec.MsgspecError as exc:
                events.emit(events.STORE_ODD_ANSWER, call=change.key, reason=str(exc))
                return
            self._versions[node_id] = change.version
            if self._nodes.get(node_id) == record:
                # A process that has started again says the same of itself.
                return
            self._nodes[node_id] = record
            if record.lost and node_id == self._me:
                self._on_lost()
        for role in Role:
            ids = (key for key, record in self._nodes.items() if record.role is role)
            self._by_role[role] = frozenset(ids)
        if not self._telling:
            self._telling = True
            self._soon(self._tell)

    def _tell(self) -> None:
        self._telling = False
        self._changed(self.members())

    def stored(self, node_id: str) -> tuple[NodeRecord, int] | None:
        """Return what is written of a process, and the version of that."""
        record = self._nodes.get(node_id)
        return None if record is None else (record, self._versions[node_id])

    def count(self) -> int:
        """Return how many processes are listed."""
        return len(self._nodes)

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
        state=LOST if record.lost else LIVE,
        hub=record.role is Role.KEEPER,
    )


async def is_written(
    clock: Clock,
    nodes: NodeList,
    node_id: str,
    record: NodeRecord,
    listed: Callable[[], bool],
) -> bool:
    """Tell whether the store says of a process what it would write, as after most starts.

    A restart of all would else write each of them twice: one create that fails, and an update.
    """
    give_up_ms = clock.now() + LISTED_MS
    while not listed() and clock.now() < give_up_ms:
        await clock.sleep(LOOK_MS)
    stored = nodes.stored(node_id)
    return stored is not None and stored[0] == record


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
