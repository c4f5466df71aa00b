"""Test that a request that one more replica loss would quarantine is under way once in the fleet.

Two copies of such a request left the same entry in the same millisecond, or one entry while another
entry's copy was under way, and ended a fourth replica. Beside a request that ends its replicas a
frequent one collected the same losses, as both were under way at one replica, and was refused.
"""

import random
from collections.abc import Callable
from typing import Any, NamedTuple, cast

import pytest
from result import Err, Ok, Result

from papayapier.clock import FakeClock, fake_clock
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.errors import Outcome
from papayapier.peer.messages import Message
from papayapier.peer.open_requests import OpenRequests, PeerError
from papayapier.peer.permit_exchange import (
    MAX_LEASE_MS,
    REPLY_MS,
    SETTLE_MS,
    PermitExchange,
    PermitExchangeDeps,
)
from papayapier.peer.topology import LinkPlan
from papayapier.policy.crash_quarantine import MAX_LOSSES, ReplicaLoss
from papayapier.policy.open_sends import OpenSends, WantedSend
from papayapier.policy.send_permits import SendPermits, conflict
from papayapier.upstream.api import Failure, FailureKind, Sent
from tests.dispatch_world import BODY, CHAT, DispatchWorld
from tests.forward_world import ForwardWorld, Send

CRASH = b"crash"
FREQUENT = b"frequent"
STEP_MS = 10
LATENCY_MS = 5


def fingerprint_of(body: bytes) -> str:
    return request_fingerprint("POST", "", "/a", body)


def losses_of(*fingerprints: str, count: int = MAX_LOSSES - 1) -> list[ReplicaLoss]:
    return [
        ReplicaLoss(fingerprint, f"gone{number}", 0)
        for fingerprint in fingerprints
        for number in range(count)
    ]


class PeerState(NamedTuple):
    """Describe a peer as far as the exchange of permits reads it."""

    id: str
    neighbour: bool = True
    up: bool = True


class FakeHub:
    """Deliver the messages between the entries of a test after a delay."""

    def __init__(self, name: str, fleet: "Fleet") -> None:
        self._name = name
        self._fleet = fleet
        self._handlers: dict[type[Message], Callable[[str, Any], object]] = {}
        self._open_requests = OpenRequests(fleet.time.clock, random.Random(name))

    def plan(self) -> LinkPlan:
        mesh = not self._fleet.hubs
        return LinkPlan(frozenset(), mesh, mesh, self._fleet.hubs)

    def views(self) -> list[PeerState]:
        return [PeerState(name) for name in self._fleet.names if name != self._name]

    def live(self) -> list[str]:
        return [name for name in self._fleet.names if name not in self._fleet.silent]

    def subscribe(self, kind: type[Message], handler: Callable[[str, Any], object]) -> None:
        self._handlers[kind] = handler

    def send(self, peer_id: str, message: Message) -> bool:
        self._fleet.sent.append(type(message).__name__)
        if not self._fleet.silent & {peer_id, self._name}:
            peer = self._fleet.peer_hubs[peer_id]
            self._fleet.time.clock.call_later(LATENCY_MS, lambda: peer.receive(self._name, message))
        return True

    def receive(self, sender: str, message: Message) -> None:
        if not self._open_requests.complete(sender, message):
            self._handlers[type(message)](sender, message)

    async def send_request(
        self, peer_id: str, make_request: Callable[[int], Message], timeout_ms: int
    ) -> Result[Message, PeerError]:
        correlation_id = self._open_requests.next_id()
        self.send(peer_id, make_request(correlation_id))
        return await self._open_requests.wait_reply(correlation_id, peer_id, timeout_ms)


