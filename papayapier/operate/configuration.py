"""Offer the commands that show, check and change profiles and upstreams' wanted state."""

import argparse
import uuid
from pathlib import Path
from typing import Any, Final, NamedTuple
from urllib.parse import quote

import pyjson5
from result import Err, Ok, Result

from papayapier.config import checks, records
from papayapier.config.records import PROFILES, UPSTREAMS, Subject
from papayapier.exits import EXIT_OK, EXIT_USAGE
from papayapier.operate.client import (
    OPTIONS_HELP,
    Answer,
    Client,
    Run,
    add_options,
    checked,
    fail,
    show_answer,
)
from papayapier.operate.output import print_json, print_table, show_changes


class _Noun(NamedTuple):
    """Describe one kind of object to the command line; columns are paths in a document."""

    word: str
    kind: str
    help: str
    columns: tuple[str, ...]


NOUNS: Final = (
    _Noun(
        "profile",
        PROFILES,
        "show and change profiles",
        ("urgency", "due_ms", "idempotent", "upstream", "description"),
    ),
    _Noun(
        "upstream",
        UPSTREAMS,
        "show and change the wanted state of upstreams",
        ("models", "adapters", "version", "description"),
    ),
)


def add_configuration_commands(subparsers: Any) -> None:
    """Register the commands on profiles and upstreams."""
    for noun in NOUNS:
        parser = subparsers.add_parser(noun.word, help=noun.help, epilog=OPTIONS_HELP)
        actions = parser.add_subparsers(title="actions", required=True, metavar="ACTION")
        _add_actions(actions, noun)


def _add_actions(actions: Any, noun: _Noun) -> None:
    word = noun.word
    _add(actions, noun, "list", f"list every {word} in force, with its version", _list)
    get = _add(actions, noun, "get", f"print one {word} in force, as a file to edit", _get)
    get.add_argument("name")
    check = _add(actions, noun, "check", f"check a {word} file; name each field at fault", _check)
    diff = _add(actions, noun, "diff", f"compare a {word} file with what is in force", _diff)
    apply = _add(actions, noun, "apply", f"put a {word} file in force everywhere", _apply)
    for parser in (check, diff, apply):
        parser.add_argument("file", type=Path, help="JSON with comments")
    delete = _add(actions, noun, "delete", f"take a {word} out of force", _delete)
    delete.add_argument("name")
    for parser in (apply, delete):
        _add_change_options(parser)


def _add(actions: Any, noun: _Noun, name: str, text: str, run: Run) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = actions.add_parser(name, help=text, description=text)
    add_options(parser, run)
    parser.set_defaults(noun=noun)
    return parser


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--based-on",
        type=int,
        required=True,
        metavar="VERSION",
        help="the version that the change was made from (see get and diff); 0 creates. When "
        "another operator was faster, nothing is changed and their change is shown",
    )
    parser.add_argument("--reason", required=True, help="why; kept in the audit trail")
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="repeat an earlier call whose outcome was unknown, with the id it printed",
    )
    parser.add_argument(
        "--strand",
        action="store_true",
        help="allow a change that leaves queued work without a way to run",
    )


async def _list(client: Client, options: argparse.Namespace) -> int:
    noun: _Noun = options.noun
    got = await client.call("GET", f"/v1/{noun.kind}")
    return show_answer(got, options, lambda found: _print_items(noun, found["items"]))


def _print_items(noun: _Noun, items: list[dict[str, Any]]) -> None:
    rows = [
        [item["name"], item["version"], *(_cell(item["document"], c) for c in noun.columns)]
        for item in items
    ]
    print_table(["name", "version", *noun.columns], rows)


async def _get(client: Client, options: argparse.Namespace) -> int:
    match _checked(await _fetch(client, options.noun, options.name), options):
        case Err(code):
            return code
        case Ok(found):
            pass
    if not options.json:
        print(f"// {found['name']}, version {found['version']}")
    print_json(found if options.json else found["document"])
    return EXIT_OK


async def _check(client: Client, options: argparse.Namespace) -> int:
    match _read_file(options.file):
        case Err(why):
            return fail(why, EXIT_USAGE)
        case Ok(document):
            pass
    noun: _Noun = options.noun
    got = await client.call("POST", f"/v1/{noun.kind}/check", {noun.word: document})
    match _checked(got, options):
        case Err(code):
            return code
        case Ok(verdict):
            pass
    if options.json:
        print_json(verdict)
    for problem in [] if options.json else verdict["warnings"]:
        print(f"warning: {_line(problem)}")
    for problem in verdict["errors"]:
        fail(f"{options.file}: {_line(problem)}")
    if verdict["ok"] and not options.json:
        print(f"{options.file}: ok")
    return EXIT_OK if verdict["ok"] else EXIT_USAGE


