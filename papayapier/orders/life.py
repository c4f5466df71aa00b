"""Follow one order from giving it to its end.

given: its answer is awaited.  doubtful: the answer was lost, and the order may have arrived,
may still be on its way, or never arrives.  taken: the engine lists it.  done: reading back
shows it in effect.  failed: it has ended otherwise.

Only reading back leads to done, and only reading back or the longest time of an order leads
out of doubtful; so an order is never given twice because an answer was lost.
"""

from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier.orders.needs import Item

LATE_MS: Final = 5_000


class OrderLife(Protocol):
    """Describe what can be learnt of an order; ended and in_doubt ask for its state."""

    def accepted(self) -> None:
        """Note that the engine answered that it takes the order."""

    def lost(self, now: int) -> None:
        """Note that there was no whole answer."""

    def refused(self, why: str) -> None:
        """Note that the engine certainly did not take the order."""

    def effect_seen(self) -> None:
        """Note that the order is in effect."""

    def listed(self) -> None:
        """Note that the engine lists the order."""

    def absent(self) -> None:
        """Note that the engine neither lists it nor has it in effect."""

    def overdue(self) -> None:
        """Note that the longest time of an order has passed."""

    def state(self) -> str:
        """Return the name of the state."""


class OrderFacts:
    """Hold what does not change with the state, and how it ended.

    look_after_ms is when a state must have been asked for to prove that a doubtful order
    did not arrive. blames_item tells a failure of the item from one of the delivery.
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
    facts.why = "the order did not arrive"


@_taken.upon(OrderLife.absent).to(_failed)
def _forgotten(_: OrderLife, facts: OrderFacts) -> None:
    facts.why = "the engine has forgotten the order"
    facts.blames_item = True


@_given.upon(OrderLife.overdue).to(_failed)
@_doubtful.upon(OrderLife.overdue).to(_failed)
@_taken.upon(OrderLife.overdue).to(_failed)
def _too_long(_: OrderLife, facts: OrderFacts) -> None:
    facts.why = "not in effect after the longest time of an order"
    facts.blames_item = True


start_life = _builder.build()
