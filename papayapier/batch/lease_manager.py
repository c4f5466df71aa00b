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
from papayapier.batch.leases import LeaseMachine, ShardLease, make_lease_machine
from papayapier.batch.placement import assign_shards
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

    on_acquired starts the tasks of a shard, on_lost drops them. hand_over stops them and
    stores their progress. is_cautious returns whether tasks are left that were running when
    the shard's previous holder was lost.
    """

    on_acquired: Callable[[int], None]
    on_lost: Callable[[int], None]
    hand_over: Callable[[int, int], Awaitable[None]]
    is_cautious: Callable[[int], bool]
    on_leases_confirmed: Callable[[], None]


class _StoredLease(NamedTuple):
    """Hold a lease as last read."""

    version: int
    record: LeaseRecord


class LeaseManager:
    """Manage the leases of one instance."""

    def __init__(self, deps: "BatchDeps", holder: str, callbacks: LeaseCallbacks) -> None:
        self.session = Session(deps, holder, self._on_session_lapsed)
        self._deps = deps
        self._holder = holder
        self._callbacks = callbacks
        self._session_observer = SessionObserver(deps.cfg.lease_ms)
        self._shard_leases = [ShardLease(shard) for shard in range(deps.cfg.shards)]
        self._machines: list[LeaseMachine] = [
            make_lease_machine(shard_lease) for shard_lease in self._shard_leases
        ]
        self._stored_leases: dict[int, _StoredLease] = {}
        self._stopping = False
        self._wakeup: Deferred[None] | None = None
        self._loop = background.RestartingLoop(deps.clock, self._run, "lease manager")

    # Queries

    def active_lease(self, shard: int) -> ShardLease | None:
        """Return the lease of a shard that is held or unconfirmed, or None."""
        shard_lease = self._shard_leases[shard]
        return shard_lease if shard_lease.is_held or shard_lease.unconfirmed else None

    def may_commit(self, shard: int) -> bool:
        """Return whether progress of a shard may be stored now."""
        return self._shard_leases[shard].is_held and self.session.may_act()

    def may_send(self, shard: int, idempotent: bool) -> bool:
        """Return whether items of a shard may be sent now.

        While the store does not answer, no other instance can take the shard either, so
        repeatable items continue. After a pause of this process the store is not the cause,
        and the next renewal decides.
        """
        if self.may_commit(shard):
            return True
        return (
            idempotent and self.session.store_unavailable and self.active_lease(shard) is not None
        )

    def held_shards(self) -> list[int]:
        """Return the shards whose lease is held."""
        return [shard_lease.shard for shard_lease in self._shard_leases if shard_lease.is_held]

    # Rounds

    def start(self) -> None:
        """Start the rounds."""
        self._loop.start()

    def wake(self) -> None:
        """Start the next round now."""
        wakeup, self._wakeup = self._wakeup, None
        if wakeup is not None:
            wakeup.callback(None)

    async def _run(self) -> None:
        while True:
            has_more = await self._run_round()
            await self._deps.clock.sleep(MIN_ROUND_INTERVAL_MS)
            if not has_more:
                await self._wait_for_next_round()

    async def _wait_for_next_round(self) -> None:
        pause = self._deps.cfg.renew_ms * self._deps.rand.uniform(0.8, 1.0)
        self._wakeup = Deferred()
        timer = self._deps.clock.call_later(pause, self.wake)
        try:
            await self._wakeup
        finally:
            if timer.active():
                timer.cancel()

    async def _run_round(self) -> bool:
        """Renew the session, read the leases and act; return whether to continue at once."""
        if not self.session.may_act():
            self._on_session_lapsed()
        if not await self.session.renew():
            return False
        if any(shard_lease.unconfirmed for shard_lease in self._shard_leases):
            await self._confirm_leases()
        if not await self._read_leases():
            return False
        return await self._apply_placement()

    def _on_session_lapsed(self) -> None:
        lapsed = self.held_shards()
        if lapsed:
            events.emit(events.LEASES_LAPSED, shards=len(lapsed))
        for shard in lapsed:
            self._drop_shard_if(shard, self._machines[shard].lapse())

    async def _confirm_leases(self) -> None:
        """Write each unconfirmed lease again; this conflicts if another instance was first."""
        for shard, machine in enumerate(self._machines):
            if self._shard_leases[shard].unconfirmed:
                await self._confirm_lease(shard, machine)
        if any(shard_lease.unconfirmed for shard_lease in self._shard_leases):
            return
        events.emit(events.LEASES_REVIVED, shards=len(self.held_shards()))
        self._callbacks.on_leases_confirmed()

    async def _confirm_lease(self, shard: int, machine: LeaseMachine) -> None:
        shard_lease = self._shard_leases[shard]
        record = LeaseRecord(self._holder, shard_lease.holder_lost)
        written = await self._write(shard, record, shard_lease.version)
        if isinstance(written, Ok):
            machine.confirmed(written.ok_value)
        elif written.err_value is StoreError.CONFLICT:
            self._drop_shard_if(shard, machine.lose())

    def _drop_shard_if(self, shard: int, dropped: bool) -> None:
        if dropped:
            self._callbacks.on_lost(shard)

    async def _write(
        self, shard: int, record: LeaseRecord, version: int
    ) -> Result[int, StoreError]:
        key = keys.lease_key(shard)
        value = codec.pack(record)
        if version == 0:
            written = await store_access.create(self._deps, key, value)
        else:
            written = await store_access.update(self._deps, key, value, version)
        if isinstance(written, Ok):
            self._stored_leases[shard] = _StoredLease(written.ok_value, record)
        else:
            self._stored_leases.pop(shard, None)
        return written

    async def _read_leases(self) -> bool:
        """Read the sessions and the changed leases; return False if the store does not answer."""
        sessions = await store_access.list_keys(self._deps, keys.SESSION_PREFIX)
        if isinstance(sessions, Err):
            return False
        self._session_observer.observe(sessions.ok_value.versions, self._deps.clock.now())
        leases = await store_access.list_keys(self._deps, keys.LEASE_PREFIX)
        if isinstance(leases, Err):
            return False
        versions = {int(name): v for name, v in leases.ok_value.versions.items()}
        for shard in range(len(self._machines)):
            if not await self._read_lease(shard, versions.get(shard, 0)):
                return False
        return True

    async def _read_lease(self, shard: int, version: int) -> bool:
        """Read a lease if its listed version is newer than the known one."""
        stored = self._stored_leases.get(shard)
        if version == 0 or (stored is not None and stored.version >= version):
            return True
        read = await self._deps.store.get(keys.lease_key(shard))
        if isinstance(read, Err):
            return False
        record = codec.unpack(read.ok_value.value, LeaseRecord)
        if isinstance(record, Err):
            events.emit(events.BATCH_BROKEN, work=f"lease {shard}", error=record.err_value)
            return True
        self._stored_leases[shard] = _StoredLease(read.ok_value.version, record.ok_value)
        if record.ok_value.holder != self._holder:
            self._drop_shard_if(shard, self._machines[shard].lose())
        return True

    # Acting

    async def _apply_placement(self) -> bool:
        alive = {
            instance_of(holder) for holder in self._session_observer.alive(self._deps.clock.now())
        }
        alive.add(self._deps.instance)
        assigned = assign_shards(len(self._machines), alive)
        taken_count = 0
        for shard, machine in enumerate(self._machines):
            is_assigned = assigned[shard] == self._deps.instance
            state = machine.state()
            if state == "held" and not is_assigned:
                self._begin_hand_over(shard)
            elif state == "away" and is_assigned and not self._stopping:
                taken_count += await self._try_take_lease(shard)
            elif state == "away" and not is_assigned:
                await self._release_unheld(shard)
            if taken_count == MAX_TAKEN_PER_ROUND:
                return True
        await self._delete_stale_sessions()
        return False

    async def _try_take_lease(self, shard: int) -> bool:
        stored = self._stored_leases.get(shard)
        if stored is not None and not self._is_free(stored.record):
            return False
        machine = self._machines[shard]
        machine.take()
        holder_lost = stored is not None and (
            stored.record.holder_lost or self._is_holder_lost(stored.record)
        )
        version = 0 if stored is None else stored.version
        written = await self._write(shard, LeaseRecord(self._holder, holder_lost), version)
        if isinstance(written, Err) or not self.session.may_act():
            machine.not_taken()
            return False
        machine.taken(written.ok_value, holder_lost)
        self._callbacks.on_acquired(shard)
        return True

    def _is_free(self, record: LeaseRecord) -> bool:
        holder = record.holder
        if holder in (NO_HOLDER, self._holder) or not self._session_observer.has_session(holder):
            return True
        return self._session_observer.expired(holder, self._deps.clock.now())

    def _is_holder_lost(self, record: LeaseRecord) -> bool:
        """Return whether a holder ended without releasing its shards."""
        return record.holder != self._holder and self._session_observer.has_session(record.holder)

    async def _release_unheld(self, shard: int) -> None:
        """Release a lease that is stored as ours, but neither held nor assigned here."""
        stored = self._stored_leases.get(shard)
        if stored is not None and stored.record.holder == self._holder:
            await self._write(shard, stored.record._replace(holder=NO_HOLDER), stored.version)

    def _begin_hand_over(self, shard: int) -> None:
        self._machines[shard].release()
        background.start(self._hand_over(shard), f"hand-over of shard {shard}")

    async def _hand_over(self, shard: int) -> None:
        machine = self._machines[shard]
        await self._callbacks.hand_over(shard, HAND_OVER_TIMEOUT_MS)
        if machine.state() != "releasing":
            return
        record = LeaseRecord(NO_HOLDER, self._callbacks.is_cautious(shard))
        written = await self._write(shard, record, self._shard_leases[shard].version)
        self._drop_shard_if(shard, machine.released())
        if isinstance(written, Ok):
            self._deps.broadcast(ShardsReleased([shard]))

    async def _delete_stale_sessions(self) -> None:
        """Delete the session of a run that ended long ago and holds no lease."""
        now = self._deps.clock.now()
        holders = {stored.record.holder for stored in self._stored_leases.values()}
        for holder, version in list(self._session_observer.versions.items()):
            if holder not in holders and self._session_observer.stale(holder, now):
                await store_access.delete(self._deps, keys.session_key(holder), version)

    # Planned stop

    async def stop(self) -> None:
        """Hand over all shards, then release all leases with one write."""
        self._stopping = True
        shards = self.held_shards()
        for shard in shards:
            self._machines[shard].release()
        await gatherResults([Deferred.fromCoroutine(self._stop_shard(shard)) for shard in shards])
        await self.session.end()
        self._loop.stop()
        for shard in shards:
            self._drop_shard_if(shard, self._machines[shard].released())
        self._deps.broadcast(ShardsReleased(shards))

    async def _stop_shard(self, shard: int) -> None:
        await self._callbacks.hand_over(shard, HAND_OVER_TIMEOUT_MS)
        shard_lease = self._shard_leases[shard]
        machine = self._machines[shard]
        if (
            shard_lease.holder_lost
            and machine.state() == "releasing"
            and not self._callbacks.is_cautious(shard)
        ):
            await self._write(shard, LeaseRecord(NO_HOLDER), shard_lease.version)
