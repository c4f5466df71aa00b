"""Forward one caller's request to replicas until it is answered or may not be retried.

The outcome follows the rule of dispatch.attempts: not_run only if no send can have reached a
replica. A resumable stream is resumed at another replica after the last complete event that was
passed on; the caller sees one stream with the head of its first replica.
"""

from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.dispatch.failure_attribution import counts_against_replica
from papayapier.dispatch.forward_placement import choose_for_send, track_silence
from papayapier.dispatch.forward_state import ForwardDeps, ForwardProgress, RawRequest
from papayapier.dispatch.outcome_checks import correct_outcome
from papayapier.dispatch.relayed_stream import CallerStream
from papayapier.dispatch.retrying import (
    Claim,
    claim_parts,
    claim_send,
    decide_retry,
    prepare_retry,
    retry_spacing_ms,
    suspect_refusal,
    wait_for_next_choice,
    wait_for_send_window,
)
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.invariants import Invariant, check_invariant
from papayapier.policy.first_byte import NO_LIMIT
from papayapier.policy.retries import GiveUp, Retry
from papayapier.upstream.api import Failure, FailureKind, OnSilence, Replica, Sent
from papayapier.upstream.event_splitter import NO_EVENT
from papayapier.upstream.forward_call import ForwardAnswer, ForwardCall, ForwardedAnswer

if TYPE_CHECKING:
    from papayapier.dispatch.crash_watch import CrashWatch

# Failures of a replica that is unreachable, removed, or resets each connection or sends broken
# answers at once, and so looks idle.
NO_ANSWER_KINDS: Final = frozenset(
    {FailureKind.TIMED_OUT, FailureKind.CONNECT, FailureKind.TRUNCATED, FailureKind.INVALID}
)
# Labels of the metric of resumed streams.
SAME_VERSION: Final = "same"
OTHER_VERSION: Final = "other"
UNKNOWN_VERSION: Final = "unknown"


async def forward(
    deps: ForwardDeps, req: RawRequest, caller_stream: CallerStream | None
) -> Result[ForwardedAnswer, Refusal]:
    """Return a replica's complete answer, or a refusal whose outcome covers every send made.

    A successful streamed answer is written to caller_stream, and only its status is returned.
    Once caller_stream has begun, the result is that or a refusal.
    """
    progress = ForwardProgress(req, caller_stream, deps.clock.now(), deps.on_stream_begun)
    deps.budget.on_request(req.profile.upstream, deps.clock.now())
    while True:
        found = await _find_replica(deps, req, progress)
        if isinstance(found, Err):
            return _finish(deps, req, progress, found.err_value)
        replica = found.ok_value
        with deps.crashes.track_send(req.fingerprint, replica, req.request_id):
            result = await _send_once(deps, req, replica, progress)
        if isinstance(result, Ok):
            _log_result(deps, req, progress, result.ok_value)
            return result
        decision = _after_failure(deps, req, replica, result.err_value, progress)
        if isinstance(decision, GiveUp):
            return _finish(deps, req, progress, decision.refusal)
        pause_ms = retry_spacing_ms(deps, req.fingerprint, result.err_value, req.due_ms)
        await _before_retry(deps, req, replica, result.err_value, decision, progress, pause_ms)


async def resolve_resumption(deps: ForwardDeps, req: RawRequest) -> Result[RawRequest, Refusal]:
    """Return a request with the version at which its stream must go on, or refuse to resume it."""
    if not req.resumes_stream():
        return Ok(req)
    began_ms = deps.clock.now()
    origin = await deps.find_stream_origin(req.resumed_attempt, req.profile.upstream)
    events.emit(
        events.STREAM_TAKEN_UP,
        request=req.request_id,
        profile=req.profile.name,
        resumed=req.resumed_attempt,
        last_event=req.last_event,
        version=origin.version,
        source=origin.source,
        took_ms=deps.clock.now() - began_ms,
    )
    if origin.version is None:
        deps.metrics.streams_resumed.labels(req.profile.upstream, UNKNOWN_VERSION).inc()
        reason = "the software version that began the stream is not known here"
        return Err(not_run_refusal(ErrorKind.CANNOT_RESUME, reason))
    return Ok(req._replace(stream_version=origin.version))


