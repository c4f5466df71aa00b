"""Define the platform's object API as the rest of the program uses it.

A Store is a record of functions, so that the HTTP adapter, a fault-injecting fake and a
rate limiter can wrap one another. LOST is the most important failure: the call may have taken
effect. store.writes determines its outcome, so that no other module has to.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Final, NamedTuple

from result import Result

MAX_VALUE_BYTES: Final = 1_000_000


class StoreError(Enum):
    """Name each way a store call can fail."""

    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    LIMITED = "limited"
    LOST = "lost"
    TOO_OLD = "too_old"
    TOO_LARGE = "too_large"


class ValueBound(NamedTuple):
    """Bound the values of a store; size_of returns how much of max_bytes a value takes."""

    max_bytes: int
    size_of: Callable[[bytes], int]


class Stored(NamedTuple):
    """Hold one object as read."""

    key: str
    version: int
    value: bytes


class Entry(NamedTuple):
    """Hold one object of a listing; value is set if the platform's listings contain values."""

    key: str
    version: int
    value: bytes = b""


class Listing(NamedTuple):
    """Hold one page of a listing, taken at a revision."""

    objects: list[Entry]
    more: bool
    revision: int


class Change(NamedTuple):
    """Describe a change or deletion of an object; value as in Entry."""

    key: str
    version: int
    deleted: bool
    value: bytes = b""


class Changes(NamedTuple):
    """Hold the changes that a watch found up to a revision."""

    changes: list[Change]
    revision: int


class Member(NamedTuple):
    """Describe one entry instance or upstream replica in the instance list.

    hub says whether it may be a hub, which exchanges heartbeats with every instance even in a
    fleet that is too large for a full mesh. version is the version of a replica's software, empty
    if it is not stated.
    """

    id: str
    kind: str
    upstream: str
    host: str
    port: int
    peer_port: int
    data_centre: str
    region: str
    state: str
    static: bool = False
    hub: bool = False
    version: str = ""


class Members(NamedTuple):
    """Hold the instance list at a revision."""

    instances: list[Member]
    revision: int


ENTRY: Final = "entry"
REPLICA: Final = "replica"
LIVE: Final = "live"
LEAVING: Final = "leaving"
# Set by other instances after no heartbeat has arrived for a long time.
LOST: Final = "lost"


async def _nothing_to_close() -> None:
    return None


class Store(NamedTuple):
    """Group the calls of the object API.

    Versions are positive integers that only rise. Each call ends within its own timeout.
    Errors: create and update return CONFLICT, UNAVAILABLE, LIMITED (nothing was changed), TOO_LARGE
    (nothing was changed, and the same value is always refused) or LOST (unknown); reads return
    NOT_FOUND, UNAVAILABLE or LIMITED; watch also TOO_OLD. close drops persistent connections when
    the instance ends.
    """

    get: Callable[[str], Awaitable[Result[Stored, StoreError]]]
    create: Callable[[str, bytes], Awaitable[Result[int, StoreError]]]
    update: Callable[[str, bytes, int], Awaitable[Result[int, StoreError]]]
    delete: Callable[[str, int], Awaitable[Result[int, StoreError]]]
    list: Callable[[str, str, int], Awaitable[Result[Listing, StoreError]]]
    watch: Callable[[str, int, int], Awaitable[Result[Changes, StoreError]]]
    members: Callable[[int, int], Awaitable[Result[Members, StoreError]]]
    report: Callable[[Member], Awaitable[Result[None, StoreError]]]
    withdraw: Callable[[str], Awaitable[Result[None, StoreError]]]
    close: Callable[[], Awaitable[None]] = _nothing_to_close
