"""Apply the switches that affect all connections of a stand-in: crash, restart and silence."""

from collections.abc import Callable
from typing import Final

from result import Err
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.server import Request

from papayapier import events
from papayapier.clock import Clock
from papayapier.standin import web
from papayapier.standin.listener import Connection, Listener
from papayapier.standin.switches import Control, Mode, Switches, parse_control
from papayapier.standin.timers import Timers

# Time for the response to POST /control to be sent before a crash closes the connection.
CONTROL_RESPONSE_MS: Final = 10


class ProcessFaults:
    """Stop and restart one listener, and drop its requests in progress."""

    __slots__ = ("_listener", "_on_crash", "_timers")

    def __init__(self, clock: Clock, listener: Listener, on_crash: Callable[[], None]) -> None:
        self._listener = listener
        self._on_crash = on_crash
        self._timers = Timers(clock)

    def apply(self, switches: Switches, control: Control, conn: Connection | None) -> None:
        """Apply changed switches; conn is the connection that set them, if any."""
        mode = control.get("mode")
        if mode is Mode.CRASH and switches.times == 0:
            self.call_after_response(conn, self.crash)
        if mode is Mode.SILENT and switches.times == 0:
            # Only open connections are silenced; the mode is reset so that new ones work.
            switches.reset()
            self._listener.silence_all(conn)
        if control.get("restart_ms"):
            self._timers.call_later(control["restart_ms"], self.restart_or_log)

    def call_after_response(self, conn: Connection | None, call: Callable[[], None]) -> None:
        """Run a call once the response on a connection, if any, has had time to arrive."""
        link_ms = self._listener.table.link.delay_ms
        self._timers.call_later(CONTROL_RESPONSE_MS + link_ms if conn else 0, call)

    def crash(self) -> None:
        """Close the port and reset all connections; requests in progress are lost."""
        self._on_crash()
        Deferred.fromCoroutine(self._listener.close()).addErrback(_log_failure)

    def restart(self) -> Deferred[None]:
        """Listen on the same port again, once the crash has released it."""
        return Deferred.fromCoroutine(self._listener.reopen())

    def restart_or_log(self) -> None:
        """Listen again, and log a failure to do so."""
        self.restart().addErrback(_log_failure)

    def close(self) -> Deferred[None]:
        """Stop permanently."""
        self._timers.cancel_all()
        return Deferred.fromCoroutine(self._listener.close())


def handle_control(
    request: Request, switches: Switches, merge: Callable[[Control, Connection], None]
) -> None:
    """Handle GET and POST /control."""
    if request.method == b"POST":
        control = parse_control(web.body_of(request))
        if isinstance(control, Err):
            web.send_json(request, web.JsonResponse(400, {"error": control.err_value}))
            return
        merge(control.ok_value, web.connection_of(request))
    web.send_json(request, web.JsonResponse(200, switches.as_dict()))


def _log_failure(failure: Failure) -> None:
    events.emit(events.STANDIN_FAILED, reason=str(failure.value))
