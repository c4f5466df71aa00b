"""Test what a caller receives when a forwarded request ends abnormally."""

import random
from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from papayapier import invariants
from papayapier.clock import fake_clock
from papayapier.config.route_table import Route, RouteKind, UpstreamShare, pick_profile
from papayapier.config.teams import Team
from papayapier.entry.forward_refusals import RefusalDeps, refuse_forwarded
from papayapier.entry.forward_routes import (
    GRANT_RETRY_MS,
    _finish,
    _on_failure,
    _request_allowance,
    _run,
    _upstream_rand,
)
from papayapier.errors import ErrorKind, Outcome, Refusal, not_run_refusal, unknown_refusal
from papayapier.metrics import make_metrics
from papayapier.upstream.forward_call import ForwardAnswer, ForwardedAnswer, StreamedAnswer
from tests.forward_world import ForwardWorld
from tests.log_capture import LogCapture


class Transport:
    aborted = False

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class Channel:
    def __init__(self) -> None:
        self.transport = Transport()


class Request:
    """Replace a twisted request; channel is None once the connection is closed."""

    path = b"/a"
    log_id = "id"

    def __init__(self, is_disconnected: bool, started: bool) -> None:
        self.is_disconnected = is_disconnected
        self.startedWriting = started
        self.channel = None if is_disconnected else Channel()
        self.failed: list[Failure] = []

    def processingFailed(self, failure: Failure) -> None:  # noqa: N802
        self.failed.append(failure)


class CallerStream:
    started = True


@pytest.mark.parametrize("started", [True, False])
def test_a_stream_that_breaks_as_its_caller_disconnects_is_no_crash(started: bool) -> None:
    """Guard against logging a crash when a stream loses its replica and its caller together.

    The loss of the replica is detected first, and the connection to be aborted is already closed.
    """
    request = Request(is_disconnected=True, started=started)
    world = ForwardWorld()
    world.start_request(idempotent=False)
    refusal = Err(unknown_refusal(ErrorKind.UPSTREAM_FAILED, "cut"))
    _finish(cast(Any, None), request, _req(), cast(Any, refusal), cast(Any, CallerStream()))
    assert not request.failed


@pytest.mark.parametrize(
    ("has_begun", "answer"),
    [(True, ForwardAnswer(500, Headers(), b"failed")), (False, StreamedAnswer(200))],
)
def test_an_answer_that_contradicts_what_was_sent_aborts_the_connection(
    has_begun: bool, answer: ForwardedAnswer
) -> None:
    """Guard against ending a stream with a last chunk although it is not complete."""
    before = invariants.violation_count()
    request = Request(is_disconnected=False, started=has_begun)
    caller_stream = cast(Any, CallerStream()) if has_begun else None
    _finish(cast(Any, None), request, _req(), Ok(answer), caller_stream)
    assert request.channel is not None
    assert request.channel.transport.aborted
    assert invariants.violation_count() == before + 1


def test_a_crash_within_an_answer_aborts_the_connection() -> None:
    """Guard against a stream with an event of no replica that ends as if it were complete.

    A crash after the first event was answered like one before it.
    """
    request = Request(is_disconnected=False, started=True)
    _on_failure(Failure(ValueError("x")), request)
    assert request.channel is not None
    assert request.channel.transport.aborted
    assert not request.failed


def test_a_crash_before_the_answer_is_answered() -> None:
    """Guard against a request that gets no answer after a crash."""
    request = Request(is_disconnected=False, started=False)
    _on_failure(Failure(ValueError("x")), request)
    assert len(request.failed) == 1


def test_a_cancellation_beside_a_present_caller_is_no_disconnect() -> None:
    """Guard against a request without an answer when something else than its caller cancels it."""
    for reason in (CancelledError(), ConnectionDone(), ConnectionLost()):
        for started in (True, False):
            request = Request(is_disconnected=False, started=started)
            _on_failure(Failure(reason), request)
            assert request.channel is not None
            aborted = request.channel.transport.aborted
            assert (len(request.failed), aborted) == (not started, started)


@pytest.mark.parametrize("started", [True, False])
def test_the_cancellation_of_a_caller_that_left_is_no_crash(started: bool) -> None:
    """Guard against a crash that is logged for each caller that leaves."""
    request = Request(is_disconnected=True, started=started)
    logs = LogCapture()
    with logs.applicationbound():
        _on_failure(Failure(CancelledError()), request)
    assert (request.failed, logs.records) == ([], [])


class RefusedRequest:
    """Record the refusal of a request whose caller is present."""

    is_disconnected = False
    status = 0
    finished = False

    def getHeader(self, _name: str) -> str:  # noqa: N802
        return "id"

    def setHeader(self, _name: bytes, _value: bytes) -> None:  # noqa: N802
        pass

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        self.status = status

    def write(self, _body: bytes) -> None:
        pass

    def finish(self) -> None:
        self.finished = True


def test_a_cancelled_send_is_refused_beside_a_present_caller() -> None:
    """Guard against a request that is neither answered nor refused when its send is cancelled."""
    deps = RefusalDeps(fake_clock().clock, random.Random(1), make_metrics(), "X-Id", b"Retry-After")
    for outcome, status in ((Outcome.NOT_RUN, 503), (Outcome.UNKNOWN, 502)):
        request = RefusedRequest()
        refuse_forwarded(deps, request, "p", Refusal(ErrorKind.CANCELLED, outcome, "cancelled"))
        assert (request.status, request.finished) == (status, True)


