"""Provide an in-memory platform with scripted faults.

A FakePlatform replaces the platform; each instance under test gets its own Store from
platform.store(NAME). Without faults every call completes at once. A fault is scripted for
future calls: platform.fail(Fault.LOST_AFTER, call="update", times=2). All delays use the
clock, which a test advances by hand.
"""

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.store.api import (
    LIVE,
    MAX_VALUE_BYTES,
    Change,
    Changes,
    Entry,
    Listing,
    Member,
    Members,
    Store,
    Stored,
    StoreError,
)

T = TypeVar("T")


class Fault(Enum):
    """Define what can happen to a call."""

    UNAVAILABLE = "unavailable"  # refused, nothing changed
    LIMITED = "limited"  # refused, nothing changed
    TOO_LARGE = "too_large"  # refused, nothing changed
    LOST_BEFORE = "lost_before"  # never arrives; answered LOST after delay_ms
    LOST_AFTER = "lost_after"  # takes effect at once; answered LOST after delay_ms
    LOST_DELAYED = "lost_delayed"  # answered LOST at once; takes effect delay_ms later
    SLOW = "slow"  # takes effect and is answered after delay_ms
    SLOW_ANSWER = "slow_answer"  # takes effect at once, answered after delay_ms


class Scripted(NamedTuple):
    """Hold one scripted fault; an empty call, key or store matches any."""

    fault: Fault
    call: str
    key: str
    store: str
    delay_ms: int


