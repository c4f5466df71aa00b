"""Test orders end to end, from wanted state to engines, over real sockets."""

import random
from typing import Any, cast

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from papayapier.clock import real_clock
from papayapier.config.upstreams import OrderRule, RoleCount, UpstreamWanted
from papayapier.orders.controller import ListedReplica, OrderControllerDeps, start_order_controller
from papayapier.settings import OrderSettings, UpstreamSettings
from papayapier.standin.engine import EngineServer, start_engine
from papayapier.standin.engine_steps import EngineParams
from papayapier.upstream.api import Replica
from papayapier.upstream.engine_control import make_engine_control
from tests.fake_store import FakePlatform

HOST = "127.0.0.1"
ORDERS = 5
WANTED = UpstreamWanted(
    name="pass",
    version="2",
    models=("pass-7b",),
    roles=(RoleCount("prefill", 1),),
    orders=OrderRule(checks_fence=True, longest_order_ms=5_000),
)


class OrdersOverHttpTest(TestCase):
    """Test two engines that are reconciled with a wanted state."""

    timeout = 30

    async def test_engines_reach_the_wanted_state(self) -> None:
        """Each order must be sent exactly once, until both engines have the wanted state."""
        clock = real_clock()
        engines: list[EngineServer] = []
        for _ in range(2):
            params = EngineParams(order_ms=20)
            engine = await start_engine(cast(Any, reactor), clock, params, HOST, 0)
            self.addCleanup(engine.close)
            engines.append(engine)
        replicas = [
            ListedReplica(Replica(f"r{n}", "pass", HOST, engine.port, "dc-a"), True)
            for n, engine in enumerate(engines)
        ]
        orders = make_engine_control(reactor, clock, UpstreamSettings())
        control = start_order_controller(
            OrderControllerDeps(
                clock=clock,
                rand=random.Random(1),
                store=FakePlatform(clock).store(),
                cfg=OrderSettings(loads_per_min=10_000),
                instance="entry-1",
                engine_control=orders,
                wanted_upstreams=lambda: [WANTED],
                replicas=lambda: replicas,
                instances=lambda: ["entry-1"],
                required_serving=lambda _: 0,
            )
        )
        self.addCleanup(lambda: Deferred.fromCoroutine(_stop(control, orders)))
        states = [engine.core.orders for engine in engines]
        while sum(note.end == "done" for note in control.show().lately) < ORDERS:
            await clock.sleep(20)
        assert [engine.state.version for engine in states] == ["2", "2"]
        assert ["pass-7b" in engine.state.models for engine in states] == [True, True]
        assert sorted(engine.state.role for engine in states) == ["mixed", "prefill"]
        assert all(times == 1 for engine in states for times in engine.accepted_counts.values())
        assert sum(len(engine.accepted_counts) for engine in states) == ORDERS


async def _stop(control: Any, orders: Any) -> None:
    await control.stop()
    await orders.close()
