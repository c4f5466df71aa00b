"""Track the results of sends per part of the prompts, and refuse requests with quarantined parts.

A request with a quarantined part is refused at once, unless it may be sent as a probe. A probe
needs a permit of the other instances, like a request that one more loss would quarantine, so that
one is under way in the whole fleet. The parts of a prompt are decoded only while a part has losses.

Items of jobs are never refused, and replicas lost under them say nothing about online requests. So
items have a tracker of their own, which also counts what was lost under online requests: an item
with a quarantined part is sent as a probe, after a pause that does not grow.
"""

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import MS_PER_S, Clock, Timer
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.lasting_tasks import call_guarded
from papayapier.metrics import Metrics
from papayapier.policy.open_sends import WantedSend
from papayapier.policy.part_quarantine import LostReplica, PartAnswer, PartReports, PartTracker
from papayapier.upstream.api import Replica

if TYPE_CHECKING:
    from papayapier.dispatch.crash_watch import GetFingerprint, GetParts

# A replica that a part crashes ends when it begins to answer. A send whose answer has been arriving
# for longer was open at its replica by chance.
BEGUN_MS: Final = 500
SWEEP_MS: Final = 1_000
# When the caller of a request may retry while a probe is under way.
MIN_RETRY_MS: Final = 1_000
# An item that has a permit and finds no free slot for this long gives it back.
ITEM_START_MS: Final = 2_000
# Longest pause before an item is sent as a probe: shorter than that of an item with several losses
# of its own, so that other items with the part go before it.
ITEM_PROBE_PAUSE_MS: Final = 2_000
# How long an item may take if it is a probe.
ITEM_PROBE_MS: Final = 60_000
# Begins the name under which instances agree on a probe; request fingerprints are hexadecimal.
PROBE_PREFIX: Final = "part:"


class PartListeners(NamedTuple):
    """Hold the callbacks for losses and answers observed here; a lost probe is urgent."""

    on_lost: Callable[[LostReplica, bool], None]
    on_answered: Callable[[PartAnswer], None]


class ProbePermits(Protocol):
    """Describe how instances agree on which of them sends a probe."""

    async def acquire(self, wanted: WantedSend, within_ms: int) -> bool:
        """Return whether a probe may be sent now."""

    def on_send_ended(self, get_fingerprint: "GetFingerprint") -> None:
        """Process the end of a probe, or that a permit was not used."""


class _Probe:
    """Hold a request that is a probe, or waits for a permit to be one."""

    __slots__ = ("begun", "granted", "key", "parts", "replica")

    def __init__(self, parts: tuple[str, ...], upstream: str, replica: str) -> None:
        self.parts = parts
        self.key = probe_key(upstream, parts[0])
        self.replica = replica
        self.granted = False
        self.begun = False


