"""Show that this run of an instance lives, and judge whether others do.

One object per run, the session, is rewritten every few seconds; the leases of the shards
name their holder's session and are written only when they change hands. So renewing costs
one write per instance and not one per shard. A holder whose session has not changed for a
whole lease, seen by the observer's own clock, may be replaced. The holder in turn stops
counting on its leases earlier than that: its time runs from when the last renewal that was
answered had been sent.

An observer that could not see for a while knows nothing: when the store returns after an
outage, all sessions look unchanged, and without care every instance would take every shard
from the others. So a gap in observation begins all times anew.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from papayapier import codec
from papayapier.batch import keys, saves
from papayapier.batch.records import SessionRecord
from papayapier.policy.ownership import LeaseView, holder_may_act
from papayapier.store.api import StoreError

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

MARGIN_SHARE: Final = 10
STALE_LEASES: Final = 20
END_TRIES: Final = 3


class Session:
    """Renew this run's own session."""

    def __init__(self, deps: "BatchDeps", holder: str, on_lapse: Callable[[], None]) -> None:
        self.holder = holder
        self.silent = False
        self._deps = deps
        self._on_lapse = on_lapse
        self._key = keys.session_key(holder)
        self._version = 0
        self._renewals = 0
        self._sent_ms: int | None = None
        self._ended = False

    def may_act(self) -> bool:
        """Tell whether our leases can be counted on now."""
        if self._sent_ms is None or self._ended:
            return False
        cfg = self._deps.cfg
        now = self._deps.clock.now()
        return holder_may_act(self._sent_ms, cfg.lease_ms, now, margin_ms(cfg.lease_ms))

    async def renew(self) -> bool:
        """Renew; False says that it is not known to have worked. silent tells of the store."""
        if self._ended:
            return False
        sent_ms = self._deps.clock.now()
        self._renewals += 1
        value = codec.pack(SessionRecord(self.holder, self._renewals))
        done = await self._write(value)
        if isinstance(done, Err) and done.err_value in (StoreError.CONFLICT, StoreError.LOST):
            done = await self._read_own(value)
        self.silent = isinstance(done, Err) and done.err_value in saves.BUSY
        if isinstance(done, Err):
            return False
        self._version = done.ok_value
        # After a pause, or when this answer came late, other instances may have taken the
        # shards. Counting on them again must wait until each lease is confirmed.
        if not self.may_act():
            self._on_lapse()
        self._sent_ms = sent_ms
        return True

    async def _write(self, value: bytes) -> Result[int, StoreError]:
        if self._version == 0:
            return await self._deps.store.create(self._key, value)
        return await self._deps.store.update(self._key, value, self._version)

    async def _read_own(self, value: bytes) -> Result[int, StoreError]:
        """Find out what is there: this renewal, an earlier late one, or nothing any more."""
        read = await self._deps.store.get(self._key)
        if isinstance(read, Ok):
            self._version = read.ok_value.version
            own = read.ok_value.value == value
            return Ok(read.ok_value.version) if own else Err(StoreError.CONFLICT)
        if read.err_value is StoreError.NOT_FOUND:
            self._version = 0
            return Err(StoreError.CONFLICT)
        return Err(StoreError.LOST)

    async def end(self) -> None:
        """Delete the session, which gives back every lease at once."""
        self._ended = True
        for _ in range(END_TRIES):
            # A renewal may still be under way, so the version is read anew each time.
            read = await self._deps.store.get(self._key)
            if isinstance(read, Err):
                return
            deleted = await saves.delete(self._deps, self._key, read.ok_value.version)
            if isinstance(deleted, Ok):
                return


class Observer:
    """Judge other sessions by how long they have stayed the same."""

    def __init__(self, lease_ms: int) -> None:
        self.versions: dict[str, int] = {}
        self._lease_ms = lease_ms
        self._views: dict[str, LeaseView] = {}
        self._seen_ms = 0

    def observe(self, versions: dict[str, int], now: int) -> None:
        """Take the sessions' versions as listed now."""
        if now - self._seen_ms > self._lease_ms // 2:
            self._views = {}
        self._seen_ms = now
        self.versions = versions
        self._views = {holder: self._views.get(holder) or LeaseView() for holder in versions}
        for holder, version in versions.items():
            self._views[holder].observe(version, now)

    def known(self, holder: str) -> bool:
        """Tell whether a holder has a session at all."""
        return holder in self.versions

    def expired(self, holder: str, now: int) -> bool:
        """Tell whether a holder has not renewed its session for a whole lease."""
        view = self._views.get(holder)
        return view is not None and view.expired(self._lease_ms, now, margin_ms(self._lease_ms))

    def stale(self, holder: str, now: int) -> bool:
        """Tell whether a session has been expired for so long that it can be removed."""
        view = self._views.get(holder)
        return view is not None and view.expired(STALE_LEASES * self._lease_ms, now, 0)

    def alive(self, now: int) -> list[str]:
        """Return the holders that have a session which has not expired."""
        return [holder for holder in self.versions if not self.expired(holder, now)]


def margin_ms(lease_ms: int) -> int:
    """Return the part of a lease that allows for clocks of different rates."""
    return lease_ms // MARGIN_SHARE


def instance_of(holder: str) -> str:
    """Return the instance that a holder is a run of."""
    return holder.rpartition(".")[0]
