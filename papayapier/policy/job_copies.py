"""Decide how many disks must store a job before it is accepted while the store is unavailable.

Motivation: the store is unavailable to all instances for several seconds, some jobs arrive in that
time, and their callers' second attempts meet the same outage. A job that is stored on more disks
than may be lost at once is as safe as one in the store: at least one copy remains, and its holder
creates the job once the store is back.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from papayapier.policy.rendezvous import score

# One more than needed, so that the slowest of the requested disks need not be waited for.
EXTRA_HOLDERS: Final = 1
# Half of the time in which the acceptance has its full value is left to the store; the disks get
# the other half, and reply in a few ms when healthy.
STORE_SHARE: Final = 0.5
# Used where a route states no objective.
DEFAULT_STORE_WAIT_MS: Final = 200


class Copies(NamedTuple):
    """Describe a job's copies on disks: enough, possibly any, and the number that is confirmed."""

    enough: bool
    maybe_held: bool
    held: int = 0


NOT_REQUESTED: Final = Copies(enough=False, maybe_held=False)


def holders(
    job_id: str, keepers: Iterable[str], copies: int, able: Collection[str] = ()
) -> Sequence[str]:
    """Return the instances to send a job's copies to, or none where too few are there.

    Instances that are able to run its items come first: nobody else knows of the job until the
    store is back.
    """
    ranked = sorted(keepers, key=lambda instance: (instance not in able, -score(job_id, instance)))
    return ranked[: copies + EXTRA_HOLDERS] if len(ranked) >= copies else ()


def store_wait_ms(objective_ms: int, store_unavailable: bool) -> int:
    """Return how long only the store is tried, in ms."""
    if store_unavailable:
        return 0
    return int(objective_ms * STORE_SHARE) if objective_ms else DEFAULT_STORE_WAIT_MS
