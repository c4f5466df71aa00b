"""Track when the store was last unreachable, by this process's own calls and by hubs' reports.

A process that follows the store through a hub makes hardly any calls of its own, so it may not
notice an outage. It would then treat the replicas that expired during the outage as removed.
"""

from papayapier.clock import Clock, Millis
from papayapier.peer.messages import NO_OUTAGE
from papayapier.store.budget import Budget

NEVER: Millis = Millis(0)


class OutageTracker:
    """Hold when the store last returned from an outage."""

    def __init__(self, clock: Clock, budget: Budget) -> None:
        self._clock = clock
        self._budget = budget
        self._reported_ms = NEVER

    def last_return_ms(self) -> int | None:
        """Return when the store last returned, 0 if it never failed, None while unreachable."""
        if self._budget.down_since() is not None:
            return None
        return max(self._budget.recovered_ms() or NEVER, self._reported_ms)

    def ms_since_return(self) -> int:
        """Return how many ms ago the store returned, to report to others; 0 while unreachable."""
        returned_ms = self.last_return_ms()
        if returned_ms is None:
            return 0
        return self._clock.now() - returned_ms if returned_ms else NO_OUTAGE

    def on_reported(self, ms_since_return: int) -> None:
        """Record a hub's report that the store returned this many ms ago."""
        self._reported_ms = max(self._reported_ms, Millis(self._clock.now() - ms_since_return))
