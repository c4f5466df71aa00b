"""Hold the lease that makes one instance the controller of all orders.

The version of the lease object is the fencing number; every renewal increases it. The holder
measures the lease time from when it sent its last successful renewal, an observer from when it
first read the current version, so the holder always stops first. A late renewal, after a pause
or an outage, is still valid if its condition holds: the version proves that no other instance
held the lease in the meantime.

Only the two instances that rendezvous hashing ranks highest read the lease, so the number of
reads does not grow with the fleet.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import codec, events
from papayapier.clock import Clock
from papayapier.policy.ownership import LeaseView, holder_may_act
from papayapier.policy.rendezvous import score
from papayapier.settings import OrderSettings
from papayapier.store.api import Store, StoreError

LEASE_KEY: Final = "leases/orders"
CANDIDATE_COUNT: Final = 2
MARGIN_DIVISOR: Final = 10
RUN_BITS: Final = 48


class LeaseRecord(NamedTuple):
    """Hold the stored lease; run is a random number drawn at each start of a process.

    released: the holder released the lease. clean: no order was in progress then.
    """

    holder: str
    run: int
    renewals: int
    released: bool = False
    clean: bool = False


class LeaseDeps(NamedTuple):
    """Group the dependencies of the lease.

    on_acquired is called when the lease is acquired, with whether the last holder left no order in
    progress.
    """

    clock: Clock
    rand: random.Random
    store: Store
    cfg: OrderSettings
    instance: str
    instances: Callable[[], Sequence[str]]
    on_acquired: Callable[[bool], None]


class ControllerLease:
    """Acquire, renew and release the controller's lease."""

    def __init__(self, deps: LeaseDeps) -> None:
        self._deps = deps
        self._run_id = deps.rand.getrandbits(RUN_BITS)
        self._view = LeaseView()
        self._version = 0
        self._renewals = 0
        self._renewal_sent_ms: int | None = None
        self._unconfirmed = False
        self._margin_ms = deps.cfg.lease_ms // MARGIN_DIVISOR
        self.holder = ""

    def fence(self) -> int:
        """Return the fencing number for new orders."""
        return self._version

    def is_held(self) -> bool:
        """Return whether this instance is the controller as far as it knows."""
        return self._renewal_sent_ms is not None

    def may_act(self) -> bool:
        """Return whether the lease is valid now, so that an order may be sent."""
        if self._renewal_sent_ms is None:
            return False
        now = self._deps.clock.now()
        return holder_may_act(self._renewal_sent_ms, self._deps.cfg.lease_ms, now, self._margin_ms)

    async def renew_or_acquire(self) -> None:
        """Renew the lease if it is held; otherwise acquire it if possible."""
        if self._unconfirmed:
            await self._read_own()
        if self.is_held():
            await self._renew()
        elif self._is_candidate():
            await self._try_acquire()

    async def release(self, clean: bool) -> None:
        """Release the lease, so that another instance need not wait until it expires."""
        if not self.is_held():
            return
        record = self._record()._replace(released=True, clean=clean)
        self._renewal_sent_ms = None
        # If this fails, the lease expires later.
        await self._deps.store.update(LEASE_KEY, codec.pack(record), self._version)

    def _is_candidate(self) -> bool:
        ranked = sorted(self._deps.instances(), key=lambda i: (score(LEASE_KEY, i), i))
        return self._deps.instance in ranked[-CANDIDATE_COUNT:]

    async def _renew(self) -> None:
        renewal_sent_ms = self._deps.clock.now()
        match await self._write(self._version):
            case Ok(version):
                self._version = version
                self._renewal_sent_ms = renewal_sent_ms
            case Err(StoreError.CONFLICT | StoreError.LOST):
                self._unconfirmed = True

    async def _read_own(self) -> None:
        """Read whether the last renewal took effect or another instance acquired the lease."""
        match await self._read():
            case Ok((version, record)) if (record.holder, record.run) == self._identity():
                self._version = version
                self._unconfirmed = False
            case Ok(_) | Err(StoreError.NOT_FOUND):
                self._unconfirmed = False
                self._mark_lost()

    def _mark_lost(self) -> None:
        if self.is_held():
            self._renewal_sent_ms = None
            events.emit(events.CONTROLLER_LOST, instance=self._deps.instance)

    async def _try_acquire(self) -> None:
        match await self._read():
            case Ok((version, record)):
                self.holder = "" if record.released else record.holder
                now = self._deps.clock.now()
                self._view.observe(version, now)
                is_expired = self._view.expired(self._deps.cfg.lease_ms, now, self._margin_ms)
                if record.released or is_expired:
                    await self._acquire(version, record.clean)
            case Err(StoreError.NOT_FOUND):
                await self._acquire(0, False)

    async def _acquire(self, version: int, clean: bool) -> None:
        renewal_sent_ms = self._deps.clock.now()
        match await self._write(version):
            case Ok(new_version):
                self._version = new_version
                self._renewal_sent_ms = renewal_sent_ms
                self.holder = self._deps.instance
                events.emit(
                    events.CONTROLLER_BEGAN, instance=self.holder, fence=new_version, clean=clean
                )
                self._deps.on_acquired(clean)

    async def _write(self, version: int) -> Result[int, StoreError]:
        self._renewals += 1
        value = codec.pack(self._record())
        if version == 0:
            return await self._deps.store.create(LEASE_KEY, value)
        return await self._deps.store.update(LEASE_KEY, value, version)

    async def _read(self) -> Result[tuple[int, LeaseRecord], StoreError]:
        match await self._deps.store.get(LEASE_KEY):
            case Ok(stored):
                record = codec.unpack(stored.value, LeaseRecord)
                # Nobody renews a lease that cannot be decoded, so it expires like any other.
                return Ok((stored.version, record.unwrap_or(LeaseRecord("", 0, 0))))
            case Err(error):
                return Err(error)

    def _record(self) -> LeaseRecord:
        return LeaseRecord(self._deps.instance, self._run_id, self._renewals)

    def _identity(self) -> tuple[str, int]:
        return (self._deps.instance, self._run_id)
