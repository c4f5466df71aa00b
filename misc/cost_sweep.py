"""Measure how the cost of an entry instance grows with the size of the fleet and its load.

    python -m misc.cost_sweep replicas --json out/sweep-replicas.json

Runs misc/experiments/cost.json once per value of one axis, each time on a new fleet. Prints the
share of a processor core that an idle instance uses, the processor time per request above
that, memory, and the bytes per second exchanged between instances and with the store. The
first phase of the experiment has no requests, and the last has the highest load.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

from misc import fleet
from misc.fleet_cost import ENTRY
from papayapier import codec
from papayapier.load import scenario
from papayapier.load.table import Table

EXPERIMENT: Final = fleet.ROOT / "misc" / "experiments" / "cost.json"
FLEET: Final = fleet.ROOT / "misc" / "fleets" / "sulina.json"

VALUES: Final = {
    "replicas": (3, 9, 24, 48),
    "instances": (2, 6, 12),
    "callers": (10, 100, 1_000),
    "connections": (0, 600, 3_000),
}


class Point(NamedTuple):
    """Hold the figures for one value of the axis; shares and bytes are per instance."""

    value: int
    idle_core_share: float
    us_above_idle: float
    largest_rss_mb: float
    idle_peer_bytes_per_s: float
    idle_store_bytes_per_s: float
    busy_peer_bytes_per_s: float
    broken: int


def main(args: list[str]) -> int:
    """Sweep one axis; return 1 if any run had failures or violated an invariant."""
    parser = argparse.ArgumentParser(description=__doc__, prog="misc.cost_sweep")
    parser.add_argument("axis", choices=sorted(VALUES))
    parser.add_argument("--values", type=int, nargs="+", help="replaces the axis's default values")
    parser.add_argument("--json", type=Path, help="write the points as JSON")
    options = parser.parse_args(args)
    values = options.values or VALUES[options.axis]
    points = [_measure(options.axis, value) for value in values]
    print("\n" + _text(options.axis, points))
    if options.json:
        options.json.write_bytes(codec.to_json(points))
    return 1 if any(point.broken for point in points) else 0


def _measure(axis: str, value: int) -> Point:
    folder = fleet.ROOT / "out" / "cost-sweep"
    folder.mkdir(parents=True, exist_ok=True)
    experiment = folder / f"{axis}-{value}.json"
    experiment.write_bytes(codec.to_json(_experiment(axis, value)))
    results = folder / f"{axis}-{value}-results.json"
    results.unlink(missing_ok=True)
    command = [str(FLEET), str(experiment), "--json", str(results)]
    if axis in ("replicas", "instances"):
        command += ["--engines" if axis == "replicas" else "--instances", str(value)]
    fleet.main(command)
    return _point(value, json.loads(results.read_text()))


def _experiment(axis: str, value: int) -> scenario.Experiment:
    exp = scenario.load(EXPERIMENT).unwrap()
    if axis == "connections":
        return exp._replace(idle_connections=value)
    if axis == "callers":
        callers = scenario.Callers(value)
        return exp._replace(classes=tuple(cls._replace(callers=callers) for cls in exp.classes))
    return exp


def _point(value: int, document: dict[str, Any]) -> Point:
    costs = document["request_costs"]
    shares = [
        one["core_share"]
        for one in document["process_costs"]
        if one["role"] == ENTRY and one["phase"] == costs[0]["phase"]
    ]
    instances = len(document["instances"])
    idle = document["control"][0]
    busy = document["control"][-1]
    return Point(
        value,
        round(sum(shares) / len(shares), 4),
        costs[-1]["us_above_idle"],
        max(one["largest_rss_mb"] for one in costs),
        round(idle["peer_bytes_per_s"] / instances, 1),
        round(idle["store_bytes_per_s"] / instances, 1),
        round(busy["peer_bytes_per_s"] / instances, 1),
        len(document["broken"]) + len(document["failures"]),
    )


def _text(axis: str, points: list[Point]) -> str:
    header = (axis, "", "idle core share", "us/request above idle", "largest MB")
    rows = [
        (
            str(point.value),
            "broken" if point.broken else "",
            f"{point.idle_core_share:.3f}",
            f"{point.us_above_idle:.0f}",
            f"{point.largest_rss_mb:.0f}",
            f"{point.idle_peer_bytes_per_s:.0f}",
            f"{point.idle_store_bytes_per_s:.0f}",
            f"{point.busy_peer_bytes_per_s:.0f}",
        )
        for point in points
    ]
    title = f"cost of one entry instance by {axis}"
    bytes_per_s = ("idle peer bytes/s", "idle store bytes/s", "busy peer bytes/s")
    return Table(title, (*header, *bytes_per_s), rows).text()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
