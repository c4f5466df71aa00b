"""Decide, for all instances together, whether a request lies within its team's allowance.

Motivation: a team's requests arrive at any of a thousand instances, unevenly, and may grow tenfold
within a tenth of a second. In any window no more than the rate and the burst may be sent in total,
also while instances are partitioned from each other, are lost or restart.

Rendezvous hashing gives each team one instance that grants (the first), and a second one in
reserve. The first grants from a bucket of the team's rate and burst. What may exceed it (the
overrun and slack that the operator allows) is never granted by the first: most of it belongs to the
reserve, for the seconds in which the first is unreachable and not yet detected as lost.

The sum stays within the bound for any views that instances have of each other:

- An instance grants only the share of a rate that the granting instances in its view are of all
  that are listed. So the sides of a network partition grant no more than the whole together.
- An instance that becomes first requests the tokens that are left from the one after itself, which
  was first before; from then on that one grants only from its reserve. If it does not reply, the
  bucket starts almost empty.
- Where the previous first is no longer in view, it may still grant to instances that reach it,
  until it notices that it is cut off; for that long the new first grants only from its reserve.

A refused request lay beyond the allowance. Its retry gets what first attempts leave: otherwise each
granted retry would cause the refusal of a request that lies within the allowance.
"""

from collections.abc import Collection, Sequence
from enum import Enum
from typing import Final, NamedTuple

from papayapier.clock import MS_PER_S
from papayapier.policy.rendezvous import score

HASH_KEY: Final = "allowance"
FIRST_RANK: Final = 0
RESERVE_RANK: Final = 1
# Shares of what may exceed the rate and the burst in a window. Requests are sent up to a fifth of a
# second after their grant, which uses the rest of the overrun.
RESERVE_SHARE_OF_OVERRUN: Final = 0.6
RESERVE_SHARE_OF_SLACK: Final = 0.6
START_SHARE_OF_SLACK: Final = 0.2
# Share of the reserve that is available when a process starts, since earlier grants are unknown.
RESERVE_SHARE_AT_START: Final = 0.25
# Views of which instances are lost differ by about this time at most: a tick, and a heartbeat of a
# hub.
SETTLE_MS: Final = 1_000
# How long an instance that took over a team, and is not in view here yet, is assumed to be live.
HANDED_OVER_MS: Final = 5_000
# A team without requests for this long has no state left that could matter.
FORGET_MS: Final = 60_000
MAX_RETRY_AFTER_MS: Final = 1_500
# A retry leaves this much of the team's rate to first attempts: their requests of so many ms.
FIRST_REQUEST_MARGIN_MS: Final = 50
# A retry that arrives sooner cannot be told from a first attempt (policy/waiting.py).
MIN_RETRY_AFTER_MS: Final = 250
# Retry time of requests that the reserve refuses, where no bucket can predict it.
RESERVE_RETRY_AFTER_MS: Final = 300


class AllowanceMargin(NamedTuple):
    """Hold how much the operator allows beyond rate and burst in any window."""

    window_ms: int
    overrun: float
    slack: float


class Allowance(NamedTuple):
    """Hold a team's allowance: requests a second, and the burst in requests."""

    rate_per_s: float
    burst: float


class GrantOutcome(Enum):
    """Name the outcomes of a request for a grant."""

    GRANTED = "granted"
    OVER = "over"
    # This instance cannot grant it; another may.
    NOT_HERE = "not_here"
    # The tokens that are left are to be requested first, from the instance that is named.
    TAKE_OVER = "take_over"


class GrantReply(NamedTuple):
    """Reply to a request for a grant; after_ms is when to retry.

    granter names the instance to take over from, or the one that grants in this instance's place.
    """

    outcome: GrantOutcome
    after_ms: int = 0
    granter: str = ""


class RemainingTokens(NamedTuple):
    """Report the tokens that the second instance has left; was_first: it granted as the first."""

    was_first: bool
    tokens: float


class GranterView(NamedTuple):
    """Hold the granting instances in one instance's view, and how many are listed in total."""

    granting: tuple[str, ...]
    listed: int

    def share(self) -> float:
        """Return the share of the listed instances that is in view."""
        return min(1.0, len(self.granting) / self.listed) if self.listed else 0.0


EMPTY_VIEW: Final = GranterView((), 0)


