"""Define what the batch package needs from the rest of the program."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from result import Result

from papayapier.clock import Clock
from papayapier.config.profiles import Profile
from papayapier.dispatch.lost_sends import name_work
from papayapier.errors import Refusal
from papayapier.metrics import Metrics
from papayapier.peer.messages import Message
from papayapier.settings import BatchSettings
from papayapier.store.api import Store
from papayapier.upstream.api import Reply


class ItemCall(NamedTuple):
    """Describe one batch item to be run; due_wall_ms is the job's due time on the wall clock.

    still_allowed is asked immediately before every send to a replica, also before a resumed
    stream: it is False once the lease is no longer held or the job is cancelled.
    """

    call_id: str
    caller: str
    profile: Profile
    method: str
    path: str
    body: bytes
    due_wall_ms: int
    still_allowed: Callable[[], bool]

    def work(self) -> str:
        """Return the name of the work, whoever runs it and however often."""
        return name_work(self.method, self.profile.upstream, self.path, self.body)


class BatchDispatch(NamedTuple):
    """Group the calls through which batch items reach replicas.

    room tells how many more items of an upstream may be handed over now. run ends with the
    whole answer or a refusal; it waits for capacity, gives way to online work and resumes by
    itself. Cancelling the Deferred that wraps run stops the item at the replica. watch_room
    registers a call for whenever room may have grown.
    """

    room: Callable[[str], int]
    run: Callable[[ItemCall], Awaitable[Result[Reply, Refusal]]]
    watch_room: Callable[[Callable[[], None]], None]


class BatchDeps(NamedTuple):
    """Group what batch work needs of the rest of the program.

    instance and boot together name this run of the instance. profile looks one up by name.
    live_instances lists the instances that the platform shows as live, this one included.
    lease_store is a view of the store for leases alone, with precedence over other calls:
    bulk writes must not delay a renewal until the lease lapses.
    """

    clock: Clock
    rand: random.Random
    store: Store
    dispatch: BatchDispatch
    cfg: BatchSettings
    instance: str
    boot: int
    profile: Callable[[str], Profile | None]
    live_instances: Callable[[], Sequence[str]]
    tell_peers: Callable[[Message], object]
    metrics: Metrics
    lease_store: Store | None = None
