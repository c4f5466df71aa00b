"""Apply every accepted change on this instance, from four redundant sources.

A push from the accepting instance arrives first. The watch on the store, the peers' heartbeats
(see gaps) and a slow poll are fallbacks, each of which is sufficient alone, because pushes,
watches and peer links can fail without an error. All sources call ProfileBook.apply, which
accepts only higher versions, so they may overlap in any order.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.config import records
from papayapier.config.book import ProfileBook
from papayapier.config.folder import FolderKeeper
from papayapier.config.follow import FollowDeps, StoreFollowing
from papayapier.config.gaps import GapFinder
from papayapier.metrics import Metrics
from papayapier.peer.messages import ConfigAsk, ConfigPush, ConfigTell, Heartbeat, Message
from papayapier.peer.parts import cut_parts
from papayapier.peer.topology import Plan
from papayapier.settings import ConfigSettings
from papayapier.store.api import Store

ASK_ID_BITS: Final = 32
TELL_OVERHEAD_BYTES: Final = 32


class SpreadDeps(NamedTuple):
    """Group the dependencies of Spread.

    tell and broadcast return immediately; plan returns the topology of the peer links.
    """

    clock: Clock
    rand: random.Random
    store: Store
    settings: ConfigSettings
    metrics: Metrics
    tell: Callable[[str, Message], object]
    broadcast: Callable[[Message], object]
    peers: Callable[[], Sequence[str]]
    plan: Callable[[], Plan]


class Spread:
    """Keep the registry of this instance up to date, and send missing objects to peers."""

    def __init__(self, deps: SpreadDeps, book: ProfileBook) -> None:
        self._deps = deps
        self._book = book
        self._keeper = FolderKeeper(deps.settings.data_folder, deps.clock, book)
        self._gaps = GapFinder()
        self._heard_peer_ms = 0
        self._complete = False
        self._ask_id = deps.rand.getrandbits(ASK_ID_BITS)
        self._asked: dict[int, int] = {}
        self._following = StoreFollowing(
            FollowDeps(
                deps.clock,
                deps.rand,
                deps.store,
                deps.settings,
                book,
                self._must_follow,
                self._fetched,
            )
        )

    def start(self) -> None:
        """Load the saved copy and start to poll and watch the store."""
        self._keeper.load()
        self._book.watch(lambda _key, _version: self._changed())
        self._following.start()

    async def stop(self) -> None:
        """Stop the tasks and save pending changes to the data folder."""
        self._following.stop()
        self._keeper.close()

    def fresh(self, now: int) -> Result[None, str]:
        """Return Ok if the configuration is complete and current, or the reason why not."""
        if not self._is_complete():
            return Err("the configuration has not been read from the store or a peer yet")
        age_ms = now - max(self._heard_peer_ms, self._following.heard_ms())
        self._deps.metrics.config_age.set(age_ms / MS_PER_S)
        if age_ms > self._deps.settings.stale_after_ms:
            return Err(f"neither the store nor a peer was reached for {age_ms} ms")
        return Ok(None)

    def accepted(self, key: str, version: int, value: bytes) -> None:
        """Apply a change that the store has accepted, and push it to all peers."""
        self._book.apply(key, version, value)
        self._deps.broadcast(ConfigPush(key, version, records.without_history(value)))

    def on_peer(self, peer: str, message: Message) -> None:
        """Process a message from a peer."""
        self._heard_peer_ms = self._deps.clock.now()
        match message:
            case ConfigPush(key, version, value):
                self._book.apply(key, version, value)
            case ConfigAsk():
                self._answer(peer, message)
            case ConfigTell():
                self._take(message)
            case Heartbeat():
                self._compare(peer, message)

    def _compare(self, peer: str, beat: Heartbeat) -> None:
        now = self._deps.clock.now()
        ours = self._book.digest()
        complete = self._is_complete()
        if not self._gaps.should_ask(peer, beat.config_digest, ours, now, complete):
            return
        if complete:
            events.emit(events.CONFIG_GAP, peer=peer, ours=self._book.version())
        self._ask_id += 1
        self._asked = {self._ask_id: 0}
        buckets = tuple(self._book.buckets())
        self._deps.tell(peer, ConfigAsk(self._ask_id, self._book.version(), buckets))

    def _answer(self, peer: str, ask: ConfigAsk) -> None:
        objects = self._book.objects(ask.newer_than)
        if ask.buckets:
            objects = self._book.objects_differing(ask.buckets)
        parts = cut_parts(objects, _size)
        for number, part in enumerate(parts, 1):
            more = number < len(parts)
            tell = ConfigTell(ask.ask_id, part, more, self._is_complete(), len(objects))
            self._deps.tell(peer, tell)

    def _take(self, tell: ConfigTell) -> None:
        for item in tell.objects:
            self._book.apply(item.key, item.version, item.value)
        if tell.ask_id not in self._asked:
            return
        # A part can be lost when the link is replaced between two parts. Without the count, the
        # last part alone would make this instance ready with an incomplete configuration.
        self._asked[tell.ask_id] += len(tell.objects)
        if tell.complete and self._asked[tell.ask_id] >= tell.total:
            self._complete = True

    def _is_complete(self) -> bool:
        """Return whether the complete configuration was received once since the start."""
        self._complete = self._complete or self._following.complete()
        return self._complete

    def _must_follow(self) -> bool:
        """Return whether this instance has to follow the store itself."""
        now = self._deps.clock.now()
        self._gaps.keep(self._deps.peers())
        alone = now - self._heard_peer_ms > self._deps.settings.poll_ms
        return self._deps.plan().relay or alone or not self._is_complete()

    def _fetched(self, key: str, version: int, value: bytes) -> None:
        """Push objects that a relay has read, since the other instances do not watch the store."""
        if not self._deps.plan().full_mesh and self._is_complete():
            self._deps.broadcast(ConfigPush(key, version, records.without_history(value)))

    def _changed(self) -> None:
        self._deps.metrics.config_version.set(self._book.version())
        self._keeper.changed()


def _size(item: ConfigPush) -> int:
    return len(item.key) + len(item.value) + TELL_OVERHEAD_BYTES
