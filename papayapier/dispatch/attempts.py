"""Send one online request to replicas until it is answered or may not be retried.

A request is refused as not_run only if none of its sends can have reached a replica. One send
with an unknown outcome makes the outcome of the request unknown, whatever the later sends did.

If the profile is idempotent, a stream that breaks off is resumed on another replica of the same
software version after the tokens already received; the caller sees one stream.
"""

from functools import partial
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.dispatch.failure_attribution import counts_against_replica, rejection
from papayapier.dispatch.outcome_checks import check_send, correct_outcome
from papayapier.dispatch.retrying import (
    Claim,
    SendHistory,
    claim_parts,
    claim_send,
    decide_retry,
    excluded_while_silent,
    may_move_silent,
    prepare_retry,
    retry_spacing_ms,
    suspect_refusal,
    wait_for_next_choice,
    wait_for_send_window,
)
from papayapier.dispatch.silent_sends import SilentSend, SilentSendDeps
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.policy.first_byte import NO_LIMIT
from papayapier.policy.retries import GiveUp, Retry
from papayapier.policy.routing import RouteRequest, has_room, pick_replica
from papayapier.policy.stream_versions import replicas_of_version, version_gone_refusal
from papayapier.upstream.api import (
    Call,
    Failure,
    FailureKind,
    OnSilence,
    Replica,
    Reply,
    Silence,
    Token,
)
from papayapier.upstream.engine_calls import streaming_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.dispatch.api import DispatchDeps, OnlineRequest, OnToken

NO_REPLICA_RETRY_MS: Final = 1_000


class _Progress:
    """Hold what one request has sent and received over all its attempts."""

    __slots__ = (
        "began_ms",
        "first_silence_ms",
        "first_token_ms",
        "found",
        "history",
        "parts",
        "send_first_ms",
        "version",
    )

    def __init__(self, began_ms: int, fresh: bool) -> None:
        self.history = SendHistory(fresh)
        self.began_ms = began_ms
        self.first_token_ms = 0
        # When the first token of the current send arrived, 0 before that.
        self.send_first_ms = 0
        self.parts: list[str] = []
        # The replica of the next send, found while the present one was silent.
        self.found: Replica | None = None
        # How long the first silence of the last send was when it was noticed, 0 without any.
        self.first_silence_ms = 0
        # The software version that wrote the parts; None if there are none.
        self.version: str | None = None

    def on_send_ended(self, silent_send: SilentSend) -> None:
        """Record what the silence of a replica has led to."""
        self.found = silent_send.found
        self.first_silence_ms = silent_send.first_ms
        self.history.moved |= silent_send.found is not None

    def text(self) -> str:
        return "".join(self.parts)


async def send_until_answered(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    on_token: "OnToken",
    preempt_batch: "Callable[[str], None]",
) -> Result[Reply, Refusal]:
    """Return the complete answer, or a refusal whose outcome covers every send made.

    preempt_batch is called with the replica before each send, when the call is already counted.
    """
    now = deps.clock.now()
    progress = _Progress(now, fresh=not req.profile.idempotent)
    deps.budget.on_request(req.profile.upstream, now)
    while True:
        await wait_for_send_window(deps, req.call_id, req.fingerprint, progress.history, req.due_ms)
        quarantine_refusal = deps.crashes.refusal(req.call_id, req.fingerprint)
        if quarantine_refusal is not None:
            return Err(correct_outcome(quarantine_refusal, progress.history.maybe_sent))
        picked = _choose_for_send(deps, req, progress)
        if isinstance(picked, Err):
            refusal = picked.err_value
            if await wait_for_next_choice(deps, progress.history, req.due_ms, refusal):
                continue
            return Err(correct_outcome(refusal, progress.history.maybe_sent))
        replica = picked.ok_value
        claim = await claim_send(
            deps, req.call_id, req.fingerprint, replica, progress.history, req.due_ms
        )
        quarantine_refusal = deps.crashes.refusal(req.call_id, req.fingerprint)
        if quarantine_refusal is not None:
            return Err(correct_outcome(quarantine_refusal, progress.history.maybe_sent))
        if claim is Claim.REFUSED:
            return Err(correct_outcome(suspect_refusal(), progress.history.maybe_sent))
        if claim is Claim.WAITING:
            continue
        part_refusal = await claim_parts(
            deps,
            req.call_id,
            req.profile.upstream,
            req.fingerprint,
            req.shared_parts,
            replica,
            req.due_ms,
        )
        if part_refusal is not None:
            return Err(correct_outcome(part_refusal, progress.history.maybe_sent))
        with deps.crashes.track_send(req.fingerprint, replica, req.call_id):
            result = await _send_once(deps, req, replica, progress, on_token, preempt_batch)
        if isinstance(result, Ok):
            return Ok(_join_parts(result.ok_value, progress))
        decision = _after_failure(deps, req, replica, result.err_value, progress)
        if isinstance(decision, GiveUp):
            return Err(correct_outcome(decision.refusal, progress.history.maybe_sent))
        pause_ms = retry_spacing_ms(deps, req.fingerprint, result.err_value, req.due_ms)
        await _before_retry(deps, req, replica, decision, progress, pause_ms)