class Fleet:
    """Run entries, and hubs if there are any, that ask each other for permits."""

    def __init__(self, entries: int, hubs: tuple[str, ...] = (), replicas: int = 4) -> None:
        self.time: FakeClock = fake_clock()
        self.hubs = hubs
        self.silent: set[str] = set()
        self.sent: list[str] = []
        self.names = [*(f"entry-{number}" for number in range(entries)), *hubs]
        self.worlds = [
            ForwardWorld(replicas, number, self.time) for number in range(len(self.names))
        ]
        self.peer_hubs = {name: FakeHub(name, self) for name in self.names}
        for name, world in zip(self.names, self.worlds, strict=True):
            hub = cast(Any, self.peer_hubs[name])
            PermitExchange(
                PermitExchangeDeps(self.time.clock, hub, world.crashes, name, lambda: hubs)
            )

    def report(self, losses: list[ReplicaLoss]) -> None:
        for world in self.worlds:
            world.crashes.on_reported(losses, ())

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.time.jump(STEP_MS)

    def open_sends(self, body: bytes = CRASH) -> list[Send]:
        return [
            send
            for world in self.worlds
            for send in world.sends
            if send.call.body == body and not send.done.called
        ]


@pytest.mark.parametrize("copies", [2, 8])
def test_one_entry_sends_one_copy_of_a_suspect(copies: int) -> None:
    """Guard against copies that leave one entry together and end a replica each."""
    fleet = Fleet(1)
    fleet.report(losses_of(fingerprint_of(CRASH)))
    for _ in range(copies):
        fleet.worlds[0].start_request(idempotent=True, body=CRASH)
    fleet.run(1_000)
    assert len(fleet.open_sends()) == 1


@pytest.mark.parametrize("hubs", [(), ("keeper-0",), ("keeper-0", "keeper-1", "keeper-2")])
@pytest.mark.parametrize("entries", [2, 5])
def test_entries_send_one_copy_of_a_suspect(entries: int, hubs: tuple[str, ...]) -> None:
    """Guard against a copy that leaves one entry while another entry's is under way."""
    fleet = Fleet(entries, hubs)
    fleet.report(losses_of(fingerprint_of(CRASH)))
    for world in fleet.worlds[:entries]:
        world.start_request(idempotent=True, body=CRASH)
    fleet.run(SETTLE_MS)
    for _ in range(entries):
        fleet.run(500)
        (send,) = fleet.open_sends()
        send.answer()
    assert sum(len(world.sends) for world in fleet.worlds) == entries


@pytest.mark.parametrize("hubs", [(), ("keeper-0",)])
def test_entry_without_the_losses_sends_no_second_copy(hubs: tuple[str, ...]) -> None:
    """Guard against an entry that has not received the losses and sends beside another's copy."""
    fleet = Fleet(2, hubs)
    knowing, unaware = fleet.worlds[:2]
    knowing.crashes.on_reported(losses_of(fingerprint_of(CRASH)), ())
    if hubs:
        fleet.worlds[2].crashes.on_reported(losses_of(fingerprint_of(CRASH)), ())
    unaware.start_request(idempotent=True, body=CRASH)
    assert len(fleet.open_sends()) == 1
    if hubs:
        unaware.crashes.on_reported(losses_of(fingerprint_of(CRASH)), ())
    knowing.start_request(idempotent=True, body=CRASH)
    fleet.run(1_000)
    assert len(fleet.open_sends()) == 1
    fleet.open_sends()[0].fail(FailureKind.TRUNCATED, Sent.MAYBE)
    fleet.run(4_000)
    assert len(knowing.sends + unaware.sends) == 1
    assert all(world.crashes.is_quarantined(fingerprint_of(CRASH)) for world in fleet.worlds)


def test_frequent_request_is_not_beside_a_suspect() -> None:
    """Guard against two requests with the same losses under way at one replica."""
    fleet = Fleet(2, replicas=1)
    fleet.report(losses_of(fingerprint_of(CRASH), fingerprint_of(FREQUENT)))
    fleet.worlds[0].start_request(idempotent=True, body=CRASH)
    fleet.worlds[1].start_request(idempotent=True, body=FREQUENT)
    for _ in range(300):
        fleet.run(STEP_MS)
        assert len(fleet.open_sends(CRASH) + fleet.open_sends(FREQUENT)) <= 1
    assert fleet.open_sends(CRASH) or fleet.open_sends(FREQUENT)


