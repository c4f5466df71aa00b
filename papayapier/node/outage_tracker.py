"""Know when the store was last away, by this process's own calls and by what hubs tell.

A process that follows the store through a hub makes hardly a call of its own, so that an outage
may pass unseen. What lapsed in it would then be taken for gone at once.
"""

from papayapier.clock import Clock, Millis
from papayapier.peer.messages import NEVER_AWAY
from papayapier.store.budget import Budget

NEVER: Millis = Millis(0)


class StoreReturn:
    """Hold when the store came back."""

    def __init__(self, clock: Clock, budget: Budget) -> None:
        self._clock = clock
        self._budget = budget
        self._told_ms = NEVER

    def back_ms(self) -> int | None:
        """Return when the store last came back; 0 for never away, None while it is away."""
        if self._budget.down_since() is not None:
            return None
        return max(self._budget.back_ms() or NEVER, self._told_ms)

    def ms_ago(self) -> int:
        """Return what to tell others: how long ago it came back, 0 while it is away."""
        back = self.back_ms()
        if back is None:
            return 0
        return self._clock.now() - back if back else NEVER_AWAY

    def on_told(self, ms_ago: int) -> None:
        """Take from a hub that the store came back so long ago."""
        self._told_ms = max(self._told_ms, Millis(self._clock.now() - ms_ago))
