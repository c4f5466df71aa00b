"""Run an entry or a keeper as a process."""

import random
import sys
from pathlib import Path
from typing import Any, cast

import logbook
from result import Err, Result

from papayapier import events
from papayapier.clock import Clock, real_clock
from papayapier.logs import start_bounded_logs
from papayapier.node import settings
from papayapier.node.caller_socket import CallerSocket
from papayapier.node.processes import Role
from papayapier.node.settings import NodeSettings
from papayapier.serve import Program, RunningInstance, run_program


def run_node(role: Role, path: Path, cfg: NodeSettings, callers_socket: CallerSocket | None) -> int:
    """Run a process until a stop is requested.

    callers_socket is the socket for callers if it is already open.
    """

    async def start(
        reactor: Any, clock: Clock, rand: random.Random
    ) -> Result[RunningInstance, str]:
        # Each role imports only what it uses: a keeper has no HTTP server for callers, which is a
        # fifth of an entry's imports.
        if role is Role.ENTRY:
            from papayapier.node.entry import start_entry

            return await start_entry(reactor, clock, cfg, rand, callers_socket)
        from papayapier.node.keeper import start_keeper

        return await start_keeper(reactor, clock, cfg, rand)

    def reload() -> None:
        """Log which settings have changed; the listening sockets cannot change at run time."""
        loaded = settings.load(path)
        if isinstance(loaded, Err):
            events.emit(events.SETTINGS_UNREADABLE, reason=loaded.err_value)
            return
        pairs = zip(NodeSettings._fields, cfg, loaded.ok_value, strict=True)
        changed = [name for name, before, now in pairs if before != now]
        events.emit(events.SETTINGS_RELOADED, changed=changed)

    def start_logs() -> logbook.Handler:
        from twisted.internet import reactor

        clock = real_clock()
        return start_bounded_logs(cfg.log, sys.stdout.fileno(), cast(Any, reactor), clock.now)

    return run_program(Program(start, start_logs, reload))
