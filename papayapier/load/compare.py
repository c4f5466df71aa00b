"""Compare each phase with the phase without batch and the phase with the most batch."""

from typing import Final, NamedTuple

from papayapier.load.experiment import Report
from papayapier.load.results import ClassResult

MISSING: Final = 0.0


class Comparison(NamedTuple):
    """Compare one class of one phase with the references; a ratio of 0 means no reference.

    first_p99 and total_p99 are ratios to the phase without batch, batch_share the ratio of
    batch tokens per second to the phase with the most batch.
    """

    phase: str
    name: str
    first_p50: float
    first_p99: float
    total_p50: float
    total_p99: float
    gap_p99: float
    batch_tokens_per_s: float
    batch_share: float


def comparisons(report: Report) -> list[Comparison]:
    """Return the comparisons of all classes and phases, if the experiment names references."""
    compare = report.compare
    if not compare.online:
        return []
    base = {one.name: one for one in report.classes if one.phase == compare.online}
    tokens = {one.phase: one.batch_tokens_per_s for one in report.batch}
    most = tokens.get(compare.batch, MISSING)
    return [
        _compare(one, base[one.name], tokens.get(one.phase, MISSING), most)
        for one in report.classes
        if one.name in base
    ]


def _compare(one: ClassResult, base: ClassResult, tokens: float, most: float) -> Comparison:
    return Comparison(
        one.phase,
        one.name,
        _ratio(one.first.p50, base.first.p50),
        _ratio(one.first.p99, base.first.p99),
        _ratio(one.total.p50, base.total.p50),
        _ratio(one.total.p99, base.total.p99),
        _ratio(one.gap.p99, base.gap.p99),
        tokens,
        _ratio(tokens, most),
    )


def _ratio(value: float, reference: float) -> float:
    return round(value / reference, 3) if reference else MISSING
