"""Follow the store through the few hubs that watch it, in a fleet too large for all to watch.

The load this answers: 84 processes that follow five kinds of objects, and read jobs, made 6,304
calls to the store in 24 s of a calm day, a fifth of what these were worth. A few hubs watch it
for everybody, each process asks one of them, and the store sees as many watches as there are
watchers, whatever the size of the fleet.

Nothing depends on one hub. A hub that is silent, leaves, or has not heard from the store itself
answers nothing, and the process asks the store as it would without hubs; the revisions are the
store's, so that it goes on where it was.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock
from papayapier.node.store_messages import (
    changes_told,
    listing_told,
    read_told,
    told_changes,
    told_listing,
)
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import NEVER_AWAY, WHOLE, MirrorAsk, StoreTell
from papayapier.policy.rendezvous import score
from papayapier.store.api import Changes, Listing, Store, StoreError
from papayapier.store.mirror import Mirror
from papayapier.store.watch import report_failure

# One may be lost and another cut off, and the third still serves; more only cost watches.
WATCHERS: Final = 3
WATCHERS_KEY: Final = "watcher"
# An answer is ready when it is asked for, or when the wait that was asked for is over.
ANSWER_MS: Final = 300
WHOLE_FROM_START: Final = ""
# A process that has just started has read the list and reaches a hub within this; each of its
# watches would else be a call to the store, three for each start.
FIRST_HUB_MS: Final = 400
LOOK_MS: Final = 20
# More processes than this that start at once do not all list thousands of replicas at the store:
# its calls would take longer than they may, end in vain and be made again.
MANY_PROCESSES: Final = 150
# Until the list of processes is read, and until a watcher has read the store and answers.
SIZE_KNOWN_MS: Final = 200
WATCHER_MS: Final = 2_500
WHOLE_AGAIN_MS: Final = 150


class MirrorDeps(NamedTuple):
    """Group what following through hubs works with.

    hubs names the live hubs, this process included where it is one. store_back is told that a
    hub has had the store away, and how many ms ago it came back. With a clock, the first watches
    of a process wait a moment for a hub. listed tells how many processes are listed.
    """

    hub: PeerHub
    me: str
    hubs: Callable[[], list[str]]
    store_back: Callable[[int], None]
    clock: Clock | None = None
    listed: Callable[[], int] = lambda: 0


class Way:
    """Remember whether the last answer came from the store itself."""

    __slots__ = ("direct",)

    def __init__(self) -> None:
        self.direct = True

    def take(self, direct: bool, prefix: str) -> None:
        """Note where an answer comes from, and log a change of it."""
        if direct != self.direct:
            self.direct = direct
            events.emit(events.FOLLOWS, prefix=prefix, by="store" if direct else "hub")


def watchers(hubs: list[str]) -> list[str]:
    """Return the hubs that watch the store for all."""
    return sorted(hubs, key=lambda one: score(WATCHERS_KEY, one), reverse=True)[:WATCHERS]


def through_hubs(own: Store, deps: MirrorDeps, way: Way, patient: bool = False) -> Store:
    """Put the hubs before the listings and watches of a Store, in a large fleet.

    A patient process waits at its start for a watcher to list, where many start with it.
    """
    others = _Others(deps)

    async def list_(prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        if after == WHOLE_FROM_START:
            told = await (others.ask_first(prefix) if patient else others.ask(prefix, WHOLE, 0))
            if isinstance(told, Ok):
                way.take(False, prefix)
                return Ok(told_listing(told.ok_value))
        way.take(True, prefix)
        return await own.list(prefix, after, limit)

    async def watch(prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        await others.first_hub()
        told = await others.ask(prefix, since, wait_ms)
        way.take(told == Err(StoreError.UNAVAILABLE), prefix)
        if not way.direct:
            return told.map(told_changes)
        changes = await own.watch(prefix, since, wait_ms)
        # A listing beside this watch may have come another way meanwhile.
        way.take(True, prefix)
        return changes

    return own._replace(list=list_, watch=watch)


class _Others:
    """Ask the hub that this process shares with others, while it is heard."""

    def __init__(self, deps: MirrorDeps) -> None:
        self._deps = deps
        self._waiting: dict[str, list[Deferred[Any]]] = {}
        deps.hub.on_change(self._on_peers)
        clock = deps.clock
        self._born_ms = 0 if clock is None else clock.now()
        self._patient_until = 0 if clock is None else clock.now() + FIRST_HUB_MS

    async def ask_first(self, prefix: str) -> Result[StoreTell, StoreError]:
        """Return a hub's listing; just after a start among many, wait until one has it."""
        clock = self._deps.clock
        while clock is not None and not self._deps.listed():
            if clock.now() >= self._born_ms + SIZE_KNOWN_MS:
                break
            await clock.sleep(LOOK_MS)
        told = await self.ask(prefix, WHOLE, 0)
        while clock is not None and isinstance(told, Err) and self._waits_for_watcher(clock.now()):
            await clock.sleep(WHOLE_AGAIN_MS)
            told = await self.ask(prefix, WHOLE, 0)
        return told

    def _waits_for_watcher(self, now: int) -> bool:
        many = self._deps.listed() > MANY_PROCESSES
        watches = self._deps.me in watchers(self._deps.hubs())
        return many and not watches and now < self._born_ms + WATCHER_MS

    async def first_hub(self) -> None:
        """Wait, just after the start only, until there is somebody to ask."""
        clock = self._deps.clock
        while clock is not None and clock.now() < self._patient_until:
            plan = self._deps.hub.plan()
            in_mesh = plan.full_mesh and plan.neighbours
            if in_mesh or self._hub() is not None or self._deps.me in self._deps.hubs():
                return
            await clock.sleep(LOOK_MS)

    async def ask(self, prefix: str, since: int, wait_ms: int) -> Result[StoreTell, StoreError]:
        """Return a hub's answer; UNAVAILABLE says that there is none."""
        hub_id = self._hub()
        if hub_id is None:
            return Err(StoreError.UNAVAILABLE)
        asking = Deferred.fromCoroutine(
            self._deps.hub.ask(
                hub_id,
                lambda ask_id: MirrorAsk(ask_id, prefix, since, wait_ms),
                wait_ms + ANSWER_MS,
            )
        )
        ended: Deferred[Any] = Deferred()
        self._waiting.setdefault(hub_id, []).append(ended)
        asking.addBoth(lambda answer: self._end(hub_id, ended, answer))
        try:
            answer = await ended
        finally:
            # Nothing may wake this coroutine from here on: it may be closing.
            self._stop_waiting(hub_id, ended)
            if not asking.called:
                asking.cancel()
        if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreTell):
            if answer.ok_value.back_ms_ago != NEVER_AWAY:
                self._deps.store_back(answer.ok_value.back_ms_ago)
            return read_told(answer.ok_value)
        return Err(StoreError.UNAVAILABLE)

    def _end(self, hub_id: str, ended: Deferred[Any], answer: Any) -> None:
        """Wake who waits for an answer, if it still does."""
        if self._stop_waiting(hub_id, ended):
            ended.callback(answer)

    def _stop_waiting(self, hub_id: str, ended: Deferred[Any]) -> bool:
        waiting = self._waiting[hub_id]
        if ended not in waiting:
            return False
        waiting.remove(ended)
        return True

    def _hub(self) -> str | None:
        """Return the watcher that this process asks; None for the store itself."""
        deps = self._deps
        if deps.hub.plan().full_mesh:
            return None
        chosen = watchers(deps.hubs())
        if deps.me in chosen or not chosen:
            return None
        return max(chosen, key=lambda one: score(deps.me, one))

    def _on_peers(self) -> None:
        """Wait no longer for hubs that are silent or leave."""
        live = set(self._deps.hub.live())
        for hub_id, waiting in self._waiting.items():
            if hub_id not in live:
                for ended in list(waiting):
                    self._end(hub_id, ended, None)


def answer_from(hub: PeerHub, mirrors: dict[str, Mirror], back_ms_ago: Callable[[], int]) -> None:
    """Answer the processes that follow the store through this one."""

    def on_ask(peer_id: str, ask: MirrorAsk) -> None:
        done = Deferred.fromCoroutine(_answer(mirrors.get(ask.prefix), ask))
        done.addCallback(lambda tell: hub.tell(peer_id, tell._replace(back_ms_ago=back_ms_ago())))
        done.addErrback(report_failure, "mirror")

    hub.subscribe(MirrorAsk, on_ask)


async def _answer(mirror: Mirror | None, ask: MirrorAsk) -> StoreTell:
    if mirror is None:
        return StoreTell(ask.ask_id, StoreError.UNAVAILABLE.value)
    if ask.since == WHOLE:
        return listing_told(ask.ask_id, mirror.whole())
    return changes_told(ask.ask_id, await mirror.watch(ask.since, ask.wait_ms))
