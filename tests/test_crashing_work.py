"""Test that a request that crashes its replicas is quarantined.

Guards against a request that is retried under new ids at any instance and crashes one replica after
the other: nine of nine model replicas ended, and a tenth of all other requests were not served. The
effect of a send on its replica was known only to that one request at that one instance. Of 30
requests cut off by the nine crashes, one was at all nine replicas and no other at more than two.
Its nine sends came from six instances, and no request id was sent twice.
"""

from collections.abc import Sequence
from itertools import pairwise
from signal import SIGKILL
from typing import Any

from result import Err
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from papayapier.errors import ErrorKind, Outcome
from papayapier.policy.item_losses import ITEM_PAUSE_MS, MAX_ITEM_LOSSES
from papayapier.upstream.api import FailureKind, Sent
from tests.dispatch_world import DispatchWorld, result
from tests.forward_world import ForwardWorld
from tests.jobs_run_world import World as RunWorld
from tests.site.world import SiteWorld, new_request_id, sleep

# How many replica losses quarantine a request.
MAX_LOSSES = 3


def test_a_request_that_crashes_its_replicas_is_quarantined() -> None:
    """Guard against sending a crashing request to one replica after the other."""
    for idempotent in (False, True):
        _send_until_refused(idempotent)


def _send_until_refused(idempotent: bool) -> None:
    world = ForwardWorld(replicas=4)
    for _ in range(6):
        results = world.start_request(idempotent, body=b"crash")
        while not results:
            world.end_replica(world.sends[-1])
            world.time.jump(1_000)
    assert len(world.sends) == MAX_LOSSES
    assert isinstance(results[0], Err)
    refusal = results[0].err_value
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_ms > 0


def most_sends(sent_ms: Sequence[int], window_ms: int) -> int:
    """Return the largest number of sends within some time."""
    return max(sum(0 <= later - at < window_ms for later in sent_ms) for at in sent_ms)


def check_spacing(sent_ms: Sequence[int], until_ms: int) -> None:
    """Check that a crashing item is sent again all the time, and never more often than it may be.

    The first sends may follow each other at once.
    """
    spaced_ms = sent_ms[MAX_ITEM_LOSSES - 1 :]
    assert most_sends(spaced_ms, ITEM_PAUSE_MS) == 1
    assert most_sends(spaced_ms, 60_000) <= 60_000 // ITEM_PAUSE_MS
    gaps_ms = [later - at for at, later in pairwise([*spaced_ms, until_ms])]
    assert max(gaps_ms) <= ITEM_PAUSE_MS + 2_000


def test_an_item_that_crashes_its_replicas_is_spaced() -> None:
    """Guard against a crashing item of a job that ends replicas fast, and one that is shelved."""
    world = RunWorld("lm", replicas=3)
    (item,) = world.job("crash", 1, 600_000).items.values()
    sent_ms: list[int] = []
    for _ in range(600):
        world.pump()
        if item.item.id in world.sent:
            sent_ms.append(world.time.clock.now())
            world.lose(item, FailureKind.TRUNCATED, Sent.MAYBE)
            world.replace("lm")
        world.time.jump(500)
    check_spacing(sent_ms, world.time.clock.now())


def test_equal_items_that_crash_their_replicas_take_turns() -> None:
    """Guard against equal crashing items that end several replicas at once."""
    world = RunWorld("lm", replicas=3)
    items = list(world.job("crash", 4, 600_000).items.values())
    sent_ms: list[int] = []
    for _ in range(600):
        world.pump()
        running = [item for item in items if item.item.id in world.sent]
        assert len(running) <= 1 or len(sent_ms) < len(items)
        for item in running:
            sent_ms.append(world.time.clock.now())
            world.lose(item, FailureKind.TRUNCATED, Sent.MAYBE)
        if running:
            world.replace("lm")
        world.time.jump(500)
    assert most_sends(sent_ms[len(items) :], ITEM_PAUSE_MS) == 1


class CrashingSiteTestCase(TestCase):
    timeout = 60

    def setUp(self) -> None:
        self.world = SiteWorld()

    def tearDown(self) -> Any:
        return Deferred.fromCoroutine(self.world.close())

    async def _retry(self, number: int) -> int:
        """Retry the request at one of the entries in turn; return the status, or 0 if none came."""
        port = self.world.caller_ports[f"entry-{number % 2 + 1}"]
        try:
            reply = await self.world.get(port, "/stream/once/crash", X_Request_Id=new_request_id())
        except Exception as exc:
            assert "ResponseFailed" in repr(exc) or "ResponseNeverReceived" in repr(exc), exc
            return 0
        return reply.status

    async def _check_retries(self) -> None:
        world = self.world
        await world.start(entries=2, keepers=1)
        world.replace_crashed()
        statuses = []
        for number in range(8):
            statuses.append(await self._retry(number))
            await sleep(0.4)
            # Other requests are served meanwhile.
            other_reply = await world.get(world.caller_ports["entry-1"], f"/stream/again/{number}")
            assert other_reply.status == 200
        assert world.crashed_count() == MAX_LOSSES, statuses
        assert statuses[MAX_LOSSES:] == [503] * (8 - MAX_LOSSES)

    def test_quarantine_applies_at_every_entry(self) -> Any:
        """Guard against retries at other entries that crash more replicas."""
        return Deferred.fromCoroutine(self._check_retries())

    async def _check_restart(self) -> None:
        world = self.world
        await world.start(entries=2, keepers=1)
        world.replace_crashed()
        for number in range(MAX_LOSSES):
            await self._retry(number)
            await sleep(0.4)
        # A keeper stores the known losses every second.
        await sleep(1.5)
        for name, child in list(world.children.items()):
            child.send_signal(SIGKILL)
            await child.ended
            world.restart(name)
        for name in world.caller_ports:
            await world.wait_until_ready(name)
        await sleep(1.0)
        assert [await self._retry(number) for number in range(2)] == [503, 503]
        assert world.crashed_count() == MAX_LOSSES

    def test_quarantine_survives_a_restart_of_all_processes(self) -> Any:
        """Guard against losses that are only in memory and forgotten when all processes restart."""
        return Deferred.fromCoroutine(self._check_restart())


def test_a_crashing_request_to_the_openai_api_is_quarantined() -> None:
    """Guard against sending a crashing OpenAI-style request to one replica after the other."""
    world = DispatchWorld(lm=8, slots=4)
    pending = None
    for number in range(6):
        pending = world.send_request(call_id=f"call-{number}")
        while not pending.called:
            world.end_replica(world.sends[-1])
            world.advance(1_000)
    assert pending is not None
    refusal = result(pending).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.ENDS_REPLICAS, Outcome.NOT_RUN)
    assert len(world.sends) == MAX_LOSSES


def test_a_crashing_item_of_the_openai_api_is_spaced() -> None:
    """Guard against a crashing OpenAI-style item that ends replicas fast, or is refused.

    Only the owner of its job sends an item, one run at a time.
    """
    world = DispatchWorld(lm=8, slots=1)
    pending = world.run_item()
    sent_ms: list[int] = []
    for _ in range(600):
        open_sends = [send for send in world.sends if not send.done.called]
        assert len(open_sends) <= 1
        for send in open_sends:
            sent_ms.append(world.time.clock.now())
            world.end_replica(send)
        world.advance(500, step_ms=100)
    assert not pending.called
    check_spacing(sent_ms, world.time.clock.now())
