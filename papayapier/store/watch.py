"""Follow the objects under a prefix: list, then bounded watches, with a slow poll in addition.

Either path alone is enough. The watch is quick, but can be cut, or continue to answer without
ever reporting a change, and nothing in its answers shows that; the poll bounds for how long
that can hide a change.

Both paths report versions, which only rise, so their answers may arrive in any order: a
version older than the known one is dropped. A listing shows deletions by omission, and only
for versions up to the revision of its page; a newer object did not exist yet at that revision.
Deletions are remembered until a complete listing has been read after them. From then on a
change that is not newer than that listing, of a key that the listing did not contain, can
only be older than the deletion.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events
from papayapier.clock import Clock
from papayapier.lasting_tasks import call_guarded, run_always
from papayapier.store.api import Change, Listing, Store, StoreError

PAGE_SIZE: Final = 1_000
MIN_PAUSE_MS: Final = 100
MAX_PAUSE_MS: Final = 5_000
# The shortest wait: the store answers at once, with or without changes.
CATCH_UP_WAIT_MS: Final = 1
# No object that matters is created and removed again within this time.
SHORT_GAP_MS: Final = 2_000

OnChange = Callable[[Change], None]
# Called with each revision up to which all changes are known, or with None if the watch failed.
OnReached = Callable[[int | None], None]


def _ignore_revision(_revision: int | None) -> None:
    return None


def _ignore_change(_change: Change) -> None:
    return None


class FollowIntervals(NamedTuple):
    """Set how long a watch may wait and how often the poll lists the objects.

    longest_pause_ms bounds the growing pauses between attempts while the store does not answer.
    collect_ms is a pause after each change: a watch ends at the first change, so that a hundred
    separate changes would cost every follower a hundred calls without it.
    """

    watch_ms: int
    poll_ms: int
    longest_pause_ms: int = MAX_PAUSE_MS
    collect_ms: int = 0


class Follower:
    """Hold the known versions of the keys under a prefix, and report every newer version."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        prefix: str,
        on_change: OnChange,
        intervals: FollowIntervals,
        on_reached: OnReached = _ignore_revision,
        on_seen: OnChange = _ignore_change,
    ) -> None:
        """Create a follower.

        on_seen gets the changes of a time in which the watch was interrupted, also those that
        later changes have replaced.
        """
        self.last_listed_ms: int | None = None
        # Since when all changes are known, and up to which revision; None before the first listing.
        self._complete_since_ms: int | None = None
        self._complete_up_to = 0
        # When that revision was reached.
        self._complete_at_ms = 0
        self._watched_up_to = 0
        # A listing has skipped changes that were not read yet.
        self._has_gap = False
        self._store = store
        self._clock = clock
        self._rng = rng
        self._prefix = prefix
        self._on_change = on_change
        self._intervals = intervals
        self._on_reached = on_reached
        self._on_seen = on_seen
        self._versions: dict[str, int] = {}
        self._deleted: dict[str, int] = {}
        self._complete_revision = 0
        self._has_changed = False
        self._tasks: list[Deferred[None]] = []

    def complete_since_ms(self) -> int | None:
        """Return the time since which no change was missed, or None if some are missing now."""
        return None if self._has_gap else self._complete_since_ms

    def start(self) -> None:
        """Start to follow the prefix."""
        name = "follow " + self._prefix
        for loop in (self._watch_loop, self._poll_loop):
            self._tasks.append(run_always(self._clock, name, loop))

    def stop(self) -> None:
        """Stop following; nothing is reported afterwards."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()

    async def _watch_loop(self) -> None:
        backoff = Backoff(self._rng, self._intervals.longest_pause_ms)
        # Changes may have been missed before a restart of this loop.
        self._on_reached(None)
        while True:
            since = await self._list_all()
            if since is not None:
                self._on_listing(since)
            while since is not None:
                self._on_reached(since)
                self._watched_up_to = since
                since = await self._watch_once(since)
                if since is not None:
                    backoff.reset()
                    if self._has_gap:
                        await self.catch_up(self._store)
                    await self._pause_after_change()
            self._on_reached(None)
            # A successful listing does not reset the pauses: if listings work and watches are
            # cut at once, this loop would otherwise list without a pause.
            await self._clock.sleep(backoff.next_ms())

    async def _poll_loop(self) -> None:
        while True:
            await self._clock.sleep(self._intervals.poll_ms * self._rng.uniform(0.8, 1.0))
            await self._list_all()

    async def _pause_after_change(self) -> None:
        changed, self._has_changed = self._has_changed, False
        if changed and self._intervals.collect_ms:
            await self._clock.sleep(self._intervals.collect_ms)

    async def _watch_once(self, since: int) -> int | None:
        """Wait for changes; return the revision reached, or None to list again."""
        found = await self._store.watch(self._prefix, since, self._intervals.watch_ms)
        if isinstance(found, Err):
            events.emit(events.WATCH_RESTARTED, prefix=self._prefix, reason=found.err_value.value)
            return None
        for change in found.ok_value.changes:
            self._has_changed = True
            self._apply(change)
        self._on_contiguous(since, found.ok_value.revision)
        return found.ok_value.revision

    def _on_listing(self, revision: int) -> None:
        """Note that a listing shows only the last change of each object since the last watch."""
        if self._complete_since_ms is None:
            self._begin_complete(revision)
        elif self._clock.now() - self._complete_at_ms > SHORT_GAP_MS:
            self._has_gap = True
        elif not self._has_gap:
            self._complete_up_to = revision

    async def catch_up(self, store: Store) -> bool:
        """Apply all changes up to now; return False if they cannot be read."""
        if self._complete_since_ms is None:
            return False
        since = self._complete_up_to
        found = await store.watch(self._prefix, since, CATCH_UP_WAIT_MS)
        if isinstance(found, Err):
            if found.err_value is StoreError.TOO_OLD:
                self._begin_complete(self._watched_up_to)
            return False
        for change in found.ok_value.changes:
            call_guarded("seen " + self._prefix, self._on_seen, change)
            self._apply(change)
        self._has_gap = False
        self._on_contiguous(since, found.ok_value.revision)
        return True

    def _on_contiguous(self, since: int, reached: int) -> None:
        """Note that all changes between two revisions are known."""
        if since <= self._complete_up_to <= reached:
            self._complete_up_to = reached
            self._complete_at_ms = self._clock.now()

    def _begin_complete(self, revision: int) -> None:
        self._complete_since_ms = self._clock.now()
        self._complete_up_to = revision
        self._complete_at_ms = self._clock.now()
        self._has_gap = False

    async def _list_all(self) -> int | None:
        """Read every page; return the revision from which to watch, or None on failure."""
        first_revision: int | None = None
        after = ""
        while True:
            started_ms = self._clock.now()
            page = await self._page(after)
            if isinstance(page, Err):
                return None
            listing = page.ok_value
            if first_revision is None:
                first_revision = listing.revision
            last = listing.objects[-1].key if listing.objects and listing.more else None
            self._apply_page(listing, after, last)
            if last is None:
                break
            after = last
        self._prune_deleted(first_revision)
        self.last_listed_ms = started_ms
        return first_revision

    async def _page(self, after: str) -> Result[Listing, StoreError]:
        return await self._store.list(self._prefix, after, PAGE_SIZE)

    def _apply_page(self, listing: Listing, after: str, last: str | None) -> None:
        """Apply the objects of a page, and the deletions that it shows by omission."""
        for entry in listing.objects:
            self._apply(Change(entry.key, entry.version, False, entry.value))
        listed_keys = {entry.key for entry in listing.objects}
        removed = [
            key
            for key, version in self._versions.items()
            if key > after
            and (last is None or key <= last)
            and key not in listed_keys
            and version <= listing.revision
        ]
        for key in removed:
            self._apply(Change(key, listing.revision, deleted=True))

    def _apply(self, change: Change) -> None:
        known = self._versions.get(change.key)
        if known is None:
            if change.version <= max(self._complete_revision, self._deleted.get(change.key, 0)):
                return
        elif change.version < known or (change.version == known and not change.deleted):
            return
        if change.deleted:
            self._versions.pop(change.key, None)
            self._deleted[change.key] = change.version
        else:
            self._deleted.pop(change.key, None)
            self._versions[change.key] = change.version
        if not call_guarded("change of " + self._prefix, self._on_change, change):
            # The next listing reports the object, or its deletion, again.
            self._deleted.pop(change.key, None)
            self._versions[change.key] = change.version - 1

    def _prune_deleted(self, revision: int) -> None:
        self._complete_revision = max(self._complete_revision, revision)
        self._deleted = {k: v for k, v in self._deleted.items() if v > self._complete_revision}


class Backoff:
    """Compute jittered pauses that grow exponentially until reset."""

    __slots__ = ("_max_ms", "_pause_ms", "_rng")

    def __init__(self, rng: random.Random, max_ms: int = MAX_PAUSE_MS) -> None:
        self._rng = rng
        self._max_ms = max_ms
        self._pause_ms = MIN_PAUSE_MS

    def next_ms(self) -> float:
        """Return the next pause."""
        pause_ms = self._pause_ms * self._rng.uniform(0.5, 1.0)
        self._pause_ms = min(self._max_ms, 2 * self._pause_ms)
        return pause_ms

    def reset(self) -> None:
        """Return to the shortest pause."""
        self._pause_ms = MIN_PAUSE_MS


def log_failure(failure: Failure, task: str) -> None:
    """Log the unexpected end of a task; cancellation is expected."""
    if not isinstance(failure.value, CancelledError):
        events.emit(events.STORE_TASK_FAILED, task=task, reason=repr(failure.value))
