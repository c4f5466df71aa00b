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
from misc.capacity.measures import MEASURES, Measure, Point
from misc.capacity.spread_paths import Hops, Sizes, compare, degrees
from papayapier import codec
from papayapier.peer.topology import Limits
from papayapier.settings import PeerSettings

SECONDS: Final = 20.0
DAY_S: Final = 86_400
TARGET: Final = Sizes(1_400, 14, 6, 900, 14_000 / DAY_S)
# Network time of one hop inside a region and between regions; --hop-ms adds its processing.
NEAR_MS: Final = 1.0
FAR_MS: Final = 80.0
STORE_MS: Final = 5.0


def main(args: list[str]) -> int:
    """Measure, print saved points or compare propagation methods; return the exit code."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--only", choices=[*MEASURES], help="run this measure only")
    parser.add_argument(
        "--seconds", type=float, default=SECONDS, help="length of idle measurements"
    )
    parser.add_argument("--json", type=Path, help="write the points as JSON")
    parser.add_argument("--show", type=Path, help="print tables of saved points")
    parser.add_argument("--spread", action="store_true", help="compare propagation methods")
    parser.add_argument("--hop-ms", type=float, default=1.0, help="processing time of one hop")
    options = parser.parse_args(args)
    if options.spread:
        print(_spread(options.hop_ms))
        return 0
    if options.show is not None:
        print(tables.measured(_read(options.show)))
        return 0
    # Without a handler, SIGTERM would leave the processes of the fleet running.
    signal.signal(signal.SIGTERM, _interrupt)
    names = [options.only] if options.only else [*MEASURES]
    found = []
    for name in names:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        found.append(MEASURES[name](options.seconds))
        if options.json is not None:
            options.json.parent.mkdir(parents=True, exist_ok=True)
            options.json.write_bytes(codec.to_json(found))
    print(tables.measured(found))
    return 0


def _interrupt(_number: int, _frame: FrameType | None) -> None:
    raise KeyboardInterrupt


def _read(path: Path) -> list[Measure]:
    return [
        Measure(one["quantity"], [Point(**point) for point in one["points"]])
        for one in json.loads(path.read_text())
    ]


def _spread(hop_ms: float) -> str:
    cfg = PeerSettings()
    limits = Limits(cfg.full_mesh, cfg.picks, cfg.relays)
    mean, most = degrees(TARGET, limits)
    hops = Hops(NEAR_MS + hop_ms, FAR_MS + hop_ms)
    found = tables.ways(compare(TARGET, limits, hops, STORE_MS))
    return f"neighbours: {mean:.1f} on average, {most} at most\n\n{found}"


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
