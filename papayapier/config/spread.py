"""Bring every accepted change into force on this instance, by four ways at once.

A push from the accepting instance arrives first. Behind it stand the watch on the store,
the peers' heartbeats (see gaps) and a slow poll, each of which alone is enough, because
pushes, watches and peer links can go silent without an error. All ways end in
ProfileBook.apply, which takes higher versions only, so they may overlap in any order.

The poll lists keys with their versions and reads only what is missing here. Its interval
grows with the number of instances, so that all polls together stay a small, fixed share of
the store's reads.
"""

import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred, gatherResults
from twisted.python.failure import Failure

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.config import records, trail
from papayapier.config.book import ProfileBook
from papayapier.config.folder import FolderKeeper
from papayapier.config.gaps import GapFinder
from papayapier.config.records import CONFIG_PREFIX
from papayapier.metrics import Metrics
from papayapier.peer.messages import ConfigAsk, ConfigPush, ConfigTell, Heartbeat, Message
from papayapier.settings import ConfigSettings
from papayapier.store.api import Change, Store, StoreError

READS_AT_ONCE: Final = 8
ASK_ID_BITS: Final = 32
TELL_BYTES: Final = 200_000
TELL_OVERHEAD_BYTES: Final = 32
FLEET_POLLS_PER_S: Final = 20
POLL_JITTER: Final = 0.2
WATCH_GAP_MS: Final = 20
RETRY_MIN_MS: Final = 100
RETRY_MAX_MS: Final = 5_000
BACKOFF_DOUBLINGS: Final = 6


class SpreadDeps(NamedTuple):
    """Group what spreading needs; tell and broadcast never wait."""

    clock: Clock
    rand: random.Random
    store: Store
    settings: ConfigSettings
    metrics: Metrics
    tell: Callable[[str, Message], object]
    broadcast: Callable[[Message], object]
    peers: Callable[[], Sequence[str]]


class _Heard(NamedTuple):
    """Hold when the store and any peer were last heard from."""

    store: int
    peer: int


