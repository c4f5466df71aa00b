"""Format answers for people: tables in columns, and changes field by field."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any, Final

import msgspec

from papayapier.clock import MS_PER_S

COLUMN_GAP: Final = "  "
EMPTY_CELL: Final = "-"


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a table, in which each column is as wide as its longest cell."""
    lines = [list(head), *([format_value(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print(COLUMN_GAP.join(cells).rstrip())


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def format_value(value: object) -> str:
    """Return a value as short text."""
    if value is None or value == "":
        return EMPTY_CELL
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def format_time(at_ms: int) -> str:
    """Return a wall time as text in UTC."""
    at = datetime.fromtimestamp(at_ms / MS_PER_S, UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")


def format_changes(changes: Sequence[dict[str, Any]]) -> str:
    """Return changes of fields as one line of text."""
    return ", ".join(_format_change(change) for change in changes)


def _format_change(change: dict[str, Any]) -> str:
    if change["before"] is None:
        return f"{change['path']}: {format_value(change['after'])}"
    return f"{change['path']}: {format_value(change['before'])} -> {format_value(change['after'])}"
