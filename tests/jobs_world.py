"""Run JobService and commits against an in-memory store, on a fake clock."""

import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.config.route_table import NO_POSITION
from papayapier.jobs.job_service import JobService, JobServiceDeps
from papayapier.jobs.notifications import ReceivedNotifications
from papayapier.jobs.records import (
    ItemOutcome,
    ItemResult,
    JobItem,
    JobRecord,
    ResultGroup,
    encode,
    group_key,
    job_key,
)
from papayapier.node.job_reading import read_from_store
from papayapier.platform.store import value_bound
from papayapier.policy.job_copies import NOT_REQUESTED, Copies
from papayapier.store.api import Entry, Listing, Store, Stored, StoreError
from tests.site.store import VALUE_BYTES

T = TypeVar("T")

JOB = "7c41e09b52d6a3f8"
BOUND = value_bound(VALUE_BYTES)


def item(name: str, body: str = "q83v") -> JobItem:
    """Make a job item."""
    return JobItem(name, f"/jobs/{name}", {}, body, 10)


def record(*names: str) -> JobRecord:
    """Make the record of a job with the given items."""
    items = tuple(item(name) for name in names)
    return JobRecord("w", "h.example", "/jobs/j", 0, items, len(items))


def group(*names: str) -> ResultGroup:
    """Make a group of results with the given item ids."""
    return ResultGroup("-".join(names), tuple(ItemResult(n, ItemOutcome.DONE, n) for n in names))


class MemoryStore:
    """Store objects in memory; fault returns the error with which a call fails, or None.

    A value that takes more than VALUE_BYTES by size_of is refused; too_large_count counts these.
    While hold is set, get and list calls block until release().
    """

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, bytes]] = {}
        self.revision = 0
        self.calls: list[str] = []
        self.blocked_calls: list[Deferred[None]] = []
        self.hold = False
        self.size_of: Callable[[bytes], int] = BOUND.size_of
        self.too_large_count = 0
        self.fault: Callable[[str, str], StoreError | None] = lambda _call, _key: None

    def put(self, key: str, value: bytes) -> int:
        self.revision += 1
        self.objects[key] = (self.revision, value)
        return self.revision

    def release(self) -> None:
        blocked_calls, self.blocked_calls = self.blocked_calls, []
        for blocked in blocked_calls:
            blocked.callback(None)

    def store(self) -> Store:
        async def get(key: str) -> Result[Stored, StoreError]:
            self.calls.append(f"get {key}")
            if self.hold:
                self.blocked_calls.append(Deferred())
                await self.blocked_calls[-1]
            fault = self.fault("get", key)
            if fault is not None:
                return Err(fault)
            if key not in self.objects:
                return Err(StoreError.NOT_FOUND)
            version, value = self.objects[key]
            return Ok(Stored(key, version, value))

        async def create(key: str, value: bytes) -> Result[int, StoreError]:
            self.calls.append(f"create {key}")
            fault = self.fault("create", key)
            if fault is StoreError.LOST and key not in self.objects:
                self.put(key, value)
            if fault is not None:
                return Err(fault)
            if self.size_of(value) > VALUE_BYTES:
                self.too_large_count += 1
                return Err(StoreError.TOO_LARGE)
            if key in self.objects:
                return Err(StoreError.CONFLICT)
            return Ok(self.put(key, value))

        async def update(key: str, value: bytes, version: int) -> Result[int, StoreError]:
            self.calls.append(f"update {key}")
            if key not in self.objects:
                return Err(StoreError.NOT_FOUND)
            if self.objects[key][0] != version:
                return Err(StoreError.CONFLICT)
            return Ok(self.put(key, value))

        async def list_(prefix: str, after: str, _limit: int) -> Result[Listing, StoreError]:
            self.calls.append(f"list {prefix}")
            if self.hold:
                self.blocked_calls.append(Deferred())
                await self.blocked_calls[-1]
            fault = self.fault("list", prefix)
            if fault is not None:
                return Err(fault)
            keys = sorted(key for key in self.objects if key.startswith(prefix) and key > after)
            found = [Entry(key, *self.objects[key]) for key in keys]
            return Ok(Listing(found, False, self.revision))

        async def delete(key: str, version: int) -> Result[int, StoreError]:
            self.calls.append(f"delete {key}")
            if key not in self.objects:
                return Err(StoreError.NOT_FOUND)
            if version not in (0, self.objects[key][0]):
                return Err(StoreError.CONFLICT)
            del self.objects[key]
            return Ok(version)

        async def unused(*_args: Any) -> Result[Any, StoreError]:
            raise AssertionError("not used")

        return Store(get, create, update, delete, list_, unused, unused, unused, unused)


class JobServiceWorld:
    """Hold one JobService and its store."""

    def __init__(self, memory: MemoryStore | None = None) -> None:
        self.time = fake_clock()
        self.memory = memory or MemoryStore()
        self.writers: list[str] = []
        self.settled = True
        self.position = NO_POSITION
        self.copies = NOT_REQUESTED
        self.received = ReceivedNotifications(lambda: self.writers, list)
        self.service = JobService(
            JobServiceDeps(
                self.time.clock,
                random.Random(1),
                self.memory.store(),
                self.received,
                self._keep,
                is_store_unavailable=lambda: False,
                is_store_complete=lambda: self.settled,
                read_remote=read_from_store,
                config_position=lambda: self.position,
                bound=BOUND,
            )
        )

    async def _keep(self, _job_id: str, _value: bytes) -> Copies:
        return self.copies

    def has_job(self, *names: str) -> None:
        self.memory.put(job_key(JOB), encode(record(*names)))

    def has_group(self, number: int, *names: str) -> None:
        self.memory.put(group_key(JOB, number), encode(group(*names)))

    def begin(self, awaitable: Awaitable[T]) -> "StartedCoroutine[T]":
        return StartedCoroutine(awaitable)


class StartedCoroutine(list[T]):
    """Start a coroutine; the list contains its result once it has finished."""

    def __init__(self, awaitable: Awaitable[T]) -> None:
        super().__init__()
        Deferred.fromCoroutine(awaitable).addCallback(self.append)  # type: ignore[arg-type]

    def end(self) -> T:
        assert self, "the coroutine has not finished"
        return self[0]
