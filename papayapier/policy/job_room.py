"""Decide whether a job can be done by its due time, before it is accepted.

The load this answers: for ten seconds three times as many items come as the slots beside online
calls can run. When every job is accepted, each waits until its time has passed: a third of what
the slots could finish is in time, and callers hear of it only when the results are due. A job
that is refused at once can be brought again when there is room, or done elsewhere.

What is known: how long the items that are owned have yet to run, as their keepers tell; how many
slots online calls have left lately; how long an item takes from its start to its end. Refused is
only what these say cannot be in time. While they are not known everything is accepted.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from papayapier.peer.messages import JobLoad
from papayapier.policy.batch_room import SPARE_SLOTS
from papayapier.policy.loads import LoadBook

# Online load is seen to double and halve every few seconds; slots are averaged over two of these
# rounds, so that neither a jump nor a lull is taken for what is to come.
AVERAGED_MS: Final = 12_000
# What was seen for less than a round says nothing.
LEAST_SEEN_MS: Final = 6_000
# Until a granted job is in what keepers tell: the store's watch and two heartbeats take a second.
GRANT_SEEN_MS: Final = 2_000
# A job that was granted and comes again, because its answer was lost, is granted again; a caller
# tries for as long as its request may take, some seconds.
GRANT_KEPT_MS: Final = 30_000
# A keeper that tells nothing for so long has no work, or others have taken it over.
TOLD_STANDS_MS: Final = 3_000
# Callers come back within a few seconds or not at all; the least spares a second refusal at once.
LEAST_RETRY_MS: Final = 500
LONGEST_RETRY_MS: Final = 5_000
# The last items of a job must be in time, not the mean one: they are up to half longer, and may
# meet a pause more. Played at three times the room for ten seconds: 0.83 of what is accepted in
# time with 0, 0.88 with a quarter, 0.91 with a half; at nine tenths of it 0.985 are accepted.
LONGER: Final = 0.5
GRANTED: Final = 0


def slots_left(book: LoadBook, upstream: str, now: int) -> int:
    """Return how many slots of an upstream online calls leave to batch, or batch uses already."""
    left = 0
    for replica in book.usable(upstream, now):
        free = max(0, book.slots(replica.id) - book.online_at(replica.id))
        left += min(free, max(free - SPARE_SLOTS, book.batch_at(replica.id)))
    return left


class JobAsked(NamedTuple):
    """Describe a job that asks for room; due_ms is the time that it has."""

    job_id: str
    upstream: str
    items: int
    due_ms: int


class _Grant(NamedTuple):
    upstream: str
    items: int
    at_ms: int


class _Slots:
    """Average the slots of an upstream that online calls leave."""

    __slots__ = ("at_ms", "mean", "since_ms")

    def __init__(self, slots: float, now: int) -> None:
        self.mean = slots
        self.since_ms = now
        self.at_ms = now

    def take(self, slots: float, now: int) -> None:
        weight = min(1.0, (now - self.at_ms) / AVERAGED_MS)
        self.mean += weight * (slots - self.mean)
        self.at_ms = now


class JobRoom:
    """Hold what is known of the room for jobs; live names the keepers that are heard."""

    def __init__(self, live: Callable[[], Sequence[str]]) -> None:
        self._live = live
        self._told: dict[str, tuple[int, Sequence[JobLoad]]] = {}
        self._slots: dict[str, _Slots] = {}
        self._granted: dict[str, _Grant] = {}

    def on_loads(self, keeper: str, loads: Sequence[JobLoad], now: int) -> None:
        """Take what a keeper tells of the items that it owns."""
        self._told[keeper] = (now, loads)

    def on_slots(self, upstream: str, slots: float, now: int) -> None:
        """Take how many slots of an upstream's replicas online calls leave now."""
        known = self._slots.get(upstream)
        if known is None:
            self._slots[upstream] = _Slots(slots, now)
        else:
            known.take(slots, now)

    def retry_ms(self, asked: JobAsked, now: int) -> int:
        """Return GRANTED, or in how many ms there will be room for the job."""
        self._forget(now)
        if asked.job_id in self._granted:
            return GRANTED
        over_ms = self._over_ms(asked, now)
        if over_ms <= 0:
            self._granted[asked.job_id] = _Grant(asked.upstream, asked.items, now)
            return GRANTED
        return max(LEAST_RETRY_MS, min(LONGEST_RETRY_MS, round(over_ms)))

    def _over_ms(self, asked: JobAsked, now: int) -> float:
        """Return by how much the last item of a job would miss its due time."""
        slots = self._slots.get(asked.upstream)
        loads = self._loads(asked.upstream, now)
        run_ms = max((load.run_ms for load in loads), default=0)
        if slots is None or now - slots.since_ms < LEAST_SEEN_MS or not run_ms:
            return 0.0
        taken_ms = max(load.taken_ms for load in loads)
        items = asked.items + sum(
            one.items
            for one in self._granted.values()
            if one.upstream == asked.upstream and now - one.at_ms < GRANT_SEEN_MS
        )
        queued_ms = sum(load.left_ms for load in loads) + items * run_ms
        # The items of a job run beside each other: the last one starts when all before it and
        # those beside it have found their slots, and then takes as long as others have.
        starts_ms = max(0.0, queued_ms / max(slots.mean, 1.0) - run_ms)
        return starts_ms + max(run_ms, taken_ms) + LONGER * run_ms - asked.due_ms

    def _loads(self, upstream: str, now: int) -> list[JobLoad]:
        live = set(self._live())
        return [
            load
            for keeper, (at_ms, loads) in self._told.items()
            if keeper in live and now - at_ms < TOLD_STANDS_MS
            for load in loads
            if load.upstream == upstream
        ]

    def _forget(self, now: int) -> None:
        for job_id in [i for i, one in self._granted.items() if now - one.at_ms > GRANT_KEPT_MS]:
            del self._granted[job_id]
