"""Serve what one follower has read to other processes, in place of the platform's store.

If every process follows the store by itself, the number of calls grows with the fleet times
the changes, and each call is paid for. A mirror answers the same reads from memory: a listing
at the revision that the follower has reached, and the changes after a revision. It answers
only while its follower has recently reached the store; an old copy taken for a current one
would keep calls going to replicas that have left.
"""

from collections import deque
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock, Millis
from papayapier.store.api import Change, Changes, Entry, Listing, StoreError

# A follower sends its next watch within milliseconds of an answer, so that a few hundred changes
# cover seconds of the busiest start; a follower that is further behind lists again.
MAX_LOGGED_CHANGES: Final = 2_000
# The same bound for large objects, such as batch jobs: a quarter of a minute of the busiest
# traffic (3 jobs of 15 KB per second), or a few of the largest jobs.
MAX_LOGGED_BYTES: Final = 4_000_000
# An answer must fit one frame between processes; a larger one is read from the store itself.
MAX_ANSWER_BYTES: Final = 1_000_000


# Returns whether readers need to know that a value has changed, given the old and the new one.
IsRelevant = Callable[[bytes, bytes], bool]


def always_relevant(_before: bytes, _after: bytes) -> bool:
    """Return True: readers need to know of every new value."""
    return True


class _LoggedChange(NamedTuple):
    """Hold a change, and the revision that the follower had reached with it."""

    at_revision: int
    change: Change


class Mirror:
    """Hold the objects under a prefix and their latest changes.

    max_silence_ms is how long the follower may go without an answer from the store before the
    mirror stops to answer.
    """

    def __init__(
        self, clock: Clock, max_silence_ms: int, is_relevant: IsRelevant = always_relevant
    ) -> None:
        self._clock = clock
        self._is_relevant = is_relevant
        self._max_silence_ms = max_silence_ms
        self._objects: dict[str, Change] = {}
        self._log: deque[_LoggedChange] = deque()
        self._log_bytes = 0
        # Changes up to this revision may be missing in the log.
        self._log_start = 0
        self._revision = 0
        self._last_reached_ms: Millis | None = None
        # Changes that the follower has reported since it last reached a revision.
        self._pending: list[Change] = []
        self._waiting: list[Deferred[None]] = []

    def on_change(self, change: Change) -> None:
        """Apply a change that the follower has read."""
        if change.deleted:
            self._objects.pop(change.key, None)
            self._pending.append(change)
            return
        before = self._objects.get(change.key)
        self._objects[change.key] = change
        if before is None or self._is_relevant(before.value, change.value):
            self._pending.append(change)

    def on_reached(self, revision: int | None, direct: bool) -> None:
        """Record that the follower knows all changes up to a revision.

        revision is None if the follower has lost the store; direct says whether it reads the
        store itself. Two mirrors that follow each other would both fall behind and still take
        each other for current, so only a direct follower counts.
        """
        if revision is None or not direct:
            self._stop_answering()
            return
        if self._last_reached_ms is None:
            self._log_start = revision
            self._pending = []
        self._last_reached_ms = self._clock.now()
        if revision <= self._revision:
            # Changes found by a listing beside the watch are logged with the next revision.
            return
        self._revision = revision
        self._log.extend(_LoggedChange(revision, change) for change in self._pending)
        self._log_bytes += sum(len(change.value) for change in self._pending)
        self._pending = []
        while len(self._log) > MAX_LOGGED_CHANGES or self._log_bytes > MAX_LOGGED_BYTES:
            oldest = self._log.popleft()
            self._log_bytes -= len(oldest.change.value)
            self._log_start = oldest.at_revision
        self._wake()

    def list_all(self) -> Result[Listing, StoreError]:
        """Return all objects at the revision reached."""
        if not self._is_current():
            return Err(StoreError.UNAVAILABLE)
        found = [Entry(known.key, known.version, known.value) for known in self._objects.values()]
        if sum(len(entry.value) for entry in found) > MAX_ANSWER_BYTES:
            return Err(StoreError.UNAVAILABLE)
        return Ok(Listing(sorted(found), False, self._revision))

    async def watch(self, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        """Return the changes after a revision; wait for a change if there is none."""
        due_ms = self._clock.now() + wait_ms
        while True:
            if not self._is_current():
                return Err(StoreError.UNAVAILABLE)
            if since < self._log_start:
                return Err(StoreError.TOO_OLD)
            changes = self._changes_after(since)
            left_ms = due_ms - self._clock.now()
            if sum(len(change.value) for change in changes) > MAX_ANSWER_BYTES:
                return Err(StoreError.UNAVAILABLE)
            if changes or left_ms <= 0:
                return Ok(Changes(changes, max(since, self._revision)))
            await self._wait_for_change(left_ms)

    def _changes_after(self, since: int) -> list[Change]:
        changes = []
        for logged in reversed(self._log):
            if logged.at_revision <= since:
                break
            changes.append(logged.change)
        changes.reverse()
        return changes

    def _is_current(self) -> bool:
        reached_ms = self._last_reached_ms
        return reached_ms is not None and self._clock.now() - reached_ms <= self._max_silence_ms

    def _stop_answering(self) -> None:
        """Stop answering and clear the log, which may have a gap when following resumes."""
        self._last_reached_ms = None
        self._log.clear()
        self._log_bytes = 0
        self._pending = []
        self._wake()

    async def _wait_for_change(self, wait_ms: int) -> None:
        waiting: Deferred[None] = Deferred()
        self._waiting.append(waiting)
        timer = self._clock.call_later(wait_ms, lambda: self._finish_wait(waiting))
        try:
            await waiting
        finally:
            if timer.active():
                timer.cancel()

    def _finish_wait(self, waiting: Deferred[None]) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.callback(None)

    def _wake(self) -> None:
        for waiting in list(self._waiting):
            self._finish_wait(waiting)
