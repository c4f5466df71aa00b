"""Decide how many batch streams this instance may have on each replica.

Engines admit calls in order of arrival, know no priorities and slow down with every running
sequence. So batch must never fill a replica's slots, must keep the time between tokens within a
budget, and must yield as soon as online calls arrive. Three mechanisms, from fast to slow:

1. Slot shares. The slots of a replica are divided evenly among the instances (slot_shares.py). An
   instance's own online calls and batch streams together stay within its share, so that an online
   call that it sends takes the place of one of its own batch streams at once and without a message,
   and no two instances use the same idle slot. An instance whose online calls exceed its share
   takes slots of the others. They learn of it from its heartbeat, or see calls waiting in the
   replica's load report, and release slots of their own.
2. Headroom. An instance reserves the slots that its online calls used at their recent peak; the
   peak decays with a half-life. Bursts find free slots, and batch streams are not cancelled and
   resumed for every single online call.
3. Step budget. The slots that are divided are bounded so that the replica's time per token stays
   within a factor of that with its online calls alone. Both are predicted from its load reports
   (step_times.py). Where no online call was observed for some time, the bound is off, as no online
   call suffers; the first online call restores it.

The isolation mode sets the parameters: "tail" and "throughput" use all three mechanisms; "static"
is a fixed cap, and "none" has no bound but the slots. Both are kept as baselines.
"""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

from papayapier.config.profiles import BatchRule, Isolation
from papayapier.policy.loads import LoadTracker
from papayapier.policy.slot_shares import SlotShares
from papayapier.policy.step_times import StepTimes
from papayapier.upstream.api import Load

SPARE_SLOTS_FOR_IDLE: Final = 3
CUT_INTERVAL_MS: Final = 300
REFRESH_MS: Final = 100
STEPS_STALE_MS: Final = 1_000
RUNNING_WEIGHT: Final = 0.1
LEARNING_SHARE: Final = 0.5
MAX_RAMP_STEP_MS: Final = 40


class IsolationSettings(NamedTuple):
    """Set the trade-off between online latency and batch throughput.

    step_factor bounds the time per token relative to that of the online calls alone; the recent
    online peak is reserved with half_life_ms; spare_slots are never used by batch; after quiet_ms
    without an online call the step bound is off; a limit rises by one stream of the replica per
    ramp_ms.
    """

    step_factor: float
    half_life_ms: float
    spare_slots: int
    quiet_ms: int
    ramp_ms: float


ISOLATION_SETTINGS: Final[dict[Isolation, IsolationSettings]] = {
    "tail": IsolationSettings(1.25, 1_000.0, 2, 10_000, 20.0),
    "throughput": IsolationSettings(1.5, 100.0, 1, 2_000, 10.0),
}


class _ReplicaState:
    """Hold what is known of one replica."""

    __slots__ = (
        "cap",
        "cap_updated_ms",
        "cut",
        "cut_ms",
        "peak",
        "peak_ms",
        "ramp",
        "ramp_ms",
        "running",
        "slots",
        "step_report_ms",
        "step_times",
    )

    def __init__(self) -> None:
        self.step_times = StepTimes()
        self.cap = 0
        self.cut = 0
        self.cut_ms = 0
        self.cap_updated_ms = -REFRESH_MS
        self.peak = 0.0
        self.peak_ms = 0
        self.ramp = 0.0
        self.ramp_ms = 0
        self.running = 0.0
        self.slots = 0
        self.step_report_ms = -STEPS_STALE_MS


