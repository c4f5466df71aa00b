"""Determine the team of a request, and what a team may access.

This is the only place that decides the team of requests, resumed streams, calls on jobs and
items: for a request by its API key, for an item by the team of its job, even if that team's key
has been revoked since.
"""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.config.keys import KeyRegistry
from papayapier.errors import ErrorKind, Refusal, not_run_refusal


class Team(NamedTuple):
    """Hold one team of callers.

    rate_per_s and burst limit the team's requests over all instances; 0 means no limit. rank
    overrides the rank of a route unless it is None.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    rank: int | None = None

    def is_limited(self) -> bool:
        """Return whether the team has a rate limit."""
        return self.rate_per_s > 0


# The team of requests on a public route, if teams are defined.
ANONYMOUS_TEAM: Final = Team("")


class Teams:
    """Hold the teams of one version of the configuration, by name and by key."""

    def __init__(self, teams: Iterable[tuple[Team, Sequence[bytes]]]) -> None:
        """Create the registry from each team and the digests of its keys."""
        listed = list(teams)
        self._keys = KeyRegistry((digest, team) for team, digests in listed for digest in digests)
        self._by_name = {team.name: team for team, _ in listed}

    def by_name(self, name: str) -> Team | None:
        """Return the team with a name, or None."""
        return self._by_name.get(name)

    def authenticate(self, authorization: Sequence[bytes]) -> Result[Team, Refusal]:
        """Return the team whose key is in the Authorization header."""
        team = self._keys.holder(authorization)
        if team is None:
            return Err(not_run_refusal(ErrorKind.UNAUTHORIZED, "the key is missing or not known"))
        return Ok(team)


def team_name(team: Team | None) -> str:
    """Return the name of the requesting team; empty if there is none."""
    return "" if team is None else team.name


def may_access(owner: str, team: str) -> bool:
    """Return whether a team may read, end or resubmit what a team has created.

    Objects created without a key are accessible to everyone, and requests without a required
    key may access all objects.
    """
    return not owner or not team or owner == team
