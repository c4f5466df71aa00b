"""Compute what a replica lacks of its upstream's wanted state."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.config.upstreams import UpstreamWanted
from papayapier.upstream.engine_control import EngineState, Order, OrderKind

ORDER_ID_PARTS: Final = 3


class Item(NamedTuple):
    """Identify a model, adapter, version or role that a replica can be ordered to have."""

    kind: OrderKind
    name: str

    @property
    def is_load(self) -> bool:
        """Return whether the engine reads from the weight store for this item."""
        return self.kind is not OrderKind.CHANGE_ROLE

    @property
    def takes_capacity(self) -> bool:
        """Return whether the engine may stop admitting requests; it does not for adapters."""
        return self.kind is not OrderKind.LOAD_ADAPTER


def missing_items(wanted: UpstreamWanted, state: EngineState, role: str) -> list[Item]:
    """Return the items that a replica lacks, in the order in which to send them.

    The version comes first, because an engine may unload its models when its version changes. An
    empty role stands for any role.
    """
    items = [Item(OrderKind.LOAD_VERSION, wanted.version)] if wanted.version else []
    items += [Item(OrderKind.LOAD_MODEL, name) for name in wanted.models]
    items += [Item(OrderKind.LOAD_ADAPTER, name) for name in wanted.adapters]
    items += [Item(OrderKind.CHANGE_ROLE, role)] if role else []
    return [item for item in items if not in_effect(state, item)]


def in_effect(state: EngineState, item: Item) -> bool:
    """Return whether a replica has an item."""
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
    """Assign replicas to roles that have too few, and change as few replicas as possible.

    Replicas in a wanted role keep it up to the wanted number, so that adding or removing one
    replica moves no other. Only replicas in no wanted role, or in a role with too many replicas,
    are reassigned. Ties are resolved by replica id, so that every controller chooses the same.
    """
    chosen: dict[str, str] = {}
    for count in wanted.roles:
        holders = sorted(id for id, role in roles.items() if role == count.role)
        chosen.update(dict.fromkeys(holders[: count.replicas], count.role))
    free = sorted(id for id in roles if id not in chosen)
    for count in wanted.roles:
        lacking = count.replicas - sum(role == count.role for role in chosen.values())
        for id in free[: max(0, lacking)]:
            chosen[id] = count.role
        free = free[max(0, lacking) :]
    return chosen


def make_order(fence: int, number: int, item: Item) -> Order:
    """Create an order whose id contains its item, so that a later controller can identify it."""
    order_id = f"{fence}-{number}/{item.kind.value}/{item.name}"
    return Order(order_id, fence, item.kind, item.name)


def parse_order_id(order_id: str) -> Result[Item, str]:
    """Parse the item from an order id."""
    parts = order_id.split("/", ORDER_ID_PARTS - 1)
    kinds = {kind.value: kind for kind in OrderKind}
    if len(parts) != ORDER_ID_PARTS or parts[1] not in kinds:
        return Err(f"{order_id} was not created by a controller")
    return Ok(Item(kinds[parts[1]], parts[2]))
