"""Serve requests that are forwarded by host and path, unchanged in both directions."""

import random
from functools import partial
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from papayapier import events
from papayapier.clock import MS_PER_S
from papayapier.config.route_table import Route, RouteKind, RouteTable, pick_profile
from papayapier.config.teams import Team, team_name
from papayapier.decoding import parse_number
from papayapier.dispatch.forward_state import RawRequest
from papayapier.dispatch.forwarding import (
    forward,
    get_quarantine_refusal,
    resolve_resumption,
)
from papayapier.dispatch.start_queue import StartQueue, StartRequest
from papayapier.entry.forward_refusals import RefusalDeps, count_refusal, refuse_forwarded
from papayapier.entry.overdue import finish_by
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.invariants import Invariant, check_invariant
from papayapier.policy.waiting import is_repeated, wait_limit_ms
from papayapier.upstream.event_splitter import NO_EVENT
from papayapier.upstream.forward_call import ForwardAnswer, ForwardedAnswer, StreamedAnswer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from twisted.web.http_headers import Headers

    from papayapier.clock import Clock
    from papayapier.dispatch.forward_state import ForwardDeps
    from papayapier.metrics import Metrics
    from papayapier.upstream.exchange import ResponseHead

# Twisted's annotations of this class are incomplete.
_Resource: Any = Resource

# Limit of unsent bytes for a caller that does not read, beyond what the kernel buffers.
MAX_UNREAD_BYTES: Final = 256_000
# Longest wait for a start by a request that does not say how much time it has.
MAX_START_WAIT_MS: Final = 1_000
# Pause between two requests for an allowance; each costs up to two unanswered messages.
GRANT_RETRY_MS: Final = 50


class HeaderNames(NamedTuple):
    """Define the platform's names of the request headers.

    shared_parts returns the parts of a prompt that other prompts may share. presented_keys returns
    the headers in which a caller may send its key; with_team replaces them by the name of the
    caller's team.
    """

    request_id: str
    time_left: str
    prompt: str
    last_event: str
    resumed_attempt: str
    shared_parts: "Callable[[Headers], tuple[str, ...]]"
    end_to_end: "Callable[[Headers], Headers]"
    presented_keys: "Callable[[Headers], Sequence[bytes]]"
    with_team: "Callable[[Headers, str], Headers]"


class JobHandlers(NamedTuple):
    """Hold the handlers of batch jobs; submit accepts a job from a team on a job route.

    parse_call parses a request on any path as a call on a job, or returns None; perform runs the
    call.
    """

    submit: "Callable[[Any, Route, str], Awaitable[None]]"
    parse_call: "Callable[[Any], Any | None]"
    perform: "Callable[[Any, Any, str], Awaitable[None]]"


class ForwardRouteDeps(NamedTuple):
    """Group the dependencies of the routes; table returns None while there is no configuration.

    get_refusal returns the refusal that new requests get, if any. wait_until_routable waits, just
    after a start, until requests can be routed or until a time. allow returns whether a team may
    send one more request. Until starting_until_ms the granter may not be known yet, and callers may
    have waited for this start or come from other instances that did not answer.
    """

    clock: "Clock"
    rand: "random.Random"
    metrics: "Metrics"
    refusals: RefusalDeps
    names: HeaderNames
    table: "Callable[[], RouteTable | None]"
    get_refusal: "Callable[[], Refusal | None]"
    wait_until_routable: "Callable[[int], Awaitable[None]]"
    queue: StartQueue
    forward: "ForwardDeps"
    allow: "Callable[[Team, bool], Awaitable[Result[None, Refusal]]]"
    starting_until_ms: int
    jobs: JobHandlers


class ForwardResource(_Resource):  # type: ignore[misc]
    """Handle every request on the callers' address."""

    isLeaf = True  # noqa: N815

    def __init__(self, routes: ForwardRouteDeps) -> None:
        super().__init__()
        self._routes = routes

    def render(self, request: Any) -> Any:
        """Serve one request, and cancel it when its caller disconnects."""
        request.log_id = request.getHeader(self._routes.names.request_id) or ""
        serving = Deferred.fromCoroutine(_serve(self._routes, request))
        request.notifyFinish().addErrback(_on_disconnect, request, serving)
        serving.addErrback(_on_failure, request)
        return NOT_DONE_YET


