"""Define the wanted state of an upstream: what its replicas must have loaded, and how."""

from typing import Annotated, Final, NamedTuple

from msgspec import Meta

from papayapier.config.profiles import Count, Name, Share

HOUR_MS: Final = 3_600_000

ItemName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$")]
OrderMs = Annotated[int, Meta(ge=100, le=HOUR_MS)]


class RoleCount(NamedTuple):
    """Ask for a number of replicas in a role; replicas left over keep their role."""

    role: ItemName
    replicas: Count


class OrderRule(NamedTuple):
    """Set how orders to this upstream's engines are given.

    checks_fence tells whether the engines refuse an order with an old fencing number; with
    those that do not, a new controller waits longest_order_ms before its first order.
    min_serving and min_serving_share bound from below the replicas that stay in service.
    """

    checks_fence: bool = False
    longest_order_ms: OrderMs = 120_000
    min_serving: Count = 1
    min_serving_share: Share = 0.5


class UpstreamWanted(NamedTuple):
    """Hold the wanted state of one upstream as operators write it.

    Every replica has all of models and adapters; version is left alone when empty.
    """

    name: Name
    models: tuple[ItemName, ...] = ()
    adapters: tuple[ItemName, ...] = ()
    version: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._/-]{0,128}$")] = ""
    roles: tuple[RoleCount, ...] = ()
    orders: OrderRule = OrderRule()
    description: str = ""
