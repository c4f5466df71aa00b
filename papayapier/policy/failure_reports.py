"""Decide which replicas get no calls for a while, from the failures that all instances report.

Motivation: nine of 45 replicas become unreachable at once. Each of 59 instances would have to lose
some calls at each of them before it avoids them, and a replica whose calls time out looks idle, so
that it attracts ever more calls; so does one that resets each connection, or that has ended and is
still listed. A hub that places all calls receives a few failures from several instances and stops
at once; then single calls find out whether the replica is back.
"""

from typing import Final

# A connection may fail by chance, and so may an instance's network.
MIN_FAILURES: Final = 3
MIN_REPORTERS: Final = 2
FAILURE_WINDOW_MS: Final = 1_000
FIRST_AVOIDED_MS: Final = 1_000
MAX_AVOIDED_MS: Final = 8_000
# After the time without calls, single calls try the replica until it has failed none for
# TRIAL_PERIOD_MS.
TRIAL_INTERVAL_MS: Final = 250
TRIAL_PERIOD_MS: Final = 1_500
# A replica that is avoided again within this time is avoided for twice as long.
REPEAT_WINDOW_MS: Final = 10_000


class _Failures:
    """Hold the reported failures of one replica; until_ms is the end of the time without calls."""

    __slots__ = ("avoided_ms", "failures", "repeats", "sent_ms", "until_ms")

    def __init__(self) -> None:
        self.failures: list[tuple[int, str]] = []
        self.until_ms = 0
        self.avoided_ms = 0
        self.sent_ms = 0
        self.repeats = 0


class FailureReports:
    """Track the failures that instances report."""

    def __init__(self) -> None:
        self._rows: dict[str, _Failures] = {}

    def on_failed(self, replica_id: str, reporter: str, now: int) -> bool:
        """Record a failed call; return whether the replica is avoided from now on."""
        state = self._rows.setdefault(replica_id, _Failures())
        state.failures = [
            failure for failure in state.failures if failure[0] > now - FAILURE_WINDOW_MS
        ]
        state.failures.append((now, reporter))
        avoided_before = bool(state.until_ms)
        on_trial = avoided_before and state.until_ms <= now < state.until_ms + TRIAL_PERIOD_MS
        enough = (
            len(state.failures) >= MIN_FAILURES
            and len({failure[1] for failure in state.failures}) >= MIN_REPORTERS
        )
        if now < state.until_ms or not (on_trial or enough):
            return False
        is_repeat = avoided_before and now < state.avoided_ms + REPEAT_WINDOW_MS
        state.repeats = state.repeats + 1 if is_repeat else 0
        state.avoided_ms = now
        state.until_ms = now + min(
            MAX_AVOIDED_MS, FIRST_AVOIDED_MS << min(state.repeats, MAX_AVOIDED_MS.bit_length())
        )
        state.failures = []
        return True

    def on_sent(self, replica_id: str, now: int) -> None:
        """Count a call that was sent to a replica."""
        state = self._rows.get(replica_id)
        if state is not None:
            state.sent_ms = now

    def on_listed(self, listed: frozenset[str]) -> None:
        """Forget the replicas that are no longer listed."""
        self._rows = {key: state for key, state in self._rows.items() if key in listed}

    def is_avoided(self, replica_id: str, now: int) -> bool:
        """Tell whether a replica gets no call now."""
        state = self._rows.get(replica_id)
        if state is None or not state.until_ms or now >= state.until_ms + TRIAL_PERIOD_MS:
            return False
        return now < state.until_ms or now < state.sent_ms + TRIAL_INTERVAL_MS