def granters(team: str, granting: Collection[str]) -> list[str]:
    """Return the instances that grant a team's requests, the first one first."""
    return sorted(
        granting,
        key=lambda instance: (score(f"{HASH_KEY}/{team}", instance), instance),
        reverse=True,
    )


class _Bucket:
    """Hold tokens that are added at a rate up to a size."""

    __slots__ = ("at_ms", "tokens")

    def __init__(self, tokens: float, now: int) -> None:
        self.tokens = tokens
        self.at_ms = now

    def fill(self, rate_per_s: float, size: float, now: int) -> None:
        earned = (now - self.at_ms) * rate_per_s / MS_PER_S
        self.tokens = min(size, self.tokens + earned)
        self.at_ms = now

    def take(self, min_tokens: float = 1.0) -> bool:
        if self.tokens < min_tokens:
            return False
        self.tokens -= 1
        return True


class _Team:
    """Hold the grant state of one team.

    at_start says that the reserve has not been used since this process started. ranking holds the
    granting instances by the view numbered view_number. handed_to names the instance that took over
    as first and is not in view here yet, until handed_until_ms. last_retry_ms is the last retry
    time that was given to a refused request.
    """

    __slots__ = (
        "at_start",
        "bucket",
        "handed_to",
        "handed_until_ms",
        "last_retry_ms",
        "ranking",
        "requested_ms",
        "reserve",
        "settled_ms",
        "view_number",
    )

    def __init__(self, now: int) -> None:
        self.requested_ms = now
        self.at_start = False
        self.bucket: _Bucket | None = None
        self.reserve = _Bucket(0.0, now)
        self.ranking: Sequence[str] = ()
        self.handed_to = ""
        self.handed_until_ms = now
        self.last_retry_ms = 0.0
        self.view_number = -1
        self.settled_ms = 0


