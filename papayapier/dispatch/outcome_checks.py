"""Check each send against the invariants, and correct the outcome that a refusal states."""

from typing import TYPE_CHECKING

from papayapier.errors import Outcome, Refusal
from papayapier.invariants import Invariant, check_invariant

if TYPE_CHECKING:
    from papayapier.policy.loads import LoadTracker
    from papayapier.upstream.api import Replica


def check_send(
    load_tracker: "LoadTracker", replica: "Replica", call_id: str, may_run_again: bool, now: int
) -> None:
    """Check, immediately before a send, that it is allowed and that its replica is usable."""
    check_invariant(may_run_again, Invariant.AT_MOST_ONCE, call=call_id, replica=replica.id)
    usable = load_tracker.usable_replicas(replica.upstream, now)
    check_invariant(replica in usable, Invariant.LEAVING_IDLE, call=call_id, replica=replica.id)


def correct_outcome(refusal: Refusal, maybe_sent: bool) -> Refusal:
    """Set the outcome of a refusal to unknown if an earlier send may have run.

    The code that refuses knows of one send at most. Without this, a request whose first send was
    lost and whose second could not connect would be reported as not run.
    """
    if maybe_sent and refusal.outcome is Outcome.NOT_RUN:
        return refusal._replace(outcome=Outcome.UNKNOWN)
    return refusal
