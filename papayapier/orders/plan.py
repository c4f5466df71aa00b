"""Decide which order to send next, without I/O, clock or randomness.

The plan tracks for each replica its last known state and the single order that may be in
progress there. The answer to an order proves little: it can be lost, and some engines accept
orders whatever their fencing number. So an order ends only when the engine's state shows its
result or when its time limit has passed; only then can the replica get another order.

Four limits delay a required order:
- Handover. Engines that ignore fencing numbers would also accept a late order of the previous
  controller. For those, a new controller waits until the old lease and then the time limit of
  an order have passed. For other engines it starts at once, but treats the last order in the
  engine's list as in progress if it is not in effect.
- Capacity. A replica with an order in progress counts as not serving until its state shows that
  the order took effect, and no order may reduce the serving replicas of its upstream below the
  required number. So the rollout of a version that breaks replicas stops by itself.
- Weights. Loads are spaced in time and limited in number, because the weight store limits the
  rate of all reads together. A new controller starts with a full gap.
- Failure. After each failed order the replica's backoff grows, and after several failures of an
  item the other replicas of the upstream do not get it.
"""

from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from math import ceil
from typing import Final, NamedTuple

from papayapier.config.upstreams import UpstreamWanted
from papayapier.orders.items import Item, assign_roles, make_order, missing_items
from papayapier.orders.replica_tracker import (
    MAX_ITEM_FAILURES,
    AnswerOutcome,
    OrderResult,
    ReplicaInfo,
    ReplicaTracker,
)
from papayapier.upstream.engine_control import EngineState, Order

ROLES_WAIT_MS: Final = 10_000


class OrderLimits(NamedTuple):
    """Limit what one controller does; lease_ms is the duration of the controller's lease."""

    lease_ms: int
    load_gap_ms: int
    loads_at_once: int


class SendOrder(NamedTuple):
    """Instruct the controller to send an order."""

    replica_id: str
    order: Order


class ReadState(NamedTuple):
    """Instruct the controller to read a replica's state."""

    replica_id: str


class OrderEventKind(Enum):
    """List the events of orders that are reported to operators."""

    GIVEN = "given"
    DONE = "done"
    FAILED = "failed"
    HELD = "held"


class OrderEvent(NamedTuple):
    """Report an event of an order, or of a required order that is delayed."""

    kind: OrderEventKind
    replica_id: str
    item: Item
    reason: str


