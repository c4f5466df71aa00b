"""Track this process's own attempts until their outcomes are in the store.

Only this table records what the process has done with a token; the store records what it intended
to do. An attempt that was given up stays here until it is stored as abandoned, so that requests
of other instances about it always get a correct reply.
"""

from enum import Enum
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from papayapier.claims.records import Record, SavedAnswer
from papayapier.clock import Clock

T = TypeVar("T")


class AttemptState(Enum):
    """Name the states of an attempt in this process."""

    CLAIMING = "claiming"
    SENDING = "sending"
    ABANDONED = "abandoned"
    DONE = "done"


class Attempt:
    """Hold one attempt to claim a key and run its request."""

    __slots__ = ("_deciding", "_waiting", "answer", "content", "id", "state", "stored", "token")

    def __init__(self, claim: bytes, token: bytes, content: bytes) -> None:
        self.id = claim
        self.token = token
        self.content = content
        self.state = AttemptState.CLAIMING
        self.answer: SavedAnswer | None = None
        self.stored: Record | None = None
        self._waiting: list[Deferred[bool]] = []
        self._deciding: list[Deferred[bool]] = []

    def when_decided(self) -> Deferred[bool]:
        """Return a Deferred that fires when the outcome of claiming the key is known."""
        decided: Deferred[bool] = Deferred()
        if self.state is AttemptState.CLAIMING:
            self._deciding.append(decided)
        else:
            decided.callback(True)
        return decided

    def when_ended(self) -> Deferred[bool]:
        """Return a Deferred that fires when the attempt is abandoned or done."""
        ended: Deferred[bool] = Deferred()
        if self.state in (AttemptState.ABANDONED, AttemptState.DONE):
            ended.callback(True)
        else:
            self._waiting.append(ended)
        return ended

    def on_claimed(self, stored: Record) -> None:
        """Record that the key was claimed, so that the request may be sent."""
        self.stored = stored
        self.state = AttemptState.SENDING
        self._deciding = _fire_all(self._deciding)

    def end(self, state: AttemptState, answer: SavedAnswer | None) -> None:
        """Set the outcome, and fire the Deferreds that wait for it."""
        self.state = state
        self.answer = answer
        self._deciding = _fire_all(self._deciding)
        self._waiting = _fire_all(self._waiting)


class Attempts:
    """Index the attempts by claim id and by token."""

    def __init__(self) -> None:
        self._by_id: dict[bytes, Attempt] = {}
        self._by_token: dict[bytes, Attempt] = {}

    def add(self, claim: bytes, token: bytes, content: bytes) -> Attempt:
        """Add an attempt; the claim id must not have an active one."""
        assert claim not in self._by_id
        attempt = Attempt(claim, token, content)
        self._by_id[claim] = attempt
        self._by_token[token] = attempt
        return attempt

    def by_id(self, claim: bytes) -> Attempt | None:
        """Return the attempt on a claim id that was not given up."""
        return self._by_id.get(claim)

    def by_token(self, token: bytes) -> Attempt | None:
        """Return the attempt with a token, if its outcome is not in the store yet."""
        return self._by_token.get(token)

    def gave_up(self, token: bytes) -> bool:
        """Return whether the request of a token was given up and will never be sent."""
        attempt = self._by_token.get(token)
        return attempt is not None and attempt.state is AttemptState.ABANDONED

    def end(self, attempt: Attempt, state: AttemptState, answer: SavedAnswer | None) -> None:
        """End an attempt; abandoning it frees its claim id at once."""
        if state is AttemptState.ABANDONED and self._by_id.get(attempt.id) is attempt:
            del self._by_id[attempt.id]
        attempt.end(state, answer)

    def ids(self) -> set[bytes]:
        """Return the claim ids of all tracked attempts."""
        return {attempt.id for attempt in self._by_token.values()}

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt whose outcome is in the store, or whose claim will never be there."""
        self._by_token.pop(attempt.token, None)
        if self._by_id.get(attempt.id) is attempt:
            del self._by_id[attempt.id]


def _fire_all(waiting: list[Deferred[bool]]) -> list[Deferred[bool]]:
    for deferred in waiting:
        deferred.callback(True)
    return []


async def wait_until(clock: Clock, done: Deferred[T], due_ms: int) -> T | None:
    """Wait for a Deferred until a due time; return None on timeout or failure."""
    outcome: Deferred[T | None] = Deferred()

    def resolve(value: T | None) -> None:
        if not outcome.called:
            outcome.callback(value)

    def pass_value(value: T) -> T:
        resolve(value)
        return value

    def pass_failure(failure: Failure) -> Failure:
        resolve(None)
        return failure

    done.addCallbacks(pass_value, pass_failure)
    timer = clock.call_later(due_ms - clock.now(), lambda: resolve(None))
    try:
        return await outcome
    finally:
        if timer.active():
            timer.cancel()
