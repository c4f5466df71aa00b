"""Serve callers' online requests: chat, completions, models and plain services.

A request has one call id from here to the upstream. It is derived from the caller and the
Idempotency-Key if there is one, so that a retry through another instance is recognised;
otherwise it is random.
"""

import uuid
from typing import TYPE_CHECKING, Final, NamedTuple

import xxhash
from klein import Klein
from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier import events
from papayapier.clock import MS_PER_S
from papayapier.decoding import parse_number
from papayapier.dispatch.api import OnlineRequest
from papayapier.entry.answers import refuse, reply_json, with_content_length
from papayapier.entry.chat import CHAT_PATH, COMPLETIONS_PATH, ChatAnswer
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.upstream.engine_calls import parse_generation

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.clock import Clock
    from papayapier.config.profiles import Profile
    from papayapier.dispatch.api import OnToken
    from papayapier.entry.callers import CallerAuth
    from papayapier.entry.web import WebRequest
    from papayapier.metrics import Metrics
    from papayapier.upstream.api import Reply, Token

DEFAULT_PROFILE: Final = "default"
SERVICES_PREFIX: Final = "/services/"


class OnlineDeps(NamedTuple):
    """Group the dependencies of the online routes; run gets the request, its key and a callback."""

    clock: "Clock"
    metrics: "Metrics"
    auth: "CallerAuth"
    max_body_bytes: int
    profile: "Callable[[str], Profile | None]"
    upstream_names: "Callable[[], list[str]]"
    run: "Callable[[OnlineRequest, str, OnToken], Awaitable[Result[Reply, Refusal]]]"
    get_refusal: "Callable[[], Refusal | None]"


class _ParsedHeaders(NamedTuple):
    """Hold the parsed headers of a request."""

    caller: str
    profile: "Profile"
    key: str
    due_ms: int
    call_id: str


class ModelEntry(NamedTuple):
    """Describe one model in the OpenAI-style list."""

    id: str
    object: str = "model"


class ModelList(NamedTuple):
    """List models as OpenAI-style clients expect."""

    data: list[ModelEntry]
    object: str = "list"


def add_online_routes(app: Klein, deps: OnlineDeps) -> None:
    """Add the callers' online routes to an app."""

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat(request: "WebRequest") -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(_generate(deps, request, CHAT_PATH))

    @app.route("/v1/completions", methods=["POST"])
    def completions(request: "WebRequest") -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(_generate(deps, request, COMPLETIONS_PATH))

    @app.route("/v1/models", methods=["GET"])
    def models(request: "WebRequest") -> bytes:
        return reply_json(
            request, ModelList([ModelEntry(upstream) for upstream in deps.upstream_names()])
        )

    @app.route(SERVICES_PREFIX + "<name>", methods=["GET", "POST", "PUT", "DELETE", "PATCH"])
    @app.route(
        SERVICES_PREFIX + "<name>/<path:rest>", methods=["GET", "POST", "PUT", "DELETE", "PATCH"]
    )
    def service(request: "WebRequest", name: str, rest: str = "") -> Deferred[bytes | None]:
        return Deferred.fromCoroutine(_service(deps, request, name, rest))


async def _generate(deps: OnlineDeps, request: "WebRequest", path: str) -> bytes | None:
    headers = _parse_headers(deps, request)
    if isinstance(headers, Err):
        return _write_refusal(deps, request, "", headers.err_value)
    body: bytes = request.content.read()
    parsed = parse_generation(body)
    if isinstance(parsed, Err):
        refusal = not_run_refusal(ErrorKind.BAD_REQUEST, parsed.err_value)
        return _write_refusal(deps, request, headers.ok_value.profile.name, refusal)
    mismatch_refusal = _model_mismatch(deps, headers.ok_value.profile, parsed.ok_value.model)
    if mismatch_refusal is not None:
        return _write_refusal(deps, request, headers.ok_value.profile.name, mismatch_refusal)
    model, stream = parsed.ok_value.model, parsed.ok_value.stream
    answer = ChatAnswer(request, path, model, stream, deps.clock.now)
    req = _online_request(headers.ok_value, "POST", path, body, "application/json")
    req = req._replace(generates=True, prefix=parsed.ok_value.prefix)
    result = await _run(deps, req, headers.ok_value.key, answer)
    if isinstance(result, Err):
        return _write_refusal(deps, request, req.profile.name, result.err_value, answer)
    return answer.finish(req.call_id, result.ok_value)


def _model_mismatch(deps: OnlineDeps, profile: "Profile", model: str) -> Refusal | None:
    """Return the refusal if the profile belongs to another upstream than the model, or None.

    A model that is not the name of an upstream may be an adapter, which only the engine knows.
    """
    if model == profile.upstream or model not in deps.upstream_names():
        return None
    reason = f"model: {model} is not served under profile {profile.name}, for {profile.upstream}"
    return not_run_refusal(ErrorKind.BAD_REQUEST, reason)


async def _service(deps: OnlineDeps, request: "WebRequest", name: str, rest: str) -> bytes | None:
    headers = _parse_headers(deps, request)
    if isinstance(headers, Err):
        return _write_refusal(deps, request, "", headers.err_value)
    profile = headers.ok_value.profile
    if profile.upstream != name:
        reason = f"profile {profile.name} is for upstream {profile.upstream}, not {name}"
        return _write_refusal(
            deps, request, profile.name, not_run_refusal(ErrorKind.BAD_REQUEST, reason)
        )
    body: bytes = request.content.read()
    path = _service_path(request, name)
    content_type = request.getHeader("content-type") or "application/octet-stream"
    req = _online_request(headers.ok_value, request.method.decode(), path, body, content_type)
    result = await _run(deps, req, headers.ok_value.key, None)
    if isinstance(result, Err):
        return _write_refusal(deps, request, profile.name, result.err_value)
    reply = result.ok_value
    request.setResponseCode(reply.status)
    request.setHeader(b"Content-Type", reply.content_type.encode())
    return with_content_length(request, reply.body)


