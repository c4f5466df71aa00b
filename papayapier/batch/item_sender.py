"""Send single items of open tasks and process their outcomes."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError

from papayapier import events
from papayapier.batch import background
from papayapier.batch.active_jobs import ItemRun, OpenTask
from papayapier.batch.api import ItemCall
from papayapier.batch.lines import ENGINE_URLS, SERVICE_URL
from papayapier.batch.outcomes import ResendItem, classify
from papayapier.batch.records import InputItem, ItemResult, ItemState
from papayapier.errors import ErrorKind, Refusal, unknown_refusal
from papayapier.upstream.api import Reply

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.config.profiles import Profile

FIRST_RETRY_MS: Final = 500
MAX_RETRY_MS: Final = 30_000
MIN_ITEM_TIMEOUT_MS: Final = 600_000


class ItemSender:
    """Send items, and report each change of a task's state to on_change."""

    def __init__(
        self,
        deps: "BatchDeps",
        may_send: Callable[[OpenTask], bool],
        on_change: Callable[[OpenTask], None],
        on_ended: Callable[[str], None],
    ) -> None:
        self._deps = deps
        self._may_send = may_send
        self._on_change = on_change
        self._on_ended = on_ended

    def send(self, task: OpenTask, item: int, profile: "Profile") -> None:
        """Pass an item that was taken from the task's state to the dispatch."""
        run = ItemRun()
        task.running[item] = run
        coroutine = self._run(task, item, run, profile)
        failed = unknown_refusal(ErrorKind.INTERNAL, "the dispatch failed")
        run.deferred = background.start(
            coroutine, f"item {item}", lambda: self._on_outcome(task, item, run, Err(failed))
        )

    async def _run(self, task: OpenTask, item: int, run: ItemRun, profile: "Profile") -> None:
        input_item = task.items[item]

        def still_allowed() -> bool:
            if not self._may_send(task):
                return False
            run.maybe_sent = True
            return True

        record = task.job.record
        call = ItemCall(
            call_id=call_id(task, item),
            caller=record.caller,
            profile=profile,
            method=input_item.method,
            path=_path_at_upstream(input_item),
            body=input_item.body,
            due_wall_ms=max(record.due_ms, self._deps.clock.wall() + MIN_ITEM_TIMEOUT_MS),
            still_allowed=still_allowed,
        )
        try:
            outcome = await self._deps.dispatch.run(call)
        except CancelledError:
            self._on_cancelled(task, item, run)
            return
        if isinstance(outcome, Ok):
            self._on_ended(profile.upstream)
        self._on_outcome(task, item, run, outcome)

    def _on_cancelled(self, task: OpenTask, item: int, run: ItemRun) -> None:
        if task.running.pop(item, None) is None or task.closed:
            return
        if task.state.rules.idempotent or not run.maybe_sent:
            task.state.requeue(item, self._deps.clock.now())
        else:
            reason = "stopped while it was running"
            refusal = unknown_refusal(ErrorKind.OUTCOME_UNKNOWN, reason)
            self._apply_outcome(task, item, Err(refusal))
        self._on_change(task)

    def _on_outcome(
        self, task: OpenTask, item: int, run: ItemRun, outcome: Result[Reply, Refusal]
    ) -> None:
        if task.running.pop(item, None) is None or task.closed:
            return
        self._apply_outcome(task, item, outcome)
        self._on_change(task)

    def _apply_outcome(self, task: OpenTask, item: int, outcome: Result[Reply, Refusal]) -> None:
        state = task.state
        decision = classify(
            item,
            task.items[item],
            call_id(task, item),
            outcome,
            state.rules.idempotent,
            self._deps.clock.wall(),
        )
        if isinstance(decision, ResendItem):
            retry_at_ms = self._deps.clock.now() + self._pause_ms(state.attempts_of(item))
            if not decision.counts_as_attempt:
                state.requeue(item, retry_at_ms)
                return
            if state.fail_attempt(item, retry_at_ms):
                return
        result = decision.result._replace(attempts=state.attempts_of(item))
        state.end_item(result)
        self._report(task, result, outcome)

    def _pause_ms(self, attempts: int) -> int:
        max_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS << attempts)
        return self._deps.rand.randint(max_ms // 2, max_ms)

    def _report(self, task: OpenTask, result: ItemResult, outcome: Result[Reply, Refusal]) -> None:
        self._deps.metrics.batch_items.labels(result.state.value).inc()
        if isinstance(outcome, Ok):
            self._deps.metrics.batch_tokens.inc(outcome.ok_value.tokens)
        if result.state is ItemState.COMPLETED:
            return
        event = events.ITEM_UNKNOWN if result.state is ItemState.UNKNOWN else events.ITEM_FAILED
        events.emit(
            event,
            job=task.job.record.job_id,
            custom_id=result.custom_id,
            attempts=result.attempts,
            reason=result.reason,
        )


def call_id(task: OpenTask, item: int) -> str:
    """Return the call id of an item, which is the same on every instance and for every attempt."""
    return f"{task.job.record.job_id}-{task.span.task}-{item}"


def _path_at_upstream(input_item: InputItem) -> str:
    """Return the path at the replica, without the name of the service."""
    if input_item.url in ENGINE_URLS:
        return input_item.url
    rest = input_item.url[len(SERVICE_URL) :].partition("/")[2]
    return "/" + rest
