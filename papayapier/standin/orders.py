"""Model how an engine takes orders: fencing check, load time and what it then has."""

from collections.abc import Callable
from functools import partial
from typing import Final, Literal, NamedTuple, TypedDict

from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.timers import Timers

KEPT_ORDERS: Final = 1_000

OrderKind = Literal["load_model", "load_adapter", "load_version", "change_role"]


class Order(TypedDict):
    """Hold the body of POST /orders."""

    order_id: str
    fence: int
    kind: OrderKind
    name: str


class EngineState(NamedTuple):
    """Hold what GET /state shows; orders are those accepted, also if still loading."""

    models: list[str]
    adapters: list[str]
    role: str
    version: str
    fence: int
    orders: list[str]


class Orders:
    """Keep what an engine has loaded; an order takes effect after its load time.

    While a model, version or role loads, the engine admits no sequences.
    """

    __slots__ = ("_on_loaded", "_params", "_timers", "loading", "state", "times")

    def __init__(self, params: EngineParams, timers: Timers, on_loaded: Callable[[], None]) -> None:
        self._params = params
        self._timers = timers
        self._on_loaded = on_loaded
        self.times: dict[str, int] = {}
        self.loading = 0
        self.state = _initial(params, 0)

    def restart(self) -> None:
        """Forget what was loaded; the highest fencing number is kept, as if on disk."""
        self.loading = 0
        self.state = _initial(self._params, self.state.fence)

    def take(self, order: Order) -> bool:
        """Accept an order, or refuse it because of a higher fencing number seen before."""
        if self._params.checks_fence:
            if order["fence"] < self.state.fence:
                return False
            self.state = self.state._replace(fence=order["fence"])
        ident = order["order_id"]
        self.times[ident] = self.times.get(ident, 0) + 1
        self.state = self.state._replace(orders=[*self.state.orders, ident][-KEPT_ORDERS:])
        self._load(order)
        return True

    def _load(self, order: Order) -> None:
        blocks = order["kind"] != "load_adapter"
        self.loading += blocks
        self._timers.call_later(self._params.order_ms, partial(self._loaded, order, blocks))

    def _loaded(self, order: Order, blocks: bool) -> None:
        self.loading -= blocks
        self.state = _with(self.state, order["kind"], order["name"])
        self._on_loaded()


def _initial(params: EngineParams, fence: int) -> EngineState:
    return EngineState(list(params.models), [], "mixed", params.version, fence, [])


def _with(state: EngineState, kind: OrderKind, name: str) -> EngineState:
    if kind == "load_model":
        return state._replace(models=_added(state.models, name))
    if kind == "load_adapter":
        return state._replace(adapters=_added(state.adapters, name))
    if kind == "load_version":
        return state._replace(version=name)
    return state._replace(role=name)


def _added(names: list[str], name: str) -> list[str]:
    return names if name in names else [*names, name]