async def _find_replica(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress
) -> Result[Replica, Refusal]:
    """Return the next replica for a request, once it may be sent."""
    while True:
        await wait_for_send_window(
            deps, req.request_id, req.fingerprint, progress.history, req.due_ms
        )
        quarantine_refusal = get_quarantine_refusal(deps.crashes, req)
        if quarantine_refusal is not None:
            return Err(quarantine_refusal)
        picked = await choose_for_send(deps, req, progress)
        if isinstance(picked, Err):
            refusal = picked.err_value
            if await wait_for_next_choice(deps, progress.history, req.due_ms, refusal):
                continue
            return picked
        replica = picked.ok_value
        claim = await claim_send(
            deps, req.request_id, req.fingerprint, replica, progress.history, req.due_ms
        )
        # The request may have been quarantined while it waited for its placement or permit.
        quarantine_refusal = deps.crashes.refusal(req.request_id, req.fingerprint)
        if quarantine_refusal is not None:
            return Err(quarantine_refusal)
        if claim is Claim.REFUSED:
            return Err(suspect_refusal())
        if claim is Claim.GRANTED:
            part_refusal = await claim_parts(
                deps,
                req.request_id,
                req.profile.upstream,
                req.fingerprint,
                req.get_parts,
                replica,
                req.due_ms,
            )
            return picked if part_refusal is None else Err(part_refusal)


def get_quarantine_refusal(crashes: "CrashWatch", req: RawRequest) -> Refusal | None:
    """Return the refusal of a request that is quarantined, or has a quarantined part, or None."""
    return crashes.refusal(req.request_id, req.fingerprint) or crashes.parts.refusal(
        req.request_id, req.profile.upstream, req.get_parts
    )


def _log_result(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress, answer: ForwardedAnswer
) -> None:
    """Log the result of a request and where its time was spent, in one line."""
    now = deps.clock.now()
    stream = progress.stream
    first_event_ms = stream.first_event_ms if stream is not None else 0
    events.emit(
        events.REQUEST_ENDED,
        request=req.request_id,
        profile=req.profile.name,
        team=req.team,
        upstream=req.profile.upstream,
        status=answer.status,
        kept=answer is progress.failed_answer,
        last_event=progress.last_event(),
        declared=stream is not None and stream.declared,
        replicas=progress.replicas,
        version=progress.version,
        placed=progress.placed_sends,
        held_ms=progress.placement_ms,
        silent_ms=progress.silent_ms,
        waited_ms=progress.began_ms - req.arrived_ms,
        first_ms=(first_event_ms or now) - progress.began_ms,
        run_ms=now - progress.began_ms,
    )


def _finish(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress, refusal: Refusal
) -> Result[ForwardedAnswer, Refusal]:
    """Return a replica's own error answer if there is one, else the refusal.

    The replica's answer says more than a refusal, but does not fit a caller that has received part
    of another replica's stream.
    """
    if progress.failed_answer is not None and not progress.has_begun():
        _log_result(deps, req, progress, progress.failed_answer)
        return Ok(progress.failed_answer)
    return Err(correct_outcome(refusal, progress.history.maybe_sent))


async def _send_once(
    deps: ForwardDeps, req: RawRequest, replica: Replica, progress: ForwardProgress
) -> Result[ForwardedAnswer, Failure]:
    progress.history.send_count += 1
    progress.placed_sends += progress.placed
    progress.replicas.append(replica.id)
    _check_version(deps, req, replica, progress)
    progress.version = replica.version
    started_ms = deps.clock.now()
    deps.load_tracker.on_sent(replica.id, False, started_ms)
    deps.outliers.on_start(replica.id, started_ms)
    deps.on_uses_changed()
    outlier_reported = False
    silent_send = track_silence(deps, req, replica, progress)
    try:
        call = _call(deps, req, replica, progress, started_ms, silent_send.on_silence)
        result = await deps.send(replica, call, progress.stream)
        outlier_reported = isinstance(result, Ok) or counts_against_replica(result.err_value)
    finally:
        silent_send.close()
        progress.on_send_ended(silent_send)
        deps.load_tracker.on_finished(replica.id, False, deps.clock.now())
        deps.on_uses_changed()
        if not outlier_reported:
            deps.outliers.on_no_result(replica.id)
    _report_result(deps, req, replica, result, progress, started_ms)
    if (
        isinstance(result, Ok)
        and isinstance(result.ok_value, ForwardAnswer)
        and not result.ok_value.is_success()
    ):
        return _classify_answer(req, result.ok_value, progress)
    return result


