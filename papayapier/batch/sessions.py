"""Show that this run of an instance is live, and decide whether others are.

Each run rewrites one object, its session, every few seconds. The leases of the shards refer to
their holder's session and are written only when the holder changes, so renewing costs one
write per instance and not one per shard. A holder may be replaced if its session has not
changed for a complete lease by the observer's own clock. The holder stops relying on its
leases before that: its time starts when the last acknowledged renewal was sent.

An observer that could not read for a while knows nothing: after a store outage all sessions
look unchanged, and every instance would take every shard from the others. Therefore all times
start anew after a gap in observation.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from papayapier import codec
from papayapier.batch import keys, store_access
from papayapier.batch.records import SessionRecord
from papayapier.policy.ownership import LeaseView, holder_may_act
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

MARGIN_DIVISOR: Final = 10
STALE_AFTER_LEASES: Final = 20
MAX_END_ATTEMPTS: Final = 3


class Session:
    """Renew the session of this run."""

    def __init__(self, deps: "BatchDeps", holder: str, on_lapse: Callable[[], None]) -> None:
        self.holder = holder
        self.store_unavailable = False
        self._deps = deps
        self._on_lapse = on_lapse
        self._key = keys.session_key(holder)
        self._version = 0
        self._renewals = 0
        self._sent_ms: int | None = None
        self._ended = False

    def may_act(self) -> bool:
        """Return whether this run can rely on its leases now."""
        if self._sent_ms is None or self._ended:
            return False
        cfg = self._deps.cfg
        now = self._deps.clock.now()
        return holder_may_act(self._sent_ms, cfg.lease_ms, now, margin_ms(cfg.lease_ms))

    async def renew(self) -> bool:
        """Renew the session and set store_unavailable; False means it is unconfirmed."""
        if self._ended:
            return False
        sent_ms = self._deps.clock.now()
        self._renewals += 1
        value = codec.pack(SessionRecord(self.holder, self._renewals))
        renewed = await self._write(value)
        if isinstance(renewed, Err) and renewed.err_value in (StoreError.CONFLICT, StoreError.LOST):
            renewed = await self._read_stored(value)
        self.store_unavailable = (
            isinstance(renewed, Err) and renewed.err_value in store_access.RETRYABLE_ERRORS
        )
        if isinstance(renewed, Err):
            return False
        self._version = renewed.ok_value
        # After a pause of the process, or after a late reply, other instances may have taken the
        # shards. They must not be relied on until each lease is confirmed.
        if not self.may_act():
            self._on_lapse()
        self._sent_ms = sent_ms
        return True

    async def _write(self, value: bytes) -> Result[int, StoreError]:
        if self._version == 0:
            return await self._deps.store.create(self._key, value)
        return await self._deps.store.update(self._key, value, self._version)

    async def _read_stored(self, value: bytes) -> Result[int, StoreError]:
        """Read the stored session: this renewal, an earlier one that arrived late, or none."""
        read = await self._deps.store.get(self._key)
        if isinstance(read, Ok):
            self._version = read.ok_value.version
            is_own = read.ok_value.value == value
            return Ok(read.ok_value.version) if is_own else Err(StoreError.CONFLICT)
        if read.err_value is StoreError.NOT_FOUND:
            self._version = 0
            return Err(StoreError.CONFLICT)
        return Err(StoreError.LOST)

    async def end(self) -> None:
        """Delete the session, which releases all its leases at once."""
        self._ended = True
        for _ in range(MAX_END_ATTEMPTS):
            # A renewal may still be in flight, so each attempt reads the version again.
            read = await self._deps.store.get(self._key)
            if isinstance(read, Err):
                return
            deleted = await store_access.delete(self._deps, self._key, read.ok_value.version)
            if isinstance(deleted, Ok):
                return


class SessionObserver:
    """Decide from their last changes whether other sessions are live."""

    def __init__(self, lease_ms: int) -> None:
        self.versions: dict[str, int] = {}
        self._lease_ms = lease_ms
        self._views: dict[str, LeaseView] = {}
        self._observed_ms = 0

    def observe(self, versions: dict[str, int], now: int) -> None:
        """Update the sessions' versions from a listing."""
        if now - self._observed_ms > self._lease_ms // 2:
            self._views = {}
        self._observed_ms = now
        self.versions = versions
        self._views = {holder: self._views.get(holder) or LeaseView() for holder in versions}
        for holder, version in versions.items():
            self._views[holder].observe(version, now)

    def has_session(self, holder: str) -> bool:
        """Return whether a holder has a session."""
        return holder in self.versions

    def expired(self, holder: str, now: int) -> bool:
        """Return whether a holder has not renewed its session for a complete lease."""
        view = self._views.get(holder)
        return view is not None and view.expired(self._lease_ms, now, margin_ms(self._lease_ms))

    def stale(self, holder: str, now: int) -> bool:
        """Return whether a session expired so long ago that it can be deleted."""
        view = self._views.get(holder)
        return view is not None and view.expired(STALE_AFTER_LEASES * self._lease_ms, now, 0)

    def alive(self, now: int) -> list[str]:
        """Return the holders whose session exists and has not expired."""
        return [holder for holder in self.versions if not self.expired(holder, now)]


def margin_ms(lease_ms: int) -> int:
    """Return the fraction of a lease that allows for clocks of different rates."""
    return lease_ms // MARGIN_DIVISOR


def instance_of(holder: str) -> str:
    """Return the instance to which a holder belongs."""
    return holder.rpartition(".")[0]
