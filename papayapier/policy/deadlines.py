"""Order batch jobs by due time and by the items that remain."""

from collections.abc import Sequence
from typing import Final, NamedTuple

SLACK_FACTOR: Final = 1.25


class RemainingJob(NamedTuple):
    """Describe what is left of a job; rate is its items per ms so far, 0 if unknown."""

    job_id: str
    caller: str
    due_wall_ms: int
    items_left: int
    in_flight: int = 0
    rate: float = 0.0


def order_jobs(jobs: Sequence[RemainingJob], now_wall: int) -> list[str]:
    """Return the jobs' ids, the one to serve first in front."""
    left = [job for job in jobs if job.items_left > 0]
    return [job.job_id for job in sorted(left, key=lambda job: (_slack(job, now_wall), job.job_id))]


def at_risk(job: RemainingJob, rate: float, now_wall: int) -> bool:
    """Tell whether a job is likely to miss its due time at a rate in items per ms."""
    if job.items_left == 0:
        return False
    if rate <= 0.0:
        return now_wall >= job.due_wall_ms
    return now_wall + SLACK_FACTOR * job.items_left / rate > job.due_wall_ms


def _slack(job: RemainingJob, now_wall: int) -> float:
    need = job.items_left / job.rate if job.rate > 0 else 0.0
    return job.due_wall_ms - now_wall - need
