"""Simulate a model engine over HTTP, with injectable faults and counters."""

from functools import partial
from typing import Any, Final, NamedTuple, TypedDict

import msgspec
from result import Err
from twisted.internet.defer import Deferred, execute
from twisted.web.server import Request

from papayapier.clock import Clock
from papayapier.standin import generations, web
from papayapier.standin.engine_core import EngineCore
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.generations import Generation
from papayapier.standin.link import Link
from papayapier.standin.listener import Connection, Listener
from papayapier.standin.orders import Order
from papayapier.standin.outputs import make_output
from papayapier.standin.process_faults import ProcessFaults, handle_control
from papayapier.standin.switches import Control, Mode
from papayapier.standin.web import JsonResponse
from papayapier.standin.weights import make_fetch_weights

GENERATE_PATHS: Final = (generations.CHAT_PATH, generations.COMPLETIONS_PATH)
FOREIGN_REQUEST_ID: Final = "another-request"
FOREIGN_PROMPT: Final = "another prompt"


class EngineCounts(NamedTuple):
    """Hold the counters of GET /counts; orders has the number of times each order was accepted."""

    started: dict[str, int]
    finished: dict[str, int]
    cancelled: dict[str, int]
    tokens: int
    running: int
    orders: dict[str, int]


class _CancelBody(TypedDict):
    request_id: str


class EngineServer:
    """Serve the engine protocol; switches and counters can also be used in the process."""

    __slots__ = ("_faults", "_last_generation", "_listener", "core")

    def __init__(
        self, reactor: Any, clock: Clock, params: EngineParams, host: str, port: int
    ) -> None:
        source = params.weights.address
        fetch = make_fetch_weights(reactor, source) if source else None
        self.core = EngineCore(clock, params, fetch)
        link = Link(clock, params.link_delay_ms)
        self._listener = Listener(reactor, self._handle, host, port, link)
        self._faults = ProcessFaults(clock, self._listener, self.core.crash)
        self._last_generation: Generation | None = None
        self._listener.open()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._listener.port

    def is_listening(self) -> bool:
        """Return whether the port accepts connections."""
        return self._listener.is_open()

    def control(self, control: Control, conn: Connection | None = None) -> None:
        """Change switches, as POST /control does; conn is the connection that set them."""
        self.core.switches.merge(control)
        self._faults.apply(self.core.switches, control, conn)

    def counts(self) -> EngineCounts:
        """Return the current counters."""
        return EngineCounts(
            started=dict(self.core.started),
            finished=dict(self.core.finished),
            cancelled=dict(self.core.cancelled),
            tokens=self.core.tokens,
            running=self.core.running(),
            orders=dict(self.core.orders.accepted_counts),
        )

    def restart(self) -> Deferred[None]:
        """Restart a crashed engine on the same port, with an empty cache and no orders."""
        return self._faults.restart()

    def close(self) -> Deferred[None]:
        """Stop serving; requests in progress are lost."""
        self.core.crash()
        return self._faults.close()

    def _handle(self, request: Request) -> None:
        path = web.path_of(request)
        if path == "/control":
            handle_control(request, self.core.switches, self.control)
        elif path == "/counts":
            web.send_json(request, JsonResponse(200, self.counts()._asdict()))
        elif path in GENERATE_PATHS:
            self._generate(request)
        elif not self.core.switches.hangs_all_calls():
            web.send_json(request, self._json_response(request, path))

    def _json_response(self, request: Request, path: str) -> JsonResponse:
        if path == "/load":
            return JsonResponse(200, self.core.load()._asdict())
        if path == "/state":
            return JsonResponse(200, self.core.orders.state._asdict())
        if path == "/v1/models":
            return self._models()
        if path == "/cache_events":
            return self._cache_events(request)
        if path == "/cancel":
            return self._handle_cancel(request)
        if path == "/orders":
            return self._handle_order(request)
        return JsonResponse(404, {"error": "no such path"})

    def _generate(self, request: Request) -> None:
        read = generations.parse_generation(request)
        if isinstance(read, Err):
            web.send_json(request, JsonResponse(400, {"error": read.err_value}))
            return
        generation = read.ok_value
        if not self.core.has_loaded(generation.model):
            web.send_json(
                request, JsonResponse(404, {"error": f"model {generation.model!r} is not loaded"})
            )
            return
        mode = self.core.switches.next_mode()
        if mode is Mode.CRASH:
            self._faults.crash()
            return
        served = self._foreign_generation(generation) if mode is Mode.CROSSED else generation
        self._last_generation = generation
        output = make_output(request, served, mode, self.core.load_header)
        cancel = self.core.accept(generation, output, mode)
        web.on_closed(request, cancel)
        if mode is Mode.SILENT:
            web.connection_of(request).silence()

    def _foreign_generation(self, generation: Generation) -> Generation:
        """Return the request whose answer is sent in place of the correct one."""
        previous = self._last_generation
        if (
            previous is not None
            and previous.request_id != generation.request_id
            and previous.prompt != generation.prompt
        ):
            return generation._replace(request_id=previous.request_id, prompt=previous.prompt)
        return generation._replace(request_id=FOREIGN_REQUEST_ID, prompt=FOREIGN_PROMPT)

    def _models(self) -> JsonResponse:
        data = [{"id": name, "object": "model"} for name in self.core.orders.state.models]
        return JsonResponse(200, {"object": "list", "data": data})

    def _cache_events(self, request: Request) -> JsonResponse:
        since = web.query(request, "since", "0")
        if not since.isdigit():
            return JsonResponse(400, {"error": "since must be a number"})
        found, next_seq = self.core.cache.events_since(int(since))
        events = [{"seq": e.seq, "kind": e.kind, "prefix": e.prefix} for e in found]
        return JsonResponse(200, {"events": events, "next": next_seq})

    def _handle_cancel(self, request: Request) -> JsonResponse:
        try:
            body = msgspec.json.decode(web.body_of(request), type=_CancelBody)
        except msgspec.MsgspecError as exc:
            return JsonResponse(400, {"error": str(exc)})
        return JsonResponse(200, {"cancelled": self.core.cancel(body["request_id"])})

    def _handle_order(self, request: Request) -> JsonResponse:
        try:
            order = msgspec.json.decode(web.body_of(request), type=Order)
        except msgspec.MsgspecError as exc:
            return JsonResponse(400, {"error": str(exc)})
        if self.core.accept_order(order):
            return JsonResponse(200, {"accepted": True})
        return JsonResponse(409, {"accepted": False, "fence": self.core.orders.state.fence})


def start_engine(
    reactor: Any, clock: Clock, params: EngineParams, host: str, port: int
) -> Deferred[EngineServer]:
    """Start an engine; port 0 picks a free port."""
    return execute(partial(EngineServer, reactor, clock, params, host, port))
