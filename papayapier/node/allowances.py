"""Request a grant from a team's granter for each request, and grant the requests of others.

Each team's allowance is managed by one granter (a keeper). If it does not answer in time, the
request goes to the second granter in the team's order, and then to the third, which grants from
its reserve. If none answers, the request is refused: what all instances together send must stay
within the bound even while some of them cannot reach the others.
"""

from collections.abc import Awaitable, Callable, Collection
from typing import Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.teams import Team
from papayapier.errors import ErrorKind, Refusal, not_run
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import AllowAsk, AllowTell, TakeOverAsk, TakeOverTell
from papayapier.policy.allowances import (
    RESERVE,
    Answer,
    Grants,
    Left,
    Limit,
    Said,
    View,
    granters,
)
from papayapier.store.watch import report_failure

# A round trip between data centres takes 3 ms; a busy granter needs a few more to answer.
ANSWER_MS: Final = 40
# Shorter than the start of a process, so that a restarted granter gets requests immediately.
PASSED_OVER_MS: Final = 300
ASKS_MAX: Final = 3
SILENT_RETURN_MS: Final = 300
# Interval between log lines about one team that exceeds its allowance.
TOLD_AGAIN_MS: Final = 5_000

# Takes the team of a request and whether the request is a retry of a refused one.
Allow = Callable[[Team, bool], Awaitable[Result[None, Refusal]]]


class AskDeps(NamedTuple):
    """Hold the dependencies of the requesting side.

    granting returns the ids of the keepers that grant, as far as this instance knows.
    """

    hub: PeerHub
    clock: Clock
    granting: Callable[[], frozenset[str]]


class _Asker:
    """Track the order of granters for each team, and which granters did not answer recently."""

    def __init__(self, deps: AskDeps) -> None:
        self._deps = deps
        self._passed_over: dict[str, int] = {}
        self._granting: frozenset[str] = frozenset()
        self._orders: dict[str, list[str]] = {}

    def order(self, team: str) -> list[str]:
        """Return the granters of a team in order, without those that did not answer recently."""
        granting = self._deps.granting()
        if granting != self._granting:
            self._granting = granting
            self._orders.clear()
        if team not in self._orders:
            self._orders[team] = granters(team, granting)
        return [one for one in self._orders[team][: RESERVE + 1] if self.answers(one)]

    def answers(self, granter: str) -> bool:
        """Return whether a granter may get requests: it has not timed out recently."""
        return self._passed_over.get(granter, 0) <= self._deps.clock.now()

    async def ask(self, granter: str, team: Team, returned: bool) -> AllowTell | None:
        """Request a grant from one granter; None means that it did not answer."""
        told = await self._deps.hub.ask(
            granter,
            lambda ask_id: AllowAsk(ask_id, team.name, team.rate_per_s, team.burst, returned),
            ANSWER_MS,
        )
        if isinstance(told, Ok) and isinstance(told.ok_value, AllowTell):
            return told.ok_value
        now = self._deps.clock.now()
        if self._passed_over.get(granter, 0) <= now:
            events.emit(events.GRANTER_SILENT, granter=granter, team=team.name)
        self._passed_over[granter] = now + PASSED_OVER_MS
        return None


def allowing(deps: AskDeps) -> Allow:
    """Return the function that decides whether a team's request may be sent."""
    asker = _Asker(deps)

    async def allow(team: Team, returned: bool) -> Result[None, Refusal]:
        if not team.limited():
            return Ok(None)
        waiting = asker.order(team.name)
        asked: set[str] = set()
        while waiting and len(asked) < ASKS_MAX:
            granter = waiting.pop(0)
            asked.add(granter)
            tell = await asker.ask(granter, team, returned)
            if tell is None:
                continue
            if tell.said == Said.NOT_HERE.value:
                # That keeper may know the current set of granters better than this instance.
                if tell.ask and tell.ask not in asked and asker.answers(tell.ask):
                    waiting = [tell.ask, *(one for one in waiting if one != tell.ask)]
                continue
            if tell.said == Said.GRANTED.value:
                return Ok(None)
            reason = f"team {team.name} has reached its limit of {team.rate_per_s:g} requests/s"
            return Err(not_run(ErrorKind.OVER_ALLOWANCE, reason, tell.after_ms))
        reason = f"no granter of the allowance of team {team.name} is reachable"
        return Err(not_run(ErrorKind.NOT_GRANTED, reason, SILENT_RETURN_MS))

    return allow


