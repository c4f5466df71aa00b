"""Simulate the granters of teams' allowances and the requesting entries, without sockets.

Each instance has its own view of which keepers grant, which changes after a delay of its own.
Grants are counted independently of the code that decides.
"""

import random
from collections import deque
from typing import Final

from papayapier.node.allowances import MAX_REQUESTS, SKIP_SILENT_MS
from papayapier.policy.allowances import (
    RESERVE_RANK,
    Allowance,
    AllowanceMargin,
    Granter,
    GranterView,
    GrantOutcome,
    RemainingTokens,
    granters,
)

BOUND: Final = AllowanceMargin(5_000, 0.1, 20)
STEP_MS: Final = 10
# A crash is detected after two seconds of silence and reported in the hubs' next heartbeat.
LOSS_SEEN_MS: Final = (2_000, 3_000)
RETURN_SEEN_MS: Final = (50, 1_200)


def max_granted(limit: Allowance) -> float:
    """Return how many requests may be sent in any window."""
    window_s = BOUND.window_ms / 1_000
    return (limit.rate_per_s * window_s + limit.burst) * (1 + BOUND.overrun) + BOUND.slack


class Fleet:
    """Hold the granting keepers and the requesting entries; sides cannot reach each other."""

    def __init__(self, keepers: int, entries: int, seed: int = 1) -> None:
        self.rand = random.Random(seed)
        self.now = 0
        self.keepers = [f"keeper-{n}" for n in range(keepers)]
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.listed = set(self.keepers)
        self.side: dict[str, int] = {}
        self.grants = {name: Granter(name, BOUND, 0) for name in self.keepers}
        # The keepers that each instance believes to be granting, and scheduled changes of that.
        self.believed_granters = {
            name: set(self.keepers) for name in [*self.keepers, *self.entries]
        }
        self._pending_changes: list[tuple[int, str, str, bool]] = []
        self._skipped_until: dict[tuple[str, str], int] = {}
        self.granted: dict[str, deque[int]] = {}
        self.refused: dict[str, int] = {}
        # Requests that a single bucket for the fleet would have granted, and refusals of these.
        self.within_limit = 0
        self.within_limit_refused = 0
        self._buckets: dict[str, tuple[float, int]] = {}
        self.max_per_window: dict[str, int] = {}
        for keeper in self.keepers:
            self._update_view(keeper)

    def crash(self, keeper: str) -> None:
        """Crash a keeper."""
        self.grants.pop(keeper, None)
        self._announce(keeper, False)

    def start(self, keeper: str) -> None:
        """Start a new keeper or a crashed one; it knows the list."""
        self.listed.add(keeper)
        self.grants[keeper] = Granter(keeper, BOUND, self.now)
        self.believed_granters[keeper] = set(self.listed)
        self._announce(keeper, True)
        self._update_view(keeper)

    def restart_all(self) -> None:
        """Restart every process at once, which loses the state of all grants."""
        self._pending_changes.clear()
        for keeper in sorted(self.grants):
            self.grants[keeper] = Granter(keeper, BOUND, self.now)
            self.believed_granters[keeper] = set(self.listed)
            self._update_view(keeper)
        for entry in self.entries:
            self.believed_granters[entry] = set(self.listed)

    def partition(self, names: set[str]) -> None:
        """Partition the fleet; each side detects the loss of the other after a delay."""
        self.side = dict.fromkeys(names, 1)
        for name in self.believed_granters:
            for keeper in self.grants:
                if not self._reaches(name, keeper):
                    self._schedule(name, keeper, False, LOSS_SEEN_MS)

    def heal_partition(self) -> None:
        """Let all instances reach each other again."""
        self.side = {}
        self._pending_changes = [change for change in self._pending_changes if change[3]]
        for name in self.believed_granters:
            for keeper in self.grants:
                self._schedule(name, keeper, True, RETURN_SEEN_MS)

    def run(self, ms: int, demand: dict[str, tuple[Allowance, float]], spread: bool = True) -> None:
        """Advance the time while teams send requests at a rate, at all entries or at one."""
        for _ in range(0, ms, STEP_MS):
            self.now += STEP_MS
            self._apply_changes()
            for team, (limit, per_s) in demand.items():
                for _ in range(self._draw_count(per_s)):
                    entry = self.rand.choice(self.entries) if spread else self.entries[0]
                    self.request(entry, team, limit)

    def request(self, entry: str, team: str, limit: Allowance) -> bool:
        """Send a request as an entry does; return whether it was granted."""
        inside = self._is_within_limit(team, limit)
        granted = self._try_granters(entry, team, limit)
        self.within_limit += inside
        self.within_limit_refused += inside and not granted
        return granted

    def _is_within_limit(self, team: str, limit: Allowance) -> bool:
        tokens, at = self._buckets.get(team, (limit.burst, self.now))
        tokens = min(limit.burst, tokens + (self.now - at) * limit.rate_per_s / 1_000)
        self._buckets[team] = (tokens - (tokens >= 1), self.now)
        return tokens >= 1

    def _try_granters(self, entry: str, team: str, limit: Allowance) -> bool:
        candidates = granters(team, self.believed_granters[entry])[: RESERVE_RANK + 1]
        requested: set[str] = set()
        while candidates and len(requested) < MAX_REQUESTS:
            keeper = candidates.pop(0)
            if self._skipped_until.get((entry, keeper), 0) > self.now or keeper in requested:
                continue
            requested.add(keeper)
            if not self._reaches(entry, keeper):
                self._skipped_until[entry, keeper] = self.now + SKIP_SILENT_MS
                continue
            said, other = self._handle_request(keeper, team, limit)
            if said is GrantOutcome.NOT_HERE and other:
                candidates.insert(0, other)
            if said is GrantOutcome.GRANTED:
                self._count_grant(team)
                return True
            if said is GrantOutcome.OVER:
                break
        self.refused[team] = self.refused.get(team, 0) + 1
        return False

    def _handle_request(self, keeper: str, team: str, limit: Allowance) -> tuple[GrantOutcome, str]:
        grants = self.grants[keeper]
        answer = grants.request(team, limit, self.now)
        if answer.outcome is GrantOutcome.TAKE_OVER:
            left: RemainingTokens | None = None
            if self._reaches(keeper, answer.granter):
                left = self.grants[answer.granter].hand_over(team, keeper, limit, self.now)
            grants.on_tokens_received(team, left, limit, self.now)
            answer = grants.request(team, limit, self.now)
        return answer.outcome, answer.granter

    def _count_grant(self, team: str) -> None:
        times = self.granted.setdefault(team, deque())
        times.append(self.now)
        while times[0] <= self.now - BOUND.window_ms:
            times.popleft()
        self.max_per_window[team] = max(self.max_per_window.get(team, 0), len(times))

    def _reaches(self, name: str, keeper: str) -> bool:
        return keeper in self.grants and self.side.get(name, 0) == self.side.get(keeper, 0)

    def _announce(self, keeper: str, live: bool) -> None:
        for name in self.believed_granters:
            if name != keeper:
                self._schedule(name, keeper, live, RETURN_SEEN_MS if live else LOSS_SEEN_MS)

    def _schedule(self, name: str, keeper: str, live: bool, delays: tuple[int, int]) -> None:
        self._pending_changes.append((self.now + self.rand.randint(*delays), name, keeper, live))

    def _apply_changes(self) -> None:
        due = [change for change in self._pending_changes if change[0] <= self.now]
        if not due:
            return
        self._pending_changes = [change for change in self._pending_changes if change[0] > self.now]
        for _, name, keeper, live in due:
            if live and keeper in self.grants:
                self.believed_granters[name].add(keeper)
            elif not live and not self._reaches(name, keeper):
                self.believed_granters[name].discard(keeper)
            if name in self.grants:
                self._update_view(name)

    def _update_view(self, keeper: str) -> None:
        view = GranterView(tuple(sorted(self.believed_granters[keeper])), len(self.listed))
        self.grants[keeper].on_view(view, self.now)

    def _draw_count(self, per_s: float) -> int:
        wanted = per_s * STEP_MS / 1_000
        return int(wanted) + (self.rand.random() < wanted % 1)
