"""Bound the open requests of one caller with one profile on this instance.

Fair queueing keeps a caller from starving others of an upstream's capacity. These optional limits
also apply while no other caller sends requests.
"""

from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.errors import ErrorKind, Refusal, not_run_refusal

if TYPE_CHECKING:
    from papayapier.config.profiles import Profile

RETRY_MS: Final = 500


class _Key(NamedTuple):
    profile: str
    caller: str


class CallerLimits:
    """Count each caller's queued and running requests by profile."""

    def __init__(self) -> None:
        self._queued: Counter[_Key] = Counter()
        self._running: Counter[_Key] = Counter()

    def refusal(self, profile: "Profile", caller: str) -> Refusal | None:
        """Return the refusal if the caller is at a limit of the profile, or None."""
        key = _Key(profile.name, caller)
        queued = self._queued[key]
        limits = profile.callers
        if limits.in_flight and queued + self._running[key] >= limits.in_flight:
            reason = f"caller {caller} has {limits.in_flight} requests under way"
            return not_run_refusal(ErrorKind.CALLER_LIMIT, reason, RETRY_MS)
        if limits.queued and queued >= limits.queued:
            reason = f"caller {caller} has {limits.queued} requests queued"
            return not_run_refusal(ErrorKind.CALLER_LIMIT, reason, RETRY_MS)
        return None

    def queued(self, profile: "Profile", caller: str, change: int) -> None:
        """Count a request that was queued (1) or left the queue (-1)."""
        _count(self._queued, _Key(profile.name, caller), change)

    def running(self, profile: "Profile", caller: str, change: int) -> None:
        """Count a request that was started (1) or has finished (-1)."""
        _count(self._running, _Key(profile.name, caller), change)


def _count(counts: Counter[_Key], key: _Key, change: int) -> None:
    counts[key] += change
    assert counts[key] >= 0
    # There can be thousands of callers over time; drop those without requests.
    if not counts[key]:
        del counts[key]
