"""Choose the replica for one call.

Load reports are some hundred milliseconds old. Instances that all rely on the same old report send
to the same replica until the next report arrives (herd behaviour), even if each corrects the report
by its own sends and even if each considers only two replicas. What an instance knows without any
lag is the calls that it has open itself, and as the balancer spreads callers evenly, those are a
fair sample of all calls. So a replica's cost is the instance's own open calls, plus the others'
lagging load at a weight small enough that all instances together shift by no more calls than the
others' load amounts to: OTHERS_WEIGHT divided by the number of instances that use the replica. The
weight must not be zero, or a replica that is loaded by others, or slowed, is noticed too late. The
replica with the lowest cost of a few sampled at random wins. misc/policy_sim/routing_run.py
compares the alternatives.

A call with a prompt prefix first tries the replica that rendezvous hashing gives the prefix, where
the engine has it cached, as long as that replica's cost stays within a bound of the average: a
popular prefix must not overload its replica. With a looser bound the cache hit rate is a little
higher and the first token arrives far later (affinity_run.py). Where peers report their calls, the
bound is one call above the least loaded replica: what a short prompt saves there is a few
milliseconds, and one call too many at a replica waits a tenth of a second.
"""

import random
from collections.abc import Sequence
from typing import Final, NamedTuple

from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.rendezvous import score
from papayapier.upstream.api import Replica

DRAWS: Final = 5
OTHERS_WEIGHT: Final = 0.5
BATCH_WEIGHT: Final = 0.5
FULL_FACTOR: Final = 1.15
OTHER_DATA_CENTRE_CALLS: Final = 0.5
# Where all instances receive each other's heartbeats within some 50 ms, what peers have reported is
# nearly as good as what an instance knows itself: few calls start meanwhile, so that no herd forms.
REPORTED_WEIGHT: Final = 0.9
REPORTED_BATCH_WEIGHT: Final = 0.4
# Up to this many replicas are all compared where the information is fresh. Where many instances
# know the same totals some 200 ms late, they would all choose the same few replicas; the better of
# two random ones is the choice that suffers least from old information.
MAX_COMPARED: Final = 64
DRAWS_WHEN_REPORTED: Final = 2
AFFINITY_FACTOR: Final = 1.25
AFFINITY_SLACK_CALLS: Final = 1.0
AFFINITY_TRIES: Final = 2


class RouteRequest(NamedTuple):
    """Describe what routing needs to know of a call.

    includes_peers counts the calls that peers have reported; see REPORTED_WEIGHT. fresh says that
    they were reported within some 50 ms. candidates names the only replicas to choose from, unless
    empty.
    """

    upstream: str
    prefix: str
    data_centre: str
    exclude: frozenset[str] = frozenset()
    batch: bool = False
    idempotent: bool = True
    includes_peers: bool = False
    fresh: bool = False
    candidates: frozenset[str] = frozenset()


def choose_replica(
    load_tracker: LoadTracker,
    outliers: OutlierDetector,
    req: RouteRequest,
    rand: random.Random,
    now: int,
) -> str | None:
    """Return the replica for a call, or None when no replica may take it."""
    usable = _candidates(load_tracker, outliers, req.upstream, req.exclude, now, req.candidates)
    if not usable:
        return None
    usable = _without_probes(outliers, usable, req)
    if req.prefix and len(usable) > 1:
        cached_replica = _replica_with_prefix(load_tracker, outliers, usable, req, now)
        if cached_replica is not None:
            return cached_replica
    if req.fresh and len(usable) <= MAX_COMPARED:
        sampled = usable
    else:
        sampled = _sampled(
            load_tracker, usable, rand, now, DRAWS_WHEN_REPORTED if req.includes_peers else DRAWS
        )
    costs = [
        (_cost(load_tracker, outliers, replica, req, now), rand.random(), replica.id)
        for replica in sampled
    ]
    _, _, chosen = min(costs)
    return chosen


def pick_replica(
    load_tracker: LoadTracker,
    outliers: OutlierDetector,
    req: RouteRequest,
    rand: random.Random,
    now: int,
) -> Replica | None:
    """Return the replica for a call; one that failed it may have recovered if all have."""
    chosen = choose_replica(load_tracker, outliers, req, rand, now)
    if chosen is None and req.exclude:
        chosen = choose_replica(
            load_tracker, outliers, req._replace(exclude=frozenset()), rand, now
        )
    if chosen is None:
        return None
    return next(replica for replica in load_tracker.replicas(req.upstream) if replica.id == chosen)


