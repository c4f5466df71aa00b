"""Serve callers' files and batch jobs over HTTP, in the form that OpenAI-style clients expect."""

from collections.abc import AsyncIterator, Callable
from datetime import datetime
from typing import TYPE_CHECKING, Final, TypeVar

from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import codec, events
from papayapier.batch.job_reader import ERROR_FILE_PREFIX, OUTPUT_FILE_PREFIX
from papayapier.batch.jobs import JobRequest
from papayapier.batch.results import encode_output_line
from papayapier.batch.start import Batch
from papayapier.batch.task_input import ReadError
from papayapier.clock import MS_PER_S
from papayapier.decoding import parse_number
from papayapier.entry import batch_bodies as bodies
from papayapier.entry.answers import refuse, reply_json
from papayapier.entry.streaming import close_incomplete, write_all
from papayapier.entry.uploads import PURPOSE, read_upload
from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from papayapier.entry.callers import CallerAuth
    from papayapier.entry.web import WebRequest

T = TypeVar("T")

JSONL_TYPE: Final = b"application/jsonl"
MAX_BODY_BYTES: Final = 64_000
DEFAULT_LIST_LIMIT: Final = 20
MAX_LIST_LIMIT: Final = 100
MAX_NAME_CHARS: Final = 200


def add_batch_routes(
    app: Klein,
    batch: Batch,
    auth: "CallerAuth",
    get_refusal: Callable[[], Refusal | None] = lambda: None,
) -> None:
    """Add the callers' routes for files and batch jobs to an app."""
    routes = _Routes(batch, auth, get_refusal)
    _add_file_routes(app, routes)
    _add_job_routes(app, routes)


def _add_file_routes(app: Klein, routes: "_Routes") -> None:
    @app.route("/v1/files", methods=["POST"])
    def upload(request: "WebRequest") -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.upload(request))

    @app.route("/v1/files/<file_id>", methods=["GET"])
    def file(request: "WebRequest", file_id: str) -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.file(request, file_id))

    @app.route("/v1/files/<file_id>", methods=["DELETE"])
    def delete(request: "WebRequest", file_id: str) -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.delete_file(request, file_id))

    @app.route("/v1/files/<file_id>/content", methods=["GET"])
    def content(request: "WebRequest", file_id: str) -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.content(request, file_id))


def _add_job_routes(app: Klein, routes: "_Routes") -> None:
    @app.route("/v1/batches", methods=["POST"])
    def create(request: "WebRequest") -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.create(request))

    @app.route("/v1/batches", methods=["GET"])
    def jobs(request: "WebRequest") -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.jobs(request))

    @app.route("/v1/batches/<job_id>", methods=["GET"])
    def job(request: "WebRequest", job_id: str) -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.job(request, job_id))

    @app.route("/v1/batches/<job_id>/cancel", methods=["POST"])
    def cancel(request: "WebRequest", job_id: str) -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.cancel(request, job_id))

    @app.route("/v1/batches/<job_id>/items/<path:custom_id>", methods=["GET"])
    def item(request: "WebRequest", job_id: str, custom_id: str) -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(routes.item(request, job_id, custom_id))


