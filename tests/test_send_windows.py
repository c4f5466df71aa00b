"""Test that a frequent request is distinguished from a request that ends its replicas.

Few replicas run a service; both requests are open at each, all replicas end before the frequent one
was answered anywhere, and the waiting requests go to the next ones. When both were resent at the
same moment to the same replicas, the frequent one was refused for ten minutes, though it ends no
replica.
"""

import random
from collections.abc import Callable
from typing import Any

import pytest

from papayapier.clock import fake_clock
from papayapier.dispatch.crash_watch import CrashListeners, CrashWatch
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.policy.crash_quarantine import MAX_LOSSES, CrashTracker, ReplicaLoss
from papayapier.policy.item_losses import ITEM_PAUSE_MS
from papayapier.policy.send_windows import MAX_WINDOWS, SEND_PERIOD_MS, WINDOW_MS, ms_to_window
from papayapier.upstream.api import FailureKind, Replica, Sent
from tests.dispatch_world import BODY, CHAT, DispatchWorld
from tests.forward_world import ForwardResult, ForwardWorld, Send

STEP_MS = 10
REPORT_DELAY_MS = 100
RUN_MS = 6_000
FREQUENT_GAP_MS = 50
CRASH_GAP_MS = 200
ANSWER_MS = 130
CRASH_MS = 20
# The last frequent requests, of which all but those in progress must be answered at the end.
LAST = 20
IN_PROGRESS = 5
FREQUENT = b"sound"
CRASH = b"crash"
START = 1_000_000


def in_window(fingerprints: list[str], at_ms: int) -> list[str]:
    """Return the fingerprints whose send window is open."""
    return [
        fingerprint
        for fingerprint in fingerprints
        if not ms_to_window(fingerprint, {*fingerprints} - {fingerprint}, at_ms)
    ]


@pytest.mark.parametrize("count", range(2, MAX_WINDOWS + 1))
def test_one_window_at_a_time(count: int) -> None:
    """Guard against overlapping send windows, and suspects without a window."""
    fingerprints = [f"w{number}" for number in range(count)]
    opened = set()
    for at_ms in range((count + 1) * WINDOW_MS):
        now = in_window(fingerprints, at_ms)
        assert len(now) <= 1
        opened.update(now)
    assert opened == {*fingerprints}


@pytest.mark.parametrize("count", [2, 3, MAX_WINDOWS, MAX_WINDOWS + 1, 100])
def test_wait_ends_in_own_window(count: int) -> None:
    """Guard against a wait that is too long or ends outside the request's own window."""
    fingerprints = [f"w{number}" for number in range(count)]
    for fingerprint in fingerprints:
        others = {*fingerprints} - {fingerprint}
        for at_ms in range(0, 3 * MAX_WINDOWS * WINDOW_MS, 50):
            wait_ms = ms_to_window(fingerprint, others, at_ms)
            assert wait_ms <= (MAX_WINDOWS + 1) * WINDOW_MS
            assert not ms_to_window(fingerprint, others, at_ms + wait_ms)


def test_windows_leave_time_for_results() -> None:
    """Guard against a window that opens before the results of the previous one are known."""
    fingerprints = ["w0", "w1"]
    ends = [
        at
        for at in range(10 * WINDOW_MS)
        if in_window(fingerprints, at) and not in_window(fingerprints, at + 1)
    ]
    begins = [
        at
        for at in range(1, 10 * WINDOW_MS)
        if in_window(fingerprints, at) and not in_window(fingerprints, at - 1)
    ]
    assert all(
        min(begin - end for begin in begins if begin > end) >= WINDOW_MS - SEND_PERIOD_MS
        for end in ends
        if end < begins[-1]
    )


def lost_twice(*fingerprints: str) -> CrashTracker:
    book = CrashTracker()
    for fingerprint in fingerprints:
        book.on_losses_received(
            [ReplicaLoss(fingerprint, f"r{number}", 0) for number in range(MAX_LOSSES - 1)], START
        )
    return book


