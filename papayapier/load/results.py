"""Collect outcomes and latencies of the requests, by phase and class.

Times are recorded in HdrHistograms in microseconds with three significant digits. A request
without an answer (timed out, disconnected) has no latency to record; it is still counted in the
totals.
"""

from collections import Counter
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

from papayapier.load.client import RequestRecord
from papayapier.load.request_mix import Request
from papayapier.load.responses import RequestOutcome

LOWEST_US: Final = 1
HIGHEST_US: Final = 3_600_000_000
DIGITS: Final = 3
US_PER_MS: Final = 1_000
PERCENTILES: Final = (50.0, 90.0, 95.0, 99.0, 99.9)
MAX_REASONS: Final = 20


class LatencySummary(NamedTuple):
    """Summarise one distribution in milliseconds; all fields are 0 without values."""

    number: int
    mean: float
    p50: float
    p90: float
    p95: float
    p99: float
    p999: float
    max: float


class ClassResult(NamedTuple):
    """Hold the figures of one class in one phase; rates are per second of measured time.

    late counts complete answers after the class's due time. fairness is Jain's index of the
    callers' answered shares (1 is even), worst_caller the lowest answered share of a caller.
    worst_other leaves out the caller that sent the most, whose load should not harm others.
    """

    phase: str
    name: str
    sent: int
    whole: int
    late: int
    goodput_per_s: float
    ends: dict[str, int]
    refusals: dict[str, int]
    reasons: list[str]
    first: LatencySummary
    gap: LatencySummary
    total: LatencySummary
    refused_after: LatencySummary
    lag: LatencySummary
    tokens: int
    fairness: float
    worst_caller: float
    worst_other: float


class ClassStats:
    """Collect the figures of one class in one phase."""

    def __init__(self, phase: str, name: str) -> None:
        self.phase = phase
        self.name = name
        self.sent = 0
        self.late = 0
        self.tokens = 0
        self.ends: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        self.reasons: list[str] = []
        self.sent_by: Counter[str] = Counter()
        self.complete_by: Counter[str] = Counter()
        self.first = _histogram()
        self.gap = _histogram()
        self.total = _histogram()
        self.refused_after = _histogram()
        self.lag = _histogram()

    def add(self, req: Request, record: RequestRecord) -> None:
        """Count one finished request."""
        verdict, timing, _ = record
        self.sent += 1
        self.sent_by[req.caller] += 1
        self.ends[verdict.request_outcome.value] += 1
        self.tokens += verdict.tokens
        _record(self.lag, timing.lag_us)
        if verdict.request_outcome is RequestOutcome.COMPLETE:
            self._add_complete(req, record)
        elif verdict.request_outcome is RequestOutcome.REFUSED:
            self.refusals[f"{verdict.kind}/{verdict.outcome}"] += 1
            _record(self.refused_after, timing.total_us)
        elif len(self.reasons) < MAX_REASONS:
            self.reasons.append(
                f"{req.request_id}: {verdict.request_outcome.value}: {verdict.reason}"
            )

    def _add_complete(self, req: Request, record: RequestRecord) -> None:
        timing = record.timing
        self.complete_by[req.caller] += 1
        _record(self.total, timing.total_us)
        if timing.first_us >= 0:
            _record(self.first, timing.first_us)
        for gap in timing.gaps_us:
            _record(self.gap, gap)
        if req.cls.due_ms and timing.total_us > req.cls.due_ms * US_PER_MS:
            self.late += 1

    def result(self, counted_ms: int) -> ClassResult:
        """Summarise what was counted during a measured time."""
        whole = self.ends[RequestOutcome.COMPLETE.value]
        shares = [self.complete_by[caller] / sent for caller, sent in self.sent_by.items()]
        return ClassResult(
            phase=self.phase,
            name=self.name,
            sent=self.sent,
            whole=whole,
            late=self.late,
            goodput_per_s=(whole - self.late) * 1_000 / max(1, counted_ms),
            ends=dict(self.ends),
            refusals=dict(self.refusals),
            reasons=self.reasons,
            first=summarise(self.first),
            gap=summarise(self.gap),
            total=summarise(self.total),
            refused_after=summarise(self.refused_after),
            lag=summarise(self.lag),
            tokens=self.tokens,
            fairness=jain_index(shares),
            worst_caller=min(shares, default=0.0),
            worst_other=self._worst_other(),
        )

    def _worst_other(self) -> float:
        largest = max(self.sent_by, key=lambda caller: self.sent_by[caller], default="")
        others = [caller for caller in self.sent_by if caller != largest] or list(self.sent_by)
        shares = [self.complete_by[caller] / self.sent_by[caller] for caller in others]
        return min(shares, default=0.0)


def jain_index(shares: list[float]) -> float:
    """Return Jain's fairness index: 1 when all shares are equal, 1/n when only one is above 0."""
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def summarise(hist: Any) -> LatencySummary:
    """Return the summary of a histogram in milliseconds."""
    number = int(hist.get_total_count())
    if not number:
        return LatencySummary(0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
    p50, p90, p95, p99, p999 = (
        _ms(hist.get_value_at_percentile(percentile)) for percentile in PERCENTILES
    )
    highest = _ms(hist.get_max_value())
    return LatencySummary(number, _ms(hist.get_mean_value()), p50, p90, p95, p99, p999, highest)


def _histogram() -> Any:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def _record(hist: Any, value_us: int) -> None:
    hist.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))


def _ms(value_us: float) -> float:
    return round(value_us / US_PER_MS, 3)
