"""Model how an engine executes orders: fencing check, load time and resulting state."""

from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final, Literal, NamedTuple, TypedDict

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from papayapier import events
from papayapier.standin.engine_steps import EngineParams
from papayapier.standin.timers import Timers

MAX_LISTED_ORDERS: Final = 1_000

# Read the weights of a model; return whether they were received completely.
FetchWeights = Callable[[str], Coroutine[Any, Any, bool]]
OrderKind = Literal["load_model", "load_adapter", "load_version", "change_role"]


class Order(TypedDict):
    """Hold the body of POST /orders."""

    order_id: str
    fence: int
    kind: OrderKind
    name: str


class EngineState(NamedTuple):
    """Hold the response of GET /state; orders lists accepted orders, including those loading."""

    models: list[str]
    adapters: list[str]
    role: str
    version: str
    fence: int
    orders: list[str]


class Orders:
    """Track what an engine has loaded; an order takes effect after its load time.

    While a model, version or role loads, the engine admits no sequences. With a fetch
    function, the weights are first read from the weight store. An order whose weights cannot
    be read within the configured number of tries fails, and is no longer listed.
    """

    __slots__ = (
        "_fetch",
        "_fetching",
        "_on_loaded",
        "_params",
        "_timers",
        "accepted_counts",
        "loading",
        "state",
    )

    def __init__(
        self,
        params: EngineParams,
        timers: Timers,
        on_loaded: Callable[[], None],
        fetch: FetchWeights | None = None,
    ) -> None:
        self._fetch = fetch
        self._fetching: set[Deferred[bool]] = set()
        self._params = params
        self._timers = timers
        self._on_loaded = on_loaded
        self.accepted_counts: dict[str, int] = {}
        self.loading = 0
        self.state = _initial_state(params, 0)

    def restart(self) -> None:
        """Drop what was loaded; the highest fencing number is kept, as if on disk."""
        fetching, self._fetching = self._fetching, set()
        for task in fetching:
            task.cancel()
        self.loading = 0
        self.state = _initial_state(self._params, self.state.fence)

    def accept(self, order: Order) -> bool:
        """Accept an order, or refuse it if a higher fencing number was seen before."""
        if self._params.checks_fence:
            if order["fence"] < self.state.fence:
                return False
            self.state = self.state._replace(fence=order["fence"])
        order_id = order["order_id"]
        self.accepted_counts[order_id] = self.accepted_counts.get(order_id, 0) + 1
        self.state = self.state._replace(orders=[*self.state.orders, order_id][-MAX_LISTED_ORDERS:])
        self._load(order)
        return True

    def _load(self, order: Order) -> None:
        self.loading += _pauses_admission(order)
        if self._fetch is None or order["kind"] == "change_role":
            self._begin_load(order)
        else:
            self._fetch_weights(order, self._fetch, self._params.weights.tries)

    def _fetch_weights(self, order: Order, fetch: FetchWeights, tries: int) -> None:
        task = Deferred.fromCoroutine(fetch(order["name"]))
        self._fetching.add(task)

        def on_fetch_ended(fetched: bool) -> None:
            if task not in self._fetching:
                # Cancelled by a crash: continuing would load into the restarted engine.
                return
            self._fetching.remove(task)
            if fetched:
                self._begin_load(order)
                return
            if tries <= 1:
                self._fail(order)
                return
            retry = partial(self._fetch_weights, order, fetch, tries - 1)
            self._timers.call_later(self._params.weights.retry_ms, retry)

        task.addErrback(_on_fetch_failed).addCallback(on_fetch_ended)

    def _begin_load(self, order: Order) -> None:
        self._timers.call_later(self._params.order_ms, partial(self._finish_load, order))

    def _finish_load(self, order: Order) -> None:
        self.loading -= _pauses_admission(order)
        self.state = _state_after_load(self.state, order["kind"], order["name"])
        self._on_loaded()

    def _fail(self, order: Order) -> None:
        self.loading -= _pauses_admission(order)
        remaining = [order_id for order_id in self.state.orders if order_id != order["order_id"]]
        self.state = self.state._replace(orders=remaining)
        self._on_loaded()


def _pauses_admission(order: Order) -> bool:
    return order["kind"] != "load_adapter"


def _on_fetch_failed(failure: Failure) -> bool:
    if failure.check(CancelledError) is None:
        events.emit(events.STANDIN_FAILED, reason=repr(failure.value))
    return False


def _initial_state(params: EngineParams, fence: int) -> EngineState:
    return EngineState(list(params.models), [], "mixed", params.version, fence, [])


def _state_after_load(state: EngineState, kind: OrderKind, name: str) -> EngineState:
    if kind == "load_model":
        return state._replace(models=_append_unique(state.models, name))
    if kind == "load_adapter":
        return state._replace(adapters=_append_unique(state.adapters, name))
    if kind == "load_version":
        return state._replace(version=name)
    return state._replace(role=name)


def _append_unique(names: list[str], name: str) -> list[str]:
    return names if name in names else [*names, name]
