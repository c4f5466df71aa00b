"""Delete jobs whose results nobody may ask for any more, so that the store does not grow for ever.

The record goes first: whoever reads a job without a record is told that there is none, while a
record without its groups would show a finished job as one without results.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from result import Err, Ok

from papayapier import events
from papayapier.clock import MS_PER_S, Clock
from papayapier.jobs.records import JOBS, groups_prefix, job_key, part_key, read_record
from papayapier.store.api import Change, Store

SWEEP_MS: Final = 5_000
# Wall clocks of instances differ; a job is kept longer by more than they do.
CLOCK_MARGIN_MS: Final = 30_000
# Bounds the writes of one sweep; the next one goes on.
JOBS_A_SWEEP: Final = 20
ANY_VERSION: Final = 0
PAGE: Final = 500


class ExpiryDeps(NamedTuple):
    """Group what expiry works with.

    may_delete tells whether a job is this instance's and no longer open. keep_s is how long
    results stay readable after a job was submitted.
    """

    clock: Clock
    store: Store
    keep_s: int
    may_delete: Callable[[str], bool]


class _Known(NamedTuple):
    version: int
    accepted_ms: int
    parts: int


class Expiry:
    """Know the age of every job, and delete the old ones."""

    def __init__(self, deps: ExpiryDeps) -> None:
        self._deps = deps
        self._known: dict[str, _Known] = {}

    def on_change(self, change: Change) -> None:
        """Take a change of a job's record."""
        job_id = change.key.removeprefix(JOBS)
        read = Err("gone") if change.deleted else read_record(change.value)
        if isinstance(read, Err):
            self._known.pop(job_id, None)
            return
        record = read.ok_value
        self._known[job_id] = _Known(change.version, record.accepted_ms, record.parts)

    async def run(self) -> None:
        """Sweep for good."""
        while True:
            await self._deps.clock.sleep(SWEEP_MS)
            await self.sweep()

    async def sweep(self) -> None:
        """Delete some of the jobs that are old enough."""
        oldest_ms = self._deps.clock.wall() - self._deps.keep_s * MS_PER_S - CLOCK_MARGIN_MS
        old = [key for key, one in self._known.items() if one.accepted_ms < oldest_ms]
        for job_id in [key for key in old if self._deps.may_delete(key)][:JOBS_A_SWEEP]:
            await self._delete(job_id, self._known[job_id])

    async def _delete(self, job_id: str, known: _Known) -> None:
        store = self._deps.store
        done = await store.delete(job_key(job_id), known.version)
        if isinstance(done, Err):
            return
        self._known.pop(job_id, None)
        events.emit(events.EXPIRED, job=job_id)
        for number in range(known.parts):
            await store.delete(part_key(job_id, number), ANY_VERSION)
        listed = await store.list(groups_prefix(job_id), "", PAGE)
        if isinstance(listed, Ok):
            for group in listed.ok_value.objects:
                await store.delete(group.key, ANY_VERSION)
