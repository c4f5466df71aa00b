"""Determine which instances may own a job, and which of them does.

Both are queried for every open job several times a second and change only with the instances, the
replicas and the configuration, so the results are cached until one of these changes.
"""

from collections.abc import Callable, Collection, Sequence

from papayapier.config.route_table import RouteTable
from papayapier.jobs.records import JobRecord, accepted_under
from papayapier.policy.job_owners import possible_owners
from papayapier.policy.loads import LoadTracker
from papayapier.policy.ownership import rendezvous_owner


class JobOwners:
    """Compute and cache the owners of jobs for the current state of the fleet.

    running returns the live instances that run batch.
    """

    def __init__(
        self,
        load_tracker: LoadTracker,
        table: Callable[[], RouteTable | None],
        running: Callable[[], Sequence[str]],
    ) -> None:
        self._load_tracker = load_tracker
        self._table = table
        self._running = running
        self._fleet_state: tuple[object, ...] = ()
        self._instances: Sequence[str] = ()
        self._eligible: dict[str, Sequence[str]] = {}
        self._eligible_sets: dict[str, frozenset[str]] = {}
        self._owners: dict[str, str] = {}

    def refresh(self) -> bool:
        """Read the state of the fleet; return whether owners may have changed."""
        self._instances = self._running()
        fleet_state = (self._instances, self._load_tracker.usable_changes, self._table())
        if fleet_state == self._fleet_state:
            return False
        self._fleet_state = fleet_state
        self._eligible.clear()
        self._eligible_sets.clear()
        self._owners.clear()
        return True

    def eligible(self, record: JobRecord) -> Sequence[str]:
        """Return the instances that may start a job's items."""
        upstream = self.upstream_of(record)
        if upstream not in self._eligible:
            eligible = possible_owners(
                self._instances, self._load_tracker.usable_replica_ids(upstream)
            )
            self._eligible[upstream] = eligible
            self._eligible_sets[upstream] = frozenset(eligible)
        return self._eligible[upstream]

    def may_own(self, instance: str, record: JobRecord) -> bool:
        """Return whether an instance may start a job's items."""
        self.eligible(record)
        return instance in self._eligible_sets[self.upstream_of(record)]

    def owner(self, job_id: str, record: JobRecord) -> str:
        """Return the instance that owns a job and runs its items."""
        cached = self._owners.get(job_id)
        if cached is None:
            cached = self._owners[job_id] = rendezvous_owner(job_id, self.eligible(record))
        return cached

    def forget(self, job_id: str) -> None:
        """Drop the cached owner of a closed job."""
        self._owners.pop(job_id, None)

    def upstream_of(self, record: JobRecord) -> str:
        """Return the upstream of a job's items, or an empty string if it is not known.

        Routes that are older than the job do not tell its upstream.
        """
        table = self._table()
        if table is None or table.position < accepted_under(record):
            return ""
        route = table.find(record.host, record.path)
        return route.shares[0].upstream if route is not None else ""


def eligible_instances(
    load_tracker: LoadTracker, table: RouteTable | None, running: Collection[str], record: JobRecord
) -> Sequence[str]:
    """Return which of the given instances may start a job's items."""
    owners = JobOwners(load_tracker, lambda: table, lambda: sorted(running))
    owners.refresh()
    return owners.eligible(record)
