"""Determine the outcome of writes whose answer was lost.

A LOST write may have taken effect, may never do so, or may do so later: a read that shows
the old version proves nothing. Two observations are conclusive. The written value in the
store (values contain a unique write id, so equal bytes identify the write) proves that the
write took effect. A later successful conditional write on the same version proves that the
earlier one will fail if it still arrives, because that version no longer exists. So the same
conditional write is repeated until either is observed. Waiting longer or reading twice
instead would only make a wrong conclusion rarer.

The results CONFLICT and TOO_LARGE mean that the write never took effect and never will. LOST
means that the outcome could not be determined: no definite answer came by the due time, or the
object holds another writer's value, which may have replaced the written one. The caller then has
to decide by the content.

One limitation: a create has no version, so a late copy of it can restore an object that was
created and then deleted. Code that deletes objects must not treat an object that reappears
under the same name as a new one.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.store.api import Store, Stored, StoreError

MIN_PAUSE_MS: Final = 20
MAX_PAUSE_MS: Final = 1_000
ALREADY_DELETED: Final = 0


class SettleDeps(NamedTuple):
    """Group what settling a write needs; rng spreads the retries of many instances."""

    store: Store
    clock: Clock
    rng: random.Random


class _Write(NamedTuple):
    """Describe a conditional write.

    attempt sends it; effect derives its outcome from a read of the object, None if unknown.
    """

    key: str
    attempt: Callable[[], Awaitable[Result[int, StoreError]]]
    effect: Callable[[Result[Stored, StoreError]], Result[int, StoreError] | None]


async def create_settled(
    deps: SettleDeps, key: str, value: bytes, due_ms: int
) -> Result[int, StoreError]:
    """Create an object; the value must contain a unique write id."""

    async def attempt() -> Result[int, StoreError]:
        return await deps.store.create(key, value)

    def effect(found: Result[Stored, StoreError]) -> Result[int, StoreError] | None:
        if found == Err(StoreError.NOT_FOUND):
            # The conflicting object was deleted meanwhile, so a late copy of this create could
            # still take effect: retry.
            return None
        return _own_write_or_lost(found, value)

    return await _settle(deps, _Write(key, attempt, effect), due_ms)


async def update_settled(
    deps: SettleDeps, key: str, value: bytes, version: int, due_ms: int
) -> Result[int, StoreError]:
    """Update an object at a version; the value must contain a unique write id."""

    async def attempt() -> Result[int, StoreError]:
        return await deps.store.update(key, value, version)

    def effect(found: Result[Stored, StoreError]) -> Result[int, StoreError] | None:
        if found == Err(StoreError.NOT_FOUND):
            return Err(StoreError.LOST)
        return _own_write_or_lost(found, value)

    return await _settle(deps, _Write(key, attempt, effect), due_ms)


async def delete_settled(
    deps: SettleDeps, key: str, version: int, due_ms: int
) -> Result[int, StoreError]:
    """Delete an object at a version; return the deletion's version or ALREADY_DELETED.

    ALREADY_DELETED means that a repeated delete found that the object no longer exists.
    """

    async def attempt() -> Result[int, StoreError]:
        return await deps.store.delete(key, version)

    def effect(found: Result[Stored, StoreError]) -> Result[int, StoreError] | None:
        if found == Err(StoreError.NOT_FOUND):
            return Ok(ALREADY_DELETED)
        return Err(StoreError.LOST) if isinstance(found, Ok) else None

    return await _settle(deps, _Write(key, attempt, effect), due_ms)


def _own_write_or_lost(
    found: Result[Stored, StoreError], value: bytes
) -> Result[int, StoreError] | None:
    if isinstance(found, Err):
        return None
    if found.ok_value.value == value:
        return Ok(found.ok_value.version)
    return Err(StoreError.LOST)


async def _settle(deps: SettleDeps, write: _Write, due_ms: int) -> Result[int, StoreError]:
    answer = await write.attempt()
    if answer != Err(StoreError.LOST):
        return answer
    pause_ms = MIN_PAUSE_MS
    while deps.clock.now() < due_ms:
        definite = await _retry(deps.store, write)
        if definite is not None:
            outcome = "ok" if isinstance(definite, Ok) else definite.err_value.value
            events.emit(events.WRITE_READ_BACK, key=write.key, outcome=outcome)
            return definite
        left_ms = due_ms - deps.clock.now()
        await deps.clock.sleep(min(left_ms, pause_ms * deps.rng.uniform(0.5, 1.0)))
        pause_ms = min(MAX_PAUSE_MS, 2 * pause_ms)
    return Err(StoreError.LOST)


async def _retry(store: Store, write: _Write) -> Result[int, StoreError] | None:
    """Repeat a write that was lost before; return its outcome, or None while it is unknown."""
    answer = await write.attempt()
    if isinstance(answer, Ok):
        return answer
    if answer.err_value is StoreError.TOO_LARGE:
        # The store refuses this value at each attempt, so the lost one had no effect either.
        return answer
    if answer.err_value is not StoreError.CONFLICT:
        return None
    return write.effect(await store.get(write.key))
