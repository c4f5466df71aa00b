"""Test how instances report replica losses, and that an instance that starts learns of them."""

from collections import defaultdict
from typing import Any, cast

import pytest
from result import Err, Ok

from papayapier.clock import FakeClock, fake_clock
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.metrics import make_metrics
from papayapier.peer.loss_exchange import COLLECT_MS, RESEND_MS, LossExchange, LossExchangeDeps
from papayapier.peer.loss_messages import LossesAsk, LossesTold
from papayapier.peer.messages import (
    Message,
)
from papayapier.peer.topology import LinkPlan
from papayapier.policy.crash_quarantine import ANSWERED_RECENTLY_MS, MAX_LOSSES, ReplicaLoss
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

CONNECTION_CUT = Failure(FailureKind.TRUNCATED, Sent.MAYBE, "reset", new_connection=True)


class Net:
    """Deliver messages between the instances of a test without delay; count them by kind."""

    def __init__(
        self, hubs: tuple[str, ...] = (), links: dict[str, set[str]] | None = None
    ) -> None:
        self.time: FakeClock = fake_clock()
        self.nodes: dict[str, Node] = {}
        self.hubs = hubs
        self.links = links
        self.sent: dict[str, int] = defaultdict(int)
        self.drop_messages = False
        self.partition: set[str] = set()

    def start(self, *names: str) -> list["Node"]:
        nodes = [Node(name, self) for name in names]
        self.nodes |= {node.name: node for node in nodes}
        for node in self.nodes.values():
            node.changed()
        return nodes

    def neighbours(self, name: str) -> set[str]:
        others = set(self.nodes) - {name}
        if self.partition:
            others = others & self.partition if name in self.partition else others - self.partition
        if self.links is not None:
            return self.links[name] & others
        if not self.hubs or name in self.hubs:
            return others
        return set(self.hubs) & others


class Node:
    """Fake the PeerHub of one instance, and hold its crash watch and exchange of losses."""

    def __init__(self, name: str, net: Net) -> None:
        self.name = name
        self._net = net
        self._handlers: dict[type[Message], Any] = {}
        self._on_change: list[Any] = []
        self._on_restart: list[Any] = []
        clock = net.time.clock
        self.watch = CrashWatch(clock, make_metrics(), lambda: True)
        deps = LossExchangeDeps(clock, cast(Any, self), self.watch, name, lambda: net.hubs)
        self.exchange = LossExchange(deps)

    def plan(self) -> LinkPlan:
        mesh = not self._net.hubs and self._net.links is None
        return LinkPlan(frozenset(), mesh, mesh, self._net.hubs)

    def live(self) -> list[str]:
        return sorted({*self._net.neighbours(self.name), self.name})

    def subscribe(self, kind: type[Message], handler: Any) -> None:
        self._handlers[kind] = handler

    def on_change(self, call: Any) -> None:
        self._on_change.append(call)

    def on_restart(self, call: Any) -> None:
        self._on_restart.append(call)

    def peer_restarted(self, peer_id: str) -> None:
        for call in self._on_restart:
            call(peer_id)

    def changed(self) -> None:
        for call in self._on_change:
            call()

    def send(self, peer_id: str, message: Message) -> bool:
        self._net.sent[type(message).__name__] += 1
        if self._net.drop_messages:
            return True
        self._net.nodes[peer_id]._handlers[type(message)](self.name, message)
        return True

    def broadcast(self, message: Message) -> None:
        for peer_id in sorted(self._net.neighbours(self.name)):
            self.send(peer_id, message)

    def lose(self, replica: str, fingerprint: str = "w") -> None:
        at = Replica(replica, "lm", "h", 1, "dc")
        self.watch.on_send_finished("r", lambda: fingerprint, at, Err(CONNECTION_CUT), 0)

    def refuses(self, fingerprint: str = "w") -> bool:
        return self.watch.refusal("r", lambda: fingerprint) is not None