@pytest.mark.parametrize("losses", [0, 1])
def test_first_retry_is_sent_at_once_and_without_message(losses: int) -> None:
    """Guard against a delay or messages for requests that are no suspects."""
    fleet = Fleet(3)
    if losses:
        fleet.report(losses_of(fingerprint_of(CRASH), count=losses))
    for world in fleet.worlds:
        for _ in range(3):
            world.start_request(idempotent=True, body=CRASH)
    assert len(fleet.open_sends()) == 9
    assert not fleet.sent


@pytest.mark.parametrize("hubs", [(), ("keeper-0",)])
@pytest.mark.parametrize("silent_before", [True, False])
def test_silent_entry_does_not_block_for_good(silent_before: bool, hubs: tuple[str, ...]) -> None:
    """Guard against an entry that is paused, cut off or killed and takes the permit with it."""
    fleet = Fleet(2, hubs)
    fleet.report(losses_of(fingerprint_of(CRASH)))
    if silent_before:
        fleet.silent = {"entry-0"}
    fleet.worlds[0].start_request(idempotent=True, body=CRASH)
    fleet.run(600)
    fleet.silent = {"entry-0"}
    fleet.worlds[1].start_request(idempotent=True, body=CRASH)
    fleet.run(REPLY_MS + SETTLE_MS)
    assert len(fleet.worlds[1].sends) == 1


def test_suspect_that_cannot_be_sent_in_time_is_refused() -> None:
    """Guard against a suspect that is sent beside another copy because it has waited long."""
    fleet = Fleet(2)
    fleet.report(losses_of(fingerprint_of(CRASH)))
    fleet.worlds[0].start_request(idempotent=True, body=CRASH, due_ms=10_000)
    fleet.run(1_000)
    results = fleet.worlds[1].start_request(idempotent=True, body=CRASH, due_ms=4_000)
    fleet.run(3_200)
    assert isinstance(results[0], Err)
    assert results[0].err_value.retry_after_ms > 0
    assert not fleet.worlds[1].sends


def test_suspect_is_refused_in_its_time_beside_a_silent_entry() -> None:
    """Guard against a suspect that waits for a permit beyond its own time, or goes without one."""
    fleet = Fleet(2)
    fleet.report(losses_of(fingerprint_of(CRASH)))
    fleet.silent = {"entry-0"}
    due_ms = REPLY_MS // 2
    results = fleet.worlds[1].start_request(idempotent=False, body=CRASH, due_ms=due_ms)
    fleet.run(due_ms)
    assert isinstance(results[0], Err)
    assert results[0].err_value.outcome is Outcome.NOT_RUN
    assert not fleet.worlds[1].sends


def test_answer_releases_waiting_copies() -> None:
    """Guard against copies of a frequent request that wait after it was answered."""
    fleet = Fleet(1)
    fleet.report(losses_of(fingerprint_of(FREQUENT)))
    for _ in range(5):
        fleet.worlds[0].start_request(idempotent=True, body=FREQUENT)
    fleet.run(200)
    (send,) = fleet.open_sends(FREQUENT)
    send.answer()
    fleet.run(200)
    assert len(fleet.open_sends(FREQUENT)) == 4


