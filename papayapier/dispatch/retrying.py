"""Track the sends of one request and decide whether it is retried.

Shared by attempts (requests to the OpenAI-style API) and forwarding (requests passed on unchanged):
they relay different answers, but the rules for retries and for the reported outcome are the same.
"""

from enum import Enum
from typing import TYPE_CHECKING, Final, Protocol

from papayapier import events
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.policy.retries import (
    GiveUp,
    Retry,
    failed_at,
    may_retry_silent,
    moved_pause_ms,
    retry_moved,
    retry_or_refuse,
)
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent, Silence

if TYPE_CHECKING:
    import random

    from papayapier.clock import Clock
    from papayapier.config.profiles import Profile
    from papayapier.dispatch.crash_watch import CrashWatch, GetFingerprint, GetParts
    from papayapier.metrics import Metrics
    from papayapier.policy.loads import LoadTracker
    from papayapier.policy.retries import RetryBudget

NO_EXCLUDED_REPLICAS: Final[frozenset[str]] = frozenset()
# Pause before a permit is requested again: half of a short call, so that little time is lost.
PERMIT_RETRY_MS: Final = 40
# When the caller of a refused suspect may retry: the copy under way has ended by then.
SUSPECT_RETRY_MS: Final = 1_000


# After an answer that the request did not run, another replica is tried. This many rejections are
# enough to find a free one among a dozen, and bound the cost of a request.
MAX_REJECTIONS: Final = 4


class Claim(Enum):
    """State whether a request may be sent: now, after a new choice of replica, or not."""

    GRANTED = "granted"
    WAITING = "waiting"
    REFUSED = "refused"


class RetryDeps(Protocol):
    """Describe what retries depend on."""

    @property
    def clock(self) -> "Clock":
        """Return the clock."""

    @property
    def rand(self) -> "random.Random":
        """Return the random source that spreads the pauses."""

    @property
    def load_tracker(self) -> "LoadTracker":
        """Return the known replicas and their slots."""

    @property
    def crashes(self) -> "CrashWatch":
        """Return the tracker of requests under which replicas are lost."""

    @property
    def budget(self) -> "RetryBudget":
        """Return the budget that bounds retries."""

    @property
    def metrics(self) -> "Metrics":
        """Return the metrics."""


class SendHistory:
    """Track the sends of one request; maybe_sent says that one of them may have run.

    moved says that it has left a silent replica, which would have gone on, for another one.
    After window_deadline_ms the request no longer waits for send windows, after permit_deadline_ms
    not for the end of other copies either.
    """

    __slots__ = (
        "excluded",
        "fresh",
        "maybe_sent",
        "moved",
        "permit_deadline_ms",
        "rejections",
        "send_count",
        "window_deadline_ms",
    )

    def __init__(self, fresh: bool) -> None:
        self.send_count = 0
        # Sends that are confirmed not to have run.
        self.rejections = 0
        self.excluded = NO_EXCLUDED_REPLICAS
        # The replica may have closed a pooled connection without our noticing. A retry is then
        # safe only for idempotent requests, so all others use a new connection.
        self.fresh = fresh
        self.maybe_sent = False
        self.moved = False
        self.window_deadline_ms: int | None = None
        self.permit_deadline_ms: int | None = None

    def counted_sends(self, attempts: int) -> int:
        """Return how many of the allowed attempts are used up; a rejected send is none."""
        if self.rejections >= MAX_REJECTIONS:
            return attempts
        return self.send_count - self.rejections

    def record_failure(self, failure: Failure) -> Sent:
        """Record a failed send and return whether an earlier one may have run."""
        earlier = Sent.MAYBE if self.maybe_sent else Sent.NO
        if failure.sent is Sent.MAYBE:
            self.maybe_sent = True
        else:
            self.rejections += 1
        return earlier


