"""Define the state machine of one order, from sending it to its result.

given: waiting for its answer. doubtful: the answer was lost; the order may have arrived, may
still be in flight, or may never arrive. taken: the engine lists the order. done: the engine's
state shows that it took effect. failed: it ended without taking effect.

Only the engine's state leads to done, and only the engine's state or the time limit of an order
leads out of doubtful. So an order is never sent twice because an answer was lost.
"""

from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier.orders.needs import Item

LATE_MS: Final = 5_000


class OrderLife(Protocol):
    """Declare the inputs of the state machine, and the query of its state."""

    def accepted(self) -> None:
        """Handle an answer that the engine accepts the order."""

    def lost(self, now: int) -> None:
        """Handle a missing or incomplete answer."""

    def refused(self, why: str) -> None:
        """Handle a confirmed refusal, or an order that was not sent."""

    def effect_seen(self) -> None:
        """Handle an engine state in which the order is in effect."""

    def listed(self) -> None:
        """Handle an engine state that lists the order as accepted."""

    def absent(self) -> None:
        """Handle an engine state that neither lists the order nor has it in effect."""

    def overdue(self) -> None:
        """Handle the end of the order's time limit."""

    def state(self) -> str:
        """Return the name of the state."""


class OrderFacts:
    """Hold the data of an order that does not depend on its state, and the reason of a failure.

    Only an engine state requested at look_after_ms or later proves that a doubtful order did not
    arrive. blames_item distinguishes a failure of the item from one of the delivery.
    """

    __slots__ = (
        "blames_item",
        "given_ms",
        "item",
        "look_after_ms",
        "order_id",
        "until_ms",
        "why",
    )

    def __init__(self, order_id: str, item: Item, given_ms: int, until_ms: int) -> None:
        self.order_id = order_id
        self.item = item
        self.given_ms = given_ms
        self.until_ms = until_ms
        self.look_after_ms = given_ms
        self.why = ""
        self.blames_item = False


_builder = TypeMachineBuilder(OrderLife, OrderFacts)
_given = _builder.state("given")
_doubtful = _builder.state("doubtful")
_taken = _builder.state("taken")
_done = _builder.state("done")
_failed = _builder.state("failed")

_given.upon(OrderLife.accepted).to(_taken).returns(None)
_given.upon(OrderLife.absent).loop().returns(None)
for _state in (_given, _doubtful, _taken):
    _state.upon(OrderLife.effect_seen).to(_done).returns(None)
for _state in (_given, _doubtful):
    _state.upon(OrderLife.listed).to(_taken).returns(None)
_taken.upon(OrderLife.listed).loop().returns(None)

for _state in (_doubtful, _taken, _done, _failed):
    _state.upon(OrderLife.accepted).loop().returns(None)
    _state.upon(OrderLife.lost).loop().returns(None)
    _state.upon(OrderLife.refused).loop().returns(None)
for _state in (_done, _failed):
    _state.upon(OrderLife.effect_seen).loop().returns(None)
    _state.upon(OrderLife.listed).loop().returns(None)
    _state.upon(OrderLife.absent).loop().returns(None)
    _state.upon(OrderLife.overdue).loop().returns(None)
for _state, _name in (
    (_given, "given"),
    (_doubtful, "doubtful"),
    (_taken, "taken"),
    (_done, "done"),
    (_failed, "failed"),
):
    _state.upon(OrderLife.state).loop().returns(_name)


@_given.upon(OrderLife.lost).to(_doubtful)
def _doubt(_: OrderLife, facts: OrderFacts, now: int) -> None:
    facts.look_after_ms = now + LATE_MS


@_given.upon(OrderLife.refused).to(_failed)
def _refuse(_: OrderLife, facts: OrderFacts, why: str) -> None:
    facts.why = why


@_doubtful.upon(OrderLife.absent).to(_failed)
def _not_arrived(_: OrderLife, facts: OrderFacts) -> None:
    facts.why = "the order did not reach the engine"


@_taken.upon(OrderLife.absent).to(_failed)
def _forgotten(_: OrderLife, facts: OrderFacts) -> None:
    facts.why = "the engine no longer lists the order"
    facts.blames_item = True


@_given.upon(OrderLife.overdue).to(_failed)
@_doubtful.upon(OrderLife.overdue).to(_failed)
@_taken.upon(OrderLife.overdue).to(_failed)
def _too_long(_: OrderLife, facts: OrderFacts) -> None:
    facts.why = "the order did not take effect within its time limit"
    facts.blames_item = True


start_life = _builder.build()