def test_request_waits_until_slow_replicas_answer() -> None:
    """Guard against refusing a request for minutes that three slow replicas did not answer."""
    fleet = Fleet(1)
    world = fleet.worlds[0]
    fingerprint = fingerprint_of(FREQUENT)
    for replica in world.replicas[:MAX_LOSSES]:
        silence = Err(Failure(FailureKind.DEADLINE, Sent.MAYBE, "late"))
        world.crashes.on_send_finished("r", lambda: fingerprint, replica, silence, 0)
    results = world.start_request(idempotent=True, body=FREQUENT)
    fleet.run(300)
    assert not results and not world.sends
    for replica in world.replicas:
        now = fleet.time.clock.now()
        world.crashes.on_send_finished("r", lambda: "other", replica, Ok(None), now)
    fleet.run(300)
    assert len(world.sends) == 1


def test_lost_report_of_an_end_frees_the_lease() -> None:
    """Guard against a hub that refuses a suspect for good as the report of its end was lost."""
    fleet = Fleet(2, ("keeper-0",))
    fleet.report(losses_of(fingerprint_of(CRASH)))
    fleet.run(SETTLE_MS)
    fleet.worlds[0].start_request(idempotent=True, body=CRASH)
    fleet.run(200)
    fleet.silent = {"entry-0"}
    fleet.open_sends()[0].fail(FailureKind.CONNECT, Sent.NO)
    fleet.run(MAX_LEASE_MS)
    fleet.silent = set()
    fleet.worlds[1].start_request(idempotent=True, body=CRASH)
    fleet.run(200)
    assert len(fleet.worlds[1].sends) == 1


def test_chat_requests_send_one_copy_of_a_suspect() -> None:
    """Guard against copies of a chat request that are under way together."""
    world = DispatchWorld(lm=4, slots=4)
    world.crashes.on_reported(losses_of(request_fingerprint("POST", "lm", CHAT, BODY)), ())
    world.send_request()
    world.send_request()
    world.advance(500)
    assert len(world.sends) == 1
    world.close()


def wanted(fingerprint: str, replica: str, *lost: str) -> WantedSend:
    return WantedSend(fingerprint, frozenset(lost), replica)


@pytest.mark.parametrize(
    ("one", "other", "expected"),
    [
        (wanted("w", "r1", "g1"), wanted("w", "r2"), True),
        (wanted("w", "r1", "g1", "g2"), wanted("v", "r1", "g2"), True),
        (wanted("w", "r1", "g1"), wanted("v", "r2", "g1"), False),
        (wanted("w", "r1", "g1"), wanted("v", "r1", "g2"), False),
    ],
)
def test_conflicting_suspects(one: WantedSend, other: WantedSend, expected: bool) -> None:
    assert conflict(one, other) is expected
    assert conflict(other, one) is expected


def test_lower_id_goes_first() -> None:
    """Guard against two instances that ask at the same time and both send, or neither does."""
    low, high = SendPermits("a"), SendPermits("b")
    mine = wanted("w", "r1")
    assert low.begin(mine) and high.begin(mine)
    assert low.block(mine, "b")
    assert not high.block(mine, "a")
    assert [low.end(mine), high.end(mine)] == [True, False]


@pytest.mark.parametrize(
    ("beside", "losses", "blocked"),
    [
        ({"v": ["r9"]}, {}, False),
        ({"v": ["r9"]}, {"v": ["g1"]}, True),
        ({"v": ["r9"]}, {"v": ["g7"]}, False),
        ({"v": ["r9", "g1"]}, {}, True),
        ({"v": ["r8"]}, {"v": ["g1"]}, False),
        ({"w": ["r8"]}, {}, True),
    ],
)
def test_sends_that_forbid_a_suspect(
    beside: dict[str, list[str]], losses: dict[str, list[str]], blocked: bool
) -> None:
    """Guard against requests that get a suspect's next loss beside those they have in common."""
    sends = OpenSends()
    for fingerprint, replicas in beside.items():
        for replica in replicas:
            sends.add(lambda fingerprint=fingerprint: fingerprint, replica)  # type: ignore[misc]
    assert blocked is sends.block(
        wanted("w", "r9", "g1", "g2"),
        lambda fingerprint, lost: any(at in lost for at in losses.get(fingerprint, [])),
    )
