"""Write the claims of one shard in groups: claims that arrive together share one write.

Design alternatives. One object per claim needs no grouping and never conflicts, but costs one write
for each claim and one for its end, and the platform accepts a few hundred writes a second. A log
object per instance gives the largest groups, but two instances could claim the same key. A single
owner per shard that receives the claims of all other instances gives the largest groups and is
safe, but every claim then waits for a peer, and for a lease after the loss of the owner; it can be
added in front of this module later without changing the stored data. This module uses SHARDS head
objects that every instance updates conditionally. Fewer shards mean larger groups, larger heads and
more conflicts; more shards mean many small groups that wait for each other's write permits.

Cost, from misc/claims_cost.py (a claim and its end together; six instances with 30 writes a second
each, a simulated store that responds in 5 ms, answers of 300 bytes): with 8 shards 2.36 writes per
claim at 6 claims/s, 1.89 at 120, 0.42 at 600 and 0.11 at 2,400. At 2,400 claims/s the 99th
percentile of the time to claim is 279 ms, against 2,650 ms with 4 shards and 1,015 ms with 16. At
low rates a claim costs two writes and some conflicts, as one object per claim would.

Operation. Each instance runs one loop per shard, with at most one write in progress. Ops that
arrive meanwhile wait for the next write; if permits are scarce, groups grow while the write rate
stays bounded. A write replaces the entire head at the version last read, so it fails if another
instance has written since; then the head is read again and every op is decided anew. After a
conflict an instance reads the head before each write, until a read shows that no other instance is
writing.

A write whose response was lost may still take effect, or may already have taken effect, until a
later version of the head shows which. Until then its ops are exposed: they cannot be withdrawn,
only followed by an abandon.
"""

import random
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok

from papayapier.claims.archive import delete_expired, prepare_archive
from papayapier.claims.ops import (
    Known,
    Op,
    OpKind,
    OpResult,
    Stored,
    StoreFailed,
    Writer,
    clear_exposure_if_failed,
    decide,
)
from papayapier.claims.records import Head, Record, head_key
from papayapier.claims.shard import NO_HEAD, Prepared, ShardView, pack_head
from papayapier.clock import MS_PER_S, Clock
from papayapier.lasting_tasks import run_always
from papayapier.metrics import Metrics
from papayapier.settings import ClaimSettings
from papayapier.store.api import MAX_VALUE_BYTES, Store, StoreError
from papayapier.store.bucket import TokenBucket
from papayapier.store.watch import Backoff

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

MAX_STORE_FAILURES: Final = 2
MAX_FREE_RETRIES: Final = 2
MAX_RECORD_BYTES: Final = 200
MAX_HEAD_BYTES: Final = MAX_VALUE_BYTES * 9 // 10
MAX_PERMIT_WAIT_MS: Final = 60 * MS_PER_S


class GroupDeps(NamedTuple):
    """Group the dependencies that all shards share; permits limits their total rate of writes."""

    store: Store
    clock: Clock
    rng: random.Random
    cfg: ClaimSettings
    metrics: Metrics
    writer: Writer
    permits: TokenBucket


