"""Call the platform's store through a peer when it refuses this process or does not answer.

The store may answer some machines and not others, or the network between one machine and the store
may fail. Without the relay such a process refuses batch jobs, does not know what is listed, and
sends to replicas that have gone, although a process next to it can read and write the store. Only
calls that are safe to repeat are relayed: reads, and conditional writes, which take effect once.

A call whose direct answer is late is sent through a peer as well, and the first definite answer
counts. If both copies of a create reach the store, the second gets a conflict with the first;
callers of create then read the object, as they must after any lost answer.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, Generic, NamedTuple, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

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
from papayapier.peer.messages import Message, StoreAsk, StoreTell
from papayapier.store.api import Changes, Listing, Store, Stored, StoreError
from papayapier.store.watch import report_failure

T = TypeVar("T")

# The store answers in about 4 ms, and in 200 ms when it is fifty times slower than usual.
LATE_MS: Final = 250
ASK_MS: Final = 1_000
PEERS_TRIED: Final = 2

GET: Final = "get"
CREATE: Final = "create"
UPDATE: Final = "update"
LIST: Final = "list"
WATCH: Final = "watch"
ASK_FAILED: Final = StoreTell(0, StoreError.LOST.value)
# No peer was available, so nothing was sent.
NOBODY: Final = StoreTell(0, StoreError.UNAVAILABLE.value)
NO_ID: Final = 0


class RelayDeps(NamedTuple):
    """Hold the dependencies of the relay.

    down returns whether direct calls to the store are known to fail.
    """

    clock: Clock
    rand: random.Random
    hub: PeerHub
    down: Callable[[], bool]


def relayed(own: Store, deps: RelayDeps) -> Store:
    """Return a Store that uses peers when direct calls fail or are late."""
    relay = _Relay(deps)

    async def get(key: str) -> Result[Stored, StoreError]:
        async def ask() -> Result[Stored, StoreError]:
            told = await relay.ask(StoreAsk(NO_ID, GET, key))
            return read_told(told).map(lambda tell: Stored(key, tell.version, tell.value))

        return await relay.either(lambda: own.get(key), ask)

    async def create(key: str, value: bytes) -> Result[int, StoreError]:
        async def ask() -> Result[int, StoreError]:
            return _written(await relay.ask(StoreAsk(NO_ID, CREATE, key, value)))

        return await relay.either(lambda: own.create(key, value), ask)

    async def update(key: str, value: bytes, version: int) -> Result[int, StoreError]:
        async def ask() -> Result[int, StoreError]:
            return _written(await relay.ask(StoreAsk(NO_ID, UPDATE, key, value, version)))

        return await relay.either(lambda: own.update(key, value, version), ask)

    async def list_(prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        async def ask() -> Result[Listing, StoreError]:
            told = await relay.ask(StoreAsk(NO_ID, LIST, prefix, after=after))
            return read_told(told).map(told_listing)

        return await relay.either(lambda: own.list(prefix, after, limit), ask)

    async def watch(prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        if not deps.down():
            return await own.watch(prefix, since, wait_ms)
        ask = StoreAsk(NO_ID, WATCH, prefix, version=since, wait_ms=wait_ms)
        return read_told(await relay.ask(ask, wait_ms)).map(told_changes)

    return own._replace(get=get, create=create, update=update, list=list_, watch=watch)


class _Relay:
    """Send store calls to peers, first to the peer that answered last."""

    def __init__(self, deps: RelayDeps) -> None:
        self._deps = deps
        self._good = ""

    async def either(
        self,
        own: Callable[[], Awaitable[Result[T, StoreError]]],
        ask: Callable[[], Awaitable[Result[T, StoreError]]],
    ) -> Result[T, StoreError]:
        """Return the first definite answer of a direct call and a relayed call."""
        race: _Race[T] = _Race()
        race.run(own)
        timer = self._deps.clock.call_later(LATE_MS, lambda: race.run(ask))
        try:
            ended = await race.ended
        finally:
            if timer.active():
                timer.cancel()
        if _definite(ended) or race.runs > 1:
            return ended
        return await _after(ended, ask)

    async def ask(self, ask: StoreAsk, wait_ms: int = 0) -> StoreTell:
        """Send a call to peers until one of them has reached the store."""
        told = NOBODY
        in_doubt = False
        for peer_id in self._peers():
            answer = await self._deps.hub.ask(
                peer_id, lambda ask_id: ask._replace(ask_id=ask_id), ASK_MS + wait_ms
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreTell):
                told = answer.ok_value
                if told.error not in _NOT_REACHED:
                    self._good = peer_id
                    return told
                in_doubt |= told.error == StoreError.LOST.value
            else:
                # A peer that did not answer may still make the call.
                in_doubt = True
        return ASK_FAILED if in_doubt else told

    def _peers(self) -> list[str]:
        up = [view.id for view in self._deps.hub.views() if view.up and not view.leaving]
        self._deps.rand.shuffle(up)
        up.sort(key=lambda one: one != self._good)
        return up[:PEERS_TRIED]


_NOT_REACHED: Final = frozenset(
    {StoreError.UNAVAILABLE.value, StoreError.LOST.value, StoreError.LIMITED.value}
)


class _Race(Generic[T]):
    """Run up to two copies of one call, and finish with the first definite answer.

    If neither is definite, the result is the last answer, or LOST if either was LOST, because that
    copy may still take effect.
    """

    def __init__(self) -> None:
        self.runs = 0
        self.ended: Deferred[Result[T, StoreError]] = Deferred()
        self._open = 0
        self._lost: Result[T, StoreError] | None = None

    def run(self, way: Callable[[], Awaitable[Result[T, StoreError]]]) -> None:
        self.runs += 1
        self._open += 1
        Deferred.fromCoroutine(_as_coroutine(way)).addBoth(self._on_end)

    def _on_end(self, end: "Result[T, StoreError] | Failure") -> None:
        self._open -= 1
        if isinstance(end, Failure):
            events.emit(events.STORE_TASK_FAILED, task="relay", reason=repr(end.value))
            end = Err(StoreError.LOST)
        if end == Err(StoreError.LOST):
            self._lost = end
        if not self.ended.called and (_definite(end) or not self._open):
            self.ended.callback(end if _definite(end) else self._lost or end)


async def _as_coroutine(
    way: Callable[[], Awaitable[Result[T, StoreError]]],
) -> Result[T, StoreError]:
    return await way()


async def _after(
    first: Result[T, StoreError], ask: Callable[[], Awaitable[Result[T, StoreError]]]
) -> Result[T, StoreError]:
    """Relay a call after the direct call has failed; a lost write stays uncertain."""
    second = await ask()
    return second if _definite(second) or first != Err(StoreError.LOST) else first


def _definite(end: Result[T, StoreError]) -> bool:
    return isinstance(end, Ok) or end.err_value not in (
        StoreError.UNAVAILABLE,
        StoreError.LOST,
        StoreError.LIMITED,
    )


def _written(told: StoreTell) -> Result[int, StoreError]:
    return Err(StoreError(told.error)) if told.error else Ok(told.version)


def answer_peers(hub: PeerHub, own: Store) -> None:
    """Make store calls for peers, only directly and never through another peer."""

    def on_ask(peer_id: str, ask: StoreAsk) -> None:
        done = Deferred.fromCoroutine(_perform(own, ask))
        done.addCallback(lambda tell: hub.tell(peer_id, tell))
        done.addErrback(report_failure, "relay")

    hub.subscribe(StoreAsk, on_ask)


async def _perform(own: Store, ask: StoreAsk) -> Message:
    tell = StoreTell(ask.ask_id, "")
    if ask.call == GET:
        got = await own.get(ask.key)
        if isinstance(got, Ok):
            return tell._replace(version=got.ok_value.version, value=got.ok_value.value)
        return tell._replace(error=got.err_value.value)
    if ask.call == LIST:
        return listing_told(ask.ask_id, await own.list(ask.key, ask.after, 0))
    if ask.call == WATCH:
        return changes_told(ask.ask_id, await own.watch(ask.key, ask.version, ask.wait_ms))
    if ask.call == CREATE:
        written = await own.create(ask.key, ask.value)
    else:
        written = await own.update(ask.key, ask.value, ask.version)
    if isinstance(written, Err):
        return tell._replace(error=written.err_value.value)
    return tell._replace(version=written.ok_value)
