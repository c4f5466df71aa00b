"""Read the changes of the replica list up to now, once for all who wait for them."""

from typing import Final

from papayapier.clock import Clock
from papayapier.pending_result import PendingResult
from papayapier.store.api import Store
from papayapier.store.watch import Follower

# All callers of a lost instance arrive within some milliseconds; one call serves them.
COLLECT_MS: Final = 5
# The store answers within milliseconds, and in 200 ms when it is fifty times slower than usual.
WAIT_MS: Final = 500


class ListCatchUp:
    """Bring a follower up to date on request."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._follower: Follower | None = None
        self._store: Store | None = None
        # A call that has not been sent yet.
        self._next: PendingResult[bool] | None = None

    def attach(self, follower: Follower, store: Store) -> None:
        """Set the follower, and the store that it is brought up to date from."""
        self._follower = follower
        self._store = store

    def complete_since_ms(self) -> int | None:
        """Return the time since which no change was missed, or None."""
        return None if self._follower is None else self._follower.complete_since_ms()

    async def run(self) -> bool:
        """Return whether all changes made before this call are applied."""
        if self._next is None:
            self._next = PendingResult(self._clock, self._read())
        return bool(await self._next.wait_at_most(WAIT_MS))

    async def _read(self) -> bool:
        await self._clock.sleep(COLLECT_MS)
        self._next = None
        if self._follower is None or self._store is None:
            return False
        is_current = await self._follower.catch_up(self._store)
        # The list of replicas reports all changes of one answer together, after this event.
        await self._clock.sleep(0)
        return is_current
