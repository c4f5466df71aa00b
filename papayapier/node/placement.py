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
from papayapier.errors import ErrorKind, not_run_refusal
from papayapier.peer.hub import PeerHub
from papayapier.peer.placement_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.placers import UNDECIDED, Partitions, Placement, PlacementNeeds, placer_of
from papayapier.policy.routing import RouteRequest
from papayapier.upstream.api import Replica

# A round trip between data centres takes 3 ms, and a hub notifies queued requests within about
# 20 ms. Waiting longer for a busy hub costs more than a second-best choice of replica.
ANSWER_MS: Final = 40
# A hub that did not answer gets no requests for this long. Heartbeats detect its loss within two
# seconds, and without this each call until then would wait in vain.
SKIP_SILENT_MS: Final = 1_000
# A request queued at a hub that then becomes silent or leaves is sent once more, to the next hub. A
# request that was given a replica which is not listed here is sent once more to the same hub.
MAX_REQUESTS: Final = 2

Place = Callable[[RouteRequest, PlacementNeeds], Awaitable[Placement]]


class PlacementDeps(NamedTuple):
    """Hold the dependencies of placement requests.

    hubs returns the live hubs, partitions those of the upstreams' replicas. With queue the hub may
    queue or refuse a call for which no replica has capacity.
    """

    clock: Clock
    rand: random.Random
    hub: PeerHub
    load_tracker: LoadTracker
    outliers: OutlierDetector
    hubs: Callable[[], list[str]]
    partitions: Callable[[], Partitions]
    queue: bool = False


def queues_at_hub(deps: PlacementDeps, upstream: str) -> bool:
    """Return whether calls of an upstream are queued at a hub instead of at this instance."""
    if not deps.queue or deps.hub.plan().full_mesh:
        return False
    return upstream in deps.partitions().keys and bool(deps.hubs())


def make_place(deps: PlacementDeps) -> Place:
    """Return the function that places a call; its result is a replica, a refusal or neither."""

    skipped_until: dict[str, Millis] = {}

    def next_hub(key: str) -> str | None:
        now = deps.clock.now()
        for hub_id in [hub for hub, until in skipped_until.items() if until <= now]:
            del skipped_until[hub_id]
        return placer_of(key, [hub for hub in deps.hubs() if hub not in skipped_until])

    async def place(req: RouteRequest, needs: PlacementNeeds) -> Placement:
        if deps.hub.plan().full_mesh:
            return UNDECIDED
        keys = deps.partitions().keys.get(req.upstream)
        if not keys:
            return UNDECIDED
        key = deps.rand.choice(keys)
        began_ms = deps.clock.now()
        for _ in range(MAX_REQUESTS):
            hub_id = next_hub(key)
            if hub_id is None:
                return UNDECIDED
            passed_ms = deps.clock.now() - began_ms
            request = _PlacementRequest(
                deps, hub_id, key, req, _after_delay(needs, passed_ms) if deps.queue else None
            )
            reply = await request.answer()
            if reply is None and hub_id not in skipped_until:
                events.emit(events.PLACER_SILENT, hub=hub_id, part=key, held=request.queued)
            if reply is None or reply.leaving:
                skipped_until[hub_id] = Millis(deps.clock.now() + SKIP_SILENT_MS)
                if reply is None and not request.queued:
                    return UNDECIDED
                continue
            if not deps.queue or not _is_unknown(deps, req, reply):
                return _placed(reply, key, deps.queue)
            # Either list of replicas is outdated; the resent request excludes the replica.
            events.emit(events.PLACED_UNKNOWN, hub=hub_id, part=key, replica=reply.replica)
            deps.hub.send(hub_id, Unanswered(reply.replica))
            req = req._replace(exclude=req.exclude | {reply.replica})
        return UNDECIDED

    return place


def _is_unknown(deps: PlacementDeps, req: RouteRequest, reply: PlaceTell) -> bool:
    usable = deps.load_tracker.usable_replicas(req.upstream, deps.clock.now())
    return bool(reply.replica) and all(replica.id != reply.replica for replica in usable)


class _PlacementRequest:
    """Send the placement request of one call to one hub, and wait for as long as it is queued."""

    def __init__(
        self,
        deps: PlacementDeps,
        hub_id: str,
        key: str,
        req: RouteRequest,
        needs: PlacementNeeds | None,
    ) -> None:
        self._deps = deps
        self._hub_id = hub_id
        self._key = key
        self._req = req
        self._needs = needs
        self._correlation_id = 0
        self.queued = False

    async def answer(self) -> PlaceTell | None:
        """Return the final answer, or None if the hub became silent."""
        unfinished = True
        try:
            reply = await self._deps.hub.send_request(self._hub_id, self._message, ANSWER_MS)
            while isinstance(reply, Ok) and isinstance(reply.ok_value, PlaceTell):
                if not reply.ok_value.queued_ms:
                    unfinished = False
                    return reply.ok_value
                self.queued = True
                wait_ms = reply.ok_value.queued_ms + ANSWER_MS
                reply = await self._deps.hub.wait_further_reply(
                    self._hub_id, self._correlation_id, wait_ms
                )
            return None
        finally:
            # The caller has left, or the request goes to another hub.
            if unfinished and self._needs is not None:
                self._deps.hub.send(self._hub_id, PlaceLeft(self._correlation_id))

    def _message(self, correlation_id: int) -> PlaceAsk:
        self._correlation_id = correlation_id
        req, needs = self._req, self._needs
        excluded = tuple(_excluded(self._deps, req))
        message = PlaceAsk(correlation_id, self._key, req.prefix, req.data_centre, excluded)
        if needs is None:
            return message
        return message._replace(
            caller=needs.caller,
            rank=needs.rank,
            objective_ms=needs.objective_ms,
            timeout_ms=needs.timeout_ms,
            retry_within_ms=needs.retry_within_ms,
        )


def _excluded(deps: PlacementDeps, req: RouteRequest) -> set[str]:
    """Return the replicas to avoid, by the results of calls that this instance has made."""
    now = deps.clock.now()
    excluded = set(req.exclude)
    for replica in deps.load_tracker.usable_replicas(req.upstream, now):
        returning = not req.idempotent and deps.outliers.is_returning(replica.id)
        if returning or deps.outliers.is_ejected(replica.id, now):
            excluded.add(replica.id)
    return excluded


def _after_delay(needs: PlacementNeeds, passed_ms: int) -> PlacementNeeds:
    """Return the remaining times after some time has passed."""
    return needs._replace(
        objective_ms=max(1, needs.objective_ms - passed_ms),
        timeout_ms=max(1, needs.timeout_ms - passed_ms),
        retry_within_ms=max(0, needs.retry_within_ms - passed_ms),
    )


def _placed(reply: PlaceTell, key: str, has_capacity: bool) -> Placement:
    if reply.retry_after_ms:
        reason = f"no replica of {key} has free capacity in time"
        return Placement(refusal=not_run_refusal(ErrorKind.NO_ROOM, reason, reply.retry_after_ms))
    return Placement(reply.replica, has_capacity=has_capacity and bool(reply.replica))


def make_report_unanswered(deps: PlacementDeps) -> Callable[[Replica], None]:
    """Return the function that reports an unresponsive replica to the hub that places there."""

    def report(replica: Replica) -> None:
        key = deps.partitions().key_of.get(replica.id)
        if not deps.queue or deps.hub.plan().full_mesh or key is None:
            return
        hub_id = placer_of(key, deps.hubs())
        if hub_id is not None:
            deps.hub.send(hub_id, Unanswered(replica.id))

    return report