async def _diff(client: Client, options: argparse.Namespace) -> int:
    noun: _Noun = options.noun
    match _read_named(options.file, noun):
        case Err(why):
            return fail(why, EXIT_USAGE)
        case Ok((name, document)):
            pass
    got = await _fetch(client, noun, name)
    missing = got.map_or(False, lambda answer: answer.status == 404)
    if missing:
        found: dict[str, Any] = {"name": name, "version": 0, "document": None}
    else:
        match _checked(got, options):
            case Err(code):
                return code
            case Ok(found):
                pass
    changes = records.field_changes(found["document"], document)
    if options.json:
        print_json({"name": name, "version": found["version"], "changes": changes})
        return EXIT_OK
    print(f"{name}: in force at version {found['version']}, {len(changes)} fields differ")
    if changes:
        print_table(
            ["field", "in force", "file"], [[c["path"], c["before"], c["after"]] for c in changes]
        )
    return EXIT_OK


async def _apply(client: Client, options: argparse.Namespace) -> int:
    noun: _Noun = options.noun
    match _read_named(options.file, noun):
        case Err(why):
            return fail(why, EXIT_USAGE)
        case Ok((name, document)):
            return await _change(client, options, "PUT", name, {noun.word: document})


async def _delete(client: Client, options: argparse.Namespace) -> int:
    return await _change(client, options, "DELETE", options.name, {})


async def _change(
    client: Client, options: argparse.Namespace, method: str, name: str, body: dict[str, Any]
) -> int:
    change_id = options.change_id or uuid.uuid4().hex
    body["based_on"] = options.based_on
    body["reason"] = options.reason
    body["change_id"] = change_id
    body["strand"] = options.strand
    got = await client.call(method, _path(options.noun, name), body)
    match _checked(got, options):
        case Err(code):
            if _is_unsettled(got):
                fail(f"repeat with --change-id {change_id} to learn the outcome")
            return code
        case Ok(done):
            pass
    if options.json:
        print_json(done)
        return EXIT_OK
    again = " (by an earlier call)" if done["repeated"] else ""
    print(f"{name}: accepted as version {done['version']}{again}")
    print(show_changes(done["changes"]) or "no field differs")
    for problem in done["warnings"]:
        print(f"warning: {_line(problem)}")
    return EXIT_OK


def _is_unsettled(got: Result[Answer, str]) -> bool:
    """Tell whether a change may have been accepted although no answer says so."""
    if isinstance(got, Err):
        return True
    document = got.ok_value.document()
    error = document.get("error") if isinstance(document, dict) else None
    return not isinstance(error, dict) or error.get("outcome") != "not_run"


async def _fetch(client: Client, noun: _Noun, name: str) -> Result[Answer, str]:
    return await client.call("GET", _path(noun, name))


def _path(noun: _Noun, name: str) -> str:
    return f"/v1/{noun.kind}/{quote(name, safe='')}"


def _checked(got: Result[Answer, str], options: argparse.Namespace) -> Result[Any, int]:
    """Return the answer's document, or print what went wrong and give the exit code."""
    return checked(got, options).map(Answer.document)


def _read_file(path: Path) -> Result[Any, str]:
    try:
        return Ok(pyjson5.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{path}: cannot be read: {exc}")
    except pyjson5.Json5Exception as exc:
        return Err(f"{path}: not valid json: {exc.args[0]}")


def _read_named(path: Path, noun: _Noun) -> Result[tuple[str, Any], str]:
    """Read a file and return its name and its document, with defaults filled in."""
    match _read_file(path):
        case Err(why):
            return Err(why)
        case Ok(document):
            pass
    name = document.get("name") if isinstance(document, dict) else None
    if not isinstance(name, str):
        return Err(f"{path}: name: this field is required")
    verdict = checks.check_document(Subject(noun.kind, name), document)
    if verdict.errors:
        return Err(f"{path}: {checks.describe(verdict.errors)}")
    return Ok((name, checks.as_document(verdict.wanted)))


def _line(problem: dict[str, str]) -> str:
    return f"{problem['path']}: {problem['reason']}" if problem["path"] else problem["reason"]


def _cell(document: dict[str, Any], column: str) -> object:
    value = document.get(column)
    return ",".join(value) if isinstance(value, list) else value
