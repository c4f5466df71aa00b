"""Read the list of tests that fail for a real fault which is not mended yet.

KNOWN-RED.txt at the root has a line for each: TEST | CAUSE | ISSUE. Such a test is expected to
fail: the run passes over it and prints it, and fails when it passes, so that the line goes.
"""

from pathlib import Path
from typing import Final, NamedTuple

LIST: Final = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MOST: Final = 3


class KnownRed(NamedTuple):
    """Hold one line."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path = LIST) -> list[KnownRed]:
    """Return the lines of the list; a line that is no such line is an error."""
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines()]
    known = [_parse(line) for line in lines if line and not line.startswith("#")]
    if len(known) > MOST:
        raise ValueError(f"{path.name}: {len(known)} lines, at most {MOST} may stand")
    return known


def _parse(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise ValueError(f"{LIST.name}: expected TEST | CAUSE | ISSUE, got: {line}")
    return KnownRed(*parts)
