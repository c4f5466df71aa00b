"""Test how instances share what they know of crashing prompt parts, and agree on probes."""

from collections.abc import Sequence

import pytest
from result import Err, Ok

from papayapier import codec
from papayapier.dispatch.part_watch import probe_key
from papayapier.peer import wire
from papayapier.peer.loss_exchange import COLLECT_MS, RESEND_MS
from papayapier.peer.loss_messages import LossesTold
from papayapier.peer.permit_exchange import SETTLE_MS
from papayapier.policy.part_quarantine import (
    MAX_OCCASIONS,
    NO_REPORTS,
    OCCASION_MS,
    LostReplica,
    PartReports,
)
from papayapier.upstream.api import Replica
from papayapier.upstream.forward_call import StreamedAnswer
from tests.forward_world import Send
from tests.test_loss_exchange import CONNECTION_CUT, Net, Node
from tests.test_send_permits import Fleet

BAD, SHARED = "bad", "shared"
HUBS = ("h1", "h2")
LINKS = {"a": {"b"}, "b": {"a", "c"}, "c": {"b", "d"}, "d": {"c"}}
# Entries report to hubs, these to everybody.
SPREAD_MS = 3 * COLLECT_MS
KINDS = ("mesh", "hubs", "links")
NAMES = {"mesh": ("a", "b", "c", "d"), "hubs": (*HUBS, "a", "b"), "links": ("a", "b", "c", "d")}


def make_net(kind: str) -> Net:
    """Return a full mesh, a large fleet with hubs, or one without."""
    return Net(HUBS if kind == "hubs" else (), LINKS if kind == "links" else None)


def lose_parts(node: Node, replica: str, *parts: str) -> None:
    at = Replica(replica, "lm", "h", 1, "dc")
    node.watch.on_send_finished(
        "r", lambda: replica, at, Err(CONNECTION_CUT), 0, get_parts=lambda: parts
    )


def answer_parts(node: Node, *parts: str) -> None:
    at = Replica("sound", "lm", "h", 1, "dc")
    answer = Ok(StreamedAnswer(200))
    node.watch.on_send_finished("r", lambda: "sound", at, answer, 0, get_parts=lambda: parts)


def lose_on_occasions(net: Net, nodes: Sequence[Node], *parts: str) -> None:
    for number in range(MAX_OCCASIONS):
        lose_parts(nodes[number % len(nodes)], f"r{number}", *parts)
        net.time.jump(OCCASION_MS)
    net.time.jump(SPREAD_MS)


def held(node: Node, part: str) -> bool:
    # Without the pause of a probe, the request would be sent as one.
    return bool(node.watch.parts.is_quarantined(part))


@pytest.mark.parametrize("kind", KINDS)
def test_everybody_knows_a_part_that_several_instances_lost_replicas_with(kind: str) -> None:
    """Guard against ends that are seen at one instance each, and known to none as a whole."""
    net = make_net(kind)
    nodes = net.start(*NAMES[kind])
    lose_on_occasions(net, nodes[2:], BAD)
    assert [held(node, BAD) for node in nodes] == [True] * len(nodes)


@pytest.mark.parametrize("kind", KINDS)
def test_answer_at_one_instance_releases_a_part_everywhere(kind: str) -> None:
    """Guard against a shared part that stays refused where nobody may send it."""
    net = make_net(kind)
    nodes = net.start(*NAMES[kind])
    lose_on_occasions(net, nodes, BAD, SHARED)
    answer_parts(nodes[-1], SHARED)
    net.time.jump(SPREAD_MS)
    assert [(held(node, BAD), held(node, SHARED)) for node in nodes] == [(True, False)] * len(nodes)


@pytest.mark.parametrize("kind", ["mesh", "hubs"])
def test_part_that_is_answered_between_is_quarantined_nowhere(kind: str) -> None:
    """Guard against refusing what all requests share, as it is open at each end."""
    net = make_net(kind)
    nodes = net.start(*NAMES[kind])
    for number in range(3 * MAX_OCCASIONS):
        lose_parts(nodes[number % len(nodes)], f"r{number}", SHARED)
        net.time.jump(SPREAD_MS)
        for node in nodes:
            answer_parts(node, SHARED)
        net.time.jump(SPREAD_MS)
        assert not any(held(node, SHARED) for node in nodes)


