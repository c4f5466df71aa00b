"""Parse the command line and run one command.

Every command is a function that takes its parsed arguments and returns an exit code: 0 for
success, 1 for a failure while running, 2 for invalid input. The package that owns a command
registers it; modules that run instances or stand-ins are imported only by their commands.
"""

import argparse
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

from result import Err

from papayapier import VERSION
from papayapier.exits import EXIT_OK, EXIT_USAGE
from papayapier.node.command import NODE_COMMANDS, add_node_commands

Command = Callable[[argparse.Namespace], int]

SERVING_COMMANDS: Final = frozenset({"serve", *NODE_COMMANDS})

DESCRIPTION: Final = """\
Serve online and batch inference requests on one fleet of replicas. Operators define named
profiles (urgency, due time, idempotency); callers choose one for each request or job."""


class _PrintVersion(argparse.Action):
    """Print the version and the sources, which are only read for this."""

    def __call__(self, parser: argparse.ArgumentParser, *_: Any) -> None:
        from papayapier.sources import sources_id

        print(f"papayapier {VERSION}, sources {sources_id()}")
        parser.exit(EXIT_OK)


def run() -> None:
    """Run the program with the arguments of the process."""
    sys.exit(main(sys.argv[1:]))


def main(args: Sequence[str]) -> int:
    """Run the command that the arguments name; return its exit code."""
    if args and args[0] in SERVING_COMMANDS:
        # By default the signal ends the process, until the program is imported and handles it. The
        # settings have not been read yet.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # An entry has to listen as soon as possible; the other commands take longer to import.
    parser = make_node_parser() if args and args[0] in NODE_COMMANDS else make_parser()
    options = parser.parse_args(args)
    command: Command = options.command
    return command(options)


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of the whole command line."""
    parser = argparse.ArgumentParser(prog="papayapier", description=DESCRIPTION)
    parser.add_argument("--version", action=_PrintVersion, nargs=0, help="print the version")
    commands = parser.add_subparsers(title="commands", required=True, metavar="COMMAND")
    _add_serve(commands)
    add_node_commands(commands)
    _add_check(commands)
    _add_demo(commands)
    _add_standin(commands)
    from papayapier.load.command import add_load_command
    from papayapier.operate import add_operator_commands

    add_operator_commands(commands)
    add_load_command(commands)
    return parser


def make_node_parser() -> argparse.ArgumentParser:
    """Build a parser with only the commands of processes on the users' platform."""
    parser = argparse.ArgumentParser(prog="papayapier", description=DESCRIPTION)
    add_node_commands(parser.add_subparsers(required=True, metavar="COMMAND"))
    return parser


def _add_serve(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "serve",
        help="run one entry instance",
        description="Run one entry instance until SIGTERM, which begins a graceful shutdown.",
    )
    parser.add_argument("--settings", type=Path, required=True, help="JSON file with comments")
    parser.set_defaults(command=_serve)


def _serve(options: argparse.Namespace) -> int:
    from papayapier import settings
    from papayapier.serve import serve

    loaded = settings.load(options.settings)
    if isinstance(loaded, Err):
        return _usage(loaded.err_value)
    return serve(loaded.ok_value)


def _add_check(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "check",
        help="check a settings file",
        description="Check a settings file and report the first invalid field.",
    )
    parser.add_argument("file", type=Path, help="JSON file with comments")
    parser.add_argument("--json", action="store_true", help="print the settings in full")
    parser.set_defaults(command=_check)


def _check(options: argparse.Namespace) -> int:
    from papayapier import codec, settings

    loaded = settings.load(options.file)
    if isinstance(loaded, Err):
        return _usage(loaded.err_value)
    if options.json:
        print(codec.to_json(loaded.ok_value).decode())
    else:
        print(f"{options.file}: ok")
    return EXIT_OK


def _add_demo(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "demo",
        help="run the whole system on this machine for a minute",
        description="Run stand-ins, one entry instance, online requests and a batch job in one "
        "process, and check the system's invariants. Exits with 1 if one was violated.",
    )
    parser.add_argument("--stay", action="store_true", help="keep running and print curl commands")
    parser.add_argument("--seed", type=int, default=1, help="random seed")
    parser.add_argument("--requests", type=int, default=200, help="online requests to send")
    parser.add_argument("--items", type=int, default=300, help="items of the batch job")
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    parser.set_defaults(command=_demo)


def _demo(options: argparse.Namespace) -> int:
    from papayapier.demo import DemoOptions, demo

    return demo(
        DemoOptions(options.stay, options.seed, options.requests, options.items, options.json)
    )


def _add_standin(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    parser = commands.add_parser(
        "standin",
        help="run stand-ins of the platform, model engines and plain services",
        description="Run stand-ins for tests and measurements until SIGTERM. The first output "
        "line is a JSON object with their addresses.",
    )
    parser.add_argument("--platform-port", type=int, default=0, help="0 selects a free port")
    parser.add_argument("--no-platform", action="store_true", help="register with another platform")
    parser.add_argument("--engines", type=int, default=0, help="number of model engines")
    parser.add_argument("--engine-name", default="lm", help="upstream name of the engines")
    parser.add_argument("--services", type=int, default=0, help="number of plain services")
    parser.add_argument("--service-name", default="gate", help="upstream name of the services")
    parser.add_argument("--data-centres", default="dc-a,dc-b,dc-c", help="assigned round robin")
    parser.add_argument("--first", type=int, default=1, help="number of the first replica")
    parser.add_argument("--params", type=Path, help="parameters, a JSON file with comments")
    parser.set_defaults(command=_standin)


def _standin(options: argparse.Namespace) -> int:
    from papayapier.standin.command import run_standin

    return run_standin(options)


def _usage(message: str) -> int:
    print(f"papayapier: {message}", file=sys.stderr)
    return EXIT_USAGE
