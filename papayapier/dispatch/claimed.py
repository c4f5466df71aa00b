"""Run a request that may not be repeated, under a claim on its idempotency key.

The run is independent of the caller's connection. A caller that loses its connection resends the
request under the same key. If the first run were cancelled, its effect would be unknown, so it
runs to completion and the resend gets its answer.
"""

from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from papayapier import codec, events
from papayapier.claims.api import Done, New, Running, Unknown
from papayapier.claims.records import SavedAnswer, content_hash
from papayapier.errors import ERROR_RESPONSES, ErrorKind, Outcome, Refusal, unknown_refusal
from papayapier.upstream.api import Reply
from papayapier.upstream.api import Token as StreamToken

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from papayapier.claims.api import BeginResult, Token
    from papayapier.claims.service import Claims
    from papayapier.dispatch.api import OnlineRequest, OnToken
    from papayapier.dispatch.online import OnlineDispatch

REPLY_FORM: Final = "reply"
REFUSAL_FORM: Final = "refusal"
RESEND_AFTER_MS: Final = 1_000

RunResult = Result[Reply, Refusal]


def make_claimed_runner(
    online: "OnlineDispatch", claims: "Claims"
) -> "Callable[[OnlineRequest, str, OnToken], Awaitable[RunResult]]":
    """Return the function that runs a request, under a claim where it needs one."""

    async def run(req: "OnlineRequest", key: str, on_token: "OnToken") -> RunResult:
        if req.profile.idempotent or not key:
            return await online.run(req, on_token)
        return await _run_detached(_ClaimedRun(online, claims, req, key), on_token)

    return run


async def _run_detached(run: "_ClaimedRun", on_token: "OnToken") -> RunResult:
    """Wait for a run; cancelling the wait does not cancel the run."""
    waiter: Deferred[RunResult] = Deferred()

    def on_finished(result: "RunResult | Failure") -> None:
        if not waiter.called:
            waiter.callback(result)
        elif isinstance(result, Failure):
            # The caller has disconnected, so only the log can report the failure.
            events.emit(events.REQUEST_CRASHED, traceback=result.getTraceback())

    def receive(token: StreamToken) -> None:
        if not waiter.called:
            on_token(token)

    Deferred.fromCoroutine(run.run(receive)).addBoth(on_finished)
    return await waiter


class _ClaimedRun:
    """Run one request under a claim."""

    def __init__(
        self, online: "OnlineDispatch", claims: "Claims", req: "OnlineRequest", key: str
    ) -> None:
        self._online = online
        self._claims = claims
        self._req = req
        self._key = key
        self._token: Token | None = None
        self._earlier: RunResult | None = None

    async def run(self, on_token: "OnToken") -> RunResult:
        """Run the request unless it has run before, and save its result for resends."""
        try:
            result = await self._online.run(self._req, on_token, self._claim)
        except Exception:
            # If the claim stayed open, every resend would wait for this run, and a planned stop
            # for the claim.
            if self._token is not None:
                refusal = unknown_refusal(
                    ErrorKind.INTERNAL, "an internal error occurred while the request ran"
                )
                self._save(self._token, Err(refusal))
            raise
        if self._earlier is not None:
            return self._earlier
        if self._token is not None:
            self._save(self._token, result)
        return result

    async def _claim(self) -> Result[None, Refusal]:
        req = self._req
        content = content_hash(req.method.encode(), req.path.encode(), req.body)
        begun = await self._claims.begin(req.caller, self._key, content, req.due_ms)
        if isinstance(begun, Ok) and isinstance(begun.ok_value, New):
            self._token = begun.ok_value.token
            return Ok(None)
        self._earlier = _earlier_result(begun)
        return Err(_refuse_rerun(self._earlier))

    def _save(self, token: "Token", result: RunResult) -> None:
        if isinstance(result, Ok):
            saved = SavedAnswer(result.ok_value.status, REPLY_FORM, codec.pack(result.ok_value))
            self._claims.finish(token, saved)
            return
        refusal = result.err_value
        if refusal.outcome is Outcome.NOT_RUN:
            events.emit(events.CLAIM_ABANDONED, call=self._req.call_id, kind=refusal.kind.value)
            self._claims.abandon(token)
            return
        status = ERROR_RESPONSES[refusal.kind].status
        self._claims.finish(token, SavedAnswer(status, REFUSAL_FORM, codec.pack(refusal)))


def _earlier_result(begun: "BeginResult") -> RunResult:
    """Return the answer to a resend: the result or state of the earlier run."""
    if isinstance(begun, Err):
        return begun
    match begun.ok_value:
        case Done(answer) if answer is not None:
            return _saved_result(answer)
        case Running(writer):
            reason = f"the request is running on instance {writer}"
            return Err(unknown_refusal(ErrorKind.STILL_RUNNING, reason, RESEND_AFTER_MS))
        case Unknown(writer):
            events.emit(events.CLAIM_UNKNOWN, writer=writer)
            reason = f"the request was claimed by instance {writer}, which is unreachable"
            return Err(unknown_refusal(ErrorKind.OUTCOME_UNKNOWN, reason))
    reason = "the request has run, but its answer was too large to save"
    return Err(unknown_refusal(ErrorKind.OUTCOME_UNKNOWN, reason))


def _saved_result(answer: SavedAnswer) -> RunResult:
    if answer.content_type == REFUSAL_FORM:
        refusal = codec.unpack(answer.body, Refusal)
        return Err(refusal.ok_value) if isinstance(refusal, Ok) else _unreadable()
    reply = codec.unpack(answer.body, Reply)
    return Ok(reply.ok_value) if isinstance(reply, Ok) else _unreadable()


def _unreadable() -> RunResult:
    reason = "the request has run, but its saved answer cannot be decoded"
    return Err(unknown_refusal(ErrorKind.OUTCOME_UNKNOWN, reason))


def _refuse_rerun(earlier: RunResult) -> Refusal:
    """Return the refusal that stops this run; the caller gets the result of the earlier run."""
    if isinstance(earlier, Err):
        return earlier.err_value
    return unknown_refusal(ErrorKind.STILL_RUNNING, "the request has already run")
