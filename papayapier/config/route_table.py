"""Choose the route of a request by its host and the longest path prefix.

Where the platform's operator writes routes in place of profiles, each route stands for a
profile: what may be repeated, how long it may take, how many replicas it may try.
"""

import random
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from result import Ok, Result

from papayapier.config.profiles import Profile, RetryRule
from papayapier.config.teams import ANYBODY, Team, Teams
from papayapier.errors import Refusal


class WorkKind(Enum):
    """Name what a route carries, which decides what may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    JOB = "job"


class Share(NamedTuple):
    """Give an upstream's part of a route's requests."""

    upstream: str
    weight: float


class Route(NamedTuple):
    """Hold one route; times in ms.

    timeout_ms is the longest time that the operator wants a request kept; objective_ms the time
    in which an answer (a stream: its first event; a job: its acceptance) has its full worth;
    rank 0 is the most urgent. resumable streams may go on at another replica. due_ms and
    give_up_ms hold for jobs: when results are due and when an item may be abandoned, both
    from the job's first send. public routes ask for no key.
    """

    name: str
    host: str
    prefix: str
    kind: WorkKind
    shares: tuple[Share, ...]
    timeout_ms: int
    objective_ms: int
    attempts: int
    rank: int
    resumable: bool
    by_prompt: bool
    due_ms: int = 0
    give_up_ms: int = 0
    public: bool = False

    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is WorkKind.IDEMPOTENT or (self.kind is WorkKind.STREAM and self.resumable)


class Limits(NamedTuple):
    """Bound what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


class RoutingConfig(NamedTuple):
    """Hold one version of the operator's configuration; teams None asks nobody for a key."""

    version: int
    routes: tuple[Route, ...]
    upstreams: tuple[str, ...]
    limits: Limits
    teams: Teams | None = None


class RouteTable:
    """Find routes in one version of the configuration."""

    def __init__(self, cfg: RoutingConfig) -> None:
        self.cfg = cfg
        self._by_host: dict[str, list[Route]] = {}
        jobs = (route for route in cfg.routes if route.kind is WorkKind.JOB)
        self.job_upstreams = frozenset(share.upstream for route in jobs for share in route.shares)
        for route in cfg.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_public_jobs(self, host: str) -> bool:
        """Tell whether a host takes batch jobs, and asks for no key on any route for them."""
        name = host.partition(":")[0].lower()
        jobs = [one for one in self._by_host.get(name, ()) if one.kind is WorkKind.JOB]
        return bool(jobs) and all(route.public for route in jobs)

    def asker(self, public: bool, authorization: Sequence[bytes]) -> Result[Team | None, Refusal]:
        """Return which team asks: ANYBODY on public routes, None where there are no teams."""
        if self.cfg.teams is None:
            return Ok(None)
        return Ok(ANYBODY) if public else self.cfg.teams.asker(authorization)


URGENT_RANK: Final = 0


def pick_profile(route: Route, rand: random.Random, rank: int | None = None) -> Profile:
    """Return the profile of one request on a route, with its upstream chosen by weight.

    rank is the asking team's, which goes before the route's.
    """
    rank = route.rank if rank is None else rank
    return Profile(
        name=route.name,
        upstream=_pick_upstream(route, rand),
        urgency="urgent" if rank == URGENT_RANK else "normal",
        due_ms=route.timeout_ms,
        idempotent=route.repeatable(),
        retry=RetryRule(route.attempts),
    )


def _pick_upstream(route: Route, rand: random.Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].upstream
    weights = [share.weight for share in route.shares]
    return rand.choices([share.upstream for share in route.shares], weights)[0]