class BatchShare:
    """Track the step times of each replica and limit this instance's batch streams on it."""

    def __init__(self, instance_id: str) -> None:
        self._shares = SlotShares(instance_id)
        self._rules: dict[str, BatchRule] = {}
        self._upstreams: dict[str, str] = {}
        self._rows: dict[str, _ReplicaState] = {}
        self._online_ms: dict[str, int] = {}

    def set_instances(self, instances: Sequence[str]) -> None:
        """Set the live instances; this one is always included."""
        self._shares.set_live(instances)

    def set_rule(self, upstream: str, rule: BatchRule) -> None:
        """Set the batch rule in force for an upstream."""
        self._rules[upstream] = rule

    def set_upstream(self, replica_id: str, upstream: str) -> None:
        """Set the upstream that a replica belongs to."""
        self._upstreams[replica_id] = upstream

    def on_online_signal(
        self,
        replica_id: str,
        first_token_ms: float | None,
        token_gap_ms: float | None,
        now: int,
    ) -> None:
        """Record how fast a replica answered an online call.

        The time per token stands in for step times where no load reports with them arrive, as from
        an engine that is so busy that it is rarely polled.
        """
        row = self._row(replica_id)
        if token_gap_ms and row.running >= 1 and now >= row.step_report_ms + STEPS_STALE_MS:
            row.step_times.observe(round(row.running), row.slots, token_gap_ms)
        self._online_ms[self._upstreams.get(replica_id, "")] = now

    def on_report(self, replica_id: str, load: Load) -> None:
        """Record a load report, which pairs running calls with a step time."""
        row = self._row(replica_id)
        self._cut(row, load)
        if load.step_ms > 0 and load.running > 0:
            row.step_times.observe(load.running, load.slots, load.step_ms)
            row.step_report_ms = load.at_ms

    def free_streams(self, replica_id: str, load_tracker: LoadTracker, now: int) -> int:
        """Return how many more batch streams this instance may open on a replica now."""
        return max(
            0,
            self.max_streams(replica_id, load_tracker, now)
            - load_tracker.own_calls(replica_id).batch,
        )

    def excess_streams(self, replica_id: str, load_tracker: LoadTracker, now: int) -> int:
        """Return how many batch streams this instance must cancel on a replica now."""
        return max(
            0,
            load_tracker.own_calls(replica_id).batch
            - self.max_streams(replica_id, load_tracker, now),
        )

    def max_streams(self, replica_id: str, load_tracker: LoadTracker, now: int) -> int:
        """Return how many batch streams this instance may have on a replica now."""
        upstream = self._upstreams.get(replica_id, "")
        rule = self._rules.get(upstream, BatchRule())
        slots = load_tracker.slots(replica_id)
        settings = ISOLATION_SETTINGS.get(rule.isolation)
        if settings is None:
            share = rule.share if rule.isolation == "static" else 1.0
            return self._shares.share(replica_id, int(slots * share))
        self._shares.review(load_tracker, now)
        row = self._row(replica_id)
        row.slots = slots
        row.running += RUNNING_WEIGHT * (load_tracker.estimate(replica_id, now) - row.running)
        online = load_tracker.online_calls(replica_id)
        if online:
            self._online_ms[upstream] = now
        if now >= row.cap_updated_ms + REFRESH_MS:
            quiet = now >= self._online_ms.get(upstream, -settings.quiet_ms) + settings.quiet_ms
            row.cap = _cap(row.step_times, settings, online, slots, quiet)
            row.cap_updated_ms = now
        reserve = _reserve(row, settings, load_tracker.own_calls(replica_id).online, now)
        cap = row.cap - self._spare_for_idle()
        available = self._shares.share(replica_id, cap) - reserve
        available -= max(row.cut, self._peer_excess(replica_id, load_tracker, cap))
        limit = max(0, min(self._shares.share(replica_id, int(slots * rule.share)), available))
        return self._ramped(row, limit, settings.ramp_ms, now)

    def _cut(self, row: _ReplicaState, load: Load) -> None:
        """Give up a share of the calls waiting for a slot, and regain it step by step.

        Calls that wait for a slot are not accounted for by any share or heartbeat. A call that
        waits only for the next step does not count, as there are slots for it. A report shows the
        effect of a cut only after its lag, so cuts keep that distance. Regaining goes by time
        instead of by reports, which arrive at varying intervals, and no cut is larger than this
        instance's maximum: otherwise an overloaded replica would be left without batch work for
        long after the overload.
        """
        elapsed = load.at_ms - row.cut_ms
        if elapsed < CUT_INTERVAL_MS:
            return
        row.cut_ms = load.at_ms
        sharing = len(self._shares.sharing())
        excess_calls = load.running + load.waiting - load.slots
        if excess_calls > 0:
            max_cut = math.ceil(load.slots / sharing)
            row.cut = min(max_cut, row.cut + math.ceil(excess_calls / sharing))
        else:
            row.cut = max(0, row.cut - elapsed // CUT_INTERVAL_MS)

    def _ramped(self, row: _ReplicaState, limit: int, ramp_ms: float, now: int) -> int:
        """Lower the limit at once, but raise it by one stream at a time.

        When slots become free after a burst, all instances would start or resume streams in the
        same step of the engine. It computes their prompts first, and every online call that runs
        there waits: the p99 of the first token was then above that of the burst itself. Time
        without requests for the limit counts for little, and one stream is always allowed, so that
        an instance without batch work can start some.
        """
        gap_ms = ramp_ms * self._shares.live()
        raised = row.ramp + min(max(0, now - row.ramp_ms), MAX_RAMP_STEP_MS) / gap_ms
        row.ramp = min(float(limit), max(1.0, raised))
        row.ramp_ms = now
        return int(row.ramp)

    def _row(self, replica_id: str) -> _ReplicaState:
        row = self._rows.get(replica_id)
        if row is None:
            row = self._rows[replica_id] = _ReplicaState()
        return row

    def _spare_for_idle(self) -> int:
        """Return the slots reserved for instances that have no batch streams to give up.

        Their online calls replace no batch stream at once; the other instances learn of them a
        little later.
        """
        live = self._shares.live()
        idle = live - len(self._shares.sharing())
        return math.ceil(SPARE_SLOTS_FOR_IDLE * idle / live)

    def _peer_excess(self, replica_id: str, load_tracker: LoadTracker, cap: int) -> int:
        """Return this instance's share of the slots by which others exceed their shares."""
        excess_total = 0
        full_peers = 0
        sharing = self._shares.sharing()
        for peer, online in load_tracker.peers_online(replica_id).items():
            excess = online - self._shares.share(replica_id, cap, peer)
            excess_total += max(0, excess)
            full_peers += excess >= 0 and peer in sharing
        remaining = max(1, len(sharing) - full_peers)
        return math.ceil(excess_total / remaining)


def _reserve(row: _ReplicaState, settings: IsolationSettings, online: int, now: int) -> int:
    """Return the slots reserved for online calls: those open, or the decaying recent peak."""
    faded = row.peak * math.pow(0.5, max(0, now - row.peak_ms) / settings.half_life_ms)
    if online >= faded:
        row.peak = online
        row.peak_ms = now
        return online
    return max(online, round(faded))


def _cap(
    step_times: StepTimes, settings: IsolationSettings, online: int, slots: int, quiet: bool
) -> int:
    """Return the slots of a replica that online calls and batch streams may use together."""
    max_slots = slots - settings.spare_slots
    if quiet:
        return max_slots
    if not step_times.known():
        return int(min(max_slots, slots * LEARNING_SHARE))
    bound = settings.step_factor * step_times.step_ms(max(1, online))
    return int(max(0.0, min(max_slots, step_times.max_running(bound))))
