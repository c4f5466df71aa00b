"""Play who grants a team's allowance, and who asks, without sockets.

Each instance has its own view of who grants, which follows what happens after a delay of its own.
What was granted is counted apart from what decides.
"""

import random
from collections import deque
from typing import Final

from papayapier.node.allowances import MAX_REQUESTS, SKIP_SILENT_MS
from papayapier.policy.allowances import (
    RESERVE,
    Bound,
    Grants,
    Left,
    Limit,
    Said,
    View,
    granters,
)

BOUND: Final = Bound(5_000, 0.1, 20)
STEP_MS: Final = 10
# A loss is missed after two seconds of silence, and told with the next heartbeat of the hubs.
LOSS_SEEN_MS: Final = (2_000, 3_000)
RETURN_SEEN_MS: Final = (50, 1_200)


def most(limit: Limit) -> float:
    """Return how many requests may be sent in any window."""
    window_s = BOUND.window_ms / 1_000
    return (limit.rate_per_s * window_s + limit.burst) * (1 + BOUND.overrun) + BOUND.slack


class Fleet:
    """Hold the granting instances and the asking ones; sides are cut off from each other."""

    def __init__(self, keepers: int, entries: int, seed: int = 1) -> None:
        self.rand = random.Random(seed)
        self.now = 0
        self.keepers = [f"keeper-{n}" for n in range(keepers)]
        self.entries = [f"entry-{n}" for n in range(entries)]
        self.listed = set(self.keepers)
        self.side: dict[str, int] = {}
        self.grants = {one: Grants(one, BOUND, 0) for one in self.keepers}
        # What each instance takes for granting, and what it will from when on.
        self.seen = {one: set(self.keepers) for one in [*self.keepers, *self.entries]}
        self._coming: list[tuple[int, str, str, bool]] = []
        self._passed_over: dict[tuple[str, str], int] = {}
        self.granted: dict[str, deque[int]] = {}
        self.refused: dict[str, int] = {}
        # Requests that one bucket for the whole fleet would have let through, and their refusals.
        self.inside = 0
        self.inside_refused = 0
        self._buckets: dict[str, tuple[float, int]] = {}
        self.highest: dict[str, int] = {}
        for keeper in self.keepers:
            self._tell(keeper)

    def lose(self, keeper: str) -> None:
        """End a keeper without a word."""
        self.grants.pop(keeper, None)
        self._news(keeper, False)

    def start(self, keeper: str) -> None:
        """Start a keeper, a new one or one that was lost; it knows the list."""
        self.listed.add(keeper)
        self.grants[keeper] = Grants(keeper, BOUND, self.now)
        self.seen[keeper] = set(self.listed)
        self._news(keeper, True)
        self._tell(keeper)

    def restart_all(self) -> None:
        """Start every process again at once; nobody knows what was granted before."""
        self._coming.clear()
        for keeper in sorted(self.grants):
            self.grants[keeper] = Grants(keeper, BOUND, self.now)
            self.seen[keeper] = set(self.listed)
            self._tell(keeper)
        for entry in self.entries:
            self.seen[entry] = set(self.listed)

    def cut(self, names: set[str]) -> None:
        """Cut some instances off from the others; each side misses the other in its time."""
        self.side = dict.fromkeys(names, 1)
        for one in self.seen:
            for keeper in self.grants:
                if not self._reaches(one, keeper):
                    self._later(one, keeper, False, LOSS_SEEN_MS)

    def join(self) -> None:
        """Let everybody reach everybody again."""
        self.side = {}
        self._coming = [coming for coming in self._coming if coming[3]]
        for one in self.seen:
            for keeper in self.grants:
                self._later(one, keeper, True, RETURN_SEEN_MS)

    def run(self, ms: int, demand: dict[str, tuple[Limit, float]], spread: bool = True) -> None:
        """Let time pass while teams ask so often a second, at all entries or at one."""
        for _ in range(0, ms, STEP_MS):
            self.now += STEP_MS
            self._see()
            for team, (limit, per_s) in demand.items():
                for _ in range(self._drawn(per_s)):
                    entry = self.rand.choice(self.entries) if spread else self.entries[0]
                    self.ask(entry, team, limit)

    def ask(self, entry: str, team: str, limit: Limit) -> bool:
        """Ask as an entry does; return whether the request was granted."""
        inside = self._is_inside(team, limit)
        granted = self._granted(entry, team, limit)
        self.inside += inside
        self.inside_refused += inside and not granted
        return granted

    def _is_inside(self, team: str, limit: Limit) -> bool:
        tokens, at = self._buckets.get(team, (limit.burst, self.now))
        tokens = min(limit.burst, tokens + (self.now - at) * limit.rate_per_s / 1_000)
        self._buckets[team] = (tokens - (tokens >= 1), self.now)
        return tokens >= 1

    def _granted(self, entry: str, team: str, limit: Limit) -> bool:
        waiting = granters(team, self.seen[entry])[: RESERVE + 1]
        asked: set[str] = set()
        while waiting and len(asked) < MAX_REQUESTS:
            keeper = waiting.pop(0)
            if self._passed_over.get((entry, keeper), 0) > self.now or keeper in asked:
                continue
            asked.add(keeper)
            if not self._reaches(entry, keeper):
                self._passed_over[entry, keeper] = self.now + SKIP_SILENT_MS
                continue
            said, other = self._asked(keeper, team, limit)
            if said is Said.NOT_HERE and other:
                waiting.insert(0, other)
            if said is Said.GRANTED:
                self._count(team)
                return True
            if said is Said.OVER:
                break
        self.refused[team] = self.refused.get(team, 0) + 1
        return False

    def _asked(self, keeper: str, team: str, limit: Limit) -> tuple[Said, str]:
        grants = self.grants[keeper]
        answer = grants.ask(team, limit, self.now)
        if answer.said is Said.TAKE_OVER:
            left: Left | None = None
            if self._reaches(keeper, answer.ask):
                left = self.grants[answer.ask].give_up(team, keeper, limit, self.now)
            grants.took_over(team, left, limit, self.now)
            answer = grants.ask(team, limit, self.now)
        return answer.said, answer.ask

    def _count(self, team: str) -> None:
        times = self.granted.setdefault(team, deque())
        times.append(self.now)
        while times[0] <= self.now - BOUND.window_ms:
            times.popleft()
        self.highest[team] = max(self.highest.get(team, 0), len(times))

    def _reaches(self, one: str, keeper: str) -> bool:
        return keeper in self.grants and self.side.get(one, 0) == self.side.get(keeper, 0)

    def _news(self, keeper: str, lives: bool) -> None:
        for one in self.seen:
            if one != keeper:
                self._later(one, keeper, lives, RETURN_SEEN_MS if lives else LOSS_SEEN_MS)

    def _later(self, one: str, keeper: str, lives: bool, delays: tuple[int, int]) -> None:
        self._coming.append((self.now + self.rand.randint(*delays), one, keeper, lives))

    def _see(self) -> None:
        due = [coming for coming in self._coming if coming[0] <= self.now]
        if not due:
            return
        self._coming = [coming for coming in self._coming if coming[0] > self.now]
        for _, one, keeper, lives in due:
            if lives and keeper in self.grants:
                self.seen[one].add(keeper)
            elif not lives and not self._reaches(one, keeper):
                self.seen[one].discard(keeper)
            if one in self.grants:
                self._tell(one)

    def _tell(self, keeper: str) -> None:
        view = View(tuple(sorted(self.seen[keeper])), len(self.listed))
        self.grants[keeper].on_view(view, self.now)

    def _drawn(self, per_s: float) -> int:
        wanted = per_s * STEP_MS / 1_000
        return int(wanted) + (self.rand.random() < wanted % 1)
