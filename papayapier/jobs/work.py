"""Hold one job that this instance runs: what waits, what runs, what is to be written."""

import math
from typing import Final

from papayapier.jobs.progress import ItemProgress
from papayapier.jobs.records import ItemEnd, ItemResult, JobItem, JobRecord, ResultGroup
from papayapier.policy.handing import SILENT_MS, STALLED_MS
from papayapier.upstream.event_cutter import NO_EVENT

NOT_HELD: Final = 0


class Item:
    """Hold the state of one item; texts and last_event are what its streams have given."""

    __slots__ = (
        "failures",
        "heard_ms",
        "held_until_ms",
        "item",
        "last_event",
        "ran_ms",
        "running",
        "texts",
        "withheld",
        "work",
    )

    def __init__(self, item: JobItem) -> None:
        self.item = item
        self.texts: list[str] = []
        self.last_event = NO_EVENT
        self.failures = 0
        # When an event of it last came, monotonic.
        self.heard_ms = 0
        # How long its runs have taken together.
        self.ran_ms = 0
        self.running = False
        self.held_until_ms = NOT_HELD
        # Held back because replicas ended under its work, here as anywhere.
        self.withheld = False
        # The name of its work, empty until it is asked for.
        self.work = ""

    def text(self) -> str:
        """Return the text so far."""
        return "\n".join(self.texts)


class JobWork:
    """Track the items of one job."""

    def __init__(self, job_id: str, record: JobRecord) -> None:
        self.job_id = job_id
        self.record = record
        self.groups = 0
        self.loaded = False
        self.committing = False
        self.items: dict[str, Item] = {item.id: Item(item) for item in record.items}
        self.unwritten: dict[str, ItemResult] = {}
        self.listed = 0
        # When the job was taken or an item was last done here, monotonic.
        self.moved_ms = 0
        # Wall clock; known once the job's route is.
        self.due_ms = math.inf

    def waiting(self, now: int) -> list[Item]:
        """Return the items that may be started."""
        return [one for one in self.items.values() if not one.running and now >= one.held_until_ms]

    def runs(self) -> bool:
        """Tell whether an item runs."""
        return any(one.running for one in self.items.values())

    def stalled(self, now: int) -> bool:
        """Tell whether nothing has come for long of items that may be sent."""
        if not self.loaded or all(one.withheld for one in self.items.values()):
            return False
        last_ms = max([self.moved_ms, *(one.heard_ms for one in self.items.values())])
        return now - last_ms >= (SILENT_MS if self.runs() else STALLED_MS)

    def finish(self, item_id: str, end: ItemEnd) -> None:
        """Take the end of an item, to be written."""
        one = self.items.pop(item_id)
        self.unwritten[item_id] = ItemResult(item_id, end, one.text())

    def progress(self) -> list[ItemProgress]:
        """Return how far the items have come that are begun, or done and not yet written."""
        begun = [
            ItemProgress(
                self.job_id, one.item.id, one.last_event, tuple(one.texts), one.ran_ms, one.failures
            )
            for one in self.items.values()
            if one.texts or one.failures
        ]
        ended = [
            ItemProgress(self.job_id, result.id, NO_EVENT, (result.text,), 0, 0, result.end)
            for result in self.unwritten.values()
        ]
        return begun + ended

    def recall(self, saved: ItemProgress) -> None:
        """Go on with an item from where an earlier run of this process left it."""
        one = self.items.get(saved.item_id)
        if one is None:
            # Another has listed it.
            return
        one.texts = list(saved.texts)
        one.last_event = saved.last_event
        one.ran_ms = saved.ran_ms
        one.failures = saved.failures
        if saved.end is not None:
            self.finish(saved.item_id, saved.end)

    def take_group(self, number: int, group: ResultGroup) -> list[Item]:
        """Learn a group that is stored; return the items that others have listed."""
        assert number == self.groups
        self.groups += 1
        self.listed += len(group.results)
        gone = []
        for result in group.results:
            self.unwritten.pop(result.id, None)
            one = self.items.pop(result.id, None)
            if one is not None:
                gone.append(one)
        return gone

    def complete(self) -> bool:
        """Tell whether every item is listed."""
        return self.loaded and not self.items and not self.unwritten
