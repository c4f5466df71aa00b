"""Simulate the platform: object API, watches, instance list, limits and faults.

A change takes effect when its call arrives, and the response is sent after the latency. A
client that gives up in between cannot know whether the change was made; with lose_answers it
cannot know either, because its connection is reset instead of a response.
"""

from functools import partial
from typing import Any, Final, NamedTuple, TypedDict

from result import Err, Result
from twisted.internet.defer import Deferred, execute
from twisted.web.server import Request

from papayapier.clock import Clock
from papayapier.standin import platform_calls as calls
from papayapier.standin import web
from papayapier.standin.instance_list import InstanceList
from papayapier.standin.limits import TokenBucket
from papayapier.standin.link import Link
from papayapier.standin.listener import Connection, Listener
from papayapier.standin.long_polls import LongPolls
from papayapier.standin.object_store import ObjectStore
from papayapier.standin.platform_calls import INSTANCE_PATH, OBJECT_PATH, PollCheck, Response
from papayapier.standin.process_faults import ProcessFaults
from papayapier.standin.switches import parse_switches
from papayapier.standin.timers import Timers
from papayapier.standin.weights import WEIGHT_PATH, WeightParams, WeightStore
from papayapier.store.api import Member

RETRY_AFTER: Final = "1"
BAD_POLL_ARGS: Final = "since and wait_ms must be numbers"


class PlatformParams(NamedTuple):
    """Set the platform's normal behaviour; rates of 0 mean no limit.

    latency_ms is the platform's processing time, link_delay_ms the one-way network delay.
    """

    latency_ms: int = 2
    reads_per_s: int = 2_000
    writes_per_s: int = 400
    list_lag_ms: int = 500
    history: int = 10_000
    link_delay_ms: float = 0.0
    weights: WeightParams = WeightParams()


class PlatformControl(TypedDict, total=False):
    """Hold the keys of POST /control.

    With drop_watches, waiting and new watches are never answered, as when the network has
    lost their connections. With refuse_connections the port is closed; restart_ms reopens it
    after that time, and is not stored as a switch.
    """

    outage: bool
    refuse_connections: bool
    restart_ms: int
    slow_ms: int
    lose_answers: int
    cut_before_effect: int
    drop_watches: bool
    reads_per_s: int
    writes_per_s: int
    list_lag_ms: int
    weight_bytes_per_s: int
    leaving: list[str]
    removed: list[str]


class PlatformCounts(NamedTuple):
    """Hold the counters of GET /counts; weight reads are counted and limited separately."""

    reads: int
    writes: int
    watches: int
    bytes_in: int
    bytes_out: int
    limited: int
    weight_reads: int
    weights_limited: int


