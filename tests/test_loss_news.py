"""Test whom an instance tells of lost replicas, and that one that starts learns of them."""

from collections import defaultdict
from typing import Any, cast

import pytest
from result import Err, Ok

from papayapier.clock import FakeClock, fake_clock
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.metrics import make_metrics
from papayapier.peer.loss_messages import LossesAsk, LossesTold
from papayapier.peer.loss_news import COLLECT_MS, RESEND_MS, LossNews, LossNewsDeps
from papayapier.peer.messages import (
    Message,
)
from papayapier.peer.topology import Plan
from papayapier.policy.crashes import ANSWERED_LATELY_MS, LOSSES_MOST, Loss
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

CUT = Failure(FailureKind.CUT, Sent.MAYBE, "reset", fresh=True)


class Net:
    """Carry messages between the instances of a test at once, and count them by kind."""

    def __init__(
        self, hubs: tuple[str, ...] = (), links: dict[str, set[str]] | None = None
    ) -> None:
        self.time: FakeClock = fake_clock()
        self.nodes: dict[str, Node] = {}
        self.hubs = hubs
        self.links = links
        self.sent: dict[str, int] = defaultdict(int)
        self.cut = False
        self.apart: set[str] = set()

    def start(self, *names: str) -> list["Node"]:
        nodes = [Node(name, self) for name in names]
        self.nodes |= {node.name: node for node in nodes}
        for node in self.nodes.values():
            node.changed()
        return nodes

    def neighbours(self, name: str) -> set[str]:
        others = set(self.nodes) - {name}
        if self.apart:
            others = others & self.apart if name in self.apart else others - self.apart
        if self.links is not None:
            return self.links[name] & others
        if not self.hubs or name in self.hubs:
            return others
        return set(self.hubs) & others


class Node:
    """Stand for the hub of one instance, with a watch and its news."""

    def __init__(self, name: str, net: Net) -> None:
        self.name = name
        self._net = net
        self._handlers: dict[type[Message], Any] = {}
        self._on_change: list[Any] = []
        clock = net.time.clock
        self.watch = CrashWatch(clock, make_metrics(), lambda: True)
        deps = LossNewsDeps(clock, cast(Any, self), self.watch, name, lambda: net.hubs)
        self.news = LossNews(deps)

    def plan(self) -> Plan:
        mesh = not self._net.hubs and self._net.links is None
        return Plan(frozenset(), mesh, mesh, self._net.hubs)

    def live(self) -> list[str]:
        return sorted({*self._net.neighbours(self.name), self.name})

    def subscribe(self, kind: type[Message], handler: Any) -> None:
        self._handlers[kind] = handler

    def on_change(self, call: Any) -> None:
        self._on_change.append(call)

    def changed(self) -> None:
        for call in self._on_change:
            call()

    def tell(self, peer_id: str, message: Message) -> bool:
        self._net.sent[type(message).__name__] += 1
        if self._net.cut:
            return True
        self._net.nodes[peer_id]._handlers[type(message)](self.name, message)
        return True

    def tell_all(self, message: Message) -> None:
        for peer_id in sorted(self._net.neighbours(self.name)):
            self.tell(peer_id, message)

    def lose(self, replica: str, work: str = "w") -> None:
        at = Replica(replica, "lm", "h", 1, "dc")
        self.watch.sent("r", lambda: work, at, Err(CUT), 0)

    def holds(self, work: str = "w") -> bool:
        return self.watch.refusal("r", lambda: work) is not None


def lose_at(net: Net, nodes: list[Node]) -> None:
    for number in range(LOSSES_MOST):
        nodes[number % len(nodes)].lose(f"r{number}")
    net.time.advance(COLLECT_MS)


def test_everybody_in_a_small_fleet_knows_what_all_have_seen() -> None:
    net = Net()
    nodes = net.start("a", "b", "c")
    lose_at(net, nodes)
    assert [node.holds() for node in nodes] == [True] * 3
    assert net.sent["LossesTold"] == 3 * 2


def test_one_end_is_told_in_one_message() -> None:
    net = Net()
    nodes = net.start("a", "b")
    for number in range(8):
        nodes[0].lose("r", f"w{number}")
    net.time.advance(COLLECT_MS)
    assert net.sent["LossesTold"] == 1
    assert len(nodes[1].watch.snapshot()) == 8


def test_what_another_try_answered_is_not_told() -> None:
    # The request beside a crashing one goes on at another replica, and is done.
    net = Net()
    one, other = net.start("a", "b")
    one.lose("r0")
    at = Replica("r1", "lm", "h", 1, "dc")
    one.watch.sent("r", lambda: "w", at, Ok(None), 0)
    net.time.advance(COLLECT_MS + RESEND_MS)
    assert not other.watch.snapshot()


