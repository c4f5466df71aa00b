"""Model a fleet of engines, and instances that learn their load by reports and heartbeats.

The simulations of this package differ in the decisions of the instances. This module holds what
they share: links, polling of load reports, and heartbeats between instances.
"""

import random
from collections.abc import Iterable, Sequence
from functools import partial
from typing import Final

from misc.policy_sim.engine import Engine, EngineModel, Loop
from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.outliers import OutlierDetector
from papayapier.upstream.api import Load, Replica

INSTANCES: Final = 6
REPLICAS: Final = 9
DATA_CENTRES: Final = 3
LINK_MS: Final = 1.0
POLL_MS: Final = 100.0
HEARTBEAT_MS: Final = 500.0
MEAN_TOKENS: Final = 60
UPSTREAM: Final = "model"


class Node:
    """Hold the load estimates and outlier state of one instance."""

    def __init__(self, index: int, replicas: Sequence[Replica], seed: int) -> None:
        self.name = f"i{index}"
        self.data_centre = f"dc{index % DATA_CENTRES}"
        self.load_tracker = LoadTracker()
        self.outliers = OutlierDetector()
        self.rand = random.Random(f"{seed}/{index}")
        self.load_tracker.on_listed(replicas, ())
        self.outliers.on_listed(replicas)
        self.replica_ids = [replica.id for replica in replicas]
        self.reported: dict[str, float] = dict.fromkeys(self.replica_ids, 0.0)

    def on_report(self, replica_id: str, load: Load) -> None:
        """Apply a load report."""
        self.reported[replica_id] = load.running + load.waiting
        self.load_tracker.on_report(replica_id, load)


class Fleet:
    """Hold the engines and instances of one run and their common virtual-time loop."""

    def __init__(self, seed: int) -> None:
        self.loop = Loop()
        self.rand = random.Random(seed)
        model = EngineModel()
        self.engines = {f"r{i}": Engine(self.loop, model) for i in range(REPLICAS)}
        replicas = list_replicas(self.engines)
        self.nodes = [Node(i, replicas, seed) for i in range(INSTANCES)]
        self.calls_per_ms = REPLICAS * model.slots / model.full_step_ms() / MEAN_TOKENS

    def start_node(self, node: Node) -> None:
        """Start an instance's polling and heartbeats, each with a random offset."""
        for replica_id in self.engines:
            offset = self.rand.uniform(0, POLL_MS)
            self.loop.every(POLL_MS, offset, partial(self._poll, node, replica_id))
        offset = self.rand.uniform(0, HEARTBEAT_MS)
        self.loop.every(HEARTBEAT_MS, offset, partial(self._send_heartbeat, node))

    def _poll(self, node: Node, replica_id: str) -> None:
        node.on_report(replica_id, self.engines[replica_id].report())

    def _send_heartbeat(self, node: Node) -> None:
        uses = node.load_tracker.own_uses()
        for peer in self.nodes:
            if peer is not node:
                self.loop.after(LINK_MS, partial(self._on_heartbeat, peer, node.name, uses))

    def _on_heartbeat(self, node: Node, peer: str, uses: list[ReplicaUse]) -> None:
        node.load_tracker.on_peer_calls(peer, uses, int(self.loop.now))


def list_replicas(replica_ids: Iterable[str]) -> list[Replica]:
    """Return the engines as replicas of one upstream, distributed over the data centres."""
    return [
        Replica(replica_id, UPSTREAM, "", 0, f"dc{i % DATA_CENTRES}")
        for i, replica_id in enumerate(replica_ids)
    ]


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of the values, 0.0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
