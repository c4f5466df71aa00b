"""Provide the commands that show and cancel batch jobs and print their results."""

import argparse
import sys
from typing import Any, Final
from urllib.parse import quote

from result import Err, Ok

from papayapier.entry.callers import ANONYMOUS
from papayapier.exits import EXIT_OK
from papayapier.operate.client import (
    OPTIONS_HELP,
    Client,
    Run,
    add_options,
    check_status,
    fail,
    print_answer,
)
from papayapier.operate.output import print_table

CALLER_HEADER: Final = "X-Papayapier-Caller"
BATCHES: Final = "/v1/batches"
FILES: Final = "/v1/files"
LIST_LIMIT: Final = 100
COLUMNS: Final = (
    "id",
    "status",
    "profile",
    "total",
    "completed",
    "failed",
    "unknown",
    "cancelled",
    "due_ms",
)


def add_job_commands(subparsers: Any) -> None:
    """Register the commands on batch jobs."""
    parser = subparsers.add_parser(
        "job", help="show and cancel batch jobs, print their results", epilog=OPTIONS_HELP
    )
    actions = parser.add_subparsers(title="actions", required=True, metavar="ACTION")
    listing = _add(actions, "list", "list a caller's jobs", _list)
    listing.add_argument("--limit", type=int, default=LIST_LIMIT, help="maximum number of jobs")
    for name, text, run in (
        ("show", "print one job", _show),
        ("cancel", "cancel a job; results recorded before remain readable", _cancel),
        ("results", "print a job's results so far, one JSON line per item", _results),
    ):
        _add(actions, name, text, run).add_argument("id")


def _add(actions: Any, name: str, text: str, run: Run) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = actions.add_parser(name, help=text, description=text)
    parser.add_argument(
        "--caller", default=ANONYMOUS, metavar="NAME", help="the caller that owns the jobs"
    )
    add_options(parser, run)
    return parser


async def _list(client: Client, options: argparse.Namespace) -> int:
    query = {"limit": str(options.limit)}
    result = await client.call("GET", BATCHES, query=query, headers=_caller_header(options))
    return print_answer(result, options, lambda found: _print_jobs(found["data"]))


async def _show(client: Client, options: argparse.Namespace) -> int:
    result = await client.call("GET", _path(options.id), headers=_caller_header(options))
    return print_answer(result, options, lambda job: _print_jobs([job]))


async def _cancel(client: Client, options: argparse.Namespace) -> int:
    result = await client.call(
        "POST", _path(options.id) + "/cancel", headers=_caller_header(options)
    )
    return print_answer(result, options, lambda job: _print_jobs([job]))


async def _results(client: Client, options: argparse.Namespace) -> int:
    headers = _caller_header(options)
    match check_status(await client.call("GET", _path(options.id), headers=headers), options):
        case Err(code):
            return code
        case Ok(answer):
            job = answer.document()
    files = [job[key] for key in ("output_file_id", "error_file_id") if job.get(key)]
    if not files:
        return fail(f"{options.id}: no results yet")
    for file_id in files:
        path = f"{FILES}/{quote(file_id, safe='')}/content"
        match check_status(await client.stream(path, headers, _write_stdout), options):
            case Err(code):
                return code
    return EXIT_OK


def _write_stdout(data: bytes) -> None:
    sys.stdout.buffer.write(data)


def _caller_header(options: argparse.Namespace) -> dict[str, str]:
    return {CALLER_HEADER: options.caller}


def _print_jobs(jobs: list[dict[str, Any]]) -> None:
    print_table(COLUMNS, [_row(job) for job in jobs])


def _row(job: dict[str, Any]) -> list[object]:
    counts = job.get("request_counts") or {}
    return [counts.get(column, job.get(column)) for column in COLUMNS]


def _path(job_id: str) -> str:
    return f"{BATCHES}/{quote(job_id, safe='')}"