def test_request_without_other_suspects_does_not_wait() -> None:
    """Guard against delaying requests that share no lost replica with another suspect."""
    book = lost_twice("w")
    book.on_losses_received(
        [
            ReplicaLoss("other", "r0", 0),
            ReplicaLoss("elsewhere", "r8", 0),
            ReplicaLoss("elsewhere", "r9", 0),
        ],
        START,
    )
    assert [
        book.send_windows.wait_ms(fingerprint, START)
        for fingerprint in ("w", "other", "elsewhere", "new")
    ] == [0] * 4


def test_window_is_used_once() -> None:
    """Guard against sending all queued copies in one window, each ending a replica."""
    book = lost_twice("w0", "w1")
    now = START + WINDOW_MS
    assert [book.send_windows.try_send("w0", now), book.send_windows.try_send("w0", now)] == [
        True,
        False,
    ]
    assert book.send_windows.try_send("w0", now + book.send_windows.wait_ms("w0", now))


def test_answer_ends_the_windows() -> None:
    """Guard against waits after one of the suspects has been answered."""
    book = lost_twice("w0", "w1")
    book.on_answered("w0")
    assert [book.send_windows.wait_ms(fingerprint, START) for fingerprint in ("w0", "w1")] == [0, 0]


def test_third_loss_ends_the_windows() -> None:
    """Guard against waits after one of the suspects has been quarantined."""
    book = lost_twice("w0", "w1")
    book.on_losses_received([ReplicaLoss("w1", "r7", 0)], START)
    assert not book.send_windows.wait_ms("w0", START)
    assert book.quarantine_ms("w1", START)


def test_item_waits_until_online_suspects_had_windows() -> None:
    """Guard against an item that ends replicas in the send window of an online request."""
    book = lost_twice("item", "question")
    assert book.item_pause_ms("item", START) == ITEM_PAUSE_MS
    assert not book.item_pause_ms("item", START + ITEM_PAUSE_MS)
    assert not lost_twice("item").item_pause_ms("item", START)


def losses_of(*fingerprints: str) -> list[ReplicaLoss]:
    return [
        ReplicaLoss(fingerprint, f"gone{n}", 0)
        for fingerprint in fingerprints
        for n in range(MAX_LOSSES - 1)
    ]


def test_chat_requests_wait_for_their_window() -> None:
    """Guard against requests of the chat endpoint that are sent outside their window."""
    world = DispatchWorld(lm=4, slots=4)
    world.crashes.on_reported(losses_of(request_fingerprint("POST", "lm", CHAT, BODY), "rival"), ())
    world.send_request()
    assert not world.sends
    world.advance(3 * WINDOW_MS)
    assert len(world.sends) == 1


@pytest.mark.parametrize("due_ms", [100, 600, 5_000])
def test_request_waits_at_most_half_its_time(due_ms: int) -> None:
    """Guard against requests that wait for a window until their due time."""
    world = ForwardWorld()
    world.crashes.on_reported(
        losses_of(request_fingerprint("POST", "", "/a", FREQUENT), "rival"), ()
    )
    world.start_request(idempotent=True, body=FREQUENT, due_ms=due_ms)
    waited_ms = 0
    while not world.sends:
        world.time.jump(STEP_MS)
        waited_ms += STEP_MS
    assert WINDOW_MS <= waited_ms <= 2 * WINDOW_MS or waited_ms == due_ms // 2