class FakePlatform:
    """Hold objects, history and the instance list, and apply scripted faults to calls.

    down makes every call fail; cut lists stores whose calls all fail; latency_ms delays
    every answer after its effect. calls counts by name, writes by key.
    """

    def __init__(self, clock: Clock, latency_ms: int = 0, kept_changes: int = 10_000) -> None:
        self.clock = clock
        self.latency_ms = latency_ms
        self.down = False
        self.cut: set[str] = set()
        self.revision = 0
        self.objects: dict[str, Stored] = {}
        self.instances: dict[str, Member] = {}
        self.calls: Counter[str] = Counter()
        self.writes: Counter[str] = Counter()
        self.bytes_in = 0
        self.conflicts = 0
        self._history: deque[Change] = deque(maxlen=kept_changes)
        self._dropped_revision = 0
        self._faults: list[Scripted] = []
        self._waiting: list[Deferred[None]] = []
        self._members_revision = 1

    def fail(
        self,
        fault: Fault,
        call: str = "",
        key: str = "",
        store: str = "",
        times: int = 1,
        delay_ms: int = 0,
    ) -> None:
        """Script a fault for the next matching calls; key is a prefix."""
        self._faults += [Scripted(fault, call, key, store, delay_ms)] * times

    def clear_faults(self) -> None:
        """Remove the faults that have not been applied yet."""
        self._faults.clear()

    def forget_history(self) -> None:
        """Drop the history, so that watches from an older revision get TOO_OLD."""
        self._history.clear()
        self._dropped_revision = self.revision

    def list_member(self, member: Member) -> None:
        """Add a record to the instance list."""
        self.instances[member.id] = member
        self._members_revision += 1
        self._wake()

    def store(self, name: str = "") -> Store:
        """Create the Store of one instance."""

        async def get(key: str) -> Result[Stored, StoreError]:
            return await self._call(name, "get", key, lambda: self._get(key))

        async def create(key: str, value: bytes) -> Result[int, StoreError]:
            return await self._call(name, "create", key, lambda: self._put(key, value, 0))

        async def update(key: str, value: bytes, version: int) -> Result[int, StoreError]:
            return await self._call(name, "update", key, lambda: self._put(key, value, version))

        async def delete(key: str, version: int) -> Result[int, StoreError]:
            return await self._call(name, "delete", key, lambda: self._delete(key, version))

        async def list_(prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
            return await self._call(name, "list", prefix, lambda: self._list(prefix, after, limit))

        async def watch(prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
            await self._wait(wait_ms, lambda: bool(self._changes(prefix, since)))
            return await self._call(name, "watch", prefix, lambda: self._watch(prefix, since))

        async def members(wait_ms: int, since: int) -> Result[Members, StoreError]:
            await self._wait(wait_ms, lambda: self._members_revision > since)
            return await self._call(name, "members", "", self._members)

        async def report(member: Member) -> Result[None, StoreError]:
            return await self._call(name, "report", member.id, lambda: self._report(member))

        async def withdraw(member_id: str) -> Result[None, StoreError]:
            return await self._call(name, "withdraw", member_id, lambda: self._withdraw(member_id))

        return Store(get, create, update, delete, list_, watch, members, report, withdraw)

    async def _call(
        self, store: str, call: str, key: str, effect: Callable[[], Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        self.calls[call] += 1
        if call in ("create", "update", "delete"):
            self.writes[key] += 1
        lost = StoreError.LOST if call not in READS else StoreError.UNAVAILABLE
        if self.down or store in self.cut:
            return Err(StoreError.UNAVAILABLE)
        scripted = self._next_fault(store, call, key)
        if scripted is None:
            return await self._answer(effect(), self.latency_ms)
        delay_ms = scripted.delay_ms
        if scripted.fault is Fault.UNAVAILABLE:
            return await self._answer(Err(StoreError.UNAVAILABLE), delay_ms)
        if scripted.fault is Fault.LIMITED:
            return await self._answer(Err(StoreError.LIMITED), delay_ms)
        if scripted.fault is Fault.TOO_LARGE:
            return await self._answer(Err(StoreError.TOO_LARGE), delay_ms)
        if scripted.fault is Fault.LOST_BEFORE:
            return await self._answer(Err(lost), delay_ms)
        if scripted.fault is Fault.LOST_AFTER:
            effect()
            return await self._answer(Err(lost), delay_ms)
        if scripted.fault is Fault.LOST_DELAYED:
            self.clock.call_later(delay_ms, effect)
            return Err(lost)
        if scripted.fault is Fault.SLOW:
            await self.clock.sleep(delay_ms)
            return effect()
        return await self._answer(effect(), delay_ms)

    async def _answer(self, answer: Result[T, StoreError], delay_ms: int) -> Result[T, StoreError]:
        if delay_ms:
            await self.clock.sleep(delay_ms)
        return answer

    def _next_fault(self, store: str, call: str, key: str) -> Scripted | None:
        for scripted in self._faults:
            if (
                scripted.call in ("", call)
                and key.startswith(scripted.key)
                and scripted.store in ("", store)
            ):
                self._faults.remove(scripted)
                return scripted
        return None

    def _get(self, key: str) -> Result[Stored, StoreError]:
        found = self.objects.get(key)
        return Ok(found) if found else Err(StoreError.NOT_FOUND)

    def _put(self, key: str, value: bytes, version: int) -> Result[int, StoreError]:
        assert len(value) <= MAX_VALUE_BYTES, key
        found = self.objects.get(key)
        self.bytes_in += len(value)
        if (found.version if found else 0) != version:
            self.conflicts += 1
            return Err(StoreError.CONFLICT)
        self._record(key, deleted=False)
        self.objects[key] = Stored(key, self.revision, value)
        self._wake()
        return Ok(self.revision)

    def _delete(self, key: str, version: int) -> Result[int, StoreError]:
        found = self.objects.get(key)
        if found is None or found.version != version:
            return Err(StoreError.CONFLICT)
        del self.objects[key]
        self._record(key, deleted=True)
        self._wake()
        return Ok(self.revision)

    def _record(self, key: str, deleted: bool) -> None:
        if len(self._history) == self._history.maxlen:
            self._dropped_revision = self._history[0].version
        self.revision += 1
        self._history.append(Change(key, self.revision, deleted))

    def _list(self, prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        keys = sorted(key for key in self.objects if key.startswith(prefix) and key > after)
        page = [Entry(key, self.objects[key].version) for key in keys[:limit]]
        return Ok(Listing(page, len(keys) > limit, self.revision))

    def _changes(self, prefix: str, since: int) -> list[Change]:
        return [c for c in self._history if c.version > since and c.key.startswith(prefix)]

    def _watch(self, prefix: str, since: int) -> Result[Changes, StoreError]:
        if since < self._dropped_revision:
            return Err(StoreError.TOO_OLD)
        return Ok(Changes(self._changes(prefix, since), self.revision))

    def _members(self) -> Result[Members, StoreError]:
        return Ok(Members(list(self.instances.values()), self._members_revision))

    def _report(self, member: Member) -> Result[None, StoreError]:
        if self.instances.get(member.id) != member:
            self.list_member(member)
        return Ok(None)

    def _withdraw(self, member_id: str) -> Result[None, StoreError]:
        if self.instances.pop(member_id, None):
            self._members_revision += 1
            self._wake()
        return Ok(None)

    async def _wait(self, wait_ms: int, ready: Callable[[], bool]) -> None:
        """Wait for a change that makes ready true, at most wait_ms."""
        end = self.clock.now() + wait_ms
        while not ready() and self.clock.now() < end:
            changed: Deferred[None] = Deferred()
            self._waiting.append(changed)
            timer = self.clock.call_later(end - self.clock.now(), self._wake)
            try:
                await changed
            finally:
                if changed in self._waiting:
                    self._waiting.remove(changed)
                if timer.active():
                    timer.cancel()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for changed in waiting:
            changed.callback(None)


READS = frozenset({"get", "list", "watch", "members"})


def make_member(member_id: str, state: str = LIVE) -> Member:
    """Return the record of an entry instance."""
    return Member(member_id, "entry", "", "127.0.0.1", 8080, 8082, "dc-a", "local", state)