class GrantDeps(NamedTuple):
    """Hold the dependencies of the granting side.

    granting returns the keepers that grant, as far as this instance knows; listed returns all
    keepers with an object in the store. leaving tells whether this instance is about to stop. team
    returns a team from this instance's configuration.
    """

    hub: PeerHub
    clock: Clock
    me: str
    grants: Grants
    granting: Callable[[], frozenset[str]]
    listed: Callable[[], Collection[str]]
    leaving: Callable[[], bool]
    team: Callable[[str], Team | None]


def _limit_of(deps: GrantDeps, ask: AllowAsk | TakeOverAsk) -> Limit:
    """Return the lower of the requester's limit and this instance's: either may be outdated."""
    known = deps.team(ask.team)
    if known is None or not known.limited():
        return Limit(ask.rate_per_s, ask.burst)
    return Limit(min(ask.rate_per_s, known.rate_per_s), min(ask.burst, known.burst))


def answer_allowances(deps: GrantDeps) -> None:
    """Answer grant requests for the teams that are assigned to this instance."""
    told: dict[str, int] = {}

    def follow() -> None:
        listed = deps.listed()
        # An instance that is not listed yet, or is leaving, must not count itself as a granter.
        mine = {deps.me} if deps.me in listed and not deps.leaving() else set()
        view = View(tuple(sorted((deps.granting() - {deps.me}) | mine)), len(listed))
        if deps.grants.on_view(view, deps.clock.now()):
            events.emit(
                events.ALLOWANCE_DIVIDED, part=round(view.part(), 3), granting=len(view.granting)
            )

    def answer(peer_id: str, ask: AllowAsk, said: Answer) -> None:
        deps.hub.tell(peer_id, AllowTell(ask.ask_id, said.said.value, said.after_ms, said.ask))
        now = deps.clock.now()
        if said.said is Said.OVER and told.get(ask.team, 0) <= now:
            for team in [one for one, until in told.items() if until <= now]:
                del told[team]
            told[ask.team] = now + TOLD_AGAIN_MS
            events.emit(events.ALLOWANCE_BINDS, team=ask.team, rate_per_s=ask.rate_per_s)

    async def take_over(peer_id: str, ask: AllowAsk, limit: Limit, after: str) -> None:
        told = await deps.hub.ask(
            after,
            lambda ask_id: TakeOverAsk(ask_id, ask.team, ask.rate_per_s, ask.burst),
            ANSWER_MS // 2,
        )
        left = None
        if isinstance(told, Ok) and isinstance(told.ok_value, TakeOverTell):
            left = Left(told.ok_value.was_first, told.ok_value.tokens)
        now = deps.clock.now()
        if deps.grants.took_over(ask.team, left, limit, now):
            events.emit(events.ALLOWANCE_TAKEN, team=ask.team, after=after, heard=left is not None)
        said = deps.grants.ask(ask.team, limit, now, ask.returned)
        answer(peer_id, ask, said if said.said is not Said.TAKE_OVER else Answer(Said.NOT_HERE))

    def on_ask(peer_id: str, ask: AllowAsk) -> None:
        follow()
        limit = _limit_of(deps, ask)
        said = deps.grants.ask(ask.team, limit, deps.clock.now(), ask.returned)
        if said.said is not Said.TAKE_OVER:
            answer(peer_id, ask, said)
            return
        task = Deferred.fromCoroutine(take_over(peer_id, ask, limit, said.ask))
        task.addErrback(report_failure, "allowance")

    def on_take_over(peer_id: str, ask: TakeOverAsk) -> None:
        follow()
        limit = _limit_of(deps, ask)
        left = deps.grants.give_up(ask.team, peer_id, limit, deps.clock.now())
        deps.hub.tell(peer_id, TakeOverTell(ask.ask_id, left.was_first, left.tokens))

    deps.hub.on_change(follow)
    deps.hub.subscribe(AllowAsk, on_ask)
    deps.hub.subscribe(TakeOverAsk, on_take_over)
