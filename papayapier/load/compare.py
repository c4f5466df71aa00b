"""Compare each phase with the phase without batch and the phase with the most batch."""

from typing import Final, NamedTuple

from papayapier.load.experiment import Report
from papayapier.load.results import ClassResult

NO_VALUE: Final = 0.0


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
    baseline = {result.name: result for result in report.classes if result.phase == compare.online}
    tokens = {result.phase: result.batch_tokens_per_s for result in report.batch}
    max_batch_tokens = tokens.get(compare.batch, NO_VALUE)
    return [
        _compare(
            result, baseline[result.name], tokens.get(result.phase, NO_VALUE), max_batch_tokens
        )
        for result in report.classes
        if result.name in baseline
    ]


def _compare(
    result: ClassResult, baseline: ClassResult, tokens: float, max_batch_tokens: float
) -> Comparison:
    return Comparison(
        result.phase,
        result.name,
        _ratio(result.first.p50, baseline.first.p50),
        _ratio(result.first.p99, baseline.first.p99),
        _ratio(result.total.p50, baseline.total.p50),
        _ratio(result.total.p99, baseline.total.p99),
        _ratio(result.gap.p99, baseline.gap.p99),
        tokens,
        _ratio(tokens, max_batch_tokens),
    )


def _ratio(value: float, reference: float) -> float:
    return round(value / reference, 3) if reference else NO_VALUE
