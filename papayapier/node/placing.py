"""Ask the hub that places an upstream's online calls for a replica, and answer such asks.

A hub that does not answer within a moment costs that moment and nothing else: the instance then
chooses by what it knows itself, and asks the next hub until the silent one had time to be missed
or to answer again.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

from result import Ok

from papayapier import events
from papayapier.clock import Clock, Millis
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import PlaceAsk, PlaceTell
from papayapier.policy.loads import LoadBook
from papayapier.policy.outliers import Outliers
from papayapier.policy.placers import Parts, placer_of, upstream_of
from papayapier.policy.routing import RouteRequest, choose

# The way there and back takes 3 ms between data centres; a hub that is busy for longer than this
# is slower than a second-best choice.
ANSWER_MS: Final = 25
# For how long a hub that did not answer is passed over. Heartbeats tell of its loss in two seconds,
# and each call until then would wait for nothing.
PASSED_OVER_MS: Final = 1_000
NONE: Final = ""

Place = Callable[[RouteRequest], Awaitable[str | None]]


class PlacingDeps(NamedTuple):
    """Group what placing works with; hubs names the live ones, parts deals the replicas out."""

    clock: Clock
    rand: random.Random
    hub: PeerHub
    book: LoadBook
    outliers: Outliers
    hubs: Callable[[], list[str]]
    parts: Callable[[], Parts]


def asking(deps: PlacingDeps) -> Place:
    """Make the function that returns a replica's id for an online call, or None."""

    passed_over: dict[str, Millis] = {}

    def placer(key: str) -> str | None:
        now = deps.clock.now()
        for hub_id in [one for one, until in passed_over.items() if until <= now]:
            del passed_over[hub_id]
        return placer_of(key, [one for one in deps.hubs() if one not in passed_over])

    async def place(req: RouteRequest) -> str | None:
        if deps.hub.plan().full_mesh:
            return None
        keys = deps.parts().keys.get(req.upstream)
        if not keys:
            return None
        key = deps.rand.choice(keys)
        hub_id = placer(key)
        if hub_id is None:
            return None
        now = deps.clock.now()
        known = deps.book.usable(req.upstream, now)
        shunned = set(req.exclude)
        for one in known:
            # How replicas answer is known where their answers come.
            returning = not req.idempotent and deps.outliers.returning(one.id)
            if returning or deps.outliers.ejected(one.id, now):
                shunned.add(one.id)
        told = await deps.hub.ask(
            hub_id,
            lambda ask_id: PlaceAsk(ask_id, key, req.prefix, req.data_centre, tuple(shunned)),
            ANSWER_MS,
        )
        if isinstance(told, Ok) and isinstance(told.ok_value, PlaceTell):
            return told.ok_value.replica or None
        if hub_id not in passed_over:
            events.emit(events.PLACER_SILENT, hub=hub_id, part=key)
        passed_over[hub_id] = Millis(deps.clock.now() + PASSED_OVER_MS)
        return None

    return place


def answer_places(deps: PlacingDeps) -> None:
    """Place calls for peers that ask."""

    def on_ask(peer_id: str, ask: PlaceAsk) -> None:
        now = deps.clock.now()
        req = RouteRequest(
            upstream_of(ask.part),
            ask.prompt,
            ask.data_centre,
            frozenset(ask.shunned),
            told=True,
            fresh=True,
            within=deps.parts().members.get(ask.part, frozenset()),
        )
        chosen = choose(deps.book, deps.outliers, req, deps.rand, now) if req.within else None
        if chosen is not None:
            deps.book.on_placed(peer_id, chosen, now)
        deps.hub.tell(peer_id, PlaceTell(ask.ask_id, chosen or NONE))

    deps.hub.subscribe(PlaceAsk, on_ask)
