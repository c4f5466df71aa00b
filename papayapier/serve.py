"""Run one entry instance as a process: start, signals, planned stop, exit code."""

import gc
import random
import signal
import sys
from functools import partial
from typing import TYPE_CHECKING, Any, Final, NamedTuple, Protocol

import logbook
from result import Err, Result
from twisted.internet.defer import Deferred
from twisted.logger import LogEvent, globalLogBeginner

from papayapier import events
from papayapier.clock import real_clock
from papayapier.exits import EXIT_FAILED, EXIT_OK
from papayapier.logs import start_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from twisted.python.failure import Failure

    from papayapier.clock import Clock
    from papayapier.settings import Settings

# Collections of the middle generation between two of the oldest, half of the usual number:
# the oldest holds little garbage then, and its collection is short.
COLLECT_OLDEST_AFTER: Final = 5
SEED_BITS: Final = 64


class _HeldLogs(logbook.Handler):  # type: ignore[misc]
    """Hold log lines back until it is known whether the instance starts.

    One that cannot start says so in one line; what its parts log while they are closed
    again would only hide that line.
    """

    def __init__(self) -> None:
        super().__init__()
        self._records: list[logbook.LogRecord] = []
        self.push_application()

    def emit(self, record: logbook.LogRecord) -> None:
        record.keep_open = True
        self._records.append(record)

    def release(self, program: "Program") -> None:
        """Log what was held back, and everything from now on."""
        self.pop_application()
        handler = program.start_logs()
        for record in self._records:
            if handler.should_handle(record):
                handler.emit(record)
        self._records.clear()


class Running(Protocol):
    """Describe a started process."""

    async def leave(self) -> None:
        """Stop gracefully."""


class Program(NamedTuple):
    """Describe what a process runs; reload is told of SIGHUP."""

    start: "Callable[[Any, Clock, random.Random], Awaitable[Result[Running, str]]]"
    start_logs: "Callable[[], logbook.Handler]"
    reload: "Callable[[], None]"


class _Process:
    """Own the exit code and the two stages of stopping."""

    def __init__(self, reactor: Any, program: Program) -> None:
        self._reactor = reactor
        self._program = program
        self._logs = _HeldLogs()
        self._instance: Running | None = None
        self._leaving = False
        self.started = False
        self.exit_code = EXIT_OK

    async def start(self) -> None:
        seed = random.SystemRandom().getrandbits(SEED_BITS)
        started = await self._program.start(self._reactor, real_clock(), random.Random(seed))
        if isinstance(started, Err):
            self._fail(started.err_value)
            return
        self._instance = started.ok_value
        self.started = True
        self._logs.release(self._program)
        _shorten_collections()
        if self._leaving:
            await self._leave(self._instance)

    def crashed(self, failure: "Failure") -> None:
        if not self.started:
            self._logs.release(self._program)
        events.emit(events.UNHANDLED_ERROR, traceback=failure.getTraceback())
        self._fail(f"internal error: {failure.value!r}")

    def _fail(self, reason: str) -> None:
        """End the process with one clear line."""
        print(f"papayapier: {reason}", file=sys.stderr)
        self.exit_code = EXIT_FAILED
        self._stop_reactor()

    def on_signal(self, _number: int, _frame: object) -> None:
        """Take a signal; the reactor looks at it between two events."""
        self._reactor.callFromThread(self._signalled)

    def on_hangup(self, _number: int, _frame: object) -> None:
        """Take SIGHUP, which says that the settings may have changed."""
        self._reactor.callFromThread(self._program.reload)

    def _signalled(self) -> None:
        """Leave gracefully on the first signal and at once on the second."""
        if self._leaving:
            self.exit_code = EXIT_FAILED
            self._stop_reactor()
            return
        self._leaving = True
        if self._instance is not None:
            leaving = Deferred.fromCoroutine(self._leave(self._instance))
            leaving.addErrback(self.crashed)

    async def _leave(self, instance: Running) -> None:
        await instance.leave()
        self._stop_reactor()

    def _stop_reactor(self) -> None:
        if self._reactor.running:
            self._reactor.stop()


def serve(cfg: "Settings") -> int:
    """Run an instance until it is told to stop; return the exit code."""

    # Entries and keepers run through this module too and need no such instance, whose parts
    # would be a tenth of their start.
    from papayapier.compose import start_instance

    async def start(reactor: Any, clock: "Clock", rand: random.Random) -> Result[Running, str]:
        return await start_instance(reactor, clock, cfg, rand)

    return run_program(Program(start, partial(start_logs, cfg.log), _no_reload))


def _no_reload() -> None:
    events.emit(events.SETTINGS_RELOADED, changed=[])


def run_program(program: Program) -> int:
    """Run a process until it is told to stop; return the exit code."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    observer: Any = _log_failure
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    process = _Process(reactor, program)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, process.on_signal)
    signal.signal(signal.SIGHUP, process.on_hangup)
    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(process.start()).addErrback(process.crashed)
    )
    reactor.run(installSignalHandlers=False)
    if process.started:
        events.emit(events.PROCESS_STOPPED, exit_code=process.exit_code)
    return process.exit_code


def _shorten_collections() -> None:
    """Keep the garbage collector from stopping the process for long.

    A collection of the oldest generation looks at every object there is, most of which were
    made by imports and live for good. It shows as streams that all stand still together, for
    longer than the time between two tokens may be. What exists now is left out from then on.
    The little that imports leave unreferenced, 1,400 objects, is not worth the 40 ms of the start
    in which it could be found.
    """
    gc.freeze()
    gc.enable()
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, COLLECT_OLDEST_AFTER)


def _log_failure(event: LogEvent) -> None:
    """Log what the library reports of an exception that no code of ours has taken.

    Without this, a failure that nobody awaits would show only as twisted's own lines on
    standard error, if at all, and no alert by event number would see it.
    """
    failure: Failure | None = event.get("log_failure")
    if failure is not None:
        events.emit(
            events.UNHANDLED_ERROR,
            error=repr(failure.value),
            traceback=failure.getTraceback(),
        )
