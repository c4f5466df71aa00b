"""Simulate a plain service that counts each call by its id, so that a repeated run is detected.

An accepted call runs to completion even when its caller has disconnected: a service that has
issued a pass does not revoke it.
"""

import hashlib
from collections import Counter, deque
from functools import partial
from typing import Any, Final, NamedTuple

import msgspec
from twisted.internet.defer import Deferred, execute
from twisted.web.server import Request

from papayapier.clock import Clock
from papayapier.standin import web
from papayapier.standin.link import Link
from papayapier.standin.listener import Connection, Listener
from papayapier.standin.process_faults import ProcessFaults, handle_control
from papayapier.standin.switches import LATE_FACTOR, Control, Mode, Switches
from papayapier.standin.timers import Timers
from papayapier.standin.web import JsonResponse

FOREIGN_ANSWER: Final = {
    "request_id": "another-request",
    "path": "/calls/another",
    "echo": hashlib.sha256(b"another").hexdigest(),
}


class ServiceParams(NamedTuple):
    """Set a plain service's normal behaviour; link_delay_ms is the one-way network delay."""

    slots: int = 16
    work_ms: int = 20
    link_delay_ms: float = 0.0


class ServiceCounts(NamedTuple):
    """Hold the counters of GET /counts; a call is counted when it starts to run."""

    calls: dict[str, int]
    total: int


class _Call(NamedTuple):
    request: Request
    mode: Mode
    call_id: str
    answer: dict[str, str]


class ServiceServer:
    """Serve plain calls; switches and counters can also be used in the process."""

    __slots__ = (
        "_faults",
        "_listener",
        "_params",
        "_running",
        "_timers",
        "_waiting",
        "calls",
        "switches",
    )

    def __init__(
        self, reactor: Any, clock: Clock, params: ServiceParams, host: str, port: int
    ) -> None:
        self.switches = Switches()
        self.calls: Counter[str] = Counter()
        self._params = params
        self._timers = Timers(clock)
        self._waiting: deque[_Call] = deque()
        self._running = 0
        link = Link(clock, params.link_delay_ms)
        self._listener = Listener(reactor, self._handle, host, port, link)
        self._faults = ProcessFaults(clock, self._listener, self._drop_calls)
        self._listener.open()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._listener.port

    def waiting(self) -> int:
        """Return the number of calls that wait for a slot."""
        return len(self._waiting)

    def control(self, control: Control, conn: Connection | None = None) -> None:
        """Change switches, as POST /control does; conn is the connection that set them."""
        self.switches.merge(control)
        self._faults.apply(self.switches, control, conn)

    def counts(self) -> ServiceCounts:
        """Return the current counters."""
        return ServiceCounts(calls=dict(self.calls), total=self.calls.total())

    def restart(self) -> Deferred[None]:
        """Restart a crashed service on the same port."""
        return self._faults.restart()

    def close(self) -> Deferred[None]:
        """Stop serving; calls in progress are lost."""
        self._drop_calls()
        return self._faults.close()

    def _handle(self, request: Request) -> None:
        path = web.path_of(request)
        if path == "/control":
            handle_control(request, self.switches, self.control)
        elif path == "/counts":
            web.send_json(request, JsonResponse(200, self.counts()._asdict()))
        elif path == "/load":
            self._handle_load(request)
        else:
            self._handle_call(request, path)

    def _handle_load(self, request: Request) -> None:
        if self.switches.hangs_all_calls():
            return
        load = {"running": self._running, "waiting": len(self._waiting)}
        web.send_json(request, JsonResponse(200, {**load, "slots": self._params.slots}))

    def _handle_call(self, request: Request, path: str) -> None:
        mode = self.switches.next_mode()
        if mode is Mode.CRASH:
            self._faults.crash()
            return
        request_id = web.header(request, "x-request-id")
        call_id = web.header(request, "x-papayapier-call") or request_id
        echo = hashlib.sha256(web.body_of(request)).hexdigest()
        answer = {"request_id": request_id, "path": path, "echo": echo}
        call = _Call(request, mode, call_id, answer)
        if mode is Mode.SILENT:
            web.connection_of(request).silence()
        if mode is Mode.HANG:
            self.calls[call_id] += 1
            return
        self._waiting.append(call)
        self._start_calls()

    def _start_calls(self) -> None:
        while self._waiting and self._running < self._params.slots:
            call = self._waiting.popleft()
            self._running += 1
            self.calls[call.call_id] += 1
            factor = LATE_FACTOR if call.mode is Mode.LATE else 1
            work_ms = self._params.work_ms * self.switches.slow_factor * factor
            self._timers.call_later(work_ms, partial(self._finish, call))

    def _finish(self, call: _Call) -> None:
        self._running -= 1
        load_header = f"{self._running}/{len(self._waiting)}/{self._params.slots}"
        web.set_header(call.request, "x-load", load_header)
        _respond(call)
        self._start_calls()

    def _drop_calls(self) -> None:
        self._timers.cancel_all()
        self._waiting.clear()
        self._running = 0
        self.switches.reset()


def start_service(
    reactor: Any, clock: Clock, params: ServiceParams, host: str, port: int
) -> Deferred[ServiceServer]:
    """Start a plain service; port 0 picks a free port."""
    return execute(partial(ServiceServer, reactor, clock, params, host, port))


def _respond(call: _Call) -> None:
    if web.is_closed(call.request):
        return
    if call.mode is Mode.RESET:
        web.connection_of(call.request).abort()
        return
    answer = call.answer
    if call.mode is Mode.CROSSED:
        answer = FOREIGN_ANSWER
    web.set_header(call.request, "x-request-id", answer["request_id"])
    body = msgspec.json.encode(answer)
    if call.mode is Mode.TRUNCATE:
        web.send_truncated(call.request, body, web.JSON_TYPE)
        return
    web.send(call.request, 200, body, web.JSON_TYPE)
