"""Decide how many disks must hold a job before it is accepted while the store is away.

The load this answers: the store is away for everybody for several seconds, some jobs come in that
time, and their callers' second attempt meets the same outage. A job that lies on more disks than
may be lost at once is as safe as one in the store: at least one copy is there afterwards, and
whoever holds it creates the job once the store is back.
"""

from collections.abc import Collection, Iterable, Sequence
from typing import Final, NamedTuple

from papayapier.policy.rendezvous import score

# One more than is needed, since the slowest disk of those asked need not be waited for.
SPARE_HOLDERS: Final = 1
# Half of the time in which the acceptance has its full worth is left to the store; the disks get
# the other half, and answer in a few ms where they are well.
STORE_SHARE: Final = 0.5
# Used where a route states no objective.
DEFAULT_PATIENCE_MS: Final = 200


class Copies(NamedTuple):
    """Say how a job was kept: on enough disks, whether any may hold it, and how many said so."""

    enough: bool
    maybe_held: bool
    held: int = 0


NOT_ASKED: Final = Copies(enough=False, maybe_held=False)


def holders(
    job_id: str, keepers: Iterable[str], copies: int, able: Collection[str] = ()
) -> Sequence[str]:
    """Return whom to ask for a disk, or nobody where too few are there.

    Those able to run its items are asked first: nobody else knows of the job until the store is
    back.
    """
    ranked = sorted(keepers, key=lambda one: (one not in able, -score(job_id, one)))
    return ranked[: copies + SPARE_HOLDERS] if len(ranked) >= copies else ()


def patience_ms(objective_ms: int, store_away: bool) -> int:
    """Return how long the store alone is tried, in ms."""
    if store_away:
        return 0
    return int(objective_ms * STORE_SHARE) if objective_ms else DEFAULT_PATIENCE_MS