def _on_disconnect(_why: object, request: Any, serving: Deferred[None]) -> None:
    """Cancel the request of a caller that has disconnected, unless it must complete.

    A call on a job completes without its caller: a record whose write has begun must be settled,
    and the caller may retry at another instance.
    """
    request.is_disconnected = True
    if not request.detached:
        serving.cancel()


def _on_failure(failure: Any, request: Any) -> None:
    if request.is_disconnected and failure.check(CancelledError, ConnectionDone, ConnectionLost):
        return
    if not request.is_disconnected and not request.startedWriting:
        request.processingFailed(failure)
        return
    events.emit(
        events.REQUEST_CRASHED,
        request=request.log_id,
        path=request.path.decode("ascii", "replace"),
        error=repr(failure.value),
        traceback=failure.getTraceback(),
    )
    if not request.is_disconnected:
        # Anything written now would look like part of the replica's answer.
        request.channel.transport.abortConnection()


async def _serve(routes: ForwardRouteDeps, request: Any) -> None:
    arrived_ms = routes.clock.now()
    refusal = routes.get_refusal()
    if refusal is not None:
        refuse_forwarded(routes.refusals, request, "", refusal)
        return
    left_ms = _number(request.getHeader(routes.names.time_left), MAX_START_WAIT_MS)
    await routes.wait_until_routable(arrived_ms + (left_ms or 0))
    table = routes.table()
    if table is None:
        reason = "no configuration is known yet"
        refuse_forwarded(
            routes.refusals, request, "", not_run_refusal(ErrorKind.NO_UPSTREAM, reason, MS_PER_S)
        )
        return
    host = request.getHeader("host") or ""
    call = routes.jobs.parse_call(request)
    if call is not None:
        team_result = table.authenticate(
            table.has_public_jobs(host), _presented_keys(routes, request)
        )
        if isinstance(team_result, Err):
            refuse_forwarded(routes.refusals, request, "", team_result.err_value)
            return
        request.detached = True
        await routes.jobs.perform(request, call, team_name(team_result.ok_value))
        return
    route = table.find(host, request.path.decode("latin-1"))
    if route is None:
        reason = f"no route for host {host}, configuration {table.cfg.version}"
        refuse_forwarded(routes.refusals, request, "", not_run_refusal(ErrorKind.NOT_FOUND, reason))
        return
    team_result = table.authenticate(route.public, _presented_keys(routes, request))
    if isinstance(team_result, Err):
        refuse_forwarded(routes.refusals, request, route.name, team_result.err_value)
    elif route.kind is RouteKind.JOB:
        request.detached = True
        await routes.jobs.submit(request, route, team_name(team_result.ok_value))
    else:
        await _forward(routes, request, route, team_result.ok_value, arrived_ms)


def _presented_keys(routes: ForwardRouteDeps, request: Any) -> "Sequence[bytes]":
    return routes.names.presented_keys(request.requestHeaders)


async def _forward(
    routes: ForwardRouteDeps, request: Any, route: Route, team: Team | None, arrived_ms: int
) -> None:
    now = routes.clock.now()
    parsed = _read_request(routes, request, route, team, now)
    if isinstance(parsed, Err):
        refuse_forwarded(routes.refusals, request, route.name, parsed.err_value)
        return
    # The objective counts from now, the caller's time from the arrival of its request.
    req = parsed.ok_value._replace(due_ms=parsed.ok_value.due_ms - (now - arrived_ms))
    quarantine_refusal = get_quarantine_refusal(routes.forward.crashes, req)
    if quarantine_refusal is not None:
        refuse_forwarded(routes.refusals, request, route.name, quarantine_refusal, req.due_ms)
        return
    caller_stream = _CallerStream(routes, request, req) if req.stream else None

    async def run() -> Result[ForwardedAnswer, Refusal]:
        resolved = await resolve_resumption(routes.forward, req)
        if isinstance(resolved, Err):
            return resolved
        send = partial(forward, routes.forward, resolved.ok_value, caller_stream)
        return await _run(routes, req, team, send)

    try:
        result = await finish_by(routes.clock, req.due_ms, req.request_id, run())
    except CancelledError:
        if request.is_disconnected:
            routes.metrics.requests.labels(route.name, "gone").inc()
            events.emit(events.CALLER_GONE, request=req.request_id, profile=route.name)
        raise
    _finish(routes, request, req, result, caller_stream)


