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
from misc.fleet_cost import ENTRY_ROLE
from papayapier import codec
from papayapier.load import experiment_file
from papayapier.load.table import Table

EXPERIMENT: Final = fleet.ROOT / "misc" / "experiments" / "cost.json"
FLEET: Final = fleet.ROOT / "misc" / "fleets" / "sulina.json"

AXIS_VALUES: Final = {
    "replicas": (3, 9, 24, 48),
    "instances": (2, 6, 12),
    "callers": (10, 100, 1_000),
    "connections": (0, 600, 3_000),
}


class SweepPoint(NamedTuple):
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
    parser.add_argument("axis", choices=sorted(AXIS_VALUES))
    parser.add_argument("--values", type=int, nargs="+", help="replaces the axis's default values")
    parser.add_argument("--json", type=Path, help="write the points as JSON")
    options = parser.parse_args(args)
    values = options.values or AXIS_VALUES[options.axis]
    points = [_measure_point(options.axis, value) for value in values]
    print("\n" + _format_table(options.axis, points))
    if options.json:
        options.json.write_bytes(codec.to_json(points))
    return 1 if any(point.broken for point in points) else 0


def _measure_point(axis: str, value: int) -> SweepPoint:
    folder = fleet.ROOT / "out" / "cost-sweep"
    folder.mkdir(parents=True, exist_ok=True)
    experiment_path = folder / f"{axis}-{value}.json"
    experiment_path.write_bytes(codec.to_json(_make_experiment(axis, value)))
    results_path = folder / f"{axis}-{value}-results.json"
    results_path.unlink(missing_ok=True)
    command = [str(FLEET), str(experiment_path), "--json", str(results_path)]
    if axis in ("replicas", "instances"):
        command += ["--engines" if axis == "replicas" else "--instances", str(value)]
    fleet.main(command)
    return _make_point(value, json.loads(results_path.read_text()))


def _make_experiment(axis: str, value: int) -> experiment_file.Experiment:
    experiment = experiment_file.load_experiment(EXPERIMENT).unwrap()
    if axis == "connections":
        return experiment._replace(idle_connections=value)
    if axis == "callers":
        callers = experiment_file.Callers(value)
        return experiment._replace(
            classes=tuple(
                traffic_class._replace(callers=callers) for traffic_class in experiment.classes
            )
        )
    return experiment


def _make_point(value: int, results: dict[str, Any]) -> SweepPoint:
    costs = results["request_costs"]
    core_shares = [
        cost["core_share"]
        for cost in results["process_costs"]
        if cost["role"] == ENTRY_ROLE and cost["phase"] == costs[0]["phase"]
    ]
    instances = len(results["instances"])
    idle = results["control"][0]
    busy = results["control"][-1]
    return SweepPoint(
        value,
        round(sum(core_shares) / len(core_shares), 4),
        costs[-1]["us_above_idle"],
        max(cost["largest_rss_mb"] for cost in costs),
        round(idle["peer_bytes_per_s"] / instances, 1),
        round(idle["store_bytes_per_s"] / instances, 1),
        round(busy["peer_bytes_per_s"] / instances, 1),
        len(results["broken"]) + len(results["failures"]),
    )


def _format_table(axis: str, points: list[SweepPoint]) -> str:
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
