"""Test the queue at the placer under overload, with processes against stand-ins."""

from collections import Counter
from signal import SIGKILL, SIGTERM, Signals
from typing import Any, Final

from twisted.internet.defer import Deferred, gatherResults

from papayapier import events
from tests.site.case import SiteCase
from tests.site.replicas import SLOTS
from tests.site.world import new_request_id, sleep, start_task

# A stream takes about 0.13 s, so that eight slots run 60 a second; the load is three times that.
TOTAL_CALLS: Final = 100
CALLS_PER_ROUND: Final = 5
ROUND_GAP_S: Final = 0.025
# The placer counts at most 2 * SLOTS open calls at a replica (policy/replica_limits.py). On a busy
# machine there are also calls whose end has not been reported to it yet.
MAX_OPEN: Final = 2 * SLOTS + 3
# By then about ten calls wait for a free slot.
QUEUE_FILL_S: Final = 0.1
LAST_EVENT: Final = b"data: piece 6"
RESUMABLE_PATH: Final = "/stream/again/1"
# Each entry gets two of these, one of each kind.
BOTH_KINDS: Final = ("/stream/once/1", RESUMABLE_PATH, RESUMABLE_PATH, "/stream/once/1")


class OverloadTest(SiteCase):
    """Send more requests than the replicas can run at once."""

    paths: tuple[str, ...] = (RESUMABLE_PATH,)

    async def _start_site(self, queue: bool) -> None:
        world = self.world
        # The full mesh is set so low that even these few processes exceed it.
        world.peer_settings = {"full_mesh": 2, "early_calls": 1, "heartbeat_ms": 200}
        world.placing_settings = {"queue": queue}
        world.write_configuration(1, [{"name": "yard", "apiKeys": ["k"]}])
        world.api_key = "k"
        await world.start(entries=2, keepers=3)
        for _ in range(100):
            reply = await world.get(self.port(), "/stream/again/1")
            if reply.status == 200 and self._has_placed_calls():
                return
            await sleep(0.05)
        raise AssertionError("no hub places calls")

    def _has_placed_calls(self) -> bool:
        lines = self.world.children["entry-1"].printed.splitlines()
        return any(
            f'"event":{events.REQUEST_ENDED.number}' in line and '"placed":1' in line
            for line in lines
        )

    async def _send_one(self) -> str:
        port = self.port(1 + self.sent_count % 2)
        path = self.paths[self.sent_count % len(self.paths)]
        self.sent_count += 1
        request_id = new_request_id()
        self.path_by_request[request_id] = path
        try:
            reply = await self.world.get(port, path, X_Request_Id=request_id)
        except Exception as exc:
            return type(exc).__name__
        if reply.status == 200:
            return "whole" if LAST_EVENT in reply.body else "cut"
        return str(reply.status)

    async def _load(self, round_size: int = CALLS_PER_ROUND) -> Counter[str]:
        self.sent_count = 0
        self.path_by_request: dict[str, str] = {}
        for replica in self.world.replicas:
            replica.max_open_requests = 0
        pending: list[Any] = []
        while len(pending) < TOTAL_CALLS:
            pending += [start_task(self._send_one()) for _ in range(round_size)]
            await sleep(ROUND_GAP_S)
        return Counter(await gatherResults(pending))

    def _max_open_requests(self) -> int:
        return max(replica.max_open_requests for replica in self.world.replicas)

    def _unplaced_count(self) -> int:
        """Return how many requests an entry placed itself, as no placer answered in time."""
        printed = "".join(child.printed for child in self.world.children.values())
        return printed.count('"placed":0')

    async def _queued_at_placer(self) -> None:
        await self._start_site(queue=True)
        outcomes = await self._load()
        assert set(outcomes) <= {"whole", "503"}, outcomes
        assert outcomes["whole"] >= TOTAL_CALLS / 2, outcomes
        assert self._max_open_requests() <= MAX_OPEN + self._unplaced_count()

    def test_calls_without_a_free_slot_wait_at_the_placer(self) -> Any:
        # Failure: calls queue at the replicas. Without the setting a replica of four slots has
        # about fifty calls open.
        return Deferred.fromCoroutine(self._queued_at_placer())

    async def _queued_at_replicas(self) -> None:
        await self._start_site(queue=False)
        await self._load(TOTAL_CALLS)
        assert self._max_open_requests() > MAX_OPEN

    def test_without_the_setting_calls_queue_at_replicas(self) -> Any:
        return Deferred.fromCoroutine(self._queued_at_replicas())

    async def _placer_with_queue(self) -> str:
        """Return the name of the process at which calls are queued."""
        for _ in range(200):
            for name, child in self.world.children.items():
                if child.logged_count(events.PART_FULL.number):
                    return name
            await sleep(0.01)
        raise AssertionError("no call is queued at a placer")

    async def _stop_placer(self, signal: Signals) -> str:
        """Signal the placer while calls are queued there, check all answers, return its name."""
        self.paths = BOTH_KINDS
        await self._start_site(queue=True)
        load = start_task(self._load())
        placer = await self._placer_with_queue()
        await sleep(QUEUE_FILL_S)
        self.world.children[placer].send_signal(signal)
        outcomes: Counter[str] = await load
        assert set(outcomes) <= {"whole", "503"}, outcomes
        assert outcomes["whole"] >= TOTAL_CALLS / 2, outcomes
        self._check_starts()
        return placer

    def _check_starts(self) -> None:
        """Check that only resumable requests ran again, once for each logged retry."""
        start_counts = Counter(
            run for replica in self.world.replicas for run in replica.started_requests
        )
        allowed_starts = Counter(dict.fromkeys(self.path_by_request, 1))
        for child in self.world.children.values():
            for line in child.documents:
                if line.get("event") != events.REQUEST_RETRIED.number:
                    continue
                if self.path_by_request.get(line["request"]) == RESUMABLE_PATH:
                    allowed_starts[line["request"]] += 1
        test_starts = Counter(
            {request_id: start_counts[request_id] for request_id in self.path_by_request}
        )
        assert not test_starts - allowed_starts

    def test_a_placer_killed_while_calls_are_queued(self) -> Any:
        # Failure: calls that are queued at a killed hub are lost, or sent twice.
        return Deferred.fromCoroutine(self._stop_placer(SIGKILL))

    async def _placer_drains(self) -> None:
        placer = await self._stop_placer(SIGTERM)
        assert self.world.children[placer].logged_count(events.PLACES_HANDED_OVER.number) == 1
        assert self._max_open_requests() <= MAX_OPEN + self._unplaced_count()

    def test_a_placer_stopped_while_calls_are_queued(self) -> Any:
        # Failure: a hub that stops releases all its queued calls at once, to replicas without a
        # free slot.
        return Deferred.fromCoroutine(self._placer_drains())
