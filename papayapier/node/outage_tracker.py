"""Track when the store was last unreachable, by this process's own calls and by hubs' reports.

A process that follows the store through a hub makes hardly any calls of its own, so it may not
notice an outage. It would then treat the replicas that expired during the outage as removed.
"""

from papayapier.clock import Clock, Millis
from papayapier.peer.messages import NEVER_AWAY
from papayapier.store.budget import Budget

NEVER: Millis = Millis(0)


class StoreReturn:
    """Hold when the store last returned from an outage."""

    def __init__(self, clock: Clock, budget: Budget) -> None:
        self._clock = clock
        self._budget = budget
        self._told_ms = NEVER

    def back_ms(self) -> int | None:
        """Return when the store last returned, 0 if it never failed, None while unreachable."""
        if self._budget.down_since() is not None:
            return None
        return max(self._budget.back_ms() or NEVER, self._told_ms)

    def ms_ago(self) -> int:
        """Return how many ms ago the store returned, to report to others; 0 while unreachable."""
        back = self.back_ms()
        if back is None:
            return 0
        return self._clock.now() - back if back else NEVER_AWAY

    def on_told(self, ms_ago: int) -> None:
        """Record a hub's report that the store returned this many ms ago."""
        self._told_ms = max(self._told_ms, Millis(self._clock.now() - ms_ago))
