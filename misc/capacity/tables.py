"""Fit slopes to measured points and format both as tables for docs/CAPACITY.md."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from misc.capacity.measures import Measure, Point
from misc.capacity.spread_paths import Way

SLOPED: Final = ("neighbours", "listed instances", "replicas", "profiles", "tokens of an answer")


class Line(NamedTuple):
    """Hold the coefficients of a least-squares line."""

    constant: float
    slope: float


def fit(points: Sequence[Point], figure: str) -> Line:
    """Fit a least-squares line to one figure of the points."""
    pairs = [(point.quantity, point.figures.get(figure, 0.0)) for point in points]
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread if spread else 0.0
    return Line(mean_y - slope * mean_x, slope)


def measured(measures: Sequence[Measure]) -> str:
    """Format all measured points, and the fitted line of each quantity that has one."""
    return "\n\n".join(_measured(measure) for measure in measures)


def ways(found: Sequence[Way]) -> str:
    """Format the comparison of the propagation methods."""
    head = [
        "way",
        "copies per instance",
        "bytes/s per instance",
        "platform calls/s",
        "delay to the last instance, ms",
        "missed",
    ]
    rows = [
        [
            way.name,
            f"{way.copies:.2f}",
            f"{way.bytes_per_s:.0f}",
            f"{way.platform_calls_per_s:.0f}",
            f"{way.delay_ms:.0f}",
            f"{way.missed_share:.1%}",
        ]
        for way in found
    ]
    return table(head, rows)


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def _measured(measure: Measure) -> str:
    names = list(dict.fromkeys(name for point in measure.points for name in point.figures))
    rows = [
        [str(point.quantity), *(_number(point.figures.get(name, 0.0)) for name in names)]
        for point in measure.points
    ]
    if measure.quantity in SLOPED:
        lines = [fit(measure.points, name) for name in names]
        rows.append(["constant", *(_number(line.constant) for line in lines)])
        rows.append(["per additional unit", *(_number(line.slope) for line in lines)])
    return f"### {measure.quantity}\n\n" + table([measure.quantity, *names], rows)


def _number(value: float) -> str:
    return f"{value:.4g}"
