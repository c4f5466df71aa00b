"""Compare admission gates when more requests arrive than the replicas can run.

Run as: python -m misc.policy_sim.overload_run [--seed N] [--seconds S]
Six instances send to nine replicas through their admission queues; every request is due in
1.5 s. Goodput is the share of the fleet's capacity that produced responses by their due time.
"""

import argparse
from collections.abc import Callable
from functools import partial
from typing import Final, NamedTuple

from misc.policy_sim.engine import Sequence
from misc.policy_sim.fleet import (
    INSTANCES,
    LINK_MS,
    MEAN_TOKENS,
    UPSTREAM,
    Fleet,
    Node,
    quantile,
)
from papayapier.policy.admission import AdmissionQueue, QueuedRequest
from papayapier.policy.fair_queue import RANKS
from papayapier.policy.routing import RouteRequest, choose_replica, free_capacity

DUE_MS: Final = 1_500
TICK_MS: Final = 10.0
WARM_UP_MS: Final = 3_000.0
UNBOUNDED: Final = 1_000_000

HEADER: Final = (
    "load  skew  gate       goodput  late  refused  given up  engine p99  first p50   p99  peak"
)

Gate = Callable[[Node, int], bool]


class Row(NamedTuple):
    """Hold the figures of one run; ttft is the time to the first token, times are in ms."""

    in_time: float
    late: int
    refused: int
    given_up: int
    engine_wait_p99: float
    ttft_p50: float
    ttft_p99: float
    peak_waiting: int


def open_gate(node: Node, now: int) -> bool:
    """Send every request immediately."""
    return True


def estimate_gate(node: Node, now: int) -> bool:
    """Send while the estimated load of a replica is below its number of slots."""
    return any(
        node.load_tracker.estimate(replica_id, now) < node.load_tracker.slots(replica_id)
        for replica_id in node.replica_ids
    )


def policy_gate(node: Node, now: int) -> bool:
    """Send with the production policy."""
    return free_capacity(node.load_tracker, node.outliers, UPSTREAM, now) > 0


GATES: Final[dict[str, Gate]] = {
    "no gate": open_gate,
    "estimate": estimate_gate,
    "policy": policy_gate,
}


class Run:
    """Hold the fleet and the measurements of one run."""

    def __init__(self, gate: Gate, load: float, skew: float, seed: int) -> None:
        self.gate = gate
        self.fleet = Fleet(seed)
        self.loop = self.fleet.loop
        self.rand = self.fleet.rand
        self.arrivals_per_ms = load * self.fleet.calls_per_ms
        self.weights = [skew, *[1.0] * (INSTANCES - 1)]
        self.queues = {node.name: AdmissionQueue(UNBOUNDED) for node in self.fleet.nodes}
        self.ticket = 0
        self.counts = {"in_time": 0, "late": 0, "refused": 0, "given_up": 0}
        self.engine_waits: list[float] = []
        self.ttft_ms: list[float] = []
        self.peak_waiting = 0

    def simulate(self, seconds: float) -> Row:
        """Run the simulation and return its figures."""
        for node in self.fleet.nodes:
            self.fleet.start_node(node)
            self.loop.every(
                TICK_MS, self.rand.uniform(0, TICK_MS), partial(self._send_admitted, node)
            )
        self._arrive()
        self.loop.run(seconds * 1000)
        capacity = self.fleet.calls_per_ms * (seconds * 1000 - WARM_UP_MS)
        return Row(
            self.counts["in_time"] / capacity,
            self.counts["late"],
            self.counts["refused"],
            self.counts["given_up"],
            quantile(self.engine_waits, 0.99),
            quantile(self.ttft_ms, 0.5),
            quantile(self.ttft_ms, 0.99),
            self.peak_waiting,
        )

    def _arrive(self) -> None:
        self.loop.after(self.rand.expovariate(self.arrivals_per_ms), self._arrive)
        node = self.rand.choices(self.fleet.nodes, self.weights)[0]
        now = int(self.loop.now)
        self.ticket += 1
        caller = f"c{self.ticket % 4}"
        item = QueuedRequest(
            self.ticket, caller, UPSTREAM, "chat", RANKS["normal"], now + DUE_MS, 1.0, now
        )
        if self.queues[node.name].offer(item, now).is_err():
            self._count("refused")
        self._send_admitted(node)

    def _count(self, outcome: str) -> None:
        if self.loop.now >= WARM_UP_MS:
            self.counts[outcome] += 1

    def _send_admitted(self, node: Node) -> None:
        now = int(self.loop.now)
        queue = self.queues[node.name]
        for _ in queue.expired(now):
            self._count("given_up")
        while (item := queue.take(now, lambda _: self.gate(node, now))) is not None:
            queue.on_started(UPSTREAM, 1.0, now)
            self._send(node, item)

    def _send(self, node: Node, item: QueuedRequest) -> None:
        sent_ms = self.loop.now
        req = RouteRequest(UPSTREAM, "", node.data_centre)
        replica_id = choose_replica(node.load_tracker, node.outliers, req, node.rand, int(sent_ms))
        assert replica_id is not None
        node.load_tracker.on_sent(replica_id, False, int(sent_ms))
        tokens = max(1, round(self.rand.expovariate(1 / MEAN_TOKENS)))

        def on_finished(_: bool) -> None:
            self.loop.after(LINK_MS, on_reply)

        def on_reply() -> None:
            now = int(self.loop.now)
            node.load_tracker.on_finished(replica_id, False, now)
            self.queues[node.name].on_ended(UPSTREAM, 1.0, int(sent_ms), now, "chat")
            self._count("in_time" if now <= item.due_ms else "late")
            if sent_ms >= WARM_UP_MS:
                self.engine_waits.append(seq.first_ms - sent_ms)
                self.ttft_ms.append(seq.first_ms + LINK_MS - item.enqueued_ms)
            self._send_admitted(node)

        seq = Sequence(tokens, 0.0, on_finished)
        self.loop.after(LINK_MS, partial(self.fleet.engines[replica_id].submit, seq))
        self.peak_waiting = max(self.peak_waiting, len(self.fleet.engines[replica_id].waiting))


def main() -> None:
    """Run every gate at several loads and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=13.0)
    args = parser.parse_args()
    print(HEADER)
    for load, skew in ((0.9, 1.0), (1.2, 1.0), (2.0, 1.0), (4.0, 1.0), (2.0, 20.0)):
        for name, gate in GATES.items():
            row = Run(gate, load, skew, args.seed).simulate(args.seconds)
            print(
                f"{load:4.1f}  {skew:4.0f}  {name:<9}{row.in_time:9.2f}{row.late:6d}"
                f"{row.refused:9d}{row.given_up:10d}{row.engine_wait_p99:12.1f}{row.ttft_p50:11.1f}"
                f"{row.ttft_p99:6.0f}{row.peak_waiting:6d}"
            )


if __name__ == "__main__":
    main()
