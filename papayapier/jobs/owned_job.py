"""Track a job that this instance runs: items waiting, items running and unwritten results."""

import math
from typing import Final

from papayapier.jobs.progress import ItemProgress
from papayapier.jobs.records import (
    ItemOutcome,
    ItemResult,
    JobItem,
    JobRecord,
    ResultGroup,
    accepted_under,
)
from papayapier.jobs.result_sizes import MAX_GROUP_BYTES
from papayapier.policy.handover import STALLED_MS, STALLED_RUNNING_MS
from papayapier.upstream.event_splitter import NO_EVENT

NO_DELAY: Final = 0


class ItemState:
    """Hold the state of one item; texts and last_event come from the streams of its runs."""

    __slots__ = (
        "failures",
        "fingerprint",
        "item",
        "last_event",
        "last_received_ms",
        "not_before_ms",
        "parts",
        "quarantined",
        "ran_ms",
        "running",
        "texts",
        "version",
    )

    def __init__(self, item: JobItem) -> None:
        self.item = item
        self.texts: list[str] = []
        self.last_event = NO_EVENT
        # The software version that wrote the texts; None if there are none.
        self.version: str | None = None
        self.failures = 0
        # Monotonic time of its last received event.
        self.last_received_ms = 0
        # Total duration of its runs.
        self.ran_ms = 0
        self.running = False
        self.not_before_ms = NO_DELAY
        # Set while its request fingerprint is quarantined after replica losses on any instance.
        self.quarantined = False
        # Its request fingerprint; empty until first computed.
        self.fingerprint = ""
        # The parts of its prompt that other prompts may share; None until first decoded.
        self.parts: tuple[str, ...] | None = None

    def discard_texts(self) -> None:
        """Make the next run start from the beginning."""
        self.texts = []
        self.last_event = NO_EVENT
        self.version = None

    def text(self) -> str:
        """Return the text received so far."""
        return "\n".join(self.texts)


class OwnedJob:
    """Track the items of one job that this instance owns."""

    def __init__(self, job_id: str, record: JobRecord) -> None:
        self.job_id = job_id
        self.record = record
        # The configuration under which it was accepted.
        self.accepted_under = accepted_under(record)
        # Monotonic time since which there is a reason to give it up, None if there is none.
        self.doubted_ms: int | None = None
        # Whether it waits for a newer configuration, or for a read that confirms the one in force.
        self.held = False
        self.groups = 0
        self.loaded = False
        self.committing = False
        self.items: dict[str, ItemState] = {item.id: ItemState(item) for item in record.items}
        self.unwritten: dict[str, ItemResult] = {}
        # The maximum size of its groups; lowered where the store refuses one as too large.
        self.max_group_bytes = MAX_GROUP_BYTES
        self.listed = 0
        # Monotonic time at which this instance took the job, or last completed an item of it.
        self.last_progress_ms = 0
        # On the wall clock; infinite until the job's route is known.
        self.due_ms = math.inf

    def waiting(self, now: int) -> list[ItemState]:
        """Return the items that may be started now."""
        return [
            state
            for state in self.items.values()
            if not state.running and now >= state.not_before_ms
        ]

    def is_running(self) -> bool:
        """Return whether an item is running."""
        return any(state.running for state in self.items.values())

    def is_stalled(self, now: int) -> bool:
        """Return whether items that may be sent have made no progress for too long."""
        if not self.loaded or all(state.quarantined for state in self.items.values()):
            return False
        last_ms = max(
            [self.last_progress_ms, *(state.last_received_ms for state in self.items.values())]
        )
        return now - last_ms >= (STALLED_RUNNING_MS if self.is_running() else STALLED_MS)

    def finish(self, item_id: str, outcome: ItemOutcome) -> None:
        """Record the result of an item, which is then to be written."""
        state = self.items.pop(item_id)
        self.unwritten[item_id] = ItemResult(item_id, outcome, state.text())

    def discard_text(self, item_id: str) -> None:
        """Give up a finished item whose text fits into no object of the store."""
        self.unwritten[item_id] = ItemResult(item_id, ItemOutcome.GIVEN_UP, "")

    def postpone(self, item_id: str) -> None:
        """Write the result of an item after all others."""
        self.unwritten[item_id] = self.unwritten.pop(item_id)

    def progress(self) -> list[ItemProgress]:
        """Return the progress of items that have begun, or are finished but not yet written."""
        begun = [
            ItemProgress(
                self.job_id,
                state.item.id,
                state.last_event,
                tuple(state.texts),
                state.ran_ms,
                state.failures,
                version=state.version,
            )
            for state in self.items.values()
            if state.texts or state.failures
        ]
        ended = [
            ItemProgress(self.job_id, result.id, NO_EVENT, (result.text,), 0, 0, result.end)
            for result in self.unwritten.values()
        ]
        return begun + ended

    def restore(self, saved: ItemProgress) -> None:
        """Restore the progress that an earlier run of this process saved for an item."""
        state = self.items.get(saved.item_id)
        if state is None:
            # Another instance has listed it.
            return
        state.texts = list(saved.texts)
        state.last_event = saved.last_event
        state.version = saved.version
        state.ran_ms = saved.ran_ms
        state.failures = saved.failures
        if saved.end is not None:
            self.finish(saved.item_id, saved.end)

    def apply_group(self, number: int, group: ResultGroup) -> list[ItemState]:
        """Apply a stored group; return the unfinished items that another instance has listed."""
        assert number == self.groups
        self.groups += 1
        self.listed += len(group.results)
        listed_elsewhere = []
        for result in group.results:
            self.unwritten.pop(result.id, None)
            state = self.items.pop(result.id, None)
            if state is not None:
                listed_elsewhere.append(state)
        return listed_elsewhere

    def is_complete(self) -> bool:
        """Return whether every item is listed."""
        return self.loaded and not self.items and not self.unwritten
