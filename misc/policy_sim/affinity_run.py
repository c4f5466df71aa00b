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
from papayapier.policy.routing import RouteRequest, choose_replica

PREFIXES: Final = 300
CACHED: Final = 60
HIT_MS: Final = 0.5
MISS_MS: Final = 6.0
WARM_UP_MS: Final = 2_000.0

Strategy = Callable[[Node, str, int], str]


class Row(NamedTuple):
    """Hold the figures of one run; ttft is the time to the first token, times are in ms."""

    hits: float
    ttft_p50: float
    ttft_p99: float
    token_ms_p99: float


def by_load(node: Node, prefix: str, now: int) -> str:
    """Choose by load only."""
    return _choose_by_policy(node, "", now)


def by_prefix(node: Node, prefix: str, now: int) -> str:
    """Choose the replica with the highest rendezvous score for the prefix, whatever its load."""
    return max(node.replica_ids, key=lambda replica_id: score(prefix, replica_id))


def by_policy(node: Node, prefix: str, now: int) -> str:
    """Choose with the production policy."""
    return _choose_by_policy(node, prefix, now)


STRATEGIES: Final[dict[str, Strategy]] = {
    "by load": by_load,
    "by prefix": by_prefix,
    "policy": by_policy,
}


def _choose_by_policy(node: Node, prefix: str, now: int) -> str:
    req = RouteRequest(UPSTREAM, prefix, node.data_centre)
    return (
        choose_replica(node.load_tracker, node.outliers, req, node.rand, now) or node.replica_ids[0]
    )


class Run:
    """Hold the fleet and the measurements of one run."""

    def __init__(self, strategy: Strategy, load: float, seed: int) -> None:
        self.strategy = strategy
        self.fleet = Fleet(seed)
        self.loop = self.fleet.loop
        self.rand = self.fleet.rand
        self.arrivals_per_ms = load * self.fleet.calls_per_ms
        self.caches: dict[str, OrderedDict[str, None]] = {
            replica_id: OrderedDict() for replica_id in self.fleet.engines
        }
        self.weights = list(accumulate(1 / (rank + 1) for rank in range(PREFIXES)))
        self.ttft_ms: list[float] = []
        self.ms_per_token: list[float] = []
        self.hits = 0
        self.calls = 0

    def simulate(self, seconds: float) -> Row:
        """Run the simulation and return its figures."""
        for node in self.fleet.nodes:
            self.fleet.start_node(node)
        self._arrive()
        self.loop.run(seconds * 1000)
        hits = self.hits / max(1, self.calls)
        return Row(
            hits,
            quantile(self.ttft_ms, 0.5),
            quantile(self.ttft_ms, 0.99),
            quantile(self.ms_per_token, 0.99),
        )

    def _arrive(self) -> None:
        self.loop.after(self.rand.expovariate(self.arrivals_per_ms), self._arrive)
        rank = self.rand.choices(range(PREFIXES), cum_weights=self.weights)[0]
        self._send(self.rand.choice(self.fleet.nodes), f"prefix-{rank}")

    def _send(self, node: Node, prefix: str) -> None:
        sent_ms = self.loop.now
        replica_id = self.strategy(node, prefix, int(sent_ms))
        node.load_tracker.on_sent(replica_id, False, int(sent_ms))
        tokens = max(1, round(self.rand.expovariate(1 / MEAN_TOKENS)))

        def on_finished(_: bool) -> None:
            self.loop.after(LINK_MS, on_reply)

        def on_reply() -> None:
            node.load_tracker.on_finished(replica_id, False, int(self.loop.now))
            if sent_ms >= WARM_UP_MS:
                self.ttft_ms.append(seq.first_ms + LINK_MS - sent_ms)
                self.ms_per_token.append((self.loop.now - sent_ms) / tokens)

        seq = Sequence(tokens, self._prefill_ms(replica_id, prefix), on_finished)
        self.loop.after(LINK_MS, partial(self.fleet.engines[replica_id].submit, seq))

    def _prefill_ms(self, replica_id: str, prefix: str) -> float:
        cache = self.caches[replica_id]
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
            row = Run(strategy, load, args.seed).simulate(args.seconds)
            print(
                f"{load:4.2f}  {name:<10}{row.hits:6.2f}{row.ttft_p50:11.1f}"
                f"{row.ttft_p99:11.1f}{row.token_ms_p99:14.1f}"
            )


if __name__ == "__main__":
    main()
