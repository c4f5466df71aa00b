"""Determine the hubs of a large fleet, and which keepers need to know of a change of calls."""

from collections.abc import Callable, Collection, Sequence

from papayapier.config.route_table import RouteTable
from papayapier.node.processes import NodeList, Role
from papayapier.policy.batch_sharers import first_sharers, sharers_of
from papayapier.policy.placers import make_partitions, placer_of, upstream_of
from papayapier.upstream.api import Replica


class LargeFleet:
    """Hold the partitions of the upstreams.

    live returns the instances that are reachable and not leaving, chosen those that are selected as
    hubs, agreed_live those that the hubs consider live.
    """

    def __init__(
        self,
        nodes: NodeList,
        live: Callable[[], Sequence[str]],
        chosen: Callable[[], Sequence[str]],
        agreed_live: Callable[[], Collection[str]],
        table: Callable[[], RouteTable | None],
    ) -> None:
        self.partitions = make_partitions(())
        self._nodes = nodes
        self._live = live
        self._chosen = chosen
        self._agreed_live = agreed_live
        self._table = table

    def on_replicas(self, replicas: Sequence[Replica]) -> None:
        """Recompute the partitions from the listed replicas."""
        self.partitions = make_partitions(replicas)

    def hubs(self) -> list[str]:
        """Return the live hubs."""
        live = self._live()
        return [hub for hub in self._chosen() if hub in live]

    def _keepers(self) -> list[str]:
        """Return the keepers that share batch work, by the criterion the keepers use."""
        return sorted(self._nodes.with_role(Role.KEEPER).intersection(self._agreed_live()))

    def concerned_keepers(self, replicas: Collection[str]) -> set[str]:
        """Return the keepers that share some replicas' batch slots or place their online calls."""
        hubs = self.hubs()
        keepers = self._keepers()
        found_keepers: set[str] = set()
        for replica in replicas:
            if self._may_run_batch(replica):
                found_keepers.update(first_sharers(replica, keepers))
            key = self.partitions.key_of.get(replica)
            placer = placer_of(key, hubs) if key is not None else None
            if placer is not None:
                found_keepers.add(placer)
        return found_keepers

    def may_batch_by_totals(self, replica: str, keeper: str) -> bool:
        """Return whether a keeper may run batch at a replica whose calls it knows by totals only.

        A hub receives the calls themselves. Two hubs that used each other's totals would keep
        reporting calls that have ended to each other.
        """
        if keeper in self._chosen():
            return False
        keepers = self._keepers()
        may_use = keeper in sharers_of(replica, keepers)
        return may_use and keeper not in first_sharers(replica, keepers)

    def _may_run_batch(self, replica_id: str) -> bool:
        table = self._table()
        upstream = upstream_of(self.partitions.key_of.get(replica_id, ""))
        return table is None or upstream in table.job_upstreams
