"""Write to the store so that a lost answer is settled and a busy store is not pressed.

A write whose answer was lost may have taken effect, or may still do so. Repeating the same
conditional write settles it: if the first one took effect, the second conflicts, and reading
shows this writer's own value. Values that two writers could write alike carry a writer name
that is drawn anew for each write.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from result import Err, Ok, Result

from papayapier.clock import Clock
from papayapier.store.api import Store, StoreError

T = TypeVar("T")

LOST_TRIES: Final = 3
BUSY: Final = frozenset({StoreError.UNAVAILABLE, StoreError.LIMITED, StoreError.LOST})
FIRST_PAUSE_MS: Final = 100
LONGEST_PAUSE_MS: Final = 5_000


async def create(store: Store, key: str, value: bytes) -> Result[int, StoreError]:
    """Create an object; CONFLICT means that another value is there."""
    return await save(store, key, value, 0)


async def update(store: Store, key: str, value: bytes, version: int) -> Result[int, StoreError]:
    """Update an object of a known version; CONFLICT means that another writer was first."""
    return await save(store, key, value, version)


async def save(
    store: Store, key: str, value: bytes, version: int, maybe_taken: bool = False
) -> Result[int, StoreError]:
    """Create an object when its known version is 0, else update it.

    maybe_taken says that the same write was offered before and its answer was lost.
    """
    lost = maybe_taken
    for _ in range(LOST_TRIES):
        if version == 0:
            done = await store.create(key, value)
        else:
            done = await store.update(key, value, version)
        if isinstance(done, Ok):
            return done
        if done.err_value is StoreError.CONFLICT and lost:
            return await _own(store, key, value)
        if done.err_value is not StoreError.LOST:
            return Err(StoreError.LOST) if lost else done
        lost = True
    return Err(StoreError.LOST)


async def delete(store: Store, key: str, version: int) -> Result[None, StoreError]:
    """Delete an object of a known version; one that is gone already counts as deleted."""
    done = await store.delete(key, version)
    if isinstance(done, Ok) or done.err_value is StoreError.NOT_FOUND:
        return Ok(None)
    return Err(done.err_value)


async def patiently(
    clock: Clock,
    rand: random.Random,
    limit_ms: int,
    call: Callable[[], Awaitable[Result[T, StoreError]]],
) -> Result[T, StoreError]:
    """Repeat a call while the store is busy, with growing pauses, for a limited time."""
    pauses = Pauses(rand)
    until = clock.now() + limit_ms
    while True:
        done = await call()
        if isinstance(done, Ok) or done.err_value not in BUSY:
            return done
        pause = pauses.next_ms()
        if clock.now() + pause >= until:
            return done
        await clock.sleep(pause)


class Pauses:
    """Draw growing random pauses, so that instances do not return to the store together."""

    __slots__ = ("_failures", "_rand")

    def __init__(self, rand: random.Random) -> None:
        self._rand = rand
        self._failures = 0

    def next_ms(self) -> int:
        """Return the pause after one more failure."""
        longest = min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS << min(self._failures, 10))
        self._failures += 1
        return self._rand.randint(longest // 2, longest)

    def reset(self) -> None:
        """Start again with short pauses."""
        self._failures = 0

    def failing(self) -> bool:
        """Tell whether the last call failed."""
        return self._failures > 0


async def _own(store: Store, key: str, value: bytes) -> Result[int, StoreError]:
    """Tell whether the write that conflicted had met its own earlier effect."""
    read = await store.get(key)
    if isinstance(read, Ok):
        own = read.ok_value.value == value
        return Ok(read.ok_value.version) if own else Err(StoreError.CONFLICT)
    if read.err_value is StoreError.NOT_FOUND:
        return Err(StoreError.CONFLICT)
    return Err(StoreError.LOST)