async def _run(
    routes: ForwardRouteDeps,
    req: RawRequest,
    team: Team | None,
    send: "Callable[[], Awaitable[Result[ForwardedAnswer, Refusal]]]",
) -> Result[ForwardedAnswer, Refusal]:
    """Run a request once its team may send it and the queue admits it."""
    allowed = Ok(None) if team is None else await _request_allowance(routes, req, team)
    if isinstance(allowed, Err):
        return allowed
    # Counts from now, so that a request is not refused because it waited for a grant.
    due_ms = min(req.due_ms, routes.clock.now() + wait_limit_ms(req.objective_ms))
    start_request = StartRequest(req.profile, req.caller(), due_ms, req.rank)
    return await routes.queue.run(start_request, send, learn_duration=False)


async def _request_allowance(
    routes: ForwardRouteDeps, req: RawRequest, team: Team
) -> Result[None, Refusal]:
    """Request a team's allowance; retry where a refusal would be final or is unconfirmed."""
    while True:
        result = await routes.allow(team, req.is_retry)
        if isinstance(result, Ok):
            return result
        wait_ms = _allowance_retry_ms(routes, req, result.err_value)
        if not wait_ms:
            return result
        await routes.clock.sleep(wait_ms)


def _allowance_retry_ms(routes: ForwardRouteDeps, req: RawRequest, refusal: Refusal) -> int:
    """Return the delay before an allowance is requested again, in ms; 0 if the refusal is final.

    While no granter answers, a request whose caller may not retry waits. Just after a start,
    granters begin with small allowances while all delayed requests arrive at once.
    """
    if refusal.kind is ErrorKind.NOT_GRANTED and not req.may_retry:
        wait_ms, until_ms = GRANT_RETRY_MS, req.due_ms
    elif refusal.kind is ErrorKind.OVER_ALLOWANCE:
        wait_ms, until_ms = refusal.retry_after_ms, min(req.due_ms, routes.starting_until_ms)
    else:
        return 0
    return wait_ms if routes.clock.now() + wait_ms < until_ms else 0


def _read_request(
    routes: ForwardRouteDeps, request: Any, route: Route, team: Team | None, now: int
) -> Result[RawRequest, Refusal]:
    names = routes.names
    request_id = request.getHeader(names.request_id) or ""
    if not request_id:
        return Err(not_run_refusal(ErrorKind.BAD_REQUEST, f"{names.request_id}: missing"))
    left_ms = _number(request.getHeader(names.time_left), route.timeout_ms)
    if left_ms is None:
        return Err(
            not_run_refusal(ErrorKind.BAD_REQUEST, f"{names.time_left}: not whole milliseconds")
        )
    limit_ms = min(left_ms, route.timeout_ms) if route.timeout_ms else left_ms
    last_id = _number(request.getHeader(names.last_event), NO_EVENT)
    if last_id is None:
        return Err(not_run_refusal(ErrorKind.BAD_REQUEST, f"{names.last_event}: not a number"))
    resumed = request.getHeader(names.resumed_attempt) or ""
    is_retry = is_repeated(left_ms, route.timeout_ms)
    rank = route.rank if team is None or team.rank is None else team.rank
    headers = names.end_to_end(request.requestHeaders)
    if team is not None:
        headers = names.with_team(headers, team.name)
    return Ok(
        RawRequest(
            request_id=request_id,
            profile=pick_profile(route, _upstream_rand(routes, route, request_id, resumed), rank),
            method=request.method.decode("latin-1"),
            target=request.uri.decode("latin-1"),
            headers=headers,
            body=request.take_body(),
            stream=route.kind is RouteKind.STREAM,
            prompt=_shared_prompt(request.getHeader(names.prompt)) if route.route_by_prompt else "",
            due_ms=now + limit_ms,
            last_event=last_id,
            resumed_attempt=resumed,
            arrived_ms=now,
            team=team_name(team),
            rank=rank,
            objective_ms=route.objective_ms,
            is_retry=is_retry,
            may_retry=not is_retry and now >= routes.starting_until_ms,
            get_parts=partial(names.shared_parts, headers),
        )
    )


