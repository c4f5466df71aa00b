"""Test that each forwarded request is answered or refused once its time is up."""

import random
from typing import Any

from result import Ok
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.config.keys import key_digest
from papayapier.config.route_table import (
    CallerRequestLimits,
    Route,
    RouteKind,
    RouteTable,
    RoutingConfig,
    UpstreamShare,
)
from papayapier.config.teams import Team, Teams
from papayapier.dispatch.start_queue import StartQueue
from papayapier.entry.forward_refusals import RefusalDeps
from papayapier.entry.forward_routes import (
    ForwardRouteDeps,
    HeaderNames,
    JobHandlers,
    _serve,
)
from papayapier.metrics import make_metrics
from papayapier.platform import headers
from tests.forward_world import ForwardWorld
from tests.log_capture import LogCapture

BUDGET_MS = 500
# A request may be answered this long after its time is up.
LATE_MS = 200
KEY = "kq-1"
TEAM = Team("yard", 5, 5)


async def _never(*_args: object, **_named: object) -> Any:
    await Deferred()


async def _nothing(*_args: object) -> None:
    return None


async def _allowed(*_args: object) -> Any:
    return Ok(None)


class Request:
    """Replace a twisted request whose caller is present."""

    is_disconnected = False
    startedWriting = False  # noqa: N815
    detached = False
    method = b"GET"
    path = uri = b"/a"

    def __init__(self, **named: str) -> None:
        self.status = 0
        self.requestHeaders = Headers(
            {
                "Host": ["h"],
                "X-Request-Id": ["id-1"],
                "X-Deadline-Ms": [str(BUDGET_MS)],
                "Authorization": ["Bearer " + KEY],
                **{name.replace("_", "-"): [value] for name, value in named.items()},
            }
        )

    def getHeader(self, name: str) -> str | None:  # noqa: N802
        return self.requestHeaders.getRawHeaders(name, [None])[0]

    def setHeader(self, _name: bytes, _value: bytes) -> None:  # noqa: N802
        pass

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        self.status = status

    def take_body(self) -> bytes:
        return b""

    def write(self, _body: bytes) -> None:
        pass

    def finish(self) -> None:
        pass


class ServeWorld:
    """Serve one request of a route, with parts that a test replaces."""

    def __init__(self, kind: RouteKind = RouteKind.AT_MOST_ONCE) -> None:
        self.world = ForwardWorld()
        route = Route("r", "h", "/", kind, (UpstreamShare("lm", 1),), 4_000, 300, 3, 0, True, False)
        teams = Teams([(TEAM, [key_digest(KEY.encode())])])
        limits = CallerRequestLimits(10_000, 10_000, 1_000, 1_000)
        table = RouteTable(RoutingConfig(1, (route,), ("lm",), limits, teams))
        clock, metrics, rand = self.world.time.clock, make_metrics(), random.Random(1)
        request_id = headers.REQUEST_ID.decode()
        self.routes = ForwardRouteDeps(
            clock=clock,
            rand=rand,
            metrics=metrics,
            refusals=RefusalDeps(clock, rand, metrics, request_id, headers.RETRY_AFTER),
            names=HeaderNames(
                request_id=request_id,
                time_left=headers.TIME_LEFT.decode(),
                prompt=headers.PROMPT_PARTS.decode(),
                last_event=headers.LAST_EVENT.decode(),
                resumed_attempt=headers.RESUMED_ATTEMPT.decode(),
                shared_parts=headers.shared_parts,
                end_to_end=headers.end_to_end,
                presented_keys=headers.presented_keys,
                with_team=headers.with_team,
            ),
            table=lambda: table,
            get_refusal=lambda: None,
            wait_until_routable=_nothing,
            queue=StartQueue(self.world.deps),
            forward=self.world.deps,
            allow=_allowed,
            starting_until_ms=0,
            jobs=JobHandlers(_nothing, lambda _request: None, _nothing),
        )

    def status_at_end(self, request: Request) -> int:
        """Serve a request until its time is up, and return the status of its answer."""
        serving: Any = Deferred.fromCoroutine(_serve(self.routes, request))
        self.world.time.run_for(BUDGET_MS + LATE_MS)
        assert serving.called
        return request.status


def test_a_request_whose_placer_never_answers_is_refused() -> None:
    """Guard against waiting for a placement beyond the time of the request."""
    world = ServeWorld()
    world.routes = world.routes._replace(forward=world.world.deps._replace(place=_never))
    logs = LogCapture()
    with logs.applicationbound():
        assert world.status_at_end(Request()) == 504
    assert [line["request"] for line in logs.fields_of(events.REQUEST_REFUSED)] == ["id-1"]


def test_a_request_whose_send_never_ends_is_refused() -> None:
    """Guard against waiting for a replica beyond the time of the request."""
    world = ServeWorld()
    assert world.status_at_end(Request()) == 504
    (send,) = world.world.sends
    assert send.done.called


def test_a_stream_whose_origin_is_never_found_is_refused() -> None:
    """Guard against waiting for the version of a stream beyond the time of the request."""
    world = ServeWorld(RouteKind.STREAM)
    forwarding = world.world.deps._replace(find_stream_origin=_never)
    world.routes = world.routes._replace(forward=forwarding)
    assert world.status_at_end(Request(Last_Event_Id="3")) == 504


def test_a_request_whose_grant_never_comes_is_refused() -> None:
    """Guard against waiting for the allowance of a team beyond the time of the request."""
    world = ServeWorld()
    world.routes = world.routes._replace(allow=_never)
    assert world.status_at_end(Request()) == 504


def test_the_wait_for_routes_counts_as_time_of_the_request() -> None:
    """Guard against a request that has its whole time again after it waited for a start."""
    world = ServeWorld()
    clock = world.world.time.clock

    async def wait(*until_ms: int) -> None:
        await clock.sleep(min(until_ms, default=BUDGET_MS + 400) - clock.now())

    world.routes = world.routes._replace(wait_until_routable=wait)
    assert world.status_at_end(Request()) == 503
    assert not world.world.sends


def test_a_request_in_time_is_answered() -> None:
    """Guard against giving up a request before its time is up, or answering it twice."""
    world = ServeWorld()
    request = Request()
    serving: Any = Deferred.fromCoroutine(_serve(world.routes, request))
    world.world.time.run_for(BUDGET_MS - 1)
    world.world.sends[0].answer()
    assert serving.called
    world.world.time.run_for(2 * LATE_MS)
    assert request.status == 200


def test_a_caller_that_leaves_ends_its_request() -> None:
    """Guard against a send that goes on although its caller has left."""
    world = ServeWorld()
    request = Request()
    serving: Any = Deferred.fromCoroutine(_serve(world.routes, request))
    serving.addErrback(lambda failure: failure.trap(CancelledError))
    request.is_disconnected = True
    serving.cancel()
    (send,) = world.world.sends
    assert (send.done.called, serving.called, request.status) == (True, True, 0)
    assert not world.world.time.source.calls
