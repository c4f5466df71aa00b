"""Match a line of text with the form of a step.

A form is written as the line itself, with typed placeholders: "start {number:int} of {name:name}".
A part in square brackets is optional; if it is omitted, the parameters of its placeholders keep
their defaults. Forms are compiled to regular expressions and also shown in error messages.
"""

import re
from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

MS_PER_UNIT: Final = {"ms": 1, "s": 1_000, "m": 60_000}

PLACEHOLDER: Final = re.compile(r"\{(\w+):(\w+)\}")
PATTERNS: Final = {
    "int": r"\d+",
    "name": r"[a-z0-9][a-z0-9-]*",
    "names": r"[a-z0-9][a-z0-9-]*(?: [a-z0-9][a-z0-9-]*)*",
    "time": r"\d+(?:ms|s|m)",
    "switch": r"on|off",
    "rest": r".+",
}


class Form(NamedTuple):
    """Pair the form of a step with the callable that creates the step."""

    text: str
    make: Callable[..., Any]


def match(line: str, forms: Sequence[Form]) -> Result[Any, str]:
    """Create the step that a line states, or return an error with similar forms."""
    for form in forms:
        matched = _compile(form).fullmatch(line)
        if matched is not None:
            return Ok(form.make(**_values(form, matched.groupdict())))
    return Err(f"no such step: {line!r}{_suggest_forms(line, forms)}")


def parse_time(text: str) -> int:
    """Parse a duration such as "5s" into milliseconds."""
    digits = text.rstrip("ms")
    return int(digits) * MS_PER_UNIT[text[len(digits) :]]


PARSERS: Final[dict[str, Callable[[str], Any]]] = {
    "int": int,
    "name": str,
    "names": str.split,
    "time": parse_time,
    "switch": lambda text: text == "on",
    "rest": str,
}


def _compile(form: Form) -> re.Pattern[str]:
    text = re.escape(form.text).replace(r"\ ", " ")
    text = re.sub(r" \\\[(.*?)\\\]", r"(?: \1)?", text)
    text = re.sub(
        r"\\\{(\w+):(\w+)\\\}", lambda placeholder: _group(placeholder[1], placeholder[2]), text
    )
    return re.compile(text)


def _group(name: str, kind: str) -> str:
    return f"(?P<{name}>{PATTERNS[kind]})"


def _values(form: Form, groups: dict[str, str | None]) -> dict[str, Any]:
    kinds = dict(PLACEHOLDER.findall(form.text))
    return {name: PARSERS[kinds[name]](text) for name, text in groups.items() if text is not None}


def _suggest_forms(line: str, forms: Sequence[Form]) -> str:
    first = line.partition(" ")[0]
    similar = [form.text for form in forms if form.text.partition(" ")[0] == first]
    if similar:
        return "; the forms are: " + " | ".join(similar)
    first_words = sorted({form.text.partition(" ")[0] for form in forms})
    return "; a step begins with one of: " + ", ".join(first_words)
