"""Ask the hub that places an upstream's online calls for a replica.

A hub that does not answer within a moment costs that moment and nothing else: the instance then
chooses by what it knows itself, and asks the next hub until the silent one had time to be missed
or to answer again. One that holds an ask until it is its turn says so, and is waited for.
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

# The way there and back takes 3 ms between data centres, and whoever waits is told so within some
# 20; a hub that is busy for longer than this is slower than a second-best choice.
ANSWER_MS: Final = 40
# For how long a hub that did not answer is passed over. Heartbeats tell of its loss in two seconds,
# and each call until then would wait for nothing.
PASSED_OVER_MS: Final = 1_000
# An ask that was held by a hub which then fell silent or leaves goes to the next one, once; one
# that was given a replica which is not listed here goes to the same one.
ASKS_MOST: Final = 2

Place = Callable[[RouteRequest, Wanting], Awaitable[Placed]]


class PlacingDeps(NamedTuple):
    """Group what placing works with; hubs names the live ones, parts deals the replicas out.

    With queue the hub may hold or refuse a call that finds no room.
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
    """Tell whether calls of an upstream wait at a hub, and so not here."""
    if not deps.queue or deps.hub.plan().full_mesh:
        return False
    return upstream in deps.parts().keys and bool(deps.hubs())


def asking(deps: PlacingDeps) -> Place:
    """Make the function that returns what became of a call: a replica, a refusal or neither."""

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
            # One of both lists is old; asked again, the hub has no use for the replica now.
            events.emit(events.PLACED_UNKNOWN, hub=hub_id, part=key, replica=told.replica)
            deps.hub.tell(hub_id, Unanswered(told.replica))
            req = req._replace(exclude=req.exclude | {told.replica})
        return NOT_PLACED

    return place


def _is_unknown(deps: PlacingDeps, req: RouteRequest, told: PlaceTell) -> bool:
    usable = deps.book.usable(req.upstream, deps.clock.now())
    return bool(told.replica) and all(one.id != told.replica for one in usable)


class _Ask:
    """Ask one hub for one call, and wait for as long as it holds the ask."""

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
        """Return the last word on the ask, or None if the hub fell silent."""
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
            # Its caller has left, or it asks elsewhere now.
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
    """Return the replicas that are not wanted: how they answer is known where answers come."""
    now = deps.clock.now()
    shunned = set(req.exclude)
    for one in deps.book.usable(req.upstream, now):
        returning = not req.idempotent and deps.outliers.returning(one.id)
        if returning or deps.outliers.ejected(one.id, now):
            shunned.add(one.id)
    return shunned


def _later(wanting: Wanting, passed_ms: int) -> Wanting:
    """Return what is wanted some time later."""
    return wanting._replace(
        aim_ms=max(1, wanting.aim_ms - passed_ms),
        left_ms=max(1, wanting.left_ms - passed_ms),
        return_ms=max(0, wanting.return_ms - passed_ms),
    )


def _placed(told: PlaceTell, key: str, has_room: bool) -> Placed:
    if told.after_ms:
        reason = f"no replica of {key} has room in time"
        return Placed(refusal=not_run(ErrorKind.NO_ROOM, reason, told.after_ms))
    return Placed(told.replica, has_room=has_room and bool(told.replica))


def telling_unanswered(deps: PlacingDeps) -> Callable[[Replica], None]:
    """Make the function that tells who places calls at a replica of one without an answer."""

    def tell(replica: Replica) -> None:
        key = deps.parts().key_of.get(replica.id)
        if not deps.queue or deps.hub.plan().full_mesh or key is None:
            return
        hub_id = placer_of(key, deps.hubs())
        if hub_id is not None:
            deps.hub.tell(hub_id, Unanswered(replica.id))

    return tell
