"""Acquire, renew and release the leases of the shards that this instance should hold.

Each round renews the session, reads all sessions and leases, and acts on them: it takes free
shards that are assigned to this instance, confirms unconfirmed leases, and hands over shards
that are assigned elsewhere. Placement over the live sessions determines the assignment. A
single coroutine does all of this, so that rounds never overlap.
"""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred, gatherResults

from papayapier import codec, events
from papayapier.batch import background, keys, store_access
from papayapier.batch.leases import Lease, ShardLease, make_lease
from papayapier.batch.placement import owners
from papayapier.batch.records import LeaseRecord
from papayapier.batch.sessions import Session, SessionObserver, instance_of
from papayapier.peer.messages import ShardsReleased
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

HAND_OVER_TIMEOUT_MS: Final = 30_000
MIN_ROUND_INTERVAL_MS: Final = 20
MAX_TAKEN_PER_ROUND: Final = 16
NO_HOLDER: Final = ""


class LeaseCallbacks(NamedTuple):
    """Group the callbacks to the components that run the tasks of shards.

    on_held starts the tasks of a shard, on_lost drops them. hand_over stops them and stores
    their progress. careful returns whether tasks are left that were running when the shard's
    previous holder was lost.
    """

    on_held: Callable[[int], None]
    on_lost: Callable[[int], None]
    hand_over: Callable[[int, int], Awaitable[None]]
    careful: Callable[[int], bool]
    on_revived: Callable[[], None]


class _StoredLease(NamedTuple):
    """Hold a lease as last read."""

    version: int
    record: LeaseRecord


