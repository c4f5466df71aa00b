"""Write the claims of one shard in groups: claims that arrive together share one write.

What was weighed. One object per claim needs no grouping and never conflicts, but costs a
write for each claim and one for each end, and the platform takes a few hundred a second. A
log object per instance groups best, but two instances could claim one key. One owner per
shard, to whom the others hand their claims, groups best and is safe, but every claim then
waits for a peer, and for a lease after a loss; it can be put in front of this module later
without a change in what is stored. Chosen: SHARDS head objects that every instance updates
conditionally. Few shards make large groups, large heads and many conflicts; many shards make
many small groups that wait for each other's permits.

Measured by misc/claims_cost.py (a claim and its end together; six instances of 30 writes a
second each, a simulated store that answers in 5 ms, answers of 300 bytes): with 8 shards
2.36 writes per claim at 6 claims/s, 1.89 at 120, 0.42 at 600 and 0.11 at 2,400, where the
99th percentile of the time to claim is 279 ms; there, 4 shards take 2,650 ms and 16 take
1,015 ms. At low rates a claim costs two writes and some conflicts, as one object each would.

How it works. Each instance runs one loop per shard, with one write under way at most. Ops
that arrive meanwhile wait for the next write; when permits are short, groups grow instead of
the rate. A write is the whole head at the version seen, so that it fails if anybody else has
written since; then the head is read again and every op decided anew. An instance that met a
conflict reads before its next write, until a read shows that nobody else is writing.

A lost write may take effect until the head's version has moved on, or may have moved it. Until
a later version shows which, its ops are exposed: they can't be taken back, only followed by
an abandon.
"""

import random
from typing import Final, NamedTuple

from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier.claims.archive import prepare_archive, sweep
from papayapier.claims.ops import (
    Kept,
    Known,
    Op,
    OpEnd,
    Refused,
    Want,
    Writer,
    decide,
    forget_dead_write,
)
from papayapier.claims.records import Head, Record, head_key
from papayapier.claims.shard import NO_HEAD, Prepared, ShardView, pack_head
from papayapier.clock import MS_PER_S, Clock
from papayapier.metrics import Metrics
from papayapier.settings import ClaimSettings
from papayapier.store.api import MAX_VALUE_BYTES, Store, StoreError
from papayapier.store.bucket import Bucket
from papayapier.store.watch import Pauses, report_failure

REFUSALS_UNTIL_END: Final = 2
FREE_RETRIES: Final = 2
RECORD_BYTES: Final = 200
FULL_BYTES: Final = MAX_VALUE_BYTES * 9 // 10
PERMIT_WAIT_MS: Final = 60 * MS_PER_S


class GroupDeps(NamedTuple):
    """Hold what the loops of all shards share; permits bounds their writes together."""

    store: Store
    clock: Clock
    rng: random.Random
    cfg: ClaimSettings
    metrics: Metrics
    writer: Writer
    permits: Bucket


