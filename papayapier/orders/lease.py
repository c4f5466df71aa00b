"""Hold the lease that makes one instance the controller of all orders.

The lease object's version is the fencing number; every renewal raises it. The holder counts
its time from when its last good renewal was sent, an observer from when it first read the
version that it still reads, so the holder always stops first. A renewal that comes late,
after a pause or an outage, is still good when its condition holds: the version proves that
nobody else held the lease meanwhile.

Only the two instances that rendezvous hashing ranks highest read the lease, so the reads do
not grow with the fleet.
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
CANDIDATES: Final = 2
MARGIN_SHARE: Final = 10
RUN_BITS: Final = 48


class LeaseRecord(NamedTuple):
    """Hold the stored lease; run differs at every start of a process.

    released tells that the holder gave it back, clean that no order was under way then.
    """

    holder: str
    run: int
    renewals: int
    released: bool = False
    clean: bool = False


class LeaseDeps(NamedTuple):
    """Group what the lease needs; began is told whether the last holder left it clean."""

    clock: Clock
    rand: random.Random
    store: Store
    cfg: OrderSettings
    instance: str
    instances: Callable[[], Sequence[str]]
    began: Callable[[bool], None]


class ControllerLease:
    """Take, renew and give back the controller's lease."""

    def __init__(self, deps: LeaseDeps) -> None:
        self._deps = deps
        self._run = deps.rand.getrandbits(RUN_BITS)
        self._view = LeaseView()
        self._version = 0
        self._renewals = 0
        self._sent_ms: int | None = None
        self._in_doubt = False
        self._margin_ms = deps.cfg.lease_ms // MARGIN_SHARE
        self.holder = ""

    def fence(self) -> int:
        """Return the fencing number to be put into orders."""
        return self._version

    def held(self) -> bool:
        """Tell whether this instance is the controller as far as it knows."""
        return self._sent_ms is not None

    def may_act(self) -> bool:
        """Tell whether an order may be given at this moment."""
        if self._sent_ms is None:
            return False
        now = self._deps.clock.now()
        return holder_may_act(self._sent_ms, self._deps.cfg.lease_ms, now, self._margin_ms)

    async def keep(self) -> None:
        """Renew the lease if it is held, and otherwise look whether it can be taken."""
        if self._in_doubt:
            await self._read_own()
        if self.held():
            await self._renew()
        elif self._is_candidate():
            await self._try_to_take()

    async def release(self, clean: bool) -> None:
        """Give the lease back, so that another instance need not wait for its end."""
        if not self.held():
            return
        record = self._record()._replace(released=True, clean=clean)
        self._sent_ms = None
        # When this fails, the lease merely ends by itself later.
        await self._deps.store.update(LEASE_KEY, codec.pack(record), self._version)

    def _is_candidate(self) -> bool:
        ranked = sorted(self._deps.instances(), key=lambda i: (score(LEASE_KEY, i), i))
        return self._deps.instance in ranked[-CANDIDATES:]

    async def _renew(self) -> None:
        sent_ms = self._deps.clock.now()
        match await self._write(self._version):
            case Ok(version):
                self._version = version
                self._sent_ms = sent_ms
            case Err(StoreError.CONFLICT | StoreError.LOST):
                self._in_doubt = True

    async def _read_own(self) -> None:
        """Find out whether the last renewal took effect or another instance came first."""
        match await self._read():
            case Ok((version, record)) if (record.holder, record.run) == self._me():
                self._version = version
                self._in_doubt = False
            case Ok(_) | Err(StoreError.NOT_FOUND):
                self._in_doubt = False
                self._lose()

    def _lose(self) -> None:
        if self.held():
            self._sent_ms = None
            events.emit(events.CONTROLLER_LOST, instance=self._deps.instance)

    async def _try_to_take(self) -> None:
        match await self._read():
            case Ok((version, record)):
                self.holder = "" if record.released else record.holder
                now = self._deps.clock.now()
                self._view.observe(version, now)
                ended = self._view.expired(self._deps.cfg.lease_ms, now, self._margin_ms)
                if record.released or ended:
                    await self._take(version, record.clean)
            case Err(StoreError.NOT_FOUND):
                await self._take(0, False)

    async def _take(self, version: int, clean: bool) -> None:
        sent_ms = self._deps.clock.now()
        match await self._write(version):
            case Ok(new):
                self._version = new
                self._sent_ms = sent_ms
                self.holder = self._deps.instance
                events.emit(events.CONTROLLER_BEGAN, instance=self.holder, fence=new, clean=clean)
                self._deps.began(clean)

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
                # An unreadable lease is one that nobody renews: it ends like any other.
                return Ok((stored.version, record.unwrap_or(LeaseRecord("", 0, 0))))
            case Err(error):
                return Err(error)

    def _record(self) -> LeaseRecord:
        return LeaseRecord(self._deps.instance, self._run, self._renewals)

    def _me(self) -> tuple[str, int]:
        return (self._deps.instance, self._run)
