"""Follow the store's configuration while this instance has to.

In a small site every instance follows the store itself. In a large one only the relays of each
data centre do (see peer.topology): each pending watch counts as a call, and the watches of all
instances would exhaust the store's read limit. The other instances follow the store until they
have read the complete configuration once, and again while no peer's heartbeats arrive.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from papayapier import events
from papayapier.clock import Clock, Timer
from papayapier.config.fetch import FetchDeps, Fetcher
from papayapier.config.profile_registry import ProfileRegistry
from papayapier.config.records import CONFIG_PREFIX
from papayapier.settings import ConfigSettings
from papayapier.store.api import Change, Store
from papayapier.store.watch import Follower, FollowIntervals

UPDATE_MS: Final = 1_000
KEYS_PER_PAGE: Final = 1_000


class FollowDeps(NamedTuple):
    """Group the dependencies of the follower; must_follow is evaluated every second.

    on_fetched is called with key, version and value of each object that was read from the store.
    """

    clock: Clock
    rand: random.Random
    store: Store
    settings: ConfigSettings
    registry: ProfileRegistry
    must_follow: Callable[[], bool]
    on_fetched: Callable[[str, int, bytes], None]


class StoreFollower:
    """Run the store follower while it is needed, and read the objects whose change it reports."""

    def __init__(self, deps: FollowDeps) -> None:
        self._deps = deps
        self._follower: Follower | None = None
        self._timer: Timer | None = None
        self._last_success_ms = 0
        self._complete = False
        self._fetcher = Fetcher(
            FetchDeps(
                deps.clock,
                deps.rand,
                deps.store,
                deps.registry,
                lambda: not self._complete,
                deps.on_fetched,
            )
        )

    def start(self) -> None:
        """Start to follow the store if needed."""
        self._update()

    def stop(self) -> None:
        """Stop permanently."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._unfollow()
        self._fetcher.stop()

    def is_complete(self) -> bool:
        """Return whether all objects of one listing of the store have been read; stays True."""
        listed = self._follower is not None and self._follower.last_listed_ms is not None
        if listed and self._fetcher.is_idle():
            self._complete = True
        return self._complete

    def last_success_ms(self) -> int:
        """Return the start time of the last listing that succeeded."""
        if self._follower is not None:
            self._last_success_ms = max(self._last_success_ms, self._follower.last_listed_ms or 0)
        return self._last_success_ms

    def _update(self) -> None:
        self._timer = self._deps.clock.call_later(UPDATE_MS, self._update)
        if not self._deps.must_follow():
            self._unfollow()
        elif self._follower is None:
            self._follow()

    def _follow(self) -> None:
        # A listing has 1,000 keys per page and each page counts as a read, so poll less often.
        pages = 1 + len(self._deps.registry.objects()) // KEYS_PER_PAGE
        cfg = self._deps.settings
        self._follower = Follower(
            self._deps.store,
            self._deps.clock,
            self._deps.rand,
            CONFIG_PREFIX,
            self._on_change,
            FollowIntervals(cfg.watch_ms, cfg.poll_ms * pages),
        )
        self._follower.start()

    def _unfollow(self) -> None:
        self.is_complete()
        self.last_success_ms()
        if self._follower is not None:
            self._follower.stop()
            self._follower = None

    def _on_change(self, change: Change) -> None:
        self.is_complete()
        if not change.deleted:
            self._fetcher.request(change.key, change.version)
        elif self._deps.registry.version_of(change.key):
            # Accepted deletions leave a tombstone, so someone removed this object by hand,
            # without an audit entry. It stays in force here.
            events.emit(events.CONFIG_MISSING, key=change.key, version=change.version)
