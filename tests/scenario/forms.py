"""Match a line of text with the form of a step.

A form is written as the line itself, with typed gaps: "start {number:int} of {name:name}".
A part in square brackets may be left out; a name before a gap that was left out keeps its
default. The form is turned into a regular expression, so that a form is also its own help.
"""

import re
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

MS_OF: Final = {"ms": 1, "s": 1_000, "m": 60_000}

GAP: Final = re.compile(r"\{(\w+):(\w+)\}")
PATTERNS: Final = {
    "int": r"\d+",
    "name": r"[a-z0-9][a-z0-9-]*",
    "names": r"[a-z0-9][a-z0-9-]*(?: [a-z0-9][a-z0-9-]*)*",
    "time": r"\d+(?:ms|s|m)",
    "switch": r"on|off",
    "rest": r".+",
}


class Form(NamedTuple):
    """Pair a way to write a step with the call that makes it."""

    text: str
    make: Callable[..., Any]


def match(line: str, forms: Sequence[Form]) -> Result[Any, str]:
    """Make the step that a line states, or say which forms were near."""
    for form in forms:
        found = _expression(form).fullmatch(line)
        if found is not None:
            return Ok(form.make(**_values(form, found.groupdict())))
    return Err(f"no such step: {line!r}{_near(line, forms)}")


def read_time(text: str) -> int:
    """Return a time such as "5s" in milliseconds."""
    digits = text.rstrip("ms")
    return int(digits) * MS_OF[text[len(digits) :]]


READERS: Final[dict[str, Callable[[str], Any]]] = {
    "int": int,
    "name": str,
    "names": str.split,
    "time": read_time,
    "switch": lambda text: text == "on",
    "rest": str,
}


def _expression(form: Form) -> re.Pattern[str]:
    text = re.escape(form.text).replace(r"\ ", " ")
    text = re.sub(r" \\\[(.*?)\\\]", r"(?: \1)?", text)
    text = re.sub(r"\\\{(\w+):(\w+)\\\}", lambda gap: _group(gap[1], gap[2]), text)
    return re.compile(text)


def _group(name: str, kind: str) -> str:
    return f"(?P<{name}>{PATTERNS[kind]})"


def _values(form: Form, groups: dict[str, str | None]) -> dict[str, Any]:
    kinds = dict(GAP.findall(form.text))
    return {name: READERS[kinds[name]](text) for name, text in groups.items() if text is not None}


def _near(line: str, forms: Sequence[Form]) -> str:
    first = line.partition(" ")[0]
    near = [form.text for form in forms if form.text.partition(" ")[0] == first]
    if near:
        return "; the forms are: " + " | ".join(near)
    words = sorted({form.text.partition(" ")[0] for form in forms})
    return "; a step begins with one of: " + ", ".join(words)
