"""Show others what one follower has read, so that they need not ask the platform's store.

Where every process follows the store by itself, its calls grow with the fleet times the
changes, and each call is paid for. A mirror answers the same questions from memory: a listing
at the revision that the follower has reached, and the changes after a revision. It speaks
only while its follower has lately heard from the store; an old copy that looks like a new one
would keep calls going to replicas that have left.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, Millis
from papayapier.store.api import Change, Changes, Entry, Listing, StoreError

# A follower asks again within milliseconds of an answer that it was given, so that a few
# hundred changes bridge seconds of the busiest start; who is further behind lists again.
KEPT_CHANGES: Final = 2_000
# The same for objects that are large, such as batch jobs: a quarter of a minute of the busiest
# traffic of today (3 jobs of 15 KB a second), or a few of the largest jobs.
KEPT_BYTES: Final = 4_000_000
# One frame between processes; the whole of a larger answer is read from the store itself.
ANSWER_BYTES: Final = 1_000_000


# Tells whether readers need to know that a value has become another.
Matters = Callable[[bytes, bytes], bool]


def always(_before: bytes, _after: bytes) -> bool:
    """Take every new value for one that matters."""
    return True


class _Stamped(NamedTuple):
    """Hold a change, and the revision that the follower had reached with it."""

    reached: int
    change: Change


class Mirror:
    """Hold the objects under a prefix and their latest changes.

    lasting_ms is how long the follower may hear nothing before the mirror falls silent.
    """

    def __init__(self, clock: Clock, lasting_ms: int, matters: Matters = always) -> None:
        self._clock = clock
        self._matters = matters
        self._lasting_ms = lasting_ms
        self._objects: dict[str, Change] = {}
        self._log: deque[_Stamped] = deque()
        self._log_bytes = 0
        # Changes up to here may be missing in the log.
        self._floor = 0
        self._reached = 0
        self._reached_ms: Millis | None = None
        # Changes that the follower has told since it last reached a revision.
        self._new: list[Change] = []
        self._waiting: list[Deferred[None]] = []

    def on_change(self, change: Change) -> None:
        """Take a change that the follower has learnt."""
        if change.deleted:
            self._objects.pop(change.key, None)
            self._new.append(change)
            return
        before = self._objects.get(change.key)
        self._objects[change.key] = change
        if before is None or self._matters(before.value, change.value):
            self._new.append(change)

    def on_reached(self, revision: int | None, direct: bool) -> None:
        """Take that the follower knows all up to a revision; direct says from the store itself.

        Two mirrors that each follow the other would both fall behind and call each other new.
        """
        if revision is None or not direct:
            self._forget()
            return
        if self._reached_ms is None:
            self._floor = revision
            self._new = []
        self._reached_ms = self._clock.now()
        if revision <= self._reached:
            # What a listing beside the watch has found waits for a revision to go by.
            return
        self._reached = revision
        self._log.extend(_Stamped(revision, change) for change in self._new)
        self._log_bytes += sum(len(change.value) for change in self._new)
        self._new = []
        while len(self._log) > KEPT_CHANGES or self._log_bytes > KEPT_BYTES:
            oldest = self._log.popleft()
            self._log_bytes -= len(oldest.change.value)
            self._floor = oldest.reached
        self._wake()

    def whole(self) -> Result[Listing, StoreError]:
        """Return all objects at the revision reached."""
        if not self._fresh():
            return Err(StoreError.UNAVAILABLE)
        found = [Entry(one.key, one.version, one.value) for one in self._objects.values()]
        if sum(len(one.value) for one in found) > ANSWER_BYTES:
            return Err(StoreError.UNAVAILABLE)
        return Ok(Listing(sorted(found), False, self._reached))

    async def watch(self, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        """Return the changes after a revision; wait for one if there is none."""
        due_ms = self._clock.now() + wait_ms
        while True:
            if not self._fresh():
                return Err(StoreError.UNAVAILABLE)
            if since < self._floor:
                return Err(StoreError.TOO_OLD)
            changes = self._after(since)
            left_ms = due_ms - self._clock.now()
            if sum(len(one.value) for one in changes) > ANSWER_BYTES:
                return Err(StoreError.UNAVAILABLE)
            if changes or left_ms <= 0:
                return Ok(Changes(changes, max(since, self._reached)))
            await self._next(left_ms)

    def _after(self, since: int) -> list[Change]:
        changes = []
        for one in reversed(self._log):
            if one.reached <= since:
                break
            changes.append(one.change)
        changes.reverse()
        return changes

    def _fresh(self) -> bool:
        heard = self._reached_ms
        return heard is not None and self._clock.now() - heard <= self._lasting_ms

    def _forget(self) -> None:
        """Fall silent; what the log holds may have a gap when the store is followed again."""
        self._reached_ms = None
        self._log.clear()
        self._log_bytes = 0
        self._new = []
        self._wake()

    async def _next(self, wait_ms: int) -> None:
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        timer = self._clock.call_later(wait_ms, lambda: self._end(waiting))
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()

    def _end(self, waiting: Deferred[None]) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.callback(None)

    def _wake(self) -> None:
        for waiting in list(self._waiting):
            self._end(waiting)
