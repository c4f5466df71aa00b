"""Run one instance as a process: start, signals, graceful shutdown and exit code."""

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

# Collections of the middle generation between two of the oldest, half of Python's default:
# the oldest generation then holds less garbage, and its collection is short.
MIDDLE_COLLECTIONS_PER_OLDEST: Final = 5
SEED_BITS: Final = 64


class _StartLogBuffer(logbook.Handler):  # type: ignore[misc]
    """Buffer log records until it is known whether the instance starts.

    An instance that cannot start prints the reason in one line; what its components log
    while they are closed again would only hide that line.
    """

    def __init__(self) -> None:
        super().__init__()
        self._records: list[logbook.LogRecord] = []
        self.push_application()

    def emit(self, record: logbook.LogRecord) -> None:
        record.keep_open = True
        self._records.append(record)

    def release(self, program: "Program") -> None:
        """Log the buffered records, and stop buffering."""
        self.pop_application()
        handler = program.start_logs()
        for record in self._records:
            if handler.should_handle(record):
                handler.emit(record)
        self._records.clear()


class RunningInstance(Protocol):
    """Describe the running instance of a process."""

    async def shut_down(self) -> None:
        """Shut down gracefully."""


class Program(NamedTuple):
    """Describe what a process runs; reload is called on SIGHUP."""

    start: "Callable[[Any, Clock, random.Random], Awaitable[Result[RunningInstance, str]]]"
    start_logs: "Callable[[], logbook.Handler]"
    reload: "Callable[[], None]"


class _Process:
    """Own the exit code and handle signals: the first shuts down gracefully, the second exits."""

    def __init__(self, reactor: Any, program: Program) -> None:
        self._reactor = reactor
        self._program = program
        self._start_logs = _StartLogBuffer()
        self._instance: RunningInstance | None = None
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
        self._start_logs.release(self._program)
        _limit_gc_pauses()
        if self._leaving:
            await self._leave(self._instance)

    def on_crash(self, failure: "Failure") -> None:
        if not self.started:
            self._start_logs.release(self._program)
        events.emit(events.UNHANDLED_ERROR, traceback=failure.getTraceback())
        self._fail(f"internal error: {failure.value!r}")

    def _fail(self, reason: str) -> None:
        """Print the reason in one line and end the process."""
        print(f"papayapier: {reason}", file=sys.stderr)
        self.exit_code = EXIT_FAILED
        self._stop_reactor()

    def on_signal(self, _number: int, _frame: object) -> None:
        """Handle a signal in the reactor's next iteration."""
        self._reactor.callFromThread(self._begin_stop)

    def on_hangup(self, _number: int, _frame: object) -> None:
        """Handle SIGHUP: the settings may have changed."""
        self._reactor.callFromThread(self._program.reload)

    def _begin_stop(self) -> None:
        """Shut down gracefully on the first signal and exit at once on the second."""
        if self._leaving:
            self.exit_code = EXIT_FAILED
            self._stop_reactor()
            return
        self._leaving = True
        if self._instance is not None:
            leaving = Deferred.fromCoroutine(self._leave(self._instance))
            leaving.addErrback(self.on_crash)

    async def _leave(self, instance: RunningInstance) -> None:
        await instance.shut_down()
        self._stop_reactor()

    def _stop_reactor(self) -> None:
        if self._reactor.running:
            self._reactor.stop()


def serve(cfg: "Settings") -> int:
    """Run an instance until a signal stops it; return the exit code."""

    # Entries and keepers also run through this module, but do not need this import, which
    # would take a tenth of their start time.
    from papayapier.compose import start_instance

    async def start(
        reactor: Any, clock: "Clock", rand: random.Random
    ) -> Result[RunningInstance, str]:
        return await start_instance(reactor, clock, cfg, rand)

    return run_program(Program(start, partial(start_logs, cfg.log), _no_reload))


def _no_reload() -> None:
    events.emit(events.SETTINGS_RELOADED, changed=[])


def run_program(program: Program) -> int:
    """Run a process until a signal stops it; return the exit code."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    observer: Any = _log_failure
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
    process = _Process(reactor, program)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, process.on_signal)
    signal.signal(signal.SIGHUP, process.on_hangup)
    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(process.start()).addErrback(process.on_crash)
    )
    reactor.run(installSignalHandlers=False)
    if process.started:
        events.emit(events.PROCESS_STOPPED, exit_code=process.exit_code)
    return process.exit_code


def _limit_gc_pauses() -> None:
    """Keep pauses by the garbage collector short.

    A collection of the oldest generation visits every object, most of which were created by
    imports and live as long as the process. Meanwhile all streams stall together, for longer
    than the allowed time between two tokens. Freezing excludes the objects that exist now.
    There is no collection before: imports leave only 1,400 unreferenced objects, and finding
    them would delay the start by 40 ms.
    """
    gc.freeze()
    gc.enable()
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, MIDDLE_COLLECTIONS_PER_OLDEST)


def _log_failure(event: LogEvent) -> None:
    """Log an exception that Twisted reports because no code of this program handled it.

    Without this, the failure of a Deferred that nobody awaits would appear only as Twisted's
    own lines on standard error, if at all, and no alert on an event number would match it.
    """
    failure: Failure | None = event.get("log_failure")
    if failure is not None:
        events.emit(
            events.UNHANDLED_ERROR,
            error=repr(failure.value),
            traceback=failure.getTraceback(),
        )