class _Routes:
    """Handle the requests of each route."""

    def __init__(
        self, batch: Batch, auth: "CallerAuth", get_refusal: Callable[[], Refusal | None]
    ) -> None:
        self._batch = batch
        self._auth = auth
        self._get_refusal = get_refusal

    def _authorize_new_work(self, request: "WebRequest") -> Result[str, Refusal]:
        refusal = self._get_refusal()
        return self._auth(request) if refusal is None else Err(refusal)

    async def upload(self, request: "WebRequest") -> bytes:
        """Store an input file."""
        caller = self._authorize_new_work(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        name = (request.getHeader("x-papayapier-filename") or "input.jsonl")[:MAX_NAME_CHARS]
        intake = self._batch.start_upload(caller.ok_value, name, PURPOSE)
        stored = await read_upload(request, self._batch.deps.clock, intake)
        if isinstance(stored, Err):
            await intake.abandon()
        return _write_result(request, stored.map(bodies.file_body))

    async def file(self, request: "WebRequest", file_id: str) -> bytes:
        """Describe a file."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        if file_id.startswith((OUTPUT_FILE_PREFIX, ERROR_FILE_PREFIX)):
            output = await self._batch.reader.find_output(caller.ok_value, file_id)
            return _write_result(
                request, output.map(lambda output_file: bodies.output_body(file_id, output_file))
            )
        file = await self._batch.reader.get_file(caller.ok_value, file_id)
        return _write_result(request, file.map(bodies.file_body))

    async def delete_file(self, request: "WebRequest", file_id: str) -> bytes:
        """Delete an input file."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        deleted = await self._batch.delete_file(caller.ok_value, file_id)
        return _write_result(
            request, deleted.map(lambda record: bodies.DeletedBody(record.file_id))
        )

    async def content(self, request: "WebRequest", file_id: str) -> bytes | None:
        """Stream the lines of an input file, of a job's results or of its errors."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        views = self._batch.reader
        errors: list[ReadError] = []
        lines: AsyncIterator[bytes]
        if file_id.startswith((OUTPUT_FILE_PREFIX, ERROR_FILE_PREFIX)):
            output = await views.find_output(caller.ok_value, file_id)
            if isinstance(output, Err):
                return refuse(request, output.err_value)
            lines = views.output_lines(output.ok_value, errors.append)
        else:
            file = await views.get_file(caller.ok_value, file_id)
            if isinstance(file, Err):
                return refuse(request, file.err_value)
            lines = views.input_lines(file.ok_value, errors.append)
        return await self._stream(request, lines, errors)

    async def _stream(
        self, request: "WebRequest", lines: AsyncIterator[bytes], errors: list[ReadError]
    ) -> bytes | None:
        request.setHeader(b"Content-Type", JSONL_TYPE)
        await write_all(request, lines)
        if errors:
            events.emit(events.OUTPUT_CUT, reason=str(errors[0]))
            close_incomplete(request)
        return b""

    async def create(self, request: "WebRequest") -> bytes:
        """Accept a job."""
        caller = self._authorize_new_work(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        job_request = _job_request(request, caller.ok_value)
        if isinstance(job_request, Err):
            return refuse(request, job_request.err_value)
        found = await self._batch.jobs.accept(job_request.ok_value)
        return _write_result(request, found.map(bodies.batch_body))

    async def jobs(self, request: "WebRequest") -> bytes:
        """List the caller's jobs, by id."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        after = request.args.get(b"after", [b""])[0].decode("ascii", "replace")
        limit = _limit(request.args.get(b"limit", [b""])[0])
        if limit is None:
            reason = f"limit: expected a number from 1 to {MAX_LIST_LIMIT}"
            return refuse(request, not_run_refusal(ErrorKind.BAD_REQUEST, reason))
        found = await self._batch.reader.list_jobs(caller.ok_value, after, limit)
        return _write_result(request, found.map(lambda jobs: bodies.batch_list(jobs, limit)))

    async def job(self, request: "WebRequest", job_id: str) -> bytes:
        """Describe a job."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        found = await self._batch.reader.get_job(caller.ok_value, job_id)
        return _write_result(request, found.map(bodies.batch_body))

    async def cancel(self, request: "WebRequest", job_id: str) -> bytes:
        """Cancel a job."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        found = await self._batch.jobs.cancel(caller.ok_value, job_id)
        return _write_result(request, found.map(bodies.batch_body))

    async def item(self, request: "WebRequest", job_id: str, custom_id: str) -> bytes:
        """Describe one item of a job."""
        caller = self._auth(request)
        if isinstance(caller, Err):
            return refuse(request, caller.err_value)
        view = await self._batch.reader.get_item(caller.ok_value, job_id, custom_id)
        if isinstance(view, Err):
            return refuse(request, view.err_value)
        job, span, result = view.ok_value
        line = None if result is None else encode_output_line(job.record, span, result)
        return reply_json(request, bodies.item_body(custom_id, view.ok_value, line))


def _write_result(request: "WebRequest", result: Result[T, Refusal]) -> bytes:
    if isinstance(result, Err):
        return refuse(request, result.err_value)
    return reply_json(request, result.ok_value)


def _limit(text: bytes) -> int | None:
    if not text:
        return DEFAULT_LIST_LIMIT
    limit = parse_number(text)
    return limit if limit is not None and 1 <= limit <= MAX_LIST_LIMIT else None


def _job_request(request: "WebRequest", caller: str) -> Result[JobRequest, Refusal]:
    parsed = codec.from_json(request.content.read(MAX_BODY_BYTES), bodies.CreateBatch)
    if isinstance(parsed, Err):
        return Err(not_run_refusal(ErrorKind.BAD_REQUEST, parsed.err_value))
    body = parsed.ok_value
    due = _due_ms(request.getHeader("x-papayapier-due") or "")
    if due is None:
        reason = "X-Papayapier-Due: expected milliseconds since the epoch or ISO 8601 with a zone"
        return Err(not_run_refusal(ErrorKind.BAD_REQUEST, reason))
    metadata = body.metadata or {}
    profile = request.getHeader("x-papayapier-profile") or metadata.get("profile", "")
    if not profile:
        reason = "no profile: set X-Papayapier-Profile or metadata.profile"
        return Err(not_run_refusal(ErrorKind.BAD_REQUEST, reason))
    return Ok(
        JobRequest(
            caller=caller,
            key=request.getHeader("idempotency-key") or "",
            file_id=body.input_file_id,
            endpoint=body.endpoint,
            window=body.completion_window,
            metadata=metadata,
            profile=profile,
            due_ms=due,
        )
    )


def _due_ms(text: str) -> int | None:
    """Parse a due time; return 0 if it is empty and None if it is invalid."""
    if not text:
        return 0
    due_ms = parse_number(text)
    if due_ms is not None:
        return due_ms
    try:
        due = datetime.fromisoformat(text)
    except ValueError:
        return None
    return int(due.timestamp() * MS_PER_S) if due.tzinfo is not None else None
