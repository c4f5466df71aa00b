"""Take replicas out of use that fail or are far slower than their siblings.

A replica is ejected after some failures in a row, or when its time to the first token is far
above the median of its siblings. The time of an ejection doubles with each one and is
forgiven with time in good health. When it is over, the replica gets one call at a time until
a few have gone well: if it is still broken, that costs one call and not a burst of them.

Never more than a minority of an upstream's replicas is ejected: when most of them look bad,
the cause is more likely on our side or in the load, and the rest could not carry it. Where
the bound forbids an ejection (two replicas, for instance) a replica that fails still gets a
penalty in routing; else it would look idle, because failing is quick, and draw all calls.
"""

import math
from collections.abc import Sequence
from statistics import median
from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier.upstream.api import Replica

FAILURES_IN_A_ROW: Final = 4
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
    """Describe the inputs of a replica's state of health."""

    def eject(self) -> None:
        """Take it out of use."""

    def end_ejection(self) -> None:
        """Take that the time of the ejection is over."""

    def recover(self) -> None:
        """Take that enough probes went well."""

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


class _Row:
    """Hold what is known of one replica; state repeats the machine's, which is slow to ask."""

    __slots__ = (
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
        "until_ms",
    )

    def __init__(self) -> None:
        self.machine = _make_health(_Core())
        self.state = "healthy"
        self.failures = 0
        self.failed_ms = 0
        self.ejections = 0
        self.until_ms = 0
        self.healthy_ms = 0
        self.probe_ms: int | None = None
        self.good_probes = 0
        self.first_token_ms = 0.0
        self.samples = 0


class Outliers:
    """Track the ends of calls and say which replicas are ejected."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._siblings: dict[str, list[str]] = {}

    def on_listed(self, replicas: Sequence[Replica]) -> None:
        """Take the instance list's replicas."""
        upstreams: dict[str, list[str]] = {}
        for replica in replicas:
            upstreams.setdefault(replica.upstream, []).append(replica.id)
        self._siblings = {r.id: upstreams[r.upstream] for r in replicas}
        self._rows = {r.id: self._rows.get(r.id) or _Row() for r in replicas}

    def on_start(self, replica_id: str, now: int) -> None:
        """Count a call that was sent, which may be the probe of a returning replica."""
        row = self._rows.get(replica_id)
        if row is not None and row.state == "returning":
            row.probe_ms = now

    def on_end(self, replica_id: str, ok: bool, first_token_ms: float | None, now: int) -> None:
        """Take the end of a call; not ok means that the replica failed it."""
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
        if self._slow(replica_id, row) and self._may_eject(replica_id):
            self._eject(row, now)
        elif row.state == "returning":
            self._on_good_probe(row, now)

    def healthy(self, replica_id: str) -> bool:
        """Tell whether a replica is neither ejected nor still being probed."""
        row = self._rows.get(replica_id)
        return row is None or row.state == "healthy"

    def on_dropped(self, replica_id: str) -> None:
        """Take that a call ended without a verdict, as when it was cancelled from our side."""
        row = self._rows.get(replica_id)
        if row is not None:
            row.probe_ms = None

    def ejected(self, replica_id: str, now: int) -> bool:
        """Tell whether a replica is out of use, or has as many probes as it may have."""
        row = self._rows.get(replica_id)
        if row is None or row.state == "healthy":
            return False
        if row.state == "ejected":
            if now < row.until_ms:
                return True
            row.machine.end_ejection()
            row.state = row.machine.name()
        return row.probe_ms is not None and now < row.probe_ms + PROBE_TIMEOUT_MS

    def returning(self, replica_id: str) -> bool:
        """Tell whether the next call to a replica would be a probe."""
        row = self._rows.get(replica_id)
        return row is not None and row.state != "healthy"

    def penalty(self, replica_id: str, now: int) -> float:
        """Return by how many calls a replica that has failed lately should look busier."""
        row = self._rows.get(replica_id)
        if row is None or row.failures == 0:
            return 0.0
        age = max(0, now - row.failed_ms)
        return PENALTY_CALLS * row.failures * math.pow(0.5, age / PENALTY_HALF_LIFE_MS)

    def _on_failure(self, replica_id: str, row: _Row, now: int) -> None:
        row.failures = min(row.failures + 1, FAILURES_IN_A_ROW)
        row.failed_ms = now
        too_many = row.failures >= FAILURES_IN_A_ROW and self._may_eject(replica_id)
        if row.state == "returning" or too_many:
            self._eject(row, now)

    def _on_good_probe(self, row: _Row, now: int) -> None:
        row.good_probes += 1
        if row.good_probes < GOOD_PROBES:
            return
        row.machine.recover()
        row.state = row.machine.name()
        row.healthy_ms = now

    def _eject(self, row: _Row, now: int) -> None:
        forgiven = (now - row.healthy_ms) // FORGIVE_EJECTION_MS if row.state == "healthy" else 0
        row.ejections = max(0, row.ejections - forgiven)
        row.until_ms = now + min(FIRST_EJECTION_MS << row.ejections, MAX_EJECTION_MS)
        row.ejections = min(row.ejections + 1, MAX_EJECTION_MS.bit_length())
        row.failures = 0
        row.samples = 0
        row.first_token_ms = 0.0
        row.good_probes = 0
        row.machine.eject()
        row.state = row.machine.name()

    def _may_eject(self, replica_id: str) -> bool:
        """Tell whether the replicas out of use, this one included, stay a minority."""
        if self._rows[replica_id].state != "healthy":
            return True
        siblings = self._siblings[replica_id]
        out = sum(1 for sibling in siblings if self._rows[sibling].state != "healthy")
        return 2 * (out + 1) < len(siblings)

    def _slow(self, replica_id: str, row: _Row) -> bool:
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
