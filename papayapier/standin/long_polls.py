"""Track the long polls that wait for a change."""

from collections.abc import Callable
from functools import partial
from itertools import count

from papayapier.clock import Clock, Timer
from papayapier.standin.platform_calls import PollCheck, Response

Respond = Callable[[Response], None]


class LongPoll:
    """Hold one waiting long poll."""

    __slots__ = ("check", "prefix", "respond", "timer")

    def __init__(self, prefix: str, check: PollCheck, respond: Respond, timer: Timer) -> None:
        self.prefix = prefix
        self.check = check
        self.respond = respond
        self.timer = timer


class LongPolls:
    """Track the waiting calls, and answer each on a change or at its timeout."""

    __slots__ = ("_clock", "_ids", "_polls")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ids = count()
        self._polls: dict[int, LongPoll] = {}

    def add(
        self, prefix: str, wait_ms: int, check: PollCheck, respond: Respond
    ) -> Callable[[], None]:
        """Answer at once if there is a change, otherwise wait; return a function that cancels."""
        response = check(wait_ms == 0)
        if response is not None:
            respond(response)
            return _do_nothing
        poll_id = next(self._ids)
        timer = self._clock.call_later(wait_ms, partial(self._time_out, poll_id))
        self._polls[poll_id] = LongPoll(prefix, check, respond, timer)
        return partial(self._remove, poll_id)

    def recheck(self, key: str) -> None:
        """Recheck the calls whose prefix matches a changed key."""
        for poll_id, poll in list(self._polls.items()):
            if not key.startswith(poll.prefix):
                continue
            response = poll.check(False)
            if response is not None:
                self._remove(poll_id)
                poll.respond(response)

    def answer_all(self, response: Response) -> None:
        """Send the same response to every waiting call."""
        polls = list(self._polls.values())
        self.drop_all()
        for poll in polls:
            poll.respond(response)

    def drop_all(self) -> None:
        """Drop the waiting calls without a response."""
        for poll_id in list(self._polls):
            self._remove(poll_id)

    def _time_out(self, poll_id: int) -> None:
        poll = self._polls.pop(poll_id)
        response = poll.check(True)
        if response is not None:
            poll.respond(response)

    def _remove(self, poll_id: int) -> None:
        poll = self._polls.pop(poll_id, None)
        if poll is not None and poll.timer.active():
            poll.timer.cancel()


def _do_nothing() -> None:
    pass
