"""Check the system's promises inside the running program.

Each check is called where its promise could break. In production a failure is counted
and logged, because stopping the instance would harm requests that are fine; under test
it raises, so that no run with a broken promise passes.
"""

from collections import Counter
from enum import Enum
from typing import Final

from papayapier import events


class Promise(Enum):
    """Name each promise that the running program checks."""

    COMPLETE_ONCE = "an accepted item completes exactly once"
    CANCEL_STOPS = "no result is recorded after a cancel"
    ANSWER_OWN = "a caller receives the whole answer to its own request"
    NOT_RUN_TRUE = "a request refused as not run was never sent"
    AT_MOST_ONCE = "a non-idempotent request is sent at most once"
    LEAVING_IDLE = "a leaving upstream receives no new work"
    DRAIN_WHOLE = "a planned stop cuts off no request"
    CONFIG_FORWARD = "configuration never goes back to a lower version"
    BATCH_YIELDS = "batch work stays inside its limit on a replica"


class BrokenPromiseError(AssertionError):
    """Report a broken promise in a test run."""


class _State:
    raising: bool = False


BROKEN: Final[Counter[Promise]] = Counter()


def raise_on_failure(raising: bool) -> None:
    """Choose whether a broken promise raises (tests) or is only counted and logged."""
    _State.raising = raising


def check(holds: bool, promise: Promise, **fields: object) -> None:
    """Record, and under test raise, when a promise does not hold."""
    if holds:
        return
    BROKEN[promise] += 1
    events.emit(events.INVARIANT_BROKEN, promise=promise.name.lower(), **fields)
    if _State.raising:
        raise BrokenPromiseError(f"{promise.value}: {fields}")


def broken_count() -> int:
    """Return how many checks have failed in this process."""
    return BROKEN.total()
