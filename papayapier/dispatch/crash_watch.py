"""Watch how sends end, and refuse work under which replicas end.

Every way in which work is sent comes by here: a request's own tries, its caller's returns, streams
that go on, items of jobs. What peers tell of their sends counts like what is seen here.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Any, Final, NamedTuple

from result import Ok, Result

from papayapier import events
from papayapier.clock import MS_PER_S, Clock, Timer
from papayapier.dispatch.lost_sends import is_lost, note_lost
from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.metrics import Metrics
from papayapier.policy.crashes import CrashBook, Loss
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

# Far below the time for which a loss stands; costs nothing while there is none.
SWEEP_MS: Final = 1_000

# Names the work of a send; a digest of its body, made only where it is asked for.
Work = Callable[[], str]


class Hearers(NamedTuple):
    """Name who is told of losses and answers seen here, and of work that is held from now on."""

    lost: Callable[[Loss], None]
    answered: Callable[[str], None]
    held: Callable[[str], None]


class CrashWatch:
    """Own the losses, and tell of changes."""

    def __init__(self, clock: Clock, metrics: Metrics, list_fresh: Callable[[], bool]) -> None:
        """Make a watch; list_fresh tells whether the list of replicas can be believed now."""
        self._clock = clock
        self._metrics = metrics
        self._list_fresh = list_fresh
        self._book = CrashBook()
        self._held: frozenset[str] = frozenset()
        self._reviewed = 0
        self._timer: Timer | None = None
        self._hearers: Hearers | None = None

    def connect(self, hearers: Hearers) -> None:
        """Name who is told."""
        self._hearers = hearers

    def refusal(self, request_id: str, work: Work) -> Refusal | None:
        """Return the refusal of a request whose work is held."""
        if self._book.empty():
            return None
        name = work()
        hold_ms = self._book.hold_ms(name, self._clock.now())
        return self._refuse(request_id, name) if hold_ms else None

    def apart_ms(self, work: Work) -> int:
        """Return the least pause before a request whose work one more loss would hold, in ms."""
        return 0 if self._book.empty() else self._book.apart_ms(work())

    def turn_ms(self, work: Work) -> int:
        """Return when a request may be sent whose work one more loss would hold, in ms."""
        return 0 if self._book.empty() else self._book.turns.wait_ms(work(), self._clock.now())

    def take_turn(self, work: Work) -> bool:
        """Tell whether a request may be sent now."""
        return self._book.empty() or self._book.turns.take(work(), self._clock.now())

    def rivals(self, work: Work) -> list[str]:
        """Return the works that a work takes turns with."""
        return self._book.turns.rivals(work())

    def item_hold_ms(self, work: Work) -> int:
        """Return for how long an item is not sent, in ms; 0 if it may be."""
        return 0 if self._book.empty() else self._book.item_hold_ms(work(), self._clock.now())

    def item_refusal(self, item_id: str, work: Work) -> Refusal | None:
        """Return the refusal of an item that has been tried as often as it may be."""
        hold_ms = self.item_hold_ms(work)
        if not hold_ms or not self._book.item_done_for(work()):
            return None
        return self._refuse(item_id, work())

    def _refuse(self, request_id: str, name: str) -> Refusal:
        replicas = self._book.replicas(name)
        return_ms = self._book.return_ms(name, self._clock.now())
        events.emit(
            events.REQUEST_HELD,
            request=request_id,
            work=name,
            replicas=replicas,
            return_ms=return_ms,
        )
        reason = (
            f"{len(replicas)} replicas were lost while they ran the same request; "
            f"it is not sent for {return_ms // MS_PER_S} s"
        )
        return not_run(ErrorKind.ENDS_REPLICAS, reason, return_ms)

    def sent(
        self,
        request_id: str,
        work: Work,
        replica: Replica,
        ended: "Result[Any, Failure]",
        started_ms: int,
    ) -> None:
        """Take how a send ended."""
        if isinstance(ended, Ok) or _spoke(ended.err_value):
            self._book.on_alive(replica.id, started_ms)
            self._take_answer(work)
        elif ended.err_value.closed:
            self._book.on_ended(replica.id)
        elif is_lost(ended.err_value):
            self._take_loss(request_id, work(), replica, ended.err_value)
        self._review_if_changed()

    def on_poll_failed(self, replica: Replica, failure: Failure) -> None:
        """Take how a call that is no send has failed."""
        if failure.closed:
            self._book.on_ended(replica.id)

    def on_told(self, losses: Iterable[Loss], answered: Iterable[str]) -> list[Loss]:
        """Take what a peer or a disk tells; return the losses not known before."""
        fresh = self._book.on_told(losses, self._clock.now())
        for work in answered:
            self._book.on_answered(work)
        self._review_if_changed()
        return fresh

    def is_held(self, work: str) -> bool:
        """Tell whether a work is held."""
        return work in self._held

    def answered_lately(self, works: Iterable[str]) -> list[str]:
        """Return which of some works were answered just before their losses, or lately here."""
        return self._book.answered_lately(works, self._clock.now())

    def take_lately(self, works: Iterable[str], peer_id: str) -> list[str]:
        """Take that a peer has answered works lately; return those whose losses count less."""
        cleared = self._book.take_lately(works, self._clock.now())
        for work in cleared:
            events.emit(events.WORK_CLEARED, work=work, peer=peer_id)
        self._review_if_changed()
        return cleared

    def on_listed(self, listed: Collection[str], leaving: Collection[str]) -> None:
        """Take the whole list of replicas, and those of them that leave as planned."""
        self._book.on_listed(listed, leaving)

    def snapshot(self, only: Collection[str] = ()) -> list[Loss]:
        """Return the losses of all works, or of some."""
        return self._book.snapshot(self._clock.now(), only)

    def stands(self, loss: Loss) -> bool:
        """Tell whether a loss has not been taken back."""
        return self._book.stands(loss)

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _take_answer(self, work: Work) -> None:
        name = work()
        self._book.note_answered(name, self._clock.now())
        if self._book.on_answered(name) and self._hearers is not None:
            self._hearers.answered(name)

    def _take_loss(self, request_id: str, work: str, replica: Replica, failure: Failure) -> None:
        note_lost(request_id, work, replica, failure)
        self._metrics.sends_lost.labels(failure.kind.value).inc()
        fresh = self._book.on_lost(work, replica.id, self._clock.now())
        if fresh and self._hearers is not None:
            self._hearers.lost(Loss(work, replica.id, 0))

    def _review_if_changed(self) -> None:
        if self._reviewed != self._book.changes:
            self._review()

    def _review(self) -> None:
        """Tell of work that is held from now on, and of work that no longer is."""
        self._reviewed = self._book.changes
        was, self._held = self._held, self._book.held(self._clock.now())
        for work in sorted(self._held - was):
            replicas = self._book.replicas(work)
            events.emit(events.WORK_HELD, work=work, replicas=replicas)
            if self._hearers is not None:
                self._hearers.held(work)
        for work in sorted(was - self._held):
            events.emit(events.WORK_RELEASED, work=work)
        self._metrics.works_held.set(len(self._held))
        if not self._book.empty() and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.call_later(SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        self._book.sweep(self._clock.now(), self._list_fresh())
        self._review()


def _spoke(failure: Failure) -> bool:
    """Tell whether the replica itself answered that it has failed the call."""
    return failure.kind is FailureKind.STATUS and failure.sent is Sent.MAYBE
