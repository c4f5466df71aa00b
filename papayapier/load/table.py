"""Lay a report out as plain text tables."""

from collections.abc import Sequence
from typing import NamedTuple

from papayapier.load.compare import Comparison, comparisons
from papayapier.load.experiment import Report
from papayapier.load.results import ClassResult

Row = tuple[str, ...]


class Table(NamedTuple):
    """Hold a titled table; the first two columns are text, the others figures."""

    title: str
    header: Row
    rows: Sequence[Row]

    def text(self) -> str:
        """Return the table with aligned columns."""
        lines = [self.header, *self.rows]
        widths = [max(len(line[at]) for line in lines) for at in range(len(self.header))]
        return "\n".join([self.title, *(_aligned(line, widths) for line in lines)])


def report_text(report: Report) -> str:
    """Return the whole report as text."""
    parts = [
        f"{report.experiment}, seed {report.seed}, run {report.run_id}, "
        f"{len(report.targets)} instances",
        *(table.text() for table in report_tables(report)),
        f"compared with what ran: {report.compared} pieces of work, {report.unnamed} unnamed",
        *(f"warning: {line}" for line in report.warnings),
        *(f"load tool failed: {line}" for line in report.failures),
        *(f"broken promise: {line}" for line in report.broken),
    ]
    return "\n\n".join(parts)


def report_tables(report: Report) -> list[Table]:
    """Return the tables that have rows."""
    tables = [
        _online(report),
        _refusals(report),
        _batch(report),
        _control(report),
        _comparison(report),
        _instances(report),
    ]
    return [table for table in tables if table.rows]


def _online(report: Report) -> Table:
    header = ("phase", "class", "sent", "whole", "late", "refused", "other", "good/s")
    times = ("first p50", "p99", "gap p50", "p99", "total p50", "p99", "max", "lag p99")
    rows = [_online_row(one) for one in report.classes]
    return Table("online requests, times in ms", header + times, rows)


def _online_row(one: ClassResult) -> Row:
    refused = sum(one.refusals.values())
    counts = (one.sent, one.whole, one.late, refused, one.sent - one.whole - refused)
    short = (one.first.p50, one.first.p99, one.gap.p50, one.gap.p99)
    long = (one.total.p50, one.total.p99, one.total.max, one.lag.p99)
    return (
        one.phase,
        one.name,
        *(str(count) for count in counts),
        f"{one.goodput_per_s:.1f}",
        *(f"{time:.1f}" for time in (*short, *long)),
    )


def _refusals(report: Report) -> Table:
    rows = [
        (
            one.phase,
            one.name,
            " ".join(f"{kind}={count}" for kind, count in sorted(one.refusals.items())) or "-",
            f"{one.refused_after.p99:.1f}",
            " ".join(f"{end}={count}" for end, count in sorted(one.ends.items())),
            f"{one.fairness:.3f}",
            f"{one.worst_caller:.2f}",
            f"{one.worst_other:.2f}",
        )
        for one in report.classes
        if one.sent > one.whole
    ]
    header = ("phase", "class", "refusals", "refused p99", "ends", "fairness", "worst caller")
    return Table("what was not answered", (*header, "worst but the largest"), rows)


def _batch(report: Report) -> Table:
    rows = [
        (
            one.phase,
            f"{one.counted_ms / 1000:.1f} s",
            f"{one.engine_tokens_per_s:.0f}",
            f"{one.online_tokens_per_s:.0f}",
            f"{one.batch_tokens_per_s:.0f}",
            f"{one.useful_tokens_per_s:.0f}",
            f"{one.items_per_s:.1f}",
        )
        for one in report.batch
    ]
    header = ("phase", "counted", "all tokens/s", "online", "batch", "useful batch", "items/s")
    return Table("tokens of the engines", header, rows)


def _control(report: Report) -> Table:
    rows = [
        (
            one.phase,
            "",
            f"{one.peer_bytes_per_s:.0f}",
            f"{one.store_bytes_per_s:.0f}",
            f"{one.store_calls_per_s:.1f}",
        )
        for one in report.control
    ]
    header = ("phase", "", "peer bytes/s", "store bytes/s", "store calls/s")
    return Table("control traffic of all instances together", header, rows)


def _comparison(report: Report) -> Table:
    rows = [_comparison_row(one) for one in comparisons(report)]
    header = ("phase", "class", "first p50 x", "p99 x", "total p50 x", "p99 x", "gap p99 x")
    title = f"beside '{report.compare.online}', batch beside '{report.compare.batch}'"
    return Table(title, (*header, "batch tokens/s", "share"), rows)


def _comparison_row(one: Comparison) -> Row:
    ratios = (one.first_p50, one.first_p99, one.total_p50, one.total_p99, one.gap_p99)
    return (
        one.phase,
        one.name,
        *(f"{ratio:.2f}" if ratio else "-" for ratio in ratios),
        f"{one.batch_tokens_per_s:.0f}",
        f"{one.batch_share:.2f}",
    )


def _instances(report: Report) -> Table:
    names = sorted({name for one in report.instances for name in one.metrics})
    short = [name.removeprefix("papayapier_").removesuffix("_total") for name in names]
    rows = [
        (one.target, "", *(f"{one.metrics.get(name, 0.0):.0f}" for name in names))
        for one in report.instances
    ]
    return Table("metrics of the instances", ("instance", "", *short), rows)


def _aligned(line: Row, widths: list[int]) -> str:
    cells = [
        cell.ljust(width) if at < 2 else cell.rjust(width)
        for at, (cell, width) in enumerate(zip(line, widths, strict=True))
    ]
    return "  ".join(cells).rstrip()
