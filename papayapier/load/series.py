"""Collect figures per second, so that the effect of a burst or fault is visible."""

from collections import defaultdict
from typing import Final, NamedTuple

from papayapier.load.client import RequestRecord
from papayapier.load.responses import RequestOutcome

US_PER_MS: Final = 1_000
US_PER_S: Final = 1_000_000


class Second(NamedTuple):
    """Hold one second of a class in a phase; times are of complete answers, in ms."""

    at_s: int
    sent: int
    whole: int
    refused: int
    other: int
    p50: float
    p99: float


class Series(NamedTuple):
    """Hold the seconds of one class in one phase, by intended send time."""

    phase: str
    name: str
    seconds: list[Second]


class _Bin:
    """Collect the figures of one second."""

    __slots__ = ("other", "refused", "sent", "totals_us")

    def __init__(self) -> None:
        self.sent = 0
        self.refused = 0
        self.other = 0
        self.totals_us: list[int] = []


class SeriesCollector:
    """Collect the seconds of all classes and phases; the rounds of a phase are combined."""

    def __init__(self) -> None:
        self._bins: dict[tuple[str, str], dict[int, _Bin]] = defaultdict(dict)

    def add(self, phase: str, name: str, at_us: int, record: RequestRecord) -> None:
        """Count one request by its intended send time in its phase."""
        second = self._bins[phase, name].setdefault(at_us // US_PER_S, _Bin())
        second.sent += 1
        if record.verdict.request_outcome is RequestOutcome.COMPLETE:
            second.totals_us.append(record.timing.total_us)
        elif record.verdict.request_outcome is RequestOutcome.REFUSED:
            second.refused += 1
        else:
            second.other += 1

    def all_series(self) -> list[Series]:
        """Return the series of all classes and phases."""
        return [
            Series(phase, name, [_second(at, bins[at]) for at in sorted(bins)])
            for (phase, name), bins in self._bins.items()
        ]


def _second(at_s: int, collected: _Bin) -> Second:
    totals = sorted(collected.totals_us)
    return Second(
        at_s,
        collected.sent,
        len(totals),
        collected.refused,
        collected.other,
        _rank_ms(totals, 0.50),
        _rank_ms(totals, 0.99),
    )


def _rank_ms(ordered_us: list[int], fraction: float) -> float:
    if not ordered_us:
        return 0.0
    return ordered_us[min(len(ordered_us) - 1, int(fraction * len(ordered_us)))] / US_PER_MS
