"""Test that work which ends the replicas that run it is not sent on and on.

What users saw: nine of nine model replicas ended one after the other, each under the same request,
which came again and again at every instance; a tenth of all other requests were not served.
Events: a request reaches a replica, the replica ends and resets all its connections, the caller
is told that the outcome is unknown; the same work comes again under another request id, at any
instance, and goes to the next replica.
Cause: what a send did to its replica was kept for that one request at that one instance.
Evidence: of 30 works cut off by the nine ends one was at all nine and none other at more than two;
its nine sends came from six instances, and none of them was sent twice by one request.
"""

from signal import SIGKILL
from typing import Any

from result import Err
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from papayapier.errors import ErrorKind, Outcome
from papayapier.upstream.api import FailureKind, Sent
from tests.dispatch_world import World, result
from tests.forward_world import ForwardWorld
from tests.jobs_run_world import World as RunWorld
from tests.site.world import SiteWorld, new_id, pause

# How many replicas one work may end before it is sent no more.
ENDS_MOST = 3
# An item is not refused but tried some more times, far apart.
ITEM_ENDS_MOST = 6


def test_work_that_ends_its_replicas_is_not_sent_for_ever() -> None:
    for idempotent in (False, True):
        _send_until_refused(idempotent)


def _send_until_refused(idempotent: bool) -> None:
    world = ForwardWorld(replicas=4)
    for _ in range(6):
        ends = world.begin(idempotent, body=b"crash")
        while not ends:
            world.end_replica(world.sends[-1])
            world.time.advance(1_000)
    assert len(world.sends) == ENDS_MOST
    assert isinstance(ends[0], Err)
    refusal = ends[0].err_value
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_ms > 0


def test_an_item_that_ends_its_replicas_is_not_sent_for_ever() -> None:
    world = RunWorld("lm")
    (item,) = world.job("crash", 1, 600_000).items.values()
    for _ in range(300):
        world.pump()
        if item.item.id in world.sent:
            world.lose(item, FailureKind.CUT, Sent.MAYBE)
            world.replace("lm")
        world.time.advance(1_000)
    assert world.sends == ITEM_ENDS_MOST


class CrashingSiteTestCase(TestCase):
    timeout = 60

    def setUp(self) -> None:
        self.world = SiteWorld()

    def tearDown(self) -> Any:
        return Deferred.fromCoroutine(self.world.close())

    async def _return(self, number: int) -> int:
        """Send the work again, at one entry after the other; return the status, 0 for none."""
        port = self.world.callers[f"entry-{number % 2 + 1}"]
        try:
            reply = await self.world.get(port, "/stream/once/crash", X_Request_Id=new_id())
        except Exception as exc:
            assert "ResponseFailed" in repr(exc) or "ResponseNeverReceived" in repr(exc), exc
            return 0
        return reply.status

    async def _returns(self) -> None:
        world = self.world
        await world.start(entries=2, keepers=1)
        world.replace_crashed()
        said = []
        for number in range(8):
            said.append(await self._return(number))
            await pause(0.4)
            # What else is asked meanwhile is served.
            sound = await world.get(world.callers["entry-1"], f"/stream/again/{number}")
            assert sound.status == 200
        assert world.crashed() == ENDS_MOST, said
        assert said[ENDS_MOST:] == [503] * (8 - ENDS_MOST)

    def test_it_comes_again_at_each_entry(self) -> Any:
        return Deferred.fromCoroutine(self._returns())

    async def _started_again(self) -> None:
        # Events: a work has ended three replicas; all processes are killed and start again; the
        # work comes again. Cause: what is known of it was in memory only.
        world = self.world
        await world.start(entries=2, keepers=1)
        world.replace_crashed()
        for number in range(ENDS_MOST):
            await self._return(number)
            await pause(0.4)
        # A keeper writes what it knows each second.
        await pause(1.5)
        for name, child in list(world.children.items()):
            child.signal(SIGKILL)
            await child.ended
            world.restart(name)
        for name in world.callers:
            await world.until_ready(name)
        await pause(1.0)
        assert [await self._return(number) for number in range(2)] == [503, 503]
        assert world.crashed() == ENDS_MOST

    def test_it_is_known_after_all_have_started_again(self) -> Any:
        return Deferred.fromCoroutine(self._started_again())


def test_the_products_own_requests_end_no_more_replicas() -> None:
    world = World(lm=8, slots=4)
    ended = None
    for number in range(6):
        ended = world.ask(call_id=f"call-{number}")
        while not ended.called:
            world.end_replica(world.sends[-1])
            world.advance(1_000)
    assert ended is not None
    refusal = result(ended).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (ErrorKind.ENDS_REPLICAS, Outcome.NOT_RUN)
    assert len(world.sends) == ENDS_MOST


def test_the_products_own_items_are_tried_some_more_times() -> None:
    # An item is sent by whoever holds its job, one run at a time; each attempt is three sends.
    world = World(lm=8, slots=1)
    for number in range(4):
        ended = world.item(call_id=f"item-{number}")
        while not ended.called:
            for send in [send for send in world.sends if not send.done.called]:
                world.end_replica(send)
            world.advance(1_000)
    assert result(ended).unwrap_err().kind is ErrorKind.ENDS_REPLICAS
    assert len(world.sends) == ITEM_ENDS_MOST
