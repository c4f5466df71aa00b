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
from papayapier.policy.routing import RouteRequest, choose_replica
from papayapier.upstream.api import Replica

EARLY_HEARTBEAT_MIN_MS: Final = 50.0
EARLY_HEARTBEAT_CALLS: Final = 4
TICK_MS: Final = 20.0
WARM_UP_MS: Final = 3_000.0
BURST_EVERY_MS: Final = 10_000.0
BURST_MS: Final = 1_000.0
BURST_FACTOR: Final = 5.0
ONLINE_TOKENS: Final = 40
BATCH_TOKENS: Final = 200
CASES: Final = ((0.15, 0.0, 1.0), (0.08, 0.0, 1.0), (0.15, 2.0, 1.0), (0.15, 0.0, 20.0))
HEADER: Final = (
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
    all_workers_from_ms: float = 0.0


class Row(NamedTuple):
    """Hold the figures of one run; ttft is the time to the first token, times are in ms."""

    ttfts: list[float]
    token_gaps_ms: list[float]
    totals_ms: list[float]
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
        self.remaining_tokens: list[int] = []
        self.heartbeat_sent_ms = 0.0
        self.sent_online: dict[str, int] = {}
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
        self.ttfts: list[float] = []
        self.token_gaps_ms: list[float] = []
        self.totals_ms: list[float] = []
        self.batch_tokens = 0
        self.online_slot_ms = 0.0
        self.yields = 0
        self.arrivals_per_ms = (
            setup.online * REPLICAS * model.slots / model.full_step_ms() / ONLINE_TOKENS
        )

    def simulate(self, seconds: float) -> Row:
        """Run the simulation and return its figures."""
        for node in self.nodes:
            self._start(node)
        self._arrive()
        end_ms = seconds * 1000
        self.loop.run(end_ms)
        span_s = (end_ms - WARM_UP_MS) / 1000
        slots = REPLICAS * self.model.slots
        idle_slots = slots - self.online_slot_ms / (span_s * 1000)
        return Row(
            self.ttfts,
            self.token_gaps_ms,
            self.totals_ms,
            self.batch_tokens / span_s,
            idle_slots * 1000 / self.model.full_step_ms(),
            self.yields / span_s,
        )

    def _start(self, node: BatchNode) -> None:
        for replica_id in self.engines:
            offset = self.rand.uniform(0, POLL_MS)
            self.loop.every(POLL_MS, offset, partial(self._poll, node, replica_id))
        self.loop.every(
            HEARTBEAT_MS, self.rand.uniform(0, HEARTBEAT_MS), lambda: self._send_heartbeat(node)
        )
        if self.setup.rule:
            self.loop.every(TICK_MS, self.rand.uniform(0, TICK_MS), lambda: self._tick(node))

    def _poll(self, node: BatchNode, replica_id: str) -> None:
        report = self.engines[replica_id].report()
        node.on_report(replica_id, report)
        node.share.on_report(replica_id, report)

    def _send_early_heartbeat(self, node: BatchNode) -> None:
        """Send a heartbeat early if online calls changed by EARLY_HEARTBEAT_CALLS or more."""
        if self.loop.now < node.heartbeat_sent_ms + EARLY_HEARTBEAT_MIN_MS:
            return
        online = {use.replica: use.online for use in node.load_tracker.own_uses()}
        replica_ids = online.keys() | node.sent_online.keys()
        if (
            sum(
                abs(online.get(replica_id, 0) - node.sent_online.get(replica_id, 0))
                for replica_id in replica_ids
            )
            >= EARLY_HEARTBEAT_CALLS
        ):
            self._send_heartbeat(node)

    def _send_heartbeat(self, node: BatchNode) -> None:
        uses = node.load_tracker.own_uses()
        node.sent_online = {use.replica: use.online for use in uses}
        node.heartbeat_sent_ms = self.loop.now
        for peer in self.nodes:
            if peer is not node:
                self.loop.after(LINK_MS, partial(self._on_heartbeat, peer, node.name, uses))

    def _on_heartbeat(self, node: BatchNode, peer: str, uses: list[ReplicaUse]) -> None:
        node.load_tracker.on_peer_calls(peer, uses, int(self.loop.now))

    def _arrive(self) -> None:
        rate = self.arrivals_per_ms
        if self.loop.now % BURST_EVERY_MS >= BURST_EVERY_MS - BURST_MS:
            rate *= BURST_FACTOR
        self.loop.after(self.rand.expovariate(rate), self._arrive)
        self._send_online(self.rand.choices(self.nodes, self.weights)[0])

    def _send_online(self, node: BatchNode) -> None:
        sent_ms = self.loop.now
        req = RouteRequest(UPSTREAM, "", node.data_centre)
        replica_id = choose_replica(node.load_tracker, node.outliers, req, node.rand, int(sent_ms))
        assert replica_id is not None
        node.load_tracker.on_sent(replica_id, False, int(sent_ms))
        tokens = 8 + int(self.rand.expovariate(1 / (ONLINE_TOKENS - 8)))

        def on_finished(_: bool) -> None:
            self.loop.after(LINK_MS, on_reply)

        def on_reply() -> None:
            node.load_tracker.on_finished(replica_id, False, int(self.loop.now))
            gap_ms = (seq.last_ms - seq.first_ms) / (tokens - 1)
            node.share.on_online_signal(
                replica_id, seq.first_ms - sent_ms, gap_ms, int(self.loop.now)
            )
            if sent_ms < WARM_UP_MS:
                return
            self.ttfts.append(seq.first_ms + LINK_MS - sent_ms)
            self.token_gaps_ms.append(gap_ms)
            self.totals_ms.append(self.loop.now - sent_ms)
            self.online_slot_ms += seq.last_ms - sent_ms - LINK_MS

        seq = Sequence(tokens, self.setup.prefill_ms, on_finished)
        self.loop.after(LINK_MS, lambda: self.engines[replica_id].submit(seq))
        if self.setup.rule and self.setup.yields:
            self._yield_streams(node, replica_id)

    def _tick(self, node: BatchNode) -> None:
        self._send_early_heartbeat(node)
        for replica_id in self.engines:
            if self.setup.yields:
                self._yield_streams(node, replica_id)
            if not self._has_batch_items(node):
                continue
            for _ in range(
                node.share.free_streams(replica_id, node.load_tracker, int(self.loop.now))
            ):
                self._send_batch(node, replica_id)

    def _has_batch_items(self, node: BatchNode) -> bool:
        if 0 < self.setup.all_workers_from_ms <= self.loop.now:
            return True
        return int(node.name[1:]) < self.setup.workers

    def _yield_streams(self, node: BatchNode, replica_id: str) -> None:
        count = node.share.excess_streams(replica_id, node.load_tracker, int(self.loop.now))
        streams = node.streams[replica_id]
        for seq in sorted(streams, key=lambda seq: seq.num_generated)[:count]:
            streams.remove(seq)
            node.load_tracker.on_finished(replica_id, True, int(self.loop.now))
            self.yields += self.loop.now >= WARM_UP_MS
            self.loop.after(LINK_MS, partial(self.engines[replica_id].cancel, seq))

    def _send_batch(self, node: BatchNode, replica_id: str) -> None:
        tokens = node.remaining_tokens.pop() if node.remaining_tokens else BATCH_TOKENS
        node.load_tracker.on_sent(replica_id, True, int(self.loop.now))

        def on_finished(complete: bool) -> None:
            if self.loop.now >= WARM_UP_MS:
                self.batch_tokens += seq.num_generated
            if not complete and tokens > seq.num_generated:
                node.remaining_tokens.append(tokens - seq.num_generated)
            self.loop.after(LINK_MS, on_reply)

        def on_reply() -> None:
            if seq in node.streams[replica_id]:
                node.streams[replica_id].remove(seq)
                node.load_tracker.on_finished(replica_id, True, int(self.loop.now))

        seq = Sequence(tokens, self.setup.prefill_ms, on_finished)
        node.streams[replica_id].append(seq)
        self.loop.after(LINK_MS, lambda: self.engines[replica_id].submit(seq))


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
        print(HEADER)
        idle = 0.0
        for setup in setups(online, prefill_ms):
            row = Run(setup._replace(skew=skew), args.seed).simulate(args.seconds)
            idle = idle or row.idle_per_s
            print(
                f"{setup.name:<22}{quantile(row.ttfts, 0.5):9.1f}{quantile(row.ttfts, 0.99):8.1f}"
                f"{quantile(row.ttfts, 0.999):8.1f}"
                f"{quantile(row.token_gaps_ms, 0.5):9.2f}{quantile(row.token_gaps_ms, 0.99):6.2f}"
                f"{quantile(row.totals_ms, 0.5):10.0f}{quantile(row.totals_ms, 0.99):8.0f}"
                f"{row.batch_per_s:10.0f}{row.yields_per_s:9.1f}{row.batch_per_s / idle:9.2f}"
            )


if __name__ == "__main__":
    main()
