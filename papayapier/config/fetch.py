"""Read the objects of which the store is known to have a newer version.

Each read is delayed briefly, because in that time the object usually arrives in a push of the
accepting instance, which makes the read unnecessary. This saves many reads in a large fleet,
where all instances receive the same watch events. Failed reads are retried until the version is
in force.
"""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.book import ProfileBook
from papayapier.store.api import Store, StoreError
from papayapier.store.watch import Pauses

READS_AT_ONCE: Final = 8
PUSH_FIRST_MS: Final = 50


class FetchDeps(NamedTuple):
    """Group the dependencies of Fetcher.

    hurry returns True while the configuration is incomplete, to read without a delay. fetched is
    called with key, version and value of each object that was read and applied.
    """

    clock: Clock
    rand: random.Random
    store: Store
    book: ProfileBook
    hurry: Callable[[], bool]
    fetched: Callable[[str, int, bytes], None]


class Fetcher:
    """Read the requested keys until the requested versions are in force."""

    def __init__(self, deps: FetchDeps) -> None:
        self._deps = deps
        self._wanted: dict[str, int] = {}
        self._task: Deferred[None] | None = None
        self._stopped = False

    def want(self, key: str, version: int) -> None:
        """Read an object unless the version comes into force from another source first."""
        if self._stopped or not self._deps.book.lacks(key, version):
            return
        self._wanted[key] = max(version, self._wanted.get(key, 0))
        if self._task is None:
            self._task = Deferred.fromCoroutine(self._run())
            self._task.addErrback(self._failed)

    def idle(self) -> bool:
        """Return whether nothing is left to read."""
        return not self._forget_applied()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        pauses = Pauses(self._deps.rand)
        # Sleep even for 0 ms, so that this does not run inside the follower's listing.
        await self._deps.clock.sleep(0 if self._deps.hurry() else PUSH_FIRST_MS)
        while self._forget_applied():
            keys = list(self._wanted)[:READS_AT_ONCE]
            reads = [Deferred.fromCoroutine(self._read(key)) for key in keys]
            if all([await read for read in reads]):
                pauses.reset()
            else:
                await self._deps.clock.sleep(pauses.next_ms())
        self._task = None

    def _forget_applied(self) -> bool:
        lacks = self._deps.book.lacks
        self._wanted = {key: v for key, v in self._wanted.items() if lacks(key, v)}
        return bool(self._wanted)

    async def _read(self, key: str) -> bool:
        """Read one object; return False if a pause is needed before the next read."""
        match await self._deps.store.get(key):
            case Ok(stored):
                if self._deps.book.apply(key, stored.version, stored.value):
                    self._deps.fetched(key, stored.version, stored.value)
                return stored.version >= self._wanted.get(key, 0)
            case Err(StoreError.NOT_FOUND):
                self._wanted.pop(key, None)
                return True
            case _:
                return False

    def _failed(self, failure: Failure) -> None:
        """Clear the failed task so that the next want() restarts it; else nothing is read again."""
        self._task = None
        if not isinstance(failure.value, CancelledError):
            events.emit(events.CONFIG_TASK_FAILED, error=repr(failure.value))
