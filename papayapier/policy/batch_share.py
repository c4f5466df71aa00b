"""Decide how many batch streams this instance may have on each replica.

Engines admit as they come, know no priority and slow down with every running sequence. So
batch must never fill a replica's slots, must keep the time between tokens within a budget,
and must give way the moment online calls come. Three mechanisms, from fast to slow:

1. Slot shares. The slots of a replica are dealt out evenly to the instances
   (slot_shares.py). An instance's own online calls and batch streams together stay within
   its share, so that an online call that it sends takes the place of one of its own batch
   streams at once and without a message, and no two instances use the same idle slot. An
   instance whose online calls outgrow its share takes slots of the others. They hear of it
   from its heartbeat, or see calls waiting in the replica's report, and give up their part.
2. Headroom. An instance holds back the slots that its online calls took at their recent
   peak; the peak is forgotten with a half-life. Bursts find free slots, and batch streams
   are not cancelled and resumed for every single online call.
3. Step budget. The slots that are dealt out are bounded so that the replica's time per
   token stays within a factor of what its online calls alone would give. Both are predicted
   from its load reports (pace.py). Where no online call was seen for some time, nobody is
   harmed and the bound is off; the first online call brings it back.

The isolation mode picks the numbers: "tail" and "throughput" use all three; "static" is a
fixed cap and "none" is no bound but the slots, both kept as baselines.
"""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

from papayapier.config.profiles import BatchRule, Isolation
from papayapier.policy.loads import LoadBook
from papayapier.policy.pace import Pace
from papayapier.policy.slot_shares import SlotShares
from papayapier.upstream.api import Load

IDLE_SPARE_SLOTS: Final = 3
CUT_EVERY_MS: Final = 300
REFRESH_MS: Final = 100
STEPS_STALE_MS: Final = 1_000
RUNNING_WEIGHT: Final = 0.1
LEARNING_SHARE: Final = 0.5
MAX_RAMP_STEP_MS: Final = 40


class Isolate(NamedTuple):
    """Set the point between online latency and batch throughput.

    step_factor bounds the time per token against that of the online calls alone; the recent
    online peak is held back with half_life_ms; spare_slots are never used by batch; after
    quiet_ms without an online call the step bound is off; a limit rises by one stream of the
    replica per ramp_ms.
    """

    step_factor: float
    half_life_ms: float
    spare_slots: int
    quiet_ms: int
    ramp_ms: float


POINTS: Final[dict[Isolation, Isolate]] = {
    "tail": Isolate(1.25, 1_000.0, 2, 10_000, 20.0),
    "throughput": Isolate(1.5, 100.0, 1, 2_000, 10.0),
}


class _Row:
    """Hold what is known of one replica."""

    __slots__ = (
        "cap",
        "cut",
        "cut_ms",
        "fresh_ms",
        "pace",
        "peak",
        "peak_ms",
        "ramp",
        "ramp_ms",
        "running",
        "slots",
        "stepped_ms",
    )

    def __init__(self) -> None:
        self.pace = Pace()
        self.cap = 0
        self.cut = 0
        self.cut_ms = 0
        self.fresh_ms = -REFRESH_MS
        self.peak = 0.0
        self.peak_ms = 0
        self.ramp = 0.0
        self.ramp_ms = 0
        self.running = 0.0
        self.slots = 0
        self.stepped_ms = -STEPS_STALE_MS


