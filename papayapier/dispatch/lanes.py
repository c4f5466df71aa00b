"""Run batch items on the capacity that online requests leave, and give it back at once.

Engines know no priorities, so a batch stream gives way by being cancelled: the tokens it has
received are kept, the item goes to the head of the queue, and its next send resumes after
them. Only idempotent streams are cancelled for this; a call that may not be repeated, or that
cannot be resumed, is left to finish.

BatchLanes owns the waiting and running items of one instance. Which replica has room and how
many streams must go is decided by policy.batch_share.
"""

from collections import deque
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier.dispatch.blame import blames_replica, rejection
from papayapier.errors import ErrorKind, Outcome, Refusal
from papayapier.invariants import Promise, check
from papayapier.policy.retries import GiveUp, decide
from papayapier.upstream.api import Call, Failure, FailureKind, Replica, Reply, Sent, Token
from papayapier.upstream.engine_calls import ENGINE_PATHS, streaming_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.batch.api import ItemCall
    from papayapier.clock import Timer
    from papayapier.dispatch.api import DispatchDeps

TICK_MS: Final = 20
MIN_ITEM_MS: Final = 60_000

Sending = Deferred[Result[Reply, Failure]]


class _Item:
    """Hold one batch item from hand-over to its end."""

    __slots__ = (
        "attempts",
        "call",
        "given_up",
        "maybe_sent",
        "parts",
        "sending",
        "sends",
        "waiter",
    )

    def __init__(self, call: "ItemCall") -> None:
        self.call = call
        self.parts: list[str] = []
        self.attempts = 0
        self.sends = 0
        self.maybe_sent = False
        self.given_up = False
        self.sending: Sending | None = None
        self.waiter: Deferred[Replica] | None = None

    def generates(self) -> bool:
        return self.call.path in ENGINE_PATHS

    def may_yield(self) -> bool:
        return self.call.profile.idempotent and self.generates()


