"""Select the route of a request by its host and the longest matching path prefix.

On platforms where the operator configures routes instead of profiles, each route acts as a
profile: it defines what may be retried, the time limit, and the number of attempts.
"""

import random
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from result import Ok, Result

from papayapier.config.profiles import Profile, RetryRule
from papayapier.config.teams import ANONYMOUS_TEAM, Team, Teams
from papayapier.errors import Refusal


class RouteKind(Enum):
    """List the kinds of route, which decide what may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    JOB = "job"


class UpstreamShare(NamedTuple):
    """Define an upstream's weight in the requests of a route."""

    upstream: str
    weight: float


class Route(NamedTuple):
    """Hold one route.

    timeout_ms is the operator's time limit of a request. objective_ms is the latency objective of
    an answer (for a stream of its first event, for a job of its acceptance). rank 0 is the most
    urgent. A resumable stream may continue at another replica. due_ms and give_up_ms apply to
    jobs: when results are due and when an item may be abandoned, both counted from the job's
    first send. public routes require no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[UpstreamShare, ...]
    timeout_ms: int
    objective_ms: int
    attempts: int
    rank: int
    resumable: bool
    route_by_prompt: bool
    due_ms: int = 0
    give_up_ms: int = 0
    public: bool = False

    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class CallerRequestLimits(NamedTuple):
    """Limit the size of a caller's request and the time in which it must be received."""

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


class RoutingConfig(NamedTuple):
    """Hold one version of the operator's configuration; without teams, no key is required."""

    version: int
    routes: tuple[Route, ...]
    upstreams: tuple[str, ...]
    limits: CallerRequestLimits
    teams: Teams | None = None


class ConfigPosition(NamedTuple):
    """Order configurations by the operator's version, then by the store's revision of the object.

    The revision tells apart configurations that the operator wrote with the same version.
    """

    version: int
    revision: int


# Precedes every configuration.
NO_POSITION: Final = ConfigPosition(0, 0)


class RouteTable:
    """Look up routes in one version of the configuration, stored at a revision."""

    def __init__(self, cfg: RoutingConfig, revision: int = 0) -> None:
        self.cfg = cfg
        self.position = ConfigPosition(cfg.version, revision)
        self._by_host: dict[str, list[Route]] = {}
        jobs = (route for route in cfg.routes if route.kind is RouteKind.JOB)
        self.job_upstreams = frozenset(share.upstream for route in jobs for share in route.shares)
        streams = (route for route in cfg.routes if route.kind is RouteKind.STREAM)
        self.longest_stream_ms = max((route.timeout_ms for route in streams), default=0)
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
        """Return whether a host has routes for batch jobs, all of them without a key."""
        name = host.partition(":")[0].lower()
        jobs = [route for route in self._by_host.get(name, ()) if route.kind is RouteKind.JOB]
        return bool(jobs) and all(route.public for route in jobs)

    def authenticate(
        self, public: bool, authorization: Sequence[bytes]
    ) -> Result[Team | None, Refusal]:
        """Return the team of a request, or None if no teams are defined.

        On public routes it is ANONYMOUS_TEAM.
        """
        if self.cfg.teams is None:
            return Ok(None)
        return Ok(ANONYMOUS_TEAM) if public else self.cfg.teams.authenticate(authorization)


URGENT_RANK: Final = 0


def pick_profile(route: Route, rand: random.Random, rank: int | None = None) -> Profile:
    """Return the profile of one request on a route, with its upstream chosen by weight.

    rank is that of the request's team and overrides the route's rank.
    """
    rank = route.rank if rank is None else rank
    return Profile(
        name=route.name,
        upstream=_pick_upstream(route, rand),
        urgency="urgent" if rank == URGENT_RANK else "normal",
        due_ms=route.timeout_ms,
        idempotent=route.is_repeatable(),
        retry=RetryRule(route.attempts),
    )


def _pick_upstream(route: Route, rand: random.Random) -> str:
    if len(route.shares) == 1:
        return route.shares[0].upstream
    weights = [share.weight for share in route.shares]
    return rand.choices([share.upstream for share in route.shares], weights)[0]
