"""Compare ways of choosing a replica while load reports lag.

Run as: python -m misc.policy_sim.routing_run [--seed N] [--seconds S]
Six instances send to nine replicas; in the last groups of rows one replica is three and ten
times slower. Times are in ms.
"""

import argparse
import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Final, NamedTuple

from misc.policy_sim.engine import Engine, EngineModel, Loop
from misc.policy_sim.engine import Sequence as Call
from papayapier.peer.messages import ReplicaUse
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.routing import RouteRequest, choose
from papayapier.upstream.api import Replica

INSTANCES: Final = 6
REPLICAS: Final = 9
LINK_MS: Final = 1.0
POLL_MS: Final = 100.0
HEARTBEAT_MS: Final = 500.0
WARM_UP_MS: Final = 2_000.0
MEAN_TOKENS: Final = 60
UPSTREAM: Final = "model"
NO_OUTLIERS: Final = Outliers()


class Node:
    """Hold what one instance knows."""

    def __init__(self, index: int, replicas: Sequence[Replica], seed: int) -> None:
        self.name = f"i{index}"
        self.data_centre = f"dc{index % 3}"
        self.book = LoadBook()
        self.outliers = Outliers()
        self.rand = random.Random(f"{seed}/{index}")
        self.book.on_listed(replicas, ())
        self.outliers.on_listed(replicas)
        self.ids = [replica.id for replica in replicas]
        self.reported: dict[str, float] = dict.fromkeys(self.ids, 0.0)


class Row(NamedTuple):
    """Hold the measures of one run."""

    first_p50: float
    first_p99: float
    total_p50: float
    total_p99: float
    peak_waiting: int


def by_random(node: Node, now: int) -> str:
    """Choose any replica."""
    return node.rand.choice(node.ids)


def by_least_reported(node: Node, now: int) -> str:
    """Choose the replica whose last report is the lowest."""
    return min(node.ids, key=lambda key: (node.reported[key], node.rand.random()))


def by_two_reported(node: Node, now: int) -> str:
    """Choose the lower report of two."""
    return min(node.rand.sample(node.ids, 2), key=lambda key: node.reported[key])


def by_least_estimated(node: Node, now: int) -> str:
    """Choose the replica with the lowest estimate."""
    return min(node.ids, key=lambda key: (node.book.estimate(key, now), node.rand.random()))


def by_two_own(node: Node, now: int) -> str:
    """Choose of two the one with fewer calls of this instance's own."""
    return min(node.rand.sample(node.ids, 2), key=lambda key: node.book.own(key).online)


def by_policy(node: Node, now: int) -> str:
    """Choose as the product does, prefixes aside."""
    req = RouteRequest(UPSTREAM, "", node.data_centre)
    return choose(node.book, node.outliers, req, node.rand, now) or node.ids[0]


def without_ejection(node: Node, now: int) -> str:
    """Choose as the product does, but never eject."""
    req = RouteRequest(UPSTREAM, "", node.data_centre)
    return choose(node.book, NO_OUTLIERS, req, node.rand, now) or node.ids[0]


WAYS: Final[dict[str, Callable[[Node, int], str]]] = {
    "random": by_random,
    "least reported": by_least_reported,
    "two, reported": by_two_reported,
    "two, own calls": by_two_own,
    "least estimated": by_least_estimated,
    "policy": by_policy,
    "no ejection": without_ejection,
}


def run(
    way: Callable[[Node, int], str], load: float, slow: float, seed: int, seconds: float
) -> Row:
    """Run one way at a share of the fleet's token capacity."""
    loop = Loop()
    model = EngineModel()
    engines = {f"r{i}": Engine(loop, model) for i in range(REPLICAS)}
    engines["r0"].slow_factor = slow
    replicas = [Replica(key, UPSTREAM, "", 0, f"dc{i % 3}") for i, key in enumerate(engines)]
    nodes = [Node(i, replicas, seed) for i in range(INSTANCES)]
    rand = random.Random(seed)
    firsts: list[float] = []
    totals: list[float] = []
    peak = 0
    full_step = model.base_ms + model.per_sequence_ms * model.slots
    per_ms = load * REPLICAS * model.slots / full_step / MEAN_TOKENS

    def poll(node: Node, key: str) -> None:
        report = engines[key].report()
        node.reported[key] = report.running + report.waiting
        node.book.on_report(key, report)

    def heartbeat(node: Node) -> None:
        uses = node.book.uses()
        for peer in nodes:
            if peer is not node:
                loop.after(LINK_MS, partial(hear, peer, node.name, uses))

    def hear(node: Node, peer: str, uses: list[ReplicaUse]) -> None:
        node.book.on_peer_uses(peer, uses, int(loop.now))

    def arrive() -> None:
        loop.after(rand.expovariate(per_ms), arrive)
        send(rand.choice(nodes))

    def send(node: Node) -> None:
        nonlocal peak
        begun = loop.now
        key = way(node, int(begun))
        node.book.on_sent(key, False, int(begun))
        node.outliers.on_start(key, int(begun))
        tokens = max(1, round(rand.expovariate(1 / MEAN_TOKENS)))

        def ended(_: bool) -> None:
            loop.after(LINK_MS, done)

        def done() -> None:
            node.book.on_done(key, False, int(loop.now))
            first_ms = call.first_ms + LINK_MS - begun
            node.outliers.on_end(key, True, first_ms, int(loop.now))
            if begun >= WARM_UP_MS:
                firsts.append(first_ms)
                totals.append((loop.now - begun) / tokens)

        call = Call(tokens, 0.0, ended)
        loop.after(LINK_MS, lambda: engines[key].submit(call))
        peak = max(peak, len(engines[key].waiting))

    for node in nodes:
        for key in engines:
            loop.every(POLL_MS, rand.uniform(0, POLL_MS), partial(poll, node, key))
        loop.every(HEARTBEAT_MS, rand.uniform(0, HEARTBEAT_MS), partial(heartbeat, node))
    arrive()
    loop.run(seconds * 1000)
    return Row(at(firsts, 0.5), at(firsts, 0.99), at(totals, 0.5), at(totals, 0.99), peak)


def at(values: list[float], share: float) -> float:
    """Return a quantile of measured values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print("load  slow  way               first p50  first p99  ms/token p50  p99  peak waiting")
    for load, slow in ((0.5, 1.0), (0.8, 1.0), (0.9, 1.0), (0.7, 3.0), (0.7, 10.0)):
        for name, way in WAYS.items():
            row = run(way, load, slow, args.seed, args.seconds)
            print(
                f"{load:4.2f}  {slow:4.1f}  {name:<16}  {row.first_p50:9.1f}  {row.first_p99:9.1f}"
                f"  {row.total_p50:12.2f}  {row.total_p99:6.1f}  {row.peak_waiting:5d}"
            )


if __name__ == "__main__":
    main()
