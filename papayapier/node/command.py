"""Add the commands that run a process on the users' platform.

Imports only what a process needs to start listening, because imports take most of a start.
"""

import argparse
import gc
import sys
from pathlib import Path
from typing import Any, Final, cast

from papayapier.exits import EXIT_FAILED, EXIT_USAGE
from papayapier.node.caller_socket import CallerSocket, listen_for_callers

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


def _skip_tls_imports() -> None:
    """Prevent the import of the TLS libraries: nothing on the platform speaks TLS.

    Twisted imports them wherever they are installed, which takes a fifth of the start time of a
    process. After a power loss all callers wait for that.
    """
    sys.modules.setdefault("OpenSSL", cast(Any, None))


def _run(options: argparse.Namespace) -> int:
    callers_socket: CallerSocket | None = None
    if options.callers:
        try:
            callers_socket = listen_for_callers(options.callers)
        except (OSError, ValueError) as exc:
            print(f"papayapier: --callers: {exc}", file=sys.stderr)
            return EXIT_FAILED
    _skip_tls_imports()
    # Objects created by imports live as long as the process; collecting garbage meanwhile takes
    # 65 ms of 500. The collector is enabled once the process has started (serve.py).
    gc.disable()
    from result import Err

    from papayapier.node import settings
    from papayapier.node.processes import Role
    from papayapier.node.run import run_node

    loaded = settings.load(options.settings)
    if isinstance(loaded, Err):
        print(f"papayapier: {loaded.err_value}", file=sys.stderr)
        return EXIT_USAGE
    return run_node(Role(options.role), options.settings, loaded.ok_value, callers_socket)