class Fleet:
    """Simulate entries that notify each other of losses after a delay, with common replicas."""

    def __init__(self, seed: int, entries: int, replicas: int, back_ms: int) -> None:
        self._back_ms = back_ms
        self.time = fake_clock()
        self._rand = random.Random(seed)
        self.entries = [ForwardWorld(replicas, seed + n, self.time) for n in range(entries)]
        self._seen: dict[int, int] = {}
        self.ends: dict[bytes, list[list[ForwardResult]]] = {FREQUENT: [], CRASH: []}
        self.lost = 0
        for entry in self.entries:
            others = [other.crashes for other in self.entries if other is not entry]
            entry.crashes.connect(self._hearers(entry.crashes, others))

    def _hearers(self, watch: CrashWatch, others: list[CrashWatch]) -> CrashListeners:
        def on_lost(loss: ReplicaLoss) -> None:
            self.time.clock.call_later(
                REPORT_DELAY_MS, lambda: reported([loss._replace(age_ms=REPORT_DELAY_MS)], ())
            )

        def reported(losses: list[ReplicaLoss], answered: Any) -> None:
            for other in others:
                other.on_reported(losses, answered)

        return CrashListeners(
            on_lost,
            lambda fingerprint: reported([], [fingerprint]),
            lambda fingerprint: reported(watch.snapshot([fingerprint]), ()),
        )

    def ask(self, body: bytes) -> None:
        entry = self._rand.choice(self.entries)
        self.ends[body].append(entry.start_request(idempotent=True, body=body))

    def step(self) -> None:
        """Answer frequent requests that have run, and end the replicas of crashing ones."""
        self.time.jump(STEP_MS)
        now = self.time.clock.now()
        for send in [send for entry in self.entries for send in entry.sends]:
            began = self._seen.setdefault(id(send), now)
            if send.done.called:
                continue
            if send.call.body == FREQUENT and now - began >= ANSWER_MS:
                send.answer()
            elif send.call.body == CRASH and now - began >= CRASH_MS:
                self._end(send)

    def _end(self, send: Send) -> None:
        self.lost += 1
        ended_replica = send.replica
        replacement = Replica(f"n{self.lost}", "lm", "h", 100 + self.lost, "dc")
        self._list(
            lambda replicas: [listed for listed in replicas if listed.id != ended_replica.id]
        )
        self.time.clock.call_later(
            self._back_ms, lambda: self._list(lambda old: [*old, replacement])
        )
        for other in [other for entry in self.entries for other in entry.sends]:
            if other.replica.id == ended_replica.id and not other.done.called:
                other.fail(FailureKind.TRUNCATED, Sent.MAYBE)

    def _list(self, change: Callable[[list[Replica]], list[Replica]]) -> None:
        for entry in self.entries:
            entry.replicas = change(entry.replicas)
            entry.list_replicas()

    def quarantined(self, body: bytes) -> list[bool]:
        fingerprint = request_fingerprint("POST", "", "/a", body)
        return [
            entry.crashes.refusal("r", lambda: fingerprint) is not None for entry in self.entries
        ]


def simulate(seed: int, entries: int, replicas: int, back_ms: int) -> Fleet:
    """Send the frequent and the crashing request repeatedly, for six seconds."""
    fleet = Fleet(seed, entries, replicas, back_ms)
    for at_ms in range(0, RUN_MS, STEP_MS):
        if at_ms % CRASH_GAP_MS == 0:
            fleet.ask(CRASH)
        if at_ms % FREQUENT_GAP_MS == 0:
            fleet.ask(FREQUENT)
        fleet.step()
    return fleet


@pytest.mark.parametrize("back_ms", [10, 500, 1_500])
@pytest.mark.parametrize("entries", [1, 2, 5])
@pytest.mark.parametrize("replicas", [1, 2, 3])
def test_frequent_request_without_answer_is_not_quarantined(
    entries: int, replicas: int, back_ms: int
) -> None:
    """Guard against refusing a frequent request for ten minutes because it was never sent alone."""
    for seed in range(3):
        fleet = simulate(seed, entries, replicas, back_ms)
        assert not any(fleet.quarantined(FREQUENT)), seed
        assert all(fleet.quarantined(CRASH))
        assert fleet.lost == MAX_LOSSES
        last = fleet.ends[FREQUENT][-LAST:-IN_PROGRESS]
        assert last and all(end.is_ok() for ends in last for end in ends)