def _check_version(
    deps: ForwardDeps, req: RawRequest, replica: Replica, progress: ForwardProgress
) -> None:
    """Check and count a send that resumes a stream."""
    if progress.last_event() == NO_EVENT:
        return
    is_same = replica.version == progress.stream_version
    known = SAME_VERSION if is_same else OTHER_VERSION
    deps.metrics.streams_resumed.labels(req.profile.upstream, known).inc()
    check_invariant(
        is_same,
        Invariant.STREAM_VERSION,
        request=req.request_id,
        replica=replica.id,
        version=replica.version,
        began=progress.stream_version,
    )


def _classify_answer(
    req: RawRequest, answer: ForwardAnswer, progress: ForwardProgress
) -> Result[ForwardedAnswer, Failure]:
    """Return an error status as the answer, or as a failure if another replica may succeed.

    It is never the answer to a stream that has begun: its caller would take that for complete.
    """
    if not progress.has_begun():
        if answer.status < 500 or not req.profile.idempotent:
            return Ok(answer)
        progress.failed_answer = answer
    reason = f"the replica answered {answer.status}"
    return Err(Failure(FailureKind.STATUS, Sent.MAYBE, reason, answer.status))


def _call(
    deps: ForwardDeps,
    req: RawRequest,
    replica: Replica,
    progress: ForwardProgress,
    now: int,
    on_silence: OnSilence,
) -> ForwardCall:
    left_ms = req.due_ms - now
    attempts_left = req.profile.retry.attempts - progress.history.send_count + 1
    wait_ms = NO_LIMIT
    if req.profile.idempotent:
        upstream, times = req.profile.upstream, deps.first_bytes
        wait_ms = (
            times.placed_limit_ms(upstream, left_ms, attempts_left, req.objective_ms)
            if progress.placed_with_capacity
            else times.limit_ms(upstream, left_ms, attempts_left)
        )
    return ForwardCall(
        req.request_id,
        req.method,
        req.target,
        deps.make_headers(req.headers, replica, left_ms, progress.last_event()),
        req.body,
        req.due_ms,
        progress.history.fresh,
        req.stream,
        wait_ms,
        on_silence,
    )


def _report_result(
    deps: ForwardDeps,
    req: RawRequest,
    replica: Replica,
    result: Result[ForwardedAnswer, Failure],
    progress: ForwardProgress,
    started_ms: int,
) -> None:
    """Report the result of a send to the outlier detection and the first-byte timer."""
    now = deps.clock.now()
    stream = progress.stream
    first_event_ms = stream.first_event_ms if stream is not None else 0
    deps.crashes.on_send_finished(
        req.request_id,
        req.fingerprint,
        replica,
        result,
        started_ms,
        req.get_parts,
        stream.first_data_ms if stream is not None else 0,
    )
    if isinstance(result, Ok):
        waited_ms = (first_event_ms or now) - started_ms
        deps.outliers.on_end(replica.id, result.ok_value.status < 500, float(waited_ms), now)
        deps.first_bytes.observe(req.profile.upstream, waited_ms, progress.first_silence_ms)
        return
    failure = result.err_value
    if failure.kind in NO_ANSWER_KINDS and not first_event_ms:
        deps.on_unanswered(replica)
    if failure.kind is FailureKind.TIMED_OUT and not first_event_ms:
        waited_ms = now - started_ms
        deps.first_bytes.observe(req.profile.upstream, waited_ms, progress.first_silence_ms)
    if failure.sent is Sent.NO and failure.kind is FailureKind.STATUS:
        return
    if counts_against_replica(failure):
        deps.outliers.on_end(replica.id, False, None, now)


def _after_failure(
    deps: ForwardDeps,
    req: RawRequest,
    replica: Replica,
    failure: Failure,
    progress: ForwardProgress,
) -> Retry | GiveUp:
    history = progress.history
    earlier = history.record_failure(failure)
    counted = history.counted_sends(req.profile.retry.attempts)
    return decide_retry(
        deps, req.profile, req.due_ms, replica, failure, earlier, counted, history.moved
    )


async def _before_retry(
    deps: ForwardDeps,
    req: RawRequest,
    replica: Replica,
    failure: Failure,
    retry: Retry,
    progress: ForwardProgress,
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
        version=replica.version,
        attempt=progress.history.send_count,
        kind=failure.kind.value,
        reason=failure.reason,
        last_event=progress.last_event(),
        after_ms=retry.after_ms,
        apart_ms=pause_ms,
    )
    await prepare_retry(deps, req.profile, replica, retry, progress.history, pause_ms)
