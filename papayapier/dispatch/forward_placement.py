"""Choose the replica for a forwarded request, also while its present replica is silent."""

from functools import partial
from typing import Final

from result import Err, Ok, Result

from papayapier.dispatch.forward_state import ForwardDeps, ForwardProgress, RawRequest
from papayapier.dispatch.retrying import (
    NO_EXCLUDED_REPLICAS,
    excluded_while_silent,
    may_move_silent,
)
from papayapier.dispatch.silent_sends import SilentSend, SilentSendDeps
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.policy.placers import PlacementNeeds
from papayapier.policy.routing import RouteRequest, has_room, pick_replica
from papayapier.policy.stream_versions import replicas_of_version, version_gone_refusal
from papayapier.policy.waiting import start_by_ms, wait_limit_ms
from papayapier.upstream.api import Replica, Silence

NO_REPLICA_RETRY_MS: Final = 200


async def choose_for_send(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress
) -> Result[Replica, Refusal]:
    """Return the replica for the next send, or the reason why there is none."""
    found = _take_found(deps, req, progress)
    if found is not None:
        return Ok(found)
    return await _pick(deps, req, progress, _excluded_for_send(deps, req, progress))


def track_silence(
    deps: ForwardDeps, req: RawRequest, replica: Replica, progress: ForwardProgress
) -> SilentSend:
    """Return the tracker of the silence of a send that is about to be made."""

    def may_move() -> bool:
        counted = progress.history.counted_sends(req.profile.retry.attempts)
        return may_move_silent(deps, req.profile, req.fingerprint, req.due_ms, replica, counted)

    async def find_other(silence: Silence) -> Replica | None:
        excluded = excluded_while_silent(deps, replica, silence, progress.history)
        if not _has_other(deps, req, excluded):
            return None
        picked = await _pick(deps, req, progress, excluded)
        if isinstance(picked, Err) or picked.ok_value.id in excluded:
            return None
        other = picked.ok_value
        if progress.placed_with_capacity or has_room(deps.load_tracker, other, deps.clock.now()):
            return other
        return None

    def on_waiting(silence: Silence) -> None:
        has_begun = progress.stream is not None and progress.stream.first_event_ms > 0
        if not has_begun:
            deps.on_unanswered(replica)
        if not silence.reused:
            deps.outliers.on_end(replica.id, False, None, deps.clock.now())

    return SilentSend(
        SilentSendDeps(
            req.request_id,
            replica,
            deps.metrics,
            may_move,
            find_other,
            on_waiting,
            partial(deps.crashes.has_ended, replica.id),
        )
    )


def _take_found(deps: ForwardDeps, req: RawRequest, progress: ForwardProgress) -> Replica | None:
    """Return the replica for which a silent one was given up, if it is still usable."""
    found, progress.found = progress.found, None
    if found is None:
        return None
    usable = deps.load_tracker.usable_replicas(req.profile.upstream, deps.clock.now())
    return found if found in usable else None


def _excluded_for_send(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress
) -> frozenset[str]:
    """Return the replicas to avoid; one that failed the request may have recovered if all have.

    A placer would hold a request that excludes all replicas until it is too late.
    """
    excluded = progress.history.excluded
    return excluded if _has_other(deps, req, excluded) else NO_EXCLUDED_REPLICAS


def _has_other(deps: ForwardDeps, req: RawRequest, excluded: frozenset[str]) -> bool:
    """Return whether a replica is left that is neither excluded nor avoided by this entry."""
    now = deps.clock.now()
    for replica in deps.load_tracker.usable_replicas(req.profile.upstream, now):
        avoided = deps.outliers.is_ejected(replica.id, now) or (
            not req.profile.idempotent and deps.outliers.is_returning(replica.id)
        )
        if replica.id not in excluded and not avoided:
            return True
    return False


async def _pick(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress, excluded: frozenset[str]
) -> Result[Replica, Refusal]:
    """Return the replica that a placer chose, or one chosen from local knowledge."""
    upstream = req.profile.upstream
    route = RouteRequest(
        upstream,
        req.prompt,
        deps.data_centre,
        excluded,
        idempotent=req.profile.idempotent,
        includes_peers=True,
        fresh=deps.peer_loads_are_fresh(),
    )
    progress.placed = progress.placed_with_capacity = False
    if progress.stream_version is not None:
        usable = deps.load_tracker.usable_replicas(upstream, deps.clock.now())
        candidates = replicas_of_version(usable, progress.stream_version)
        if not candidates:
            return Err(version_gone_refusal(progress.stream_version))
        route = route._replace(candidates=candidates)
        if len(candidates) < len(usable):
            # A placer would choose among all versions, and queue the stream ahead of new ones.
            return _pick_locally(deps, req, route, progress)
    requested_ms = deps.clock.now()
    placed = await deps.place(route, _placement_times(deps, req, progress, requested_ms))
    progress.placement_ms += deps.clock.now() - requested_ms
    if placed.refusal is not None:
        return Err(placed.refusal)
    for replica in deps.load_tracker.usable_replicas(upstream, deps.clock.now()):
        if replica.id == placed.replica and _may_run(progress, replica):
            progress.placed = True
            progress.placed_with_capacity = placed.has_capacity
            return Ok(replica)
    return _pick_locally(deps, req, route, progress)


def _may_run(progress: ForwardProgress, replica: Replica) -> bool:
    """Return whether a replica has the software version that began the stream, if it has begun."""
    return progress.stream_version in (None, replica.version)


def _pick_locally(
    deps: ForwardDeps, req: RawRequest, route: RouteRequest, progress: ForwardProgress
) -> Result[Replica, Refusal]:
    picked = pick_replica(deps.load_tracker, deps.outliers, route, deps.rand, deps.clock.now())
    if picked is None:
        return Err(_no_replica(req))
    began = progress.stream_version
    if began is not None and picked.version != began:
        return Err(version_gone_refusal(began))
    return Ok(picked)


def _placement_times(
    deps: ForwardDeps, req: RawRequest, progress: ForwardProgress, now: int
) -> PlacementNeeds:
    """Return the remaining times until the request must start or be refused.

    A request that has already been sent may not be refused with a request to retry.
    """
    typical_ms = deps.first_bytes.typical_ms(req.profile.upstream)
    must_start_by_ms = start_by_ms(req.arrived_ms, req.objective_ms, typical_ms)
    retry_by_ms = req.arrived_ms + wait_limit_ms(req.objective_ms)
    caller_may_not_retry = not req.may_retry or progress.history.send_count > 0
    return PlacementNeeds(
        req.caller(),
        req.rank,
        max(1, must_start_by_ms - now),
        max(1, req.due_ms - now - round(min(typical_ms, req.objective_ms))),
        0 if caller_may_not_retry else max(0, retry_by_ms - now),
    )


def _no_replica(req: RawRequest) -> Refusal:
    reason = f"upstream {req.profile.upstream} has no usable replica"
    return not_run_refusal(ErrorKind.NO_UPSTREAM, reason, NO_REPLICA_RETRY_MS)
