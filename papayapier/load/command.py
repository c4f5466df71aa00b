"""Implement the load command."""

import argparse
import gc
import os
import re
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, cast

from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier import codec
from papayapier.clock import real_clock
from papayapier.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from papayapier.load import experiment_file
from papayapier.logs import start_logs
from papayapier.settings import LogSettings

if TYPE_CHECKING:
    from twisted.python.failure import Failure


KEY_VARIABLE: Final = "PAPAYAPIER_OPERATOR_KEY"
ADDRESS: Final = re.compile(r"[^\s:/]+:\d{1,5}")

# A garbage collection of the oldest generation pauses this process for up to 90 ms once it
# holds some ten thousand answers; the pause would be measured as latency of the instances (and
# shows as a large lag p99). Few old objects form cycles, so they are not collected during a run.
COLLECT_THRESHOLDS: Final = (700, 10, 1_000_000)

DEFAULT_SEED: Final = 1
DEFAULT_MINUTES: Final = 5.0
MS_PER_MINUTE: Final = 60_000

DESCRIPTION: Final = """\
Run an experiment file against running instances: an open loop of online requests, concurrent
batch jobs, faults injected into stand-ins, and at the end a comparison of every refusal and
answer with the stand-ins' counts of what ran. With --chaos, run instances and stand-ins in this
process under random faults instead. Exits with status 1 when a guarantee was violated."""


def add_load_command(subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Register the load command."""
    parser = subparsers.add_parser("load", help="measure under load", description=DESCRIPTION)
    parser.add_argument("experiment", type=Path, nargs="?", help="JSON file with comments")
    parser.add_argument("--targets", type=_addresses, default=[], metavar="HOST:PORT,...")
    parser.add_argument(
        "--operator",
        type=_address,
        metavar="HOST:PORT",
        help=f"operator address, for profile changes; its key is read from {KEY_VARIABLE}",
    )
    parser.add_argument(
        "--platform",
        type=_address,
        metavar="HOST:PORT",
        help="address of the stand-in platform, for faults and for the comparison with what ran",
    )
    parser.add_argument(
        "--seed", type=int, help="seed of all random choices; overrides the seed in the file"
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the results as JSON")
    parser.add_argument("--html", type=Path, metavar="FILE", help="write a report with plots")
    parser.add_argument("--chaos", action="store_true", help="run under random faults")
    parser.add_argument("--minutes", type=float, default=DEFAULT_MINUTES, help="length of --chaos")
    parser.set_defaults(command=_load)


def _load(options: argparse.Namespace) -> int:
    if options.chaos:
        return run_on_reactor(_chaos(options))
    if options.experiment is None:
        return _usage("either an experiment file or --chaos is required")
    loaded = experiment_file.load_experiment(options.experiment)
    if isinstance(loaded, Err):
        return _usage(loaded.err_value)
    if not options.targets:
        return _usage("--targets: at least one address is required")
    from papayapier.load.plots import can_draw

    drawable = can_draw() if options.html else Ok(None)
    if isinstance(drawable, Err):
        return _usage(drawable.err_value)
    return run_on_reactor(_measure(loaded.ok_value, options))


async def _measure(exp: experiment_file.Experiment, options: argparse.Namespace) -> int:
    from papayapier.load.experiment import Options, run_experiment
    from papayapier.load.table import report_text

    gc.set_threshold(*COLLECT_THRESHOLDS)
    seed = exp.seed if options.seed is None else options.seed
    run_options = Options(
        targets=options.targets,
        operator=options.operator or "",
        operator_key=os.environ.get(KEY_VARIABLE, ""),
        platform=options.platform or "",
        seed=seed,
        run_id=f"{seed:x}-{int(time.time()):x}",
        log=lambda line: print(line, file=sys.stderr, flush=True),
    )
    report = await run_experiment(exp, real_clock(), run_options)
    print(report_text(report))
    if options.json:
        from papayapier.load.report import report_json

        options.json.write_bytes(report_json(report))
    if options.html:
        from papayapier.load.report import report_html

        options.html.write_text(report_html(report), encoding="utf-8")
    return EXIT_FAILED if report.broken or report.failures else EXIT_OK


async def _chaos(options: argparse.Namespace) -> int:
    from twisted.internet import reactor

    from papayapier.load.chaos import run_chaos

    start_logs(LogSettings(form="text", level="error"))
    seed = DEFAULT_SEED if options.seed is None else options.seed
    report = await run_chaos(reactor, real_clock(), seed, int(options.minutes * MS_PER_MINUTE))
    if options.json:
        options.json.write_bytes(codec.to_json(report))
    for name, number in sorted(report.counts.items()):
        print(f"{number:>8}  {name}")
    if not report.broken:
        print(f"seed {report.seed}: {len(report.events)} events, no guarantee was violated")
        return EXIT_OK
    print("\n".join([f"seed {report.seed}, events:", *report.events]), file=sys.stderr)
    print("\n".join(["broken:", *report.broken]), file=sys.stderr)
    return EXIT_FAILED


def run_on_reactor(coroutine: Coroutine[Deferred[Any], Any, int]) -> int:
    """Run a coroutine on the reactor and return its exit code."""
    from twisted.internet import reactor as installed

    reactor = cast(Any, installed)
    exit_codes: list[int] = []

    def on_done(code: int) -> None:
        exit_codes.append(code)
        reactor.stop()

    def on_failed(failure: "Failure") -> None:
        print(f"papayapier: internal error: {failure.getTraceback()}", file=sys.stderr)
        on_done(EXIT_FAILED)

    def on_running() -> None:
        Deferred.fromCoroutine(coroutine).addCallbacks(on_done, on_failed)

    reactor.callWhenRunning(on_running)
    reactor.run()
    return exit_codes[0] if exit_codes else EXIT_FAILED


def _address(text: str) -> str:
    if not ADDRESS.fullmatch(text):
        raise argparse.ArgumentTypeError(f"expected HOST:PORT, got {text!r}")
    return text


def _addresses(text: str) -> list[str]:
    return [_address(part) for part in text.split(",") if part]


def _usage(message: str) -> int:
    print(f"papayapier: {message}", file=sys.stderr)
    return EXIT_USAGE
