"""Quarantine the parts of prompts that crash the replicas which answer them.

Motivation: a part of a prompt ends each replica that begins to answer a request with it, whatever
else the request holds. No two of these requests are alike, so that counting losses per request
finds nothing: seventeen replicas ended under one part.

Which of the open requests ended a replica cannot be observed, nor which of its parts. What can be
observed is which parts replicas were lost with, and which were answered. A part is blamed if
replicas were lost on several occasions while they began to answer requests with it, and no request
with it was answered between. A part that most requests share is open at each crash, and answered
all the time. Replicas that end at the same time are one occasion, as their cause may be common to
them. Where many end at the same time, the part is blamed if it is not answered soon after.

A quarantined part is sent one request at a time, as a probe, after pauses that grow with each probe
that is lost. An answer to a request with the part ends its quarantine, so that a wrong blame costs
one probe. Where several parts of a request are quarantined, the loss of a probe blames all of them.
A request with one of them alone tells more, so it goes first; and a lost probe delays the requests
that have all of its parts, but not at once those that have some of them.

Answers count for the upstream that gave them. Losses count for all upstreams, except those that
have answered the part since.
"""

import heapq
from collections.abc import Collection, Iterable
from typing import Final, NamedTuple

# Two losses may be chance: where replicas end one after the other, a part that is asked for now and
# then is open at two of them.
MAX_OCCASIONS: Final = 3
# Many requests with a part may be under way when the first replica ends, and end one each at the
# same time. A part that is open at so many replicas is asked for often enough to be answered
# elsewhere, and reported as answered, within a second.
MAX_REPLICAS: Final = 5
UNANSWERED_MS: Final = 1_000
# Replicas that a failing machine or network takes along end within this time.
OCCASION_MS: Final = 250
# Calls lost by one end notice it at once where connections are reset. A later loss under the same
# name is another end: some replicas restart under their name.
SAME_LOSS_MS: Final = 1_500
# Pauses before a probe, by the number of probes lost before: the second soon, as the first may have
# been lost to another cause. After the last one a part stays quarantined until it is forgotten.
PROBE_PAUSES_MS: Final = (0, 5_000, 60_000)
# Shortest pause for a request of which several parts are quarantined, so that requests with one of
# them alone go first.
JOINT_PAUSE_MS: Final = 2_000
# From so many lost probes of a part on, pauses apply to every request with it.
MAX_QUICK_PROBES: Final = 2
# Parts without a new loss for this long are forgotten.
FORGET_MS: Final = 3_600_000
# An answered part is kept until reports of older losses have arrived.
ANSWERED_KEPT_MS: Final = 10_000
# A crashed replica adds a few parts for each call that it had not begun to answer.
MAX_PARTS: Final = 1_000
# Ranking all parts for each new one would take seconds where thousands of replicas end at once.
EVICTED_AT_ONCE: Final = 100
MAX_LOSSES_KEPT: Final = 16
MAX_PARTS_PER_LOSS: Final = 64
# Bounds the snapshot sent to an instance that has just started: 16 kB.
MAX_SNAPSHOT: Final = 200


class LostReplica(NamedTuple):
    """Report that a replica was lost while it began to answer requests with some parts.

    probed lists the quarantined parts of a lost request that was a probe.
    """

    replica: str
    upstream: str
    age_ms: int
    parts: tuple[str, ...]
    probed: tuple[str, ...] = ()


class PartAnswer(NamedTuple):
    """Report that a request with a part was answered at an upstream, and how long ago."""

    part: str
    upstream: str
    age_ms: int


class PartReports(NamedTuple):
    """Group what an instance knows, or reports, of the parts of prompts."""

    losses: tuple[LostReplica, ...] = ()
    answers: tuple[PartAnswer, ...] = ()


NO_REPORTS: Final = PartReports()


class _Loss:
    """Record one loss of a part."""

    __slots__ = ("at_ms", "probed", "replica", "upstream")

    def __init__(self, lost: LostReplica, at_ms: int) -> None:
        self.replica = lost.replica
        self.upstream = lost.upstream
        self.at_ms = at_ms
        self.probed: frozenset[str] = frozenset()


