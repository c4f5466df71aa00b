"""Apply every accepted change on this instance, from four redundant sources.

A push from the accepting instance arrives first. The watch on the store, the peers' heartbeats
(see gap_detector) and a slow poll are fallbacks, each of which is sufficient alone, because pushes,
watches and peer links can fail without an error. All sources call ProfileRegistry.apply, which
accepts only higher versions, so they may overlap in any order.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.config import records
from papayapier.config.config_file import ConfigFile
from papayapier.config.gap_detector import GapDetector
from papayapier.config.profile_registry import ProfileRegistry
from papayapier.config.store_follower import FollowDeps, StoreFollower
from papayapier.metrics import Metrics
from papayapier.peer.messages import ConfigAsk, ConfigPush, ConfigTell, Heartbeat, Message
from papayapier.peer.parts import split_parts
from papayapier.peer.topology import LinkPlan
from papayapier.settings import ConfigSettings
from papayapier.store.api import Store

REQUEST_ID_BITS: Final = 32
OBJECT_OVERHEAD_BYTES: Final = 32


class ConfigSyncDeps(NamedTuple):
    """Group the dependencies of ConfigSync.

    notify and broadcast return immediately; plan returns the topology of the peer links.
    """

    clock: Clock
    rand: random.Random
    store: Store
    settings: ConfigSettings
    metrics: Metrics
    notify: Callable[[str, Message], object]
    broadcast: Callable[[Message], object]
    peers: Callable[[], Sequence[str]]
    plan: Callable[[], LinkPlan]


class ConfigSync:
    """Keep the registry of this instance up to date, and send missing objects to peers."""

    def __init__(self, deps: ConfigSyncDeps, registry: ProfileRegistry) -> None:
        self._deps = deps
        self._registry = registry
        self._config_file = ConfigFile(deps.settings.data_folder, deps.clock, registry)
        self._gaps = GapDetector()
        self._last_peer_ms = 0
        self._complete = False
        self._request_id = deps.rand.getrandbits(REQUEST_ID_BITS)
        self._received_counts: dict[int, int] = {}
        self._store_follower = StoreFollower(
            FollowDeps(
                deps.clock,
                deps.rand,
                deps.store,
                deps.settings,
                registry,
                self._must_follow,
                self._fetched,
            )
        )

    def start(self) -> None:
        """Load the saved copy and start to poll and watch the store."""
        self._config_file.load()
        self._registry.watch(lambda _key, _version: self._changed())
        self._store_follower.start()

    async def stop(self) -> None:
        """Stop the tasks and save pending changes to the data folder."""
        self._store_follower.stop()
        self._config_file.close()

    def check_current(self, now: int) -> Result[None, str]:
        """Return Ok if the configuration is complete and current, or the reason why not."""
        if not self._is_complete():
            return Err("the configuration has not been read from the store or a peer yet")
        age_ms = now - max(self._last_peer_ms, self._store_follower.last_success_ms())
        self._deps.metrics.config_age.set(age_ms / MS_PER_S)
        if age_ms > self._deps.settings.stale_after_ms:
            return Err(f"neither the store nor a peer was reached for {age_ms} ms")
        return Ok(None)

    def on_accepted(self, key: str, version: int, value: bytes) -> None:
        """Apply a change that the store has accepted, and push it to all peers."""
        self._registry.apply(key, version, value)
        self._deps.broadcast(ConfigPush(key, version, records.without_history(value)))

    def on_peer(self, peer: str, message: Message) -> None:
        """Process a message from a peer."""
        self._last_peer_ms = self._deps.clock.now()
        match message:
            case ConfigPush(key, version, value):
                self._registry.apply(key, version, value)
            case ConfigAsk():
                self._reply(peer, message)
            case ConfigTell():
                self._apply_reply(message)
            case Heartbeat():
                self._compare_digests(peer, message)

    def _compare_digests(self, peer: str, heartbeat: Heartbeat) -> None:
        now = self._deps.clock.now()
        ours = self._registry.digest()
        complete = self._is_complete()
        if not self._gaps.should_request(peer, heartbeat.config_digest, ours, now, complete):
            return
        if complete:
            events.emit(events.CONFIG_GAP, peer=peer, ours=self._registry.version())
        self._request_id += 1
        self._received_counts = {self._request_id: 0}
        buckets = tuple(self._registry.buckets())
        self._deps.notify(peer, ConfigAsk(self._request_id, self._registry.version(), buckets))

    def _reply(self, peer: str, request: ConfigAsk) -> None:
        objects = self._registry.objects(request.newer_than)
        if request.buckets:
            objects = self._registry.objects_differing(request.buckets)
        parts = split_parts(objects, _size)
        for number, part in enumerate(parts, 1):
            more = number < len(parts)
            reply = ConfigTell(
                request.correlation_id, part, more, self._is_complete(), len(objects)
            )
            self._deps.notify(peer, reply)

    def _apply_reply(self, reply: ConfigTell) -> None:
        for item in reply.objects:
            self._registry.apply(item.key, item.version, item.value)
        if reply.correlation_id not in self._received_counts:
            return
        # A part can be lost when the link is replaced between two parts. Without the count, the
        # last part alone would make this instance ready with an incomplete configuration.
        self._received_counts[reply.correlation_id] += len(reply.objects)
        if reply.complete and self._received_counts[reply.correlation_id] >= reply.total:
            self._complete = True

    def _is_complete(self) -> bool:
        """Return whether the complete configuration was received once since the start."""
        self._complete = self._complete or self._store_follower.is_complete()
        return self._complete

    def _must_follow(self) -> bool:
        """Return whether this instance has to follow the store itself."""
        now = self._deps.clock.now()
        self._gaps.retain(self._deps.peers())
        no_peer = now - self._last_peer_ms > self._deps.settings.poll_ms
        return self._deps.plan().relay or no_peer or not self._is_complete()

    def _fetched(self, key: str, version: int, value: bytes) -> None:
        """Push objects that a relay has read, since the other instances do not watch the store."""
        if not self._deps.plan().full_mesh and self._is_complete():
            self._deps.broadcast(ConfigPush(key, version, records.without_history(value)))

    def _changed(self) -> None:
        self._deps.metrics.config_version.set(self._registry.version())
        self._config_file.schedule_save()


def _size(item: ConfigPush) -> int:
    return len(item.key) + len(item.value) + OBJECT_OVERHEAD_BYTES
