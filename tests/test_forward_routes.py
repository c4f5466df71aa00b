"""Test what a caller's connection carries when a request ends in an odd way."""

from typing import Any, cast

import pytest
from result import Err
from twisted.python.failure import Failure

from papayapier.entry.forward_routes import _failed, _finish
from papayapier.errors import ErrorKind, unknown
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
    _finish(cast(Any, None), request, _req(), cast(Any, refusal), cast(Any, Reader()), 0)
    assert not request.failed


def test_a_crash_within_an_answer_breaks_it_off() -> None:
    # Symptom: a stream holds an event that no replica made, and ends as if it were whole.
    # Cause: a crash after the first event was answered like one before it.
    request = Request(gone=False, started=True)
    _failed(Failure(ValueError("x")), request)
    assert request.channel is not None
    assert request.channel.transport.aborted
    assert not request.failed


def test_a_crash_before_the_answer_is_answered() -> None:
    request = Request(gone=False, started=False)
    _failed(Failure(ValueError("x")), request)
    assert len(request.failed) == 1


def _req() -> Any:
    class Profile:
        name = "p"

    class Req:
        request_id = "id"
        profile = Profile

    return Req