def decide_retry(
    deps: RetryDeps,
    profile: "Profile",
    due_ms: int,
    replica: Replica,
    failure: Failure,
    earlier: Sent,
    counted: int,
    moved: bool,
) -> Retry | GiveUp:
    """Decide what follows a failed send; counted sends use up the allowed attempts.

    moved says that the request has left a silent replica.
    """
    decision = retry_or_refuse(
        failure,
        profile.idempotent,
        counted,
        profile.retry,
        due_ms,
        deps.clock.now(),
        deps.budget,
        profile.upstream,
        deps.rand,
        earlier,
        failed_at(deps.load_tracker, replica),
    )
    if not moved or isinstance(decision, Retry):
        return decision
    return retry_moved(failure, due_ms, deps.clock.now(), deps.rand) or decision


async def wait_for_next_choice(
    deps: RetryDeps, history: SendHistory, due_ms: int, refusal: Refusal
) -> bool:
    """Wait before the replica of a request that has left a silent one is chosen again.

    Return False at once if the refusal of the choice is final.
    """
    if not history.moved or refusal.kind is ErrorKind.CANNOT_RESUME:
        return False
    pause_ms = moved_pause_ms(deps.rand)
    if deps.clock.now() + pause_ms >= due_ms:
        return False
    history.excluded = NO_EXCLUDED_REPLICAS
    await deps.clock.sleep(pause_ms)
    return True


def may_move_silent(
    deps: RetryDeps,
    profile: "Profile",
    get_fingerprint: "GetFingerprint",
    due_ms: int,
    replica: Replica,
    counted: int,
) -> bool:
    """Return whether a request whose replica is silent could be sent again now.

    counted sends use up the allowed attempts. Giving up the replica counts as a loss, and a request
    that may then only be sent alone may have to wait for longer than the silence lasts.
    """
    return deps.crashes.is_free_after_loss(get_fingerprint, replica.id) and may_retry_silent(
        profile.idempotent,
        counted,
        profile.retry,
        due_ms,
        deps.clock.now(),
        deps.budget,
        profile.upstream,
        failed_at(deps.load_tracker, replica),
    )


def excluded_while_silent(
    deps: RetryDeps, replica: Replica, silence: Silence, history: SendHistory
) -> frozenset[str]:
    """Return the replicas to avoid: those that failed, and the silent one.

    The silent one is tried again, on a new connection, if a reused connection may be at fault and
    it is the only replica.
    """
    usable = deps.load_tracker.usable_replicas(replica.upstream, deps.clock.now())
    is_only = all(other.id == replica.id for other in usable)
    if is_only and silence.reused and not silence.answered and history.send_count <= 1:
        return history.excluded
    return history.excluded | {replica.id}


async def prepare_retry(
    deps: RetryDeps,
    profile: "Profile",
    replica: Replica,
    retry: Retry,
    history: SendHistory,
    spacing_ms: int,
) -> None:
    """Exclude the failed replica and pause for the longer of the retry delay and spacing_ms."""
    history.fresh = True
    if retry.any_replica:
        history.excluded = NO_EXCLUDED_REPLICAS
    if retry.exclude:
        history.excluded |= {replica.id}
    deps.metrics.retries.labels(profile.upstream).inc()
    pause_ms = max(retry.after_ms, spacing_ms)
    if pause_ms:
        await deps.clock.sleep(pause_ms)


