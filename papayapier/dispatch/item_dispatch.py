"""Run batch items on the capacity that online requests leave free, and preempt them at once.

Engines have no priorities, so a batch stream is preempted by cancelling it: the tokens received
are kept, the item goes to the head of the queue, and its next send resumes after them at a replica
of the same software version, or starts again where that has none. Only
idempotent streams are preempted; a call that may not be repeated or cannot be resumed is left to
finish.

ItemDispatch owns the waiting and running items of one instance. policy.batch_share decides which
replica has capacity and how many streams must be preempted.
"""

import sys
from collections import deque
from collections.abc import Sequence
from functools import partial
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.config.profiles import RetryRule
from papayapier.dispatch.failure_attribution import counts_against_replica, rejection
from papayapier.dispatch.items import Item
from papayapier.dispatch.outcome_checks import check_send, correct_outcome
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.policy.retries import GiveUp, Retry, RetryBudget, retry_or_refuse
from papayapier.policy.stream_versions import replicas_of_version
from papayapier.upstream.api import Call, Failure, FailureKind, Replica, Reply, Sent

if TYPE_CHECKING:
    from collections.abc import Callable

    from papayapier.batch.api import ItemCall
    from papayapier.clock import Timer
    from papayapier.dispatch.api import DispatchDeps
    from papayapier.upstream.api import Silence

TICK_MS: Final = 20
MIN_ITEM_TIMEOUT_MS: Final = 60_000
AVOID_FAILED_MS: Final = 1_000
# An interrupted item goes on at its own software version if a slot is free there in time; later it
# costs less to run it again at another version.
VERSION_WAIT_MS: Final = 2_000
# An item that may not be repeated waits as long as this for a silent replica that is not listed any
# more, and for a listed one until its due time.
GONE_SILENCE_MS: Final = 60_000
# Pause before a retry for which the retry budget has nothing left.
BUDGET_PAUSE_MS: Final = 1_000
UNLIMITED: Final = RetryBudget(floor=sys.maxsize)
ANSWER_KINDS: Final = frozenset({FailureKind.STATUS, FailureKind.INVALID, FailureKind.WRONG_ID})
# Interval between checks whether an item with a quarantined part may be sent.
PART_CHECK_MS: Final = 500