def _choose_for_send(
    deps: "DispatchDeps", req: "OnlineRequest", progress: _Progress
) -> Result[Replica, Refusal]:
    """Return the replica for which a silent one was given up if it is usable, or another."""
    found, progress.found = progress.found, None
    usable = deps.load_tracker.usable_replicas(req.profile.upstream, deps.clock.now())
    if found is not None and found in usable:
        return Ok(found)
    return _pick(deps, req, progress, progress.history.excluded)


def _pick(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    progress: _Progress,
    excluded: frozenset[str],
) -> Result[Replica, Refusal]:
    upstream = req.profile.upstream
    now = deps.clock.now()
    route = RouteRequest(
        upstream,
        req.prefix,
        deps.data_centre,
        excluded,
        idempotent=req.profile.idempotent,
    )
    if progress.version is not None:
        usable = deps.load_tracker.usable_replicas(upstream, now)
        candidates = replicas_of_version(usable, progress.version)
        if not candidates:
            return Err(version_gone_refusal(progress.version))
        route = route._replace(candidates=candidates)
    replica = pick_replica(deps.load_tracker, deps.outliers, route, deps.rand, now)
    return Err(_no_replica(req)) if replica is None else Ok(replica)


def _no_replica(req: "OnlineRequest") -> Refusal:
    reason = f"upstream {req.profile.upstream} has no usable replica"
    return not_run_refusal(ErrorKind.NO_UPSTREAM, reason, NO_REPLICA_RETRY_MS)


async def _send_once(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    replica: Replica,
    progress: _Progress,
    on_token: "OnToken",
    preempt_batch: "Callable[[str], None]",
) -> Result[Reply, Failure]:
    progress.history.send_count += 1
    progress.send_first_ms = 0
    started_ms = deps.clock.now()
    deps.load_tracker.on_sent(replica.id, False, started_ms)
    deps.outliers.on_start(replica.id, started_ms)
    deps.on_uses_changed()
    outlier_reported = False
    silent_send = _track_silence(deps, req, replica, progress)
    try:
        # Must follow on_sent: the number of batch streams to cancel depends on the counted calls.
        preempt_batch(replica.id)
        may_run_again = req.profile.idempotent or not progress.history.maybe_sent
        check_send(deps.load_tracker, replica, req.call_id, may_run_again, started_ms)
        first_byte_ms = _first_byte_ms(deps, req, progress, started_ms)
        call = _call(req, progress, first_byte_ms, silent_send.on_silence)
        receive = _receiver(deps, req, call, replica, progress, on_token)
        result = await deps.upstreams.send(replica, call, receive)
        outlier_reported = isinstance(result, Ok) or counts_against_replica(result.err_value)
    finally:
        silent_send.close()
        progress.on_send_ended(silent_send)
        deps.load_tracker.on_finished(replica.id, False, deps.clock.now())
        deps.on_uses_changed()
        if not outlier_reported:
            deps.outliers.on_no_result(replica.id)
    deps.crashes.on_send_finished(
        req.call_id,
        req.fingerprint,
        replica,
        result,
        started_ms,
        req.shared_parts,
        progress.send_first_ms,
    )
    lasted_ms = deps.clock.now() - started_ms
    _report_result(deps, req, replica, result, lasted_ms, progress.first_silence_ms)
    return result


def _track_silence(
    deps: "DispatchDeps", req: "OnlineRequest", replica: Replica, progress: _Progress
) -> SilentSend:
    """Return the tracker of the silence of a send that is about to be made."""

    def may_move() -> bool:
        return may_move_silent(
            deps, req.profile, req.fingerprint, req.due_ms, replica, progress.history.send_count
        )

    async def find_other(silence: Silence) -> Replica | None:
        excluded = excluded_while_silent(deps, replica, silence, progress.history)
        picked = _pick(deps, req, progress, excluded)
        if isinstance(picked, Err) or picked.ok_value.id in excluded:
            return None
        other = picked.ok_value
        return other if has_room(deps.load_tracker, other, deps.clock.now()) else None

    def on_waiting(silence: Silence) -> None:
        if not silence.reused:
            deps.outliers.on_end(replica.id, False, None, deps.clock.now())

    return SilentSend(
        SilentSendDeps(
            req.call_id,
            replica,
            deps.metrics,
            may_move,
            find_other,
            on_waiting,
            partial(deps.crashes.has_ended, replica.id),
        )
    )


