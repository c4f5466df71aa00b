"""Spread the retries of refused callers over time.

Motivation: hundreds of calls are refused within a tenth of a second. Given the same retry time,
their callers would retry in one new burst. So each refusal gets a time of its own, one after the
other at the rate at which slots become free, starting when the backlog will have been worked off.
"""

from typing import Final

from papayapier.policy.waiting import MAX_RETRY_AFTER_MS

MIN_MS: Final = 200
MAX_MS: Final = MAX_RETRY_AFTER_MS
# Time between retries while no rate is known.
SPACING_MS: Final = 2.0


class RetryTimes:
    """Track the last retry time given out for one queue."""

    def __init__(self) -> None:
        self._last_ms = 0.0

    def after_ms(self, backlog_ms: int, per_ms: float | None, longest_ms: int, now: int) -> int:
        """Return when the next refused caller should retry, in ms from now.

        backlog_ms is when the present backlog will have been worked off, longest_ms the longest
        wait that the caller accepts.
        """
        latest = now + max(MIN_MS, min(MAX_MS, longest_ms))
        earliest = min(latest, now + max(MIN_MS, backlog_ms))
        spacing = 1 / per_ms if per_ms else SPACING_MS
        retry_ms = max(float(earliest), self._last_ms + spacing)
        if retry_ms > latest:
            # More callers retry than there will be slots for; the rest are spread over the same
            # time.
            retry_ms = float(earliest)
        self._last_ms = retry_ms
        return round(retry_ms) - now
