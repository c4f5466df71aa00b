"""Draw a report's plots as SVG text, with matplotlib from the extra "report"."""

import io
from importlib.util import find_spec
from typing import Any, Final

from result import Err, Ok, Result

from papayapier.load.experiment import Report
from papayapier.load.series import Series

MISSING: Final = 'the HTML report needs matplotlib: pip install "papayapier[report]"'
WIDTH_IN: Final = 9.0
HEIGHT_IN: Final = 3.2


def can_draw() -> Result[None, str]:
    """Say what has to be installed, if anything, before a long run is made for a report."""
    return Ok(None) if find_spec("matplotlib") else Err(MISSING)


def draw(report: Report) -> list[str]:
    """Return the plots."""
    from matplotlib.figure import Figure

    plots = [_svg(_latencies(Figure, report))]
    if report.batch:
        plots.append(_svg(_batch(Figure, report)))
    plots += [_svg(_timeline(Figure, phase, report)) for phase in _phases(report)]
    return plots


def _phases(report: Report) -> list[str]:
    return list(dict.fromkeys(one.phase for one in report.series))


def _latencies(figure: Any, report: Report) -> Any:
    """Draw p50 and p99 of the whole answer and of the first token, by phase and class."""
    fig, (total, first) = _figure(figure, 2)
    names = list(dict.fromkeys(one.name for one in report.classes))
    for axes, title, field in ((total, "whole answer", "total"), (first, "first token", "first")):
        for name in names:
            rows = [one for one in report.classes if one.name == name]
            phases = [one.phase for one in rows]
            for percentile, line in (("p99", "o-"), ("p50", "o--")):
                values = [getattr(getattr(one, field), percentile) for one in rows]
                axes.plot(phases, values, line, label=f"{name} {percentile}")
        _finish(axes, title, "ms")
    return fig


def _batch(figure: Any, report: Report) -> Any:
    fig, (axes,) = _figure(figure, 1)
    phases = [one.phase for one in report.batch]
    online = [one.online_tokens_per_s for one in report.batch]
    batch = [max(0.0, one.batch_tokens_per_s) for one in report.batch]
    axes.bar(phases, online, label="online")
    axes.bar(phases, batch, bottom=online, label="batch")
    _finish(axes, "tokens of the engines", "tokens/s")
    return fig


def _timeline(figure: Any, phase: str, report: Report) -> Any:
    """Draw p99 and counts second by second."""
    fig, (times, counts) = _figure(figure, 2)
    for series in report.series:
        if series.phase == phase:
            _draw_series(times, counts, series)
    _finish(times, f"{phase}: p99 of the whole answer", "ms")
    _finish(counts, f"{phase}: answered (line), refused (dashes), other (dots)", "1/s")
    return fig


def _draw_series(times: Any, counts: Any, series: Series) -> None:
    at = [second.at_s for second in series.seconds]
    times.plot(at, [second.p99 for second in series.seconds], label=series.name)
    (line,) = counts.plot(at, [second.whole for second in series.seconds], label=series.name)
    colour = line.get_color()
    counts.plot(at, [second.refused for second in series.seconds], "--", color=colour)
    counts.plot(at, [second.other for second in series.seconds], ":", color=colour)


def _figure(figure: Any, across: int) -> tuple[Any, Any]:
    fig = figure(figsize=(WIDTH_IN, HEIGHT_IN), layout="constrained")
    return fig, fig.subplots(1, across, squeeze=False)[0]


def _finish(axes: Any, title: str, unit: str) -> None:
    axes.set_title(title, fontsize=9)
    axes.set_ylabel(unit)
    axes.set_ylim(bottom=0)
    axes.tick_params(axis="x", labelrotation=20, labelsize=7)
    axes.legend(fontsize=7)


def _svg(fig: Any) -> str:
    out = io.StringIO()
    fig.savefig(out, format="svg")
    text = out.getvalue()
    # The XML prologue may not stand inside an HTML page.
    return text[text.index("<svg") :]
