"""Stand in for the platform: object API, watches, instance list, limits and faults.

A change takes effect when its call arrives, and its answer goes out after the latency. A
client that gives up in between thus cannot know whether the change was made; with
lose_answers it cannot know either, because its connection is cut instead.
"""

from functools import partial
from typing import Any, Final, NamedTuple, TypedDict

from result import Err
from twisted.internet.defer import Deferred, execute
from twisted.web.server import Request

from papayapier import codec
from papayapier.clock import Clock
from papayapier.standin import platform_calls as calls
from papayapier.standin import web
from papayapier.standin.instances import Instances
from papayapier.standin.limits import Bucket
from papayapier.standin.link import Link
from papayapier.standin.listener import Listener
from papayapier.standin.long_polls import LongPolls, Look
from papayapier.standin.objects import Objects
from papayapier.standin.platform_calls import INSTANCE_PATH, OBJECT_PATH, Answer
from papayapier.standin.switches import read_switches
from papayapier.standin.timers import Timers
from papayapier.store.api import Member

RETRY_AFTER: Final = "1"


class PlatformParams(NamedTuple):
    """Set the platform's normal behaviour; rates of 0 mean no limit.

    latency_ms is the platform's own time for a call, link_delay_ms the way to it, one way.
    """

    latency_ms: int = 2
    reads_per_s: int = 2_000
    writes_per_s: int = 400
    list_lag_ms: int = 500
    history: int = 10_000
    link_delay_ms: float = 0.0


class PlatformControl(TypedDict, total=False):
    """Hold the keys of POST /control.

    With drop_watches, watches that wait or come in are never answered, as when the network
    has lost their connections; the client sees silence.
    """

    outage: bool
    slow_ms: int
    lose_answers: int
    drop_watches: bool
    reads_per_s: int
    writes_per_s: int
    list_lag_ms: int


class PlatformCounts(NamedTuple):
    """Hold the counts of GET /counts."""

    reads: int
    writes: int
    watches: int
    bytes_in: int
    bytes_out: int
    limited: int


