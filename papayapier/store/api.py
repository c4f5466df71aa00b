"""Define what the rest of the program knows of the platform's object API.

A Store is a record of functions, so that the HTTP adapter, a fault-injecting fake and a
rate limiter can each be put in front of another. LOST is the failure that matters: the call
may have taken effect. store.writes settles it; nobody else should have to.
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


class Stored(NamedTuple):
    """Hold one object as read."""

    key: str
    version: int
    value: bytes


class Entry(NamedTuple):
    """Name one object in a listing; a platform whose listings show values gives them too."""

    key: str
    version: int
    value: bytes = b""


class Listing(NamedTuple):
    """Hold one page of a listing, taken at a revision."""

    objects: list[Entry]
    more: bool
    revision: int


class Change(NamedTuple):
    """Tell that an object has changed or gone; value as in Entry."""

    key: str
    version: int
    deleted: bool
    value: bytes = b""


class Changes(NamedTuple):
    """Hold what a watch saw up to a revision."""

    changes: list[Change]
    revision: int


class Member(NamedTuple):
    """Describe one entry instance or upstream replica in the instance list.

    A hub exchanges heartbeats with every instance, also beyond a full mesh.
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


class Members(NamedTuple):
    """Hold the instance list at a revision."""

    instances: list[Member]
    revision: int


ENTRY: Final = "entry"
REPLICA: Final = "replica"
LIVE: Final = "live"
LEAVING: Final = "leaving"
# Written down by others, who have not heard it for long.
LOST: Final = "lost"


async def _nothing_to_close() -> None:
    return None


class Store(NamedTuple):
    """Group the calls of the object API.

    Versions are positive integers that only rise. Each call ends within its own timeout.
    Errors: create and update give CONFLICT, UNAVAILABLE, LIMITED (nothing was changed) or
    LOST (unknown); reads give NOT_FOUND, UNAVAILABLE or LIMITED; watch also TOO_OLD. close
    drops kept connections when the instance ends.
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
