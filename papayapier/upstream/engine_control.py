"""Send orders to model engines and read their state.

An order carries a fencing number. Some engines refuse an order whose number is lower than one
they have already received, others ignore the number. So the answer to an order proves nothing;
only the engine's state shows whether the order took effect.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, Final, NamedTuple, TypedDict, TypeVar

import msgspec
from result import Err, Ok, Result

from papayapier.clock import Clock
from papayapier.decoding import DECODE_ERRORS
from papayapier.settings import UpstreamSettings
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.control import (
    ControlAnswer,
    ControlRequest,
    SendControl,
    make_control_sender,
)

OK: Final = 200
CONFLICT: Final = 409
MAX_REASON_CHARS: Final = 300

T = TypeVar("T")


class OrderKind(Enum):
    """List the kinds of order that an engine accepts."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


class Order(NamedTuple):
    """Hold an order; name is that of the model, adapter, version or role."""

    order_id: str
    fence: int
    kind: OrderKind
    name: str


class OrderAnswer(NamedTuple):
    """Hold the answer to an order; fence is the engine's highest fencing number if it refused."""

    accepted: bool
    fence: int


class EngineState(NamedTuple):
    """Hold the state of an engine; orders lists the ids of the orders that it has accepted."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    version: str
    fence: int
    orders: tuple[str, ...]


class CacheEvent(NamedTuple):
    """Report that an engine has stored a prompt prefix in its cache, or evicted it."""

    seq: int
    stored: bool
    prefix: str


class CacheEvents(NamedTuple):
    """Hold the cache events from a sequence number on; next is the number to request next."""

    events: tuple[CacheEvent, ...]
    next: int


class EngineControl(NamedTuple):
    """Group the control calls to model engines.

    Each call times out after the progress limit of a stream. A Failure of send_order with sent
    MAYBE means that the engine may or may not have accepted the order.
    """

    send_order: Callable[[Replica, Order], Awaitable[Result[OrderAnswer, Failure]]]
    read_state: Callable[[Replica], Awaitable[Result[EngineState, Failure]]]
    list_models: Callable[[Replica], Awaitable[Result[tuple[str, ...], Failure]]]
    cache_events: Callable[[Replica, int], Awaitable[Result[CacheEvents, Failure]]]
    close: Callable[[], Awaitable[None]]


class _OrderAnswer(TypedDict, total=False):
    accepted: bool
    fence: int


class _State(TypedDict):
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    version: str
    fence: int
    orders: tuple[str, ...]


class _Model(TypedDict):
    id: str


class _Models(TypedDict):
    data: list[_Model]


class _CacheEvent(TypedDict):
    seq: int
    kind: str
    prefix: str


class _CacheEvents(TypedDict):
    events: list[_CacheEvent]
    next: int


def make_engine_control(reactor: Any, clock: Clock, cfg: UpstreamSettings) -> EngineControl:
    """Create the control calls, on connections separate from those for requests."""
    pools = ConnectionPools(reactor, clock, cfg)
    send_control = make_control_sender(pools)

    async def send_order(replica: Replica, order: Order) -> Result[OrderAnswer, Failure]:
        body = msgspec.json.encode(order._asdict())
        return _read_order(await send_control(replica, ControlRequest("POST", "/orders", body)))

    async def read_state(replica: Replica) -> Result[EngineState, Failure]:
        read = await _get(send_control, replica, "/state", _State)
        return read.map(lambda found: EngineState(**found))

    async def list_models(replica: Replica) -> Result[tuple[str, ...], Failure]:
        read = await _get(send_control, replica, "/v1/models", _Models)
        return read.map(lambda found: tuple(model["id"] for model in found["data"]))

    async def cache_events(replica: Replica, since: int) -> Result[CacheEvents, Failure]:
        read = await _get(send_control, replica, f"/cache_events?since={since}", _CacheEvents)
        return read.map(_to_events)

    return EngineControl(send_order, read_state, list_models, cache_events, pools.close)


async def _get(
    send_control: SendControl, replica: Replica, path: str, kind: type[T]
) -> Result[T, Failure]:
    answer = await send_control(replica, ControlRequest("GET", path))
    if isinstance(answer, Err):
        return answer
    if answer.ok_value.status != OK:
        return Err(_refused(answer.ok_value))
    return _decode(answer.ok_value, kind)


def _read_order(answer: Result[ControlAnswer, Failure]) -> Result[OrderAnswer, Failure]:
    if isinstance(answer, Err):
        return answer
    if answer.ok_value.status not in (OK, CONFLICT):
        return Err(_refused(answer.ok_value))
    read = _decode(answer.ok_value, _OrderAnswer)
    if isinstance(read, Err):
        return read
    accepted = answer.ok_value.status == OK and read.ok_value.get("accepted", False)
    return Ok(OrderAnswer(accepted, read.ok_value.get("fence", 0)))


def _decode(answer: ControlAnswer, kind: type[T]) -> Result[T, Failure]:
    try:
        return Ok(msgspec.json.decode(answer.body, type=kind))
    except DECODE_ERRORS as exc:
        return Err(Failure(FailureKind.INVALID, Sent.MAYBE, f"answer cannot be decoded: {exc}"))


def _refused(answer: ControlAnswer) -> Failure:
    text = answer.body.decode("utf-8", "replace")[:MAX_REASON_CHARS]
    reason = f"status {answer.status}: {text}"
    return Failure(FailureKind.STATUS, Sent.MAYBE, reason, answer.status)


def _to_events(found: _CacheEvents) -> CacheEvents:
    events = (CacheEvent(e["seq"], e["kind"] == "stored", e["prefix"]) for e in found["events"])
    return CacheEvents(tuple(events), found["next"])
