"""Compare strategies for choosing a replica when load reports are delayed.

Run as: python -m misc.policy_sim.routing_run [--seed N] [--seconds S]
Six instances send to nine replicas. In the last two groups of rows one replica is three and
ten times slower than the others. Times are in ms.
"""

import argparse
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

from misc.policy_sim.engine import Sequence
from misc.policy_sim.fleet import LINK_MS, MEAN_TOKENS, UPSTREAM, Fleet, Node, quantile
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.routing import RouteRequest, choose_replica

WARM_UP_MS: Final = 2_000.0
NO_OUTLIERS: Final = OutlierDetector()


Strategy = Callable[[Node, int], str]


class Row(NamedTuple):
    """Hold the figures of one run; ttft is the time to the first token, times are in ms."""

    ttft_p50: float
    ttft_p99: float
    token_ms_p50: float
    token_ms_p99: float
    peak_waiting: int


def by_random(node: Node, now: int) -> str:
    """Choose a random replica."""
    return node.rand.choice(node.replica_ids)


def by_least_reported(node: Node, now: int) -> str:
    """Choose the replica with the lowest load in its last report."""
    return min(
        node.replica_ids, key=lambda replica_id: (node.reported[replica_id], node.rand.random())
    )


def by_two_reported(node: Node, now: int) -> str:
    """Choose the one of two random replicas with the lower reported load."""
    return min(
        node.rand.sample(node.replica_ids, 2), key=lambda replica_id: node.reported[replica_id]
    )


def by_least_estimated(node: Node, now: int) -> str:
    """Choose the replica with the lowest estimated load."""
    return min(
        node.replica_ids,
        key=lambda replica_id: (node.load_tracker.estimate(replica_id, now), node.rand.random()),
    )


def by_two_own_calls(node: Node, now: int) -> str:
    """Choose the one of two random replicas with fewer open calls of this instance."""
    return min(
        node.rand.sample(node.replica_ids, 2),
        key=lambda replica_id: node.load_tracker.own_calls(replica_id).online,
    )


def by_policy(node: Node, now: int) -> str:
    """Choose with the production policy, without prompt prefixes."""
    req = RouteRequest(UPSTREAM, "", node.data_centre)
    return (
        choose_replica(node.load_tracker, node.outliers, req, node.rand, now) or node.replica_ids[0]
    )


def by_policy_without_ejection(node: Node, now: int) -> str:
    """Choose with the production policy, but eject no replica."""
    req = RouteRequest(UPSTREAM, "", node.data_centre)
    return (
        choose_replica(node.load_tracker, NO_OUTLIERS, req, node.rand, now) or node.replica_ids[0]
    )


STRATEGIES: Final[dict[str, Strategy]] = {
    "random": by_random,
    "least reported": by_least_reported,
    "two, reported": by_two_reported,
    "two, own calls": by_two_own_calls,
    "least estimated": by_least_estimated,
    "policy": by_policy,
    "no ejection": by_policy_without_ejection,
}


class Run:
    """Hold the fleet and the measurements of one run."""

    def __init__(self, strategy: Strategy, load: float, slowdown: float, seed: int) -> None:
        self.strategy = strategy
        self.fleet = Fleet(seed)
        self.fleet.engines["r0"].slow_factor = slowdown
        self.loop = self.fleet.loop
        self.rand = self.fleet.rand
        self.arrivals_per_ms = load * self.fleet.calls_per_ms
        self.ttft_ms: list[float] = []
        self.ms_per_token: list[float] = []
        self.peak_waiting = 0

    def simulate(self, seconds: float) -> Row:
        """Run the simulation and return its figures."""
        for node in self.fleet.nodes:
            self.fleet.start_node(node)
        self._arrive()
        self.loop.run(seconds * 1000)
        return Row(
            quantile(self.ttft_ms, 0.5),
            quantile(self.ttft_ms, 0.99),
            quantile(self.ms_per_token, 0.5),
            quantile(self.ms_per_token, 0.99),
            self.peak_waiting,
        )

    def _arrive(self) -> None:
        self.loop.after(self.rand.expovariate(self.arrivals_per_ms), self._arrive)
        self._send(self.rand.choice(self.fleet.nodes))

    def _send(self, node: Node) -> None:
        sent_ms = self.loop.now
        replica_id = self.strategy(node, int(sent_ms))
        node.load_tracker.on_sent(replica_id, False, int(sent_ms))
        node.outliers.on_start(replica_id, int(sent_ms))
        tokens = max(1, round(self.rand.expovariate(1 / MEAN_TOKENS)))
        engine = self.fleet.engines[replica_id]

        def on_finished(_: bool) -> None:
            self.loop.after(LINK_MS, on_reply)

        def on_reply() -> None:
            node.load_tracker.on_finished(replica_id, False, int(self.loop.now))
            first_ms = seq.first_ms + LINK_MS - sent_ms
            node.outliers.on_end(replica_id, True, first_ms, int(self.loop.now))
            if sent_ms >= WARM_UP_MS:
                self.ttft_ms.append(first_ms)
                self.ms_per_token.append((self.loop.now - sent_ms) / tokens)

        seq = Sequence(tokens, 0.0, on_finished)
        self.loop.after(LINK_MS, partial(engine.submit, seq))
        self.peak_waiting = max(self.peak_waiting, len(engine.waiting))


def main() -> None:
    """Run every strategy at several loads and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print("load  slow  strategy          first p50  first p99  ms/token p50  p99  peak waiting")
    for load, slow in ((0.5, 1.0), (0.8, 1.0), (0.9, 1.0), (0.7, 3.0), (0.7, 10.0)):
        for name, strategy in STRATEGIES.items():
            row = Run(strategy, load, slow, args.seed).simulate(args.seconds)
            print(
                f"{load:4.2f}  {slow:4.1f}  {name:<16}  {row.ttft_p50:9.1f}  {row.ttft_p99:9.1f}"
                f"  {row.token_ms_p50:12.2f}  {row.token_ms_p99:6.1f}  {row.peak_waiting:5d}"
            )


if __name__ == "__main__":
    main()