def lose_at(net: Net, nodes: list[Node]) -> None:
    for number in range(MAX_LOSSES):
        nodes[number % len(nodes)].lose(f"r{number}")
    net.time.jump(COLLECT_MS)


def test_all_instances_of_a_small_fleet_know_all_losses() -> None:
    net = Net()
    nodes = net.start("a", "b", "c")
    lose_at(net, nodes)
    assert [node.refuses() for node in nodes] == [True] * 3
    assert net.sent["LossesTold"] == 3 * 2


def test_all_losses_of_one_replica_are_sent_in_one_message() -> None:
    net = Net()
    nodes = net.start("a", "b")
    for number in range(8):
        nodes[0].lose("r", f"w{number}")
    net.time.jump(COLLECT_MS)
    assert net.sent["LossesTold"] == 1
    assert len(nodes[1].watch.snapshot()) == 8


def test_loss_of_a_request_answered_by_another_attempt_is_not_sent() -> None:
    # A request that ran beside a crashing one continues at another replica and completes.
    net = Net()
    one, other = net.start("a", "b")
    one.lose("r0")
    at = Replica("r1", "lm", "h", 1, "dc")
    one.watch.on_send_finished("r", lambda: "w", at, Ok(None), 0)
    net.time.jump(COLLECT_MS + RESEND_MS)
    assert not other.watch.snapshot()


def test_a_loss_is_resent_once() -> None:
    # Sequence: the link to a peer is being replaced while a loss is sent.
    net = Net()
    one, other = net.start("a", "b")
    net.drop_messages = True
    one.lose("r0")
    net.time.jump(COLLECT_MS)
    net.drop_messages = False
    assert not other.watch.snapshot()
    net.time.jump(RESEND_MS)
    assert other.watch.snapshot()
    net.time.jump(10 * RESEND_MS)
    assert net.sent["LossesTold"] == 2


def test_losses_are_requested_again_after_a_partition() -> None:
    # Sequence: the network is partitioned; a replica is lost on one side; the partition ends.
    net = Net()
    one, other = net.start("a", "b")
    net.partition = {"b"}
    one.changed()
    other.changed()
    one.lose("r0")
    net.time.jump(COLLECT_MS + RESEND_MS)
    net.partition = set()
    other.changed()
    assert other.watch.snapshot()


def test_hubs_receive_all_losses_and_broadcast_quarantines() -> None:
    # Sequence: replicas are lost at three entries of a large fleet; only hubs are linked with all.
    net = Net(hubs=("h1", "h2"))
    hubs = net.start("h1", "h2")
    entries = net.start(*(f"e{number}" for number in range(10)))
    entries[0].lose("r0")
    net.time.jump(COLLECT_MS)
    assert net.sent["LossesTold"] == len(hubs)
    lose_at(net, entries)
    assert all(node.refuses() for node in entries + hubs)
    # Three senders to each hub, and each hub once to all.
    assert net.sent["LossesTold"] <= 4 * len(hubs) + len(hubs) * 11


def test_without_hubs_losses_are_forwarded_between_neighbours() -> None:
    links = {"a": {"b"}, "b": {"a", "c"}, "c": {"b", "d"}, "d": {"c"}}
    net = Net(links=links)
    nodes = net.start("a", "b", "c", "d")
    lose_at(net, nodes)
    assert all(node.refuses() for node in nodes)


@pytest.mark.parametrize("hubs", [(), ("h1",)])
def test_an_instance_that_starts_requests_known_losses(hubs: tuple[str, ...]) -> None:
    # Symptom: each restart of an instance costs three more replicas.
    net = Net(hubs)
    nodes = net.start("h1", "b")
    lose_at(net, nodes)
    (late,) = net.start("late")
    assert late.refuses()