class ItemDispatch:
    """Own the batch items that wait for or run on replicas."""

    def __init__(self, deps: "DispatchDeps") -> None:
        self._deps = deps
        self._waiting: dict[str, deque[Item]] = {}
        self._running: dict[str, list[Item]] = {}
        self._paused_count = 0
        self._watchers: list[Callable[[], None]] = []
        self._timer: Timer | None = None
        self._closed = False
        self._starting = False
        self._restart_pending = False

    def free_slots(self, upstream: str) -> int:
        """Return how many more items of an upstream may be passed to run now."""
        deps = self._deps
        now = deps.clock.now()
        free = sum(
            deps.share.free_streams(replica.id, deps.load_tracker, now)
            for replica in self._usable(upstream, now)
        )
        return max(0, free - len(self._waiting.get(upstream, ())))

    def watch_capacity(self, call: "Callable[[], None]") -> None:
        """Register a callback for whenever free capacity may have grown."""
        self._watchers.append(call)

    def unfinished_count(self) -> int:
        """Return how many items are waiting, running or pausing before a retry."""
        waiting = sum(len(items) for items in self._waiting.values())
        return waiting + sum(len(items) for items in self._running.values()) + self._paused_count

    async def run(self, call: "ItemCall") -> Result[Reply, Refusal]:
        """Return the complete answer of an item, however often it is preempted."""
        item = Item(call)
        self._deps.budget.on_request(call.profile.upstream, self._deps.clock.now())
        while True:
            await self._wait_while_quarantined(item)
            replica = await self._wait_for_capacity(item)
            try:
                if not call.still_allowed():
                    return Err(correct_outcome(_not_allowed_refusal(), item.maybe_sent))
                # An equal item may have been sent, or a part quarantined, while it waited.
                if not self._may_run(item):
                    continue
                result = await self._send_tracked(item, replica)
            finally:
                self._release(item, replica)
            if isinstance(result, Ok):
                return Ok(item.join_parts(result.ok_value))
            if item.preempted:
                continue
            decision = self._after_failure(item, result.err_value)
            if isinstance(decision, GiveUp):
                return Err(correct_outcome(decision.refusal, item.maybe_sent))
            await self._before_retry(item, replica, decision)

    async def _wait_while_quarantined(self, item: Item) -> None:
        """Wait while an item is a suspect that may not be sent yet, or has a quarantined part."""
        while not self._may_run(item):
            pause_ms = self._deps.crashes.item_pause_ms(item.call.fingerprint)
            await self._pause(pause_ms or PART_CHECK_MS)

    def _may_run(self, item: Item) -> bool:
        """Return whether neither an item's losses nor a part of its prompt forbid a send now."""
        call, crashes = item.call, self._deps.crashes
        return not crashes.item_pause_ms(call.fingerprint) and crashes.parts.item_may_run(
            call.call_id, call.profile.upstream, call.shared_parts
        )

    async def _pause(self, delay_ms: int) -> None:
        self._paused_count += 1
        try:
            await self._deps.clock.sleep(delay_ms)
        finally:
            self._paused_count -= 1

    async def _wait_for_capacity(self, item: Item) -> Replica:
        upstream = item.call.profile.upstream
        waiting = self._waiting.setdefault(upstream, deque())
        item.waiter = Deferred(lambda _: waiting.remove(item))
        if item.sends:
            waiting.appendleft(item)
        else:
            waiting.append(item)
        self._start_waiting()
        self._keep_ticking()
        return await item.waiter

    def _start_waiting(self) -> None:
        """Start the waiting items for which there is capacity.

        An item that finishes at once, because its job was cancelled, calls this again while it is
        still running. The nested call only sets a flag: with many such items in a row, recursion
        would exceed the interpreter's limit.
        """
        self._restart_pending = True
        if self._starting:
            return
        self._starting = True
        try:
            while self._restart_pending:
                self._restart_pending = False
                for upstream in list(self._waiting):
                    self._start_upstream(upstream)
        finally:
            self._starting = False

    def _start_upstream(self, upstream: str) -> None:
        waiting = self._waiting[upstream]
        for item in list(waiting):
            if self._most_free_replica(upstream, frozenset()) is None:
                return
            replica = self._replica_for(item)
            if replica is not None and item in waiting:
                waiting.remove(item)
                self._start(item, replica)

    def _start(self, item: Item, replica: Replica) -> None:
        assert item.waiter is not None
        # Counted as sent here and not in _send, because the waiter's coroutine may run
        # later, and the next item must already find the slot taken.
        self._deps.load_tracker.on_sent(replica.id, True, self._deps.clock.now())
        self._running.setdefault(replica.id, []).append(item)
        self._deps.on_uses_changed()
        item.waiter.callback(replica)

    def _replica_for(self, item: Item) -> Replica | None:
        """Return a replica for an item, avoiding those that have just failed it."""
        upstream = item.call.profile.upstream
        now = self._deps.clock.now()
        usable = self._usable(upstream, now)
        if now >= item.avoid_until_ms or all(replica.id in item.excluded for replica in usable):
            item.excluded = frozenset()
        if item.version is not None and not self._waits_for_version(item, usable, now):
            events.emit(events.CALL_RESTARTED, call=item.call.call_id, version=item.version)
            item.discard_parts()
        if self._deps.crashes.is_item_suspect(item.call.fingerprint):
            return self._least_used_replica(item)
        return self._most_free_replica(upstream, item.excluded, item.version)

    def _least_used_replica(self, item: Item) -> Replica | None:
        """Return a replica for a suspect where the fewest other calls are at stake."""
        deps = self._deps
        now = deps.clock.now()
        candidates = [
            replica
            for replica in self._usable(item.call.profile.upstream, now)
            if replica.id not in item.excluded
            and item.version in (None, replica.version)
            and deps.share.free_streams(replica.id, deps.load_tracker, now) > 0
        ]
        return min(candidates, key=lambda replica: self._open_calls(replica.id), default=None)

    def _open_calls(self, replica_id: str) -> int:
        load_tracker = self._deps.load_tracker
        return load_tracker.online_calls(replica_id) + load_tracker.batch_calls(replica_id)

    def _waits_for_version(self, item: Item, usable: Sequence[Replica], now: int) -> bool:
        """Return whether an item waits for a slot at the software version that began it."""
        assert item.version is not None
        candidates = replicas_of_version(usable, item.version)
        if not candidates:
            return not usable
        if self._most_free_replica(item.call.profile.upstream, frozenset(), item.version):
            return True
        return now < item.version_until_ms

    def _most_free_replica(
        self, upstream: str, excluded: frozenset[str], version: str | None = None
    ) -> Replica | None:
        deps = self._deps
        now = deps.clock.now()
        best: Replica | None = None
        most_free = 0
        for replica in self._usable(upstream, now):
            free = deps.share.free_streams(replica.id, deps.load_tracker, now)
            if version not in (None, replica.version):
                continue
            if free > most_free and replica.id not in excluded:
                best, most_free = replica, free
        return best

    def _usable(self, upstream: str, now: int) -> list[Replica]:
        outliers = self._deps.outliers
        usable = self._deps.load_tracker.usable_replicas(upstream, now)
        return [replica for replica in usable if not outliers.is_ejected(replica.id, now)]

    async def _send_tracked(self, item: Item, replica: Replica) -> Result[Reply, Failure]:
        crashes, call_id = self._deps.crashes, item.call.call_id
        crashes.on_item_begun(call_id, replica.id, item.call.fingerprint)
        try:
            return await self._send(item, replica)
        finally:
            crashes.on_item_ended(call_id)

    async def _send(self, item: Item, replica: Replica) -> Result[Reply, Failure]:
        now = self._deps.clock.now()
        may_run_again = item.call.profile.idempotent or not item.maybe_sent
        check_send(self._deps.load_tracker, replica, item.call.call_id, may_run_again, now)
        item.sends += 1
        item.send_first_ms = 0
        item.preempted = False
        self._deps.outliers.on_start(replica.id, now)
        call = self._call(item, replica, now)
        outlier_reported = False
        try:
            result = await item.send(
                lambda: self._deps.upstreams.send(
                    replica,
                    call,
                    lambda token: item.receive(token, replica.version, self._deps.clock.now()),
                )
            )
            outlier_reported = isinstance(result, Ok) or _counts_against_replica(
                item, result.err_value
            )
        finally:
            if not outlier_reported:
                self._deps.outliers.on_no_result(replica.id)
        if isinstance(result, Err) and rejection(result.err_value) is None:
            item.maybe_sent = item.maybe_sent or result.err_value.sent is Sent.MAYBE
        self._deps.crashes.on_item_finished(
            item.call.call_id,
            item.call.fingerprint,
            replica,
            result,
            now,
            item.call.shared_parts,
            item.send_first_ms,
        )
        self._report_result(item, replica, result)
        return result

    def _release(self, item: Item, replica: Replica) -> None:
        running = self._running[replica.id]
        running.remove(item)
        item.version_until_ms = self._deps.clock.now() + VERSION_WAIT_MS
        if not running:
            del self._running[replica.id]
        self._deps.load_tracker.on_finished(replica.id, True, self._deps.clock.now())
        self._deps.on_uses_changed()
        self._on_capacity_grown()

    def _call(self, item: Item, replica: Replica, now: int) -> Call:
        call = item.call
        left_ms = call.due_wall_ms - self._deps.clock.wall()
        return Call(
            call_id=call.call_id,
            request_id=f"{call.call_id}-{item.sends}",
            method=call.method,
            path=call.path,
            body=item.body(),
            content_type="application/json",
            stream=item.generates(),
            # An item past its due time is still run, because it must end with a result.
            due_ms=now + max(left_ms, MIN_ITEM_TIMEOUT_MS),
            new_connection=item.fresh,
            plain_service=not item.generates(),
            on_silence=None if call.profile.idempotent else partial(self._wait_silently, replica),
        )

    def _wait_silently(self, replica: Replica, silence: "Silence") -> None:
        """Keep a call open that may not be repeated, as its replica may go on."""
        if silence.silent_ms >= GONE_SILENCE_MS and replica.id not in {
            listed.id for listed in self._deps.load_tracker.replicas(replica.upstream)
        }:
            silence.end()

    def _report_result(self, item: Item, replica: Replica, result: Result[Reply, Failure]) -> None:
        now = self._deps.clock.now()
        if isinstance(result, Ok):
            self._deps.outliers.on_end(replica.id, True, None, now)
            if result.ok_value.load is not None:
                self._deps.load_tracker.on_report(replica.id, result.ok_value.load)
            return
        if _counts_against_replica(item, result.err_value):
            self._deps.outliers.on_end(replica.id, False, None, now)

    def _after_failure(self, item: Item, failure: Failure) -> Retry | GiveUp:
        """Decide whether an item is retried; only answers of a replica use up its attempts.

        A spent retry budget delays an item, which has time, but does not end it.
        """
        item.failures += 1
        rejected = rejection(failure)
        if rejected is not None:
            return GiveUp(rejected)
        if _replica_answered(failure):
            item.failed_answers += 1
        call = item.call
        now = self._deps.clock.now()
        attempts_left = call.profile.retry.attempts - item.failed_answers
        decision = retry_or_refuse(
            failure,
            call.profile.idempotent,
            item.failures,
            RetryRule(item.failures + attempts_left),
            now + MIN_ITEM_TIMEOUT_MS,
            now,
            UNLIMITED,
            call.profile.upstream,
            self._deps.rand,
            Sent.MAYBE if item.maybe_sent else Sent.NO,
        )
        if isinstance(decision, Retry) and not self._deps.budget.try_spend(
            call.profile.upstream, now
        ):
            return decision._replace(after_ms=max(decision.after_ms, BUDGET_PAUSE_MS))
        return decision

    async def _before_retry(self, item: Item, replica: Replica, decision: Retry) -> None:
        self._deps.metrics.retries.labels(item.call.profile.upstream).inc()
        item.fresh = item.fresh or decision.fresh_connection
        # A replica that fails at once always has the most free slots and would attract every item.
        if decision.exclude:
            item.excluded = item.excluded | {replica.id}
            item.avoid_until_ms = self._deps.clock.now() + decision.after_ms + AVOID_FAILED_MS
        if decision.after_ms:
            await self._pause(decision.after_ms)

    def preempt_for_online(self, replica_id: str) -> None:
        """Preempt as many batch streams on a replica as its online calls need."""
        items = self._running.get(replica_id)
        if not items:
            return
        now = self._deps.clock.now()
        count = self._deps.share.excess_streams(replica_id, self._deps.load_tracker, now)
        if count > 0:
            self._preempt(items, count)

    def _preempt(self, items: list[Item], count: int) -> None:
        """Preempt the streams with the fewest tokens, which lose the least work."""
        # Streams already cancelled still count as open, and must not be counted twice.
        count -= sum(1 for item in items if item.preempted)
        preemptible = [item for item in items if item.may_be_preempted()]
        for item in sorted(preemptible, key=lambda candidate: len(candidate.parts))[
            : max(0, count)
        ]:
            self._deps.metrics.batch_yields.inc()
            item.preempt()

    def _on_capacity_grown(self) -> None:
        self._start_waiting()
        for call in self._watchers:
            call()

    def _keep_ticking(self) -> None:
        if self._timer is None and not self._closed:
            self._timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        """Apply changed limits, also when no request starts or finishes."""
        self._timer = None
        if self.unfinished_count():
            self._keep_ticking()
        for replica_id in list(self._running):
            self.preempt_for_online(replica_id)
        self._on_capacity_grown()

    def close(self) -> None:
        """Stop the timer."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _not_allowed_refusal() -> Refusal:
    return not_run_refusal(ErrorKind.CANCELLED, "the item may no longer run")


def _replica_answered(failure: Failure) -> bool:
    """Return whether a replica ran an item and answered that it failed, or with a broken answer."""
    return failure.sent is Sent.MAYBE and failure.kind in ANSWER_KINDS


def _counts_against_replica(item: Item, failure: Failure) -> bool:
    return not item.preempted and counts_against_replica(failure)