class PartWatch:
    """Own the losses per part of the prompts, and the probes of this instance."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tracker = PartTracker()
        # Counts losses and answers under online requests and under items of this instance.
        self._item_tracker = PartTracker()
        self._quarantined: frozenset[str] = frozenset()
        self._listeners: PartListeners | None = None
        self._permits: ProbePermits | None = None
        # By request or item id.
        self._probes: dict[str, _Probe] = {}
        self._timer: Timer | None = None

    def connect(self, listeners: PartListeners) -> None:
        """Set the listeners."""
        self._listeners = listeners

    def connect_permits(self, permits: ProbePermits) -> None:
        """Set how instances agree on which of them sends a probe."""
        self._permits = permits

    def refusal(self, request_id: str, upstream: str, get_parts: "GetParts") -> Refusal | None:
        """Return the refusal of a request that has quarantined parts and cannot be a probe now."""
        blocked = self._blocked(upstream, get_parts)
        if not blocked or self._may_probe(blocked, upstream):
            return None
        return self._refuse(request_id, upstream, blocked)

    async def claim(
        self,
        request_id: str,
        upstream: str,
        get_parts: "GetParts",
        replica_id: str,
        within_ms: int,
    ) -> Refusal | None:
        """Return the refusal of a request that may not be sent now, as a probe or otherwise.

        A request that is not refused must be sent at once.
        """
        blocked = self._blocked(upstream, get_parts)
        if not blocked:
            return None
        if not self._may_probe(blocked, upstream):
            return self._refuse(request_id, upstream, blocked)
        probe = self._probes[request_id] = _Probe(blocked, upstream, replica_id)
        if not await self._acquire(request_id, probe, within_ms):
            return self._refuse(request_id, upstream, blocked)
        # Losses and answers may have been reported meanwhile.
        blocked = self._blocked(upstream, get_parts)
        if blocked == probe.parts and not self._wait_ms(blocked, upstream):
            probe.begun = True
            self._log_probe(request_id, blocked, replica_id)
            return None
        self.on_send_ended(request_id)
        return self._refuse(request_id, upstream, blocked) if blocked else None

    def item_may_run(self, item_id: str, upstream: str, get_parts: "GetParts") -> bool:
        """Return whether an item may be sent now; request a permit if it may be a probe."""
        blocked = self._blocked(upstream, get_parts, self._item_tracker)
        if not blocked:
            return True
        probe = self._probes.get(item_id)
        if probe is not None:
            return probe.granted and not self._item_wait_ms(blocked, upstream)
        if not self._has_probe(blocked) and not self._item_wait_ms(blocked, upstream):
            probe = self._probes[item_id] = _Probe(blocked, upstream, "")
            Deferred.fromCoroutine(self._claim_for_item(item_id, probe))
        return False

    def on_item_begun(self, item_id: str, replica_id: str) -> None:
        """Record that an item is sent."""
        probe = self._probes.get(item_id)
        if probe is not None:
            probe.begun = True
            probe.replica = replica_id
            self._log_probe(item_id, probe.parts, replica_id)

    def on_send_ended(self, request_id: str) -> None:
        """Record the end of a send, or that it was not made."""
        probe = self._probes.pop(request_id, None)
        if probe is not None and probe.granted and self._permits is not None:
            self._permits.on_send_ended(lambda: probe.key)

    def on_answered(self, upstream: str, get_parts: "GetParts") -> None:
        """Record the complete answer to a request."""
        if self._is_empty():
            return
        self._answer(get_parts(), upstream)

    def on_item_answered(self, upstream: str, get_parts: "GetParts") -> None:
        """Record the complete answer to an item, which ends no quarantine of online requests."""
        if self._is_empty():
            return
        parts, now = get_parts(), self._clock.now()
        self._item_tracker.on_answered(parts, upstream, now)
        self._answer([part for part in parts if part not in self._quarantined], upstream)

    def _answer(self, parts: Collection[str], upstream: str) -> None:
        now = self._clock.now()
        self._item_tracker.on_answered(parts, upstream, now)
        for part in self._tracker.on_answered(parts, upstream, now):
            if self._listeners is not None:
                self._listeners.on_answered(PartAnswer(part, upstream, 0))
        self._review()

    def on_lost(
        self, request_id: str, replica: Replica, get_parts: "GetParts", answering_ms: int | None
    ) -> None:
        """Record a send that was cut off; answering_ms counts from the first data received."""
        lost = self._lost(request_id, replica, get_parts, answering_ms)
        if lost is None:
            return
        now = self._clock.now()
        self._item_tracker.on_lost(lost, now)
        new = self._tracker.on_lost(lost, now)
        if (new is not None or lost.probed) and self._listeners is not None:
            self._listeners.on_lost(new or lost, bool(lost.probed))
        self._review()

    def on_item_lost(
        self, item_id: str, replica: Replica, get_parts: "GetParts", answering_ms: int | None
    ) -> None:
        """Record a send of an item that was cut off, which counts for other items only."""
        lost = self._lost(item_id, replica, get_parts, answering_ms)
        if lost is not None:
            self._item_tracker.on_lost(lost, self._clock.now())
            self._review()

    def _lost(
        self, request_id: str, replica: Replica, get_parts: "GetParts", answering_ms: int | None
    ) -> LostReplica | None:
        """Return the loss of a send, None if its answer had been arriving for long."""
        if answering_ms is not None and answering_ms >= BEGUN_MS:
            return None
        probe = self._probes.get(request_id)
        probed = probe.parts if probe is not None and probe.begun else ()
        return LostReplica(replica.id, replica.upstream, 0, get_parts(), probed)

    def on_told(self, reports: PartReports) -> PartReports:
        """Record losses and answers from a peer or a disk; return those not known before."""
        now = self._clock.now()
        for lost in reports.losses:
            self._item_tracker.on_lost(lost, now)
        told = [self._tracker.on_lost(lost, now) for lost in reports.losses]
        for answer in reports.answers:
            self._item_tracker.on_answered([answer.part], answer.upstream, now - answer.age_ms)
        answers = tuple(
            answer
            for answer in reports.answers
            if self._tracker.on_answered([answer.part], answer.upstream, now - answer.age_ms)
        )
        self._review()
        return PartReports(tuple(lost for lost in told if lost is not None), answers)

    def snapshot(self, only: frozenset[str] = frozenset()) -> PartReports:
        """Return what is known of all or of some parts."""
        return self._tracker.snapshot(self._clock.now(), only)

    def is_suspect(self, part: str) -> bool:
        """Return whether a part is quarantined or may soon be."""
        return self._tracker.is_suspect(part)

    def is_quarantined(self, part: str) -> bool:
        """Return whether a part is quarantined."""
        return part in self._quarantined

    def blocks_probe(self, key: str, replica: str) -> bool:
        """Return whether what is known here, or under way from here, forbids a peer's probe.

        The probe is an item if its replica is not known yet.
        """
        if self.open_replicas(key):
            return True
        upstream, part = _split_key(key)
        if not replica:
            blocked = self._blocked(upstream, lambda: (part,), self._item_tracker)
            return bool(self._item_wait_ms(blocked, upstream))
        return bool(self._wait_ms(self._blocked(upstream, lambda: (part,)), upstream))

    def open_replicas(self, key: str) -> list[str]:
        """Return the replicas at which probes of a part are under way from here."""
        return [
            probe.replica for probe in self._probes.values() if probe.granted and probe.key == key
        ]

    def ms_since_loss(self, key: str) -> int:
        """Return the time since the last loss of the part of a probe, in ms."""
        return self._tracker.ms_since_loss(_split_key(key)[1], self._clock.now())

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _is_empty(self) -> bool:
        return self._tracker.is_empty() and self._item_tracker.is_empty()

    def _blocked(
        self, upstream: str, get_parts: "GetParts", tracker: PartTracker | None = None
    ) -> tuple[str, ...]:
        tracker = tracker or self._tracker
        if not tracker.may_block():
            return ()
        return tracker.blocked(get_parts(), upstream, self._clock.now())

    def _wait_ms(self, blocked: tuple[str, ...], upstream: str) -> int:
        return self._tracker.probe_wait_ms(blocked, upstream, self._clock.now())

    def _item_wait_ms(self, blocked: tuple[str, ...], upstream: str) -> int:
        now = self._clock.now()
        return self._item_tracker.probe_wait_ms(blocked, upstream, now, ITEM_PROBE_PAUSE_MS)

    def _may_probe(self, blocked: tuple[str, ...], upstream: str) -> bool:
        """Return whether a permit for a probe may be requested now."""
        return not self._has_probe(blocked) and not self._wait_ms(blocked, upstream)

    def _has_probe(self, blocked: tuple[str, ...]) -> bool:
        """Return whether a probe of one of some parts is under way here, or waits for a permit."""
        pending = {part for probe in self._probes.values() for part in probe.parts}
        return not pending.isdisjoint(blocked)

    async def _acquire(self, request_id: str, probe: _Probe, within_ms: int) -> bool:
        """Return whether a probe got its permit; forget it if not."""
        try:
            probe.granted = self._permits is None or await self._permits.acquire(
                WantedSend(probe.key, frozenset(), probe.replica), within_ms
            )
        finally:
            if not probe.granted and self._probes.get(request_id) is probe:
                del self._probes[request_id]
        return probe.granted

    async def _claim_for_item(self, item_id: str, probe: _Probe) -> None:
        if not await self._acquire(item_id, probe, ITEM_PROBE_MS):
            return
        await self._clock.sleep(ITEM_START_MS)
        if not probe.begun and self._probes.get(item_id) is probe:
            self.on_send_ended(item_id)

    def _refuse(self, request_id: str, upstream: str, blocked: tuple[str, ...]) -> Refusal:
        retry_after_ms = max(MIN_RETRY_MS, self._wait_ms(blocked, upstream))
        replicas = self._tracker.lost_replicas(blocked[0]) if blocked else []
        events.emit(
            events.PART_REFUSED,
            request=request_id,
            upstream=upstream,
            parts=list(blocked),
            replicas=replicas,
            return_ms=retry_after_ms,
        )
        reason = (
            f"{len(replicas)} replicas were lost while they began to answer requests with a part"
            f" of this prompt; it is not sent for {retry_after_ms // MS_PER_S} s"
        )
        return not_run_refusal(ErrorKind.ENDS_REPLICAS, reason, retry_after_ms)

    def _log_probe(self, request_id: str, parts: tuple[str, ...], replica_id: str) -> None:
        events.emit(events.PART_PROBED, request=request_id, parts=list(parts), replica=replica_id)

    def _review(self) -> None:
        """Log parts that have entered or left quarantine."""
        before, self._quarantined = self._quarantined, self._tracker.quarantined(self._clock.now())
        for part in sorted(self._quarantined - before):
            events.emit(events.PART_HELD, parts=[part], replicas=self._tracker.lost_replicas(part))
        for part in sorted(before - self._quarantined):
            events.emit(events.PART_RELEASED, parts=[part])
        if before != self._quarantined:
            self._metrics.parts_held.set(len(self._quarantined))
        if not self._is_empty() and (self._timer is None or not self._timer.active()):
            self._timer = self._clock.call_later(SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        if not call_guarded("sweep of parts", self._sweep_once):
            self._timer = self._clock.call_later(SWEEP_MS, self._sweep)

    def _sweep_once(self) -> None:
        self._tracker.sweep(self._clock.now())
        self._item_tracker.sweep(self._clock.now())
        self._review()


def probe_key(upstream: str, part: str) -> str:
    """Return the name under which instances agree on a probe."""
    return f"{PROBE_PREFIX}{part}:{upstream}"


def _split_key(key: str) -> tuple[str, str]:
    """Return the upstream and the part of a probe."""
    part, _, upstream = key.removeprefix(PROBE_PREFIX).partition(":")
    return upstream, part
