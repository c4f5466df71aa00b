"""Say which team a request is of, and what belongs to a team.

Requests, resumed streams, calls on jobs and items are told apart here only: a request by the key
that it shows, an item by the team of its job, whatever became of that job's key.
"""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.config.keys import KeyRing
from papayapier.errors import ErrorKind, Refusal, not_run


class Team(NamedTuple):
    """Hold one team of callers.

    rate_per_s and burst bound what all instances together send of it; 0 is no bound. rank goes
    before that of a route; None leaves the route's.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    rank: int | None = None

    def limited(self) -> bool:
        """Tell whether there is a bound."""
        return self.rate_per_s > 0


# Whoever asks on a route that asks for no key, where others do.
ANYBODY: Final = Team("")


class Teams:
    """Hold the teams of one version of the configuration, by name and by key."""

    def __init__(self, teams: Iterable[tuple[Team, Sequence[bytes]]]) -> None:
        """Take each team with the digests of its keys."""
        listed = list(teams)
        self._ring = KeyRing((digest, team) for team, digests in listed for digest in digests)
        self._by_name = {team.name: team for team, _ in listed}

    def named(self, name: str) -> Team | None:
        """Return a team by its name."""
        return self._by_name.get(name)

    def asker(self, authorization: Sequence[bytes]) -> Result[Team, Refusal]:
        """Return the team whose key is shown."""
        team = self._ring.holder(authorization)
        if team is None:
            return Err(not_run(ErrorKind.UNAUTHORIZED, "the key is missing or not known"))
        return Ok(team)


def name_of(asker: Team | None) -> str:
    """Return the name of who asks; empty for anybody."""
    return "" if asker is None else asker.name


def may_use(owner: str, asker: str) -> bool:
    """Tell whether a team may read, end or send again what was made for a team.

    What was made where no key was asked for is everybody's, and so is everything to those who
    ask where no key is asked for.
    """
    return not owner or not asker or owner == asker