def _service_path(request: "WebRequest", name: str) -> str:
    """Return the path after the service's name, with the query unchanged."""
    uri: str = request.uri.decode("ascii", "replace")
    rest = uri[len(SERVICES_PREFIX) + len(name) :]
    return rest if rest.startswith("/") else "/" + rest


def _online_request(
    headers: _ParsedHeaders, method: str, path: str, body: bytes, content_type: str
) -> OnlineRequest:
    return OnlineRequest(
        call_id=headers.call_id,
        caller=headers.caller,
        profile=headers.profile,
        method=method,
        path=path,
        body=body,
        content_type=content_type,
        generates=False,
        prefix="",
        due_ms=headers.due_ms,
    )


def _parse_headers(deps: OnlineDeps, request: "WebRequest") -> Result[_ParsedHeaders, Refusal]:
    refusal = deps.get_refusal()
    if refusal is not None:
        return Err(refusal)
    length = parse_number(request.getHeader("content-length") or "0")
    if length is not None and length > deps.max_body_bytes:
        reason = f"the body is over {deps.max_body_bytes} bytes"
        return Err(not_run_refusal(ErrorKind.TOO_LARGE, reason))
    caller = deps.auth(request)
    if isinstance(caller, Err):
        return caller
    name = request.getHeader("x-papayapier-profile") or DEFAULT_PROFILE
    profile = deps.profile(name)
    if profile is None:
        reason = f"X-Papayapier-Profile: no profile is named {name}"
        return Err(not_run_refusal(ErrorKind.UNKNOWN_PROFILE, reason))
    due = _due_ms(deps, request, profile)
    if isinstance(due, Err):
        return due
    key = request.getHeader("idempotency-key") or ""
    call_id = _call_id(caller.ok_value, key)
    request.setHeader(b"X-Papayapier-Call", call_id.encode())
    request.setHeader(b"X-Request-Id", _request_id(request, call_id))
    return Ok(_ParsedHeaders(caller.ok_value, profile, key, due.ok_value, call_id))


def _due_ms(deps: OnlineDeps, request: "WebRequest", profile: "Profile") -> Result[int, Refusal]:
    """Return when the answer is due; a caller may request less time than the profile allows."""
    now = deps.clock.now()
    stated = request.getHeader("x-papayapier-due-ms")
    if stated is None:
        return Ok(now + profile.due_ms)
    stated_ms = parse_number(stated)
    if stated_ms is None:
        reason = f"X-Papayapier-Due-Ms: expected whole milliseconds, got {stated}"
        return Err(not_run_refusal(ErrorKind.BAD_REQUEST, reason))
    return Ok(now + min(stated_ms, profile.due_ms))


def _request_id(request: "WebRequest", call_id: str) -> bytes:
    """Return the caller's X-Request-Id unchanged, or the call id."""
    return (request.getHeader("x-request-id") or call_id).encode("latin-1")


def _call_id(caller: str, key: str) -> str:
    if not key:
        return uuid.uuid4().hex
    return xxhash.xxh3_128_hexdigest(f"{caller}\n{key}".encode())


async def _run(
    deps: OnlineDeps, req: OnlineRequest, key: str, answer: ChatAnswer | None
) -> Result["Reply", Refusal]:
    started_ms = deps.clock.now()
    try:
        result = await deps.run(req, key, answer.on_token if answer else _ignore_token)
    except CancelledError:
        _log_disconnect(deps, req)
        raise
    if isinstance(result, Ok):
        finished_ms = deps.clock.now()
        first_token_ms = (answer.first_ms if answer else 0) or finished_ms
        profile = req.profile.name
        deps.metrics.requests.labels(profile, "answered").inc()
        deps.metrics.latency.labels(profile).observe((finished_ms - started_ms) / MS_PER_S)
        deps.metrics.first_token.labels(profile).observe((first_token_ms - started_ms) / MS_PER_S)
    elif result.err_value.kind is ErrorKind.CANCELLED:
        _log_disconnect(deps, req)
    return result


def _ignore_token(_token: "Token") -> None:
    """Ignore a token; answers of plain services have none."""


def _log_disconnect(deps: OnlineDeps, req: OnlineRequest) -> None:
    deps.metrics.requests.labels(req.profile.name, "gone").inc()
    events.emit(events.CALLER_GONE, call=req.call_id, profile=req.profile.name)


def _write_refusal(
    deps: OnlineDeps,
    request: "WebRequest",
    profile: str,
    refusal: Refusal,
    answer: ChatAnswer | None = None,
) -> bytes | None:
    if refusal.kind is not ErrorKind.CANCELLED:
        _count_refusal(deps, profile, refusal)
    if answer is not None and answer.started():
        return answer.end_incomplete(refusal)
    return with_content_length(request, refuse(request, refusal))


def _count_refusal(deps: OnlineDeps, profile: str, refusal: Refusal) -> None:
    deps.metrics.requests.labels(profile, "refused").inc()
    deps.metrics.refusals.labels(refusal.kind.value, refusal.outcome.value).inc()
    events.emit(
        events.REQUEST_REFUSED,
        profile=profile,
        kind=refusal.kind.value,
        outcome=refusal.outcome.value,
        reason=refusal.reason,
    )
