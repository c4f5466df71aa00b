"""Generate the reference pages from the code: events, errors and settings.

python3 -m misc.make_docs           write the pages
python3 -m misc.make_docs --check   fail if a page differs from the code
"""

import sys
from pathlib import Path
from typing import Any, Final, NamedTuple, get_args, get_origin, get_type_hints

import msgspec

from papayapier import codec, errors, events, settings
from papayapier.node import settings as node_settings

DOCS: Final = Path(__file__).resolve().parent.parent / "docs"
GENERATED_NOTICE: Final = "This page is made from the code by `python3 -m misc.make_docs`."


class Page(NamedTuple):
    """Hold the file name and the text of one page."""

    name: str
    text: str


def make_pages() -> list[Page]:
    """Return all generated pages."""
    return [Page("EVENTS.md", make_events_page()), Page("SETTINGS.md", make_settings_page())]


def make_events_page() -> str:
    """Return the page of log events and error kinds."""
    lines = [
        "# Log events and error kinds",
        "",
        GENERATED_NOTICE,
        "Numbers never change meaning. 1xx process, 2xx online, 3xx upstream, 4xx store, 5xx",
        "batch, 6xx configuration, 7xx peers, 8xx orders, 9xx invariants.",
        "",
        "| number | name | level | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for event in events.all_events():
        level = event.level.name.lower()
        lines.append(f"| {event.number} | {event.name} | {level} | {event.text} |")
    lines += [
        "",
        "## Error kinds",
        "",
        "A refusal states its kind and whether the request ran (`not_run` or `unknown`).",
        "",
        "| kind | HTTP status | a later retry can help | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for kind, answer in errors.ERROR_RESPONSES.items():
        retry = "yes" if answer.is_retryable else "no"
        lines.append(f"| {kind.value} | {answer.status} | {retry} | {answer.description} |")
    return "\n".join(lines) + "\n"


def make_settings_page() -> str:
    """Return the reference page of an instance's settings."""
    lines = ["# Settings", "", GENERATED_NOTICE, ""]
    lines += [
        "One JSON file with comments per instance; `papayapier check FILE` checks it.",
        "A key without a default is required.",
    ]
    lines += _format_sections(settings.Settings, "##")
    lines += ["", "## On the users' platform", "", "`entry` and `keeper` read these; the"]
    lines += ["platform fills in `deploy/settings.json`."]
    lines += _format_sections(node_settings.NodeSettings, "###")
    return "\n".join(lines) + "\n"


def _format_sections(record: Any, heading: str) -> list[str]:
    lines = []
    for name, hint in get_type_hints(record, include_extras=True).items():
        section = next(
            (
                field_type
                for field_type in (hint, *get_args(hint))
                if hasattr(field_type, "_fields")
            ),
            None,
        )
        if section is None:
            lines += ["", f"{heading} `{name}`", "", _format_type(hint)]
            continue
        lines += ["", f"{heading} `{name}`", "", (section.__doc__ or "").strip(), ""]
        lines += ["| key | type | default |", "| --- | --- | --- |"]
        lines += [_format_row(section, key) for key in section._fields]
    return lines


def _format_row(section: Any, key: str) -> str:
    hint = get_type_hints(section, include_extras=True)[key]
    default = "required"
    if key in section._field_defaults:
        default = "`" + codec.to_json(section._field_defaults[key]).decode() + "`"
    return f"| `{key}` | {_format_type(hint)} | {default} |"


def _format_type(hint: Any) -> str:
    if hasattr(hint, "__metadata__"):
        return f"{_format_type(get_args(hint)[0])}{_format_bounds(hint.__metadata__)}"
    if get_origin(hint) is tuple:
        item_type = get_args(hint)[0]
        keys = ", ".join(f"`{name}`" for name in getattr(item_type, "_fields", ()))
        return f"list of {{{keys}}}"
    return str(getattr(hint, "__name__", hint))


def _format_bounds(metadata: tuple[Any, ...]) -> str:
    meta = next(annotation for annotation in metadata if isinstance(annotation, msgspec.Meta))
    if meta.pattern:
        return " `" + meta.pattern.replace("|", "\\|") + "`"
    if meta.ge is not None:
        return f" {meta.ge} to {meta.le}"
    return ""


def main(args: list[str]) -> int:
    """Write the pages, or with --check compare them with the files; return the exit code."""
    stale_pages = 0
    for page in make_pages():
        path = DOCS / page.name
        if "--check" not in args:
            path.write_text(page.text, encoding="utf-8")
        elif not path.exists() or path.read_text(encoding="utf-8") != page.text:
            print(f"{path.name} differs from the code: run python3 -m misc.make_docs")
            stale_pages += 1
    return 1 if stale_pages else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
