"""Forward one caller's request to replicas until it is answered or may not be retried.

The outcome follows the rule of dispatch.attempts: not_run only if no send can have reached a
replica. A resumable stream is resumed at another replica after the last complete event that was
passed on; the caller sees one stream with the head of its first replica.
"""

from typing import Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.dispatch.again import apart_ms, before_again, decide_again, may_send, wait_for_turn
from papayapier.dispatch.blame import blames_replica
from papayapier.dispatch.forward_state import ForwardDeps, Progress, RawRequest
from papayapier.dispatch.passed_streams import Reader
from papayapier.dispatch.truth import make_true
from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.policy.first_byte import NO_LIMIT
from papayapier.policy.placers import Wanting
from papayapier.policy.retries import GiveUp, Retry
from papayapier.policy.routing import RouteRequest, pick_replica
from papayapier.policy.waiting import start_by_ms, wait_limit_ms
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.event_cutter import NO_EVENT
from papayapier.upstream.raw import Answered, RawAnswer, RawCall

FULL_RETRY_MS: Final = 200
# Failures of a replica that is unreachable, removed, or resets each connection and so looks idle.
UNANSWERED: Final = frozenset({FailureKind.SILENT, FailureKind.CONNECT, FailureKind.CUT})
# After an answer that the request did not run, another replica is tried. This many rejections are
# enough to find a free one among a dozen, and bound the cost of a request.
REJECTIONS_MAX: Final = 4


async def forward(
    deps: ForwardDeps, req: RawRequest, reader: Reader | None
) -> Result[Answered, Refusal]:
    """Return a replica's complete answer, or a refusal whose outcome covers every send made.

    A successful streamed answer is written to the reader, and only its status is returned.
    Once the reader has begun, the result is that or a refusal.
    """
    progress = Progress(req, reader, deps.clock.now())
    deps.budget.on_request(req.profile.upstream, deps.clock.now())
    while True:
        found = await _find_replica(deps, req, progress)
        if isinstance(found, Err):
            return _end(deps, req, progress, found.err_value)
        replica = found.ok_value
        sent = await _send_once(deps, req, replica, progress)
        if isinstance(sent, Ok):
            _note_end(deps, req, progress, sent.ok_value)
            return sent
        decision = _after_failure(deps, req, replica, sent.err_value, progress)
        if isinstance(decision, GiveUp):
            return _end(deps, req, progress, decision.refusal)
        pause_ms = apart_ms(deps, req.work, sent.err_value, req.due_ms)
        await _before_retry(deps, req, replica, sent.err_value, decision, progress, pause_ms)


async def _find_replica(
    deps: ForwardDeps, req: RawRequest, progress: Progress
) -> Result[Replica, Refusal]:
    """Return the next replica for a request, once it may be sent."""
    while True:
        await wait_for_turn(deps, req.request_id, req.work, progress.tries, req.due_ms)
        held = deps.crashes.refusal(req.request_id, req.work)
        if held is not None:
            return Err(held)
        picked = await _pick(deps, req, progress)
        if isinstance(picked, Err):
            return picked
        # The request may have been quarantined while it waited for its placement.
        held = deps.crashes.refusal(req.request_id, req.work)
        if held is not None:
            return Err(held)
        if may_send(deps, req.work, progress.tries):
            return picked


def _note_end(deps: ForwardDeps, req: RawRequest, progress: Progress, answer: Answered) -> None:
    """Log the result of a request and where its time was spent, in one line."""
    now = deps.clock.now()
    stream = progress.stream
    first = stream.began_ms if stream is not None else 0
    events.emit(
        events.REQUEST_ENDED,
        request=req.request_id,
        profile=req.profile.name,
        team=req.team,
        upstream=req.profile.upstream,
        status=answer.status,
        kept=answer is progress.answer,
        last_event=stream.last_event() if stream is not None else NO_EVENT,
        declared=stream is not None and stream.declared,
        replicas=progress.replicas,
        placed=progress.placed,
        held_ms=progress.held_ms,
        waited_ms=progress.began_ms - req.arrived_ms,
        first_ms=(first or now) - progress.began_ms,
        run_ms=now - progress.began_ms,
    )


def _end(
    deps: ForwardDeps, req: RawRequest, progress: Progress, refusal: Refusal
) -> Result[Answered, Refusal]:
    """Return a replica's own error answer if there is one, else the refusal.

    The replica's answer says more than a refusal, but does not fit a caller that has received part
    of another replica's stream.
    """
    if progress.answer is not None and not progress.begun():
        _note_end(deps, req, progress, progress.answer)
        return Ok(progress.answer)
    return Err(make_true(refusal, progress.tries.maybe_sent))


async def _pick(deps: ForwardDeps, req: RawRequest, progress: Progress) -> Result[Replica, Refusal]:
    """Return the replica that a placer chose, or one chosen from local knowledge."""
    upstream = req.profile.upstream
    route = RouteRequest(
        upstream,
        req.prompt,
        deps.data_centre,
        progress.tries.excluded,
        idempotent=req.profile.idempotent,
        told=True,
        fresh=deps.fresh(),
    )
    asked = deps.clock.now()
    placed = await deps.place(route, _wanting(deps, req, progress, asked))
    progress.held_ms += deps.clock.now() - asked
    progress.has_place = False
    if placed.refusal is not None:
        return Err(placed.refusal)
    for replica in deps.book.usable(upstream, deps.clock.now()):
        if replica.id == placed.replica:
            progress.placed += 1
            progress.has_place = placed.has_room
            return Ok(replica)
    picked = pick_replica(deps.book, deps.outliers, route, deps.rand, deps.clock.now())
    return Err(_no_replica(req)) if picked is None else Ok(picked)