def test_no_message_while_no_replica_is_lost() -> None:
    """Guard against messages for each answer."""
    net = Net()
    nodes = net.start("a", "b")
    sent = dict(net.sent)
    for node in nodes:
        for number in range(100):
            answer_parts(node, SHARED, f"p{number}")
    net.time.jump(RESEND_MS)
    assert net.sent == sent


@pytest.mark.parametrize("hubs", [(), ("h1",)])
def test_instance_that_starts_knows_the_parts(hubs: tuple[str, ...]) -> None:
    """Guard against an entry that is started again and sends what the others refuse."""
    net = Net(hubs)
    nodes = net.start("h1", "b")
    lose_on_occasions(net, nodes, BAD)
    (late,) = net.start("late")
    assert held(late, BAD)


def test_parts_restored_from_disk_are_sent() -> None:
    """Guard against a start of all processes that forgets the parts."""
    net = Net()
    keeper, entry = net.start("k", "e")
    lose_on_occasions(net, [keeper], BAD)
    saved = keeper.watch.parts.snapshot()
    restarted = Net()
    keeper, entry = restarted.start("k", "e")
    keeper.exchange.restore((), saved)
    assert held(entry, BAD)


def test_lost_report_is_sent_again() -> None:
    """Guard against a report that is lost with its link."""
    net = Net()
    nodes = net.start("a", "b")
    net.drop_messages = True
    lose_parts(nodes[0], "r", BAD)
    net.time.jump(COLLECT_MS)
    net.drop_messages = False
    net.time.jump(RESEND_MS)
    assert nodes[1].watch.parts.snapshot().losses


def test_reports_of_the_release_before_are_understood() -> None:
    """Guard against a rolling upgrade in which one release cannot read the other's reports."""
    before = codec.pack((wire.KIND_NUMBERS[LossesTold], "a", ((), ("w",), ())))
    assert wire.decode(before).unwrap().message == LossesTold((), ("w",), ())
    told = LossesTold((), (), (), PartReports((LostReplica("r", "lm", 1, (BAD,), (BAD,)),)))
    assert wire.decode(wire.encode("a", told)).unwrap().message == told
    assert LossesTold(()).parts == NO_REPORTS


def quarantine(fleet: Fleet, *parts: str) -> None:
    for world in fleet.worlds:
        for number in range(MAX_OCCASIONS):
            lost = LostReplica(f"old{number}", "lm", (MAX_OCCASIONS - number) * OCCASION_MS, parts)
            world.crashes.parts.on_told(PartReports((lost,)))


def open_sends(fleet: Fleet) -> list[Send]:
    return [send for world in fleet.worlds for send in world.sends if not send.done.called]


@pytest.mark.parametrize("hubs", [(), ("keeper-0",), ("keeper-0", "keeper-1", "keeper-2")])
@pytest.mark.parametrize("entries", [1, 2, 5])
def test_entries_send_one_probe(entries: int, hubs: tuple[str, ...]) -> None:
    """Guard against probes that leave several entries at once and end a replica each."""
    fleet = Fleet(entries, hubs)
    quarantine(fleet, BAD)
    fleet.run(SETTLE_MS)
    for world in fleet.worlds[:entries]:
        for number in range(3):
            world.start_request(True, body=b"%d" % number, parts=(BAD,))
    fleet.run(500)
    assert len(open_sends(fleet)) == 1
    (probe,) = open_sends(fleet)
    sender = next(world for world in fleet.worlds if probe in world.sends)
    assert sender.crashes.parts.open_replicas(probe_key("lm", BAD)) == [probe.replica.id]
    probe.answer()
    fleet.run(100)
    assert sender.start_request(True, body=b"after", parts=(BAD,)) == []
    fleet.run(100)
    assert len(open_sends(fleet)) == 1


def test_lost_probe_is_not_repeated_by_the_same_request() -> None:
    """Guard against a request that ends one replica after the other as a probe."""
    fleet = Fleet(1)
    quarantine(fleet, BAD)
    results = fleet.worlds[0].start_request(True, parts=(BAD,))
    fleet.run(100)
    (probe,) = open_sends(fleet)
    fleet.worlds[0].end_replica(probe)
    fleet.run(1_000)
    assert results
    assert results[0].is_err()
    assert not open_sends(fleet)