def test_a_loss_is_told_again_once() -> None:
    # Events: the link to a peer is being replaced while a loss is told.
    net = Net()
    one, other = net.start("a", "b")
    net.cut = True
    one.lose("r0")
    net.time.advance(COLLECT_MS)
    net.cut = False
    assert not other.watch.snapshot()
    net.time.advance(RESEND_MS)
    assert other.watch.snapshot()
    net.time.advance(10 * RESEND_MS)
    assert net.sent["LossesTold"] == 2


def test_whoever_is_heard_again_is_asked_again() -> None:
    # Events: two parts of a fleet do not hear each other; a replica is lost in one of them.
    net = Net()
    one, other = net.start("a", "b")
    net.apart = {"b"}
    one.changed()
    other.changed()
    one.lose("r0")
    net.time.advance(COLLECT_MS + RESEND_MS)
    net.apart = set()
    other.changed()
    assert other.watch.snapshot()


def test_hubs_hear_of_all_and_tell_what_is_held() -> None:
    # Events: replicas are lost at three entries of a large fleet; only hubs are linked with all.
    net = Net(hubs=("h1", "h2"))
    hubs = net.start("h1", "h2")
    entries = net.start(*(f"e{number}" for number in range(10)))
    entries[0].lose("r0")
    net.time.advance(COLLECT_MS)
    assert net.sent["LossesTold"] == len(hubs)
    lose_at(net, entries)
    assert all(node.holds() for node in entries + hubs)
    # Three tellers to each hub, and each hub once to all.
    assert net.sent["LossesTold"] <= 4 * len(hubs) + len(hubs) * 11


def test_without_hubs_news_go_from_neighbour_to_neighbour() -> None:
    links = {"a": {"b"}, "b": {"a", "c"}, "c": {"b", "d"}, "d": {"c"}}
    net = Net(links=links)
    nodes = net.start("a", "b", "c", "d")
    lose_at(net, nodes)
    assert all(node.holds() for node in nodes)


@pytest.mark.parametrize("hubs", [(), ("h1",)])
def test_one_that_starts_asks(hubs: tuple[str, ...]) -> None:
    # Symptom: each restart of an instance costs three replicas more.
    net = Net(hubs)
    nodes = net.start("h1", "b")
    lose_at(net, nodes)
    (late,) = net.start("late")
    assert late.holds()


def test_one_that_becomes_a_hub_asks_the_hubs() -> None:
    # Events: losses below the bound are known to hubs only; a hub is lost, another is chosen.
    net = Net(hubs=("h1", "h2"))
    h1, _h2, h3, e1 = net.start("h1", "h2", "h3", "e1")
    e1.lose("r0")
    net.time.advance(COLLECT_MS)
    assert not h3.watch.snapshot()
    del net.nodes["h2"]
    net.hubs = ("h1", "h3")
    h3.changed()
    assert h3.watch.snapshot() == h1.watch.snapshot()


def test_an_answer_is_told_where_the_work_is_suspected() -> None:
    net = Net()
    one, other = net.start("a", "b")
    one.lose("r0")
    net.time.advance(COLLECT_MS)
    at = Replica("r1", "lm", "h", 1, "dc")
    other.watch.sent("r", lambda: "w", at, Ok(None), 0)
    net.time.advance(COLLECT_MS)
    assert one.watch.snapshot() == other.watch.snapshot() == []


def test_what_a_disk_held_is_told() -> None:
    net = Net()
    keeper, entry = net.start("k", "e")
    keeper.news.recall([Loss("w", f"r{number}", 0) for number in range(LOSSES_MOST)])
    assert entry.holds()
    assert net.sent[LossesTold.__name__] == 1
    assert net.sent[LossesAsk.__name__] == 2


@pytest.mark.parametrize("closed", [False, True])
def test_a_cut_of_the_network_holds_nothing_up_for_long(closed: bool) -> None:
    # Symptom: what many callers ask in the same words is refused for minutes after a cut.
    # Events: all replicas fall silent under it, and no connection to them can be made; then the
    # cut is over. Cause: a replica that could not be reached was taken for one that has ended.
    net = Net()
    (node,) = net.start("a")
    at = [Replica(f"r{number}", "lm", "h", 1, "dc") for number in range(LOSSES_MOST)]
    cut = Failure(FailureKind.CONNECT, Sent.NO, "no way there", fresh=True, closed=closed)
    for replica in at:
        node.lose(replica.id)
        node.watch.sent("r", lambda: "w", replica, Err(cut), 0)
    assert node.holds()
    later = net.time.clock.now() + 1
    node.watch.sent("r", lambda: "other", at[0], Ok(None), later)
    assert node.holds() is closed


