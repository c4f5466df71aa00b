"""Write a report as JSON and as one self-contained HTML page."""

from html import escape
from typing import Final

from papayapier import codec
from papayapier.load.compare import comparisons
from papayapier.load.experiment import Report
from papayapier.load.plots import draw
from papayapier.load.table import Table, report_tables

STYLE: Final = """
body { font: 14px sans-serif; max-width: 72em; margin: 2em auto; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
caption { text-align: left; font-weight: bold; padding: .3em 0 }
td, th { padding: .15em .7em; border-bottom: 1px solid #ddd; text-align: right }
td:nth-child(-n+2), th:nth-child(-n+2) { text-align: left }
.bad { color: #a00 }
"""


def report_json(report: Report) -> bytes:
    """Encode a report, with its comparison, as JSON."""
    document = codec.to_document(report)
    document["comparison"] = codec.to_document(comparisons(report))
    return codec.to_json(document)


def report_html(report: Report) -> str:
    """Return a report as an HTML page."""
    title = escape(f"papayapier load: {report.experiment}")
    verdict = "failed" if report.broken or report.failures else "no guarantee was violated"
    lines = [
        f"<p>{escape(report.description)}</p>",
        f"<p>Seed {report.seed}, run {escape(report.run_id)}, {len(report.targets)} instances; "
        f"{report.compared} calls compared with what ran: {verdict}.</p>",
        *(f'<p class="bad">{escape(line)}</p>' for line in _bad_lines(report)),
        *(_html_table(table) for table in report_tables(report)),
        *draw(report),
    ]
    head = f'<meta charset="utf-8"><title>{title}</title><style>{STYLE}</style>'
    body = f"<h1>{title}</h1>" + "\n".join(lines)
    return f"<!doctype html><html><head>{head}</head><body>{body}</body></html>\n"


def _bad_lines(report: Report) -> list[str]:
    return [*report.broken, *report.failures, *report.warnings]


def _html_table(table: Table) -> str:
    head = "".join(f"<th>{escape(cell)}</th>" for cell in table.header)
    rows = [
        "<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>" for row in table.rows
    ]
    caption = f"<caption>{escape(table.title)}</caption>"
    return f"<table>{caption}<tr>{head}</tr>{''.join(rows)}</table>"
