"""Provide the commands that show, check and change profiles and upstreams' wanted state."""

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
    check_status,
    fail,
    print_answer,
)
from papayapier.operate.output import format_changes, print_json, print_table


class _ObjectType(NamedTuple):
    """Describe a type of object to the command line; columns are fields of its document."""

    singular: str
    kind: str
    help: str
    columns: tuple[str, ...]


OBJECT_TYPES: Final = (
    _ObjectType(
        "profile",
        PROFILES,
        "show and change profiles",
        ("urgency", "due_ms", "idempotent", "upstream", "description"),
    ),
    _ObjectType(
        "upstream",
        UPSTREAMS,
        "show and change the wanted state of upstreams",
        ("models", "adapters", "version", "description"),
    ),
)


def add_configuration_commands(subparsers: Any) -> None:
    """Register the commands on profiles and upstreams."""
    for object_type in OBJECT_TYPES:
        parser = subparsers.add_parser(
            object_type.singular, help=object_type.help, epilog=OPTIONS_HELP
        )
        actions = parser.add_subparsers(title="actions", required=True, metavar="ACTION")
        _add_actions(actions, object_type)


def _add_actions(actions: Any, object_type: _ObjectType) -> None:
    word = object_type.singular
    _add(actions, object_type, "list", f"list every {word} in force, with its version", _list)
    get = _add(actions, object_type, "get", f"print a {word} in force, as a file to edit", _get)
    get.add_argument("name")
    check = _add(
        actions, object_type, "check", f"check a {word} file; report each invalid field", _check
    )
    diff = _add(actions, object_type, "diff", f"compare a {word} file with what is in force", _diff)
    apply = _add(actions, object_type, "apply", f"put a {word} file in force everywhere", _apply)
    for parser in (check, diff, apply):
        parser.add_argument("file", type=Path, help="JSON with comments")
    delete = _add(actions, object_type, "delete", f"take a {word} out of force", _delete)
    delete.add_argument("name")
    for parser in (apply, delete):
        _add_change_options(parser)


def _add(
    actions: Any, object_type: _ObjectType, name: str, text: str, run: Run
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = actions.add_parser(name, help=text, description=text)
    add_options(parser, run)
    parser.set_defaults(object_type=object_type)
    return parser


def _add_change_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--based-on",
        type=int,
        required=True,
        metavar="VERSION",
        help="the version that the change is based on (see get and diff); 0 creates. If another "
        "operator has changed it since, nothing is changed and their change is shown",
    )
    parser.add_argument("--reason", required=True, help="why; recorded in the audit trail")
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="repeat an earlier call whose outcome was unknown, with the id it printed",
    )
    parser.add_argument(
        "--strand",
        action="store_true",
        help="allow a change after which queued work can no longer run",
    )


async def _list(client: Client, options: argparse.Namespace) -> int:
    object_type: _ObjectType = options.object_type
    result = await client.call("GET", f"/v1/{object_type.kind}")
    return print_answer(result, options, lambda found: _print_items(object_type, found["items"]))


def _print_items(object_type: _ObjectType, items: list[dict[str, Any]]) -> None:
    rows = [
        [
            item["name"],
            item["version"],
            *(_format_cell(item["document"], c) for c in object_type.columns),
        ]
        for item in items
    ]
    print_table(["name", "version", *object_type.columns], rows)


async def _get(client: Client, options: argparse.Namespace) -> int:
    match _check_document(await _fetch(client, options.object_type, options.name), options):
        case Err(code):
            return code
        case Ok(current):
            pass
    if not options.json:
        print(f"// {current['name']}, version {current['version']}")
    print_json(current if options.json else current["document"])
    return EXIT_OK


async def _check(client: Client, options: argparse.Namespace) -> int:
    match _read_file(options.file):
        case Err(reason):
            return fail(reason, EXIT_USAGE)
        case Ok(document):
            pass
    object_type: _ObjectType = options.object_type
    result = await client.call(
        "POST", f"/v1/{object_type.kind}/check", {object_type.singular: document}
    )
    match _check_document(result, options):
        case Err(code):
            return code
        case Ok(verdict):
            pass
    if options.json:
        print_json(verdict)
    for problem in [] if options.json else verdict["warnings"]:
        print(f"warning: {_format_problem(problem)}")
    for problem in verdict["errors"]:
        fail(f"{options.file}: {_format_problem(problem)}")
    if verdict["ok"] and not options.json:
        print(f"{options.file}: ok")
    return EXIT_OK if verdict["ok"] else EXIT_USAGE


