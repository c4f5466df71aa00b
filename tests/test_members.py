"""Test how instances exchange the instance list and save it in the data folder."""

import tempfile
from pathlib import Path
from random import Random
from typing import Any

from papayapier import codec, events
from papayapier.clock import FakeClock, fake_clock
from papayapier.peer.members import RETRY_MS, MembersDeps, MembersExchange
from papayapier.peer.messages import Heartbeat, Message
from papayapier.peer.parts import MAX_PART_BYTES
from papayapier.store.api import ENTRY, LIVE, REPLICA, Member
from papayapier.store.members import MemberFollower
from papayapier.store.members_file import (
    MAX_AGE_MS,
    SAVE_DELAY_MS,
    AgedMembers,
    MembersFile,
)
from tests.fake_store import FakePlatform
from tests.log_capture import LogCapture

HOST = "127.0.0.1"


class Side:
    """Hold one side of the exchange of lists, and record what it sends."""

    def __init__(self, time: FakeClock) -> None:
        self.sent: list[Any] = []
        store = FakePlatform(time.clock).store()
        self.follower = MemberFollower(store, time.clock, Random(2), lambda _change: None)
        self.exchange = MembersExchange(
            MembersDeps(time.clock, Random(3), self.send, self.follower)
        )

    def send(self, _peer: str, message: Message) -> bool:
        self.sent.append(message)
        return True

    def take_sent(self) -> list[Any]:
        sent, self.sent = self.sent, []
        return sent

    def ids(self) -> list[str]:
        return sorted(self.follower.known)


class TestExchange:
    def setup_method(self) -> None:
        self.time = fake_clock()
        self.time.jump(60_000)
        self.responder, self.requester = Side(self.time), Side(self.time)

    def members(self, count: int) -> list[Member]:
        return [
            Member(f"lm-{n}", REPLICA, "lm", HOST, 1, 0, "dc-a", "local", LIVE)
            for n in range(count)
        ]

    def answer(self) -> list[Any]:
        """Deliver a heartbeat, and return the replies to the request that follows it."""
        self.requester.exchange.on_peer("a", Heartbeat("a", 1, "serving", 0))
        for request in self.requester.take_sent():
            self.responder.exchange.on_peer("b", request)
        return self.responder.take_sent()

    def test_long_list_is_sent_in_parts_and_used_only_complete(self) -> None:
        # Symptom: after a restart in an outage some replicas get no calls.
        # Sequence: the list has several parts; the link is replaced between two of them.
        # Cause: an incomplete list was used as if it were complete.
        self.responder.follower.use_list(self.members(6_000), self.time.clock.now())
        first, *rest = self.answer()
        assert rest and all(len(codec.pack(part)) < 2 * MAX_PART_BYTES for part in (first, *rest))
        for part in rest:
            self.requester.exchange.on_peer("a", part)
        assert self.requester.ids() == []
        assert self.answer() == []
        self.time.jump(RETRY_MS)
        for part in self.answer():
            self.requester.exchange.on_peer("a", part)
        assert len(self.requester.ids()) == 6_000
        assert self.requester.follower.age_ms() == RETRY_MS

    def test_only_newer_lists_are_sent_and_used(self) -> None:
        now = self.time.clock.now()
        self.responder.follower.use_list(self.members(1), now - 5_000)
        self.requester.follower.use_list(self.members(2), now - 4_000)
        assert [part.members for part in self.answer()] == [[]]
        self.time.jump(RETRY_MS)
        self.responder.follower.use_list(self.members(1), now - 3_000)
        (reply,) = self.answer()
        self.requester.exchange.on_peer("stranger", reply)
        assert self.requester.ids() == ["lm-0", "lm-1"]
        self.requester.exchange.on_peer("a", reply)
        assert self.requester.ids() == ["lm-0"]
        self.time.jump(RETRY_MS)
        self.responder.follower.use_list(self.members(1), now)
        assert [part.members for part in self.answer()] == [[]], "the same list again"

    def test_list_of_the_platform_is_never_replaced_by_lists_of_peers(self) -> None:
        self.responder.follower.use_list(self.members(3), self.time.clock.now())
        (reply,) = self.answer()
        self.requester.follower.start()
        self.time.jump(1_000)
        assert (self.requester.follower.last_read_ms is not None, self.requester.ids()) == (
            True,
            [],
        )
        self.requester.exchange.on_peer("a", reply)
        assert not self.requester.follower.use_list(self.members(3), self.time.clock.now())
        assert self.requester.ids() == []
        self.time.jump(RETRY_MS)
        assert self.answer() == []
        self.requester.follower.stop()


def test_saved_list_with_a_later_wall_clock_counts_as_oldest() -> None:
    # Symptom: after a restart in an outage calls go to replicas that were removed long ago.
    # Sequence: the copy is written while the machine's clock is ahead; the clock is set back.
    # Cause: a copy with a time in the future seemed newer than any peer's list.
    with tempfile.TemporaryDirectory() as folder:
        listed = AgedMembers([Member("b", ENTRY, "", HOST, 1, 2, "dc-a", "local", LIVE)], 50)
        for wall_ms, age_ms in ((2_000_000, 1_050), (1_000_000, MAX_AGE_MS)):
            written = fake_clock(2_000_000)
            keeper = MembersFile(folder, written.clock, lambda: listed)
            keeper.save_soon()
            written.jump(SAVE_DELAY_MS)
            now = fake_clock(wall_ms + (SAVE_DELAY_MS + 1_000 if age_ms < MAX_AGE_MS else 0))
            copy = MembersFile(folder, now.clock, lambda: listed).load()
            assert copy == AgedMembers(listed.members, age_ms)


def test_unusable_folder_emits_an_event() -> None:
    with tempfile.TemporaryDirectory() as folder, LogCapture() as logs:
        time = fake_clock()
        keeper = MembersFile(folder, time.clock, lambda: AgedMembers([], 0))
        assert keeper.load() is None
        (Path(folder) / "instances.msgpack").write_bytes(b"\xc1")
        assert keeper.load() is None
        missing = MembersFile(f"{folder}/none", time.clock, lambda: AgedMembers([], 0))
        missing.save_soon()
        missing.close()
        assert len(logs.fields_of(events.MEMBERS_FOLDER_FAILED)) == 2
