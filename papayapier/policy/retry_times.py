"""Give each refused caller a moment of its own for its return.

The load this answers: hundreds are refused within a tenth of a second. Told the same moment, they
would come back as one new jump. So they are dated one after the other, as fast as places become
free, from the moment on at which the backlog is worked off.
"""

from typing import Final

from papayapier.policy.waiting import LONGEST_RETURN_MS

SHORTEST_MS: Final = 200
LONGEST_MS: Final = LONGEST_RETURN_MS
# Returns while no rate is known.
SPACING_MS: Final = 2.0


class Returns:
    """Hold the moment that was given out last, of one queue."""

    def __init__(self) -> None:
        self._last_ms = 0.0

    def after_ms(self, backlog_ms: int, per_ms: float | None, longest_ms: int, now: int) -> int:
        """Return when the next refused caller should come back, in ms from now.

        backlog_ms is when the present backlog is worked off, longest_ms the longest wait that
        the caller can honour.
        """
        latest = now + max(SHORTEST_MS, min(LONGEST_MS, longest_ms))
        earliest = min(latest, now + max(SHORTEST_MS, backlog_ms))
        spacing = 1 / per_ms if per_ms else SPACING_MS
        moment = max(float(earliest), self._last_ms + spacing)
        if moment > latest:
            # More return than there are places for; the rest is spread over the same time.
            moment = float(earliest)
        self._last_ms = moment
        return round(moment) - now
