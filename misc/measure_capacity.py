"""Measure an instance's cost per neighbour, replica, profile, change, token and item.

    python -m misc.measure_capacity --json out/capacity.json             all measures
    python -m misc.measure_capacity --only replicas --json out/r.json    one of them
    python -m misc.measure_capacity --show out/capacity.json             print saved points
    python -m misc.measure_capacity --spread                             compare propagation methods

Each measure starts a small fleet of real processes, lets it settle, and reads processor time
and memory from /proc and bytes and calls from /metrics. --spread only calculates: it compares
methods of propagating a change on the topology that the instances use. docs/CAPACITY.md
extrapolates the figures to the target size.
"""

import argparse
import json
import signal
import sys
from pathlib import Path
from types import FrameType
from typing import Final

from misc.capacity import tables
from misc.capacity.measures import MEASUREMENTS, Measurement, Point
from misc.capacity.spread_paths import FleetSize, HopTimes, compare_methods, neighbour_counts
from papayapier import codec
from papayapier.peer.topology import LinkLimits
from papayapier.settings import PeerSettings

IDLE_S: Final = 20.0
DAY_S: Final = 86_400
TARGET_SIZE: Final = FleetSize(1_400, 14, 6, 900, 14_000 / DAY_S)
# Network time of one hop inside a region and between regions; --hop-ms adds its processing.
IN_REGION_HOP_MS: Final = 1.0
CROSS_REGION_HOP_MS: Final = 80.0
STORE_CALL_MS: Final = 5.0


def main(args: list[str]) -> int:
    """Measure, print saved points or compare propagation methods; return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--only", choices=[*MEASUREMENTS], help="run this measure only")
    parser.add_argument("--seconds", type=float, default=IDLE_S, help="length of idle measurements")
    parser.add_argument("--json", type=Path, help="write the points as JSON")
    parser.add_argument("--show", type=Path, help="print tables of saved points")
    parser.add_argument("--spread", action="store_true", help="compare propagation methods")
    parser.add_argument("--hop-ms", type=float, default=1.0, help="processing time of one hop")
    options = parser.parse_args(args)
    if options.spread:
        print(_compare_spreading(options.hop_ms))
        return 0
    if options.show is not None:
        print(tables.format_measurements(_read_measurements(options.show)))
        return 0
    # Without a handler, SIGTERM would leave the processes of the fleet running.
    signal.signal(signal.SIGTERM, _interrupt)
    names = [options.only] if options.only else [*MEASUREMENTS]
    measurements = []
    for name in names:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        measurements.append(MEASUREMENTS[name](options.seconds))
        if options.json is not None:
            options.json.parent.mkdir(parents=True, exist_ok=True)
            options.json.write_bytes(codec.to_json(measurements))
    print(tables.format_measurements(measurements))
    return 0


def _interrupt(_number: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def _read_measurements(path: Path) -> list[Measurement]:
    return [
        Measurement(row["quantity"], [Point(**point) for point in row["points"]])
        for row in json.loads(path.read_text())
    ]


def _compare_spreading(hop_ms: float) -> str:
    cfg = PeerSettings()
    limits = LinkLimits(cfg.full_mesh, cfg.picks, cfg.relays)
    mean, largest = neighbour_counts(TARGET_SIZE, limits)
    hop_times = HopTimes(IN_REGION_HOP_MS + hop_ms, CROSS_REGION_HOP_MS + hop_ms)
    comparison = tables.format_methods(
        compare_methods(TARGET_SIZE, limits, hop_times, STORE_CALL_MS)
    )
    return f"neighbours: {mean:.1f} on average, {largest} at most\n\n{comparison}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
