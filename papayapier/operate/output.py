"""Print answers for people: tables in columns, and changes field by field."""

from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any, Final

import msgspec

from papayapier.clock import MS_PER_S

GAP: Final = "  "
NONE: Final = "-"


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under their heads, each column as wide as it needs."""
    lines = [list(head), *([show(cell) for cell in row] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print(GAP.join(cells).rstrip())


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def show(value: object) -> str:
    """Return a value as one short piece of text."""
    if value is None or value == "":
        return NONE
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


def show_time(at_ms: int) -> str:
    """Return a wall time in UTC."""
    at = datetime.fromtimestamp(at_ms / MS_PER_S, UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")


def show_changes(changes: Sequence[dict[str, Any]]) -> str:
    """Return field changes in one line."""
    return ", ".join(_show_change(change) for change in changes)


def _show_change(change: dict[str, Any]) -> str:
    if change["before"] is None:
        return f"{change['path']}: {show(change['after'])}"
    return f"{change['path']}: {show(change['before'])} -> {show(change['after'])}"
