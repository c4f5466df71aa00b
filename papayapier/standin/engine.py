"""Simulate a model engine over HTTP, with injectable faults and counters."""

from functools import partial
from typing import Any, Final, NamedTuple, TypedDict

import msgspec
from result import Err
from twisted.internet.defer import Deferred, execute
from twisted.web.server import Request

from papayapier.clock import Clock
from papayapier.standin import jobs, web
from papayapier.standin.crashes import Crashes, answer_control
from papayapier.standin.engine_core import EngineCore
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.jobs import Job
from papayapier.standin.link import Link
from papayapier.standin.listener import Connection, Listener
from papayapier.standin.orders import Order
from papayapier.standin.outputs import make_output
from papayapier.standin.switches import Control, Mode
from papayapier.standin.web import Json
from papayapier.standin.weights import make_fetch

GENERATE_PATHS: Final = (jobs.CHAT_PATH, jobs.COMPLETIONS_PATH)
OTHER_ID: Final = "another-request"
OTHER_PROMPT: Final = "another prompt"


class EngineCounts(NamedTuple):
    """Hold the counters of GET /counts; orders has the number of times each order was accepted."""

    started: dict[str, int]
    finished: dict[str, int]
    cancelled: dict[str, int]
    tokens: int
    running: int
    orders: dict[str, int]


class _Cancel(TypedDict):
    request_id: str


class EngineServer:
    """Serve the engine protocol; switches and counters can also be used in the process."""

    __slots__ = ("_crashes", "_last_job", "_listener", "core")

    def __init__(
        self, reactor: Any, clock: Clock, params: EngineParams, host: str, port: int
    ) -> None:
        source = params.weights.address
        fetch = make_fetch(reactor, source) if source else None
        self.core = EngineCore(clock, params, fetch)
        link = Link(clock, params.link_delay_ms)
        self._listener = Listener(reactor, self._handle, host, port, link)
        self._crashes = Crashes(clock, self._listener, self.core.crash)
        self._last_job: Job | None = None
        self._listener.open()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._listener.port

    def listening(self) -> bool:
        """Return whether the port accepts connections."""
        return self._listener.is_open()

    def control(self, control: Control, conn: Connection | None = None) -> None:
        """Change switches, as POST /control does; conn is the connection that set them."""
        self.core.switches.merge(control)
        self._crashes.apply(self.core.switches, control, conn)

    def counts(self) -> EngineCounts:
        """Return the current counters."""
        return EngineCounts(
            started=dict(self.core.started),
            finished=dict(self.core.finished),
            cancelled=dict(self.core.cancelled),
            tokens=self.core.tokens,
            running=self.core.running(),
            orders=dict(self.core.orders.times),
        )

    def restart(self) -> Deferred[None]:
        """Restart a crashed engine on the same port, with an empty cache and no orders."""
        return self._crashes.restart()

    def close(self) -> Deferred[None]:
        """Stop serving; requests in progress are lost."""
        self.core.crash()
        return self._crashes.close()

    def _handle(self, request: Request) -> None:
        path = web.path_of(request)
        if path == "/control":
            answer_control(request, self.core.switches, self.control)
        elif path == "/counts":
            web.send_json(request, Json(200, self.counts()._asdict()))
        elif path in GENERATE_PATHS:
            self._generate(request)
        elif not self.core.switches.hangs_always():
            web.send_json(request, self._answer(request, path))

    def _answer(self, request: Request, path: str) -> Json:
        if path == "/load":
            return Json(200, self.core.load()._asdict())
        if path == "/state":
            return Json(200, self.core.orders.state._asdict())
        if path == "/v1/models":
            return self._models()
        if path == "/cache_events":
            return self._cache_events(request)
        if path == "/cancel":
            return self._cancel(request)
        if path == "/orders":
            return self._order(request)
        return Json(404, {"error": "no such path"})

    def _generate(self, request: Request) -> None:
        read = jobs.read_job(request)
        if isinstance(read, Err):
            web.send_json(request, Json(400, {"error": read.err_value}))
            return
        job = read.ok_value
        if not self.core.has_loaded(job.model):
            web.send_json(request, Json(404, {"error": f"model {job.model!r} is not loaded"}))
            return
        mode = self.core.switches.take()
        if mode is Mode.CRASH:
            self._crashes.crash()
            return
        shown = self._another(job) if mode is Mode.CROSSED else job
        self._last_job = job
        output = make_output(request, shown, mode, self.core.load_mark)
        cancel = self.core.accept(job, output, mode)
        web.watch_closed(request, cancel)
        if mode is Mode.SILENT:
            web.connection_of(request).silence()

    def _another(self, job: Job) -> Job:
        """Return the request whose answer is sent in place of the correct one."""
        last = self._last_job
        if last is not None and last.request_id != job.request_id and last.prompt != job.prompt:
            return job._replace(request_id=last.request_id, prompt=last.prompt)
        return job._replace(request_id=OTHER_ID, prompt=OTHER_PROMPT)

    def _models(self) -> Json:
        data = [{"id": name, "object": "model"} for name in self.core.orders.state.models]
        return Json(200, {"object": "list", "data": data})

    def _cache_events(self, request: Request) -> Json:
        since = web.query(request, "since", "0")
        if not since.isdigit():
            return Json(400, {"error": "since must be a number"})
        found, following = self.core.cache.events_since(int(since))
        events = [{"seq": e.seq, "kind": e.kind, "prefix": e.prefix} for e in found]
        return Json(200, {"events": events, "next": following})

    def _cancel(self, request: Request) -> Json:
        try:
            body = msgspec.json.decode(web.body_of(request), type=_Cancel)
        except msgspec.MsgspecError as exc:
            return Json(400, {"error": str(exc)})
        return Json(200, {"cancelled": self.core.cancel(body["request_id"])})

    def _order(self, request: Request) -> Json:
        try:
            order = msgspec.json.decode(web.body_of(request), type=Order)
        except msgspec.MsgspecError as exc:
            return Json(400, {"error": str(exc)})
        if self.core.order(order):
            return Json(200, {"accepted": True})
        return Json(409, {"accepted": False, "fence": self.core.orders.state.fence})


def start_engine(
    reactor: Any, clock: Clock, params: EngineParams, host: str, port: int
) -> Deferred[EngineServer]:
    """Start an engine; port 0 picks a free port."""
    return execute(partial(EngineServer, reactor, clock, params, host, port))