class ShardWriter:
    """Hold the waiting ops of a shard, and apply them in groups."""

    def __init__(self, deps: GroupDeps, shard: int) -> None:
        self._deps = deps
        self._view = ShardView(deps.store, shard)
        self._ops: list[Op] = []
        self._stale = True
        self._contended = False
        self._conflicts = 0
        self._prepared: Prepared | None = None
        self._task: Deferred[None] | None = None

    def submit(self, op: Op) -> None:
        """Put an op into the next group; op.done fires at its end."""
        self._ops.append(op)
        self._stale = self._stale or op.want is Want.LOOK
        if self._task is None:
            self._task = Deferred.fromCoroutine(self._run())
            self._task.addErrback(report_failure, f"claims of shard {self._view.shard}")

    def take_back(self, op: Op) -> bool:
        """Take a claim out; False if it may take effect, and is now an abandon instead."""
        if op.exposed_at is None:
            self._ops = [other for other in self._ops if other is not op]
            return True
        op.want = Want.ABANDON
        return False

    def known(self, claim: bytes) -> Known:
        """Tell what was known of an id when the head was last read or written."""
        archived = self._view.archive_of(claim) is not None
        return Known(self._view.head.get(claim), archived)

    def stop(self) -> None:
        """Stop; ops that have not ended never will."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        pauses = Pauses(self._deps.rng)
        try:
            while self._ops:
                window_ms = self._deps.cfg.window_ms * self._deps.rng.uniform(0.5, 1.5)
                await self._deps.clock.sleep(window_ms)
                error = await self._write_group()
                if error is None:
                    pauses.reset()
                    continue
                self._refuse(error)
                if self._ops:
                    await self._deps.clock.sleep(pauses.next_ms())
        finally:
            self._task = None

    def _refuse(self, error: StoreError) -> None:
        """End the claims that a store which is down keeps from being made.

        A claim that is exposed is not ended here: it may yet take effect.
        """
        if error is not StoreError.UNAVAILABLE:
            return
        for op in list(self._ops):
            if op.want in (Want.CLAIM, Want.LOOK) and op.exposed_at is None:
                op.refusals += 1
                if op.refusals >= REFUSALS_UNTIL_END:
                    self._end(op, Refused(error, self.known(op.id)))

    async def _write_group(self) -> StoreError | None:
        """Apply all waiting ops by one write; return the error after which to pause."""
        if not await self._may_write():
            return StoreError.LIMITED
        error = await self._refresh() or await self._make_room()
        if error is not None:
            return error
        found = await self._find_all()
        if isinstance(found, StoreError):
            return found
        version = self._view.version
        assert version is not None
        changes, writing = self._decide_all(found, version)
        if not changes and self._prepared is None:
            return None
        head = self._view.next_head(changes, self._prepared, self._oldest_ms())
        expired = head.archives[:1] != self._view.archives[:1] and bool(self._view.archives)
        error = await self._write(version, head, writing)
        if error is None and expired:
            await sweep(self._deps.store, self._view)
        return error

    async def _may_write(self) -> bool:
        """Wait for a permit; a group that lost a conflict may try again at once.

        At the end of the queue its claims would wait a whole round of all shards for each
        conflict, and those of a busy shard many rounds.
        """
        if 0 < self._conflicts <= FREE_RETRIES:
            return True
        return await self._deps.permits.acquire(0, PERMIT_WAIT_MS)

    async def _refresh(self) -> StoreError | None:
        """Read the head if what is known of it may be out of date."""
        view = self._view
        if not self._stale and not self._contended and view.version is not None:
            return None
        before = view.version
        done = await view.refresh()
        if isinstance(done, Err):
            return done.err_value
        self._stale = False
        if view.version == before:
            self._contended = False
            return None
        if self._prepared is not None and self._prepared.number != view.next_number:
            self._prepared = None
        return None

    async def _make_room(self) -> StoreError | None:
        """Prepare an archive when the head has grown; only a full head is an error."""
        if self._view.size < self._deps.cfg.head_bytes or self._prepared is not None:
            return None
        self._prepared = await prepare_archive(self._deps.store, self._view)
        full = self._view.size >= FULL_BYTES - self._deps.cfg.answer_bytes - RECORD_BYTES
        return StoreError.UNAVAILABLE if full and self._prepared is None else None

    async def _find_all(self) -> dict[bytes, Record | None] | StoreError:
        """Find the records that count for the waiting ops, as many as fit into one write."""
        room = FULL_BYTES - self._view.size
        if self._prepared is not None:
            room = max(room, self._deps.cfg.head_bytes)
        found: dict[bytes, Record | None] = {}
        for op in list(self._ops):
            room -= _size(op)
            if room < 0:
                break
            if op.id in found:
                continue
            if op.kept is not None:
                # Nobody replaces the record of a claim that was sent, so the archives need
                # not be read for it.
                found[op.id] = self._view.head.get(op.id) or op.kept
                continue
            record = await self._view.find(op.id)
            if isinstance(record, Err):
                self._stale = True
                return record.err_value
            found[op.id] = record.ok_value
        return found

    def _decide_all(
        self, found: dict[bytes, Record | None], version: int
    ) -> tuple[dict[bytes, Record], list[tuple[Op, Record]]]:
        """Decide the ops in their order; a later op sees what an earlier one will write."""
        at_ms = self._deps.clock.wall()
        changes: dict[bytes, Record] = {}
        writing: list[tuple[Op, Record]] = []
        for op in list(self._ops):
            if op.id not in found:
                continue
            forget_dead_write(op, found[op.id], version)
            pending = changes.get(op.id) if op.want is not Want.LOOK else None
            decision = decide(op, pending or found[op.id], self._deps.writer, at_ms)
            if isinstance(decision, Record):
                changes[op.id] = decision
                writing.append((op, decision))
            elif pending is None:
                self._end(op, decision)
        return changes, writing

    async def _write(
        self, version: int, head: Head, writing: list[tuple[Op, Record]]
    ) -> StoreError | None:
        value = pack_head(head)
        newly_exposed = [op for op, _ in writing if op.exposed_at is None]
        for op in newly_exposed:
            op.exposed_at = version
        key = head_key(self._view.shard)
        if version == NO_HEAD:
            end = await self._deps.store.create(key, value)
        else:
            end = await self._deps.store.update(key, value, version)
        label = "ok" if isinstance(end, Ok) else end.err_value.value
        self._deps.metrics.claim_writes.labels(end=label).inc()
        if isinstance(end, Ok):
            self._view.accept_written(head, end.ok_value, len(value), self._prepared)
            self._prepared = None
            self._conflicts = 0
            self._deps.metrics.claim_records.inc(len(writing))
            self._end_written(writing)
            return None
        if end.err_value is StoreError.LOST:
            self._stale = True
            return StoreError.LOST
        for op in newly_exposed:
            op.exposed_at = None
        if end.err_value is StoreError.CONFLICT:
            self._stale = True
            self._contended = True
            self._conflicts += 1
            return None
        return end.err_value

    def _end_written(self, writing: list[tuple[Op, Record]]) -> None:
        """End the ops that were written, but not a claim that became an abandon meanwhile."""
        for op, record in writing:
            if decide(op, record, self._deps.writer, record.at_ms) == Kept(record):
                self._end(op, Kept(record))

    def _end(self, op: Op, end: OpEnd) -> None:
        self._ops = [other for other in self._ops if other is not op]
        op.end = end
        op.done.callback(None)

    def _oldest_ms(self) -> int:
        return self._deps.clock.wall() - self._deps.cfg.retention_ms


def _size(op: Op) -> int:
    """Return an upper bound of the bytes that an op adds to the head."""
    if op.answer is None:
        return RECORD_BYTES
    return RECORD_BYTES + len(op.answer.body) + len(op.answer.content_type)
