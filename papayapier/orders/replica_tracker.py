"""Track one replica: its last known state and the order in progress there."""

from enum import Enum
from typing import Final, NamedTuple

from result import Ok

from papayapier.orders.items import Item, in_effect, parse_order_id
from papayapier.orders.order_machine import OrderData, OrderMachine, start_order_machine
from papayapier.upstream.engine_control import EngineState, Order, OrderKind

MAX_STATE_AGE_MS: Final = 2_000
BUSY_READ_MS: Final = 1_000
IDLE_READ_MS: Final = 30_000
BACKOFF_MS: Final = 10_000
MAX_BACKOFF_MS: Final = 600_000
MAX_ITEM_FAILURES: Final = 3


class ReplicaInfo(NamedTuple):
    """Describe a replica that is listed and not leaving; serving: it receives requests."""

    replica_id: str
    upstream: str
    serving: bool


class AnswerOutcome(Enum):
    """State what the answer to an order proves."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    LOST = "lost"


class OrderResult(NamedTuple):
    """Report the result of an order; reason is empty if it took effect."""

    item: Item
    reason: str


class ReplicaTracker:
    """Track one replica; may_lack_items: it lacks, or may lack, something of the wanted state."""

    __slots__ = (
        "_backoff_until_ms",
        "_failed_item",
        "_failures",
        "_last_read_ms",
        "_machine",
        "_order",
        "_state_requested_ms",
        "info",
        "may_lack_items",
        "state",
    )

    def __init__(self, info: ReplicaInfo) -> None:
        self.info = info
        self.state: EngineState | None = None
        self.may_lack_items = True
        self._state_requested_ms = -1
        self._last_read_ms: int | None = None
        self._order: OrderData | None = None
        self._machine: OrderMachine | None = None
        self._failures = 0
        self._failed_item: Item | None = None
        self._backoff_until_ms = 0

    def item_in_progress(self) -> Item | None:
        """Return the item of the order in progress, or None."""
        return self._order.item if self._order else None

    def serves(self) -> bool:
        """Return whether the replica contributes to its upstream's capacity now.

        A replica whose order failed may still be processing it, whatever it reports. If it
        counted as serving, a version that no replica can load would be rolled out to one replica
        after the other until none serves.
        """
        has_model = self.state is not None and bool(self.state.models)
        idle = self._order is None and self._failed_item is None
        return self.info.serving and idle and has_model

    def clear_failures(self) -> None:
        """Clear the failures; called when the replica lacks nothing of the wanted state."""
        self._failures = 0
        self._failed_item = None

    def role(self) -> str | None:
        """Return the role that the replica has or is ordered to take; None if unknown."""
        if self._order is not None and self._order.item.kind is OrderKind.CHANGE_ROLE:
            return self._order.item.name
        return self.state.role if self.state else None

    def may_be_ordered(self, now: int) -> bool:
        """Return whether the state is fresh, no order is in progress and no backoff applies."""
        fresh = self.state is not None and now - self._state_requested_ms <= MAX_STATE_AGE_MS
        return fresh and self._order is None and now >= self._backoff_until_ms

    def blocks_item(self, item: Item) -> bool:
        """Return whether an item failed here so often that other replicas must not get it."""
        return self._failed_item == item and self._failures >= MAX_ITEM_FAILURES

    def read_due(self, now: int) -> bool:
        """Return whether to read the replica's state now, and if so record the read."""
        wait_ms = BUSY_READ_MS if self.may_lack_items or self._order else IDLE_READ_MS
        if self._last_read_ms is not None and now - self._last_read_ms < wait_ms:
            return False
        self._last_read_ms = now
        return True

    def start_order(self, order: Order, item: Item, now: int, until_ms: int) -> None:
        """Record an order that is being sent."""
        self._track(OrderData(order.order_id, item, now, until_ms))

    def on_answer(self, order_id: str, answer: AnswerOutcome, now: int) -> OrderResult | None:
        """Process the answer to an order; return its result if it has ended."""
        if self._order is None or self._machine is None or self._order.order_id != order_id:
            return None
        if answer is AnswerOutcome.ACCEPTED:
            self._machine.on_accepted()
        elif answer is AnswerOutcome.LOST:
            self._machine.on_lost(now)
        else:
            self._machine.on_refused(f"the order was {answer.value}")
        return self._take_result(now)

    def on_state(
        self, state: EngineState, requested_ms: int, now: int, longest_ms: int
    ) -> OrderResult | None:
        """Process a state requested at requested_ms; return the order's result if it has ended."""
        if requested_ms < self._state_requested_ms:
            return None
        if self.state is None and self._order is None:
            self._adopt(state, now, longest_ms)
        self.may_lack_items = self.may_lack_items or state != self.state
        self.state = state
        self._state_requested_ms = requested_ms
        if self._order is None or self._machine is None or requested_ms < self._order.sent_ms:
            return None
        if in_effect(state, self._order.item):
            self._machine.on_effect()
        elif self._order.order_id in state.orders:
            self._machine.on_listed()
        elif requested_ms >= self._order.confirm_after_ms:
            self._machine.on_absent()
        return self._take_result(now)

    def check_overdue(self, now: int) -> OrderResult | None:
        """Fail an order that has exceeded its time limit."""
        if self._order is None or self._machine is None or now < self._order.until_ms:
            return None
        self._machine.on_overdue()
        return self._take_result(now)

    def _adopt(self, state: EngineState, now: int, longest_ms: int) -> None:
        """Treat the previous controller's last order as in progress if it is not in effect.

        The engine's list does not show whether an order is still being processed. Without this,
        a new controller would order the same load a second time.
        """
        if not state.orders:
            return
        order_id = state.orders[-1]
        match parse_order_id(order_id):
            case Ok(item) if not in_effect(state, item):
                self._track(OrderData(order_id, item, now, now + longest_ms))

    def _track(self, order: OrderData) -> None:
        self._order = order
        self._machine = start_order_machine(order)

    def _take_result(self, now: int) -> OrderResult | None:
        if self._order is None or self._machine is None:
            return None
        if self._machine.state() not in ("done", "failed"):
            return None
        order = self._order
        self._order = None
        self._machine = None
        if order.reason:
            self._count_failure(order, now)
        else:
            self.clear_failures()
        return OrderResult(order.item, order.reason)

    def _count_failure(self, order: OrderData, now: int) -> None:
        """Count a failure and start the backoff, which is longer than a state counts as fresh.

        So the next order requires a state that was read after this order ended.
        """
        if order.blames_item and self._failed_item != order.item:
            self._failed_item = order.item
            self._failures = 0
        self._failures += 1
        wait_ms = min(BACKOFF_MS << (self._failures - 1), MAX_BACKOFF_MS)
        self._backoff_until_ms = now + wait_ms
