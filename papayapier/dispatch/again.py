"""Keep what one request has sent, and decide whether and where it is sent again.

What a caller's request and one in the product's own form pass on differs; when they may be sent
again, and what may be said at their end, does not.
"""

from typing import TYPE_CHECKING, Final, Protocol

from papayapier.policy.retries import GiveUp, Retry, decide, failed_at
from papayapier.upstream.api import Failure, Replica, Sent

if TYPE_CHECKING:
    import random

    from papayapier.clock import Clock
    from papayapier.config.profiles import Profile
    from papayapier.metrics import Metrics
    from papayapier.policy.loads import LoadBook
    from papayapier.policy.retries import RetryBudget

NONE_EXCLUDED: Final[frozenset[str]] = frozenset()


class AgainDeps(Protocol):
    """Describe what sending again works with."""

    @property
    def clock(self) -> "Clock":
        """Tell the time."""

    @property
    def rand(self) -> "random.Random":
        """Spread the pauses."""

    @property
    def book(self) -> "LoadBook":
        """Know the replicas and their slots."""

    @property
    def budget(self) -> "RetryBudget":
        """Bound the retries."""

    @property
    def metrics(self) -> "Metrics":
        """Count."""


class Tries:
    """Track the sends of one request; maybe_sent says that one of them may have run."""

    __slots__ = ("excluded", "fresh", "made", "maybe_sent", "rejections")

    def __init__(self, fresh: bool) -> None:
        self.made = 0
        # Sends that certainly did not run.
        self.rejections = 0
        self.excluded = NONE_EXCLUDED
        # A kept connection may have been closed by the replica unnoticed. A second send then is
        # safe only for idempotent work, so the rest pays for a new connection.
        self.fresh = fresh
        self.maybe_sent = False

    def note(self, failure: Failure) -> Sent:
        """Take how a send failed; return whether one before it can have run."""
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
    """Decide about a failed send; counted is how many sends use up the attempts allowed."""
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
    deps: AgainDeps, profile: "Profile", replica: Replica, retry: Retry, tries: Tries
) -> None:
    """Note the replica that failed, and pause as decided."""
    tries.fresh = True
    if retry.exclude:
        tries.excluded |= {replica.id}
    deps.metrics.retries.labels(profile.upstream).inc()
    if retry.after_ms:
        await deps.clock.sleep(retry.after_ms)
