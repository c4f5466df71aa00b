"""Define the wanted state of an upstream: what its replicas must load, and under which limits."""

from typing import Annotated, Final, NamedTuple

from msgspec import Meta

from papayapier.config.profiles import Count, Name, Share

HOUR_MS: Final = 3_600_000

ItemName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$")]
OrderMs = Annotated[int, Meta(ge=100, le=HOUR_MS)]


class RoleCount(NamedTuple):
    """Require a number of replicas in a role; surplus replicas keep their role."""

    role: ItemName
    replicas: Count


class OrderRule(NamedTuple):
    """Configure how orders are sent to this upstream's engines.

    checks_fence states whether the engines refuse an order with an old fencing number. If they do
    not, a new controller waits longest_order_ms before its first order. min_serving and
    min_serving_share are lower limits of the replicas that stay in service.
    """

    checks_fence: bool = False
    longest_order_ms: OrderMs = 120_000
    min_serving: Count = 1
    min_serving_share: Share = 0.5


class UpstreamWanted(NamedTuple):
    """Hold the wanted state of one upstream as written by operators.

    Every replica must have all models and adapters; an empty version is not enforced.
    """

    name: Name
    models: tuple[ItemName, ...] = ()
    adapters: tuple[ItemName, ...] = ()
    version: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._/-]{0,128}$")] = ""
    roles: tuple[RoleCount, ...] = ()
    orders: OrderRule = OrderRule()
    description: str = ""