def _req() -> Any:
    class Profile:
        name = "p"

    class Req:
        request_id = "id"
        profile = Profile

    return Req


class FakeGranter:
    """Grant allowances from some time on; before it, refuse them with a given kind."""

    def __init__(self, from_ms: int, refusal_kind: ErrorKind = ErrorKind.NOT_GRANTED) -> None:
        self.time = fake_clock()
        self.clock = self.time.clock
        self.began = self.clock.now()
        self.starting_until_ms: int = self.began
        self._from_ms = from_ms
        self._refusal_kind = refusal_kind

    async def allow(self, _team: Team, _returned: bool) -> Result[None, Refusal]:
        if self.clock.now() >= self.began + self._from_ms:
            return Ok(None)
        return Err(not_run_refusal(self._refusal_kind, "", 300))

    def request_allowance(self, is_retry: bool, due_ms: int = 5_000) -> list[Result[None, Refusal]]:
        """Request an allowance, let two seconds pass, and return the results."""

        class Req:
            pass

        req = cast(Any, Req())
        req.is_retry, req.due_ms = is_retry, self.began + due_ms
        req.may_retry = not is_retry and self.clock.now() >= self.starting_until_ms
        results: list[Result[None, Refusal]] = []
        asking = _request_allowance(cast(Any, self), req, Team("yard", 5, 5))
        Deferred.fromCoroutine(cast(Any, asking)).addCallback(results.append)
        for _ in range(2_000 // GRANT_RETRY_MS):
            self.time.jump(GRANT_RETRY_MS)
        return results


@pytest.mark.parametrize("is_retry", [True, False])
def test_a_retry_waits_while_no_granter_answers(is_retry: bool) -> None:
    """Guard against refusing a retry for good while the granter is unavailable.

    A first request, however, is refused at once with the time of its retry.
    """
    results = FakeGranter(1_000).request_allowance(is_retry)
    assert [result.is_ok() for result in results] == [is_retry]


def test_a_request_just_after_a_start_waits_for_a_granter() -> None:
    """Guard against refusing all requests after a loss of all machines until the hubs agree."""
    granter = FakeGranter(1_000)
    granter.starting_until_ms += 2_500
    assert [result.is_ok() for result in granter.request_allowance(is_retry=False)] == [True]


def test_a_request_is_refused_when_no_granter_answers_in_time() -> None:
    """Guard against waiting for a granter beyond the due time."""
    (result,) = FakeGranter(10_000).request_allowance(is_retry=True, due_ms=700)
    assert isinstance(result, Err)
    assert result.err_value.kind is ErrorKind.NOT_GRANTED


def test_a_team_over_its_allowance_is_refused_at_once() -> None:
    """Guard against waiting where the granter has refused."""
    (result,) = FakeGranter(10, ErrorKind.OVER_ALLOWANCE).request_allowance(is_retry=True)
    assert isinstance(result, Err)
    assert result.err_value.kind is ErrorKind.OVER_ALLOWANCE


@pytest.mark.parametrize(("from_ms", "granted"), [(900, True), (10_000, False)])
def test_a_request_waits_while_a_new_allowance_is_small(from_ms: int, granted: bool) -> None:
    """Guard against refusing the delayed requests that arrive at once after a loss of all machines.

    Allowances begin small after a start. A request must not wait longer if that does not change.
    """
    granter = FakeGranter(from_ms, ErrorKind.OVER_ALLOWANCE)
    granter.starting_until_ms += 1_500
    assert [result.is_ok() for result in granter.request_allowance(is_retry=False)] == [granted]


def test_the_time_in_the_queue_counts_from_the_grant() -> None:
    """Guard against refusing a request in the queue because it waited for its grant."""
    granter = FakeGranter(1_000)
    queued: list[Any] = []

    class Queue:
        async def run(
            self, request: Any, _run_request: Any, learn_duration: bool
        ) -> Result[None, Refusal]:
            queued.append((request.due_ms - granter.clock.now(), learn_duration))
            return Ok(None)

    class Req:
        is_retry, may_retry, objective_ms, rank, profile = True, False, 400, 0, None
        due_ms = granter.began + 5_000

        def caller(self) -> str:
            return "yard"

    granter.queue = Queue()  # type: ignore[attr-defined]
    running = _run(cast(Any, granter), cast(Any, Req()), Team("yard", 5, 5), cast(Any, None))
    Deferred.fromCoroutine(cast(Any, running))
    for _ in range(2_000 // GRANT_RETRY_MS):
        granter.time.jump(GRANT_RETRY_MS)
    assert queued == [(100, False)]


def test_all_attempts_of_a_stream_use_the_same_upstream() -> None:
    """Guard against a stream that goes on at another service of a route with several."""
    shares = (UpstreamShare("lm", 1), UpstreamShare("other", 1))
    route = Route("ask", "h", "/", RouteKind.STREAM, shares, 5_000, 300, 3, 0, True, False)
    routes = cast(Any, None)
    first = [
        pick_profile(route, _upstream_rand(routes, route, f"id-{number}", "")).upstream
        for number in range(100)
    ]
    resumed = [
        pick_profile(route, _upstream_rand(routes, route, "next", f"id-{number}")).upstream
        for number in range(100)
    ]
    assert resumed == first
    assert 30 < first.count("lm") < 70
