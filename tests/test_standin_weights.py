"""Test the weight store, and engines that read weights from it for their orders."""

from twisted.internet.defer import Deferred

from papayapier.clock import FakeClock, fake_clock
from papayapier.standin.engine_steps import EngineParams, WeightSource
from papayapier.standin.fleet import Fleet, FleetParams, run_fleet
from papayapier.standin.orders import Order, Orders
from papayapier.standin.platform import PlatformParams
from papayapier.standin.timers import Timers
from papayapier.standin.weights import WeightParams
from tests.standin_case import REACTOR, HttpResponse, StandInCase

ORDER_MS = 300
RETRY_MS = 50
TRIES = 3
PARAMS = EngineParams(order_ms=ORDER_MS, weights=WeightSource("", TRIES, RETRY_MS))


class Engine:
    """Hold the orders of an engine whose weight reads are completed by the test."""

    def __init__(self, fake: FakeClock) -> None:
        self.reads: list[Deferred[bool]] = []
        self.timers = Timers(fake.clock)
        self.orders = Orders(PARAMS, self.timers, lambda: None, self.fetch)

    async def fetch(self, name: str) -> bool:
        self.reads.append(Deferred())
        return await self.reads[-1]

    def crash(self) -> None:
        self.timers.cancel_all()
        self.orders.restart()


def load(name: str) -> Order:
    return Order(order_id=f"1-{name}", fence=1, kind="load_model", name=name)


def test_rate_limited_weights_delay_an_order() -> None:
    fake = fake_clock()
    engine = Engine(fake)
    engine.orders.accept(load("m"))
    engine.reads[0].callback(False)
    fake.jump(RETRY_MS)
    engine.reads[1].callback(True)
    assert (engine.orders.loading, engine.orders.state.models) == (1, ["base"])
    fake.jump(ORDER_MS)
    assert (engine.orders.loading, engine.orders.state.models) == (0, ["base", "m"])


def test_order_fails_when_its_weights_cannot_be_read() -> None:
    """Check that an accepted order fails after the last try to read its weights.

    The engine reports this only by no longer listing the order in its state.
    """
    fake = fake_clock()
    engine = Engine(fake)
    engine.orders.accept(load("m"))
    assert engine.orders.state.orders == ["1-m"]
    for number in range(TRIES):
        engine.reads[number].callback(False)
        fake.jump(RETRY_MS)
    assert len(engine.reads) == TRIES
    state = engine.orders.state
    assert (engine.orders.loading, state.models, state.orders) == (0, ["base"], [])
    assert engine.orders.accepted_counts == {"1-m": 1}


def test_crash_cancels_a_load() -> None:
    """Check that a read of weights does not outlive a crash of the engine.

    Otherwise the restarted engine would have a model that was not ordered since.
    """
    fake = fake_clock()
    engine = Engine(fake)
    engine.orders.accept(load("m"))
    engine.crash()
    assert engine.reads[0].called
    fake.jump(RETRY_MS + ORDER_MS)
    assert len(engine.reads) == 1
    assert (engine.orders.loading, engine.orders.state.models) == (0, ["base"])


class WeightStoreTest(StandInCase):
    """Test the store and the engines over real sockets."""

    fleet: Fleet

    async def start(self, weights: WeightParams) -> None:
        source = WeightSource("", TRIES, retry_ms=1)
        params = FleetParams(
            engines=1,
            services=0,
            platform=PlatformParams(latency_ms=0, weights=weights),
            engine=EngineParams(order_ms=0, weights=source),
        )
        self.fleet = await run_fleet(REACTOR, self.clock, params)
        self.addCleanup(lambda: Deferred.fromCoroutine(self.fleet.close()))

    async def read(self) -> HttpResponse:
        return await self.call(self.fleet.platform.port, "GET", "/weights/a/b")

    async def order(self, name: str) -> None:
        response = await self.call(self.fleet.engines[0].port, "POST", "/orders", load(name))
        assert response.value == {"accepted": True}

    async def test_rate_limit(self) -> None:
        await self.start(WeightParams(size_bytes=1_000, bytes_per_s=1))
        assert len((await self.read()).text) == 1_000
        refused = await self.read()
        assert (refused.status, refused.headers["retry-after"]) == (429, "1")
        self.fleet.platform.control({"weight_bytes_per_s": 0, "outage": True})
        assert (await self.read()).status == 200
        counts = self.fleet.platform.counts()
        assert (counts.weight_reads, counts.weights_limited, counts.limited) == (2, 1, 0)

    async def test_orders_read_weights_from_the_platform(self) -> None:
        await self.start(WeightParams(size_bytes=1_000, bytes_per_s=1))
        orders = self.fleet.engines[0].core.orders
        await self.order("first")
        await self.wait_until(lambda: orders.loading == 0)
        await self.order("second")
        await self.wait_until(lambda: orders.loading == 0)
        assert (orders.state.models, orders.state.orders) == (["base", "first"], ["1-first"])
        counts = self.fleet.platform.counts()
        assert (counts.weight_reads, counts.weights_limited) == (1, TRIES)

    async def test_unreachable_store_fails_the_order(self) -> None:
        await self.start(WeightParams())
        self.fleet.platform.control({"refuse_connections": True})
        await self.wait_until(lambda: not self.fleet.platform.is_listening())
        await self.order("first")
        orders = self.fleet.engines[0].core.orders
        await self.wait_until(lambda: orders.loading == 0)
        assert orders.state.models == ["base"]

    async def test_closing_cancels_a_read(self) -> None:
        await self.start(WeightParams(size_bytes=8_000_000))
        self.fleet.platform.control({"slow_ms": 10_000})
        await self.order("first")
        await self.wait_until(lambda: self.fleet.platform.counts().weight_reads == 1)
        assert self.fleet.engines[0].core.orders.loading == 1
