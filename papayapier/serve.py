"""Run one entry instance as a process: start, signals, planned stop, exit code."""

import random
import signal
import sys
from typing import TYPE_CHECKING, Any, Final

from result import Err, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import real_clock
from papayapier.compose import start_instance
from papayapier.logs import start_logs

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from papayapier.instance import Instance
    from papayapier.settings import Settings

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1


class _Process:
    """Own the exit code and the two stages of stopping."""

    def __init__(self, reactor: Any, cfg: "Settings") -> None:
        self._reactor = reactor
        self._cfg = cfg
        self._instance: Instance | None = None
        self._leaving = False
        self.exit_code = EXIT_OK

    async def start(self) -> None:
        rand = random.SystemRandom()
        clock = real_clock()
        started: Result[Instance, str] = await start_instance(
            self._reactor, clock, self._cfg, random.Random(rand.getrandbits(64))
        )
        if isinstance(started, Err):
            self.fail(started.err_value)
            return
        self._instance = started.ok_value
        if self._leaving:
            await self._leave()

    def fail(self, reason: str) -> None:
        """End the process with one clear line."""
        print(f"papayapier: {reason}", file=sys.stderr)
        self.exit_code = EXIT_FAILED
        self._stop_reactor()

    def crashed(self, failure: "Failure") -> None:
        self.fail(f"internal error: {failure.getTraceback()}")

    def on_signal(self, _number: int, _frame: object) -> None:
        """Leave gracefully on the first signal and at once on the second."""
        self._reactor.callFromThread(self._signalled)

    def _signalled(self) -> None:
        if self._leaving:
            self.exit_code = EXIT_FAILED
            self._stop_reactor()
            return
        self._leaving = True
        if self._instance is not None:
            Deferred.fromCoroutine(self._leave()).addErrback(self.crashed)

    async def _leave(self) -> None:
        assert self._instance is not None
        await self._instance.leave()
        self._stop_reactor()

    def _stop_reactor(self) -> None:
        if self._reactor.running:
            self._reactor.stop()


def serve(cfg: "Settings") -> int:
    """Run an instance until it is told to stop; return the exit code."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    start_logs(cfg.log)
    process = _Process(reactor, cfg)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, process.on_signal)
    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(process.start()).addErrback(process.crashed)
    )
    reactor.run(installSignalHandlers=False)
    events.emit(events.PROCESS_STOPPED, exit_code=process.exit_code)
    return process.exit_code