class BatchShare:
    """Track the pace of each replica and bound this instance's batch streams on it."""

    def __init__(self, instance_id: str) -> None:
        self._shares = SlotShares(instance_id)
        self._rules: dict[str, BatchRule] = {}
        self._upstreams: dict[str, str] = {}
        self._rows: dict[str, _Row] = {}
        self._online_ms: dict[str, int] = {}

    def set_instances(self, instances: Sequence[str]) -> None:
        """Take the live instances; this one is always counted."""
        self._shares.set_live(instances)

    def set_rule(self, upstream: str, rule: BatchRule) -> None:
        """Take the batch rule in force for an upstream."""
        self._rules[upstream] = rule

    def set_upstream(self, replica_id: str, upstream: str) -> None:
        """Take which upstream a replica belongs to."""
        self._upstreams[replica_id] = upstream

    def on_online_signal(
        self,
        replica_id: str,
        first_token_ms: float | None,
        token_gap_ms: float | None,
        now: int,
    ) -> None:
        """Take how fast a replica answered an online call.

        The time per token shows the pace where no reports with step times come, as from an
        engine that is busy enough to be asked seldom.
        """
        row = self._row(replica_id)
        if token_gap_ms and row.running >= 1 and now >= row.stepped_ms + STEPS_STALE_MS:
            row.pace.observe(round(row.running), row.slots, token_gap_ms)
        self._online_ms[self._upstreams.get(replica_id, "")] = now

    def on_report(self, replica_id: str, load: Load) -> None:
        """Take a load report, which pairs running calls with a step time."""
        row = self._row(replica_id)
        self._cut(row, load)
        if load.step_ms > 0 and load.running > 0:
            row.pace.observe(load.running, load.slots, load.step_ms)
            row.stepped_ms = load.at_ms

    def room(self, replica_id: str, book: LoadBook, now: int) -> int:
        """Return how many more batch streams this instance may open on a replica now."""
        return max(0, self.limit(replica_id, book, now) - book.own(replica_id).batch)

    def to_yield(self, replica_id: str, book: LoadBook, now: int) -> int:
        """Return how many batch streams this instance must cancel on a replica now."""
        return max(0, book.own(replica_id).batch - self.limit(replica_id, book, now))

    def limit(self, replica_id: str, book: LoadBook, now: int) -> int:
        """Return how many batch streams this instance may have on a replica now."""
        upstream = self._upstreams.get(replica_id, "")
        rule = self._rules.get(upstream, BatchRule())
        slots = book.slots(replica_id)
        point = POINTS.get(rule.isolation)
        if point is None:
            share = rule.share if rule.isolation == "static" else 1.0
            return self._shares.part(replica_id, int(slots * share))
        self._shares.review(book, now)
        row = self._row(replica_id)
        row.slots = slots
        row.running += RUNNING_WEIGHT * (book.estimate(replica_id, now) - row.running)
        online = book.online_at(replica_id)
        if online:
            self._online_ms[upstream] = now
        if now >= row.fresh_ms + REFRESH_MS:
            quiet = now >= self._online_ms.get(upstream, -point.quiet_ms) + point.quiet_ms
            row.cap = _cap(row.pace, point, online, slots, quiet)
            row.fresh_ms = now
        reserve = _reserve(row, point, book.own(replica_id).online, now)
        cap = row.cap - self._spare_for_idle()
        room = self._shares.part(replica_id, cap) - reserve
        room -= max(row.cut, self._outgrown(replica_id, book, cap))
        limit = max(0, min(self._shares.part(replica_id, int(slots * rule.share)), room))
        return self._ramped(row, limit, point.ramp_ms, now)

    def _cut(self, row: _Row, load: Load) -> None:
        """Give up a part of the calls seen waiting for a slot; take it back bit by bit.

        Calls that wait for a slot are some that no share or heartbeat accounts for. A call
        that waits only for the next step does not count: there are slots for it. A report
        shows the effect of a cut only after its lag, so cuts keep that distance. What is
        taken back goes by time and not by reports, which come more or less often, and no cut
        is larger than all that this instance can have: else a flooded replica would be left
        without batch work for long after the flood.
        """
        elapsed = load.at_ms - row.cut_ms
        if elapsed < CUT_EVERY_MS:
            return
        row.cut_ms = load.at_ms
        sharing = len(self._shares.sharing())
        over = load.running + load.waiting - load.slots
        if over > 0:
            most = math.ceil(load.slots / sharing)
            row.cut = min(most, row.cut + math.ceil(over / sharing))
        else:
            row.cut = max(0, row.cut - elapsed // CUT_EVERY_MS)

    def _ramped(self, row: _Row, limit: int, ramp_ms: float, now: int) -> int:
        """Lower the limit at once, but raise it by one stream at a time.

        When room returns after a burst, all instances would start or resume streams in the
        same step of the engine. It computes their prompts first, and every online call that
        runs there waits: seen as a p99 of the first token above that of the burst itself.
        Time in which nobody asked counts for little, and one stream is always allowed, so
        that an instance without batch work finds room to begin.
        """
        gap_ms = ramp_ms * self._shares.live()
        risen = row.ramp + min(max(0, now - row.ramp_ms), MAX_RAMP_STEP_MS) / gap_ms
        row.ramp = min(float(limit), max(1.0, risen))
        row.ramp_ms = now
        return int(row.ramp)

    def _row(self, replica_id: str) -> _Row:
        row = self._rows.get(replica_id)
        if row is None:
            row = self._rows[replica_id] = _Row()
        return row

    def _spare_for_idle(self) -> int:
        """Return the slots held back for instances that have no batch streams to give up.

        Their online calls take nobody's place at once; the rest hear of them a little later.
        """
        live = self._shares.live()
        idle = live - len(self._shares.sharing())
        return math.ceil(IDLE_SPARE_SLOTS * idle / live)

    def _outgrown(self, replica_id: str, book: LoadBook, cap: int) -> int:
        """Return this instance's part of the slots by which others outgrow their shares."""
        over = 0
        full = 0
        sharing = self._shares.sharing()
        for peer, online in book.peers_online(replica_id).items():
            excess = online - self._shares.part(replica_id, cap, peer)
            over += max(0, excess)
            full += excess >= 0 and peer in sharing
        fitting = max(1, len(sharing) - full)
        return math.ceil(over / fitting)


def _reserve(row: _Row, point: Isolate, online: int, now: int) -> int:
    """Return the slots held back for online calls: those open, or the fading recent peak."""
    faded = row.peak * math.pow(0.5, max(0, now - row.peak_ms) / point.half_life_ms)
    if online >= faded:
        row.peak = online
        row.peak_ms = now
        return online
    return max(online, round(faded))


def _cap(pace: Pace, point: Isolate, online: int, slots: int, quiet: bool) -> int:
    """Return the slots of a replica that online calls and batch streams may have together."""
    top = slots - point.spare_slots
    if quiet:
        return top
    if not pace.known():
        return int(min(top, slots * LEARNING_SHARE))
    bound = point.step_factor * pace.step_ms(max(1, online))
    return int(max(0.0, min(top, pace.most_running(bound))))
