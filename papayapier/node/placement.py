"""Request a replica for an online call from the hub that places the upstream's calls.

A hub that does not answer in time costs only that time: the instance then chooses a replica by its
own state, and sends requests to the next hub until the silent one has been detected as lost or
answers again. A hub that queues a request says so, and the instance keeps waiting for it.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Ok

from papayapier import events
from papayapier.clock import Clock, Millis
from papayapier.errors import ErrorKind, not_run
from papayapier.peer.hub import PeerHub
from papayapier.peer.placing_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.placers import NOT_PLACED, Parts, Placed, Wanting, placer_of
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import Replica

# A round trip between data centres takes 3 ms, and a hub notifies queued requests within about
# 20 ms. Waiting longer for a busy hub costs more than a second-best choice of replica.
ANSWER_MS: Final = 40
# A hub that did not answer gets no requests for this long. Heartbeats detect its loss within two
# seconds, and without this each call until then would wait in vain.
PASSED_OVER_MS: Final = 1_000
# A request queued at a hub that then becomes silent or leaves is sent once more, to the next hub. A
# request that was given a replica which is not listed here is sent once more to the same hub.
ASKS_MOST: Final = 2

Place = Callable[[RouteRequest, Wanting], Awaitable[Placed]]


class PlacingDeps(NamedTuple):
    """Hold the dependencies of placement requests.

    hubs returns the live hubs, parts the partitions of the replicas. With queue the hub may queue
    or refuse a call for which no replica has capacity.
    """

    clock: Clock
    rand: random.Random
    hub: PeerHub
    book: LoadBook
    outliers: Outliers
    hubs: Callable[[], list[str]]
    parts: Callable[[], Parts]
    queue: bool = False


def holds_for(deps: PlacingDeps, upstream: str) -> bool:
    """Return whether calls of an upstream are queued at a hub instead of at this instance."""
    if not deps.queue or deps.hub.plan().full_mesh:
        return False
    return upstream in deps.parts().keys and bool(deps.hubs())


def asking(deps: PlacingDeps) -> Place:
    """Return the function that places a call; its result is a replica, a refusal or neither."""

    passed_over: dict[str, Millis] = {}

    def placer(key: str) -> str | None:
        now = deps.clock.now()
        for hub_id in [one for one, until in passed_over.items() if until <= now]:
            del passed_over[hub_id]
        return placer_of(key, [one for one in deps.hubs() if one not in passed_over])

    async def place(req: RouteRequest, wanting: Wanting) -> Placed:
        if deps.hub.plan().full_mesh:
            return NOT_PLACED
        keys = deps.parts().keys.get(req.upstream)
        if not keys:
            return NOT_PLACED
        key = deps.rand.choice(keys)
        began = deps.clock.now()
        for _ in range(ASKS_MOST):
            hub_id = placer(key)
            if hub_id is None:
                return NOT_PLACED
            passed_ms = deps.clock.now() - began
            ask = _Ask(deps, hub_id, key, req, _later(wanting, passed_ms) if deps.queue else None)
            told = await ask.answer()
            if told is None and hub_id not in passed_over:
                events.emit(events.PLACER_SILENT, hub=hub_id, part=key, held=ask.held)
            if told is None or told.leaving:
                passed_over[hub_id] = Millis(deps.clock.now() + PASSED_OVER_MS)
                if told is None and not ask.held:
                    return NOT_PLACED
                continue
            if not deps.queue or not _is_unknown(deps, req, told):
                return _placed(told, key, deps.queue)
            # Either list of replicas is outdated; the resent request excludes the replica.
            events.emit(events.PLACED_UNKNOWN, hub=hub_id, part=key, replica=told.replica)
            deps.hub.tell(hub_id, Unanswered(told.replica))
            req = req._replace(exclude=req.exclude | {told.replica})
        return NOT_PLACED

    return place


def _is_unknown(deps: PlacingDeps, req: RouteRequest, told: PlaceTell) -> bool:
    usable = deps.book.usable(req.upstream, deps.clock.now())
    return bool(told.replica) and all(one.id != told.replica for one in usable)


class _Ask:
    """Send the placement request of one call to one hub, and wait for as long as it is queued."""

    def __init__(
        self, deps: PlacingDeps, hub_id: str, key: str, req: RouteRequest, wanting: Wanting | None
    ) -> None:
        self._deps = deps
        self._hub_id = hub_id
        self._key = key
        self._req = req
        self._wanting = wanting
        self._ask_id = 0
        self.held = False

    async def answer(self) -> PlaceTell | None:
        """Return the final answer, or None if the hub became silent."""
        waiting = True
        try:
            told = await self._deps.hub.ask(self._hub_id, self._message, ANSWER_MS)
            while isinstance(told, Ok) and isinstance(told.ok_value, PlaceTell):
                if not told.ok_value.held_ms:
                    waiting = False
                    return told.ok_value
                self.held = True
                wait_ms = told.ok_value.held_ms + ANSWER_MS
                told = await self._deps.hub.ask_on(self._hub_id, self._ask_id, wait_ms)
            return None
        finally:
            # The caller has left, or the request goes to another hub.
            if waiting and self._wanting is not None:
                self._deps.hub.tell(self._hub_id, PlaceLeft(self._ask_id))

    def _message(self, ask_id: int) -> PlaceAsk:
        self._ask_id = ask_id
        req, wanting = self._req, self._wanting
        shunned = tuple(_shunned(self._deps, req))
        ask = PlaceAsk(ask_id, self._key, req.prefix, req.data_centre, shunned)
        if wanting is None:
            return ask
        return ask._replace(
            caller=wanting.caller,
            rank=wanting.rank,
            aim_ms=wanting.aim_ms,
            left_ms=wanting.left_ms,
            return_ms=wanting.return_ms,
        )


def _shunned(deps: PlacingDeps, req: RouteRequest) -> set[str]:
    """Return the replicas to avoid, by the results of calls that this instance has made."""
    now = deps.clock.now()
    shunned = set(req.exclude)
    for one in deps.book.usable(req.upstream, now):
        returning = not req.idempotent and deps.outliers.returning(one.id)
        if returning or deps.outliers.ejected(one.id, now):
            shunned.add(one.id)
    return shunned


def _later(wanting: Wanting, passed_ms: int) -> Wanting:
    """Return the remaining times after some time has passed."""
    return wanting._replace(
        aim_ms=max(1, wanting.aim_ms - passed_ms),
        left_ms=max(1, wanting.left_ms - passed_ms),
        return_ms=max(0, wanting.return_ms - passed_ms),
    )


def _placed(told: PlaceTell, key: str, has_room: bool) -> Placed:
    if told.after_ms:
        reason = f"no replica of {key} has free capacity in time"
        return Placed(refusal=not_run(ErrorKind.NO_ROOM, reason, told.after_ms))
    return Placed(told.replica, has_room=has_room and bool(told.replica))


def telling_unanswered(deps: PlacingDeps) -> Callable[[Replica], None]:
    """Return the function that reports an unresponsive replica to the hub that places there."""

    def tell(replica: Replica) -> None:
        key = deps.parts().key_of.get(replica.id)
        if not deps.queue or deps.hub.plan().full_mesh or key is None:
            return
        hub_id = placer_of(key, deps.hubs())
        if hub_id is not None:
            deps.hub.tell(hub_id, Unanswered(replica.id))

    return tell
