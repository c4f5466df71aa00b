"""Start the measured fleets and change them through their public HTTP interfaces."""

import json
import sys
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final, NamedTuple

from misc.fleet import Addresses, FleetPlan, start_fleet
from misc.processes import Process, ProcessGroup
from papayapier import codec
from papayapier.store.api import REPLICA, Member

FOLDER: Final = Path(__file__).parents[2] / "out" / "capacity"
CALL_TIMEOUT_S: Final = 30.0
ENGINES: Final = 3
HOST: Final = "127.0.0.1"


class Fleet(NamedTuple):
    """Hold a running fleet; instances are in the order of their entry addresses."""

    group: ProcessGroup
    addresses: Addresses
    instances: list[Process]
    operators: list[str]


@contextmanager
def run_fleet(instances: int, **settings: dict[str, Any]) -> Iterator[Fleet]:
    """Run a fleet with the given number of instances and three engines."""
    plan = FleetPlan(
        instances=instances, engines=ENGINES, engine_name="lm", services=0, settings=settings
    )
    FOLDER.mkdir(parents=True, exist_ok=True)
    with ProcessGroup(FOLDER) as group:
        addresses = start_fleet(group, plan, FOLDER)
        processes = [process for process in group.processes if process.role == "entry"]
        yield Fleet(group, addresses, processes, _read_operators(instances))


def register_instances(fleet: Fleet, count: int) -> int:
    """Register more instances and run those that the first one picks; return how many run."""
    settings = json.loads((FOLDER / "entry-1.json").read_text())
    port = str(settings["peer"]["port"])
    command = [sys.executable, "-m", "misc.capacity.crowd", fleet.addresses.platform, port]
    peers = fleet.group.start("crowd", "crowd", [*command, str(count)])
    return len(json.loads(peers.read_first_line()))


def register_replicas(fleet: Fleet, count: int) -> None:
    """Register more replicas, all of which are the first engine under other ids."""
    with urllib.request.urlopen(
        f"http://{fleet.addresses.platform}/instances?wait_ms=0&since=0", timeout=CALL_TIMEOUT_S
    ) as response:
        members = json.load(response)["instances"]
    first = next(member for member in members if member["kind"] == REPLICA)
    for index in range(count):
        _register(fleet, Member(**{**first, "id": f"more-{index}"}))


def put_profile(
    operator: str, name: str, due_ms: int, based_on: int, urgency: str = "normal"
) -> int:
    """Write a profile and return its version."""
    change = {
        "profile": {
            "name": name,
            "upstream": "lm",
            "urgency": urgency,
            "due_ms": due_ms,
            "idempotent": True,
            "description": "a profile of common length, as an operator would describe it",
        },
        "based_on": based_on,
        "reason": "measurement",
        "change_id": f"capacity-{name}-{based_on}",
    }
    url = f"http://{operator}/v1/profiles/{name}"
    return int(json.loads(request("PUT", url, json.dumps(change).encode()))["version"])


def request(method: str, url: str, body: bytes, **headers: str) -> bytes:
    """Send a request and return the response body."""
    all_headers = {"Content-Type": "application/json"}
    all_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
    http_request = urllib.request.Request(url, body or None, all_headers, method=method)
    try:
        with urllib.request.urlopen(http_request, timeout=CALL_TIMEOUT_S) as response:
            content: bytes = response.read()
    except urllib.error.HTTPError as exc:
        raise RuntimeError(f"{method} {url}: {exc.code} {exc.read()[:300]!r}") from exc
    return content


def _register(fleet: Fleet, member: Member) -> None:
    url = f"http://{fleet.addresses.platform}/instances/{member.id}"
    request("PUT", url, codec.to_json(member))


def _read_operators(instances: int) -> list[str]:
    """Return the operator addresses, which the fleet's settings files contain."""
    operators = []
    for number in range(1, instances + 1):
        settings = json.loads((FOLDER / f"entry-{number}.json").read_text())
        operators.append(f"{HOST}:{settings['operator']['port']}")
    return operators
