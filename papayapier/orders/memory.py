"""Track one replica: its last known state and the order in progress there."""

from enum import Enum
from typing import Final, NamedTuple

from result import Ok

from papayapier.orders.life import OrderFacts, OrderLife, start_life
from papayapier.orders.needs import Item, in_effect, item_of
from papayapier.upstream.orders import EngineState, Order, OrderKind

FRESH_MS: Final = 2_000
LOOK_BUSY_MS: Final = 1_000
LOOK_IDLE_MS: Final = 30_000
BACKOFF_MS: Final = 10_000
BACKOFF_MOST_MS: Final = 600_000
HALT_FAILURES: Final = 3


class Sight(NamedTuple):
    """Describe a replica that is listed and not leaving; serving: it receives requests."""

    replica_id: str
    upstream: str
    serving: bool


class Answered(Enum):
    """State what the answer to an order proves."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    LOST = "lost"


class Ended(NamedTuple):
    """Report the result of an order; why is empty if it took effect."""

    item: Item
    why: str


class ReplicaMemory:
    """Track one replica; busy: it lacks, or may lack, something of the wanted state."""

    __slots__ = (
        "_asked_ms",
        "_blamed",
        "_facts",
        "_failures",
        "_life",
        "_looked_ms",
        "_not_before_ms",
        "busy",
        "sight",
        "state",
    )

    def __init__(self, sight: Sight) -> None:
        self.sight = sight
        self.state: EngineState | None = None
        self.busy = True
        self._asked_ms = -1
        self._looked_ms: int | None = None
        self._facts: OrderFacts | None = None
        self._life: OrderLife | None = None
        self._failures = 0
        self._blamed: Item | None = None
        self._not_before_ms = 0

    def underway(self) -> Item | None:
        """Return the item of the order in progress, or None."""
        return self._facts.item if self._facts else None

    def serves(self) -> bool:
        """Return whether the replica contributes to its upstream's capacity now.

        A replica whose order failed may still be processing it, whatever it reports. If it
        counted as serving, a version that no replica can load would be rolled out to one replica
        after the other until none serves.
        """
        has_model = self.state is not None and bool(self.state.models)
        idle = self._facts is None and self._blamed is None
        return self.sight.serving and idle and has_model

    def forgive(self) -> None:
        """Clear the failures; called when the replica lacks nothing of the wanted state."""
        self._failures = 0
        self._blamed = None

    def role(self) -> str | None:
        """Return the role that the replica has or is ordered to take; None if unknown."""
        if self._facts is not None and self._facts.item.kind is OrderKind.CHANGE_ROLE:
            return self._facts.item.name
        return self.state.role if self.state else None

    def may_be_ordered(self, now: int) -> bool:
        """Return whether the state is fresh, no order is in progress and no backoff applies."""
        fresh = self.state is not None and now - self._asked_ms <= FRESH_MS
        return fresh and self._facts is None and now >= self._not_before_ms

    def halts(self, item: Item) -> bool:
        """Return whether an item failed here so often that other replicas must not get it."""
        return self._blamed == item and self._failures >= HALT_FAILURES

    def look_due(self, now: int) -> bool:
        """Return whether to read the replica's state now, and if so record the read."""
        wait_ms = LOOK_BUSY_MS if self.busy or self._facts else LOOK_IDLE_MS
        if self._looked_ms is not None and now - self._looked_ms < wait_ms:
            return False
        self._looked_ms = now
        return True

    def give(self, order: Order, item: Item, now: int, until_ms: int) -> None:
        """Record an order that is being sent."""
        self._follow(OrderFacts(order.order_id, item, now, until_ms))

    def answered(self, order_id: str, answer: Answered, now: int) -> Ended | None:
        """Process the answer to an order; return its result if it has ended."""
        if self._facts is None or self._life is None or self._facts.order_id != order_id:
            return None
        if answer is Answered.ACCEPTED:
            self._life.accepted()
        elif answer is Answered.LOST:
            self._life.lost(now)
        else:
            self._life.refused(f"the order was {answer.value}")
        return self._ended(now)

    def seen(self, state: EngineState, asked_ms: int, now: int, longest_ms: int) -> Ended | None:
        """Process a state requested at asked_ms; return the order's result if it has ended."""
        if asked_ms < self._asked_ms:
            return None
        if self.state is None and self._facts is None:
            self._adopt(state, now, longest_ms)
        self.busy = self.busy or state != self.state
        self.state = state
        self._asked_ms = asked_ms
        if self._facts is None or self._life is None or asked_ms < self._facts.given_ms:
            return None
        if in_effect(state, self._facts.item):
            self._life.effect_seen()
        elif self._facts.order_id in state.orders:
            self._life.listed()
        elif asked_ms >= self._facts.look_after_ms:
            self._life.absent()
        return self._ended(now)

    def check_overdue(self, now: int) -> Ended | None:
        """Fail an order that has exceeded its time limit."""
        if self._facts is None or self._life is None or now < self._facts.until_ms:
            return None
        self._life.overdue()
        return self._ended(now)

    def _adopt(self, state: EngineState, now: int, longest_ms: int) -> None:
        """Treat the previous controller's last order as in progress if it is not in effect.

        The engine's list does not show whether an order is still being processed. Without this,
        a new controller would order the same load a second time.
        """
        if not state.orders:
            return
        order_id = state.orders[-1]
        match item_of(order_id):
            case Ok(item) if not in_effect(state, item):
                self._follow(OrderFacts(order_id, item, now, now + longest_ms))

    def _follow(self, facts: OrderFacts) -> None:
        self._facts = facts
        self._life = start_life(facts)

    def _ended(self, now: int) -> Ended | None:
        if self._facts is None or self._life is None:
            return None
        if self._life.state() not in ("done", "failed"):
            return None
        facts = self._facts
        self._facts = None
        self._life = None
        if facts.why:
            self._count_failure(facts, now)
        else:
            self.forgive()
        return Ended(facts.item, facts.why)

    def _count_failure(self, facts: OrderFacts, now: int) -> None:
        """Count a failure and start the backoff, which is longer than a state counts as fresh.

        So the next order requires a state that was read after this order ended.
        """
        if facts.blames_item and self._blamed != facts.item:
            self._blamed = facts.item
            self._failures = 0
        self._failures += 1
        wait_ms = min(BACKOFF_MS << (self._failures - 1), BACKOFF_MOST_MS)
        self._not_before_ms = now + wait_ms