class _PartRecord:
    """Record the losses of one part, and when each upstream last answered it."""

    __slots__ = ("answered_ms", "changed_ms", "losses")

    def __init__(self) -> None:
        self.losses: list[_Loss] = []
        self.answered_ms: dict[str, int] = {}
        self.changed_ms = 0

    def standing(self, upstream: str) -> list[_Loss]:
        """Return the losses that count at an upstream."""
        answered_ms = self.answered_ms.get(upstream)
        return [
            loss
            for loss in self.losses
            if _is_after(loss.at_ms, answered_ms)
            and _is_after(loss.at_ms, self.answered_ms.get(loss.upstream))
        ]

    def unanswered(self) -> list[_Loss]:
        """Return the losses that no answer at their own upstream has followed."""
        return [
            loss
            for loss in self.losses
            if _is_after(loss.at_ms, self.answered_ms.get(loss.upstream))
        ]

    def find(self, replica: str, at_ms: int) -> _Loss | None:
        """Return the recorded loss that a report is about, if there is one."""
        for loss in self.losses:
            if loss.replica == replica and abs(loss.at_ms - at_ms) < SAME_LOSS_MS:
                return loss
        return None


class PartTracker:
    """Track the parts of prompts with which replicas were lost."""

    def __init__(self) -> None:
        self._records: dict[str, _PartRecord] = {}
        # Parts with enough losses to be quarantined, now or within UNANSWERED_MS.
        self._at_limit: set[str] = set()

    def is_empty(self) -> bool:
        """Tell whether no part has a loss."""
        return not self._records

    def may_block(self) -> bool:
        """Tell whether a part may be quarantined."""
        return bool(self._at_limit)

    def quarantined(self, now: int) -> frozenset[str]:
        """Return the parts that are quarantined."""
        return frozenset(
            part for part in self._at_limit if is_blamed(self._records[part].unanswered(), now)
        )

    def on_lost(self, lost: LostReplica, now: int) -> LostReplica | None:
        """Record a loss; return it with the parts for which it is new, None if there are none."""
        at_ms = now - lost.age_ms
        new_parts = [
            part for part in lost.parts[:MAX_PARTS_PER_LOSS] if self._add(part, lost, at_ms)
        ]
        return lost._replace(parts=tuple(new_parts)) if new_parts else None

    def on_answered(self, parts: Iterable[str], upstream: str, at_ms: int) -> list[str]:
        """Record an answer; return the parts of which it takes losses back."""
        return [part for part in parts if self._answer(part, upstream, at_ms)]

    def is_suspect(self, part: str) -> bool:
        """Tell whether a part is quarantined, or would be with one more occasion or in a second."""
        record = self._records.get(part)
        if record is None:
            return False
        losses = record.unanswered()
        return (
            count_occasions(losses) >= MAX_OCCASIONS - 1 or count_replicas(losses) >= MAX_REPLICAS
        )

    def blocked(self, parts: Iterable[str], upstream: str, now: int) -> tuple[str, ...]:
        """Return those of some parts that are quarantined at an upstream."""
        return tuple(
            part
            for part in parts
            if part in self._at_limit and is_blamed(self._records[part].standing(upstream), now)
        )

    def probe_wait_ms(
        self, blocked: Collection[str], upstream: str, now: int, max_pause_ms: int = FORGET_MS
    ) -> int:
        """Return for how long a request with quarantined parts is not sent, in ms; 0 if it may.

        max_pause_ms bounds the pause after a loss.
        """
        together = frozenset(blocked)
        waits = (
            self._part_wait_ms(part, upstream, together, now, max_pause_ms) for part in blocked
        )
        return max(waits, default=0)

    def ms_since_loss(self, part: str, now: int) -> int:
        """Return the time since the last loss of a part, in ms; FORGET_MS without one."""
        record = self._records.get(part)
        if record is None or not record.losses:
            return FORGET_MS
        return now - max(loss.at_ms for loss in record.losses)

    def lost_replicas(self, part: str) -> list[str]:
        """Return the replicas that were lost with a part that was not answered since."""
        record = self._records.get(part)
        return [] if record is None else [loss.replica for loss in record.unanswered()]

    def sweep(self, now: int) -> None:
        """Forget parts that were answered, and parts without a recent loss."""
        for part, record in list(self._records.items()):
            kept_ms = FORGET_MS if record.unanswered() else ANSWERED_KEPT_MS
            if record.changed_ms + kept_ms <= now:
                self._forget(part)

    def snapshot(self, now: int, only: Collection[str] = ()) -> PartReports:
        """Return what is known of all or of some parts, the quarantined ones first."""
        return PartReports(tuple(self._losses(now, only)), tuple(self._answers(now, only)))

    def _losses(self, now: int, only: Collection[str]) -> list[LostReplica]:
        found = [
            LostReplica(
                loss.replica,
                loss.upstream,
                max(0, now - loss.at_ms),
                (part,),
                tuple(sorted(loss.probed)),
            )
            for part, record in self._records.items()
            if not only or part in only
            for loss in record.unanswered()
        ]
        found.sort(key=lambda lost: (lost.parts[0] not in self._at_limit, lost.age_ms))
        return found[:MAX_SNAPSHOT]

    def _answers(self, now: int, only: Collection[str]) -> list[PartAnswer]:
        found = [
            PartAnswer(part, upstream, max(0, now - at_ms))
            for part, record in self._records.items()
            if not only or part in only
            for upstream, at_ms in record.answered_ms.items()
        ]
        return found[:MAX_SNAPSHOT]

    def _part_wait_ms(
        self, part: str, upstream: str, together: frozenset[str], now: int, max_pause_ms: int
    ) -> int:
        standing = self._records[part].standing(upstream)
        probes = [loss.probed for loss in standing if loss.probed]
        pause_ms = JOINT_PAUSE_MS if len(together) > 1 else 0
        if len(probes) >= MAX_QUICK_PROBES or any(probe <= together for probe in probes):
            pause_ms = max(pause_ms, _probe_pause_ms(len(probes)))
        last_ms = max((loss.at_ms for loss in standing), default=now - FORGET_MS)
        return max(0, last_ms + min(pause_ms, max_pause_ms) - now)

    def _add(self, part: str, lost: LostReplica, at_ms: int) -> bool:
        record = self._records.get(part)
        if record is None:
            self._evict()
            record = self._records[part] = _PartRecord()
        probed = frozenset(lost.probed) if part in lost.probed else frozenset()
        loss = record.find(lost.replica, at_ms)
        if loss is not None:
            loss.probed = loss.probed or probed
            return False
        loss = _Loss(lost, at_ms)
        loss.probed = probed
        record.losses.append(loss)
        record.losses.sort(key=lambda recorded: recorded.at_ms)
        del record.losses[:-MAX_LOSSES_KEPT]
        record.changed_ms = max(record.changed_ms, at_ms)
        self._on_change(part)
        return True

    def _answer(self, part: str, upstream: str, at_ms: int) -> bool:
        record = self._records.get(part)
        if record is None or record.answered_ms.get(upstream, at_ms) > at_ms:
            return False
        before = len(record.standing(upstream))
        record.answered_ms[upstream] = at_ms
        record.changed_ms = max(record.changed_ms, at_ms)
        self._on_change(part)
        return before > len(record.standing(upstream))

    def _on_change(self, part: str) -> None:
        losses = self._records[part].unanswered()
        if count_occasions(losses) >= MAX_OCCASIONS or count_replicas(losses) >= MAX_REPLICAS:
            self._at_limit.add(part)
        else:
            self._at_limit.discard(part)

    def _evict(self) -> None:
        """Make room for more parts: forget those with the fewest losses, of these the oldest."""
        if len(self._records) < MAX_PARTS:
            return
        records = self._records

        def rank(part: str) -> tuple[bool, int, int]:
            losses = records[part].unanswered()
            return part in self._at_limit, count_occasions(losses), records[part].changed_ms

        for part in heapq.nsmallest(EVICTED_AT_ONCE, records, key=rank):
            self._forget(part)

    def _forget(self, part: str) -> None:
        del self._records[part]
        self._at_limit.discard(part)


def _probe_pause_ms(lost_probes: int) -> int:
    return PROBE_PAUSES_MS[lost_probes] if lost_probes < len(PROBE_PAUSES_MS) else FORGET_MS


def is_blamed(losses: Collection[_Loss], now: int) -> bool:
    """Return whether a part with losses that no answer has followed is quarantined."""
    if count_occasions(losses) >= MAX_OCCASIONS:
        return True
    first_ms = min((loss.at_ms for loss in losses), default=now)
    return count_replicas(losses) >= MAX_REPLICAS and now - first_ms >= UNANSWERED_MS


def count_replicas(losses: Iterable[_Loss]) -> int:
    """Return how many replicas were lost."""
    return len({loss.replica for loss in losses})


def count_occasions(losses: Iterable[_Loss]) -> int:
    """Return on how many occasions replicas were lost."""
    count = 0
    began_ms: int | None = None
    for at_ms in sorted(loss.at_ms for loss in losses):
        if began_ms is None or at_ms - began_ms >= OCCASION_MS:
            count += 1
            began_ms = at_ms
    return count


def _is_after(at_ms: int, answered_ms: int | None) -> bool:
    return answered_ms is None or at_ms > answered_ms
