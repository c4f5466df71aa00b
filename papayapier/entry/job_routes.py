"""Serve callers' requests on batch jobs, which are stored in the platform's store."""

from typing import TYPE_CHECKING, Any, Final, NamedTuple, TypeVar

from result import Err, Ok, Result

from papayapier.entry.answers import JSON_TYPE
from papayapier.errors import ErrorKind, Refusal, not_run_refusal, unknown_refusal
from papayapier.pending_result import PendingResult

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.clock import Clock
    from papayapier.config.route_table import Route
    from papayapier.jobs.job_service import JobService
    from papayapier.jobs.records import JobItem

T = TypeVar("T")

# Time reserved for sending the answer to a submission after its write is settled.
ANSWER_RESERVE_MS: Final = 200
DEFAULT_TIMEOUT_MS: Final = 2_000
CALL_TIMEOUT_MS: Final = 2_500
ACCEPTED: Final = 202


class JobAnswer(NamedTuple):
    """Hold a successful answer."""

    body: bytes
    content_type: bytes = JSON_TYPE
    status: int = 200


class JobCallFormat(NamedTuple):
    """Group the functions that parse and run the platform's calls on jobs.

    parse_call parses a request as a call on a job, or returns None; perform runs a call for a team.
    """

    request_id: str
    read_items: "Callable[[bytes], Result[tuple[JobItem, ...], str]]"
    parse_call: "Callable[[Any], Any | None]"
    perform: "Callable[[JobService, Any, Any, str, int], Awaitable[Result[JobAnswer, Refusal]]]"


class JobRoutes(NamedTuple):
    """Handle requests on jobs; refuse writes a refusal."""

    clock: "Clock"
    job_service: "JobService"
    wire: JobCallFormat
    refuse: "Callable[[Any, str, Refusal], None]"

    async def submit(self, request: Any, route: "Route", team: str) -> None:
        """Accept a job from a team."""
        job_id = request.getHeader(self.wire.request_id) or ""
        items = self.wire.read_items(request.content.read())
        if not job_id or isinstance(items, Err):
            reason = "the job has no id" if isinstance(items, Ok) else items.err_value
            return self.refuse(request, route.name, not_run_refusal(ErrorKind.BAD_REQUEST, reason))
        limit_ms = route.timeout_ms or DEFAULT_TIMEOUT_MS
        due_ms = self.clock.now() + max(ANSWER_RESERVE_MS, limit_ms - ANSWER_RESERVE_MS)
        host = request.getHeader("host") or ""
        path = request.path.decode("latin-1")
        submitting = self.job_service.submit(
            job_id, host, path, items.ok_value, due_ms, route.objective_ms, team
        )
        result = await self._finish_within(limit_ms, submitting)
        if isinstance(result, Err):
            return self.refuse(request, route.name, result.err_value)
        return _write_answer(request, JobAnswer(b"{}", status=ACCEPTED))

    async def perform(self, request: Any, call: Any, team: str) -> None:
        """Run a call on a job for a team."""
        due_ms = self.clock.now() + CALL_TIMEOUT_MS
        performing = self.wire.perform(self.job_service, request, call, team, due_ms)
        result = await self._finish_within(CALL_TIMEOUT_MS, performing)
        if isinstance(result, Err):
            return self.refuse(request, "", result.err_value)
        return _write_answer(request, result.ok_value)

    async def _finish_within(
        self, limit_ms: int, running: "Awaitable[Result[T, Refusal]]"
    ) -> "Result[T, Refusal]":
        """Return the result of a request, or a refusal if it does not end in time.

        The request goes on then: a record whose write has begun must be settled.
        """
        result = await PendingResult(self.clock, running).wait_at_most(limit_ms)
        if result is not None:
            return result
        return Err(unknown_refusal(ErrorKind.DEADLINE, "the request did not end in time"))


def _write_answer(request: Any, answer: JobAnswer) -> None:
    if request.is_disconnected:
        return
    request.setResponseCode(answer.status)
    request.setHeader(b"Content-Type", answer.content_type)
    request.setHeader(b"Content-Length", str(len(answer.body)).encode())
    request.write(answer.body)
    request.finish()
