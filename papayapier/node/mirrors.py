"""Follow the store through the few hubs that watch it, in a fleet too large for all to watch.

Motivation: 84 processes that followed five kinds of objects, and read jobs, made 6,304 calls to the
store in 24 s, although a fifth of the calls would have done. A few hubs watch the store for all
processes and each process sends requests to one of them, so the number of watches at the store does
not depend on the size of the fleet.

Correctness does not depend on any one hub. A hub that is unreachable, leaves, or has received no
answer from the store itself sends none, and the process calls the store as it would without hubs.
The revisions are those of the store, so the process resumes where it was.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock
from papayapier.node.store_messages import (
    check_reply,
    decode_changes,
    decode_listing,
    encode_changes,
    encode_listing,
)
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import FULL_LISTING, NO_OUTAGE, MirrorAsk, StoreTell
from papayapier.policy.rendezvous import score
from papayapier.store.api import Changes, Listing, Store, StoreError
from papayapier.store.mirror import Mirror
from papayapier.store.watch import log_failure

# With one hub lost and another disconnected, the third still serves; more would only add watches.
WATCHER_COUNT: Final = 3
WATCHERS_KEY: Final = "watcher"
# Beyond the requested wait. A hub answers immediately or at the end of the wait.
ANSWER_MS: Final = 300
FIRST_PAGE: Final = ""
# A process that has just started reads the list and reaches a hub within this time. Without this
# wait each of its watches would be a call to the store, three for each start.
MAX_HUB_WAIT_MS: Final = 400
POLL_MS: Final = 20
# If more processes than this start at once, they do not all list thousands of replicas at the
# store: the calls would time out and be repeated.
MANY_PROCESSES: Final = 150
# Time limits for reading the list of processes, and for a watcher to read the store and answer.
MAX_SIZE_WAIT_MS: Final = 200
MAX_WATCHER_WAIT_MS: Final = 2_500
LIST_RETRY_MS: Final = 150


class MirrorDeps(NamedTuple):
    """Hold the dependencies of following the store through hubs.

    hubs returns the live hubs, including this process if it is one. on_store_return is called with
    how many ms ago the store returned, if a hub reports that it was unreachable. With a clock, the
    first watches of a process wait briefly for a hub. listed_count returns the number of listed
    processes.
    """

    hub: PeerHub
    me: str
    hubs: Callable[[], list[str]]
    on_store_return: Callable[[int], None]
    clock: Clock | None = None
    listed_count: Callable[[], int] = lambda: 0


class StoreSource:
    """Record whether the last answer came directly from the store or from a hub."""

    __slots__ = ("direct",)

    def __init__(self) -> None:
        self.direct = True

    def record(self, direct: bool, prefix: str) -> None:
        """Record the source of an answer, and log when it changes."""
        if direct != self.direct:
            self.direct = direct
            events.emit(events.FOLLOWS, prefix=prefix, by="store" if direct else "hub")


def watchers(hubs: list[str]) -> list[str]:
    """Return the hubs that watch the store for all processes."""
    return sorted(hubs, key=lambda hub: score(WATCHERS_KEY, hub), reverse=True)[:WATCHER_COUNT]


def with_hub_mirrors(
    own: Store, deps: MirrorDeps, source: StoreSource, wait_for_watcher: bool = False
) -> Store:
    """Return a Store whose listings and watches use the hubs first, in a large fleet.

    With wait_for_watcher the first listing waits for a watcher when many processes start at once.
    """
    client = _HubClient(deps)

    async def list_(prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        if after == FIRST_PAGE:
            reply = await (
                client.list_at_start(prefix)
                if wait_for_watcher
                else client.request_state(prefix, FULL_LISTING, 0)
            )
            if isinstance(reply, Ok):
                source.record(False, prefix)
                return Ok(decode_listing(reply.ok_value))
        source.record(True, prefix)
        return await own.list(prefix, after, limit)

    async def watch(prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        await client.wait_for_hub()
        reply = await client.request_state(prefix, since, wait_ms)
        source.record(reply == Err(StoreError.UNAVAILABLE), prefix)
        if not source.direct:
            return reply.map(decode_changes)
        changes = await own.watch(prefix, since, wait_ms)
        # A concurrent listing may have come from another source meanwhile.
        source.record(True, prefix)
        return changes

    return own._replace(list=list_, watch=watch)


class _HubClient:
    """Send requests to the watcher that is assigned to this process, while it is reachable."""

    def __init__(self, deps: MirrorDeps) -> None:
        self._deps = deps
        self._waiting: dict[str, list[Deferred[Any]]] = {}
        deps.hub.on_change(self._on_peers)
        clock = deps.clock
        self._started_ms = 0 if clock is None else clock.now()
        self._hub_wait_until = 0 if clock is None else clock.now() + MAX_HUB_WAIT_MS

    async def list_at_start(self, prefix: str) -> Result[StoreTell, StoreError]:
        """Return a hub's listing; after a start of many processes, wait until a hub has it."""
        clock = self._deps.clock
        while clock is not None and not self._deps.listed_count():
            if clock.now() >= self._started_ms + MAX_SIZE_WAIT_MS:
                break
            await clock.sleep(POLL_MS)
        reply = await self.request_state(prefix, FULL_LISTING, 0)
        while clock is not None and isinstance(reply, Err) and self._waits_for_watcher(clock.now()):
            await clock.sleep(LIST_RETRY_MS)
            reply = await self.request_state(prefix, FULL_LISTING, 0)
        return reply

    def _waits_for_watcher(self, now: int) -> bool:
        many = self._deps.listed_count() > MANY_PROCESSES
        watches = self._deps.me in watchers(self._deps.hubs())
        return many and not watches and now < self._started_ms + MAX_WATCHER_WAIT_MS

    async def wait_for_hub(self) -> None:
        """Wait, only just after the start, until a hub or a full mesh is available."""
        clock = self._deps.clock
        while clock is not None and clock.now() < self._hub_wait_until:
            plan = self._deps.hub.plan()
            in_mesh = plan.full_mesh and plan.neighbours
            if in_mesh or self._hub() is not None or self._deps.me in self._deps.hubs():
                return
            await clock.sleep(POLL_MS)

    async def request_state(
        self, prefix: str, since: int, wait_ms: int
    ) -> Result[StoreTell, StoreError]:
        """Return a hub's answer, or UNAVAILABLE if there is none."""
        hub_id = self._hub()
        if hub_id is None:
            return Err(StoreError.UNAVAILABLE)
        pending = Deferred.fromCoroutine(
            self._deps.hub.send_request(
                hub_id,
                lambda correlation_id: MirrorAsk(correlation_id, prefix, since, wait_ms),
                wait_ms + ANSWER_MS,
            )
        )
        answered: Deferred[Any] = Deferred()
        self._waiting.setdefault(hub_id, []).append(answered)
        pending.addBoth(lambda reply: self._deliver(hub_id, answered, reply))
        try:
            reply = await answered
        finally:
            # The coroutine may be closing, so nothing may resume it from here on.
            self._stop_waiting(hub_id, answered)
            if not pending.called:
                pending.cancel()
        if isinstance(reply, Ok) and isinstance(reply.ok_value, StoreTell):
            if reply.ok_value.recovered_ms_ago != NO_OUTAGE:
                self._deps.on_store_return(reply.ok_value.recovered_ms_ago)
            return check_reply(reply.ok_value)
        return Err(StoreError.UNAVAILABLE)

    def _deliver(self, hub_id: str, answered: Deferred[Any], answer: Any) -> None:
        """Deliver an answer to its request, if that is still waiting."""
        if self._stop_waiting(hub_id, answered):
            answered.callback(answer)

    def _stop_waiting(self, hub_id: str, answered: Deferred[Any]) -> bool:
        waiting = self._waiting[hub_id]
        if answered not in waiting:
            return False
        waiting.remove(answered)
        return True

    def _hub(self) -> str | None:
        """Return the watcher assigned to this process, or None to call the store directly."""
        deps = self._deps
        if deps.hub.plan().full_mesh:
            return None
        chosen = watchers(deps.hubs())
        if deps.me in chosen or not chosen:
            return None
        return max(chosen, key=lambda hub_id: score(deps.me, hub_id))

    def _on_peers(self) -> None:
        """Stop waiting for hubs that have become unreachable or are leaving."""
        live = set(self._deps.hub.live())
        for hub_id, waiting in self._waiting.items():
            if hub_id not in live:
                for answered in list(waiting):
                    self._deliver(hub_id, answered, None)


def serve_mirrors(
    hub: PeerHub, mirrors: dict[str, Mirror], ms_since_return: Callable[[], int]
) -> None:
    """Answer the processes that follow the store through this hub."""

    def on_request(peer_id: str, request: MirrorAsk) -> None:
        done = Deferred.fromCoroutine(_answer(mirrors.get(request.prefix), request))
        done.addCallback(
            lambda reply: hub.send(peer_id, reply._replace(recovered_ms_ago=ms_since_return()))
        )
        done.addErrback(log_failure, "mirror")

    hub.subscribe(MirrorAsk, on_request)


async def _answer(mirror: Mirror | None, request: MirrorAsk) -> StoreTell:
    if mirror is None:
        return StoreTell(request.correlation_id, StoreError.UNAVAILABLE.value)
    if request.since == FULL_LISTING:
        return encode_listing(request.correlation_id, mirror.list_all())
    return encode_changes(
        request.correlation_id, await mirror.watch(request.since, request.wait_ms)
    )
