"""Track the sends of one request and decide whether it is retried.

Shared by attempts (requests to the OpenAI-style API) and forwarding (requests passed on unchanged):
they relay different answers, but the rules for retries and for the reported outcome are the same.
"""

from typing import TYPE_CHECKING, Final, Protocol

from papayapier import events
from papayapier.policy.retries import GiveUp, Retry, decide, failed_at
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

if TYPE_CHECKING:
    import random

    from papayapier.clock import Clock
    from papayapier.config.profiles import Profile
    from papayapier.dispatch.crash_watch import CrashWatch, Work
    from papayapier.metrics import Metrics
    from papayapier.policy.loads import LoadBook
    from papayapier.policy.retries import RetryBudget

NONE_EXCLUDED: Final[frozenset[str]] = frozenset()


class AgainDeps(Protocol):
    """Describe what retries depend on."""

    @property
    def clock(self) -> "Clock":
        """Return the clock."""

    @property
    def rand(self) -> "random.Random":
        """Return the random source that spreads the pauses."""

    @property
    def book(self) -> "LoadBook":
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


class Tries:
    """Track the sends of one request; maybe_sent says that one of them may have run.

    After turn_by_ms the request no longer waits for send windows.
    """

    __slots__ = ("excluded", "fresh", "made", "maybe_sent", "rejections", "turn_by_ms")

    def __init__(self, fresh: bool) -> None:
        self.made = 0
        # Sends that are confirmed not to have run.
        self.rejections = 0
        self.excluded = NONE_EXCLUDED
        # The replica may have closed a pooled connection without our noticing. A retry is then
        # safe only for idempotent requests, so all others use a new connection.
        self.fresh = fresh
        self.maybe_sent = False
        self.turn_by_ms: int | None = None

    def note(self, failure: Failure) -> Sent:
        """Record a failed send and return whether an earlier one may have run."""
        earlier = Sent.MAYBE if self.maybe_sent else Sent.NO
        if failure.sent is Sent.MAYBE:
            self.maybe_sent = True
        else:
            self.rejections += 1
        return earlier


def decide_again(
    deps: AgainDeps,
    profile: "Profile",
    due_ms: int,
    replica: Replica,
    failure: Failure,
    earlier: Sent,
    counted: int,
) -> Retry | GiveUp:
    """Decide what follows a failed send; counted sends use up the allowed attempts."""
    return decide(
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
        failed_at(deps.book, replica),
    )


async def before_again(
    deps: AgainDeps,
    profile: "Profile",
    replica: Replica,
    retry: Retry,
    tries: Tries,
    apart_ms: int,
) -> None:
    """Exclude the failed replica and pause for the longer of the retry delay and apart_ms."""
    tries.fresh = True
    if retry.exclude:
        tries.excluded |= {replica.id}
    deps.metrics.retries.labels(profile.upstream).inc()
    pause_ms = max(retry.after_ms, apart_ms)
    if pause_ms:
        await deps.clock.sleep(pause_ms)


def apart_ms(deps: AgainDeps, work: "Work", failure: Failure, due_ms: int) -> int:
    """Return the pause before retrying a request under which two replicas were lost, in ms.

    At most half of the remaining time is spent waiting; the rest is left for the send itself.
    """
    if failure.kind is not FailureKind.CUT:
        return 0
    least_ms = deps.crashes.apart_ms(work)
    if not least_ms:
        return 0
    left_ms = max(0, due_ms - deps.clock.now())
    return min(round(least_ms * deps.rand.uniform(1, 2)), left_ms // 2)


async def wait_for_turn(
    deps: AgainDeps, request_id: str, work: "Work", tries: Tries, due_ms: int
) -> None:
    """Wait while another suspect request of the same replica losses has the send window.

    At most half of the remaining time is spent waiting; the rest is left for the sends.
    """
    wait_ms = deps.crashes.turn_ms(work)
    if wait_ms and tries.turn_by_ms is None:
        now = deps.clock.now()
        tries.turn_by_ms = now + max(0, due_ms - now) // 2
        rivals = deps.crashes.rivals(work)
        events.emit(
            events.TURN_AWAITED, request=request_id, work=work(), rivals=rivals, wait_ms=wait_ms
        )
    while wait_ms and not _waited_enough(deps, tries):
        assert tries.turn_by_ms is not None
        await deps.clock.sleep(min(wait_ms, tries.turn_by_ms - deps.clock.now()))
        wait_ms = deps.crashes.turn_ms(work)


def may_send(deps: AgainDeps, work: "Work", tries: Tries) -> bool:
    """Return whether a request with a chosen replica may be sent now."""
    return deps.crashes.take_turn(work) or _waited_enough(deps, tries)


def _waited_enough(deps: AgainDeps, tries: Tries) -> bool:
    return tries.turn_by_ms is not None and deps.clock.now() >= tries.turn_by_ms
