"""Follow the instance list, and keep this instance's own record in it.

The list lags and drops an instance that has not reported for a while, so it says which
instances may exist, never which are live: leases and peers' heartbeats decide that. A list
that cannot be read changes nothing here, because an outage of the platform must not look like
the loss of all upstreams.

Until the first successful read, a list that somebody else has read is used instead (use_list): a
peer's, or the one saved in the data folder. The platform's own list always replaces it.
"""

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok

from papayapier.clock import Clock
from papayapier.lasting_tasks import run_always
from papayapier.store.api import LEAVING, Member, Store
from papayapier.store.watch import Backoff

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

REPORT_MS: Final = 2_500
WAIT_MS: Final = 10_000
MIN_INTERVAL_MS: Final = 100
MAX_WITHDRAW_ATTEMPTS: Final = 3


class MembersChanged(NamedTuple):
    """Hold the records that are new or changed, and the ids that were removed."""

    changed: list[Member]
    removed: list[str]


OnMembers = Callable[[MembersChanged], None]


class MemberFollower:
    """Hold the last list read, and report each difference from the list before."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        on_members: OnMembers,
        on_read_failed: Callable[[], None] = lambda: None,
    ) -> None:
        self.known: dict[str, Member] = {}
        self.last_read_ms: int | None = None
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_members = on_members
        self._on_read_failed = on_read_failed
        self._provided_read_ms: int | None = None
        self._task: Deferred[None] | None = None

    def start(self) -> None:
        """Start to follow the list."""
        self._task = run_always(self._clock, "follow instances", self._loop)

    def stop(self) -> None:
        """Stop following; nothing is reported afterwards."""
        if self._task is not None:
            self._task.cancel()

    def use_list(self, members: Sequence[Member], read_ms: int) -> bool:
        """Use a list that somebody else read at read_ms; return False if it is not newer."""
        if self.last_read_ms is not None:
            return False
        if self._provided_read_ms is not None and read_ms <= self._provided_read_ms:
            return False
        self._provided_read_ms = read_ms
        self._apply({member.id: member for member in members})
        return True

    def age_ms(self) -> int | None:
        """Return the time since the list was read from the platform, or None without a list."""
        read_ms = self._provided_read_ms if self.last_read_ms is None else self.last_read_ms
        return None if read_ms is None else self._clock.now() - read_ms

    async def _loop(self) -> None:
        since = 0
        backoff = Backoff(self._rng)
        while True:
            # The first read does not wait for a change: if the platform does not answer, only
            # the timeout of this read delays a start with a list from elsewhere.
            found = await self._store.members(WAIT_MS if since else 0, since)
            if isinstance(found, Err):
                since = 0
                if self.last_read_ms is None:
                    self._on_read_failed()
                await self._clock.sleep(backoff.next_ms())
                continue
            backoff.reset()
            self.last_read_ms = self._clock.now()
            self._apply({member.id: member for member in found.ok_value.instances})
            since = found.ok_value.revision
            # Without a minimum interval, a fleet that changes all the time would make every
            # instance read the whole list continuously.
            await self._clock.sleep(MIN_INTERVAL_MS * self._rng.uniform(0.5, 1.0))

    def _apply(self, found: dict[str, Member]) -> None:
        changed = [member for key, member in found.items() if self.known.get(key) != member]
        removed = [key for key in self.known if key not in found]
        self.known = found
        if changed or removed:
            self._on_members(MembersChanged(changed, removed))


class MemberReporter:
    """Report this instance's record every few seconds until it leaves."""

    def __init__(self, store: Store, clock: Clock, rng: random.Random, member: Member) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._member = member
        self._task: Deferred[None] | None = None

    def start(self) -> None:
        """Start to report."""
        self._task = run_always(self._clock, "report instance", self._loop)

    def mark_leaving(self) -> None:
        """Report the leaving state at once and from now on."""
        self._member = self._member._replace(state=LEAVING)
        self.stop()
        self.start()

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    async def withdraw(self) -> bool:
        """Stop reporting and remove the record from the list; return False if that failed.

        The platform drops a record that is left behind some seconds later.
        """
        self.stop()
        backoff = Backoff(self._rng)
        for _ in range(MAX_WITHDRAW_ATTEMPTS):
            if isinstance(await self._store.withdraw(self._member.id), Ok):
                return True
            await self._clock.sleep(backoff.next_ms())
        return False

    async def _loop(self) -> None:
        backoff = Backoff(self._rng)
        while True:
            if isinstance(await self._store.report(self._member), Ok):
                backoff.reset()
                await self._clock.sleep(REPORT_MS * self._rng.uniform(0.8, 1.0))
            else:
                await self._clock.sleep(backoff.next_ms())