class Granter:
    """Grant the requests of the teams that hashing assigns to this instance."""

    def __init__(self, me: str, bound: AllowanceMargin, now: int) -> None:
        self._me = me
        self._bound = bound
        self._teams: dict[str, _Team] = {}
        self._view = EMPTY_VIEW
        self._previous_view = EMPTY_VIEW
        self._view_number = 0
        self._started_ms = now
        self._changed_ms = now
        self._swept_ms = now

    def on_view(self, view: GranterView, now: int) -> bool:
        """Set the granting instances; return whether they changed."""
        if view == self._view:
            return False
        self._previous_view, self._view = self._view, view
        self._view_number += 1
        self._changed_ms = now
        return True

    def view(self) -> GranterView:
        """Return the view in force."""
        return self._view

    def request(self, name: str, limit: Allowance, now: int, is_retry: bool = False) -> GrantReply:
        """Decide on one request of a team; is_retry says that it is a retry."""
        team = self._team(name, now)
        share = self._view.share()
        rank = self._rank(team.ranking)
        first = team.ranking[FIRST_RANK] if team.ranking else ""
        if rank > RESERVE_RANK:
            return GrantReply(GrantOutcome.NOT_HERE, granter=first)
        if (
            rank == RESERVE_RANK
            or now < team.settled_ms
            or (team.handed_to and now < team.handed_until_ms)
        ):
            self._fill_reserve(team, limit, share, now)
            outcome = GrantOutcome.GRANTED if team.reserve.take() else GrantOutcome.NOT_HERE
            return GrantReply(outcome, RESERVE_RETRY_AFTER_MS, team.handed_to or first)
        if team.bucket is None:
            if len(team.ranking) > 1:
                return GrantReply(GrantOutcome.TAKE_OVER, granter=team.ranking[RESERVE_RANK])
            self._start_bucket(team, None, limit, now)
        assert team.bucket is not None
        team.bucket.fill(limit.rate_per_s * share, max(1.0, limit.burst * share), now)
        min_tokens = (
            1 + FIRST_REQUEST_MARGIN_MS * limit.rate_per_s * share / MS_PER_S if is_retry else 1.0
        )
        if team.bucket.take(min(min_tokens, max(1.0, limit.burst * share))):
            return GrantReply(GrantOutcome.GRANTED)
        return GrantReply(
            GrantOutcome.OVER, self._retry_after_ms(team, limit.rate_per_s * share, now)
        )

    def on_tokens_received(
        self, name: str, left: RemainingTokens | None, limit: Allowance, now: int
    ) -> bool:
        """Start with the tokens left at the second instance; None says that it did not reply.

        Return False if this instance grants already.
        """
        team = self._team(name, now)
        if team.bucket is not None:
            return False
        self._start_bucket(team, left, limit, now)
        return True

    def hand_over(self, name: str, successor: str, limit: Allowance, now: int) -> RemainingTokens:
        """Hand over the remaining tokens of a team to an instance that ranks before this one."""
        team = self._team(name, now)
        if successor not in self._view.granting:
            # Until it is in view here, instances that do not see it either still send requests
            # here.
            team.handed_to, team.handed_until_ms = successor, now + HANDED_OVER_MS
        bucket, team.bucket = team.bucket, None
        if bucket is None:
            return RemainingTokens(False, 0.0)
        share = self._view.share()
        bucket.fill(limit.rate_per_s * share, max(1.0, limit.burst * share), now)
        return RemainingTokens(True, bucket.tokens)

    def _team(self, name: str, now: int) -> _Team:
        self._sweep(now)
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team(now)
            # The reserve has filled for as long as no other instance can have had it.
            team.reserve.at_ms = self._changed_ms
            team.at_start = now - self._started_ms < self._bound.window_ms
        team.requested_ms = now
        if team.view_number != self._view_number:
            self._apply_view(team, name)
        return team

    def _rank(self, ranked: Sequence[str]) -> int:
        return ranked.index(self._me) if self._me in ranked else len(ranked) + RESERVE_RANK

    def _sweep(self, now: int) -> None:
        if now - self._swept_ms < FORGET_MS:
            return
        self._swept_ms = now
        for name in [
            known for known, team in self._teams.items() if now - team.requested_ms > FORGET_MS
        ]:
            del self._teams[name]

    def _apply_view(self, team: _Team, name: str) -> None:
        """Reset the state of a team where the view changes its first or its reserve."""
        previous = (
            team.ranking if team.view_number >= 0 else granters(name, self._previous_view.granting)
        )
        team.ranking = granters(name, self._view.granting)
        team.view_number = self._view_number
        if team.handed_to in self._view.granting:
            team.handed_to = ""
        if self._rank(previous) != RESERVE_RANK or self._rank(team.ranking) > RESERVE_RANK:
            # Another instance had the reserve until now.
            team.reserve = _Bucket(0.0, self._changed_ms)
        if self._rank(team.ranking) != FIRST_RANK:
            team.bucket = None
        elif previous and previous[0] not in (self._me, *self._view.granting):
            team.settled_ms = self._changed_ms + SETTLE_MS

    def _start_bucket(
        self, team: _Team, left: RemainingTokens | None, limit: Allowance, now: int
    ) -> None:
        start = min(START_SHARE_OF_SLACK * self._bound.slack, limit.burst)
        if left is not None and left.was_first:
            start = left.tokens
        elif left is not None:
            # No instance has granted as the first since the present view began.
            share = self._view.share()
            start += (now - self._changed_ms) * limit.rate_per_s * share / MS_PER_S
        team.bucket = _Bucket(start, now)

    def _fill_reserve(self, team: _Team, limit: Allowance, share: float, now: int) -> None:
        """Fill the reserve: half is available at once and half is added within a window."""
        bound = self._bound
        window_s = bound.window_ms / MS_PER_S
        excess = bound.overrun * (
            RESERVE_SHARE_OF_OVERRUN * limit.rate_per_s * window_s + limit.burst
        )
        capacity = (excess + RESERVE_SHARE_OF_SLACK * bound.slack) * share
        if team.at_start:
            team.at_start = False
            team.reserve.tokens += RESERVE_SHARE_AT_START * capacity
        team.reserve.fill(capacity / 2 / window_s, capacity / 2, now)

    def _retry_after_ms(self, team: _Team, rate_per_s: float, now: int) -> int:
        """Return when there will be a token for this refused request, after earlier ones."""
        if rate_per_s <= 0:
            return MAX_RETRY_AFTER_MS
        team.last_retry_ms = max(team.last_retry_ms, now) + MS_PER_S / rate_per_s
        if team.last_retry_ms - now > MAX_RETRY_AFTER_MS:
            # More requests retry than there will be tokens for; the rest are spread over the same
            # time.
            team.last_retry_ms = now + MS_PER_S / rate_per_s
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, round(team.last_retry_ms - now)))