async def _diff(client: Client, options: argparse.Namespace) -> int:
    object_type: _ObjectType = options.object_type
    match _read_named(options.file, object_type):
        case Err(reason):
            return fail(reason, EXIT_USAGE)
        case Ok((name, document)):
            pass
    result = await _fetch(client, object_type, name)
    missing = result.map_or(False, lambda answer: answer.status == 404)
    if missing:
        current: dict[str, Any] = {"name": name, "version": 0, "document": None}
    else:
        match _check_document(result, options):
            case Err(code):
                return code
            case Ok(current):
                pass
    changes = records.field_changes(current["document"], document)
    if options.json:
        print_json({"name": name, "version": current["version"], "changes": changes})
        return EXIT_OK
    print(f"{name}: in force at version {current['version']}, {len(changes)} fields differ")
    if changes:
        print_table(
            ["field", "in force", "file"], [[c["path"], c["before"], c["after"]] for c in changes]
        )
    return EXIT_OK


async def _apply(client: Client, options: argparse.Namespace) -> int:
    object_type: _ObjectType = options.object_type
    match _read_named(options.file, object_type):
        case Err(reason):
            return fail(reason, EXIT_USAGE)
        case Ok((name, document)):
            return await _change(client, options, "PUT", name, {object_type.singular: document})


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
    result = await client.call(method, _path(options.object_type, name), body)
    match _check_document(result, options):
        case Err(code):
            if _is_outcome_unknown(result):
                fail(f"repeat with --change-id {change_id} to learn the outcome")
            return code
        case Ok(done):
            pass
    if options.json:
        print_json(done)
        return EXIT_OK
    earlier = " (by an earlier call)" if done["repeated"] else ""
    print(f"{name}: accepted as version {done['version']}{earlier}")
    print(format_changes(done["changes"]) or "no field differs")
    for problem in done["warnings"]:
        print(f"warning: {_format_problem(problem)}")
    return EXIT_OK


def _is_outcome_unknown(result: Result[Answer, str]) -> bool:
    """Return whether a change may have been accepted without an answer that confirms it."""
    if isinstance(result, Err):
        return True
    document = result.ok_value.document()
    error = document.get("error") if isinstance(document, dict) else None
    return not isinstance(error, dict) or error.get("outcome") != "not_run"


async def _fetch(client: Client, object_type: _ObjectType, name: str) -> Result[Answer, str]:
    return await client.call("GET", _path(object_type, name))


def _path(object_type: _ObjectType, name: str) -> str:
    return f"/v1/{object_type.kind}/{quote(name, safe='')}"


def _check_document(result: Result[Answer, str], options: argparse.Namespace) -> Result[Any, int]:
    """Return the document of an answer, or print why there is none and return the exit code."""
    return check_status(result, options).map(Answer.document)


def _read_file(path: Path) -> Result[Any, str]:
    try:
        return Ok(pyjson5.loads(path.read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"{path}: cannot be read: {exc}")
    except pyjson5.Json5Exception as exc:
        return Err(f"{path}: not valid json: {exc.args[0]}")


def _read_named(path: Path, object_type: _ObjectType) -> Result[tuple[str, Any], str]:
    """Read a file; return the object's name and its document with defaults filled in."""
    match _read_file(path):
        case Err(reason):
            return Err(reason)
        case Ok(document):
            pass
    name = document.get("name") if isinstance(document, dict) else None
    if not isinstance(name, str):
        return Err(f"{path}: name: this field is required")
    verdict = checks.check_document(Subject(object_type.kind, name), document)
    if verdict.errors:
        return Err(f"{path}: {checks.describe_problems(verdict.errors)}")
    return Ok((name, checks.as_document(verdict.wanted)))


def _format_problem(problem: dict[str, str]) -> str:
    return f"{problem['path']}: {problem['reason']}" if problem["path"] else problem["reason"]


def _format_cell(document: dict[str, Any], column: str) -> object:
    value = document.get(column)
    return ",".join(value) if isinstance(value, list) else value
