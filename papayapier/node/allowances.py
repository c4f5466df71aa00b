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
from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import AllowAsk, AllowTell, TakeOverAsk, TakeOverTell
from papayapier.policy.allowances import (
    RESERVE_RANK,
    Allowance,
    Granter,
    GranterView,
    GrantOutcome,
    GrantReply,
    RemainingTokens,
    granters,
)
from papayapier.store.watch import log_failure

# A round trip between data centres takes 3 ms; a busy granter needs a few more to answer.
ANSWER_MS: Final = 40
# Shorter than the start of a process, so that a restarted granter gets requests immediately.
SKIP_SILENT_MS: Final = 300
MAX_REQUESTS: Final = 3
SILENT_RETRY_MS: Final = 300
# Interval between log lines about one team that exceeds its allowance.
LOG_INTERVAL_MS: Final = 5_000

# Takes the team of a request and whether the request is a retry of a refused one.
Allow = Callable[[Team, bool], Awaitable[Result[None, Refusal]]]


class AllowanceDeps(NamedTuple):
    """Hold the dependencies of the requesting side.

    granting returns the ids of the keepers that grant, as far as this instance knows.
    """

    hub: PeerHub
    clock: Clock
    granting: Callable[[], frozenset[str]]


class _GranterClient:
    """Track the order of granters for each team, and which granters did not answer recently."""

    def __init__(self, deps: AllowanceDeps) -> None:
        self._deps = deps
        self._skipped_until: dict[str, int] = {}
        self._granting: frozenset[str] = frozenset()
        self._granters_of: dict[str, list[str]] = {}

    def granters_in_order(self, team: str) -> list[str]:
        """Return the granters of a team in order, without those that did not answer recently."""
        granting = self._deps.granting()
        if granting != self._granting:
            self._granting = granting
            self._granters_of.clear()
        if team not in self._granters_of:
            self._granters_of[team] = granters(team, granting)
        return [
            granter
            for granter in self._granters_of[team][: RESERVE_RANK + 1]
            if self.may_request(granter)
        ]

    def may_request(self, granter: str) -> bool:
        """Return whether a granter may get requests: it has not timed out recently."""
        return self._skipped_until.get(granter, 0) <= self._deps.clock.now()

    async def request_grant(self, granter: str, team: Team, retried: bool) -> AllowTell | None:
        """Request a grant from one granter; None means that it did not answer."""
        reply = await self._deps.hub.send_request(
            granter,
            lambda correlation_id: AllowAsk(
                correlation_id, team.name, team.rate_per_s, team.burst, retried
            ),
            ANSWER_MS,
        )
        if isinstance(reply, Ok) and isinstance(reply.ok_value, AllowTell):
            return reply.ok_value
        now = self._deps.clock.now()
        if self._skipped_until.get(granter, 0) <= now:
            events.emit(events.GRANTER_SILENT, granter=granter, team=team.name)
        self._skipped_until[granter] = now + SKIP_SILENT_MS
        return None


def make_allow(deps: AllowanceDeps) -> Allow:
    """Return the function that decides whether a team's request may be sent."""
    client = _GranterClient(deps)

    async def allow(team: Team, retried: bool) -> Result[None, Refusal]:
        if not team.is_limited():
            return Ok(None)
        candidates = client.granters_in_order(team.name)
        requested: set[str] = set()
        while candidates and len(requested) < MAX_REQUESTS:
            granter = candidates.pop(0)
            requested.add(granter)
            reply = await client.request_grant(granter, team, retried)
            if reply is None:
                continue
            if reply.outcome == GrantOutcome.NOT_HERE.value:
                # That keeper may know the current set of granters better than this instance.
                if (
                    reply.granter
                    and reply.granter not in requested
                    and client.may_request(reply.granter)
                ):
                    candidates = [
                        reply.granter,
                        *(other for other in candidates if other != reply.granter),
                    ]
                continue
            if reply.outcome == GrantOutcome.GRANTED.value:
                return Ok(None)
            reason = f"team {team.name} has reached its limit of {team.rate_per_s:g} requests/s"
            return Err(not_run_refusal(ErrorKind.OVER_ALLOWANCE, reason, reply.retry_after_ms))
        reason = f"no granter of the allowance of team {team.name} is reachable"
        return Err(not_run_refusal(ErrorKind.NOT_GRANTED, reason, SILENT_RETRY_MS))

    return allow


