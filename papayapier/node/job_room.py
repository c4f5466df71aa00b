"""Ask the hub that knows of the room at an upstream whether a job can be done, and answer."""

from collections.abc import Awaitable, Callable
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.node.base import NodeBase
from papayapier.peer.messages import Heartbeat, JobLoad, RoomAsk, RoomTell
from papayapier.policy.job_room import GRANTED, JobAsked, JobRoom, slots_left
from papayapier.policy.placers import placer_of
from papayapier.store.watch import report_failure

# The way there and back takes 3 ms between data centres. Where nothing is heard in time the job is
# accepted: what nobody can tell to be too much is not refused.
ANSWER_MS: Final = 100
SAMPLE_MS: Final = 200
ROOM_KEY: Final = "room"


def asking_room(base: NodeBase) -> Callable[[JobAsked], Awaitable[int]]:
    """Make the function that returns GRANTED, or in how many ms there will be room."""

    async def room(asked: JobAsked) -> int:
        hubs = [one for one in base.hub.plan().hubs if one in base.hub.live()]
        hub_id = placer_of(f"{ROOM_KEY}/{asked.upstream}", hubs)
        if hub_id is None or asked.due_ms <= 0:
            return GRANTED
        told = await base.hub.ask(hub_id, lambda ask_id: RoomAsk(ask_id, *asked), ANSWER_MS)
        if isinstance(told, Ok) and isinstance(told.ok_value, RoomTell):
            return told.ok_value.retry_ms
        return GRANTED

    return room


def answer_room(base: NodeBase, own_loads: Callable[[], tuple[JobLoad, ...]]) -> "Deferred[None]":
    """Answer entries that ask; return the task that watches the slots that online calls leave."""
    hub = base.hub
    me = base.cfg.instance.id
    room = JobRoom(hub.live)

    def on_beat(peer_id: str, beat: Heartbeat) -> None:
        if beat.jobs:
            room.on_loads(peer_id, beat.jobs, base.clock.now())

    def on_ask(peer_id: str, ask: RoomAsk) -> None:
        now = base.clock.now()
        room.on_loads(me, own_loads(), now)
        asked = JobAsked(ask.job_id, ask.upstream, ask.items, ask.due_ms)
        hub.tell(peer_id, RoomTell(ask.ask_id, room.retry_ms(asked, now)))

    async def sample() -> None:
        while True:
            await base.clock.sleep(SAMPLE_MS)
            table = base.routing.table()
            now = base.clock.now()
            for upstream in () if table is None else table.job_upstreams:
                room.on_slots(upstream, slots_left(base.book, upstream, now), now)

    hub.subscribe(Heartbeat, on_beat)
    hub.subscribe(RoomAsk, on_ask)
    task = Deferred.fromCoroutine(sample())
    task.addErrback(report_failure, "job room")
    return task