def _upstream_rand(
    routes: ForwardRouteDeps, route: Route, request_id: str, resumed: str
) -> "random.Random":
    """Return the randomness that selects the upstream of a request.

    All attempts that resume a stream select the upstream of its first attempt.
    """
    if not route.resumable or len(route.shares) == 1:
        return routes.rand
    return random.Random(resumed or request_id)


def _number(text: str | None, default: int) -> int | None:
    return default if text is None else parse_number(text)


def _shared_prompt(parts: str | None) -> str:
    """Return the first part of the prompt header, which many requests share."""
    return (parts or "").partition(":")[0]


class _CallerStream:
    """Write a stream to its caller as it arrives."""

    def __init__(self, routes: ForwardRouteDeps, request: Any, req: RawRequest) -> None:
        self._routes = routes
        self._request = request
        self._req = req
        self.started = False

    def begin(self, answer: "ResponseHead") -> None:
        self.started = True
        _write_head(self._routes, self._request, answer.status, answer.headers)

    def write(self, data: bytes) -> None:
        self._request.write_now(data)
        if (
            self._request.channel is not None
            and self._request.channel.unsent_bytes() > MAX_UNREAD_BYTES
        ):
            events.emit(events.CALLER_SLOW, request=self._req.request_id)
            self._request.channel.transport.abortConnection()


def _write_head(routes: ForwardRouteDeps, request: Any, status: int, headers: "Headers") -> None:
    request.setResponseCode(status)
    for name, values in routes.names.end_to_end(headers).getAllRawHeaders():
        request.responseHeaders.setRawHeaders(name, values)


def _finish(
    routes: ForwardRouteDeps,
    request: Any,
    req: RawRequest,
    result: Result[ForwardedAnswer, Refusal],
    caller_stream: _CallerStream | None,
) -> None:
    name = req.profile.name
    if request.is_disconnected:
        # The caller disconnected while the end of the answer was on its way.
        events.emit(events.CALLER_GONE, request=req.request_id, profile=name)
        return
    has_begun = caller_stream is not None and caller_stream.started
    if isinstance(result, Ok):
        _finish_answer(routes, request, req, result.ok_value, has_begun)
    elif has_begun:
        # A truncated stream must not look complete: abort the connection without a last chunk.
        count_refusal(routes.refusals, req.request_id, name, result.err_value)
        request.channel.transport.abortConnection()
    else:
        refuse_forwarded(routes.refusals, request, name, result.err_value, req.due_ms)


def _finish_answer(
    routes: ForwardRouteDeps,
    request: Any,
    req: RawRequest,
    answer: ForwardedAnswer,
    has_begun: bool,
) -> None:
    """End an answer that was streamed, or write one of which nothing has been sent yet."""
    is_consistent = isinstance(answer, StreamedAnswer) == has_begun
    check_invariant(
        is_consistent, Invariant.ANSWER_OWN, request=req.request_id, status=answer.status
    )
    if not is_consistent:
        request.channel.transport.abortConnection()
        return
    name = req.profile.name
    routes.metrics.requests.labels(name, "answered").inc()
    latency_s = (routes.clock.now() - req.arrived_ms) / MS_PER_S
    routes.metrics.latency.labels(name).observe(latency_s)
    if isinstance(answer, ForwardAnswer):
        _write_answer(routes, request, answer)
    request.finish()


def _write_answer(routes: ForwardRouteDeps, request: Any, answer: ForwardAnswer) -> None:
    _write_head(routes, request, answer.status, answer.headers)
    request.setHeader(b"Content-Length", str(len(answer.body)).encode())
    request.write(answer.body)