def _wanting(deps: ForwardDeps, req: RawRequest, progress: Progress, now: int) -> Wanting:
    """Return the remaining times until the request must start or be refused.

    A request that has already been sent may not be refused with a request to retry.
    """
    usual_ms = deps.first_bytes.usual_ms(req.profile.upstream)
    start_by = start_by_ms(req.arrived_ms, req.objective_ms, usual_ms)
    return_by = req.arrived_ms + wait_limit_ms(req.objective_ms)
    stays = not req.may_return or progress.tries.made > 0
    return Wanting(
        req.caller(),
        req.rank,
        max(1, start_by - now),
        max(1, req.due_ms - now - round(min(usual_ms, req.objective_ms))),
        0 if stays else max(0, return_by - now),
    )


def _no_replica(req: RawRequest) -> Refusal:
    reason = f"upstream {req.profile.upstream} has no usable replica"
    return not_run(ErrorKind.NO_UPSTREAM, reason, FULL_RETRY_MS)


async def _send_once(
    deps: ForwardDeps, req: RawRequest, replica: Replica, progress: Progress
) -> Result[Answered, Failure]:
    progress.tries.made += 1
    progress.replicas.append(replica.id)
    started = deps.clock.now()
    deps.book.on_sent(replica.id, False, started)
    deps.outliers.on_start(replica.id, started)
    deps.uses_changed()
    verdict = False
    try:
        call = _call(deps, req, replica, progress, started)
        sent = await deps.send(replica, call, progress.stream)
        verdict = isinstance(sent, Ok) or blames_replica(sent.err_value)
    finally:
        deps.book.on_done(replica.id, False, deps.clock.now())
        deps.uses_changed()
        if not verdict:
            deps.outliers.on_dropped(replica.id)
    _learn(deps, req, replica, sent, progress, started)
    if isinstance(sent, Ok) and isinstance(sent.ok_value, RawAnswer) and not sent.ok_value.good():
        return _judge_answer(req, sent.ok_value, progress)
    return sent


def _judge_answer(
    req: RawRequest, answer: RawAnswer, progress: Progress
) -> Result[Answered, Failure]:
    """Return an error status as the answer, or as a failure if another replica may succeed.

    It is never the answer to a stream that has begun: its caller would take that for complete.
    """
    if not progress.begun():
        if answer.status < 500 or not req.profile.idempotent:
            return Ok(answer)
        progress.answer = answer
    reason = f"the replica answered {answer.status}"
    return Err(Failure(FailureKind.STATUS, Sent.MAYBE, reason, answer.status))


def _call(
    deps: ForwardDeps, req: RawRequest, replica: Replica, progress: Progress, now: int
) -> RawCall:
    left_ms = req.due_ms - now
    attempts_left = req.profile.retry.attempts - progress.tries.made + 1
    wait_ms = NO_LIMIT
    if req.profile.idempotent:
        upstream, times = req.profile.upstream, deps.first_bytes
        wait_ms = (
            times.placed_limit_ms(upstream, left_ms, attempts_left, req.objective_ms)
            if progress.has_place
            else times.limit_ms(upstream, left_ms, attempts_left)
        )
    last_event = progress.stream.last_event() if progress.stream is not None else NO_EVENT
    return RawCall(
        req.request_id,
        req.method,
        req.target,
        deps.head(req.headers, replica, left_ms, last_event),
        req.body,
        req.due_ms,
        progress.tries.fresh,
        req.stream,
        wait_ms,
    )


def _learn(
    deps: ForwardDeps,
    req: RawRequest,
    replica: Replica,
    sent: Result[Answered, Failure],
    progress: Progress,
    started: int,
) -> None:
    """Report the result of a send to the outlier detection and the first-byte timer."""
    now = deps.clock.now()
    began = progress.stream.began_ms if progress.stream is not None else 0
    deps.crashes.sent(req.request_id, req.work, replica, sent, started)
    if isinstance(sent, Ok):
        waited = (began or now) - started
        deps.outliers.on_end(replica.id, sent.ok_value.status < 500, float(waited), now)
        deps.first_bytes.observe(req.profile.upstream, waited)
        return
    failure = sent.err_value
    if failure.kind in UNANSWERED and not began:
        deps.unanswered(replica)
    if failure.kind is FailureKind.SILENT and not began:
        deps.first_bytes.observe(req.profile.upstream, now - started)
    if failure.sent is Sent.NO and failure.kind is FailureKind.STATUS:
        return
    if blames_replica(failure):
        deps.outliers.on_end(replica.id, False, None, now)


def _after_failure(
    deps: ForwardDeps, req: RawRequest, replica: Replica, failure: Failure, progress: Progress
) -> Retry | GiveUp:
    tries = progress.tries
    earlier = tries.note(failure)
    # A send that did not run does not count towards the attempts that the route allows.
    counted = tries.made - tries.rejections
    if tries.rejections >= REJECTIONS_MAX:
        counted = req.profile.retry.attempts
    return decide_again(deps, req.profile, req.due_ms, replica, failure, earlier, counted)


async def _before_retry(
    deps: ForwardDeps,
    req: RawRequest,
    replica: Replica,
    failure: Failure,
    retry: Retry,
    progress: Progress,
    pause_ms: int,
) -> None:
    stream = progress.stream
    if stream is not None:
        stream.restart()
    events.emit(
        events.REQUEST_RETRIED,
        request=req.request_id,
        profile=req.profile.name,
        replica=replica.id,
        attempt=progress.tries.made,
        kind=failure.kind.value,
        reason=failure.reason,
        last_event=stream.last_event() if stream is not None else NO_EVENT,
        after_ms=retry.after_ms,
        apart_ms=pause_ms,
    )
    await before_again(deps, req.profile, replica, retry, progress.tries, pause_ms)
