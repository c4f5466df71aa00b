"""Take replicas out of use that fail or are far slower than their siblings.

A replica is ejected after several consecutive failures, or when its time to the first token is far
above the median of its siblings. The duration of an ejection doubles with each one and decays with
time in good health. When it is over, the replica gets one call at a time until a few have
succeeded: if it is still broken, that costs one call instead of a burst of them.

Never more than a minority of an upstream's replicas is ejected: when most of them look bad, the
cause is more likely on this side or in the load, and the rest could not carry it. Where the bound
forbids an ejection (two replicas, for instance) a replica that fails still gets a penalty in
routing; otherwise it would look idle, because calls fail quickly, and attract all calls.
"""

import math
from collections.abc import Sequence
from statistics import median
from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier.upstream.api import Replica

CONSECUTIVE_FAILURES: Final = 4
FIRST_EJECTION_MS: Final = 2_000
MAX_EJECTION_MS: Final = 60_000
FORGIVE_EJECTION_MS: Final = 30_000
GOOD_PROBES: Final = 3
PROBE_TIMEOUT_MS: Final = 10_000
SLOW_FACTOR: Final = 4.0
SLOW_FLOOR_MS: Final = 50.0
SLOW_SAMPLES: Final = 8
SIBLINGS_NEEDED: Final = 2
LATENCY_WEIGHT: Final = 0.2
PENALTY_CALLS: Final = 8.0
PENALTY_HALF_LIFE_MS: Final = 1_000.0


class Health(Protocol):
    """Describe the inputs of a replica's health state machine."""

    def eject(self) -> None:
        """Take the replica out of use."""

    def end_ejection(self) -> None:
        """Handle that the time of the ejection is over."""

    def recover(self) -> None:
        """Handle that enough probes succeeded."""

    def name(self) -> str:
        """Return the state."""


class _Core:
    __slots__ = ()


_builder = TypeMachineBuilder(Health, _Core)
_healthy = _builder.state("healthy")
_ejected = _builder.state("ejected")
_returning = _builder.state("returning")

_healthy.upon(Health.eject).to(_ejected).returns(None)
_ejected.upon(Health.eject).loop().returns(None)
_returning.upon(Health.eject).to(_ejected).returns(None)

_healthy.upon(Health.end_ejection).loop().returns(None)
_ejected.upon(Health.end_ejection).to(_returning).returns(None)
_returning.upon(Health.end_ejection).loop().returns(None)

_healthy.upon(Health.recover).loop().returns(None)
_ejected.upon(Health.recover).loop().returns(None)
_returning.upon(Health.recover).to(_healthy).returns(None)

_healthy.upon(Health.name).loop().returns("healthy")
_ejected.upon(Health.name).loop().returns("ejected")
_returning.upon(Health.name).loop().returns("returning")

_make_health = _builder.build()


class _ReplicaHealth:
    """Hold what is known of one replica; state caches the machine's, which is slow to query."""

    __slots__ = (
        "ejected_until_ms",
        "ejections",
        "failed_ms",
        "failures",
        "first_token_ms",
        "good_probes",
        "healthy_ms",
        "machine",
        "probe_ms",
        "samples",
        "state",
    )

    def __init__(self) -> None:
        self.machine = _make_health(_Core())
        self.state = "healthy"
        self.failures = 0
        self.failed_ms = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.healthy_ms = 0
        self.probe_ms: int | None = None
        self.good_probes = 0
        self.first_token_ms = 0.0
        self.samples = 0


