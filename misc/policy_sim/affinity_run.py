"""Compare strategies for sending calls with a prompt prefix to replicas that cache the prefix.

Run as: python -m misc.policy_sim.affinity_run [--seed N] [--seconds S]
Prefixes follow a Zipf distribution. An engine caches the most recently used ones; a call whose
prefix is not cached needs more time for the computation of its prompt.
"""

import argparse
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from itertools import accumulate
from typing import Final, NamedTuple

from misc.policy_sim.engine import Sequence
from misc.policy_sim.fleet import LINK_MS, MEAN_TOKENS, UPSTREAM, Fleet, Node, quantile
from papayapier.policy.rendezvous import score
from papayapier.policy.routing import RouteRequest, choose

PREFIXES: Final = 300
CACHED: Final = 60
HIT_MS: Final = 0.5
MISS_MS: Final = 6.0
WARM_UP_MS: Final = 2_000.0

Strategy = Callable[[Node, str, int], str]


class Row(NamedTuple):
    """Hold the figures of one run; times are in ms."""

    hits: float
    first_p50: float
    first_p99: float
    pace_p99: float


def without(node: Node, prefix: str, now: int) -> str:
    """Choose by load only."""
    return _chosen(node, "", now)


def always(node: Node, prefix: str, now: int) -> str:
    """Choose the replica with the highest rendezvous score for the prefix, whatever its load."""
    return max(node.ids, key=lambda key: score(prefix, key))


def policy(node: Node, prefix: str, now: int) -> str:
    """Choose with the production policy."""
    return _chosen(node, prefix, now)


STRATEGIES: Final[dict[str, Strategy]] = {"by load": without, "by prefix": always, "policy": policy}


def _chosen(node: Node, prefix: str, now: int) -> str:
    req = RouteRequest(UPSTREAM, prefix, node.data_centre)
    return choose(node.book, node.outliers, req, node.rand, now) or node.ids[0]


class Run:
    """Hold the fleet and the measurements of one run."""

    def __init__(self, strategy: Strategy, load: float, seed: int) -> None:
        self.strategy = strategy
        self.fleet = Fleet(seed)
        self.loop = self.fleet.loop
        self.rand = self.fleet.rand
        self.per_ms = load * self.fleet.calls_per_ms
        self.caches: dict[str, OrderedDict[str, None]] = {
            key: OrderedDict() for key in self.fleet.engines
        }
        self.weights = list(accumulate(1 / (rank + 1) for rank in range(PREFIXES)))
        self.firsts: list[float] = []
        self.paces: list[float] = []
        self.hits = 0
        self.calls = 0

    def go(self, seconds: float) -> Row:
        """Run the simulation and return its figures."""
        for node in self.fleet.nodes:
            self.fleet.start_node(node)
        self._arrive()
        self.loop.run(seconds * 1000)
        hits = self.hits / max(1, self.calls)
        return Row(
            hits,
            quantile(self.firsts, 0.5),
            quantile(self.firsts, 0.99),
            quantile(self.paces, 0.99),
        )

    def _arrive(self) -> None:
        self.loop.after(self.rand.expovariate(self.per_ms), self._arrive)
        rank = self.rand.choices(range(PREFIXES), cum_weights=self.weights)[0]
        self._send(self.rand.choice(self.fleet.nodes), f"prefix-{rank}")

    def _send(self, node: Node, prefix: str) -> None:
        begun = self.loop.now
        key = self.strategy(node, prefix, int(begun))
        node.book.on_sent(key, False, int(begun))
        tokens = max(1, round(self.rand.expovariate(1 / MEAN_TOKENS)))

        def ended(_: bool) -> None:
            self.loop.after(LINK_MS, done)

        def done() -> None:
            node.book.on_done(key, False, int(self.loop.now))
            if begun >= WARM_UP_MS:
                self.firsts.append(seq.first_ms + LINK_MS - begun)
                self.paces.append((self.loop.now - begun) / tokens)

        seq = Sequence(tokens, self._prefill_ms(key, prefix), ended)
        self.loop.after(LINK_MS, partial(self.fleet.engines[key].submit, seq))

    def _prefill_ms(self, key: str, prefix: str) -> float:
        cache = self.caches[key]
        hit = prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if len(cache) > CACHED:
            cache.popitem(last=False)
        if self.loop.now >= WARM_UP_MS:
            self.calls += 1
            self.hits += hit
        return HIT_MS if hit else MISS_MS


def main() -> None:
    """Run every strategy at several loads and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print("load  strategy    hits  first p50  first p99  ms/token p99")
    for load in (0.3, 0.5, 0.6):
        for name, strategy in STRATEGIES.items():
            row = Run(strategy, load, args.seed).go(args.seconds)
            print(
                f"{load:4.2f}  {name:<10}{row.hits:6.2f}{row.first_p50:11.1f}"
                f"{row.first_p99:11.1f}{row.pace_p99:14.1f}"
            )


if __name__ == "__main__":
    main()
