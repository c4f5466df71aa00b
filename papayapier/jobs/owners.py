"""Know which instances may own a job, and which of them does.

Both are asked for every open job several times a second and change only with the instances, the
replicas and the configuration, so they are kept until one of these does.
"""

from collections.abc import Callable, Collection, Sequence

from papayapier.config.route_table import RouteTable
from papayapier.jobs.records import JobRecord
from papayapier.policy.job_owners import able_to_own
from papayapier.policy.loads import LoadBook
from papayapier.policy.ownership import owner


class JobOwners:
    """Work out owners, once for each job and state of the fleet.

    running names the live instances that run batch.
    """

    def __init__(
        self,
        book: LoadBook,
        table: Callable[[], RouteTable | None],
        running: Callable[[], Sequence[str]],
    ) -> None:
        self._book = book
        self._table = table
        self._running = running
        self._seen: tuple[object, ...] = ()
        self._instances: Sequence[str] = ()
        self._able: dict[str, Sequence[str]] = {}
        self._members: dict[str, frozenset[str]] = {}
        self._owners: dict[str, str] = {}

    def refresh(self) -> bool:
        """Look at the fleet; return whether owners may have changed."""
        self._instances = self._running()
        seen = (self._instances, self._book.usable_changes, self._table())
        if seen == self._seen:
            return False
        self._seen = seen
        self._able.clear()
        self._members.clear()
        self._owners.clear()
        return True

    def able(self, record: JobRecord) -> Sequence[str]:
        """Return the instances that may start a job's items."""
        upstream = self.upstream_of(record)
        if upstream not in self._able:
            able = able_to_own(self._instances, self._book.usable_ids(upstream))
            self._able[upstream] = able
            self._members[upstream] = frozenset(able)
        return self._able[upstream]

    def may_own(self, instance: str, record: JobRecord) -> bool:
        """Tell whether an instance may start a job's items."""
        self.able(record)
        return instance in self._members[self.upstream_of(record)]

    def owner(self, job_id: str, record: JobRecord) -> str:
        """Return the instance that is to run a job's items."""
        found = self._owners.get(job_id)
        if found is None:
            found = self._owners[job_id] = owner(job_id, self.able(record))
        return found

    def forget(self, job_id: str) -> None:
        """Forget a job that is over."""
        self._owners.pop(job_id, None)

    def upstream_of(self, record: JobRecord) -> str:
        """Return the upstream of a job's items, or an empty name while none is known."""
        table = self._table()
        route = table.find(record.host, record.path) if table is not None else None
        return route.shares[0].upstream if route is not None else ""


def able_now(
    book: LoadBook, table: RouteTable | None, running: Collection[str], record: JobRecord
) -> Sequence[str]:
    """Return which of some instances may start a job's items."""
    owners = JobOwners(book, lambda: table, lambda: sorted(running))
    owners.refresh()
    return owners.able(record)
