"""Test what a caller's connection carries when a request ends in an odd way."""

from typing import Any, cast

import pytest
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from papayapier import invariants
from papayapier.clock import fake_clock
from papayapier.config.teams import Team
from papayapier.entry.forward_routes import (
    GRANT_RETRY_MS,
    _finish,
    _on_failure,
    _request_allowance,
    _run,
)
from papayapier.errors import ErrorKind, Refusal, not_run, unknown
from papayapier.upstream.raw import Answered, PassedOn, RawAnswer
from tests.forward_world import ForwardWorld


class Transport:
    aborted = False

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


class Channel:
    def __init__(self) -> None:
        self.transport = Transport()


class Request:
    """Stand for a caller's request; channel is None once the connection has ended."""

    path = b"/a"
    log_id = "id"

    def __init__(self, gone: bool, started: bool) -> None:
        self.gone = gone
        self.startedWriting = started
        self.channel = None if gone else Channel()
        self.failed: list[Failure] = []

    def processingFailed(self, failure: Failure) -> None:  # noqa: N802
        self.failed.append(failure)


class Reader:
    started = True


@pytest.mark.parametrize("started", [True, False])
def test_a_stream_that_breaks_as_its_caller_leaves_is_no_crash(started: bool) -> None:
    # Symptom: lines of a crashed request with a traceback, though nothing was wrong.
    # Events: the replica and the caller of a stream are lost at the same moment; the break is
    # seen first. Cause: the connection to be broken off was not there any more.
    request = Request(gone=True, started=started)
    world = ForwardWorld()
    world.begin(idempotent=False)
    refusal = Err(unknown(ErrorKind.UPSTREAM_FAILED, "cut"))
    _finish(cast(Any, None), request, _req(), cast(Any, refusal), cast(Any, Reader()))
    assert not request.failed


@pytest.mark.parametrize(
    ("begun", "answer"), [(True, RawAnswer(500, Headers(), b"failed")), (False, PassedOn(200))]
)
def test_an_answer_that_does_not_fit_what_was_sent_breaks_it_off(
    begun: bool, answer: Answered
) -> None:
    # Failure: a stream gets a last chunk though its end is not what ended the request.
    before = invariants.broken_count()
    request = Request(gone=False, started=begun)
    reader = cast(Any, Reader()) if begun else None
    _finish(cast(Any, None), request, _req(), Ok(answer), reader)
    assert request.channel is not None
    assert request.channel.transport.aborted
    assert invariants.broken_count() == before + 1


def test_a_crash_within_an_answer_breaks_it_off() -> None:
    # Symptom: a stream holds an event that no replica made, and ends as if it were whole.
    # Cause: a crash after the first event was answered like one before it.
    request = Request(gone=False, started=True)
    _on_failure(Failure(ValueError("x")), request)
    assert request.channel is not None
    assert request.channel.transport.aborted
    assert not request.failed


def test_a_crash_before_the_answer_is_answered() -> None:
    request = Request(gone=False, started=False)
    _on_failure(Failure(ValueError("x")), request)
    assert len(request.failed) == 1


def _req() -> Any:
    class Profile:
        name = "p"

    class Req:
        request_id = "id"
        profile = Profile

    return Req


class Granting:
    """Grant from some time on; before it nobody does, or the team is over."""

    def __init__(self, from_ms: int, before: ErrorKind = ErrorKind.NOT_GRANTED) -> None:
        self.time = fake_clock()
        self.clock = self.time.clock
        self.began = self.clock.now()
        self.starting_until_ms: int = self.began
        self._from_ms = from_ms
        self._before = before

    async def allow(self, _team: Team, _returned: bool) -> Result[None, Refusal]:
        if self.clock.now() >= self.began + self._from_ms:
            return Ok(None)
        return Err(not_run(self._before, "", 300))

    def ask(self, returned: bool, due_ms: int = 5_000) -> list[Result[None, Refusal]]:
        """Ask, let two seconds pass, and return what has been said."""

        class Req:
            pass

        req = cast(Any, Req())
        req.is_retry, req.due_ms = returned, self.began + due_ms
        req.may_retry = not returned and self.clock.now() >= self.starting_until_ms
        ends: list[Result[None, Refusal]] = []
        asking = _request_allowance(cast(Any, self), req, Team("yard", 5, 5))
        Deferred.fromCoroutine(cast(Any, asking)).addCallback(ends.append)
        for _ in range(2_000 // GRANT_RETRY_MS):
            self.time.advance(GRANT_RETRY_MS)
        return ends


@pytest.mark.parametrize("returned", [True, False])
def test_nobody_grants_for_a_moment(returned: bool) -> None:
    # Failure: a caller that has come back is refused for the second time while a granter is
    # missed, and gets nothing; one that comes first hears at once when to return.
    ends = Granting(1_000).ask(returned)
    assert [one.is_ok() for one in ends] == [returned]


def test_nobody_grants_just_after_a_start() -> None:
    # Failure: after a loss of all machines each request of a team is refused until the hubs agree.
    granting = Granting(1_000)
    granting.starting_until_ms += 2_500
    assert [one.is_ok() for one in granting.ask(returned=False)] == [True]


def test_nobody_grants_until_it_is_too_late() -> None:
    (end,) = Granting(10_000).ask(returned=True, due_ms=700)
    assert isinstance(end, Err)
    assert end.err_value.kind is ErrorKind.NOT_GRANTED


def test_who_is_over_its_allowance_is_told_at_once() -> None:
    (end,) = Granting(10, ErrorKind.OVER_ALLOWANCE).ask(returned=True)
    assert isinstance(end, Err)
    assert end.err_value.kind is ErrorKind.OVER_ALLOWANCE


@pytest.mark.parametrize(("from_ms", "granted"), [(900, True), (10_000, False)])
def test_a_small_beginning_of_an_allowance_is_waited_for(from_ms: int, granted: bool) -> None:
    # Failure: after a loss of all machines what came meanwhile comes at once, and is refused as
    # beyond an allowance that has just begun; or it is held though that does not change.
    granting = Granting(from_ms, ErrorKind.OVER_ALLOWANCE)
    granting.starting_until_ms += 1_500
    assert [one.is_ok() for one in granting.ask(returned=False)] == [granted]


def test_who_waited_for_a_grant_is_not_refused_for_that() -> None:
    # Failure: the time allowed in the queue counts from the arrival, and is over with the grant.
    granting = Granting(1_000)
    asked: list[Any] = []

    class Queue:
        async def run(self, ask: Any, _work: Any, learn_duration: bool) -> Result[None, Refusal]:
            asked.append((ask.due_ms - granting.clock.now(), learn_duration))
            return Ok(None)

    class Req:
        is_retry, may_retry, objective_ms, rank, profile = True, False, 400, 0, None
        due_ms = granting.began + 5_000

        def caller(self) -> str:
            return "yard"

    granting.queue = Queue()  # type: ignore[attr-defined]
    running = _run(cast(Any, granting), cast(Any, Req()), Team("yard", 5, 5), cast(Any, None))
    Deferred.fromCoroutine(cast(Any, running))
    for _ in range(2_000 // GRANT_RETRY_MS):
        granting.time.advance(GRANT_RETRY_MS)
    assert asked == [(100, False)]