class BatchLanes:
    """Own the batch items that wait for or run on replicas."""

    def __init__(self, deps: "DispatchDeps") -> None:
        self._deps = deps
        self._waiting: dict[str, deque[_Item]] = {}
        self._running: dict[str, list[_Item]] = {}
        self._watchers: list[Callable[[], None]] = []
        self._timer: Timer | None = None
        self._closed = False

    def room(self, upstream: str) -> int:
        """Return how many more items of an upstream may be handed over now."""
        deps = self._deps
        now = deps.clock.now()
        free = sum(
            deps.share.room(replica.id, deps.book, now)
            for replica in deps.book.usable(upstream, now)
        )
        return max(0, free - len(self._waiting.get(upstream, ())))

    def watch_room(self, call: "Callable[[], None]") -> None:
        """Register a call for whenever room may have grown."""
        self._watchers.append(call)

    def under_way(self) -> int:
        """Return how many items are waiting or running."""
        waiting = sum(len(items) for items in self._waiting.values())
        return waiting + sum(len(items) for items in self._running.values())

    async def run(self, call: "ItemCall") -> Result[Reply, Refusal]:
        """Return the whole answer of an item, however often it has to give way."""
        item = _Item(call)
        self._deps.budget.on_request(call.profile.upstream, self._deps.clock.now())
        try:
            return await self._run(item)
        finally:
            self._forget(item)

    async def _run(self, item: _Item) -> Result[Reply, Refusal]:
        while True:
            replica = await self._wait_for_room(item)
            try:
                if not item.call.still_allowed():
                    return Err(_ended(item, ErrorKind.CANCELLED, "the item may no longer run"))
                sent = await self._send(item, replica)
            finally:
                self._release(item, replica)
            if isinstance(sent, Ok):
                return Ok(_joined(sent.ok_value, item))
            if item.given_up:
                continue
            refusal = await self._after_failure(item, sent.err_value)
            if refusal is not None:
                return Err(refusal)

    async def _wait_for_room(self, item: _Item) -> Replica:
        upstream = item.call.profile.upstream
        waiting = self._waiting.setdefault(upstream, deque())
        item.waiter = Deferred(lambda _: waiting.remove(item))
        if item.given_up:
            waiting.appendleft(item)
        else:
            waiting.append(item)
        item.given_up = False
        self._start_waiting(upstream)
        self._keep_ticking()
        return await item.waiter

    def _start_waiting(self, upstream: str) -> None:
        waiting = self._waiting.get(upstream)
        while waiting:
            replica = self._roomiest(upstream)
            if replica is None:
                return
            item = waiting.popleft()
            assert item.waiter is not None
            # Counted as sent here and not in _send, because the waiter's coroutine may run
            # later and the next pass of this loop must already see the slot taken.
            self._deps.book.on_sent(replica.id, True, self._deps.clock.now())
            self._running.setdefault(replica.id, []).append(item)
            self._deps.uses_changed()
            item.waiter.callback(replica)

    def _roomiest(self, upstream: str) -> Replica | None:
        deps = self._deps
        now = deps.clock.now()
        best: Replica | None = None
        most = 0
        for replica in deps.book.usable(upstream, now):
            if deps.outliers.ejected(replica.id, now):
                continue
            free = deps.share.room(replica.id, deps.book, now)
            if free > most:
                best, most = replica, free
        return best

    async def _send(self, item: _Item, replica: Replica) -> Result[Reply, Failure]:
        item.sends += 1
        check(
            item.call.profile.idempotent or not item.maybe_sent,
            Promise.AT_MOST_ONCE,
            call=item.call.call_id,
        )

        def receive(token: Token) -> None:
            item.parts.append(token.text)

        started = self._deps.clock.now()
        self._deps.outliers.on_start(replica.id, started)
        item.sending = Deferred.fromCoroutine(
            _as_coroutine(self._deps, replica, self._call(item, started), receive)
        )
        try:
            sent = await item.sending
        except CancelledError:
            if not item.given_up:
                raise
            sent = Err(Failure(FailureKind.CANCELLED, Sent.MAYBE, "gave way to online requests"))
        finally:
            item.sending = None
        self._learn(item, replica, sent)
        return sent

    def _release(self, item: _Item, replica: Replica) -> None:
        self._running[replica.id].remove(item)
        self._deps.book.on_done(replica.id, True, self._deps.clock.now())
        self._deps.uses_changed()
        self._room_grew()

    def _call(self, item: _Item, now: int) -> Call:
        call = item.call
        body = call.body
        if item.generates():
            body = streaming_body(call.body, "".join(item.parts))
        left_ms = call.due_wall_ms - self._deps.clock.wall()
        return Call(
            call_id=call.call_id,
            request_id=f"{call.call_id}-{item.sends}",
            method=call.method,
            path=call.path,
            body=body,
            content_type="application/json",
            stream=item.generates(),
            # Work past its due time is still wanted: the item must end with a result.
            due_ms=now + max(left_ms, MIN_ITEM_MS),
            fresh=not call.profile.idempotent,
            plain=not item.generates(),
        )

    def _learn(self, item: _Item, replica: Replica, sent: Result[Reply, Failure]) -> None:
        now = self._deps.clock.now()
        if isinstance(sent, Ok):
            self._deps.outliers.on_end(replica.id, True, None, now)
            if sent.ok_value.load is not None:
                self._deps.book.on_report(replica.id, sent.ok_value.load)
            return
        if not item.given_up and blames_replica(sent.err_value):
            self._deps.outliers.on_end(replica.id, False, None, now)

    async def _after_failure(self, item: _Item, failure: Failure) -> Refusal | None:
        """Return the refusal that ends the item, or None after the pause before a retry."""
        item.attempts += 1
        rejected = rejection(failure)
        if rejected is not None:
            return rejected
        call = item.call
        now = self._deps.clock.now()
        earlier = Sent.MAYBE if item.maybe_sent else Sent.NO
        item.maybe_sent = item.maybe_sent or failure.sent is Sent.MAYBE
        decision = decide(
            failure,
            call.profile.idempotent,
            item.attempts,
            call.profile.retry,
            now + MIN_ITEM_MS,
            now,
            self._deps.budget,
            call.profile.upstream,
            self._deps.rand,
            earlier,
        )
        if isinstance(decision, GiveUp):
            if item.maybe_sent and decision.refusal.outcome is Outcome.NOT_RUN:
                return decision.refusal._replace(outcome=Outcome.UNKNOWN)
            return decision.refusal
        self._deps.metrics.retries.labels(call.profile.upstream).inc()
        await self._deps.clock.sleep(decision.after_ms)
        return None

    def before_online_send(self, replica_id: str) -> None:
        """Give up as many batch streams on a replica as an online request needs."""
        items = self._running.get(replica_id)
        if not items:
            return
        now = self._deps.clock.now()
        count = self._deps.share.to_yield(replica_id, self._deps.book, now)
        if count > 0:
            self._give_up(items, count)

    def _give_up(self, items: list[_Item], count: int) -> None:
        """Cancel the streams that lose least: those with the fewest tokens."""
        able = [item for item in items if item.may_yield() and item.sending is not None]
        for item in sorted(able, key=lambda one: len(one.parts))[:count]:
            assert item.sending is not None
            item.given_up = True
            self._deps.metrics.batch_yields.inc()
            item.sending.cancel()

    def _room_grew(self) -> None:
        for upstream in list(self._waiting):
            self._start_waiting(upstream)
        for call in self._watchers:
            call()

    def _keep_ticking(self) -> None:
        if self._timer is None and not self._closed:
            self._timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        """Follow the limits down and up, also when no request starts or ends."""
        self._timer = None
        for replica_id in list(self._running):
            self.before_online_send(replica_id)
        self._room_grew()
        if self.under_way():
            self._keep_ticking()

    def _forget(self, item: _Item) -> None:
        waiting = self._waiting.get(item.call.profile.upstream)
        if waiting is not None and item in waiting:
            waiting.remove(item)

    def close(self) -> None:
        """Stop the timer."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


async def _as_coroutine(
    deps: "DispatchDeps", replica: Replica, call: Call, receive: "Callable[[Token], None]"
) -> Result[Reply, Failure]:
    return await deps.upstreams.send(replica, call, receive)


def _joined(reply: Reply, item: _Item) -> Reply:
    """Make one answer of the parts that several sends gave."""
    if item.sends == 1 or not item.parts:
        return reply
    return reply._replace(text="".join(item.parts), tokens=len(item.parts))


def _ended(item: _Item, kind: ErrorKind, reason: str) -> Refusal:
    outcome = Outcome.UNKNOWN if item.maybe_sent else Outcome.NOT_RUN
    return Refusal(kind, outcome, reason)
