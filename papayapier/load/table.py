"""Lay results out as plain text tables."""

from typing import Final

from papayapier.load.results import ClassResult

HEADER: Final = (
    "phase",
    "class",
    "sent",
    "whole",
    "late",
    "refused",
    "other",
    "good/s",
    "first p50",
    "p99",
    "gap p50",
    "p99",
    "total p50",
    "p99",
    "max",
    "lag p99",
)


def results_table(results: list[ClassResult]) -> str:
    """Return the figures of all classes, one line each; times are in ms."""
    return text_table([HEADER, *(_row(result) for result in results)])


def text_table(rows: list[tuple[str, ...]]) -> str:
    """Align rows in columns: the first two to the left, the others to the right."""
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    return "\n".join(_line(row, widths) for row in rows)


def _line(row: tuple[str, ...], widths: list[int]) -> str:
    cells = [
        cell.ljust(width) if at < 2 else cell.rjust(width)
        for at, (cell, width) in enumerate(zip(row, widths, strict=True))
    ]
    return "  ".join(cells).rstrip()


def _row(result: ClassResult) -> tuple[str, ...]:
    refused = sum(result.refusals.values())
    return (
        result.phase,
        result.name,
        str(result.sent),
        str(result.whole),
        str(result.late),
        str(refused),
        str(result.sent - result.whole - refused),
        f"{result.goodput_per_s:.1f}",
        f"{result.first.p50:.1f}",
        f"{result.first.p99:.1f}",
        f"{result.gap.p50:.1f}",
        f"{result.gap.p99:.1f}",
        f"{result.total.p50:.1f}",
        f"{result.total.p99:.1f}",
        f"{result.total.max:.1f}",
        f"{result.lag.p99:.1f}",
    )
