"""Test one queue for a fleet with real processes on loopback around stand-ins."""

from collections import Counter
from signal import SIGKILL, SIGTERM, Signals
from typing import Any, Final

from twisted.internet.defer import Deferred, gatherResults

from papayapier import events
from tests.site.case import SiteCase
from tests.site.replicas import SLOTS
from tests.site.world import begin, new_id, pause

# Streams take some 0.13 s, so that eight slots run 60 a second; three times as many come.
CALLS: Final = 100
ROUND: Final = 5
ROUND_S: Final = 0.025
# A replica has at most twice its slots by the placer's account (policy/replica_room.py), and calls
# that end while that is not heard yet, on a busy machine.
MOST: Final = 2 * SLOTS + 3
# By then some ten calls wait that find no room.
QUEUE_GROWS_S: Final = 0.1
WHOLE: Final = b"data: piece 6"
AGAIN: Final = "/stream/again/1"
# Two of these come to each entry, one of each kind.
BOTH: Final = ("/stream/once/1", AGAIN, AGAIN, "/stream/once/1")


class HardLoadTest(SiteCase):
    """Ask for more than the replicas run at once."""

    paths: tuple[str, ...] = (AGAIN,)

    async def _start(self, queue: bool) -> None:
        world = self.world
        # Few processes, and yet more than all hear each other.
        world.peer = {"full_mesh": 2, "early_calls": 1, "heartbeat_ms": 200}
        world.placing = {"queue": queue}
        world.configure(1, [{"name": "yard", "apiKeys": ["k"]}])
        world.key = "k"
        await world.start(entries=2, keepers=3)
        for _ in range(100):
            reply = await world.get(self.port(), "/stream/again/1")
            if reply.status == 200 and self._placed():
                return
            await pause(0.05)
        raise AssertionError("no hub places calls")

    def _placed(self) -> bool:
        lines = self.world.children["entry-1"].printed.splitlines()
        return any(
            f'"event":{events.REQUEST_ENDED.number}' in one and '"placed":1' in one for one in lines
        )

    async def _ask(self) -> str:
        port = self.port(1 + self.asked % 2)
        path = self.paths[self.asked % len(self.paths)]
        self.asked += 1
        request_id = new_id()
        self.sent[request_id] = path
        try:
            reply = await self.world.get(port, path, X_Request_Id=request_id)
        except Exception as exc:
            return type(exc).__name__
        if reply.status == 200:
            return "whole" if WHOLE in reply.body else "cut"
        return str(reply.status)

    async def _load(self, round_size: int = ROUND) -> Counter[str]:
        self.asked = 0
        self.sent: dict[str, str] = {}
        for one in self.world.replicas:
            one.most_open = 0
        asked: list[Any] = []
        while len(asked) < CALLS:
            asked += [begin(self._ask()) for _ in range(round_size)]
            await pause(ROUND_S)
        return Counter(await gatherResults(asked))

    def _most_open(self) -> int:
        return max(one.most_open for one in self.world.replicas)

    def _unplaced(self) -> int:
        """Return how many requests an entry placed by itself, for want of a word in time."""
        printed = "".join(child.printed for child in self.world.children.values())
        return printed.count('"placed":0')

    async def _held(self) -> None:
        await self._start(queue=True)
        ends = await self._load()
        assert set(ends) <= {"whole", "503"}, ends
        assert ends["whole"] >= CALLS / 2, ends
        assert self._most_open() <= MOST + self._unplaced()

    def test_what_finds_no_room_waits_at_the_placer(self) -> Any:
        # Before: without the setting a replica of four slots has some fifty calls open.
        return Deferred.fromCoroutine(self._held())

    async def _not_held(self) -> None:
        await self._start(queue=False)
        await self._load(CALLS)
        assert self._most_open() > MOST

    def test_without_the_setting_replicas_queue(self) -> Any:
        return Deferred.fromCoroutine(self._not_held())

    async def _placer_with_asks(self) -> str:
        """Return the name of the process at which calls wait."""
        for _ in range(200):
            for name, child in self.world.children.items():
                if child.logged(events.PART_FULL.number):
                    return name
            await pause(0.01)
        raise AssertionError("no call waits at a placer")

    async def _placer_ends(self, signal: Signals) -> str:
        """End the placer while calls wait there, check all answers, and return its name."""
        self.paths = BOTH
        await self._start(queue=True)
        loading = begin(self._load())
        placer = await self._placer_with_asks()
        await pause(QUEUE_GROWS_S)
        self.world.children[placer].signal(signal)
        ends: Counter[str] = await loading
        assert set(ends) <= {"whole", "503"}, ends
        assert ends["whole"] >= CALLS / 2, ends
        self._check_runs()
        return placer

    def _check_runs(self) -> None:
        """Check that nothing ran again but what may, after a send that an entry saw fail."""
        runs = Counter(run for one in self.world.replicas for run in one.runs)
        allowed = Counter(dict.fromkeys(self.sent, 1))
        for child in self.world.children.values():
            for line in child.documents:
                if line.get("event") != events.REQUEST_RETRIED.number:
                    continue
                if self.sent.get(line["request"]) == AGAIN:
                    allowed[line["request"]] += 1
        ran = Counter({one: runs[one] for one in self.sent})
        assert not ran - allowed

    def test_a_placer_lost_while_it_holds_asks(self) -> Any:
        # Failure: those that wait at a lost hub are forgotten, or sent twice.
        return Deferred.fromCoroutine(self._placer_ends(SIGKILL))

    async def _placer_leaves(self) -> None:
        placer = await self._placer_ends(SIGTERM)
        assert self.world.children[placer].logged(events.PLACES_HANDED_OVER.number) == 1
        assert self._most_open() <= MOST + self._unplaced()

    def test_a_placer_that_leaves_while_it_holds_asks(self) -> Any:
        # Failure: all that wait at a hub which stops are let go at once, to replicas that are full.
        return Deferred.fromCoroutine(self._placer_leaves())
