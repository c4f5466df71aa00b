"""Run an experiment against a fleet of real processes on this machine.

    python -m misc.fleet misc/fleets/sulina.json misc/experiments/sulina.json --json out/s.json

A fleet file (JSON with comments) sets the number and settings of the stand-ins and the entry
instances. The stand-ins run in several processes so that they are not the bottleneck; the
results include the processor share of each process, which shows whether they were. All
processes are stopped at the end.
"""

import argparse
import json
import signal
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Annotated, Any, Final, NamedTuple

from msgspec import Meta
from result import Err, Ok, Result

from misc.fleet_cost import ENTRY_ROLE, add_costs, format_costs
from misc.ports import PortReservations
from misc.processes import Process, ProcessGroup
from papayapier import codec

SmallCount = Annotated[int, Meta(ge=0, le=200)]

ROOT: Final = Path(__file__).parent.parent
HOST: Final = "127.0.0.1"
READY_TIMEOUT_S: Final = 30.0
CALL_TIMEOUT_S: Final = 5.0
POLL_PERIOD_S: Final = 0.1
SAMPLE_PERIOD_S: Final = 0.5
PAPAYAPIER: Final = [sys.executable, "-m", "papayapier"]


class FleetPlan(NamedTuple):
    """Describe a fleet; standin holds stand-in parameters, settings overrides instance settings."""

    instances: SmallCount = 6
    data_centres: tuple[str, ...] = ("dc-a", "dc-b", "dc-c")
    region: str = "local"
    engines: SmallCount = 9
    engine_name: str = "assistant"
    engines_per_process: Annotated[int, Meta(ge=1, le=50)] = 3
    services: SmallCount = 3
    service_name: str = "gate"
    standin: dict[str, Any] = {}  # noqa: RUF012
    settings: dict[str, Any] = {}  # noqa: RUF012


class Addresses(NamedTuple):
    """Hold the addresses on which the fleet listens."""

    platform: str
    entries: list[str]
    operator: str


def main(args: list[str]) -> int:
    """Run one experiment; return the exit code of the load tool."""
    parser = argparse.ArgumentParser(
        description=__doc__, prog="misc.fleet", formatter_class=_DescriptionFormatter
    )
    parser.add_argument("fleet", type=Path, help="fleet file")
    parser.add_argument("experiment", type=Path, help="experiment file")
    parser.add_argument("--json", type=Path, help="write results and costs as JSON")
    parser.add_argument("--html", type=Path, help="write the HTML report")
    parser.add_argument("--seed", type=int, help="seed of the experiment")
    parser.add_argument("--instances", type=int, help="replaces the number in the fleet file")
    parser.add_argument("--engines", type=int, help="replaces the number in the fleet file")
    options = parser.parse_args(args)
    plan = read_plan(options)
    if isinstance(plan, Err):
        print(f"fleet: {plan.err_value}", file=sys.stderr)
        return 2
    folder = ROOT / "out" / f"fleet-{options.experiment.stem}"
    folder.mkdir(parents=True, exist_ok=True)
    signal.signal(signal.SIGTERM, _interrupt)
    with ProcessGroup(folder) as group:
        addresses = start_fleet(group, plan.ok_value, folder)
        return _run_load(group, addresses, options, folder)


class _DescriptionFormatter(argparse.RawDescriptionHelpFormatter):
    """Keep the line breaks of the description."""


def read_plan(options: argparse.Namespace) -> Result[FleetPlan, str]:
    """Read a fleet file and apply the options that override it."""
    try:
        text = options.fleet.read_text(encoding="utf-8")
    except OSError as exc:
        return Err(f"{options.fleet}: cannot be read: {exc}")
    plan = codec.from_commented_json(text, FleetPlan)
    if isinstance(plan, Err):
        return Err(f"{options.fleet}: {plan.err_value}")
    overrides = {name: getattr(options, name) for name in ("instances", "engines")}
    return Ok(plan.ok_value._replace(**{k: v for k, v in overrides.items() if v is not None}))


def start_fleet(group: ProcessGroup, plan: FleetPlan, folder: Path) -> Addresses:
    """Start stand-ins and instances, and wait until all are ready."""
    params = folder / "standin.json"
    params.write_text(json.dumps(plan.standin))
    platform = _start_standins(group, plan, params)
    entries, operators = [], []
    ports = PortReservations(HOST)
    for number in range(1, plan.instances + 1):
        settings = _make_settings(plan, platform, number, ports)
        path = folder / f"entry-{number}.json"
        path.write_text(json.dumps(settings))
        group.start(f"entry-{number}", ENTRY_ROLE, [*PAPAYAPIER, "serve", "--settings", str(path)])
        entries.append(f"{HOST}:{settings['entry']['port']}")
        operators.append(f"{HOST}:{settings['operator']['port']}")
    for entry in entries:
        _wait_ready(group, entry)
    ports.close()
    return Addresses(platform, entries, operators[0])


