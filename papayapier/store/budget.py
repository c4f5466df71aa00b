"""Keep an instance's calls to the platform within its share of the platform's rate limits.

Every call of an instance goes through one Budget, because the platform's rate limits are
shared by all instances. Each part of the program has a view with a priority: when permits
are short, lease renewals go before claims and claims before bulk writes. A call that gets no
permit in time returns LIMITED, and one made while the store is down UNAVAILABLE; in both
cases nothing was changed. A waiting watch counts as one read.
"""

import random
from collections.abc import Awaitable, Callable
from enum import IntEnum
from typing import NamedTuple, TypeVar

from result import Err, Result

from papayapier.clock import Clock, Millis
from papayapier.settings import PlatformSettings
from papayapier.store.api import (
    Changes,
    Listing,
    Member,
    Members,
    Store,
    Stored,
    StoreError,
)
from papayapier.store.breaker import Breaker, Health, make_breaker
from papayapier.store.bucket import TokenBucket

T = TypeVar("T")


class Priority(IntEnum):
    """Define the priorities of store calls; the lowest number is served first."""

    LEASE = 0
    CLAIM = 1
    CONFIG = 2
    BULK = 3


class Budget(NamedTuple):
    """Provide views of the store for each part of the program, and report outages.

    recovered_ms returns when the store last became reachable again, or None without any outage.
    """

    view: Callable[[Priority], Store]
    down_since: Callable[[], Millis | None]
    recovered_ms: Callable[[], Millis | None]


class _Shared(NamedTuple):
    """Group what all views share."""

    store: Store
    reads: TokenBucket
    writes: TokenBucket
    breaker: Breaker
    wait_ms: int


def make_budget(
    store: Store, clock: Clock, rng: random.Random, platform: PlatformSettings
) -> Budget:
    """Wrap a Store with rate limits and a circuit breaker."""
    health = Health(clock, rng, platform.longest_pause_ms)
    shared = _Shared(
        store,
        TokenBucket(clock, platform.reads_per_s),
        TokenBucket(clock, platform.writes_per_s),
        make_breaker(health),
        platform.timeout_ms,
    )
    return Budget(
        lambda priority: _view(shared, priority),
        shared.breaker.down_since,
        lambda: health.recovered_ms,
    )


def _view(shared: _Shared, priority: Priority) -> Store:
    inner = shared.store

    async def read(call: Callable[[], Awaitable[Result[T, StoreError]]]) -> Result[T, StoreError]:
        return await _call_with_permit(shared, shared.reads, priority, call)

    async def write(call: Callable[[], Awaitable[Result[T, StoreError]]]) -> Result[T, StoreError]:
        return await _call_with_permit(shared, shared.writes, priority, call)

    async def get(key: str) -> Result[Stored, StoreError]:
        return await read(lambda: inner.get(key))

    async def create(key: str, value: bytes) -> Result[int, StoreError]:
        return await write(lambda: inner.create(key, value))

    async def update(key: str, value: bytes, version: int) -> Result[int, StoreError]:
        return await write(lambda: inner.update(key, value, version))

    async def delete(key: str, version: int) -> Result[int, StoreError]:
        return await write(lambda: inner.delete(key, version))

    async def list_(prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        return await read(lambda: inner.list(prefix, after, limit))

    async def watch(prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        return await _call_delayed(shared, priority, lambda: inner.watch(prefix, since, wait_ms))

    async def members(wait_ms: int, since: int) -> Result[Members, StoreError]:
        return await _call_delayed(shared, priority, lambda: inner.members(wait_ms, since))

    async def report(member: Member) -> Result[None, StoreError]:
        return await write(lambda: inner.report(member))

    async def withdraw(member_id: str) -> Result[None, StoreError]:
        return await write(lambda: inner.withdraw(member_id))

    return Store(get, create, update, delete, list_, watch, members, report, withdraw, inner.close)


async def _call_with_permit(
    shared: _Shared,
    bucket: TokenBucket,
    priority: Priority,
    call: Callable[[], Awaitable[Result[T, StoreError]]],
) -> Result[T, StoreError]:
    """Make a call once the breaker and the rate limit allow it, and record its outcome."""
    breaker = shared.breaker
    if breaker.probe_due():
        breaker.probe()
        return await _call_and_record(shared, bucket, call)
    if not breaker.allows_calls():
        return Err(StoreError.UNAVAILABLE)
    if not await bucket.acquire(priority, shared.wait_ms):
        return Err(StoreError.LIMITED)
    if not breaker.allows_calls():
        return Err(StoreError.UNAVAILABLE)
    return await _call_and_record(shared, bucket, call)


async def _call_delayed(
    shared: _Shared, priority: Priority, call: Callable[[], Awaitable[Result[T, StoreError]]]
) -> Result[T, StoreError]:
    """Make a call whose answer the platform may delay.

    Its failure does not count for the breaker: devices on the path to the platform cut watches
    although other calls work. For the same reason it is never the probe.
    """
    if not shared.breaker.allows_calls():
        return Err(StoreError.UNAVAILABLE)
    if not await shared.reads.acquire(priority, shared.wait_ms):
        return Err(StoreError.LIMITED)
    outcome = await call()
    if outcome == Err(StoreError.LIMITED):
        shared.reads.limited()
    return outcome


async def _call_and_record(
    shared: _Shared, bucket: TokenBucket, call: Callable[[], Awaitable[Result[T, StoreError]]]
) -> Result[T, StoreError]:
    try:
        outcome = await call()
    except BaseException:
        # A cancelled probe must not leave the breaker waiting for its outcome for ever.
        shared.breaker.failed()
        raise
    if isinstance(outcome, Err) and outcome.err_value in (StoreError.UNAVAILABLE, StoreError.LOST):
        shared.breaker.failed()
        return outcome
    if shared.breaker.down_since() is not None:
        shared.reads.restart()
        shared.writes.restart()
    shared.breaker.answered()
    if outcome == Err(StoreError.LIMITED):
        bucket.limited()
    return outcome
