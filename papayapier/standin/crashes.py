"""Apply the switches that act on a whole stand-in at once: crash, restart and silence."""

from collections.abc import Callable
from typing import Final

from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.standin.switches import Control, Mode, Switches
from papayapier.standin.timers import Timers
from papayapier.standin.web import Connection, Listener

# Leaves the answer to POST /control time to go out before the crash cuts it off.
CONTROL_ANSWER_MS: Final = 10


class Crashes:
    """Stop and start one listener and the work behind it."""

    __slots__ = ("_closing", "_listener", "_lose_work", "_timers")

    def __init__(self, clock: Clock, listener: Listener, lose_work: Callable[[], None]) -> None:
        self._listener = listener
        self._lose_work = lose_work
        self._timers = Timers(clock)
        self._closing: Deferred[None] | None = None

    def apply(self, switches: Switches, control: Control, conn: Connection | None) -> None:
        """Act on a change of the switches that came in on a connection, if any."""
        mode = control.get("mode")
        if mode is Mode.CRASH and switches.times == 0:
            self._timers.call_later(CONTROL_ANSWER_MS if conn else 0, self.crash)
        if mode is Mode.SILENT and switches.times == 0:
            # New connections work, so the mode does not outlast the moment.
            switches.reset()
            self._listener.silence_all(conn)
        if control.get("restart_ms"):
            self._timers.call_later(control["restart_ms"], self.restart)

    def crash(self) -> None:
        """Close the port and reset all connections; running work is lost."""
        self._lose_work()
        self._closing = Deferred.fromCoroutine(self._listener.close())

    def restart(self) -> None:
        """Listen on the same port again."""
        if not self._listener.is_open():
            self._listener.open()

    def close(self) -> Deferred[None]:
        """Stop for good."""
        self._timers.cancel_all()
        return Deferred.fromCoroutine(self._listener.close())