class LeaseManager:
    """Manage the leases of one instance."""

    def __init__(self, deps: "BatchDeps", holder: str, calls: LeaseCallbacks) -> None:
        self.session = Session(deps, holder, self._lapse)
        self._deps = deps
        self._holder = holder
        self._calls = calls
        self._observer = SessionObserver(deps.cfg.lease_ms)
        self._holds = [ShardLease(shard) for shard in range(deps.cfg.shards)]
        self._leases: list[Lease] = [make_lease(hold) for hold in self._holds]
        self._seen: dict[int, _StoredLease] = {}
        self._stopping = False
        self._hurry: Deferred[None] | None = None
        self._loop = background.RestartingLoop(deps.clock, self._run, "lease keeper")

    # Queries

    def hold(self, shard: int) -> ShardLease | None:
        """Return the lease of a shard that is held or unconfirmed, or None."""
        hold = self._holds[shard]
        return hold if hold.ours or hold.doubtful else None

    def may_commit(self, shard: int) -> bool:
        """Return whether progress of a shard may be stored now."""
        return self._holds[shard].ours and self.session.may_act()

    def may_send(self, shard: int, idempotent: bool) -> bool:
        """Return whether items of a shard may be sent now.

        While the store does not answer, no other instance can take the shard either, so
        repeatable items continue. After a pause of this process the store is not the cause,
        and the next renewal decides.
        """
        if self.may_commit(shard):
            return True
        return idempotent and self.session.silent and self.hold(shard) is not None

    def held(self) -> list[int]:
        """Return the shards whose lease is held."""
        return [hold.shard for hold in self._holds if hold.ours]

    # Rounds

    def start(self) -> None:
        """Start the rounds."""
        self._loop.start()

    def kick(self) -> None:
        """Start the next round now."""
        hurry, self._hurry = self._hurry, None
        if hurry is not None:
            hurry.callback(None)

    async def _run(self) -> None:
        while True:
            more = await self._round()
            await self._deps.clock.sleep(MIN_ROUND_INTERVAL_MS)
            if not more:
                await self._pause()

    async def _pause(self) -> None:
        pause = self._deps.cfg.renew_ms * self._deps.rand.uniform(0.8, 1.0)
        self._hurry = Deferred()
        timer = self._deps.clock.call_later(pause, self.kick)
        try:
            await self._hurry
        finally:
            if timer.active():
                timer.cancel()

    async def _round(self) -> bool:
        """Renew the session, read the leases and act; return whether to continue at once."""
        if not self.session.may_act():
            self._lapse()
        if not await self.session.renew():
            return False
        if any(hold.doubtful for hold in self._holds):
            await self._confirm()
        if not await self._observe():
            return False
        return await self._act()

    def _lapse(self) -> None:
        ours = self.held()
        if ours:
            events.emit(events.LEASES_LAPSED, shards=len(ours))
        for shard in ours:
            self._drop_if(shard, self._leases[shard].lapse())

    async def _confirm(self) -> None:
        """Write each unconfirmed lease again: if another instance was first, the write
        conflicts.
        """
        for shard, lease in enumerate(self._leases):
            if self._holds[shard].doubtful:
                await self._confirm_one(shard, lease)
        if any(hold.doubtful for hold in self._holds):
            return
        events.emit(events.LEASES_REVIVED, shards=len(self.held()))
        self._calls.on_revived()

    async def _confirm_one(self, shard: int, lease: Lease) -> None:
        hold = self._holds[shard]
        record = LeaseRecord(self._holder, hold.lossy)
        done = await self._write(shard, record, hold.version)
        if isinstance(done, Ok):
            lease.confirmed(done.ok_value)
        elif done.err_value is StoreError.CONFLICT:
            self._drop_if(shard, lease.lose())

    def _drop_if(self, shard: int, dropped: bool) -> None:
        if dropped:
            self._calls.on_lost(shard)

    async def _write(
        self, shard: int, record: LeaseRecord, version: int
    ) -> Result[int, StoreError]:
        key = keys.lease_key(shard)
        value = codec.pack(record)
        if version == 0:
            done = await store_access.create(self._deps, key, value)
        else:
            done = await store_access.update(self._deps, key, value, version)
        if isinstance(done, Ok):
            self._seen[shard] = _StoredLease(done.ok_value, record)
        else:
            self._seen.pop(shard, None)
        return done

    async def _observe(self) -> bool:
        """Read the sessions and the changed leases; return False if the store does not answer."""
        sessions = await store_access.list_keys(self._deps, keys.SESSION_PREFIX)
        if isinstance(sessions, Err):
            return False
        self._observer.observe(sessions.ok_value.versions, self._deps.clock.now())
        leases = await store_access.list_keys(self._deps, keys.LEASE_PREFIX)
        if isinstance(leases, Err):
            return False
        versions = {int(name): v for name, v in leases.ok_value.versions.items()}
        for shard in range(len(self._leases)):
            if not await self._look(shard, versions.get(shard, 0)):
                return False
        return True

    async def _look(self, shard: int, version: int) -> bool:
        """Check a lease's listed version; read the lease if that version is newer than the
        known one.
        """
        seen = self._seen.get(shard)
        if version == 0 or (seen is not None and seen.version >= version):
            return True
        read = await self._deps.store.get(keys.lease_key(shard))
        if isinstance(read, Err):
            return False
        record = codec.unpack(read.ok_value.value, LeaseRecord)
        if isinstance(record, Err):
            events.emit(events.BATCH_BROKEN, work=f"lease {shard}", error=record.err_value)
            return True
        self._seen[shard] = _StoredLease(read.ok_value.version, record.ok_value)
        if record.ok_value.holder != self._holder:
            self._drop_if(shard, self._leases[shard].lose())
        return True

    # Acting

    async def _act(self) -> bool:
        alive = {instance_of(holder) for holder in self._observer.alive(self._deps.clock.now())}
        alive.add(self._deps.instance)
        wanted_at = owners(len(self._leases), alive)
        taken = 0
        for shard, lease in enumerate(self._leases):
            wanted = wanted_at[shard] == self._deps.instance
            state = lease.state()
            if state == "held" and not wanted:
                self._begin_hand_over(shard)
            elif state == "away" and wanted and not self._stopping:
                taken += await self._try_take(shard)
            elif state == "away" and not wanted:
                await self._give_back(shard)
            if taken == MAX_TAKEN_PER_ROUND:
                return True
        await self._remove_stale()
        return False

    async def _try_take(self, shard: int) -> bool:
        seen = self._seen.get(shard)
        if seen is not None and not self._is_free(seen.record):
            return False
        lease = self._leases[shard]
        lease.take()
        lossy = seen is not None and (seen.record.lossy or self._was_lost(seen.record))
        version = 0 if seen is None else seen.version
        done = await self._write(shard, LeaseRecord(self._holder, lossy), version)
        if isinstance(done, Err) or not self.session.may_act():
            lease.not_taken()
            return False
        lease.taken(done.ok_value, lossy)
        self._calls.on_held(shard)
        return True

    def _is_free(self, record: LeaseRecord) -> bool:
        holder = record.holder
        if holder in (NO_HOLDER, self._holder) or not self._observer.known(holder):
            return True
        return self._observer.expired(holder, self._deps.clock.now())

    def _was_lost(self, record: LeaseRecord) -> bool:
        """Return whether a holder ended without releasing its shards."""
        return record.holder != self._holder and self._observer.known(record.holder)

    async def _give_back(self, shard: int) -> None:
        """Release a lease that the store shows as ours, but that is neither held nor assigned
        here.
        """
        seen = self._seen.get(shard)
        if seen is not None and seen.record.holder == self._holder:
            await self._write(shard, seen.record._replace(holder=NO_HOLDER), seen.version)

    def _begin_hand_over(self, shard: int) -> None:
        self._leases[shard].release()
        background.start(self._hand_over(shard), f"hand-over of shard {shard}")

    async def _hand_over(self, shard: int) -> None:
        lease = self._leases[shard]
        await self._calls.hand_over(shard, HAND_OVER_TIMEOUT_MS)
        if lease.state() != "releasing":
            return
        record = LeaseRecord(NO_HOLDER, self._calls.careful(shard))
        done = await self._write(shard, record, self._holds[shard].version)
        self._drop_if(shard, lease.released())
        if isinstance(done, Ok):
            self._deps.tell_peers(ShardsReleased([shard]))

    async def _remove_stale(self) -> None:
        """Delete the session of a run that ended long ago and holds no lease."""
        now = self._deps.clock.now()
        holders = {seen.record.holder for seen in self._seen.values()}
        for holder, version in list(self._observer.versions.items()):
            if holder not in holders and self._observer.stale(holder, now):
                await store_access.delete(self._deps, keys.session_key(holder), version)

    # Planned stop

    async def stop(self) -> None:
        """Hand over all shards, then release all leases with one write."""
        self._stopping = True
        held = self.held()
        for shard in held:
            self._leases[shard].release()
        await gatherResults([Deferred.fromCoroutine(self._stop_shard(shard)) for shard in held])
        await self.session.end()
        self._loop.stop()
        for shard in held:
            self._drop_if(shard, self._leases[shard].released())
        self._deps.tell_peers(ShardsReleased(held))

    async def _stop_shard(self, shard: int) -> None:
        await self._calls.hand_over(shard, HAND_OVER_TIMEOUT_MS)
        hold = self._holds[shard]
        lease = self._leases[shard]
        if hold.lossy and lease.state() == "releasing" and not self._calls.careful(shard):
            await self._write(shard, LeaseRecord(NO_HOLDER), hold.version)
