"""Read scenario files into cases.

A file contains cases: a line "[case NAME]", then one step a line, then optionally "[out]" and
the transcript that the case must produce. Blank lines and comments, which begin with "#", are
ignored.
"""

import re
from pathlib import Path
from typing import Final, NamedTuple

from result import Err, Ok, Result

from tests.scenario.steps import Step, parse_step

CASE_LINE: Final = re.compile(r"\[case ([^\]]+)\]")
OUT_LINE: Final = "[out]"


class NumberedStep(NamedTuple):
    """Hold a step, its text and its line number."""

    line: int
    text: str
    step: Step


class Case(NamedTuple):
    """Hold one case; out is its expected transcript, None if that is not compared."""

    name: str
    file: str
    line: int
    steps: list[NumberedStep]
    out: list[str] | None


def load_cases(path: Path) -> Result[list[Case], str]:
    """Read the cases of a file; an error names the file and the line."""
    return parse_cases(path.read_text(encoding="utf-8"), path.name)


def parse_cases(text: str, file: str) -> Result[list[Case], str]:
    """Parse the cases of a text."""
    cases: list[Case] = []
    for number, raw_line in enumerate(text.splitlines(), 1):
        line = " ".join(raw_line.split())
        if not line or line.startswith("#"):
            continue
        error = _add_line(line, number, file, cases)
        if error:
            return Err(f"{file}:{number}: {error}")
    if not cases:
        return Err(f"{file}:1: the file contains no case")
    return Ok(cases)


def _add_line(line: str, number: int, file: str, cases: list[Case]) -> str:
    """Add a line to the cases; return an error message, or an empty string."""
    case_start = CASE_LINE.fullmatch(line)
    if case_start is not None:
        if any(case.name == case_start[1] for case in cases):
            return f"a case named {case_start[1]!r} already exists"
        cases.append(Case(case_start[1], file, number, [], None))
        return ""
    if line.startswith("[") and line != OUT_LINE:
        return f"unknown section {line}"
    if not cases:
        return "a [case NAME] line must come first"
    return _add_case_line(line, number, cases)


def _add_case_line(line: str, number: int, cases: list[Case]) -> str:
    case = cases[-1]
    if line == OUT_LINE:
        if case.out is not None:
            return "the case already has an [out] section"
        cases[-1] = case._replace(out=[])
        return ""
    if case.out is not None:
        case.out.append(line)
        return ""
    parsed = parse_step(line)
    if isinstance(parsed, Err):
        return parsed.err_value
    case.steps.append(NumberedStep(number, line, parsed.ok_value))
    return ""
