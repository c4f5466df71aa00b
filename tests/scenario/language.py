"""Read scenario files into cases.

A file holds cases: a line "[case NAME]", then one step a line, then optionally "[out]" and
the transcript that the case must give. Blank lines and lines that begin with "#" are notes.
"""

import re
from pathlib import Path
from typing import Final, NamedTuple

from result import Err, Ok, Result

from tests.scenario.steps import Step, parse_step

CASE_LINE: Final = re.compile(r"\[case ([^\]]+)\]")
OUT_LINE: Final = "[out]"


class NumberedStep(NamedTuple):
    """Hold a step and where it stands."""

    line: int
    text: str
    step: Step


class Case(NamedTuple):
    """Hold one case; out is None when its transcript is not compared."""

    name: str
    file: str
    line: int
    steps: list[NumberedStep]
    out: list[str] | None


def load_cases(path: Path) -> Result[list[Case], str]:
    """Read the cases of a file; the error names file and line."""
    return parse_cases(path.read_text(encoding="utf-8"), path.name)


def parse_cases(text: str, file: str) -> Result[list[Case], str]:
    """Parse the cases of a text."""
    cases: list[Case] = []
    for number, raw in enumerate(text.splitlines(), 1):
        line = " ".join(raw.split())
        if not line or line.startswith("#"):
            continue
        wrong = _take(line, number, file, cases)
        if wrong:
            return Err(f"{file}:{number}: {wrong}")
    if not cases:
        return Err(f"{file}:1: there is no case")
    return Ok(cases)


def _take(line: str, number: int, file: str, cases: list[Case]) -> str:
    """Add a line to the cases; return what is wrong with it, or nothing."""
    head = CASE_LINE.fullmatch(line)
    if head is not None:
        if any(case.name == head[1] for case in cases):
            return f"a case named {head[1]!r} stands above"
        cases.append(Case(head[1], file, number, [], None))
        return ""
    if line.startswith("[") and line != OUT_LINE:
        return f"unknown section {line}"
    if not cases:
        return "a [case NAME] line must come first"
    return _take_inside(line, number, cases)


def _take_inside(line: str, number: int, cases: list[Case]) -> str:
    case = cases[-1]
    if line == OUT_LINE:
        if case.out is not None:
            return "the case has an [out] already"
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
