"""Decide by the routes in force here whether a job may run, must wait or is given up.

Configurations and jobs reach an instance on separate paths. An instance that was cut off may read a
job before the configuration under which it was accepted. By the older routes it would run the job's
items at another upstream, or take a route that it does not know yet for one that was removed.

Giving up cannot be undone. So it also requires routes that were read from the store after the
reason for it arose, since a change since then may have removed the reason.
"""

from enum import Enum

from papayapier.config.route_table import ConfigPosition


class JobStep(Enum):
    """List what to do with a job."""

    RUN = "run"
    # The routes in force are older than the job.
    WAIT = "wait"
    # There is a reason to give up the job: read the routes from the store.
    CONFIRM = "confirm"
    GIVE_UP = "give_up"


def next_step(
    in_force: ConfigPosition,
    accepted_under: ConfigPosition,
    doubted_ms: int | None,
    confirmed_ms: int | None,
) -> JobStep:
    """Return what to do with a job that was accepted under a configuration.

    doubted_ms is since when there is a reason to give it up, None if there is none. confirmed_ms is
    when the latest read of the configuration began that reached the store, None if none has.
    """
    if in_force < accepted_under:
        return JobStep.WAIT
    if doubted_ms is None:
        return JobStep.RUN
    if confirmed_ms is None or confirmed_ms < doubted_ms:
        return JobStep.CONFIRM
    return JobStep.GIVE_UP