def free_capacity(
    load_tracker: LoadTracker, outliers: OutlierDetector, upstream: str, now: int
) -> float:
    """Return how many more online calls the replicas of an upstream could run at once.

    Engines queue in order of arrival and know no priorities: a call that waits in an engine can no
    longer be overtaken by an urgent one, so it waits in the admission queue instead. Batch streams
    do not count, since they yield. A few calls more than there are slots keep a replica busy until
    the next report.
    """
    candidates = _candidates(load_tracker, outliers, upstream, frozenset(), now)
    return sum(max(0.0, _free(load_tracker, replica, now)) for replica in candidates)


def _candidates(
    load_tracker: LoadTracker,
    outliers: OutlierDetector,
    upstream: str,
    exclude: frozenset[str],
    now: int,
    within: frozenset[str] = frozenset(),
) -> Sequence[Replica]:
    """Return the replicas in use; if all are ejected, trying one is better than refusing."""
    usable = load_tracker.usable_replicas(upstream, now)
    if within:
        usable = [replica for replica in usable if replica.id in within]
    usable = [replica for replica in usable if replica.id not in exclude]
    return [replica for replica in usable if not outliers.is_ejected(replica.id, now)] or usable


def _without_probes(
    outliers: OutlierDetector, usable: Sequence[Replica], req: RouteRequest
) -> Sequence[Replica]:
    """Exclude returning replicas for a call that could not be retried after a failure."""
    if req.idempotent:
        return usable
    return [replica for replica in usable if not outliers.is_returning(replica.id)] or usable


def _sampled(
    load_tracker: LoadTracker, usable: Sequence[Replica], rand: random.Random, now: int, draws: int
) -> Sequence[Replica]:
    """Return the replicas to compare: a few at random, full ones only if all are full."""
    sampled = usable if len(usable) <= draws else rand.sample(usable, draws)
    fitting = [replica for replica in sampled if not _full(load_tracker, replica, now)]
    if not fitting and len(sampled) < len(usable):
        fitting = [replica for replica in usable if not _full(load_tracker, replica, now)]
    return fitting or sampled


def _replica_with_prefix(
    load_tracker: LoadTracker,
    outliers: OutlierDetector,
    usable: Sequence[Replica],
    req: RouteRequest,
    now: int,
) -> str | None:
    """Return the replica that has the prefix cached if its load is within the bound."""
    costs = {replica.id: _cost(load_tracker, outliers, replica, req, now) for replica in usable}
    slack = AFFINITY_SLACK_CALLS / max(load_tracker.slots(replica.id) for replica in usable)
    if req.includes_peers:
        bound = min(costs.values()) + slack
    else:
        bound = AFFINITY_FACTOR * sum(costs.values()) / len(costs) + slack
    ranked = sorted(usable, key=lambda replica: -score(req.prefix, replica.id))
    for replica in ranked[:AFFINITY_TRIES]:
        if costs[replica.id] <= bound and not _full(load_tracker, replica, now):
            return replica.id
    return None


def has_room(load_tracker: LoadTracker, replica: Replica, now: int) -> bool:
    """Return whether a replica would start one more online call soon."""
    return not _full(load_tracker, replica, now)


def _full(load_tracker: LoadTracker, replica: Replica, now: int) -> bool:
    return _free(load_tracker, replica, now) <= 0.0


def _free(load_tracker: LoadTracker, replica: Replica, now: int) -> float:
    return FULL_FACTOR * load_tracker.slots(replica.id) - load_tracker.online_pressure(
        replica.id, now
    )


def _cost(
    load_tracker: LoadTracker,
    outliers: OutlierDetector,
    replica: Replica,
    req: RouteRequest,
    now: int,
) -> float:
    own = load_tracker.own_calls(replica.id)
    if req.includes_peers:
        calls = own.online + REPORTED_WEIGHT * (load_tracker.online_calls(replica.id) - own.online)
        calls += REPORTED_BATCH_WEIGHT * load_tracker.batch_calls(replica.id)
        calls += outliers.penalty(replica.id, now)
        return calls / load_tracker.slots(replica.id)
    others = max(0.0, load_tracker.estimate(replica.id, now) - own.online - own.batch)
    calls = own.online + OTHERS_WEIGHT * others / load_tracker.instance_count(replica.id)
    calls += own.batch if req.batch else BATCH_WEIGHT * own.batch
    if replica.data_centre != req.data_centre:
        calls += OTHER_DATA_CENTRE_CALLS
    calls += outliers.penalty(replica.id, now)
    return calls / load_tracker.slots(replica.id)
