"""Offer the processes of the users' platform on the command line.

Imports little: what a process needs to begin to listen, and no more.
"""

import argparse
import gc
import sys
from pathlib import Path
from typing import Any, Final, cast

from papayapier.exits import EXIT_FAILED, EXIT_USAGE
from papayapier.node.caller_socket import EarlySocket, listen_early

NODE_COMMANDS: Final = {
    "entry": "run one entry on the users' platform",
    "keeper": "run one keeper on the users' platform",
}


def add_node_commands(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Register the commands that run a process."""
    for role, summary in NODE_COMMANDS.items():
        parser = commands.add_parser(
            role,
            help=summary,
            description=f"{summary.capitalize()} until SIGTERM, which begins a graceful shutdown.",
        )
        parser.add_argument("--settings", type=Path, required=True, help="JSON file with comments")
        parser.set_defaults(command=_run, role=role, callers="")
        if role == "entry":
            parser.add_argument(
                "--callers", default="", help="IP:PORT of listen.callers, to listen at once"
            )


def _leave_out_tls() -> None:
    """Keep the TLS libraries from being imported: nothing on the platform speaks TLS.

    The library for TCP imports them wherever they are installed, a fifth of the time that a
    process needs to start; after a loss of power all callers wait for that.
    """
    sys.modules.setdefault("OpenSSL", cast(Any, None))


def _run(options: argparse.Namespace) -> int:
    opened: EarlySocket | None = None
    if options.callers:
        try:
            opened = listen_early(options.callers)
        except (OSError, ValueError) as exc:
            print(f"papayapier: --callers: {exc}", file=sys.stderr)
            return EXIT_FAILED
    _leave_out_tls()
    # What imports make stays; looking through it meanwhile takes 65 ms of 500. Collections begin
    # when the process has started (serve.py).
    gc.disable()
    from result import Err

    from papayapier.node import settings
    from papayapier.node.processes import Role
    from papayapier.node.run import run_node

    loaded = settings.load(options.settings)
    if isinstance(loaded, Err):
        print(f"papayapier: {loaded.err_value}", file=sys.stderr)
        return EXIT_USAGE
    return run_node(Role(options.role), options.settings, loaded.ok_value, opened)
