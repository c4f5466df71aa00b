"""Work out what a replica still lacks of its upstream's wanted state."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.config.upstreams import UpstreamWanted
from papayapier.upstream.orders import EngineState, Order, OrderKind

ID_PARTS: Final = 3


class Item(NamedTuple):
    """Name one thing that a replica can be ordered to have."""

    kind: OrderKind
    name: str

    @property
    def is_load(self) -> bool:
        """Tell whether the engine reads from the weight store for it."""
        return self.kind is not OrderKind.CHANGE_ROLE

    @property
    def takes_capacity(self) -> bool:
        """Tell whether the engine may stop to admit requests; adapters load beside them."""
        return self.kind is not OrderKind.LOAD_ADAPTER


def missing(wanted: UpstreamWanted, state: EngineState, role: str) -> list[Item]:
    """List what a replica lacks, in the order in which it is to be given.

    The version comes first, because an engine may forget what it has loaded when its
    version changes. An empty role stands for any.
    """
    items = [Item(OrderKind.LOAD_VERSION, wanted.version)] if wanted.version else []
    items += [Item(OrderKind.LOAD_MODEL, name) for name in wanted.models]
    items += [Item(OrderKind.LOAD_ADAPTER, name) for name in wanted.adapters]
    items += [Item(OrderKind.CHANGE_ROLE, role)] if role else []
    return [item for item in items if not in_effect(state, item)]


def in_effect(state: EngineState, item: Item) -> bool:
    """Tell whether a replica has an item."""
    match item.kind:
        case OrderKind.LOAD_MODEL:
            return item.name in state.models
        case OrderKind.LOAD_ADAPTER:
            return item.name in state.adapters
        case OrderKind.LOAD_VERSION:
            return item.name == state.version
        case OrderKind.CHANGE_ROLE:
            return item.name == state.role


def assign_roles(wanted: UpstreamWanted, roles: Mapping[str, str]) -> dict[str, str]:
    """Choose replicas for roles that have too few, and leave the others as they are.

    Replicas that have a wanted role keep it up to its number, so that one replica more or
    less moves no other. Only replicas that are in no wanted role, or in one with too many,
    change. The order of ids settles the rest, so that every controller chooses alike.
    """
    chosen: dict[str, str] = {}
    for count in wanted.roles:
        having = sorted(id for id, role in roles.items() if role == count.role)
        chosen.update(dict.fromkeys(having[: count.replicas], count.role))
    free = sorted(id for id in roles if id not in chosen)
    for count in wanted.roles:
        lacking = count.replicas - sum(role == count.role for role in chosen.values())
        for id in free[: max(0, lacking)]:
            chosen[id] = count.role
        free = free[max(0, lacking) :]
    return chosen


def make_order(fence: int, number: int, item: Item) -> Order:
    """Make an order whose id tells a later controller what it was for."""
    order_id = f"{fence}-{number}/{item.kind.value}/{item.name}"
    return Order(order_id, fence, item.kind, item.name)


def item_of(order_id: str) -> Result[Item, str]:
    """Return what an order id says that the order was for."""
    parts = order_id.split("/", ID_PARTS - 1)
    kinds = {kind.value: kind for kind in OrderKind}
    if len(parts) != ID_PARTS or parts[1] not in kinds:
        return Err(f"{order_id} is not an order of ours")
    return Ok(Item(kinds[parts[1]], parts[2]))
