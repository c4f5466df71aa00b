"""Define the state machine of one order, from sending it to its result.

given: waiting for its answer. doubtful: the answer was lost; the order may have arrived, may
still be in flight, or may never arrive. taken: the engine lists the order. done: the engine's
state shows that it took effect. failed: it ended without taking effect.

Only the engine's state leads to done, and only the engine's state or the time limit of an order
leads out of doubtful. So an order is never sent twice because an answer was lost.
"""

from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier.orders.items import Item

MAX_IN_FLIGHT_MS: Final = 5_000


class OrderMachine(Protocol):
    """Declare the inputs of the state machine, and the query of its state."""

    def on_accepted(self) -> None:
        """Handle an answer that the engine accepts the order."""

    def on_lost(self, now: int) -> None:
        """Handle a missing or incomplete answer."""

    def on_refused(self, reason: str) -> None:
        """Handle a confirmed refusal, or an order that was not sent."""

    def on_effect(self) -> None:
        """Handle an engine state in which the order is in effect."""

    def on_listed(self) -> None:
        """Handle an engine state that lists the order as accepted."""

    def on_absent(self) -> None:
        """Handle an engine state that neither lists the order nor has it in effect."""

    def on_overdue(self) -> None:
        """Handle the end of the order's time limit."""

    def state(self) -> str:
        """Return the name of the state."""


class OrderData:
    """Hold the data of an order that does not depend on its state, and the reason of a failure.

    Only an engine state requested at confirm_after_ms or later proves that a doubtful order did not
    arrive. blames_item distinguishes a failure of the item from one of the delivery.
    """

    __slots__ = (
        "blames_item",
        "confirm_after_ms",
        "item",
        "order_id",
        "reason",
        "sent_ms",
        "until_ms",
    )

    def __init__(self, order_id: str, item: Item, sent_ms: int, until_ms: int) -> None:
        self.order_id = order_id
        self.item = item
        self.sent_ms = sent_ms
        self.until_ms = until_ms
        self.confirm_after_ms = sent_ms
        self.reason = ""
        self.blames_item = False


_builder = TypeMachineBuilder(OrderMachine, OrderData)
_given = _builder.state("given")
_doubtful = _builder.state("doubtful")
_taken = _builder.state("taken")
_done = _builder.state("done")
_failed = _builder.state("failed")

_given.upon(OrderMachine.on_accepted).to(_taken).returns(None)
_given.upon(OrderMachine.on_absent).loop().returns(None)
for _state in (_given, _doubtful, _taken):
    _state.upon(OrderMachine.on_effect).to(_done).returns(None)
for _state in (_given, _doubtful):
    _state.upon(OrderMachine.on_listed).to(_taken).returns(None)
_taken.upon(OrderMachine.on_listed).loop().returns(None)

for _state in (_doubtful, _taken, _done, _failed):
    _state.upon(OrderMachine.on_accepted).loop().returns(None)
    _state.upon(OrderMachine.on_lost).loop().returns(None)
    _state.upon(OrderMachine.on_refused).loop().returns(None)
for _state in (_done, _failed):
    _state.upon(OrderMachine.on_effect).loop().returns(None)
    _state.upon(OrderMachine.on_listed).loop().returns(None)
    _state.upon(OrderMachine.on_absent).loop().returns(None)
    _state.upon(OrderMachine.on_overdue).loop().returns(None)
for _state, _name in (
    (_given, "given"),
    (_doubtful, "doubtful"),
    (_taken, "taken"),
    (_done, "done"),
    (_failed, "failed"),
):
    _state.upon(OrderMachine.state).loop().returns(_name)


@_given.upon(OrderMachine.on_lost).to(_doubtful)
def _answer_lost(_: OrderMachine, order: OrderData, now: int) -> None:
    order.confirm_after_ms = now + MAX_IN_FLIGHT_MS


@_given.upon(OrderMachine.on_refused).to(_failed)
def _not_accepted(_: OrderMachine, order: OrderData, reason: str) -> None:
    order.reason = reason


@_doubtful.upon(OrderMachine.on_absent).to(_failed)
def _not_arrived(_: OrderMachine, order: OrderData) -> None:
    order.reason = "the order did not reach the engine"


@_taken.upon(OrderMachine.on_absent).to(_failed)
def _no_longer_listed(_: OrderMachine, order: OrderData) -> None:
    order.reason = "the engine no longer lists the order"
    order.blames_item = True


@_given.upon(OrderMachine.on_overdue).to(_failed)
@_doubtful.upon(OrderMachine.on_overdue).to(_failed)
@_taken.upon(OrderMachine.on_overdue).to(_failed)
def _timed_out(_: OrderMachine, order: OrderData) -> None:
    order.reason = "the order did not take effect within its time limit"
    order.blames_item = True


start_order_machine = _builder.build()