def _receiver(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    call: Call,
    replica: Replica,
    progress: _Progress,
    on_token: "OnToken",
) -> "OnToken":
    """Return the callback that receives the tokens of one send."""

    def receive(token: Token) -> None:
        progress.send_first_ms = progress.send_first_ms or deps.clock.now()
        if not progress.parts:
            progress.first_token_ms = deps.clock.now() - progress.began_ms
            progress.version = replica.version
        progress.parts.append(token.text)
        on_token(_with_call_id(token, req, call))

    return receive


def _first_byte_ms(
    deps: "DispatchDeps", req: "OnlineRequest", progress: _Progress, now: int
) -> int:
    """Return the first-byte timeout of this attempt; requests that may not be retried have none."""
    if not req.profile.idempotent:
        return NO_LIMIT
    attempts_left = req.profile.retry.attempts - progress.history.send_count + 1
    return deps.first_bytes.limit_ms(req.profile.upstream, req.due_ms - now, attempts_left)


def _call(
    req: "OnlineRequest", progress: _Progress, first_byte_ms: int, on_silence: OnSilence
) -> Call:
    body = req.body
    if req.generates:
        body = streaming_body(req.body, progress.text())
    return Call(
        call_id=req.call_id,
        request_id=_request_id(req, progress.history.send_count),
        method=req.method,
        path=req.path,
        body=body,
        content_type=req.content_type,
        stream=req.generates,
        due_ms=req.due_ms,
        new_connection=progress.history.fresh,
        plain_service=not req.generates,
        first_byte_ms=first_byte_ms,
        on_silence=on_silence,
    )


def _request_id(req: "OnlineRequest", attempt: int) -> str:
    """Return the id of one send; a late answer to an earlier send must not match a later one."""
    return req.call_id if attempt == 1 else f"{req.call_id}-{attempt}"


def _with_call_id(token: Token, req: "OnlineRequest", call: Call) -> Token:
    """Replace the id of a resumed send, so that the caller's stream has one id throughout."""
    if call.request_id == req.call_id:
        return token
    data = token.data.replace(call.request_id.encode(), req.call_id.encode(), 1)
    return token._replace(data=data)


def _report_result(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    replica: Replica,
    result: Result[Reply, Failure],
    lasted_ms: int,
    first_silence_ms: int,
) -> None:
    """Report the result of a send to the policies."""
    now = deps.clock.now()
    upstream = req.profile.upstream
    if isinstance(result, Err):
        if result.err_value.kind is FailureKind.TIMED_OUT:
            deps.first_bytes.observe(upstream, lasted_ms, first_silence_ms)
        if counts_against_replica(result.err_value):
            deps.outliers.on_end(replica.id, False, None, now)
        return
    reply = result.ok_value
    deps.first_bytes.observe(upstream, reply.first_token_ms, first_silence_ms)
    deps.outliers.on_end(replica.id, True, float(reply.first_token_ms), now)
    if reply.load is not None:
        deps.load_tracker.on_report(replica.id, reply.load)
    if reply.tokens > 1:
        gap_ms = (reply.total_ms - reply.first_token_ms) / (reply.tokens - 1)
        deps.share.on_online_signal(replica.id, float(reply.first_token_ms), gap_ms, now)


def _after_failure(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    replica: Replica,
    failure: Failure,
    progress: _Progress,
) -> Retry | GiveUp:
    """Decide what follows a failed send, and record whether it may have run."""
    rejected = rejection(failure)
    if rejected is not None:
        return GiveUp(rejected)
    earlier = progress.history.record_failure(failure)
    history = progress.history
    return decide_retry(
        deps,
        req.profile,
        req.due_ms,
        replica,
        failure,
        earlier,
        history.send_count,
        history.moved,
    )


async def _before_retry(
    deps: "DispatchDeps",
    req: "OnlineRequest",
    replica: Replica,
    decision: Retry,
    progress: _Progress,
    pause_ms: int,
) -> None:
    events.emit(events.REQUEST_RETRIED, call=req.call_id, replica=replica.id, apart_ms=pause_ms)
    await prepare_retry(deps, req.profile, replica, decision, progress.history, pause_ms)


def _join_parts(reply: Reply, progress: _Progress) -> Reply:
    """Join the text received over several attempts into one answer."""
    if progress.history.send_count == 1:
        return reply
    return reply._replace(
        text=progress.text() or reply.text,
        tokens=len(progress.parts) or reply.tokens,
        first_token_ms=progress.first_token_ms or reply.first_token_ms,
    )
