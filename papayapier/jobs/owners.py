"""Know at one moment which instances may own a job, and which of them does."""

from collections.abc import Sequence

from papayapier.config.route_table import RouteTable
from papayapier.jobs.records import JobRecord
from papayapier.policy.job_owners import able_to_own
from papayapier.policy.loads import LoadBook
from papayapier.policy.ownership import owner


class JobOwners:
    """Work out owners, once for each upstream.

    running names the live instances that run batch.
    """

    def __init__(
        self, book: LoadBook, table: RouteTable | None, running: Sequence[str], now: int
    ) -> None:
        self._book = book
        self._table = table
        self._running = running
        self._now = now
        self._able: dict[str, Sequence[str]] = {}

    def able(self, record: JobRecord) -> Sequence[str]:
        """Return the instances that may start a job's items."""
        upstream = self.upstream_of(record)
        if upstream not in self._able:
            replicas = [replica.id for replica in self._book.usable(upstream, self._now)]
            self._able[upstream] = able_to_own(self._running, replicas)
        return self._able[upstream]

    def owner(self, job_id: str, record: JobRecord) -> str:
        """Return the instance that is to run a job's items."""
        return owner(job_id, self.able(record))

    def upstream_of(self, record: JobRecord) -> str:
        """Return the upstream of a job's items, or an empty name while none is known."""
        route = self._table.find(record.host, record.path) if self._table is not None else None
        return route.shares[0].upstream if route is not None else ""