def test_a_new_hub_requests_known_losses_from_the_hubs() -> None:
    # Sequence: losses below the bound are known to hubs only; a hub is lost, another is chosen.
    net = Net(hubs=("h1", "h2"))
    h1, _h2, h3, e1 = net.start("h1", "h2", "h3", "e1")
    e1.lose("r0")
    net.time.jump(COLLECT_MS)
    assert not h3.watch.snapshot()
    del net.nodes["h2"]
    net.hubs = ("h1", "h3")
    h3.changed()
    assert h3.watch.snapshot() == h1.watch.snapshot()


def test_an_answer_is_reported_where_the_request_is_suspected() -> None:
    net = Net()
    one, other = net.start("a", "b")
    one.lose("r0")
    net.time.jump(COLLECT_MS)
    at = Replica("r1", "lm", "h", 1, "dc")
    other.watch.on_send_finished("r", lambda: "w", at, Ok(None), 0)
    net.time.jump(COLLECT_MS)
    assert one.watch.snapshot() == other.watch.snapshot() == []


def test_losses_restored_from_disk_are_sent() -> None:
    net = Net()
    keeper, entry = net.start("k", "e")
    keeper.exchange.restore([ReplicaLoss("w", f"r{number}", 0) for number in range(MAX_LOSSES)])
    assert entry.refuses()
    assert net.sent[LossesTold.__name__] == 1
    assert net.sent[LossesAsk.__name__] == 2


def test_losses_of_a_peer_that_restarts_unnoticed_are_requested() -> None:
    """Guard against a keeper that is back before it counts as silent, with losses from its disk.

    What it sends while its links are being replaced is lost.
    """
    net = Net()
    _keeper, entry = net.start("k", "e")
    net.nodes["k"] = keeper = Node("k", net)
    net.drop_messages = True
    keeper.exchange.restore([ReplicaLoss("w", f"r{number}", 0) for number in range(MAX_LOSSES)])
    net.drop_messages = False
    assert not entry.refuses()
    entry.peer_restarted("k")
    assert entry.refuses()


@pytest.mark.parametrize("closed", [False, True])
def test_a_network_cut_quarantines_no_request_for_long(closed: bool) -> None:
    # Symptom: a request that many callers send alike is refused for minutes after a partition.
    # Sequence: all replicas become silent while they run it, and no connection to them can be
    # made; then the partition ends. Cause: an unreachable replica was counted as ended.
    net = Net()
    (node,) = net.start("a")
    at = [Replica(f"r{number}", "lm", "h", 1, "dc") for number in range(MAX_LOSSES)]
    cut = Failure(
        FailureKind.CONNECT, Sent.NO, "no way there", new_connection=True, connection_refused=closed
    )
    for replica in at:
        node.lose(replica.id)
        node.watch.on_send_finished("r", lambda: "w", replica, Err(cut), 0)
    assert node.refuses()
    later = net.time.clock.now() + 1
    node.watch.on_send_finished("r", lambda: "other", at[0], Ok(None), later)
    assert node.refuses() is closed


def test_an_instance_that_starts_knows_when_it_has_the_known_losses() -> None:
    # Failure: an entry that starts sends a request that has ended replicas before it learns of
    # these losses.
    net = Net()
    (first,) = net.start("a")
    assert not first.exchange.has_known_losses()
    (second,) = net.start("b")
    assert second.exchange.has_known_losses()
    second.lose("r0")
    net.time.jump(COLLECT_MS)
    (third,) = net.start("c")
    assert third.exchange.has_known_losses()
    assert third.watch.snapshot()


def answer(node: Node, fingerprint: str = "w") -> None:
    node.watch.on_send_finished(
        "r", lambda: fingerprint, Replica("r9", "lm", "h", 1, "dc"), Ok(None), 0
    )


def lose_to_quarantine(net: Net, node: Node) -> None:
    """Lose as many replicas at one instance at once as quarantine a fingerprint."""
    for number in range(MAX_LOSSES):
        node.lose(f"r{number}")
    net.time.jump(COLLECT_MS + RESEND_MS)