class Spread:
    """Keep one instance's book up to date, and help the peers to do so."""

    def __init__(self, deps: SpreadDeps, book: ProfileBook) -> None:
        self._deps = deps
        self._book = book
        self._keeper = FolderKeeper(deps.settings.data_folder, deps.clock, book)
        self._gaps = GapFinder()
        self._heard = _Heard(0, 0)
        self._complete = False
        self._ask_id = deps.rand.getrandbits(ASK_ID_BITS)
        self._asked: dict[int, int] = {}
        self._missing: set[str] = set()
        self._tasks: list[Deferred[None]] = []
        self._stopped = False

    def start(self) -> None:
        """Load the folder's copy and start to poll and watch."""
        self._keeper.load()
        self._book.watch(lambda _key, _version: self._changed())
        self._tasks = [self._task(self._poll_forever), self._task(self._watch_forever)]

    async def stop(self) -> None:
        """End the tasks and write the folder's copy."""
        self._stopped = True
        for task in self._tasks:
            task.cancel()
        self._keeper.close()

    def fresh(self, now: int) -> Result[None, str]:
        """Tell whether the configuration here may be relied on, or why not."""
        if not self._complete:
            return Err("the configuration has not been read from the store or a peer yet")
        age_ms = now - max(self._heard)
        self._deps.metrics.config_age.set(age_ms / MS_PER_S)
        if age_ms > self._deps.settings.stale_after_ms:
            return Err(f"neither the store nor a peer was heard from for {age_ms} ms")
        return Ok(None)

    def accepted(self, key: str, version: int, value: bytes) -> None:
        """Put a change that the store has accepted in force here and push it to all peers."""
        self._book.apply(key, version, value)
        self._deps.broadcast(ConfigPush(key, version, records.without_history(value)))

    def on_peer(self, peer: str, message: Message) -> None:
        """Take a message from a peer."""
        self._heard = self._heard._replace(peer=self._deps.clock.now())
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
        if not self._gaps.should_ask(peer, beat.config_digest, ours, now, self._complete):
            return
        if self._complete:
            events.emit(events.CONFIG_GAP, peer=peer, ours=self._book.version())
        self._ask_id += 1
        self._asked = {self._ask_id: 0}
        buckets = tuple(self._book.buckets())
        self._deps.tell(peer, ConfigAsk(self._ask_id, self._book.version(), buckets))

    def _answer(self, peer: str, ask: ConfigAsk) -> None:
        objects = self._book.objects(ask.newer_than)
        if ask.buckets:
            objects = self._book.objects_differing(ask.buckets)
        parts = _parts(objects)
        for number, part in enumerate(parts, 1):
            more = number < len(parts)
            tell = ConfigTell(ask.ask_id, part, more, self._complete, len(objects))
            self._deps.tell(peer, tell)

    def _take(self, tell: ConfigTell) -> None:
        for item in tell.objects:
            self._book.apply(item.key, item.version, item.value)
        if tell.ask_id not in self._asked:
            return
        # A part can be lost when the link is replaced between two parts. Without the
        # count, the last part alone would make this instance ready with a hole in it.
        self._asked[tell.ask_id] += len(tell.objects)
        if tell.complete and self._asked[tell.ask_id] >= tell.total:
            self._complete = True

    async def _poll_forever(self) -> None:
        while not self._stopped:
            await self._deps.clock.sleep(self._poll_interval_ms())
            await self._poll()

    def _poll_interval_ms(self) -> float:
        instances = len(self._deps.peers()) + 1
        interval_ms = max(self._deps.settings.poll_ms, instances * MS_PER_S // FLEET_POLLS_PER_S)
        return interval_ms * self._deps.rand.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    async def _poll(self) -> Result[int, StoreError]:
        """List what the store has, read what is missing here, and return the revision."""
        match await trail.list_all(self._deps.store, CONFIG_PREFIX):
            case Err(error):
                return Err(error)
            case Ok(listing):
                self._heard_store()
        wanted = [Change(e.key, e.version, False) for e in listing.objects]
        match await self._fetch(wanted):
            case Err(error):
                return Err(error)
        self._complete = True
        self._report_missing({entry.key for entry in listing.objects}, listing.revision)
        return Ok(listing.revision)

    async def _watch_forever(self) -> None:
        revision: int | None = None
        failures = 0
        while not self._stopped:
            result = await (self._poll() if revision is None else self._watch(revision))
            match result:
                case Ok(reached):
                    revision = reached
                    failures = 0
                    # Without a pause, a platform that answers watches at once would be
                    # called in a tight loop; changes that come together are read together.
                    await self._deps.clock.sleep(WATCH_GAP_MS)
                case Err(StoreError.TOO_OLD):
                    events.emit(events.WATCH_RESTARTED, prefix=CONFIG_PREFIX)
                    revision = None
                case Err(_):
                    failures += 1
                    delay_ms = _backoff_ms(failures) * self._deps.rand.uniform(0.5, 1)
                    await self._deps.clock.sleep(delay_ms)

    async def _watch(self, since: int) -> Result[int, StoreError]:
        match await self._deps.store.watch(CONFIG_PREFIX, since, self._deps.settings.watch_ms):
            case Err(error):
                return Err(error)
            case Ok(seen):
                self._heard_store()
                return (await self._fetch(seen.changes)).map(lambda _: seen.revision)

    async def _fetch(self, changes: Sequence[Change]) -> Result[None, StoreError]:
        """Read the objects that are newer in the store, a few at once."""
        wanted = [c.key for c in changes if not c.deleted and self._book.lacks(c.key, c.version)]
        for start in range(0, len(wanted), READS_AT_ONCE):
            reads = [
                Deferred.fromCoroutine(self._fetch_one(key))
                for key in wanted[start : start + READS_AT_ONCE]
            ]
            for result in await gatherResults(reads, consumeErrors=True):
                if result.is_err():
                    return result
        return Ok(None)

    async def _fetch_one(self, key: str) -> Result[None, StoreError]:
        match await self._deps.store.get(key):
            case Ok(stored):
                self._book.apply(key, stored.version, stored.value)
                return Ok(None)
            case Err(StoreError.NOT_FOUND):
                return Ok(None)
            case Err(error):
                return Err(error)

    def _heard_store(self) -> None:
        self._heard = self._heard._replace(store=self._deps.clock.now())

    def _report_missing(self, listed: set[str], revision: int) -> None:
        """Say that an object was removed by hand; it stays in force, since that is no change."""
        for item in self._book.objects():
            gone = item.key not in listed and item.version <= revision
            if gone and item.key not in self._missing:
                self._missing.add(item.key)
                events.emit(events.CONFIG_MISSING, key=item.key, version=item.version)

    def _changed(self) -> None:
        self._deps.metrics.config_version.set(self._book.version())
        self._keeper.changed()

    def _task(self, make: Callable[[], Coroutine[Any, Any, None]]) -> Deferred[None]:
        task: Deferred[None] = Deferred.fromCoroutine(make())
        task.addErrback(self._task_failed, make)
        return task

    def _task_failed(self, failure: Failure, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a failed task again: without it, changes would arrive late and unnoticed."""
        if self._stopped and isinstance(failure.value, CancelledError):
            return
        events.emit(events.CONFIG_TASK_FAILED, error=failure.getErrorMessage())
        self._deps.clock.call_later(
            RETRY_MAX_MS, lambda: None if self._stopped else self._tasks.append(self._task(make))
        )


def _parts(objects: list[ConfigPush]) -> list[list[ConfigPush]]:
    """Cut objects into messages of bounded size; nothing to tell is one empty part."""
    parts: list[list[ConfigPush]] = [[]]
    size = 0
    for item in objects:
        size += len(item.value) + len(item.key) + TELL_OVERHEAD_BYTES
        if size > TELL_BYTES and parts[-1]:
            parts.append([])
            size = len(item.value)
        parts[-1].append(item)
    return parts


def _backoff_ms(failures: int) -> int:
    return min(RETRY_MAX_MS, RETRY_MIN_MS << min(failures, BACKOFF_DOUBLINGS))
