"""Run order controllers on a fake platform with fake engines."""

import random
from collections import Counter
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.config.upstreams import OrderRule, UpstreamWanted
from papayapier.orders.controller import (
    ListedReplica,
    OrderController,
    OrderControllerDeps,
    start_order_controller,
)
from papayapier.orders.plan import OrderLimits
from papayapier.settings import OrderSettings
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.engine_control import (
    EngineControl,
    EngineState,
    Order,
    OrderAnswer,
    OrderKind,
)
from tests.fake_store import FakePlatform

LONGEST_MS = 20_000
LEASE_MS = 6_000
GAP_MS = 3_000
LIMITS = OrderLimits(LEASE_MS, GAP_MS, 2)
EMPTY = EngineState((), (), "mixed", "", 0, ())


class FakeEngine:
    """Accept orders that take effect after a delay, and count the orders by item."""

    def __init__(self, now: Any, checks_fence: bool, models: tuple[str, ...] = ("base",)) -> None:
        self.now = now
        self.checks_fence = checks_fence
        self.models = models
        self.state = EMPTY._replace(models=models)
        self.loading: list[tuple[int, Order]] = []
        self.overlaps = 0
        self.accepted: Counter[tuple[OrderKind, str]] = Counter()
        self.load_ms = 4_000

    def accept(self, order: Order) -> OrderAnswer:
        self.settle()
        if self.checks_fence and order.fence < self.state.fence:
            return OrderAnswer(False, self.state.fence)
        self.overlaps += bool(self.loading)
        self.accepted[order.kind, order.name] += 1
        fence = max(order.fence, self.state.fence) if self.checks_fence else 0
        self.state = self.state._replace(fence=fence, orders=(*self.state.orders, order.order_id))
        self.loading.append((self.now() + self.load_ms, order))
        return OrderAnswer(True, fence)

    def settle(self) -> None:
        for due, order in list(self.loading):
            if self.now() >= due:
                self.loading.remove((due, order))
                self._apply(order)

    def _apply(self, order: Order) -> None:
        state = self.state
        if order.kind is OrderKind.LOAD_MODEL:
            state = state._replace(models=tuple(dict.fromkeys((*state.models, order.name))))
        elif order.kind is OrderKind.LOAD_ADAPTER:
            state = state._replace(adapters=(*state.adapters, order.name))
        elif order.kind is OrderKind.LOAD_VERSION:
            state = state._replace(version=order.name)
        else:
            state = state._replace(role=order.name)
        self.state = state

    def restart(self) -> None:
        self.loading = []
        self.state = EMPTY._replace(models=self.models, fence=self.state.fence)

    def read(self) -> EngineState:
        self.settle()
        return self.state


def wanted_pass(checks_fence: bool = True, **fields: Any) -> UpstreamWanted:
    rule = OrderRule(checks_fence, LONGEST_MS, min_serving=2, min_serving_share=0.5)
    return UpstreamWanted(name="pass", orders=rule, **fields)


class World:
    """Run several controllers on one platform with one set of engines."""

    def __init__(self, names: str, checks_fence: bool, replicas: int = 4) -> None:
        self.time = fake_clock()
        self.platform = FakePlatform(self.time.clock)
        self.checks_fence = checks_fence
        self.wanted = [wanted_pass(checks_fence, version="v2")]
        self.engines = {
            f"r{n}": FakeEngine(self.time.clock.now, checks_fence) for n in range(replicas)
        }
        self.sent: list[tuple[int, str, str, Order]] = []
        self.lose_answers = 0
        self.controls: dict[str, OrderController] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        async def send_order(replica: Replica, order: Order) -> Result[OrderAnswer, Failure]:
            self.sent.append((int(self.time.clock.now()), name, replica.id, order))
            answer = self.engines[replica.id].accept(order)
            if self.lose_answers:
                self.lose_answers -= 1
                return Err(Failure(FailureKind.TRUNCATED, Sent.MAYBE, "cut"))
            return Ok(answer)

        async def read_state(replica: Replica) -> Result[EngineState, Failure]:
            return Ok(self.engines[replica.id].read())

        unused: Any = None
        self.controls[name] = start_order_controller(
            OrderControllerDeps(
                clock=self.time.clock,
                rand=random.Random(name),
                store=self.platform.store(name),
                cfg=OrderSettings(),
                instance=name,
                engine_control=EngineControl(send_order, read_state, unused, unused, unused),
                wanted_upstreams=lambda: self.wanted,
                replicas=lambda: [
                    ListedReplica(Replica(id, "pass", "127.0.0.1", 1, "dc-a"), True)
                    for id in self.engines
                ],
                instances=lambda: sorted(self.controls),
                required_serving=lambda _: 0,
            )
        )

    def run(self, ms: int) -> None:
        for _ in range(ms // 250):
            self.time.jump(250)

    def stop(self, name: str) -> None:
        Deferred.fromCoroutine(_stop(self.controls.pop(name)))

    def controller(self) -> str:
        return next(n for n, c in self.controls.items() if c.show().controller == n)

    def versions(self) -> list[str]:
        return [engine.read().version for engine in self.engines.values()]


async def _stop(control: OrderController) -> None:
    await control.stop()
