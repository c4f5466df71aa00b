"""Show the way of one request, job or item from the log lines of several processes.

A reader only: everything it prints stands in the lines. A line may have something before its
JSON object, as a collector's stamp or the name of a process.
"""

import argparse
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE

# The fields by which lines name what they are about.
SUBJECTS: Final = ("request", "call", "job", "item", "work")
# The field that is the same for each return of a caller's work.
WORK: Final = "work"
# The field of lines about several items at once.
LISTED: Final = "items"
# What a line says of itself rather than of its subject.
COMMON: Final = frozenset({"at_ms", "event", "name", "level", "text"})
WAITED: Final = "waited_ms"
RUN: Final = "run_ms"
DEFAULT_SLOWEST: Final = 10


class Line(NamedTuple):
    """Hold one log line; source is what stood before its object, or its file."""

    at_ms: int
    source: str
    name: str
    fields: dict[str, Any]

    def took_ms(self) -> int:
        """Return how long the request of the line took, 0 for other lines."""
        return int(self.fields.get(WAITED, 0)) + int(self.fields.get(RUN, 0))


class Lines(NamedTuple):
    """Hold what was read; odd counts lines that are no events."""

    lines: list[Line]
    odd: int


def add_explain_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Register the command."""
    parser = commands.add_parser(
        "explain",
        help="show the way of a request, job or item from log lines",
        description="Show the lines of one request, job or item in order of time, from the logs "
        "of any number of processes, or the slowest requests.",
    )
    parser.add_argument("id", nargs="?", default="", help="id of a request, job or item")
    parser.add_argument("--logs", nargs="+", type=Path, help="files; standard input without")
    parser.add_argument(
        "--slowest", type=int, nargs="?", const=DEFAULT_SLOWEST, help="how many to show"
    )
    parser.set_defaults(command=_explain)


def _explain(options: argparse.Namespace) -> int:
    if bool(options.id) == (options.slowest is not None):
        print("papayapier: explain: give an id, or --slowest", file=sys.stderr)
        return EXIT_USAGE
    read = read_logs(options.logs)
    if isinstance(read, Err):
        print(f"papayapier: {read.err_value}", file=sys.stderr)
        return EXIT_USAGE
    if read.ok_value.odd:
        print(f"papayapier: {read.ok_value.odd} lines are no events", file=sys.stderr)
    lines = read.ok_value.lines
    shown = about(lines, options.id) if options.id else slowest(lines, options.slowest)
    if not shown:
        what = options.id or "any request"
        print(f"papayapier: no line is about {what}", file=sys.stderr)
        return EXIT_FAILED
    for line in shown:
        print(render(line, shown[0].at_ms))
    return EXIT_OK


def read_logs(paths: list[Path] | None) -> Result[Lines, str]:
    """Read files, or standard input; the error names the file."""
    if not paths:
        return Ok(_parse("", sys.stdin))
    lines: list[Line] = []
    odd = 0
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                parsed = _parse(path.name, file)
        except OSError as exc:
            return Err(f"{path}: cannot be read: {(exc.strerror or str(exc)).lower()}")
        lines += parsed.lines
        odd += parsed.odd
    return Ok(Lines(lines, odd))


def about(lines: Iterable[Line], subject: str) -> list[Line]:
    """Return the lines about a subject and its other sends, in order of time.

    Work that ends its replicas comes under another id each time; one request's lines alone do
    not show why it is not sent.
    """
    held = list(lines)
    found = [line for line in held if _is_about(line, subject)]
    works = {line.fields[WORK] for line in found if WORK in line.fields}
    same = [line for line in held if line.fields.get(WORK) in works and line not in found]
    return sorted(found + same, key=lambda line: line.at_ms)


def _is_about(line: Line, subject: str) -> bool:
    if any(line.fields.get(key) == subject for key in SUBJECTS):
        return True
    listed = line.fields.get(LISTED)
    return isinstance(listed, list) and subject in listed


def slowest(lines: Iterable[Line], count: int) -> list[Line]:
    """Return the lines of the requests that took longest."""
    ended = [line for line in lines if WAITED in line.fields and RUN in line.fields]
    return sorted(ended, key=Line.took_ms, reverse=True)[:count]


def render(line: Line, first_ms: int) -> str:
    """Write a line for people."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"+{line.at_ms - first_ms:>6} ms  {line.source:<28} {line.name:<18} {fields}"


def _parse(source: str, texts: Iterable[str]) -> Lines:
    lines = []
    odd = 0
    for text in texts:
        parsed = _parse_line(source, text)
        if parsed is not None:
            lines.append(parsed)
        elif "{" in text:
            odd += 1
    return Lines(lines, odd)


def _parse_line(source: str, text: str) -> Line | None:
    before, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        document = msgspec.json.decode(brace + rest.rstrip(), type=dict[str, Any])
        words = before.split()
        name = str(document["name"])
        at_ms = int(document["at_ms"])
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None
    fields = {key: value for key, value in document.items() if key not in COMMON}
    return Line(at_ms, words[-1] if words else source, name, fields)
