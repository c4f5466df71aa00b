"""Compare policies for sharing replicas between online calls and batch streams.

Run as: python -m misc.policy_sim.batch_run [--seed N] [--seconds S]
Online calls arrive at a base rate, and at five times that rate for one second in every ten. There
are always batch items to send. The last column is the batch tokens as a share of those that the
slots without online calls could have generated at the speed of a full replica.
"""

import argparse
import random
from functools import partial
from typing import Final, NamedTuple

from misc.policy_sim.engine import Engine, EngineModel, Loop, Sequence
from misc.policy_sim.fleet import (
    HEARTBEAT_MS,
    INSTANCES,
    LINK_MS,
    POLL_MS,
    REPLICAS,
    UPSTREAM,
    Node,
    list_replicas,
    quantile,
)
from papayapier.config.profiles import BatchRule, Isolation
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.loads import ReplicaUse
from papayapier.policy.routing import RouteRequest, choose
from papayapier.upstream.api import Replica

EARLY_MS: Final = 50.0
EARLY_CALLS: Final = 4
TICK_MS: Final = 20.0
WARM_UP_MS: Final = 3_000.0
BURST_EVERY_MS: Final = 10_000.0
BURST_MS: Final = 1_000.0
BURST_FACTOR: Final = 5.0
ONLINE_TOKENS: Final = 40
BATCH_TOKENS: Final = 200
CASES: Final = ((0.15, 0.0, 1.0), (0.08, 0.0, 1.0), (0.15, 2.0, 1.0), (0.15, 0.0, 20.0))
HEAD: Final = (
    "policy                first p50    p99    p99.9  gap p50   p99  total p50    p99"
    "   batch/s  yields/s  of idle"
)


class Setup(NamedTuple):
    """Configure one run; online is the base load as a share of all slots.

    The first instance gets skew times the traffic of each other instance. Only the first workers
    instances have batch items; all have them from all_work_from_ms on, unless that is 0.
    """

    name: str
    rule: BatchRule | None
    online: float = 0.15
    prefill_ms: float = 0.0
    yields: bool = True
    skew: float = 1.0
    workers: int = INSTANCES
    all_work_from_ms: float = 0.0


class Row(NamedTuple):
    """Hold the figures of one run; times are in ms."""

    first: list[float]
    gap: list[float]
    total: list[float]
    batch_per_s: float
    idle_per_s: float
    yields_per_s: float


class BatchNode(Node):
    """Hold one instance's load estimates, batch share and open batch streams."""

    def __init__(self, index: int, replicas: list[Replica], setup: Setup, seed: int) -> None:
        super().__init__(index, replicas, seed)
        self.share = BatchShare(self.name)
        self.share.set_instances([f"i{i}" for i in range(INSTANCES)])
        self.streams: dict[str, list[Sequence]] = {replica.id: [] for replica in replicas}
        self.kept: list[int] = []
        self.told_ms = 0.0
        self.told: dict[str, int] = {}
        for replica in replicas:
            self.share.set_upstream(replica.id, UPSTREAM)
        if setup.rule:
            self.share.set_rule(UPSTREAM, setup.rule)