class OutlierDetector:
    """Track the results of calls and decide which replicas are ejected."""

    def __init__(self) -> None:
        self._rows: dict[str, _ReplicaHealth] = {}
        self._siblings: dict[str, list[str]] = {}

    def on_listed(self, replicas: Sequence[Replica]) -> None:
        """Replace the list of replicas."""
        upstreams: dict[str, list[str]] = {}
        for replica in replicas:
            upstreams.setdefault(replica.upstream, []).append(replica.id)
        self._siblings = {r.id: upstreams[r.upstream] for r in replicas}
        self._rows = {r.id: self._rows.get(r.id) or _ReplicaHealth() for r in replicas}

    def on_start(self, replica_id: str, now: int) -> None:
        """Count a call that was sent, which may be the probe of a returning replica."""
        row = self._rows.get(replica_id)
        if row is not None and row.state == "returning":
            row.probe_ms = now

    def on_end(self, replica_id: str, ok: bool, first_token_ms: float | None, now: int) -> None:
        """Record the end of a call; not ok means that the replica failed it."""
        row = self._rows.get(replica_id)
        if row is None or row.state == "ejected":
            return
        row.probe_ms = None
        if not ok:
            self._on_failure(replica_id, row, now)
            return
        row.failures = 0
        if first_token_ms is not None:
            weight = max(LATENCY_WEIGHT, 1 / (row.samples + 1))
            row.first_token_ms += weight * (first_token_ms - row.first_token_ms)
            row.samples += 1
        if self._is_slow(replica_id, row) and self._may_eject(replica_id):
            self._eject(row, now)
        elif row.state == "returning":
            self._on_good_probe(row, now)

    def is_healthy(self, replica_id: str) -> bool:
        """Tell whether a replica is neither ejected nor still being probed."""
        row = self._rows.get(replica_id)
        return row is None or row.state == "healthy"

    def on_no_result(self, replica_id: str) -> None:
        """Record that a call ended without a result, as when it was cancelled on this side."""
        row = self._rows.get(replica_id)
        if row is not None:
            row.probe_ms = None

    def is_ejected(self, replica_id: str, now: int) -> bool:
        """Tell whether a replica is ejected, or has a probe in progress."""
        row = self._rows.get(replica_id)
        if row is None or row.state == "healthy":
            return False
        if row.state == "ejected":
            if now < row.ejected_until_ms:
                return True
            row.machine.end_ejection()
            row.state = row.machine.name()
        return row.probe_ms is not None and now < row.probe_ms + PROBE_TIMEOUT_MS

    def is_returning(self, replica_id: str) -> bool:
        """Tell whether the next call to a replica would be a probe."""
        row = self._rows.get(replica_id)
        return row is not None and row.state != "healthy"

    def penalty(self, replica_id: str, now: int) -> float:
        """Return by how many calls a replica that failed recently should look busier."""
        row = self._rows.get(replica_id)
        if row is None or row.failures == 0:
            return 0.0
        age = max(0, now - row.failed_ms)
        return PENALTY_CALLS * row.failures * math.pow(0.5, age / PENALTY_HALF_LIFE_MS)

    def _on_failure(self, replica_id: str, row: _ReplicaHealth, now: int) -> None:
        row.failures = min(row.failures + 1, CONSECUTIVE_FAILURES)
        row.failed_ms = now
        too_many = row.failures >= CONSECUTIVE_FAILURES and self._may_eject(replica_id)
        if row.state == "returning" or too_many:
            self._eject(row, now)

    def _on_good_probe(self, row: _ReplicaHealth, now: int) -> None:
        row.good_probes += 1
        if row.good_probes < GOOD_PROBES:
            return
        row.machine.recover()
        row.state = row.machine.name()
        row.healthy_ms = now

    def _eject(self, row: _ReplicaHealth, now: int) -> None:
        forgiven = (now - row.healthy_ms) // FORGIVE_EJECTION_MS if row.state == "healthy" else 0
        row.ejections = max(0, row.ejections - forgiven)
        row.ejected_until_ms = now + min(FIRST_EJECTION_MS << row.ejections, MAX_EJECTION_MS)
        row.ejections = min(row.ejections + 1, MAX_EJECTION_MS.bit_length())
        row.failures = 0
        row.samples = 0
        row.first_token_ms = 0.0
        row.good_probes = 0
        row.machine.eject()
        row.state = row.machine.name()

    def _may_eject(self, replica_id: str) -> bool:
        """Tell whether the replicas not in use, this one included, stay a minority."""
        if self._rows[replica_id].state != "healthy":
            return True
        siblings = self._siblings[replica_id]
        unavailable = sum(1 for sibling in siblings if self._rows[sibling].state != "healthy")
        return 2 * (unavailable + 1) < len(siblings)

    def _is_slow(self, replica_id: str, row: _ReplicaHealth) -> bool:
        needed = 1 if row.state == "returning" else SLOW_SAMPLES
        if row.samples < needed or row.first_token_ms < SLOW_FLOOR_MS:
            return False
        others = [
            self._rows[sibling].first_token_ms
            for sibling in self._siblings[replica_id]
            if sibling != replica_id and self._rows[sibling].samples >= SLOW_SAMPLES
        ]
        if len(others) < SIBLINGS_NEEDED:
            return False
        return row.first_token_ms > SLOW_FACTOR * median(others)
