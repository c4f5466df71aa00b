"""Check the system's invariants at run time.

Each check is called where its invariant could be violated. In production a violation is
counted and logged, because stopping the instance would harm unaffected requests; under test
it raises, so that no run that violates an invariant passes.
"""

from collections import Counter
from enum import Enum
from typing import Final

from papayapier import events


class Invariant(Enum):
    """List the invariants that are checked at run time."""

    COMPLETE_ONCE = "an accepted item completes exactly once"
    CANCEL_STOPS = "no result is recorded after a cancel"
    ANSWER_OWN = "a caller receives the whole answer to its own request"
    NOT_RUN_TRUE = "a request refused as not run was never sent"
    AT_MOST_ONCE = "a non-idempotent request is sent at most once"
    LEAVING_IDLE = "a leaving upstream receives no new work"
    DRAIN_WHOLE = "a planned stop cuts off no request"
    CONFIG_FORWARD = "configuration never goes back to a lower version"
    STREAM_VERSION = "a stream goes on only at the software version that began it"
    BATCH_YIELDS = "batch work stays inside its limit on a replica"


class InvariantViolationError(AssertionError):
    """Report a violated invariant in a test run."""


class _State:
    raise_on_violation: bool = False


VIOLATIONS: Final[Counter[Invariant]] = Counter()


def raise_on_violation(enabled: bool) -> None:
    """Set whether a violation raises (tests) or is only counted and logged."""
    _State.raise_on_violation = enabled


def check_invariant(holds: bool, invariant: Invariant, **fields: object) -> None:
    """Count and log a violation unless the invariant holds; raise under test."""
    if holds:
        return
    VIOLATIONS[invariant] += 1
    events.emit(events.INVARIANT_BROKEN, promise=invariant.name.lower(), **fields)
    if _State.raise_on_violation:
        raise InvariantViolationError(f"{invariant.value}: {fields}")


def violation_count() -> int:
    """Return how many checks have failed in this process."""
    return VIOLATIONS.total()
