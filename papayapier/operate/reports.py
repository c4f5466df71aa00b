"""Provide the commands that show the audit trail and the status of the fleet."""

import argparse
import re
import time
from datetime import UTC, datetime
from typing import Any, Final

from result import Err, Ok, Result

from papayapier.clock import MS_PER_S
from papayapier.exits import EXIT_USAGE
from papayapier.operate.client import (
    Client,
    add_options,
    fail,
    print_answer,
)
from papayapier.operate.output import format_changes, format_time, print_table

MS_PER_UNIT: Final = {"s": 1_000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}
AGE_PATTERN: Final = re.compile(r"(\d+)([smhd])")


def add_report_commands(subparsers: Any) -> None:
    """Register the audit and status commands."""
    _add_audit(subparsers)
    status = subparsers.add_parser(
        "status",
        help="show the version in force on each instance",
        description="Show each instance's state and configuration version, as known to the "
        "instance that answers, and the instance with the oldest version.",
    )
    add_options(status, _status)
    orders = subparsers.add_parser(
        "orders",
        help="show orders to engines: in progress, done, failed, held back",
        description="Show the orders to engines. Only the controller, the instance that gives "
        "orders, knows them; other instances name the controller.",
    )
    add_options(orders, _orders)


def _add_audit(subparsers: Any) -> None:
    audit = subparsers.add_parser(
        "audit",
        help="show who changed what, when and why",
        description="Show accepted changes, newest first. The audit trail is written in the "
        "same update as the change itself.",
    )
    audit.add_argument("--kind", choices=("profiles", "upstreams"), help="only this kind")
    audit.add_argument("--name", help="only this profile or upstream")
    audit.add_argument("--who", help="only this operator's changes")
    audit.add_argument(
        "--since", metavar="WHEN", help="an age (30m, 12h, 7d) or a time (2025-03-01T08:00)"
    )
    audit.add_argument("--limit", type=int, default=50, help="maximum number of changes")
    add_options(audit, _audit)


async def _audit(client: Client, options: argparse.Namespace) -> int:
    since = parse_since(options.since, int(time.time() * MS_PER_S))
    if isinstance(since, Err):
        return fail(since.err_value, EXIT_USAGE)
    filters = {"kind": options.kind, "name": options.name, "who": options.who}
    query = {key: value for key, value in filters.items() if value}
    query["since"] = str(since.ok_value)
    query["limit"] = str(options.limit)
    result = await client.call("GET", "/v1/audit", query=query)
    return print_answer(result, options, _print_audit)


def _print_audit(found: dict[str, Any]) -> None:
    rows = [
        [
            format_time(line["entry"]["at_ms"]),
            line["entry"]["who"],
            line["entry"]["action"],
            f"{line['kind']}/{line['name']}",
            line["version"],
            line["entry"]["reason"],
            format_changes(line["entry"]["changes"]),
        ]
        for line in found["lines"]
    ]
    print_table(["time", "who", "action", "object", "version", "reason", "changes"], rows)


async def _status(client: Client, options: argparse.Namespace) -> int:
    result = await client.call("GET", "/v1/status")
    return print_answer(result, options, _print_status)


def _print_status(found: dict[str, Any]) -> None:
    columns = ["id", "state", "ready", "config_version", "agrees", "heard_ms_ago", "data_centre"]
    print_table(
        [*columns, "reason"], [[row[c] for c in [*columns, "reason"]] for row in found["instances"]]
    )
    print(f"furthest behind: {found['slowest']} (as known to {found['instance']})")


async def _orders(client: Client, options: argparse.Namespace) -> int:
    result = await client.call("GET", "/v1/orders")
    return print_answer(result, options, _print_orders)


def _print_orders(found: dict[str, Any]) -> None:
    print(f"orders are given by: {found['controller'] or 'no instance at present'}")
    underway = [[order["replica"], order["kind"], order["name"]] for order in found["underway"]]
    print_table(["in progress on", "order", "name"], underway)
    columns = ["replica", "kind", "name", "end", "reason"]
    recent = [
        [format_time(order["at_ms"]), *(order[c] for c in columns)] for order in found["lately"]
    ]
    print_table(["time", *columns], recent)


def parse_since(text: str | None, now_ms: int) -> Result[int, str]:
    """Parse an age or a time to milliseconds since the epoch; the default time zone is UTC."""
    if text is None:
        return Ok(0)
    age = AGE_PATTERN.fullmatch(text)
    if age is not None:
        return Ok(max(0, now_ms - int(age[1]) * MS_PER_UNIT[age[2]]))
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        return Err(f"--since: expected an age like 12h or a time like 2025-03-01T08:00, got {text}")
    return Ok(int(at.replace(tzinfo=at.tzinfo or UTC).timestamp() * MS_PER_S))
