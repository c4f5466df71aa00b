"""Show the history of one request, job or item from the log lines of several processes.

It prints only what the lines contain. A line may have a prefix before its JSON object, such
as a log collector's timestamp or the name of a process.
"""

import argparse
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE

# The fields that identify what a line is about.
SUBJECT_FIELDS: Final = ("request", "call", "job", "item", "work")
# The field with the request fingerprint, which is the same each time a caller resends a request.
FINGERPRINT_FIELD: Final = "work"
# The fields of lines about several items, or several parts of a prompt, at once.
LIST_FIELDS: Final = ("items", "parts")
PARTS_FIELD: Final = "parts"
REPLICA_FIELD: Final = "replica"
LOST_SEND: Final = "send_lost"
# The fields that all lines have.
COMMON_FIELDS: Final = frozenset({"at_ms", "event", "name", "level", "text"})
WAITED_FIELD: Final = "waited_ms"
RUN_FIELD: Final = "run_ms"
DEFAULT_SLOWEST: Final = 10


class Line(NamedTuple):
    """Hold one log line; source is the last word before its JSON object, or its file."""

    at_ms: int
    source: str
    name: str
    fields: dict[str, Any]

    def duration_ms(self) -> int:
        """Return the duration of the request, or 0 if the line has none."""
        return int(self.fields.get(WAITED_FIELD, 0)) + int(self.fields.get(RUN_FIELD, 0))


class Lines(NamedTuple):
    """Hold the lines read, and the number of lines with a brace that are not log events."""

    lines: list[Line]
    malformed: int


def add_explain_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Register the command."""
    parser = commands.add_parser(
        "explain",
        help="show the history of a request, job or item from log lines",
        description="Show the lines of one request, job or item in order of time, from the logs "
        "of any number of processes, or show the slowest requests.",
    )
    parser.add_argument("id", nargs="?", default="", help="id of a request, job or item")
    parser.add_argument("--logs", nargs="+", type=Path, help="log files (default: standard input)")
    parser.add_argument(
        "--slowest", type=int, nargs="?", const=DEFAULT_SLOWEST, help="how many requests to show"
    )
    parser.add_argument(
        "--lost-parts", action="store_true", help="count the replicas lost per part of the prompts"
    )
    parser.set_defaults(command=_explain)


def _explain(options: argparse.Namespace) -> int:
    choices = (bool(options.id), options.slowest is not None, options.lost_parts)
    if sum(choices) != 1:
        print("papayapier: explain: give an id, --slowest or --lost-parts", file=sys.stderr)
        return EXIT_USAGE
    read = read_logs(options.logs)
    if isinstance(read, Err):
        print(f"papayapier: {read.err_value}", file=sys.stderr)
        return EXIT_USAGE
    if read.ok_value.malformed:
        print(f"papayapier: {read.ok_value.malformed} lines are no log events", file=sys.stderr)
    lines = read.ok_value.lines
    if options.lost_parts:
        for text in lost_parts(lines):
            print(text)
        return EXIT_OK
    selected = lines_about(lines, options.id) if options.id else slowest(lines, options.slowest)
    if not selected:
        subject = options.id or "any request"
        print(f"papayapier: no line is about {subject}", file=sys.stderr)
        return EXIT_FAILED
    for line in selected:
        print(format_line(line, selected[0].at_ms))
    return EXIT_OK


def read_logs(paths: list[Path] | None) -> Result[Lines, str]:
    """Read files, or standard input; the error names the file."""
    if not paths:
        return Ok(_parse("", sys.stdin))
    lines: list[Line] = []
    malformed = 0
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                parsed = _parse(path.name, file)
        except OSError as exc:
            return Err(f"{path}: cannot be read: {(exc.strerror or str(exc)).lower()}")
        lines += parsed.lines
        malformed += parsed.malformed
    return Ok(Lines(lines, malformed))


def lines_about(lines: Iterable[Line], subject: str) -> list[Line]:
    """Return the lines about a subject and about its resends, in order of time.

    Each time a caller resends a request that crashes its replicas, it has another id; the
    lines of one id alone do not show why the request is quarantined.
    """
    all_lines = list(lines)
    direct = [line for line in all_lines if _is_about(line, subject)]
    fingerprints = {
        line.fields[FINGERPRINT_FIELD] for line in direct if FINGERPRINT_FIELD in line.fields
    }
    resends = [
        line
        for line in all_lines
        if line.fields.get(FINGERPRINT_FIELD) in fingerprints and line not in direct
    ]
    return sorted(direct + resends, key=lambda line: line.at_ms)


def _is_about(line: Line, subject: str) -> bool:
    if any(line.fields.get(key) == subject for key in SUBJECT_FIELDS):
        return True
    lists = (line.fields.get(key) for key in LIST_FIELDS)
    return any(isinstance(members, list) and subject in members for members in lists)


def lost_parts(lines: Iterable[Line]) -> list[str]:
    """Return a line per part of the prompts of lost sends, that with most lost replicas first."""
    replicas: dict[str, set[str]] = defaultdict(set)
    sends: Counter[str] = Counter()
    for line in lines:
        if line.name != LOST_SEND:
            continue
        for part in line.fields.get(PARTS_FIELD) or ():
            replicas[part].add(str(line.fields.get(REPLICA_FIELD)))
            sends[part] += 1
    ranked = sorted(replicas, key=lambda part: (-len(replicas[part]), -sends[part], part))
    return [f"{part}  {len(replicas[part])} replicas  {sends[part]} sends" for part in ranked]


def slowest(lines: Iterable[Line], count: int) -> list[Line]:
    """Return the lines of the requests with the longest duration."""
    finished = [line for line in lines if WAITED_FIELD in line.fields and RUN_FIELD in line.fields]
    return sorted(finished, key=Line.duration_ms, reverse=True)[:count]


def format_line(line: Line, first_ms: int) -> str:
    """Return a line as text for people, with its time since the first line."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"+{line.at_ms - first_ms:>6} ms  {line.source:<28} {line.name:<18} {fields}"


def _parse(source: str, texts: Iterable[str]) -> Lines:
    lines = []
    malformed = 0
    for text in texts:
        parsed = _parse_line(source, text)
        if parsed is not None:
            lines.append(parsed)
        elif "{" in text:
            malformed += 1
    return Lines(lines, malformed)


def _parse_line(source: str, text: str) -> Line | None:
    prefix, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        document = msgspec.json.decode(brace + rest.rstrip(), type=dict[str, Any])
        words = prefix.split()
        name = str(document["name"])
        at_ms = int(document["at_ms"])
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None
    fields = {key: value for key, value in document.items() if key not in COMMON_FIELDS}
    return Line(at_ms, words[-1] if words else source, name, fields)
