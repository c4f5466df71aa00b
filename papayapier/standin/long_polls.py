"""Track the long polls that wait for a change."""

from collections.abc import Callable
from functools import partial
from itertools import count

from papayapier.clock import Clock, Timer
from papayapier.standin.platform_calls import Answer, Look

Reply = Callable[[Answer], None]


class Poll:
    """Hold one waiting long poll."""

    __slots__ = ("look", "prefix", "reply", "timer")

    def __init__(self, prefix: str, look: Look, reply: Reply, timer: Timer) -> None:
        self.prefix = prefix
        self.look = look
        self.reply = reply
        self.timer = timer


class LongPolls:
    """Track the waiting calls, and answer each on a change or at its timeout."""

    __slots__ = ("_clock", "_idents", "_polls")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idents = count()
        self._polls: dict[int, Poll] = {}

    def add(self, prefix: str, wait_ms: int, look: Look, reply: Reply) -> Callable[[], None]:
        """Answer at once if there is a change, otherwise wait; return a function that cancels."""
        answer = look(wait_ms == 0)
        if answer is not None:
            reply(answer)
            return _do_nothing
        ident = next(self._idents)
        timer = self._clock.call_later(wait_ms, partial(self._end, ident))
        self._polls[ident] = Poll(prefix, look, reply, timer)
        return partial(self._forget, ident)

    def wake(self, key: str) -> None:
        """Recheck the calls whose prefix matches a changed key."""
        for ident, poll in list(self._polls.items()):
            if not key.startswith(poll.prefix):
                continue
            answer = poll.look(False)
            if answer is not None:
                self._forget(ident)
                poll.reply(answer)

    def end_all(self, answer: Answer) -> None:
        """Send the same response to every waiting call."""
        polls = list(self._polls.values())
        self.forget_all()
        for poll in polls:
            poll.reply(answer)

    def forget_all(self) -> None:
        """Drop the waiting calls without a response."""
        for ident in list(self._polls):
            self._forget(ident)

    def _end(self, ident: int) -> None:
        poll = self._polls.pop(ident)
        answer = poll.look(True)
        if answer is not None:
            poll.reply(answer)

    def _forget(self, ident: int) -> None:
        poll = self._polls.pop(ident, None)
        if poll is not None and poll.timer.active():
            poll.timer.cancel()


def _do_nothing() -> None:
    pass