class OrderPlan:
    """Decide the next orders while this instance is the controller."""

    def __init__(self, limits: OrderLimits, need: Callable[[str], int]) -> None:
        self._limits = limits
        self._need = need
        self._wanted: dict[str, UpstreamWanted] = {}
        self._replicas: dict[str, ReplicaTracker] = {}
        self._groups: dict[str, list[ReplicaTracker]] = {}
        self._started_ms = 0
        self._clean = False
        self._loads = 0
        self._last_load_ms = 0
        self._number = 0
        self._events: list[OrderEvent] = []
        self._held_back: dict[str, str] = {}

    def start(self, now: int, clean: bool) -> None:
        """Start as controller and discard all states read before.

        clean: the previous controller left no order in progress.
        """
        self._started_ms = now
        self._clean = clean
        self._last_load_ms = now
        infos = [replica.info for replica in self._replicas.values()]
        self._replicas = {}
        self.set_replicas(infos)

    def set_wanted(self, wanted: Iterable[UpstreamWanted]) -> None:
        """Set the wanted state of all upstreams."""
        self._wanted = {upstream.name: upstream for upstream in wanted}
        for replica in self._replicas.values():
            replica.may_lack_items = True

    def set_replicas(self, infos: Iterable[ReplicaInfo]) -> None:
        """Set the listed replicas; those that were removed or are leaving are dropped."""
        known = self._replicas
        self._replicas = {}
        for info in infos:
            replica = known.get(info.replica_id) or ReplicaTracker(info)
            replica.info = info
            self._replicas[info.replica_id] = replica
        self._group()
        self._held_back = {
            id: reason for id, reason in self._held_back.items() if id in self._replicas
        }

    def on_state(self, replica_id: str, state: EngineState, requested_ms: int, now: int) -> None:
        """Process an engine state that was requested at requested_ms."""
        replica = self._replicas.get(replica_id)
        if replica is None or requested_ms < self._started_ms:
            return
        wanted = self._wanted.get(replica.info.upstream)
        longest_ms = wanted.orders.longest_order_ms if wanted else 0
        self._record_result(replica, replica.on_state(state, requested_ms, now, longest_ms))

    def on_answer(self, replica_id: str, order_id: str, answer: AnswerOutcome, now: int) -> None:
        """Process the answer to an order."""
        replica = self._replicas.get(replica_id)
        if replica is not None:
            self._record_result(replica, replica.on_answer(order_id, answer, now))

    def steps(self, fence: int, now: int) -> list[SendOrder | ReadState]:
        """Return the steps to run now; the returned orders count as sent."""
        for replica in self._replicas.values():
            self._record_result(replica, replica.check_overdue(now))
        self._loads = sum(item.is_load for item in self.items_in_progress().values())
        steps: list[SendOrder | ReadState] = []
        for name in sorted(self._wanted):
            steps += self._orders_for(self._wanted[name], fence, now)
        for replica in self._replicas.values():
            if replica.info.upstream in self._wanted and replica.read_due(now):
                steps.append(ReadState(replica.info.replica_id))
        return steps

    def busy(self) -> bool:
        """Return whether any replica lacks something or has an order in progress."""
        wanted = (r for r in self._replicas.values() if r.info.upstream in self._wanted)
        return any(replica.may_lack_items or replica.item_in_progress() for replica in wanted)

    def take_events(self) -> list[OrderEvent]:
        """Return and clear the events to report to operators."""
        events, self._events = self._events, []
        return events

    def items_in_progress(self) -> dict[str, Item]:
        """Return the items of the orders in progress, by replica."""
        items = {id: replica.item_in_progress() for id, replica in self._replicas.items()}
        return {id: item for id, item in items.items() if item is not None}

    def _group(self) -> None:
        """Group the replicas by upstream once, since every step iterates over them."""
        self._groups = {}
        for replica in sorted(self._replicas.values(), key=lambda r: r.info.replica_id):
            self._groups.setdefault(replica.info.upstream, []).append(replica)

    def _orders_for(self, wanted: UpstreamWanted, fence: int, now: int) -> list[SendOrder]:
        replicas = self._groups.get(wanted.name, [])
        roles = self._roles(wanted, replicas, now) if wanted.roles else {}
        send_orders = []
        for replica in replicas:
            # Without roles, which depend on other replicas, only a new state can require an order.
            settled = not replica.may_lack_items and not wanted.roles
            if replica.state is None or settled:
                continue
            items = missing_items(wanted, replica.state, roles.get(replica.info.replica_id, ""))
            replica.may_lack_items = bool(items)
            if not items:
                replica.clear_failures()
            elif self._may_send(replica, items[0], wanted, replicas, now):
                send_orders.append(self._start_order(replica, items[0], wanted, fence, now))
        return send_orders

    def _roles(
        self, wanted: UpstreamWanted, replicas: Sequence[ReplicaTracker], now: int
    ) -> dict[str, str]:
        """Assign roles when all replicas have been read, or after ROLES_WAIT_MS.

        Otherwise a replica would be moved into a role that a replica not yet read has.
        """
        roles = {replica.info.replica_id: replica.role() for replica in replicas}
        known = {id: role for id, role in roles.items() if role is not None}
        if len(known) < len(roles) and now < self._started_ms + ROLES_WAIT_MS:
            return {}
        return assign_roles(wanted, known)

    def _may_send(
        self,
        replica: ReplicaTracker,
        item: Item,
        wanted: UpstreamWanted,
        replicas: Sequence[ReplicaTracker],
        now: int,
    ) -> bool:
        """Return whether an order may be sent now; report it to operators if it is held back."""
        rule = wanted.orders
        handover_ms = self._started_ms + self._limits.lease_ms + rule.longest_order_ms
        if not replica.may_be_ordered(now):
            return False
        if not (rule.checks_fence or self._clean) and now < handover_ms:
            return False
        if item.is_load and not self._may_load(now):
            return False
        reason = self._hold_back_reason(replica, item, wanted, replicas)
        if reason and self._held_back.get(replica.info.replica_id) != reason:
            self._record(OrderEventKind.HELD, replica, item, reason)
        self._held_back[replica.info.replica_id] = reason
        return not reason

    def _hold_back_reason(
        self,
        replica: ReplicaTracker,
        item: Item,
        wanted: UpstreamWanted,
        replicas: Sequence[ReplicaTracker],
    ) -> str:
        """Return the reason why an order is held back and operators may have to act, or ""."""
        blocking = [other.info.replica_id for other in replicas if other.blocks_item(item)]
        if blocking and not replica.blocks_item(item):
            return f"the item failed {MAX_ITEM_FAILURES} times on {blocking[0]}"
        if not item.takes_capacity or not replica.serves():
            return ""
        serving = sum(other.serves() for other in replicas)
        need = self._required_serving(wanted, len(replicas))
        return "" if serving - 1 >= need else f"{serving} replicas serve and {need} are required"

    def _required_serving(self, wanted: UpstreamWanted, listed: int) -> int:
        rule = wanted.orders
        share = ceil(rule.min_serving_share * listed)
        return max(rule.min_serving, share, self._need(wanted.name))

    def _may_load(self, now: int) -> bool:
        spaced = now >= self._last_load_ms + self._limits.load_gap_ms
        return spaced and self._loads < self._limits.loads_at_once

    def _start_order(
        self, replica: ReplicaTracker, item: Item, wanted: UpstreamWanted, fence: int, now: int
    ) -> SendOrder:
        self._number += 1
        order = make_order(fence, self._number, item)
        replica.start_order(order, item, now, now + wanted.orders.longest_order_ms)
        if item.is_load:
            self._last_load_ms = now
            self._loads += 1
        self._record(OrderEventKind.GIVEN, replica, item, order.order_id)
        return SendOrder(replica.info.replica_id, order)

    def _record_result(self, replica: ReplicaTracker, result: OrderResult | None) -> None:
        if result is not None:
            kind = OrderEventKind.FAILED if result.reason else OrderEventKind.DONE
            self._record(kind, replica, result.item, result.reason)

    def _record(
        self, kind: OrderEventKind, replica: ReplicaTracker, item: Item, reason: str
    ) -> None:
        self._events.append(OrderEvent(kind, replica.info.replica_id, item, reason))
