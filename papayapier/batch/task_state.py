"""Decide what may be sent and what must be stored, for the items of one task.

This is the core of exactly-once processing, without I/O and clocks. The rules are:

* An item ends once. Its result stays in memory until a checkpoint or the final results that
  contain it are stored.
* An item that must not be repeated is sent only after a stored checkpoint lists it as an
  intent. The next holder finds the intent without a result and ends the item as unknown,
  because it may have run. This depends on no clock and no lease, because a checkpoint is
  stored only if its predecessor is the version that its writer has read.
* If the previous holder was lost, the task is run cautiously even if its items may be
  repeated, because one of them may have crashed the holder. Intents are then stored as well,
  and each loss counts as a failed attempt of the intended items. Suspect items are sent one at
  a time, so that the item at fault ends as failed and the others are cleared.
* A failed attempt is stored before the next one starts. Otherwise the attempts of an item that
  crashes replicas would be counted from zero by each new holder.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from papayapier.batch.records import (
    Checkpoint,
    ItemResult,
    ItemState,
    Tally,
    TaskResults,
    tally_of,
)
from papayapier.errors import ErrorKind
from papayapier.invariants import Invariant, check_invariant

RESULT_OVERHEAD_BYTES: Final = 64


class TaskRules(NamedTuple):
    """Hold the rules for sending the items of a task."""

    idempotent: bool
    item_attempts: int
    cautious: bool = False


class Retry(NamedTuple):
    """Hold an item that waits for its next attempt."""

    item: int
    at_ms: int
    needs_save: bool


class TaskState:
    """Hold the state of one task's items while this process runs the task."""

    __slots__ = (
        "_attempts",
        "_intents",
        "_losses",
        "_new_intents",
        "_pending",
        "_ready",
        "_results",
        "_retries",
        "_running",
        "_saving",
        "_spilled",
        "_suspects",
        "_versions",
        "ended",
        "result_bytes",
        "rules",
        "size",
        "tally",
    )

    def __init__(self, size: int, rules: TaskRules) -> None:
        self.size = size
        self.rules = rules
        self.tally = Tally()
        self.result_bytes = 0
        self.ended: set[int] = set()
        self._attempts: dict[int, int] = {}
        self._new_intents: list[int] = []
        self._intents: set[int] = set()
        self._losses = 0
        self._pending: deque[int] = deque(range(size))
        self._ready: deque[int] = deque()
        self._results: dict[int, ItemResult] = {}
        self._retries: list[Retry] = []
        self._running: set[int] = set()
        self._saving: _PendingSave | None = None
        self._spilled: list[str] = []
        self._suspects: deque[int] = deque()
        self._versions: list[int] = []

    # Resuming from a checkpoint

    def resume(self, checkpoint: Checkpoint, version: int, spilled: Iterable[ItemResult]) -> None:
        """Resume from a checkpoint whose writer no longer runs the task."""
        self._versions = [*checkpoint.versions, version]
        self._losses = checkpoint.losses
        self._spilled = list(checkpoint.spilled)
        self._attempts = dict(checkpoint.attempts)
        for result in spilled:
            self._count_result(result)
        for result in checkpoint.results:
            self._count_result(result)
            self._buffer_result(result)
        self._pending = deque(i for i in range(self.size) if i not in self.ended)

    def on_holder_lost(self, intents: Iterable[int], custom_ids: list[str], now_wall: int) -> None:
        """Handle the items that the lost holder may have been running."""
        self._losses += 1
        for index in intents:
            if index in self.ended:
                continue
            attempts = self._attempts.get(index, 0) + 1
            self._attempts[index] = attempts
            if not self.rules.idempotent:
                reason = "the instance was lost while the item may have been running"
                self._end_on_loss(index, ItemState.UNKNOWN, custom_ids[index], reason, now_wall)
            elif attempts >= self.rules.item_attempts:
                reason = f"the instance was lost while it ran the item, {attempts} times"
                self._end_on_loss(index, ItemState.FAILED, custom_ids[index], reason, now_wall)
            else:
                self._suspects.append(index)
        excluded = self.ended.union(self._suspects)
        self._pending = deque(i for i in self._pending if i not in excluded)

    def _end_on_loss(
        self, index: int, state: ItemState, custom_id: str, reason: str, now_wall: int
    ) -> None:
        attempts = self._attempts[index]
        kind = ErrorKind.OUTCOME_UNKNOWN.value
        commit = self.next_commit()
        result = ItemResult(
            index, custom_id, state, 0, b"", True, kind, reason, attempts, now_wall, commit
        )
        self._count_result(result)
        self._buffer_result(result)

    # Sending

    def needs_intents(self) -> bool:
        """Return whether items must be stored as intents before they are sent."""
        return self.rules.cautious or not self.rules.idempotent

    def startable_count(self) -> int:
        """Return how many items may be sent now without a prior write."""
        waiting = 0 if self.needs_intents() else len(self._pending)
        return len(self._ready) + waiting

    def unintended_count(self) -> int:
        """Return how many items still have to be stored as intents."""
        return len(self._pending) + len(self._suspects) if self.needs_intents() else 0

    def intend(self, max_items: int) -> int:
        """Choose the next intents; they become startable when a checkpoint is stored."""
        if not self.needs_intents() or self._new_intents or self._ready:
            return 0
        while self._pending and len(self._new_intents) < max_items:
            self._new_intents.append(self._pending.popleft())
        if not self._new_intents and self._suspects and not self._intents:
            self._new_intents.append(self._suspects.popleft())
        self._intents.update(self._new_intents)
        return len(self._new_intents)

    def take_item(self) -> int | None:
        """Return an item to be sent now and count it as running, or None."""
        if self._ready:
            index = self._ready.popleft()
        elif self._pending and not self.needs_intents():
            index = self._pending.popleft()
        else:
            return None
        check_invariant(
            index not in self.ended and index not in self._running,
            Invariant.COMPLETE_ONCE,
            item=index,
        )
        check_invariant(
            self.rules.idempotent or index in self._intents, Invariant.AT_MOST_ONCE, item=index
        )
        self._running.add(index)
        return index

    def running(self) -> int:
        """Return how many items are running."""
        return len(self._running)

    def remaining(self) -> int:
        """Return how many items have not ended."""
        return self.size - len(self.ended)

    def attempts_of(self, index: int) -> int:
        """Return how many attempts of an item have failed."""
        return self._attempts.get(index, 0)

    # Ending

    def end_item(self, result: ItemResult) -> None:
        """Record the outcome of a running item."""
        check_invariant(
            result.item in self._running and result.item not in self.ended,
            Invariant.COMPLETE_ONCE,
            item=result.item,
        )
        self._running.discard(result.item)
        self._count_result(result)
        self._buffer_result(result._replace(commit=self.next_commit()))

    def fail_attempt(self, index: int, at_ms: int) -> bool:
        """Count a failed attempt and schedule a retry.

        If it was the last attempt, return False and leave the item running.
        """
        attempts = self._attempts.get(index, 0) + 1
        self._attempts[index] = attempts
        if attempts >= self.rules.item_attempts:
            return False
        self._running.discard(index)
        self._retries.append(Retry(index, at_ms, needs_save=True))
        return True

    def requeue(self, index: int, at_ms: int) -> None:
        """Schedule another send of a running item without counting a failed attempt.

        The item may be repeated, or it provably has not run.
        """
        self._running.discard(index)
        self._retries.append(Retry(index, at_ms, needs_save=False))

    def wake_retries(self, now: int) -> int | None:
        """Make due retries startable; return when the next one is due."""
        waiting: list[Retry] = []
        for retry in self._retries:
            if retry.needs_save or retry.at_ms > now:
                waiting.append(retry)
            else:
                self._ready.append(retry.item)
        self._retries = waiting
        times = [retry.at_ms for retry in waiting if not retry.needs_save]
        return min(times, default=None)

    # Storing

    def must_save(self) -> bool:
        """Return whether an item waits for a checkpoint before it may be sent."""
        return bool(self._new_intents) or any(retry.needs_save for retry in self._retries)

    def has_unstored_results(self) -> bool:
        """Return whether there are results that no stored checkpoint contains."""
        return any(result.commit >= len(self._versions) for result in self._results.values())

    def has_unstored_state(self) -> bool:
        """Return whether a later holder would miss state that no checkpoint contains."""
        return self.has_unstored_results() or self.must_save() or bool(self._intents)

    def snapshot(self, writer: str, fence: int, withdraw: bool = False) -> Checkpoint:
        """Return the checkpoint to store; withdraw omits intents that were not sent."""
        self._saving = _PendingSave(
            new_intents=list(self._new_intents),
            retried=[retry.item for retry in self._retries if retry.needs_save],
        )
        intents = self._intents & self._running if withdraw else self._intents
        return Checkpoint(
            writer=writer,
            fence=fence,
            losses=self._losses,
            versions=list(self._versions),
            intents=sorted(intents),
            attempts=sorted((i, n) for i, n in self._attempts.items() if i not in self.ended),
            results=list(self._results.values()),
            spilled=list(self._spilled),
        )

    def on_saved(self, version: int) -> None:
        """Release what waited for the snapshot that is now stored."""
        saving = self._saving
        if saving is None:
            return
        self._saving = None
        self._versions.append(version)
        self._ready.extend(saving.new_intents)
        self._new_intents = [
            index for index in self._new_intents if index not in saving.new_intents
        ]
        self._retries = [
            retry._replace(needs_save=retry.needs_save and retry.item not in saving.retried)
            for retry in self._retries
        ]

    def take_results(self) -> list[ItemResult]:
        """Remove and return the results in memory, to be stored as a separate object."""
        results = list(self._results.values())
        self._results = {}
        self.result_bytes = 0
        return results

    def on_spilled(self, key: str) -> None:
        """Add the stored object to the checkpoints that follow."""
        self._spilled.append(key)

    def final_results(self, writer: str, fence: int) -> TaskResults:
        """Return the results of the complete task."""
        check_invariant(
            len(self.ended) == self.size, Invariant.COMPLETE_ONCE, left=self.remaining()
        )
        check_invariant(self.tally.total() == self.size, Invariant.COMPLETE_ONCE, tally=self.tally)
        results = [self._results[index] for index in sorted(self._results)]
        return TaskResults(writer, fence, self.tally, results, list(self._spilled))

    def result_of(self, index: int) -> ItemResult | None:
        """Return the result of an item if it is in memory."""
        return self._results.get(index)

    def _count_result(self, result: ItemResult) -> None:
        check_invariant(result.item not in self.ended, Invariant.COMPLETE_ONCE, item=result.item)
        self.ended.add(result.item)
        self._intents.discard(result.item)
        self.tally = self.tally.plus(tally_of([result]))

    def _buffer_result(self, result: ItemResult) -> None:
        self._results[result.item] = result
        self.result_bytes += len(result.body) + RESULT_OVERHEAD_BYTES

    def next_commit(self) -> int:
        """Return the index of the first checkpoint that can contain a result produced now."""
        return len(self._versions) + (self._saving is not None)


class _PendingSave(NamedTuple):
    """Hold what waits for the snapshot that is being stored."""

    new_intents: list[int]
    retried: list[int]
