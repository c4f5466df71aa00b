"""Keep this process's own attempts until their ends are in the store.

Only this table says what the process has done with a token: the store says what it meant to
do. An attempt that was given up stays here until the store shows it as abandoned, so that
the question of another instance always has a true answer.
"""

from enum import Enum
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from papayapier.claims.records import Record, SavedAnswer
from papayapier.clock import Clock

T = TypeVar("T")


class AttemptState(Enum):
    """Name the states of an attempt of this process."""

    CLAIMING = "claiming"
    SENDING = "sending"
    ABANDONED = "abandoned"
    DONE = "done"


class Attempt:
    """Hold one attempt on a key."""

    __slots__ = ("_deciding", "_waiting", "answer", "content", "id", "kept", "state", "token")

    def __init__(self, claim: bytes, token: bytes, content: bytes) -> None:
        self.id = claim
        self.token = token
        self.content = content
        self.state = AttemptState.CLAIMING
        self.answer: SavedAnswer | None = None
        self.kept: Record | None = None
        self._waiting: list[Deferred[bool]] = []
        self._deciding: list[Deferred[bool]] = []

    def when_decided(self) -> Deferred[bool]:
        """Return a Deferred that fires when it is known whether the key was claimed."""
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

    def may_send(self, kept: Record) -> None:
        """Note that the key was claimed and the request may be sent."""
        self.kept = kept
        self.state = AttemptState.SENDING
        self._deciding = _fire(self._deciding)

    def end(self, state: AttemptState, answer: SavedAnswer | None) -> None:
        """Set the end, and wake those who wait for it."""
        self.state = state
        self.answer = answer
        self._deciding = _fire(self._deciding)
        self._waiting = _fire(self._waiting)


class Attempts:
    """Find attempts by the key's id and by token."""

    def __init__(self) -> None:
        self._by_id: dict[bytes, Attempt] = {}
        self._by_token: dict[bytes, Attempt] = {}

    def add(self, claim: bytes, token: bytes, content: bytes) -> Attempt:
        """Begin an attempt; the id has none that counts."""
        assert claim not in self._by_id
        attempt = Attempt(claim, token, content)
        self._by_id[claim] = attempt
        self._by_token[token] = attempt
        return attempt

    def by_id(self, claim: bytes) -> Attempt | None:
        """Return the attempt on a key that was not given up."""
        return self._by_id.get(claim)

    def by_token(self, token: bytes) -> Attempt | None:
        """Return an attempt whose end is not in the store yet."""
        return self._by_token.get(token)

    def gave_up(self, token: bytes) -> bool:
        """Tell whether a token will certainly never be sent."""
        attempt = self._by_token.get(token)
        return attempt is not None and attempt.state is AttemptState.ABANDONED

    def end(self, attempt: Attempt, state: AttemptState, answer: SavedAnswer | None) -> None:
        """End an attempt; an abandoned one leaves its key free at once."""
        if state is AttemptState.ABANDONED and self._by_id.get(attempt.id) is attempt:
            del self._by_id[attempt.id]
        attempt.end(state, answer)

    def ids(self) -> set[bytes]:
        """Return the ids of all attempts that are not forgotten."""
        return {attempt.id for attempt in self._by_token.values()}

    def forget(self, attempt: Attempt) -> None:
        """Drop an attempt whose end is in the store, or whose claim never will be."""
        self._by_token.pop(attempt.token, None)
        if self._by_id.get(attempt.id) is attempt:
            del self._by_id[attempt.id]


def _fire(waiting: list[Deferred[bool]]) -> list[Deferred[bool]]:
    for one in waiting:
        one.callback(True)
    return []


async def until(clock: Clock, done: Deferred[T], due_ms: int) -> T | None:
    """Wait for a Deferred, at most until a time; None also stands for its failure."""
    gate: Deferred[T | None] = Deferred()

    def open_gate(value: T | None) -> None:
        if not gate.called:
            gate.callback(value)

    def pass_value(value: T) -> T:
        open_gate(value)
        return value

    def pass_failure(failure: Failure) -> Failure:
        open_gate(None)
        return failure

    done.addCallbacks(pass_value, pass_failure)
    timer = clock.call_later(due_ms - clock.now(), lambda: open_gate(None))
    try:
        return await gate
    finally:
        if timer.active():
            timer.cancel()
