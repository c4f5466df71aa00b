"""Test that callers' requests on jobs are answered or refused once their time is up."""

from io import BytesIO
from typing import Any, cast

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.config.route_table import Route, RouteKind, UpstreamShare
from papayapier.entry.job_routes import CALL_TIMEOUT_MS, JobCallFormat, JobRoutes
from papayapier.errors import Outcome, Refusal
from papayapier.platform import job_calls
from papayapier.store.api import StoreError
from tests.jobs_world import JOB, JobServiceWorld, item

LIMIT_MS = 1_500


class Request:
    """Replace a twisted request whose caller is present."""

    is_disconnected = False
    path = b"/jobs/j"

    def __init__(self, **named: str) -> None:
        self._named = named
        self.content = BytesIO(b"")
        self.status = 0

    def getHeader(self, name: str) -> str | None:  # noqa: N802
        return self._named.get(name)

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        self.status = status

    def setHeader(self, _name: bytes, _value: bytes) -> None:  # noqa: N802
        pass

    def write(self, _body: bytes) -> None:
        pass

    def finish(self) -> None:
        pass


class CallWorld(JobServiceWorld):
    """Serve requests on jobs, and record how they are refused."""

    def __init__(self) -> None:
        super().__init__()
        self.refusals: list[Refusal] = []
        wire = JobCallFormat(
            "X-Request-Id", lambda _body: cast(Any, None), job_calls.parse_call, job_calls.perform
        )
        self.routes = JobRoutes(
            self.time.clock, self.service, wire, lambda *refused: self.refusals.append(refused[2])
        )

    def begin_call(self, call: job_calls.JobCall, **named: str) -> Request:
        """Begin to serve a call, and return its request."""
        request = Request(**named)
        Deferred.fromCoroutine(cast(Any, self.routes.perform(request, call, "")))
        return request


def test_a_read_is_refused_while_the_store_does_not_answer() -> None:
    """Guard against a read of a job that waits for the store for as long as that takes."""
    world = CallWorld()
    world.memory.hold = True
    world.begin_call(job_calls.ReadCall(JOB, 0))
    world.begin_call(job_calls.BodyCall(JOB, "a"))
    world.begin_call(job_calls.EndCall(JOB))
    world.time.run_for(CALL_TIMEOUT_MS)
    assert [refusal.outcome for refusal in world.refusals] == [Outcome.UNKNOWN] * 3


def test_a_submission_is_refused_while_the_store_does_not_answer() -> None:
    """Guard against a submission without an answer at the time limit of its route."""
    world = CallWorld()
    world.memory.fault = lambda call, _key: StoreError.CONFLICT if call == "create" else None
    world.memory.hold = True
    read_items = cast(Any, lambda _body: Ok((item("a"),)))
    routes = world.routes._replace(wire=world.routes.wire._replace(read_items=read_items))
    shares = (UpstreamShare("lm", 1),)
    route = Route("r", "h", "/", RouteKind.JOB, shares, LIMIT_MS, 300, 3, 0, False, False)
    request = Request(**{"X-Request-Id": JOB, "host": "h"})
    Deferred.fromCoroutine(cast(Any, routes.submit(request, route, "")))
    world.time.run_for(LIMIT_MS)
    (refusal,) = world.refusals
    assert refusal.outcome is Outcome.UNKNOWN


def test_a_caller_may_not_wait_for_results_for_ever() -> None:
    """Guard against a wait for results that is only as long as its caller says."""
    world = CallWorld()
    world.has_job("a")
    request = world.begin_call(job_calls.ReadCall(JOB, 0), **{"X-Wait-Ms": str(10**9)})
    world.time.run_for(CALL_TIMEOUT_MS)
    assert (request.status, world.refusals) == (200, [])
