"""Decide which work is sent no more because the replicas that run it end.

The load this answers: one request ends each replica that begins to run it and comes again, at any
instance and under another id. Each return costs a replica for the seconds of its start, and with it
every call that is open there: nine replicas were lost within eleven seconds to one work.

Which of the calls open at a replica has ended it cannot be seen. What can be seen is the work that
is there each time: work counts a loss for each replica that was lost under it, and a whole answer
takes one away, so that what is asked often and answered is never held. Work that was answered just
before its first loss is held later still: open beside work that ends its replicas, it has the same
losses, and only what went before tells the two apart. Any instance may have answered it, so a
recent answer counts wherever it was given, for as long as the losses last.

A loss stands until the replica is seen alive: it answers a call sent later, or is still listed when
its end would long have been noticed. So a connection that was reset, or an answer that was late,
holds nothing up.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final, NamedTuple

from papayapier.policy.recent_answers import RecentAnswers
from papayapier.policy.send_windows import CrashTurns

# Two ends may be chance: where a third of the replicas end at once, one request in thirty is at two
# of them with its own tries. At a third end of the same work, chance is the poorer bet.
LOSSES_MOST: Final = 3
# Work that replicas have answered lately is most likely only there when they end.
ANSWERED_LOSSES_MOST: Final = 6
ANSWERED_LATELY_MS: Final = 60_000
# An item of a job is not refused but waits, and runs once at a time, so that it may be tried some
# more times: one that was beside a crashing request thrice is done after all.
ITEM_LOSSES_MOST: Final = 6
# Before an item with three losses is tried again, doubled each time: as long as a replica needs to
# be back, so that a crashing item does not take a second one meanwhile.
ITEM_PAUSE_MS: Final = 4_000
# Before work with two losses is sent once more: longer than most calls that are open beside it, so
# that what only was there is answered meanwhile, or is not there the next time.
APART_MS: Final = 400
# A peer's answer may be told this long before the losses; kept longer, instances would tell it to
# each other without end.
WORD_STANDS_MS: Final = 5_000
# Bounds the memory that answered works take.
ANSWERS_MOST: Final = 10_000
# How long work is held after its last loss. A start with weights to load takes minutes; at most one
# replica in that time is the price of learning that a repaired model can run it.
HOLD_MS: Final = 600_000
# An end is in the list after three missed signs of life, four seconds, and known here a second
# later; whatever is listed after twice that has not ended.
LISTED_MS: Final = 10_000
# Calls lost by one end notice it at once where connections are reset, else after the longest
# silence that they bear, four seconds. What is lost later at the same name is lost by another end:
# some replicas start again under their name.
SAME_END_MS: Final = 5_000
# Whoever waits for the end of a doubt does not come back sooner than this.
SOONEST_RETURN_MS: Final = 1_000
# Work that has not come for so long is forgotten.
FORGET_MS: Final = 3_600_000
# A crash of a replica brings as many works as it has calls, ten or so. A thousand with three losses
# each take 1.0 MB and 3.6 ms a sweep, measured.
WORKS_MOST: Final = 1_000
KEPT_LOSSES: Final = 8
# What is told to one who has just started: 16 kB, measured.
SNAPSHOT_MOST: Final = 500


class Loss(NamedTuple):
    """Say that a replica was lost under a work, and how long ago.

    lately tells that the work had been answered in the minute before its first loss.
    """

    work: str
    replica: str
    age_ms: int
    lately: bool = False


class _Lost:
    """Hold one loss; sure says that a later sign of life is that of another start."""

    __slots__ = ("at_ms", "heard_ms", "replica", "sure")

    def __init__(self, replica: str, at_ms: int, heard_ms: int) -> None:
        self.replica = replica
        self.at_ms = at_ms
        self.heard_ms = heard_ms
        self.sure = False

    def settled(self, now: int) -> bool:
        """Tell whether the list alone can no longer take it back."""
        return self.sure or self.heard_ms + LISTED_MS <= now


class _Work:
    """Hold the losses of one work, and how often it was answered since the first.

    most is the number of losses from which on it is held.
    """

    __slots__ = ("answered", "last_ms", "losses", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.losses: list[_Lost] = []
        self.answered = 0
        self.last_ms = 0

    def count(self) -> int:
        return len(self.losses) - self.answered

    def over(self) -> bool:
        return self.count() >= self.most

    def nearly(self) -> bool:
        """Tell whether one more loss holds it, and nothing speaks for it."""
        return not self.lately() and self.count() == LOSSES_MOST - 1

    def lately(self) -> bool:
        return self.most == ANSWERED_LOSSES_MOST

    def knows(self, replica: str, at_ms: int) -> bool:
        return any(
            lost.replica == replica and abs(lost.at_ms - at_ms) < SAME_END_MS
            for lost in self.losses
        )


class CrashBook:
    """Track the work under which replicas were lost."""

    def __init__(self) -> None:
        self._works: dict[str, _Work] = {}
        self._lately = RecentAnswers(ANSWERS_MOST, ANSWERED_LATELY_MS)
        # What others have answered, as they told.
        self._told_lately = RecentAnswers(WORKS_MOST, WORD_STANDS_MS)
        # Works with a loss at a replica that may yet be seen alive.
        self._unsure: dict[str, set[str]] = {}
        self._listed: frozenset[str] = frozenset()
        self._left: dict[str, None] = {}
        # Works with as many losses as hold one.
        self._over: set[str] = set()
        # When those may be sent that one more loss would hold.
        self.turns = CrashTurns()
        # Grows with each change of what is known.
        self.changes = 0

    def empty(self) -> bool:
        """Tell whether no work has a loss."""
        return not self._works

    def knows(self, work: str) -> bool:
        """Tell whether a work has a loss."""
        return work in self._works

    def replicas(self, work: str) -> list[str]:
        """Return the replicas that were lost under a work."""
        known = self._works.get(work)
        return [lost.replica for lost in known.losses] if known is not None else []

    def hold_ms(self, work: str, now: int) -> int:
        """Return for how long a request's work is not sent, in ms; 0 if it may be."""
        known = self._works.get(work)
        if known is None or not known.over():
            return 0
        return max(0, known.last_ms + HOLD_MS - now)

    def apart_ms(self, work: str) -> int:
        """Return the least pause before work that may soon be held, in ms.

        Tries of two works that follow each other at once end up at the same replicas, so that the
        one that ends them cannot be told from the one that is there by chance.
        """
        known = self._works.get(work)
        if known is None or known.over():
            return 0
        return APART_MS if known.count() >= LOSSES_MOST - 1 else 0

    def item_hold_ms(self, work: str, now: int) -> int:
        """Return for how long an item's work is not sent, in ms; 0 if it may be.

        One with rivals waits until those that are asked have had their turns.
        """
        known = self._works.get(work)
        if known is None or (known.count() < LOSSES_MOST and not self.turns.rivals(work)):
            return 0
        pause_ms = HOLD_MS
        if not self.item_done_for(work):
            pause_ms = ITEM_PAUSE_MS << max(0, known.count() - LOSSES_MOST)
        return max(0, known.last_ms + pause_ms - now)

    def item_done_for(self, work: str) -> bool:
        """Tell whether an item's work has been tried as often as it may be."""
        known = self._works.get(work)
        return known is not None and known.count() >= ITEM_LOSSES_MOST

    def held(self, now: int) -> frozenset[str]:
        """Return the works that are held."""
        return frozenset(work for work in self._over if self.hold_ms(work, now))

    def return_ms(self, work: str, now: int) -> int:
        """Return when the caller of held work may come again, in ms.

        While too few of its replicas are known to have ended that is when it will be known.
        """
        known = self._works[work]
        unsure = [lost for lost in known.losses if not lost.settled(now)]
        if known.count() - len(unsure) >= known.most:
            return self.hold_ms(work, now)
        return max(SOONEST_RETURN_MS, min(lost.heard_ms for lost in unsure) + LISTED_MS - now)

    def stands(self, loss: Loss) -> bool:
        """Tell whether a loss has not been taken back."""
        return loss.replica in self.replicas(loss.work)

    def on_lost(self, work: str, replica: str, now: int) -> bool:
        """Count a replica lost under a work; return whether it is a new loss.

        A replica that leaves as planned may cut off what is still open at its end.
        """
        if replica in self._left:
            return False
        return self._add(work, replica, now, now)

    def on_told(self, losses: Iterable[Loss], now: int) -> list[Loss]:
        """Take losses from others; return those not known before."""
        losses = list(losses)
        self.take_lately({one.work for one in losses if one.lately}, now)
        return [one for one in losses if self._add(one.work, one.replica, now - one.age_ms, now)]

    def note_answered(self, work: str, now: int) -> None:
        """Remember that a work was answered, also where it has no loss."""
        self._lately.note(work, now)

    def answered_lately(self, works: Iterable[str], now: int) -> list[str]:
        """Return which of some works were answered just before their losses, or lately here."""
        return [work for work in works if self._was_answered(work, now)]

    def take_lately(self, works: Iterable[str], now: int) -> list[str]:
        """Take that others have answered works lately; return those with losses that it clears."""
        cleared = []
        for work in works:
            self._told_lately.note(work, now)
            known = self._works.get(work)
            if known is not None and not known.lately():
                known.most = ANSWERED_LOSSES_MOST
                self._note_change(work)
                cleared.append(work)
        return cleared

    def _was_answered(self, work: str, now: int) -> bool:
        known = self._works.get(work)
        return known.lately() if known is not None else self._lately.knows(work, now)

    def on_answered(self, work: str) -> bool:
        """Count an answer to a work; return whether it was known here."""
        known = self._works.get(work)
        if known is None:
            return False
        known.answered += 1
        self._note_change(work)
        return True

    def on_alive(self, replica: str, sent_ms: int) -> None:
        """Take that a replica has answered a call sent at a time."""
        for work in list(self._unsure.get(replica, ())):
            self._drop(work, lambda lost: lost.replica == replica and lost.heard_ms <= sent_ms)

    def on_ended(self, replica: str) -> None:
        """Take that nobody listens at a replica's address.

        What answers later under its name is another start of it. A replica that only cannot be
        reached says nothing: taken for ended, what is asked often would be held after a cut.
        """
        for work in self._unsure.pop(replica, ()):
            for lost in self._works[work].losses:
                lost.sure = lost.sure or lost.replica == replica

    def on_listed(self, listed: Collection[str], leaving: Collection[str]) -> None:
        """Take the whole list of replicas, and those of them that leave as planned."""
        self._listed = frozenset(listed)
        for replica in leaving:
            self._left[replica] = None
        while len(self._left) > WORKS_MOST:
            del self._left[next(iter(self._left))]

    def sweep(self, now: int, list_fresh: bool) -> None:
        """Drop losses at replicas that are listed long after, and what is old."""

        def seen(lost: _Lost) -> bool:
            return lost.replica in self._listed and lost.settled(now)

        for work, known in list(self._works.items()):
            if known.last_ms + FORGET_MS <= now:
                self._forget(work)
            elif list_fresh:
                self._drop(work, seen)

    def snapshot(self, now: int, only: Collection[str] = ()) -> list[Loss]:
        """Return the losses of all works, or of some, those with most losses first."""
        works = [(work, known) for work, known in self._works.items() if not only or work in only]
        works.sort(key=lambda one: (-one[1].count(), -one[1].last_ms))
        losses = [
            Loss(work, lost.replica, max(0, now - lost.at_ms), known.lately())
            for work, known in works
            for lost in known.losses
        ]
        return losses[:SNAPSHOT_MOST]

    def _add(self, work: str, replica: str, at_ms: int, heard_ms: int) -> bool:
        known = self._works.get(work)
        if known is None:
            self._make_room()
            lately = self._lately.knows(work, at_ms) or self._told_lately.knows(work, at_ms)
            most = ANSWERED_LOSSES_MOST if lately else LOSSES_MOST
            known = self._works[work] = _Work(most)
        if known.knows(replica, at_ms):
            return False
        known.last_ms = max(known.last_ms, at_ms)
        if len(known.losses) >= KEPT_LOSSES:
            return False
        known.losses.append(_Lost(replica, at_ms, heard_ms))
        self._unsure.setdefault(replica, set()).add(work)
        self._note_change(work)
        return True

    def _make_room(self) -> None:
        if len(self._works) < WORKS_MOST:
            return
        works = self._works
        self._forget(min(works, key=lambda one: (works[one].count(), works[one].last_ms)))

    def _drop(self, work: str, dropped: Callable[[_Lost], bool]) -> None:
        """Take back the losses of a work that are not sure and of which something holds."""
        known = self._works[work]
        kept = [lost for lost in known.losses if lost.sure or not dropped(lost)]
        gone = {lost.replica for lost in known.losses} - {lost.replica for lost in kept}
        known.losses = kept
        for replica in gone:
            self._unlink(work, replica)
        if gone:
            self._note_change(work)

    def _note_change(self, work: str) -> None:
        self.changes += 1
        known = self._works[work]
        if known.over():
            self._over.add(work)
        else:
            self._over.discard(work)
        if known.nearly():
            self.turns.join(work, self.replicas(work), known.last_ms)
        else:
            self.turns.leave(work)
        if known.count() <= 0:
            self._forget(work)

    def _forget(self, work: str) -> None:
        self.changes += 1
        self._over.discard(work)
        self.turns.leave(work)
        for lost in self._works.pop(work).losses:
            self._unlink(work, lost.replica)

    def _unlink(self, work: str, replica: str) -> None:
        works = self._unsure.get(replica)
        if works is not None:
            works.discard(work)
            if not works:
                del self._unsure[replica]
