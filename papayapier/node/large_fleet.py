"""Know what a large fleet's instances need of each other: the hubs, and whom a call concerns."""

from collections.abc import Callable, Collection, Sequence

from papayapier.config.route_table import RouteTable
from papayapier.node.processes import NodeList, Role
from papayapier.policy.placers import make_parts, placer_of, upstream_of
from papayapier.policy.totals import first_sharers, sharers_of
from papayapier.upstream.api import Replica


class LargeFleet:
    """Hold the parts of the upstreams.

    live names the instances that are heard and not leaving, chosen those that are to be hubs,
    vouched those that the hubs take for live.
    """

    def __init__(
        self,
        nodes: NodeList,
        live: Callable[[], Sequence[str]],
        chosen: Callable[[], Sequence[str]],
        vouched: Callable[[], Collection[str]],
        table: Callable[[], RouteTable | None],
    ) -> None:
        self.parts = make_parts(())
        self._nodes = nodes
        self._live = live
        self._chosen = chosen
        self._vouched = vouched
        self._table = table

    def on_replicas(self, replicas: Sequence[Replica]) -> None:
        """Take the listed replicas."""
        self.parts = make_parts(replicas)

    def hubs(self) -> list[str]:
        """Return the live hubs."""
        live = self._live()
        return [one for one in self._chosen() if one in live]

    def _keepers(self) -> list[str]:
        """Return the keepers that share the work, by the same word as they go by themselves."""
        return sorted(self._nodes.with_role(Role.KEEPER).intersection(self._vouched()))

    def concerned(self, replicas: Collection[str]) -> set[str]:
        """Return the keepers that share some replicas' batch slots or place their online calls."""
        hubs = self.hubs()
        keepers = self._keepers()
        found: set[str] = set()
        for replica in replicas:
            if self._may_run_batch(replica):
                found.update(first_sharers(replica, keepers))
            key = self.parts.key_of.get(replica)
            placer = placer_of(key, hubs) if key is not None else None
            if placer is not None:
                found.add(placer)
        return found

    def uses_by_totals(self, replica: str, keeper: str) -> bool:
        """Tell whether a keeper may run batch at a replica of whose calls it hears by totals.

        A hub hears of the calls themselves, and two hubs that took each other's totals would tell
        each other of calls that have ended.
        """
        if keeper in self._chosen():
            return False
        keepers = self._keepers()
        may_use = keeper in sharers_of(replica, keepers)
        return may_use and keeper not in first_sharers(replica, keepers)

    def _may_run_batch(self, replica_id: str) -> bool:
        table = self._table()
        upstream = upstream_of(self.parts.key_of.get(replica_id, ""))
        return table is None or upstream in table.job_upstreams
