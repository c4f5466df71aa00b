"""Call the platform's store through a peer when it refuses this process or does not answer.

The store may answer some machines and not others, or the network between one machine and the store
may fail. Without the relay such a process refuses batch jobs, does not know what is listed, and
sends to replicas that have been removed, although a process next to it can read and write the
store. Only calls that are safe to repeat are relayed: reads, and conditional writes, which take
effect once.

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
    check_reply,
    decode_changes,
    decode_listing,
    encode_changes,
    encode_listing,
)
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import Message, StoreAsk, StoreTell
from papayapier.store.api import Changes, Listing, Store, Stored, StoreError
from papayapier.store.watch import log_failure

T = TypeVar("T")

# The store answers in about 4 ms, and in 200 ms when it is fifty times slower than usual.
RELAY_AFTER_MS: Final = 250
REQUEST_TIMEOUT_MS: Final = 1_000
MAX_PEERS: Final = 2

GET: Final = "get"
CREATE: Final = "create"
UPDATE: Final = "update"
LIST: Final = "list"
WATCH: Final = "watch"
UNCERTAIN_REPLY: Final = StoreTell(0, StoreError.LOST.value)
# No peer was available, so nothing was sent.
NO_PEER_REPLY: Final = StoreTell(0, StoreError.UNAVAILABLE.value)
NO_ID: Final = 0


class RelayDeps(NamedTuple):
    """Hold the dependencies of the relay.

    is_down returns whether direct calls to the store are known to fail.
    """

    clock: Clock
    rand: random.Random
    hub: PeerHub
    is_down: Callable[[], bool]


def with_relay(own: Store, deps: RelayDeps) -> Store:
    """Return a Store that uses peers when direct calls fail or are late."""
    relay = _Relay(deps)

    async def get(key: str) -> Result[Stored, StoreError]:
        async def relay_call() -> Result[Stored, StoreError]:
            reply = await relay.send(StoreAsk(NO_ID, GET, key))
            return check_reply(reply).map(
                lambda checked: Stored(key, checked.version, checked.value)
            )

        return await relay.race_calls(lambda: own.get(key), relay_call)

    async def create(key: str, value: bytes) -> Result[int, StoreError]:
        async def relay_call() -> Result[int, StoreError]:
            return _write_result(await relay.send(StoreAsk(NO_ID, CREATE, key, value)))

        return await relay.race_calls(lambda: own.create(key, value), relay_call)

    async def update(key: str, value: bytes, version: int) -> Result[int, StoreError]:
        async def relay_call() -> Result[int, StoreError]:
            return _write_result(await relay.send(StoreAsk(NO_ID, UPDATE, key, value, version)))

        return await relay.race_calls(lambda: own.update(key, value, version), relay_call)

    async def list_(prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        async def relay_call() -> Result[Listing, StoreError]:
            reply = await relay.send(StoreAsk(NO_ID, LIST, prefix, after=after))
            return check_reply(reply).map(decode_listing)

        return await relay.race_calls(lambda: own.list(prefix, after, limit), relay_call)

    async def watch(prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        if not deps.is_down():
            return await own.watch(prefix, since, wait_ms)
        call = StoreAsk(NO_ID, WATCH, prefix, version=since, wait_ms=wait_ms)
        return check_reply(await relay.send(call, wait_ms)).map(decode_changes)

    return own._replace(get=get, create=create, update=update, list=list_, watch=watch)


class _Relay:
    """Send store calls to peers, first to the peer that answered last."""

    def __init__(self, deps: RelayDeps) -> None:
        self._deps = deps
        self._last_good_peer = ""

    async def race_calls(
        self,
        own: Callable[[], Awaitable[Result[T, StoreError]]],
        relay_call: Callable[[], Awaitable[Result[T, StoreError]]],
    ) -> Result[T, StoreError]:
        """Return the first definite answer of a direct call and a relayed call."""
        race: _Race[T] = _Race()
        race.run(own)
        timer = self._deps.clock.call_later(RELAY_AFTER_MS, lambda: race.run(relay_call))
        try:
            result = await race.done
        finally:
            if timer.active():
                timer.cancel()
        if _is_definite(result) or race.runs > 1:
            return result
        return await _relay_after_failure(result, relay_call)

    async def send(self, call: StoreAsk, wait_ms: int = 0) -> StoreTell:
        """Send a call to peers until one of them has reached the store."""
        last_reply = NO_PEER_REPLY
        uncertain = False
        for peer_id in self._peers():
            answer = await self._deps.hub.send_request(
                peer_id,
                lambda correlation_id: call._replace(correlation_id=correlation_id),
                REQUEST_TIMEOUT_MS + wait_ms,
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreTell):
                last_reply = answer.ok_value
                if last_reply.error not in _NOT_REACHED:
                    self._last_good_peer = peer_id
                    return last_reply
                uncertain |= last_reply.error == StoreError.LOST.value
            else:
                # A peer that did not answer may still make the call.
                uncertain = True
        return UNCERTAIN_REPLY if uncertain else last_reply

    def _peers(self) -> list[str]:
        live = [view.id for view in self._deps.hub.views() if view.up and not view.leaving]
        self._deps.rand.shuffle(live)
        live.sort(key=lambda peer_id: peer_id != self._last_good_peer)
        return live[:MAX_PEERS]


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
        self.done: Deferred[Result[T, StoreError]] = Deferred()
        self._pending = 0
        self._lost: Result[T, StoreError] | None = None

    def run(self, make_call: Callable[[], Awaitable[Result[T, StoreError]]]) -> None:
        self.runs += 1
        self._pending += 1
        Deferred.fromCoroutine(_as_coroutine(make_call)).addBoth(self._on_outcome)

    def _on_outcome(self, outcome: "Result[T, StoreError] | Failure") -> None:
        self._pending -= 1
        if isinstance(outcome, Failure):
            events.emit(events.STORE_TASK_FAILED, task="relay", reason=repr(outcome.value))
            outcome = Err(StoreError.LOST)
        if outcome == Err(StoreError.LOST):
            self._lost = outcome
        if not self.done.called and (_is_definite(outcome) or not self._pending):
            self.done.callback(outcome if _is_definite(outcome) else self._lost or outcome)


async def _as_coroutine(
    make_call: Callable[[], Awaitable[Result[T, StoreError]]],
) -> Result[T, StoreError]:
    return await make_call()


async def _relay_after_failure(
    direct_result: Result[T, StoreError], relay_call: Callable[[], Awaitable[Result[T, StoreError]]]
) -> Result[T, StoreError]:
    """Relay a call after the direct call has failed; a lost write stays uncertain."""
    relayed_result = await relay_call()
    return (
        relayed_result
        if _is_definite(relayed_result) or direct_result != Err(StoreError.LOST)
        else direct_result
    )


def _is_definite(result: Result[T, StoreError]) -> bool:
    return isinstance(result, Ok) or result.err_value not in (
        StoreError.UNAVAILABLE,
        StoreError.LOST,
        StoreError.LIMITED,
    )


def _write_result(reply: StoreTell) -> Result[int, StoreError]:
    return Err(StoreError(reply.error)) if reply.error else Ok(reply.version)


def serve_store_calls(hub: PeerHub, own: Store) -> None:
    """Make store calls for peers, only directly and never through another peer."""

    def on_request(peer_id: str, request: StoreAsk) -> None:
        done = Deferred.fromCoroutine(_perform(own, request))
        done.addCallback(lambda reply: hub.send(peer_id, reply))
        done.addErrback(log_failure, "relay")

    hub.subscribe(StoreAsk, on_request)


async def _perform(own: Store, request: StoreAsk) -> Message:
    reply = StoreTell(request.correlation_id, "")
    if request.call == GET:
        stored = await own.get(request.key)
        if isinstance(stored, Ok):
            return reply._replace(version=stored.ok_value.version, value=stored.ok_value.value)
        return reply._replace(error=stored.err_value.value)
    if request.call == LIST:
        return encode_listing(request.correlation_id, await own.list(request.key, request.after, 0))
    if request.call == WATCH:
        return encode_changes(
            request.correlation_id, await own.watch(request.key, request.version, request.wait_ms)
        )
    if request.call == CREATE:
        written = await own.create(request.key, request.value)
    else:
        written = await own.update(request.key, request.value, request.version)
    if isinstance(written, Err):
        return reply._replace(error=written.err_value.value)
    return reply._replace(version=written.ok_value)