class PlatformServer:
    """Serve the platform's protocol, with its switches and counts at hand."""

    __slots__ = (
        "_limited",
        "_listener",
        "_params",
        "_polls",
        "_reads",
        "_reads_bucket",
        "_timers",
        "_watches",
        "_writes",
        "_writes_bucket",
        "instances",
        "objects",
        "switches",
    )

    def __init__(
        self, reactor: Any, clock: Clock, params: PlatformParams, host: str, port: int
    ) -> None:
        self.switches = _normal_switches(params)
        self.objects = Objects(params.history)
        self.instances = Instances(clock, lambda: self.switches["list_lag_ms"], self._wake_lists)
        self._params = params
        self._timers = Timers(clock)
        self._polls = LongPolls(clock)
        link = Link(clock, params.link_delay_ms)
        self._listener = Listener(reactor, self._handle, host, port, link)
        self._reads_bucket = Bucket(clock)
        self._writes_bucket = Bucket(clock)
        self._reads = self._writes = self._watches = self._limited = 0
        self._listener.open()

    @property
    def port(self) -> int:
        """Return the port listened on."""
        return self._listener.port

    def register(self, member: Member) -> None:
        """Put a member into the list without lag."""
        self.instances.report(member)
        self.instances.show_now()

    def control(self, control: PlatformControl) -> None:
        """Merge switches, as POST /control does."""
        was_out = self.switches["outage"]
        self.switches.update(control)
        if self.switches["outage"] and not was_out:
            self._polls.end_all(calls.failed(503, "outage"))
            self.instances.pause_expiry()
        if was_out and not self.switches["outage"]:
            self.instances.resume_expiry()
        if control.get("drop_watches"):
            self._polls.forget_all()

    def counts(self) -> PlatformCounts:
        """Return what has been counted so far."""
        traffic = self._listener.table.traffic
        return PlatformCounts(
            reads=self._reads,
            writes=self._writes,
            watches=self._watches,
            bytes_in=traffic.bytes_in,
            bytes_out=traffic.bytes_out,
            limited=self._limited,
        )

    def close(self) -> Deferred[None]:
        """Stop serving; everything stored is forgotten."""
        self._timers.cancel_all()
        self._polls.forget_all()
        self.instances.close()
        return Deferred.fromCoroutine(self._listener.close())

    def _handle(self, request: Request) -> None:
        path = web.path_of(request)
        if path == "/control":
            self._handle_control(request)
        elif path == "/counts":
            web.send_json(request, web.Json(200, self.counts()._asdict()))
        elif self.switches["outage"]:
            self._answer(request, calls.failed(503, "outage"))
        elif request.method == b"GET":
            self._handle_read(request, path)
        else:
            self._handle_write(request, path)

    def _handle_control(self, request: Request) -> None:
        if request.method == b"POST":
            control = read_switches(web.body_of(request), PlatformControl)
            if isinstance(control, Err):
                web.send_json(request, web.Json(400, {"error": control.err_value}))
                return
            self.control(control.ok_value)
        web.send_json(request, web.Json(200, self.switches))

    def _handle_read(self, request: Request, path: str) -> None:
        if not self._reads_bucket.take(self.switches["reads_per_s"]):
            self._refuse_rate(request)
            return
        if path == "/watch":
            self._watches += 1
            self._watch(request)
            return
        self._reads += 1
        if path == "/instances":
            self._list_instances(request)
        elif path == "/list":
            self._answer(request, calls.list_objects(self.objects, request))
        elif path.startswith(OBJECT_PATH):
            self._answer(request, calls.read_object(self.objects, request))
        else:
            self._answer(request, calls.failed(404, "no such path"))

    def _handle_write(self, request: Request, path: str) -> None:
        if not self._writes_bucket.take(self.switches["writes_per_s"]):
            self._refuse_rate(request)
            return
        self._writes += 1
        revision = self.objects.revision
        if path.startswith(OBJECT_PATH):
            answer = calls.write_object(self.objects, request)
        elif path.startswith(INSTANCE_PATH):
            answer = self._write_instance(request)
        else:
            answer = calls.failed(404, "no such path")
        if self.objects.revision != revision:
            self._polls.wake(path[len(OBJECT_PATH) :])
        if self.switches["lose_answers"] > 0:
            self.switches["lose_answers"] -= 1
            web.connection_of(request).abort()
            return
        self._answer(request, answer)

    def _write_instance(self, request: Request) -> Answer:
        if request.method == b"DELETE":
            self.instances.withdraw(calls.instance_of(request))
            return Answer(200)
        member = calls.read_member(request)
        if isinstance(member, Err):
            return calls.failed(400, member.err_value)
        self.instances.report(member.ok_value)
        return Answer(200)

    def _watch(self, request: Request) -> None:
        wait = calls.wait_of(request)
        if wait is None:
            self._answer(request, calls.failed(400, "since and wait_ms must be numbers"))
            return

        def look(last: bool) -> Answer | None:
            found = self.objects.changes(wait.prefix, wait.since)
            if isinstance(found, Err):
                return calls.failed(410, "the history starts later: list again")
            if not found.ok_value.changes and not last:
                return None
            return Answer(200, codec.to_json(found.ok_value))

        self._poll(request, wait, look)

    def _list_instances(self, request: Request) -> None:
        wait = calls.wait_of(request)
        if wait is None:
            self._answer(request, calls.failed(400, "since and wait_ms must be numbers"))
            return

        def look(last: bool) -> Answer | None:
            revision = self.instances.revision
            if revision == wait.since and not last:
                return None
            return calls.members_answer(self.instances.shown(), revision)

        self._poll(request, wait._replace(prefix=INSTANCE_PATH), look)

    def _poll(self, request: Request, wait: calls.Wait, look: Look) -> None:
        if self.switches["drop_watches"]:
            return
        cancel = self._polls.add(wait.prefix, wait.wait_ms, look, partial(self._answer, request))
        web.watch_closed(request, cancel)

    def _wake_lists(self) -> None:
        self._polls.wake(INSTANCE_PATH)

    def _refuse_rate(self, request: Request) -> None:
        self._limited += 1
        web.set_header(request, "retry-after", RETRY_AFTER)
        self._answer(request, calls.failed(429, "over the rate limit"))

    def _answer(self, request: Request, answer: Answer) -> None:
        delay = self._params.latency_ms + self.switches["slow_ms"]
        self._timers.call_later(delay, partial(_send, request, answer))


def start_platform(
    reactor: Any, clock: Clock, params: PlatformParams, host: str, port: int
) -> Deferred[PlatformServer]:
    """Start a platform; port 0 picks a free one."""
    return execute(PlatformServer, reactor, clock, params, host, port)


def _send(request: Request, answer: Answer) -> None:
    if web.is_gone(request):
        return
    if answer.version:
        web.set_header(request, "etag", f'"{answer.version}"')
    web.send(request, answer.status, answer.body, answer.content_type)


def _normal_switches(params: PlatformParams) -> PlatformControl:
    return PlatformControl(
        outage=False,
        slow_ms=0,
        lose_answers=0,
        drop_watches=False,
        reads_per_s=params.reads_per_s,
        writes_per_s=params.writes_per_s,
        list_lag_ms=params.list_lag_ms,
    )
