"""Define the interface between the batch package and the rest of the program."""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from result import Result

from papayapier.clock import Clock
from papayapier.config.profiles import Profile
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.errors import Refusal
from papayapier.metrics import Metrics
from papayapier.peer.messages import Message
from papayapier.settings import BatchSettings
from papayapier.store.api import Store
from papayapier.upstream.api import Reply
from papayapier.upstream.engine_calls import ENGINE_PATHS, shared_parts


class ItemCall(NamedTuple):
    """Describe one batch item to be run; due_wall_ms is the job's due time on the wall clock.

    still_allowed is called immediately before every send to a replica, also before a stream is
    resumed: it returns False once the lease is no longer held or the job is cancelled.
    """

    call_id: str
    caller: str
    profile: Profile
    method: str
    path: str
    body: bytes
    due_wall_ms: int
    still_allowed: Callable[[], bool]

    def fingerprint(self) -> str:
        """Return the request fingerprint, the same on every instance and for every attempt."""
        return request_fingerprint(self.method, self.profile.upstream, self.path, self.body)

    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other prompts may share."""
        return shared_parts(self.body) if self.path in ENGINE_PATHS else ()


class BatchDispatch(NamedTuple):
    """Group the functions through which batch items reach replicas.

    free_slots returns how many more items of an upstream may be passed to run now. run returns
    the complete reply or a refusal; it waits for capacity, yields to online requests and resumes
    by itself. Cancelling the Deferred that wraps run stops the item at the replica.
    watch_capacity registers a callback for when the capacity may have grown.
    """

    free_slots: Callable[[str], int]
    run: Callable[[ItemCall], Awaitable[Result[Reply, Refusal]]]
    watch_capacity: Callable[[Callable[[], None]], None]


class BatchDeps(NamedTuple):
    """Group what batch jobs need of the rest of the program.

    instance and boot together identify this run of the instance. find_profile returns a profile
    by name. live_instances lists the instances that the platform reports as live, including
    this one. lease_store is a view of the store used for leases only, with priority over other
    calls: bulk writes must not delay a renewal until the lease lapses.
    """

    clock: Clock
    rand: random.Random
    store: Store
    dispatch: BatchDispatch
    cfg: BatchSettings
    instance: str
    boot: int
    find_profile: Callable[[str], Profile | None]
    live_instances: Callable[[], Sequence[str]]
    broadcast: Callable[[Message], object]
    metrics: Metrics
    lease_store: Store | None = None