@pytest.mark.parametrize("hubs", [(), ("h1", "h2")])
@pytest.mark.parametrize("at", [1, 9])
def test_a_request_one_entry_answered_recently_is_quarantined_at_none(
    hubs: tuple[str, ...], at: int
) -> None:
    # Failure: a request that many callers send alike is refused for minutes at the entries that
    # have not answered it.
    net = Net(hubs)
    nodes = net.start(*hubs, *(f"e{number}" for number in range(10)))
    answer(net.nodes["e1"])
    lose_to_quarantine(net, net.nodes[f"e{at}"])
    assert [node.name for node in nodes if node.refuses()] == []


@pytest.mark.parametrize("hubs", [(), ("h1", "h2")])
def test_a_request_that_nobody_answered_is_quarantined_everywhere(hubs: tuple[str, ...]) -> None:
    net = Net(hubs)
    nodes = net.start(*hubs, *(f"e{number}" for number in range(10)))
    answer(net.nodes["e1"], "other")
    lose_to_quarantine(net, net.nodes["e2"])
    assert all(node.refuses() for node in nodes)


def test_without_hubs_a_recent_answer_is_forwarded_between_neighbours() -> None:
    links = {"a": {"b"}, "b": {"a", "c"}, "c": {"b", "d"}, "d": {"c"}}
    net = Net(links=links)
    nodes = net.start("a", "b", "c", "d")
    answer(net.nodes["a"])
    lose_to_quarantine(net, net.nodes["d"])
    assert not any(node.refuses() for node in nodes)


@pytest.mark.parametrize("hubs", [(), ("h1",)])
def test_an_instance_that_starts_learns_what_was_answered(hubs: tuple[str, ...]) -> None:
    # Failure: an entry that starts quarantines a request that all others answer.
    net = Net(hubs)
    net.start("h1", "b", "c")
    answer(net.nodes["b"])
    lose_to_quarantine(net, net.nodes["c"])
    (late,) = net.start("late")
    assert late.watch.snapshot()
    assert not late.refuses()


def test_saved_losses_include_recent_answers() -> None:
    # Failure: after a loss of power everywhere, a request that many callers send alike is
    # quarantined by the losses that a disk kept.
    net = Net()
    (before,) = net.start("a")
    answer(before)
    lose_to_quarantine(net, before)
    kept = before.watch.snapshot()
    net = Net()
    keeper, entry = net.start("k", "e")
    keeper.exchange.restore(kept)
    assert entry.watch.snapshot()
    assert not entry.refuses()


def test_an_old_answer_is_not_forwarded_for_ever() -> None:
    # Failure: instances that report an answer to each other refresh it among themselves.
    net = Net()
    nodes = net.start("a", "b")
    answer(nodes[0])
    for _ in range(4):
        net.time.jump(ANSWERED_RECENTLY_MS // 2 + 1)
        nodes[1].lose("r0", "w")
        net.time.jump(COLLECT_MS)
        for node in nodes:
            at = Replica("r0", "lm", "h", 1, "dc")
            node.watch.on_send_finished("r", lambda: "other", at, Ok(None), net.time.clock.now())
    lose_to_quarantine(net, nodes[1])
    assert all(node.refuses() for node in nodes)


@pytest.mark.parametrize("hubs", [(), ("h1", "h2")])
def test_a_lost_report_of_an_answer_is_requested_again(hubs: tuple[str, ...]) -> None:
    # Failure: the link to the only instance that has answered is being replaced when the losses
    # are sent, and a request that many callers send alike is quarantined for minutes.
    net = Net(hubs)
    nodes = net.start(*hubs, *(f"e{number}" for number in range(5)))
    answer(net.nodes["e1"])
    net.partition = {"e1"}
    for number in range(MAX_LOSSES):
        net.nodes["e3"].lose(f"r{number}")
    net.time.jump(COLLECT_MS)
    assert net.nodes["e2"].refuses()
    net.partition = set()
    net.time.jump(RESEND_MS)
    assert [node.name for node in nodes if node.refuses()] == []