class Run:
    """Hold the fleet and the measurements of one run."""

    def __init__(self, setup: Setup, seed: int) -> None:
        self.setup = setup
        self.loop = Loop()
        self.rand = random.Random(seed)
        model = EngineModel()
        self.model = model
        self.engines = {f"r{i}": Engine(self.loop, model) for i in range(REPLICAS)}
        replicas = list_replicas(self.engines)
        self.nodes = [BatchNode(i, replicas, setup, seed) for i in range(INSTANCES)]
        self.weights = [setup.skew, *[1.0] * (INSTANCES - 1)]
        self.first: list[float] = []
        self.gap: list[float] = []
        self.total: list[float] = []
        self.batch_tokens = 0
        self.online_slot_ms = 0.0
        self.yields = 0
        self.per_ms = setup.online * REPLICAS * model.slots / model.full_step_ms() / ONLINE_TOKENS

    def go(self, seconds: float) -> Row:
        """Run the simulation and return its figures."""
        for node in self.nodes:
            self._start(node)
        self._arrive()
        end = seconds * 1000
        self.loop.run(end)
        span = (end - WARM_UP_MS) / 1000
        slots = REPLICAS * self.model.slots
        idle = slots - self.online_slot_ms / (span * 1000)
        return Row(
            self.first,
            self.gap,
            self.total,
            self.batch_tokens / span,
            idle * 1000 / self.model.full_step_ms(),
            self.yields / span,
        )

    def _start(self, node: BatchNode) -> None:
        for key in self.engines:
            offset = self.rand.uniform(0, POLL_MS)
            self.loop.every(POLL_MS, offset, partial(self._poll, node, key))
        self.loop.every(
            HEARTBEAT_MS, self.rand.uniform(0, HEARTBEAT_MS), lambda: self._send_heartbeat(node)
        )
        if self.setup.rule:
            self.loop.every(TICK_MS, self.rand.uniform(0, TICK_MS), lambda: self._tick(node))

    def _poll(self, node: BatchNode, key: str) -> None:
        report = self.engines[key].report()
        node.on_report(key, report)
        node.share.on_report(key, report)

    def _send_early_heartbeat(self, node: BatchNode) -> None:
        """Send a heartbeat early if the number of online calls has changed by much."""
        if self.loop.now < node.told_ms + EARLY_MS:
            return
        online = {use.replica: use.online for use in node.book.uses()}
        keys = online.keys() | node.told.keys()
        if sum(abs(online.get(k, 0) - node.told.get(k, 0)) for k in keys) >= EARLY_CALLS:
            self._send_heartbeat(node)

    def _send_heartbeat(self, node: BatchNode) -> None:
        uses = node.book.uses()
        node.told = {use.replica: use.online for use in uses}
        node.told_ms = self.loop.now
        for peer in self.nodes:
            if peer is not node:
                self.loop.after(LINK_MS, partial(self._on_heartbeat, peer, node.name, uses))

    def _on_heartbeat(self, node: BatchNode, peer: str, uses: list[ReplicaUse]) -> None:
        node.book.on_peer_uses(peer, uses, int(self.loop.now))

    def _arrive(self) -> None:
        rate = self.per_ms
        if self.loop.now % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS:
            rate *= BURST_FACTOR
        self.loop.after(self.rand.expovariate(rate), self._arrive)
        self._send_online(self.rand.choices(self.nodes, self.weights)[0])

    def _send_online(self, node: BatchNode) -> None:
        begun = self.loop.now
        req = RouteRequest(UPSTREAM, "", node.data_centre)
        key = choose(node.book, node.outliers, req, node.rand, int(begun))
        assert key is not None
        node.book.on_sent(key, False, int(begun))
        tokens = 8 + int(self.rand.expovariate(1 / (ONLINE_TOKENS - 8)))

        def ended(_: bool) -> None:
            self.loop.after(LINK_MS, done)

        def done() -> None:
            node.book.on_done(key, False, int(self.loop.now))
            gap = (seq.last_ms - seq.first_ms) / (tokens - 1)
            node.share.on_online_signal(key, seq.first_ms - begun, gap, int(self.loop.now))
            if begun < WARM_UP_MS:
                return
            self.first.append(seq.first_ms + LINK_MS - begun)
            self.gap.append(gap)
            self.total.append(self.loop.now - begun)
            self.online_slot_ms += seq.last_ms - begun - LINK_MS

        seq = Sequence(tokens, self.setup.prefill_ms, ended)
        self.loop.after(LINK_MS, lambda: self.engines[key].submit(seq))
        if self.setup.rule and self.setup.yields:
            self._yield(node, key)

    def _tick(self, node: BatchNode) -> None:
        self._send_early_heartbeat(node)
        for key in self.engines:
            if self.setup.yields:
                self._yield(node, key)
            if not self._works(node):
                continue
            for _ in range(node.share.room(key, node.book, int(self.loop.now))):
                self._send_batch(node, key)

    def _works(self, node: BatchNode) -> bool:
        if 0 < self.setup.all_work_from_ms <= self.loop.now:
            return True
        return int(node.name[1:]) < self.setup.workers

    def _yield(self, node: BatchNode, key: str) -> None:
        count = node.share.to_yield(key, node.book, int(self.loop.now))
        streams = node.streams[key]
        for seq in sorted(streams, key=lambda seq: seq.made)[:count]:
            streams.remove(seq)
            node.book.on_done(key, True, int(self.loop.now))
            self.yields += self.loop.now >= WARM_UP_MS
            self.loop.after(LINK_MS, partial(self.engines[key].cancel, seq))

    def _send_batch(self, node: BatchNode, key: str) -> None:
        tokens = node.kept.pop() if node.kept else BATCH_TOKENS
        node.book.on_sent(key, True, int(self.loop.now))

        def ended(whole: bool) -> None:
            if self.loop.now >= WARM_UP_MS:
                self.batch_tokens += seq.made
            if not whole and tokens > seq.made:
                node.kept.append(tokens - seq.made)
            self.loop.after(LINK_MS, done)

        def done() -> None:
            if seq in node.streams[key]:
                node.streams[key].remove(seq)
                node.book.on_done(key, True, int(self.loop.now))

        seq = Sequence(tokens, self.setup.prefill_ms, ended)
        node.streams[key].append(seq)
        self.loop.after(LINK_MS, lambda: self.engines[key].submit(seq))


def setups(online: float, prefill_ms: float) -> list[Setup]:
    """Return the runs of one table."""

    def rule(isolation: Isolation, share: float = 1.0) -> BatchRule:
        return BatchRule(share=share, isolation=isolation)

    return [
        Setup("no batch", None, online, prefill_ms),
        Setup("none", rule("none"), online, prefill_ms),
        Setup("static 0.5", rule("static", 0.5), online, prefill_ms),
        Setup("throughput, no yield", rule("throughput"), online, prefill_ms, yields=False),
        Setup("throughput", rule("throughput"), online, prefill_ms),
        Setup("tail, no yield", rule("tail"), online, prefill_ms, yields=False),
        Setup("tail", rule("tail"), online, prefill_ms),
    ]


def main() -> None:
    """Run every policy in every case and print a table for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=33.0)
    args = parser.parse_args()
    for online, prefill_ms, skew in CASES:
        print(f"online {online} of slots, prefill {prefill_ms} ms, first instance x{skew:.0f}")
        print(HEAD)
        idle = 0.0
        for setup in setups(online, prefill_ms):
            row = Run(setup._replace(skew=skew), args.seed).go(args.seconds)
            idle = idle or row.idle_per_s
            print(
                f"{setup.name:<22}{quantile(row.first, 0.5):9.1f}{quantile(row.first, 0.99):8.1f}"
                f"{quantile(row.first, 0.999):8.1f}"
                f"{quantile(row.gap, 0.5):9.2f}{quantile(row.gap, 0.99):6.2f}"
                f"{quantile(row.total, 0.5):10.0f}{quantile(row.total, 0.99):8.0f}"
                f"{row.batch_per_s:10.0f}{row.yields_per_s:9.1f}{row.batch_per_s / idle:9.2f}"
            )


if __name__ == "__main__":
    main()