def test_who_starts_knows_when_it_has_been_told() -> None:
    # Failure: an entry that starts sends work that has ended replicas before it hears of that.
    net = Net()
    (first,) = net.start("a")
    assert not first.news.caught_up()
    (second,) = net.start("b")
    assert second.news.caught_up()
    second.lose("r0")
    net.time.advance(COLLECT_MS)
    (third,) = net.start("c")
    assert third.news.caught_up()
    assert third.watch.snapshot()


def answer(node: Node, work: str = "w") -> None:
    node.watch.sent("r", lambda: work, Replica("r9", "lm", "h", 1, "dc"), Ok(None), 0)


def lose_all_at(net: Net, node: Node) -> None:
    """Let as many replicas as hold a work end under it at one instance within a moment."""
    for number in range(LOSSES_MOST):
        node.lose(f"r{number}")
    net.time.advance(COLLECT_MS + RESEND_MS)


@pytest.mark.parametrize("hubs", [(), ("h1", "h2")])
@pytest.mark.parametrize("at", [1, 9])
def test_what_one_entry_answered_lately_is_held_at_none(hubs: tuple[str, ...], at: int) -> None:
    # Failure: what many ask is refused for minutes at the entries that have not answered it.
    net = Net(hubs)
    nodes = net.start(*hubs, *(f"e{number}" for number in range(10)))
    answer(net.nodes["e1"])
    lose_all_at(net, net.nodes[f"e{at}"])
    assert [node.name for node in nodes if node.holds()] == []


@pytest.mark.parametrize("hubs", [(), ("h1", "h2")])
def test_work_that_nobody_answered_is_held_everywhere(hubs: tuple[str, ...]) -> None:
    net = Net(hubs)
    nodes = net.start(*hubs, *(f"e{number}" for number in range(10)))
    answer(net.nodes["e1"], "other")
    lose_all_at(net, net.nodes["e2"])
    assert all(node.holds() for node in nodes)


def test_without_hubs_an_answer_of_lately_goes_from_neighbour_to_neighbour() -> None:
    links = {"a": {"b"}, "b": {"a", "c"}, "c": {"b", "d"}, "d": {"c"}}
    net = Net(links=links)
    nodes = net.start("a", "b", "c", "d")
    answer(net.nodes["a"])
    lose_all_at(net, net.nodes["d"])
    assert not any(node.holds() for node in nodes)


@pytest.mark.parametrize("hubs", [(), ("h1",)])
def test_one_that_starts_hears_what_was_answered_before(hubs: tuple[str, ...]) -> None:
    # Failure: an entry that starts holds what all others answer.
    net = Net(hubs)
    net.start("h1", "b", "c")
    answer(net.nodes["b"])
    lose_all_at(net, net.nodes["c"])
    (late,) = net.start("late")
    assert late.watch.snapshot()
    assert not late.holds()


def test_a_disk_tells_what_was_answered_before_its_losses() -> None:
    # Failure: after a loss of all power what many ask is held by the losses that a disk kept.
    net = Net()
    (before,) = net.start("a")
    answer(before)
    lose_all_at(net, before)
    kept = before.watch.snapshot()
    net = Net()
    keeper, entry = net.start("k", "e")
    keeper.news.recall(kept)
    assert entry.watch.snapshot()
    assert not entry.holds()


def test_an_answer_of_long_ago_is_not_passed_on_for_ever() -> None:
    # Failure: instances that tell each other of an answer keep it alive among themselves.
    net = Net()
    nodes = net.start("a", "b")
    answer(nodes[0])
    for _ in range(4):
        net.time.advance(ANSWERED_LATELY_MS // 2 + 1)
        nodes[1].lose("r0", "w")
        net.time.advance(COLLECT_MS)
        for node in nodes:
            at = Replica("r0", "lm", "h", 1, "dc")
            node.watch.sent("r", lambda: "other", at, Ok(None), net.time.clock.now())
    lose_all_at(net, nodes[1])
    assert all(node.holds() for node in nodes)


@pytest.mark.parametrize("hubs", [(), ("h1", "h2")])
def test_a_lost_word_of_an_answer_is_asked_for_again(hubs: tuple[str, ...]) -> None:
    # Failure: the link to the only instance that has answered is being replaced when the losses
    # are told, and what many ask is held for minutes.
    net = Net(hubs)
    nodes = net.start(*hubs, *(f"e{number}" for number in range(5)))
    answer(net.nodes["e1"])
    net.apart = {"e1"}
    for number in range(LOSSES_MOST):
        net.nodes["e3"].lose(f"r{number}")
    net.time.advance(COLLECT_MS)
    assert net.nodes["e2"].holds()
    net.apart = set()
    net.time.advance(RESEND_MS)
    assert [node.name for node in nodes if node.holds()] == []