def retry_spacing_ms(
    deps: RetryDeps, get_fingerprint: "GetFingerprint", failure: Failure, due_ms: int
) -> int:
    """Return the pause before retrying a request under which two replicas were lost, in ms.

    At most half of the remaining time is spent waiting; the rest is left for the send itself.
    """
    if failure.kind is not FailureKind.TRUNCATED:
        return 0
    least_ms = deps.crashes.retry_spacing_ms(get_fingerprint)
    if not least_ms:
        return 0
    left_ms = max(0, due_ms - deps.clock.now())
    return min(round(least_ms * deps.rand.uniform(1, 2)), left_ms // 2)


async def wait_for_send_window(
    deps: RetryDeps,
    request_id: str,
    get_fingerprint: "GetFingerprint",
    history: SendHistory,
    due_ms: int,
) -> None:
    """Wait while another suspect request of the same replica losses has the send window.

    At most half of the remaining time is spent waiting; the rest is left for the sends.
    """
    wait_ms = deps.crashes.send_window_wait_ms(get_fingerprint)
    if wait_ms and history.window_deadline_ms is None:
        now = deps.clock.now()
        history.window_deadline_ms = now + max(0, due_ms - now) // 2
        suspects = deps.crashes.suspects(get_fingerprint)
        events.emit(
            events.TURN_AWAITED,
            request=request_id,
            work=get_fingerprint(),
            rivals=suspects,
            wait_ms=wait_ms,
        )
    while wait_ms and not _wait_expired(deps, history):
        assert history.window_deadline_ms is not None
        await deps.clock.sleep(min(wait_ms, history.window_deadline_ms - deps.clock.now()))
        wait_ms = deps.crashes.send_window_wait_ms(get_fingerprint)


async def claim_send(
    deps: RetryDeps,
    request_id: str,
    get_fingerprint: "GetFingerprint",
    replica: Replica,
    history: SendHistory,
    due_ms: int,
) -> Claim:
    """Return whether a request may be sent to a chosen replica now; a suspect needs a permit.

    It waits until no copy of it is under way at any instance, for at most three quarters of
    its time; the rest is left for the send itself.
    """
    crashes = deps.crashes
    if not crashes.is_suspect(get_fingerprint):
        return Claim.GRANTED
    if crashes.send_window_wait_ms(get_fingerprint) and not _wait_expired(deps, history):
        return Claim.WAITING
    now = deps.clock.now()
    if history.permit_deadline_ms is None:
        history.permit_deadline_ms = due_ms - max(0, due_ms - now) // 4
    if await crashes.acquire_permit(get_fingerprint, replica.id, due_ms - now):
        crashes.take_send_window(get_fingerprint)
        _log_claim(
            events.SUSPECT_SENT, request_id, get_fingerprint, replica, deps.clock.now() - now
        )
        return Claim.GRANTED
    left_ms = history.permit_deadline_ms - deps.clock.now()
    if left_ms <= 0:
        _log_claim(events.SUSPECT_REFUSED, request_id, get_fingerprint, replica, -left_ms)
        return Claim.REFUSED
    await deps.clock.sleep(min(left_ms, round(PERMIT_RETRY_MS * deps.rand.uniform(1, 2))))
    return Claim.WAITING


async def claim_parts(
    deps: RetryDeps,
    request_id: str,
    upstream: str,
    get_fingerprint: "GetFingerprint",
    get_parts: "GetParts",
    replica: Replica,
    due_ms: int,
) -> Refusal | None:
    """Return the refusal of a request whose parts forbid a send now, or None.

    A request that is not refused must be sent at once.
    """
    within_ms = due_ms - deps.clock.now()
    refusal = await deps.crashes.parts.claim(request_id, upstream, get_parts, replica.id, within_ms)
    if refusal is not None:
        deps.crashes.return_permit(get_fingerprint)
    return refusal


def suspect_refusal() -> Refusal:
    """Return the refusal of a suspect that could not be sent alone in time."""
    reason = "replicas were lost while they ran the same request, and it cannot be sent alone yet"
    return not_run_refusal(ErrorKind.NO_ROOM, reason, SUSPECT_RETRY_MS)


def _log_claim(
    event: events.Event,
    request_id: str,
    get_fingerprint: "GetFingerprint",
    replica: Replica,
    took_ms: int,
) -> None:
    events.emit(
        event, request=request_id, work=get_fingerprint(), replica=replica.id, took_ms=took_ms
    )


def _wait_expired(deps: RetryDeps, history: SendHistory) -> bool:
    return history.window_deadline_ms is not None and deps.clock.now() >= history.window_deadline_ms
