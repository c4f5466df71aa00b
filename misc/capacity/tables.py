"""Fit slopes to measured points and format both as tables for docs/CAPACITY.md."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from misc.capacity.measures import Measurement, Point
from misc.capacity.spread_paths import MethodCost

FITTED_QUANTITIES: Final = (
    "neighbours",
    "listed instances",
    "replicas",
    "profiles",
    "tokens of an answer",
)


class Line(NamedTuple):
    """Hold the coefficients of a least-squares line."""

    constant: float
    slope: float


def fit_line(points: Sequence[Point], figure: str) -> Line:
    """Fit a least-squares line to one figure of the points."""
    pairs = [(point.quantity, point.figures.get(figure, 0.0)) for point in points]
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    squares = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / squares if squares else 0.0
    return Line(mean_y - slope * mean_x, slope)


def format_measurements(measurements: Sequence[Measurement]) -> str:
    """Format all measured points, and the fitted line of each quantity that has one."""
    return "\n\n".join(_format_measurement(measurement) for measurement in measurements)


def format_methods(costs: Sequence[MethodCost]) -> str:
    """Format the comparison of the propagation methods."""
    header = [
        "way",
        "copies per instance",
        "bytes/s per instance",
        "platform calls/s",
        "delay to the last instance, ms",
        "missed",
    ]
    rows = [
        [
            method.name,
            f"{method.copies:.2f}",
            f"{method.bytes_per_s:.0f}",
            f"{method.platform_calls_per_s:.0f}",
            f"{method.delay_ms:.0f}",
            f"{method.missed_share:.1%}",
        ]
        for method in costs
    ]
    return format_table(header, rows)


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Format a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def _format_measurement(measurement: Measurement) -> str:
    names = list(dict.fromkeys(name for point in measurement.points for name in point.figures))
    rows = [
        [str(point.quantity), *(_format_number(point.figures.get(name, 0.0)) for name in names)]
        for point in measurement.points
    ]
    if measurement.quantity in FITTED_QUANTITIES:
        lines = [fit_line(measurement.points, name) for name in names]
        rows.append(["constant", *(_format_number(line.constant) for line in lines)])
        rows.append(["per additional unit", *(_format_number(line.slope) for line in lines)])
    return f"### {measurement.quantity}\n\n" + format_table([measurement.quantity, *names], rows)


def _format_number(value: float) -> str:
    return f"{value:.4g}"