class ShardWriter:
    """Queue the ops of a shard, and apply them in groups."""

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
        """Queue an op for the next group; op.done fires when op.result is set."""
        self._ops.append(op)
        self._stale = self._stale or op.kind is OpKind.LOOKUP
        if self._task is None:
            name = f"claims of shard {self._view.shard}"
            self._task = run_always(self._deps.clock, name, self._run)

    def withdraw(self, op: Op) -> bool:
        """Withdraw an op; return False if it may have taken effect, and turn it into an abandon."""
        if op.exposed_at is None:
            self._ops = [other for other in self._ops if other is not op]
            return True
        op.kind = OpKind.ABANDON
        return False

    def known(self, claim: bytes) -> Known:
        """Return what is known of an id from the last read or write of the head."""
        archived = self._view.archive_of(claim) is not None
        return Known(self._view.head.get(claim), archived)

    def stop(self) -> None:
        """Stop the loop; unfinished ops never get a result."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        pauses = Backoff(self._deps.rng)
        while self._ops:
            window_ms = self._deps.cfg.window_ms * self._deps.rng.uniform(0.5, 1.5)
            await self._deps.clock.sleep(window_ms)
            error = await self._write_group()
            if error is None:
                pauses.reset()
                continue
            self._fail_unavailable(error)
            if self._ops:
                await self._deps.clock.sleep(pauses.next_ms())
        self._task = None

    def _fail_unavailable(self, error: StoreError) -> None:
        """Fail claims and lookups that repeatedly fail because the store is unavailable.

        An exposed claim is not failed here, because it may still take effect.
        """
        if error not in (StoreError.UNAVAILABLE, StoreError.TOO_LARGE):
            return
        for op in list(self._ops):
            if op.kind in (OpKind.CLAIM, OpKind.LOOKUP) and op.exposed_at is None:
                op.store_failures += 1
                if op.store_failures >= MAX_STORE_FAILURES:
                    self._finish_op(op, StoreFailed(error, self.known(op.id)))

    async def _write_group(self) -> StoreError | None:
        """Apply all waiting ops with one write; return the error that requires a pause, if any."""
        if not await self._acquire_permit():
            return StoreError.LIMITED
        error = await self._refresh() or await self._prepare_archive()
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
        head = self._view.next_head(changes, self._prepared, self._expiry_cutoff_ms())
        expired = head.archives[:1] != self._view.archives[:1] and bool(self._view.archives)
        error = await self._write(version, head, writing)
        if error is None and expired:
            await delete_expired(self._deps.store, self._view)
        return error

    async def _acquire_permit(self) -> bool:
        """Wait for a permit; a group whose write met a conflict may be retried at once.

        At the end of the permit queue, its claims would wait for a full round of all shards after
        each conflict, and those of a busy shard for many rounds.
        """
        if 0 < self._conflicts <= MAX_FREE_RETRIES:
            return True
        return await self._deps.permits.acquire(0, MAX_PERMIT_WAIT_MS)

    async def _refresh(self) -> StoreError | None:
        """Read the head if the known version may be out of date."""
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

    async def _prepare_archive(self) -> StoreError | None:
        """Prepare an archive if the head has grown; return an error only if the head is full."""
        if self._view.size < self._deps.cfg.head_bytes or self._prepared is not None:
            return None
        self._prepared = await prepare_archive(self._deps.store, self._view)
        full = self._view.size >= MAX_HEAD_BYTES - self._deps.cfg.answer_bytes - MAX_RECORD_BYTES
        return StoreError.UNAVAILABLE if full and self._prepared is None else None

    async def _find_all(self) -> dict[bytes, Record | None] | StoreError:
        """Find the current records for as many waiting ops as fit into one write."""
        free_bytes = MAX_HEAD_BYTES - self._view.size
        if self._prepared is not None:
            free_bytes = max(free_bytes, self._deps.cfg.head_bytes)
        found: dict[bytes, Record | None] = {}
        for op in list(self._ops):
            free_bytes -= _max_op_bytes(op)
            if free_bytes < 0:
                break
            if op.id in found:
                continue
            if op.stored is not None:
                # No instance replaces the record of a claim whose request was sent, so its archive
                # need not be read.
                found[op.id] = self._view.head.get(op.id) or op.stored
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
        """Decide the ops in order; a later op is decided against the record of an earlier one."""
        at_ms = self._deps.clock.wall()
        changes: dict[bytes, Record] = {}
        writing: list[tuple[Op, Record]] = []
        for op in list(self._ops):
            if op.id not in found:
                continue
            clear_exposure_if_failed(op, found[op.id], version)
            pending = changes.get(op.id) if op.kind is not OpKind.LOOKUP else None
            decision = decide(op, pending or found[op.id], self._deps.writer, at_ms)
            if isinstance(decision, Record):
                changes[op.id] = decision
                writing.append((op, decision))
            elif pending is None:
                self._finish_op(op, decision)
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
            written = await self._deps.store.create(key, value)
        else:
            written = await self._deps.store.update(key, value, version)
        label = "ok" if isinstance(written, Ok) else written.err_value.value
        self._deps.metrics.claim_writes.labels(end=label).inc()
        if isinstance(written, Ok):
            self._view.replace_written_head(head, written.ok_value, len(value), self._prepared)
            self._prepared = None
            self._conflicts = 0
            self._deps.metrics.claim_records.inc(len(writing))
            self._finish_written(writing)
            return None
        if written.err_value is StoreError.LOST:
            self._stale = True
            return StoreError.LOST
        for op in newly_exposed:
            op.exposed_at = None
        if written.err_value is StoreError.CONFLICT:
            self._stale = True
            self._contended = True
            self._conflicts += 1
            return None
        return written.err_value

    def _finish_written(self, writing: list[tuple[Op, Record]]) -> None:
        """Finish the written ops, except a claim that was turned into an abandon meanwhile."""
        for op, record in writing:
            if decide(op, record, self._deps.writer, record.at_ms) == Stored(record):
                self._finish_op(op, Stored(record))

    def _finish_op(self, op: Op, result: OpResult) -> None:
        self._ops = [other for other in self._ops if other is not op]
        op.result = result
        op.done.callback(None)

    def _expiry_cutoff_ms(self) -> int:
        return self._deps.clock.wall() - self._deps.cfg.retention_ms


def _max_op_bytes(op: Op) -> int:
    """Return an upper bound for the bytes that an op adds to the head."""
    if op.answer is None:
        return MAX_RECORD_BYTES
    return MAX_RECORD_BYTES + len(op.answer.body) + len(op.answer.content_type)