class PlatformServer:
    """Serve the platform's protocol; switches and counters can also be used in the process."""

    __slots__ = (
        "_faults",
        "_limited",
        "_listener",
        "_params",
        "_polls",
        "_reads",
        "_reads_bucket",
        "_timers",
        "_watches",
        "_weights",
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
        self.objects = ObjectStore(params.history)
        self.instances = InstanceList(
            clock, lambda: self.switches["list_lag_ms"], self._recheck_instance_lists
        )
        self._params = params
        self._timers = Timers(clock)
        self._polls = LongPolls(clock)
        link = Link(clock, params.link_delay_ms)
        self._listener = Listener(reactor, self._handle, host, port, link)
        self._faults = ProcessFaults(clock, self._listener, self._polls.drop_all)
        self._reads_bucket = TokenBucket(clock)
        self._writes_bucket = TokenBucket(clock)
        self._weights = WeightStore(clock, params.weights)
        self._reads = self._writes = self._watches = self._limited = 0
        self._listener.open()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._listener.port

    def register(self, member: Member) -> None:
        """Add a member to the list without lag."""
        self.instances.report(member)
        self.instances.publish_now()

    def is_listening(self) -> bool:
        """Return whether the port accepts connections."""
        return self._listener.is_open()

    def control(self, control: PlatformControl, conn: Connection | None = None) -> None:
        """Change switches, as POST /control does; conn is the connection that set them."""
        before = self.switches
        after = self.switches = _merged(before, control)
        self.instances.set_overrides(after["leaving"], after["removed"])
        if after["outage"] and not before["outage"]:
            self._polls.answer_all(calls.error_response(503, "outage"))
        if after["refuse_connections"] and not before["refuse_connections"]:
            self._faults.call_after_response(conn, self._refuse_connections)
        if before["refuse_connections"] and not after["refuse_connections"]:
            self._faults.restart_or_log()
        if control.get("restart_ms"):
            reopen = partial(self.control, PlatformControl(refuse_connections=False))
            self._timers.call_later(control["restart_ms"], reopen)
        if control.get("drop_watches"):
            self._polls.drop_all()
        self._update_expiry(before)

    def counts(self) -> PlatformCounts:
        """Return the current counters."""
        traffic = self._listener.table.traffic
        return PlatformCounts(
            reads=self._reads,
            writes=self._writes,
            watches=self._watches,
            bytes_in=traffic.bytes_in,
            bytes_out=traffic.bytes_out,
            limited=self._limited,
            weight_reads=self._weights.reads,
            weights_limited=self._weights.limited,
        )

    def close(self) -> Deferred[None]:
        """Stop serving; stored objects are lost."""
        self._timers.cancel_all()
        self._polls.drop_all()
        self.instances.close()
        return self._faults.close()

    def _refuse_connections(self) -> None:
        if self.switches["refuse_connections"]:
            self._faults.crash()

    def _update_expiry(self, before: PlatformControl) -> None:
        """Suspend the expiry of members while their reports cannot arrive."""
        if _is_unreachable(self.switches) and not _is_unreachable(before):
            self.instances.pause_expiry()
        if _is_unreachable(before) and not _is_unreachable(self.switches):
            self.instances.resume_expiry()

    def _handle(self, request: Request) -> None:
        path = web.path_of(request)
        if path == "/control":
            self._handle_control(request)
        elif path == "/counts":
            web.send_json(request, web.JsonResponse(200, self.counts()._asdict()))
        elif path.startswith(WEIGHT_PATH):
            self._handle_weights(request)
        elif self.switches["outage"]:
            self._respond(request, calls.error_response(503, "outage"))
        elif request.method == b"GET":
            self._handle_read(request, path)
        else:
            self._handle_write(request, path)

    def _handle_control(self, request: Request) -> None:
        if request.method == b"POST":
            control = self._parse_control(web.body_of(request))
            if isinstance(control, Err):
                web.send_json(request, web.JsonResponse(400, {"error": control.err_value}))
                return
            self.control(control.ok_value, web.connection_of(request))
        web.send_json(request, web.JsonResponse(200, self.switches))

    def _parse_control(self, body: bytes) -> Result[PlatformControl, str]:
        read = parse_switches(body, PlatformControl)
        if isinstance(read, Err):
            return read
        member_ids = [*read.ok_value.get("leaving", ()), *read.ok_value.get("removed", ())]
        for instance in member_ids:
            if not self.instances.is_member(instance):
                return Err(f"no such member: {instance}")
        negative = [key for key, value in read.ok_value.items() if _is_negative(value)]
        if negative:
            return Err(f"must not be negative: {', '.join(negative)}")
        return read

    def _handle_weights(self, request: Request) -> None:
        body = self._weights.read(self.switches["weight_bytes_per_s"])
        if body is None:
            web.set_header(request, "retry-after", RETRY_AFTER)
            self._respond(
                request, calls.error_response(429, "over the rate limit of the weight store")
            )
            return
        self._respond(request, Response(200, body, calls.VALUE_TYPE))

    def _handle_read(self, request: Request, path: str) -> None:
        if not self._reads_bucket.try_take(self.switches["reads_per_s"]):
            self._refuse_over_rate(request)
            return
        if path == "/watch":
            self._watches += 1
            self._watch(request)
            return
        self._reads += 1
        if path == "/instances":
            self._list_instances(request)
        elif path == "/list":
            self._respond(request, calls.list_objects(self.objects, request))
        elif path.startswith(OBJECT_PATH):
            self._respond(request, calls.read_object(self.objects, request))
        else:
            self._respond(request, calls.error_response(404, "no such path"))

    def _handle_write(self, request: Request, path: str) -> None:
        if not self._writes_bucket.try_take(self.switches["writes_per_s"]):
            self._refuse_over_rate(request)
            return
        self._writes += 1
        if self.switches["cut_before_effect"] > 0:
            self.switches["cut_before_effect"] -= 1
            web.connection_of(request).abort()
            return
        revision = self.objects.revision
        if path.startswith(OBJECT_PATH):
            response = calls.write_object(self.objects, request)
        elif path.startswith(INSTANCE_PATH):
            response = self._write_instance(request)
        else:
            response = calls.error_response(404, "no such path")
        if self.objects.revision != revision:
            self._polls.recheck(path[len(OBJECT_PATH) :])
        if self.switches["lose_answers"] > 0:
            self.switches["lose_answers"] -= 1
            web.connection_of(request).abort()
            return
        self._respond(request, response)

    def _write_instance(self, request: Request) -> Response:
        if request.method == b"DELETE":
            self.instances.withdraw(calls.instance_id_of(request))
            return Response(200)
        member = calls.parse_member(request)
        if isinstance(member, Err):
            return calls.error_response(400, member.err_value)
        self.instances.report(member.ok_value)
        return Response(200)

    def _watch(self, request: Request) -> None:
        args = calls.poll_args_of(request)
        if args is None:
            self._respond(request, calls.error_response(400, BAD_POLL_ARGS))
            return
        self._poll(request, args, calls.make_changes_check(self.objects, args))

    def _list_instances(self, request: Request) -> None:
        args = calls.poll_args_of(request)
        if args is None:
            self._respond(request, calls.error_response(400, BAD_POLL_ARGS))
            return
        check = calls.make_members_check(self.instances, args)
        self._poll(request, args._replace(prefix=INSTANCE_PATH), check)

    def _poll(self, request: Request, args: calls.PollArgs, check: PollCheck) -> None:
        if self.switches["drop_watches"]:
            return
        cancel = self._polls.add(args.prefix, args.wait_ms, check, partial(self._respond, request))
        web.on_closed(request, cancel)

    def _recheck_instance_lists(self) -> None:
        self._polls.recheck(INSTANCE_PATH)

    def _refuse_over_rate(self, request: Request) -> None:
        self._limited += 1
        web.set_header(request, "retry-after", RETRY_AFTER)
        self._respond(request, calls.error_response(429, "over the rate limit"))

    def _respond(self, request: Request, response: Response) -> None:
        delay = self._params.latency_ms + self.switches["slow_ms"]
        self._timers.call_later(delay, partial(_send, request, response))


def start_platform(
    reactor: Any, clock: Clock, params: PlatformParams, host: str, port: int
) -> Deferred[PlatformServer]:
    """Start a platform; port 0 picks a free port."""
    return execute(PlatformServer, reactor, clock, params, host, port)


def _send(request: Request, response: Response) -> None:
    if web.is_closed(request):
        return
    if response.version:
        web.set_header(request, "etag", f'"{response.version}"')
    web.send(request, response.status, response.body, response.content_type)


def _normal_switches(params: PlatformParams) -> PlatformControl:
    return PlatformControl(
        outage=False,
        refuse_connections=False,
        slow_ms=0,
        lose_answers=0,
        cut_before_effect=0,
        drop_watches=False,
        reads_per_s=params.reads_per_s,
        writes_per_s=params.writes_per_s,
        list_lag_ms=params.list_lag_ms,
        weight_bytes_per_s=params.weights.bytes_per_s,
        leaving=[],
        removed=[],
    )


def _merged(before: PlatformControl, control: PlatformControl) -> PlatformControl:
    merged = before.copy()
    merged.update(control)
    merged.pop("restart_ms", None)
    return merged


def _is_unreachable(switches: PlatformControl) -> bool:
    return switches["outage"] or switches["refuse_connections"]


def _is_negative(value: object) -> bool:
    return isinstance(value, int) and value < 0
