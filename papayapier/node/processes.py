"""Let the processes of one deployment find each other through the platform's store.

Each process writes one object about itself at its start. Heartbeats show which processes are live,
but a process that has just started has received none yet. Until it detected their silence, it would
treat keepers that never return as owners, hubs and granters. So one of the keepers marks others
as lost after a long silence. A process that finds itself marked as lost registers again.
"""

import random
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import msgspec
from result import Err, Ok

from papayapier import events
from papayapier.clock import Clock
from papayapier.decoding import DECODE_ERRORS
from papayapier.store.api import ENTRY, LIVE, LOST, Change, Member, Store, StoreError
from papayapier.store.watch import Backoff

NODES_PREFIX: Final = "papayapier-nodes/"
ANY_VERSION: Final = 0
# If the store answers, the list is read within a few ms of a start.
MAX_LIST_WAIT_MS: Final = 300
POLL_MS: Final = 10
NO_NODES: Final[frozenset[str]] = frozenset()


class Role(Enum):
    """Name the role of a process."""

    ENTRY = "entry"
    KEEPER = "keeper"


class NodeRecord(NamedTuple):
    """Hold what a process registers about itself; lost is set by others."""

    role: Role
    host: str
    peer_port: int
    data_centre: str
    region: str
    lost: bool = False


_RECORD: Final = msgspec.json.Decoder(NodeRecord)


class NodeList:
    """Hold the processes that are registered in the store."""

    def __init__(
        self,
        changed: Callable[[list[Member]], None],
        defer: Callable[[Callable[[], None]], object] = lambda call: call(),
        me: str = "",
        on_lost: Callable[[], object] = lambda: None,
    ) -> None:
        """Make an empty list.

        changed gets all processes after a change. defer delays a call until the current event is
        processed: a listing reports its objects one by one, and processing all of them each time
        took half a second of every start with 195 processes. on_lost is called when this process
        itself is marked as lost.
        """
        self._on_changed = changed
        self._defer = defer
        self._notify_scheduled = False
        self._me = me
        self._on_lost = on_lost
        self._nodes: dict[str, NodeRecord] = {}
        self._versions: dict[str, int] = {}
        # Cached, because it is read for each message of a peer.
        self._by_role: dict[Role, frozenset[str]] = {}

    def on_change(self, change: Change) -> None:
        """Apply a change of one process's object."""
        node_id = change.key.removeprefix(NODES_PREFIX)
        if change.deleted:
            self._nodes.pop(node_id, None)
            self._versions.pop(node_id, None)
        else:
            try:
                record = _RECORD.decode(change.value)
            except DECODE_ERRORS as exc:
                events.emit(events.STORE_ODD_ANSWER, call=change.key, reason=str(exc))
                return
            self._versions[node_id] = change.version
            if self._nodes.get(node_id) == record:
                # A restarted process registers the same record again.
                return
            self._nodes[node_id] = record
            if record.lost and node_id == self._me:
                self._on_lost()
        for role in Role:
            ids = (key for key, record in self._nodes.items() if record.role is role)
            self._by_role[role] = frozenset(ids)
        if not self._notify_scheduled:
            self._notify_scheduled = True
            self._defer(self._notify)

    def _notify(self) -> None:
        self._notify_scheduled = False
        self._on_changed(self.members())

    def stored(self, node_id: str) -> tuple[NodeRecord, int] | None:
        """Return the stored record of a process and its version."""
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
        return self._by_role.get(role, NO_NODES)


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


async def is_registered(
    clock: Clock,
    nodes: NodeList,
    node_id: str,
    record: NodeRecord,
    listed: Callable[[], bool],
) -> bool:
    """Return whether the store already holds the record of a process, as after most starts.

    Without this check each process would make two writes when all restart: a create that fails and
    an update.
    """
    deadline_ms = clock.now() + MAX_LIST_WAIT_MS
    while not listed() and clock.now() < deadline_ms:
        await clock.sleep(POLL_MS)
    stored = nodes.stored(node_id)
    return stored is not None and stored[0] == record


async def register_node(
    store: Store, clock: Clock, rand: random.Random, node_id: str, record: NodeRecord
) -> None:
    """Write this process's object, retrying for as long as the store is unreachable."""
    value = msgspec.json.encode(record)
    backoff = Backoff(rand)
    while True:
        done = await store.create(NODES_PREFIX + node_id, value)
        if done == Err(StoreError.CONFLICT):
            done = await store.update(NODES_PREFIX + node_id, value, ANY_VERSION)
        if isinstance(done, Ok):
            return
        await clock.sleep(backoff.next_ms())
