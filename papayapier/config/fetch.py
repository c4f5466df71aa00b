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
from papayapier.config.profile_registry import ProfileRegistry
from papayapier.store.api import Store, StoreError
from papayapier.store.watch import Backoff

MAX_CONCURRENT_READS: Final = 8
PUSH_WAIT_MS: Final = 50


class FetchDeps(NamedTuple):
    """Group the dependencies of Fetcher.

    is_urgent returns True while the configuration is incomplete, to read without a delay.
    on_fetched is called with key, version and value of each object that was read and applied.
    """

    clock: Clock
    rand: random.Random
    store: Store
    registry: ProfileRegistry
    is_urgent: Callable[[], bool]
    on_fetched: Callable[[str, int, bytes], None]


class Fetcher:
    """Read the requested keys until the requested versions are in force."""

    def __init__(self, deps: FetchDeps) -> None:
        self._deps = deps
        self._requested: dict[str, int] = {}
        self._task: Deferred[None] | None = None
        self._stopped = False

    def request(self, key: str, version: int) -> None:
        """Read an object unless the version comes into force from another source first."""
        if self._stopped or not self._deps.registry.needs(key, version):
            return
        self._requested[key] = max(version, self._requested.get(key, 0))
        if self._task is None:
            self._task = Deferred.fromCoroutine(self._run())
            self._task.addErrback(self._on_failure)

    def is_idle(self) -> bool:
        """Return whether nothing is left to read."""
        return not self._drop_applied()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        pauses = Backoff(self._deps.rand)
        # Sleep even for 0 ms, so that this does not run inside the follower's listing.
        await self._deps.clock.sleep(0 if self._deps.is_urgent() else PUSH_WAIT_MS)
        while self._drop_applied():
            keys = list(self._requested)[:MAX_CONCURRENT_READS]
            reads = [Deferred.fromCoroutine(self._read(key)) for key in keys]
            if all([await read for read in reads]):
                pauses.reset()
            else:
                await self._deps.clock.sleep(pauses.next_ms())
        self._task = None

    def _drop_applied(self) -> bool:
        lacks = self._deps.registry.needs
        self._requested = {key: v for key, v in self._requested.items() if lacks(key, v)}
        return bool(self._requested)

    async def _read(self, key: str) -> bool:
        """Read one object; return False if a pause is needed before the next read."""
        match await self._deps.store.get(key):
            case Ok(stored):
                if self._deps.registry.apply(key, stored.version, stored.value):
                    self._deps.on_fetched(key, stored.version, stored.value)
                return stored.version >= self._requested.get(key, 0)
            case Err(StoreError.NOT_FOUND):
                self._requested.pop(key, None)
                return True
            case _:
                return False

    def _on_failure(self, failure: Failure) -> None:
        """Clear the failed task so that the next request() restarts it, else nothing is read."""
        self._task = None
        if not isinstance(failure.value, CancelledError):
            events.emit(events.CONFIG_TASK_FAILED, error=repr(failure.value))