def _start_standins(group: ProcessGroup, plan: FleetPlan, params: Path) -> str:
    """Start the platform with the services, then the engines in groups of a few per process."""
    common = [*PAPAYAPIER, "standin", "--params", str(params)]
    common += ["--data-centres", ",".join(plan.data_centres)]
    services = ["--services", str(plan.services), "--service-name", plan.service_name]
    process = group.start("platform", "platform", [*common, *services])
    platform = f"{HOST}:{_read_addresses(process)['platform_port']}"
    for first in range(1, plan.engines + 1, plan.engines_per_process):
        number = min(plan.engines_per_process, plan.engines + 1 - first)
        engines = ["--engines", str(number), "--first", str(first)]
        engines += ["--engine-name", plan.engine_name]
        engine_process = group.start(
            f"engines-{first}", "engines", [*common, *engines, "--no-platform"]
        )
        for member in _read_addresses(engine_process)["replicas"]:
            _list_replica(platform, member)
    return platform


def _list_replica(platform: str, member: dict[str, Any]) -> None:
    """Add a replica to the platform's instance list."""
    url = f"http://{platform}/instances/{member['id']}"
    request = urllib.request.Request(url, json.dumps(member).encode(), method="PUT")
    with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as response:
        response.read()


def _read_addresses(process: Process) -> Any:
    line = process.read_first_line()
    if not line:
        raise RuntimeError(
            f"{process.name} did not start: {process.stderr_path.read_text()[-500:]}"
        )
    return json.loads(line)


def _make_settings(
    plan: FleetPlan, platform: str, number: int, ports: PortReservations
) -> dict[str, Any]:
    """Return the settings of one instance, with reserved ports."""
    settings: dict[str, Any] = {
        "instance": {
            "id": f"entry-{number}",
            "data_centre": plan.data_centres[(number - 1) % len(plan.data_centres)],
            "region": plan.region,
            "host": HOST,
        },
        "platform": {"host": HOST, "port": int(platform.rpartition(":")[2])},
        "entry": {"port": ports.reserve()},
        "operator": {"port": ports.reserve()},
        "peer": {"port": ports.reserve()},
        "log": {"form": "json", "level": "warning"},
    }
    for section, fields in plan.settings.items():
        settings.setdefault(section, {}).update(fields)
    return settings


def _wait_ready(group: ProcessGroup, entry: str) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    reason = "it did not reply"
    while time.monotonic() < deadline:
        ended = [process.name for process in group.processes if process.has_ended()]
        if ended:
            raise RuntimeError(f"{ended[0]} has exited; its .err file under out/ states the reason")
        try:
            with urllib.request.urlopen(f"http://{entry}/readyz", timeout=2) as response:
                if response.status == 200:
                    return
        except urllib.error.HTTPError as exc:
            reason = exc.read().decode(errors="replace")[:200]
        except OSError as exc:
            reason = str(exc)
        time.sleep(POLL_PERIOD_S)
    raise RuntimeError(f"{entry} did not become ready: {reason}")


def _run_load(
    group: ProcessGroup, addresses: Addresses, options: argparse.Namespace, folder: Path
) -> int:
    """Run the load tool as a process of the group and sample all processes while it runs."""
    results = folder / "results.json"
    command = [*PAPAYAPIER, "load", str(options.experiment), "--json", str(results)]
    command += ["--targets", ",".join(addresses.entries), "--operator", addresses.operator]
    command += ["--platform", addresses.platform]
    command += ["--html", str(options.html)] if options.html else []
    command += ["--seed", str(options.seed)] if options.seed is not None else []
    results.unlink(missing_ok=True)
    load_process = group.start("load", "load", command)
    while (code := load_process.wait(SAMPLE_PERIOD_S)) is None:
        group.sample()
    sys.stdout.write(load_process.read_rest().decode())
    sys.stderr.write(load_process.stderr_path.read_text())
    if results.exists():
        document = add_costs(json.loads(results.read_text()), group.processes)
        print("\n" + format_costs(document))
        if options.json:
            options.json.write_text(json.dumps(document, indent=1))
    return code


def _interrupt(_number: int, _frame: object) -> None:
    """Turn SIGTERM into an exception, so that the process group stops its processes."""
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
