"""Write and list the objects of batch jobs, resolving writes whose reply was lost.

store.writes resolves a lost reply within one call. A task's write may be retried in a later
call, after the store has recovered; if the object then has the caller's own value, the earlier
write succeeded.
"""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar

from result import Err, Ok, Result

from papayapier.batch import keys
from papayapier.store.api import Listing, StoreError
from papayapier.store.watch import Backoff
from papayapier.store.writes import SettleDeps, create_settled, delete_settled, update_settled

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps

T = TypeVar("T")
E = TypeVar("E")

UNCHANGED_ERRORS: Final = frozenset(
    {StoreError.UNAVAILABLE, StoreError.LIMITED, StoreError.TOO_LARGE}
)
RETRYABLE_ERRORS: Final = UNCHANGED_ERRORS | {StoreError.LOST}
MAX_SETTLE_MS: Final = 5_000
PAGE_KEYS: Final = 1_000


async def create(deps: "BatchDeps", key: str, value: bytes) -> Result[int, StoreError]:
    """Create an object; CONFLICT means that a different value exists."""
    settling = SettleDeps(deps.store, deps.clock, deps.rand)
    return await create_settled(settling, key, value, deps.clock.now() + MAX_SETTLE_MS)


async def update(
    deps: "BatchDeps", key: str, value: bytes, version: int
) -> Result[int, StoreError]:
    """Update an object at a known version; CONFLICT means that another writer was faster."""
    settling = SettleDeps(deps.store, deps.clock, deps.rand)
    return await update_settled(settling, key, value, version, deps.clock.now() + MAX_SETTLE_MS)


async def delete(deps: "BatchDeps", key: str, version: int) -> Result[int, StoreError]:
    """Delete an object at a known version."""
    settling = SettleDeps(deps.store, deps.clock, deps.rand)
    return await delete_settled(settling, key, version, deps.clock.now() + MAX_SETTLE_MS)


async def retry_safe_write(
    deps: "BatchDeps", key: str, value: bytes, version: int, maybe_stored: bool
) -> Result[int, StoreError]:
    """Write an object that an earlier attempt with the same value may have written already."""
    if version == 0:
        outcome = await create(deps, key, value)
    else:
        outcome = await update(deps, key, value, version)
    if isinstance(outcome, Ok) or outcome.err_value in UNCHANGED_ERRORS:
        return outcome
    if outcome.err_value is StoreError.CONFLICT and not maybe_stored:
        return outcome
    read = await deps.store.get(key)
    if isinstance(read, Ok) and read.ok_value.version > version:
        own = read.ok_value.value == value
        return Ok(read.ok_value.version) if own else Err(StoreError.CONFLICT)
    return Err(StoreError.LOST)


async def retry_while_unavailable(
    deps: "BatchDeps", limit_ms: int, call: Callable[[], Awaitable[Result[T, E]]]
) -> Result[T, E]:
    """Repeat a call with growing pauses, for a limited time, while the store is unavailable."""
    pauses = Backoff(deps.rand)
    deadline_ms = deps.clock.now() + limit_ms
    while True:
        outcome = await call()
        if isinstance(outcome, Ok) or outcome.err_value not in RETRYABLE_ERRORS:
            return outcome
        pause = pauses.next_ms()
        if deps.clock.now() + pause >= deadline_ms:
            return outcome
        await deps.clock.sleep(pause)


class ListedKeys(NamedTuple):
    """Hold the last parts of listed keys with their versions, in order."""

    versions: dict[str, int]
    revision: int


async def list_keys(deps: "BatchDeps", prefix: str) -> Result[ListedKeys, StoreError]:
    """List all keys under a prefix, page by page."""
    found: dict[str, int] = {}
    after = ""
    revision: int | None = None
    while True:
        listed = await deps.store.list(prefix, after, PAGE_KEYS)
        if isinstance(listed, Err):
            return listed
        page: Listing = listed.ok_value
        revision = page.revision if revision is None else revision
        found.update((keys.last_part(entry.key), entry.version) for entry in page.objects)
        if not page.more or not page.objects:
            return Ok(ListedKeys(found, revision))
        after = page.objects[-1].key