class GrantDeps(NamedTuple):
    """Hold the dependencies of the granting side.

    granting returns the keepers that grant, as far as this instance knows; listed returns all
    keepers with an object in the store. leaving returns whether this instance is about to stop.
    team returns a team from this instance's configuration.
    """

    hub: PeerHub
    clock: Clock
    me: str
    grants: Granter
    granting: Callable[[], frozenset[str]]
    listed: Callable[[], Collection[str]]
    leaving: Callable[[], bool]
    team: Callable[[str], Team | None]


def _limit_of(deps: GrantDeps, request: AllowAsk | TakeOverAsk) -> Allowance:
    """Return the lower of the requester's limit and this instance's: either may be outdated."""
    known = deps.team(request.team)
    if known is None or not known.is_limited():
        return Allowance(request.rate_per_s, request.burst)
    return Allowance(min(request.rate_per_s, known.rate_per_s), min(request.burst, known.burst))


def serve_allowances(deps: GrantDeps) -> None:
    """Answer grant requests for the teams that are assigned to this instance."""
    next_log_ms: dict[str, int] = {}

    def update_view() -> None:
        listed = deps.listed()
        # An instance that is not listed yet, or is leaving, must not count itself as a granter.
        own = {deps.me} if deps.me in listed and not deps.leaving() else set()
        view = GranterView(tuple(sorted((deps.granting() - {deps.me}) | own)), len(listed))
        if deps.grants.on_view(view, deps.clock.now()):
            events.emit(
                events.ALLOWANCE_DIVIDED, part=round(view.share(), 3), granting=len(view.granting)
            )

    def reply_to(peer_id: str, request: AllowAsk, decision: GrantReply) -> None:
        deps.hub.send(
            peer_id,
            AllowTell(
                request.correlation_id, decision.outcome.value, decision.after_ms, decision.granter
            ),
        )
        now = deps.clock.now()
        if decision.outcome is GrantOutcome.OVER and next_log_ms.get(request.team, 0) <= now:
            for team in [name for name, until in next_log_ms.items() if until <= now]:
                del next_log_ms[team]
            next_log_ms[request.team] = now + LOG_INTERVAL_MS
            events.emit(events.ALLOWANCE_BINDS, team=request.team, rate_per_s=request.rate_per_s)

    async def take_over(peer_id: str, request: AllowAsk, limit: Allowance, after: str) -> None:
        reply = await deps.hub.send_request(
            after,
            lambda correlation_id: TakeOverAsk(
                correlation_id, request.team, request.rate_per_s, request.burst
            ),
            ANSWER_MS // 2,
        )
        left = None
        if isinstance(reply, Ok) and isinstance(reply.ok_value, TakeOverTell):
            left = RemainingTokens(reply.ok_value.was_granter, reply.ok_value.tokens)
        now = deps.clock.now()
        if deps.grants.on_tokens_received(request.team, left, limit, now):
            events.emit(
                events.ALLOWANCE_TAKEN, team=request.team, after=after, heard=left is not None
            )
        decision = deps.grants.request(request.team, limit, now, request.is_retry)
        reply_to(
            peer_id,
            request,
            (
                decision
                if decision.outcome is not GrantOutcome.TAKE_OVER
                else GrantReply(GrantOutcome.NOT_HERE)
            ),
        )

    def on_request(peer_id: str, request: AllowAsk) -> None:
        update_view()
        limit = _limit_of(deps, request)
        decision = deps.grants.request(request.team, limit, deps.clock.now(), request.is_retry)
        if decision.outcome is not GrantOutcome.TAKE_OVER:
            reply_to(peer_id, request, decision)
            return
        task = Deferred.fromCoroutine(take_over(peer_id, request, limit, decision.granter))
        task.addErrback(log_failure, "allowance")

    def on_take_over(peer_id: str, request: TakeOverAsk) -> None:
        update_view()
        limit = _limit_of(deps, request)
        left = deps.grants.hand_over(request.team, peer_id, limit, deps.clock.now())
        deps.hub.send(peer_id, TakeOverTell(request.correlation_id, left.was_first, left.tokens))

    deps.hub.on_change(update_view)
    deps.hub.subscribe(AllowAsk, on_request)
    deps.hub.subscribe(TakeOverAsk, on_take_over)
